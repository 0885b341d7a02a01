"""Entry daemon, which runs all components in one event loop."""

from __future__ import annotations

import functools
import json
import os
import pathlib
import random
import signal
import time
from typing import Any

import circuits

from tarragonlift.components import admin
from tarragonlift.components import cases
from tarragonlift.components import claims
from tarragonlift.components import configuration
from tarragonlift.components.daemon import const
from tarragonlift.components.daemon import pages
from tarragonlift.components import data_centres
from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.data_path import server as data_path
from tarragonlift.components import hosts
from tarragonlift.components import logs
from tarragonlift.components import metrics
from tarragonlift.components import peers
from tarragonlift.components import platform
from tarragonlift.components import probing
from tarragonlift.core import balancer as balancer_module
from tarragonlift.core import const as core_const
from tarragonlift.core import models
from tarragonlift import exceptions
from tarragonlift import settings as settings_module


class EntryDaemon(circuits.Component):  # type: ignore[misc]
    """Creates, starts and stops the components of an entry daemon."""

    channel = "daemon"

    def __init__(self, settings: settings_module.Settings) -> None:
        """Initialize the daemon and its components; ``run`` starts them."""
        super().__init__()
        self._settings = settings
        rng = random.Random()
        self._stopping_since: float | None = None
        self._is_accepting = True
        self._poller = poller_module.DataPoller(logs.log_error)
        self._poller.register(self)
        self._metrics = metrics.create_recorder(settings.statsd)
        identity = balancer_module.Identity(
            settings.daemon,
            settings.data_centre,
            str(settings.peer_listen),
            str(settings.admin),
        )
        self._balancer = balancer_module.Balancer(
            identity, rng, int(time.time() * 1000), settings.policy
        )
        self._platform = platform.create_platform(
            self._poller, settings.table, settings.objects, settings.hosts
        )
        self._pages = pages.Pages(self.is_ready)
        self._data_path = data_path.create_data_path(
            self._poller, self._balancer, self._metrics, self._pages
        )
        self._mesh = peers.create_mesh(
            self._poller,
            self._balancer,
            settings.peers,
            functools.partial(read_keys, settings.key_files),
            rng,
        )
        self._create_managers()

    def _create_managers(self) -> None:
        """Create the components that use the platform and the peers."""
        table = self._platform.table
        self._claims = claims.create_claim_writer(
            self._poller, self._balancer, table, self._data_path
        )
        self._configuration = configuration.ConfigurationManager(
            self._poller,
            self._balancer,
            table,
            self._platform.objects,
            self._mesh,
        )
        self._data_centres = data_centres.DataCentreSynchronizer(
            self._poller, self._balancer, table, self._follow_replica
        )
        self._hosts = hosts.HostListWatcher(
            self._poller,
            self._balancer,
            self._platform.hosts,
            table,
            self._mesh,
        )
        self._mesh.on_changes = self._follow_replica
        self._prober = probing.create_prober(
            self._poller, self._balancer, table, self._data_path, self._metrics
        )
        self._cases = cases.create_case_manager(
            self._poller, self._balancer, table, self._platform.objects
        )
        self._pages.case_manager = self._cases
        self._admin = admin.create_admin(
            self,
            self._settings.admin,
            admin.Context(
                balancer=self._balancer,
                cases=self._cases,
                configuration=self._configuration,
                data_centres=self._data_centres,
                data_path=self._data_path,
                mesh=self._mesh,
                metrics=self._metrics,
                operators=self._settings.operators,
                is_ready=self.is_ready,
                follow_replica=self._follow_replica,
            ),
        )

    @circuits.handler("started", channel="*")
    def _on_started(self, *args: Any) -> None:
        """Start listening, the components and the timers."""
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        peer_address = self._mesh.listen(self._settings.peer_listen)
        admin_address = self._admin.address
        self._balancer.set_addresses(str(peer_address), str(admin_address))
        self._hosts.start()
        self._configuration.start()
        self._data_centres.start()
        self._prober.start()
        address = self._data_path.listen(self._settings.listen)
        now = time.monotonic()
        self._tick(now)
        self._flush_metrics(now)
        self._record_event(core_const.EVENT_STARTED, str(address))
        self._write_ready_file(address, peer_address, admin_address)

    def is_ready(self) -> bool:
        """Return whether this daemon is ready for requests of callers."""
        return (
            self._stopping_since is None
            and self._balancer.version > 0
            and self._hosts.has_listed_hosts
            and self._balancer.has_settled
        )

    def _on_signal(self, number: int, frame: Any) -> None:
        """Start the graceful stop."""
        if self._stopping_since is None:
            self._stopping_since = time.monotonic()

    def _tick(self, now: float) -> None:
        """Run the periodic work of the balancer and of the graceful stop."""
        self._poller.timers.call_at(now + const.TICK_INTERVAL_S, self._tick)
        for message in self._balancer.tick(now):
            self._mesh.send_loan(message)
        self._follow_replica()
        self._claims.send_requests()
        if self._balancer.replica.has_hot_items:
            self._mesh.spread_changes()
        if self._stopping_since is not None:
            self._continue_stopping(now)

    def _follow_replica(self) -> None:
        """Apply changes of the replica."""
        if self._balancer.follow_replica(time.time()):
            self._configuration.follow_replica()
            self._hosts.check_own_item()
            self._mesh.spread_changes()

    def _continue_stopping(self, now: float) -> None:
        """Take the next step of the graceful stop if it is due."""
        assert self._stopping_since is not None  # noqa: S101 - by _tick
        elapsed = now - self._stopping_since
        if self._is_accepting:
            if not self._data_path.is_stopping:
                self._record_event(
                    core_const.EVENT_STOPPING, self._settings.daemon
                )
                self._hosts.leave()
                self._data_path.set_stopping()
            if elapsed >= self._settings.drain_seconds:
                self._is_accepting = False
                self._data_path.stop_accepting()
            return
        stop_timeout_s = (
            self._settings.drain_seconds + self._settings.finish_seconds
        )
        is_busy = self._data_path.is_busy or self._balancer.claims.is_busy
        is_busy = is_busy or self._cases.pending_count > 0
        if is_busy and elapsed < stop_timeout_s:
            return
        self._data_path.close()
        self._mesh.close()
        self.stop()

    def _flush_metrics(self, now: float) -> None:
        """Send the metrics periodically."""
        when = now + const.METRICS_INTERVAL_S
        self._poller.timers.call_at(when, self._flush_metrics)
        self._metrics.gauge("in_progress", self._data_path.in_progress)
        self._metrics.gauge("version", self._balancer.version)
        self._metrics.flush()

    def _record_event(self, kind: str, subject: str) -> None:
        """Record an event in the timeline and log it."""
        logs.log_event(self._balancer.note(kind, subject, "", time.time()))

    def _write_ready_file(
        self,
        address: models.Address,
        peer_address: models.Address,
        admin_address: models.Address,
    ) -> None:
        """Write the addresses to the ready file for a supervisor."""
        path = self._settings.ready_file
        if path is None:
            return
        document = {
            "pid": os.getpid(),
            "listen": str(address),
            "peer": str(peer_address),
            "admin": str(admin_address),
        }
        partial = path.with_suffix(".partial")
        partial.write_text(json.dumps(document), encoding="utf-8")
        partial.replace(path)


def read_keys(paths: tuple[pathlib.Path, ...]) -> list[bytes]:
    """Read the keys shared by all daemons; called for each connection."""
    keys = []
    for path in paths:
        try:
            key = path.read_bytes().strip()
        except OSError as error:
            logs.log_error(error, file=str(path))
            continue
        if key:
            keys.append(key)
    if not keys:
        raise exceptions.PeerNotAuthenticated("no key file can be read")
    return keys


def create_daemon(settings: settings_module.Settings) -> EntryDaemon:
    """Return a daemon that is not running yet."""
    return EntryDaemon(settings)
