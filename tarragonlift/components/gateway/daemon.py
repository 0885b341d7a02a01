"""The daemon of a listed fleet: joins all parts on one loop."""

from __future__ import annotations

import abc
import math
import random
import signal
import time
from typing import Any

import attrs
import circuits

from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.gateway import access
from tarragonlift.components.gateway import const
from tarragonlift.components.gateway import dialect as dialect_module
from tarragonlift.components.gateway import follower
from tarragonlift.components.gateway import gateway
from tarragonlift.components.gateway import news
from tarragonlift.components.gateway import pages
from tarragonlift.components import logs
from tarragonlift.components.logs import writer
from tarragonlift.components import metrics
from tarragonlift.core.fleet import const as fleet_const
from tarragonlift.core.fleet import fleet as fleet_module
from tarragonlift.core.fleet import interfaces
from tarragonlift.core.fleet import members
from tarragonlift.core import models
from tarragonlift import exceptions

METRICS_PATH = "/metrics"


@attrs.frozen
class FleetSettings:
    """Settings of a daemon's process.

    ``known_within_s`` is the time within which the leaving of a server must
    be known, ``configured_within_s`` that for what operators write, and
    ``stop_within_s`` that from SIGTERM to SIGKILL. A server gets at
    most ``probes_per_s`` probes a second from all daemons together.
    """

    daemon: str
    data_centre: str
    listen: models.Address
    ready: models.Address
    peer: models.Address
    metrics: models.Address | None
    known_within_s: float = 2.0
    configured_within_s: float = 2.0
    stop_within_s: float = 6.0
    probes_per_s: float = 60.0
    extra_calls: fleet_module.ExtraCalls = fleet_module.ExtraCalls()
    crossing_loss_per_kib: float = fleet_const.CROSSING_LOSS_PER_KIB


class SettingsSource(abc.ABC):
    """Where the settings of the process come from."""

    @abc.abstractmethod
    def has_changed(self) -> bool:
        """Return whether they changed since they were read."""

    @abc.abstractmethod
    def read(self) -> FleetSettings:
        """Return the settings.

        Raises OSError where there are none, InvalidDocument with every
        error in them.
        """


class FleetDaemon(circuits.Component):  # type: ignore[misc]
    """One daemon in front of a listed fleet."""

    channel = "daemon"

    def __init__(
        self,
        settings: FleetSettings,
        dialect: dialect_module.Dialect,
        log_writer: writer.LogWriter,
    ) -> None:
        """Create all parts; ``use_store`` and ``run`` begin."""
        super().__init__()
        self._settings = settings
        self._log_writer = log_writer
        self._rng = random.Random()
        self._stopping_since: float | None = None
        self._accepting = True
        self._reload_wanted = False
        self._looked_at = -math.inf
        self._source: SettingsSource | None = None
        self._poller = poller_module.DataPoller(logs.log_error)
        self._poller.register(self)
        self._metrics = metrics.create_recorder(None)
        own = members.Member(
            settings.daemon, settings.data_centre, settings.peer
        )
        self._fleet = fleet_module.Fleet(
            own,
            settings.extra_calls,
            settings.crossing_loss_per_kib,
            self._rng,
        )
        self._gateway = gateway.Gateway(
            self._poller, self._fleet, dialect, self._metrics
        )
        self._follower: follower.Follower | None = None
        self._news = news.NewsSocket(
            self._poller, self._fleet.members, self._on_news, logs.log_error
        )
        self._gateway.on_crash = self._tell_crash
        ready = pages.ReadyPage(dialect.ready_path, self.is_ready)
        self._ready = pages.PageListener(self._poller, ready)
        shown = pages.MetricsPage(METRICS_PATH, self._metrics)
        self._shown = pages.PageListener(self._poller, shown)

    @property
    def poller(self) -> poller_module.DataPoller:
        """Return the loop's poller, for the client of the platform."""
        return self._poller

    def use_store(self, store: interfaces.FleetStore) -> None:
        """Follow this store from the start."""
        store_access = access.StoreAccess(
            self._poller, store, self._fleet, self._metrics, self._rng
        )
        self._follower = follower.Follower(store_access)
        self._set_times(self._settings)
        self._follower.set_tellers(self._news.send, self._news.send_near)

    def use_settings(self, source: SettingsSource) -> None:
        """Follow changes of the settings while the process runs."""
        self._source = source

    def is_ready(self) -> bool:
        """Return whether callers should be sent to this daemon."""
        return self._stopping_since is None and self._fleet.is_ready

    @circuits.handler("started", channel="*")
    def _on_started(self, *args: Any) -> None:
        """Begin to work."""
        signal.signal(signal.SIGTERM, self._on_stop_signal)
        signal.signal(signal.SIGINT, self._on_stop_signal)
        signal.signal(signal.SIGHUP, self._on_reload_signal)
        settings = self._settings
        own_address = self._news.listen(settings.peer)
        self._fleet.members.set_own_address(own_address)
        if self._follower is not None:
            self._follower.start(time.monotonic())
            self._take_turns(time.monotonic())
        ready = self._ready.listen(settings.ready)
        if settings.metrics is not None:
            self._show_metrics(settings.metrics)
        address = self._gateway.listen(settings.listen)
        logs.log_belief(
            "start",
            daemon=settings.daemon,
            data_centre=settings.data_centre,
            listen=str(address),
            ready=str(ready),
        )
        self._tick(time.monotonic())

    def _show_metrics(self, address: models.Address) -> None:
        """Serve metrics; without them the daemon still serves callers."""
        try:
            self._shown.listen(address)
        except OSError as error:
            logs.log_error(error, metrics=str(address))

    def _on_news(self, message: news.Message) -> None:
        """Take what another daemon tells."""
        if isinstance(message, news.CrashNews):
            self._fleet.crash_tracker.record_crash(
                message.fingerprint, time.monotonic()
            )
            logs.log_belief(
                "crash", fingerprint=message.fingerprint, told=True
            )
        elif self._follower is not None:
            self._follower.take(message)

    def _tell_crash(self, fingerprint: str) -> None:
        """Tell the other daemons that a server died with a request."""
        self._news.send(news.CrashNews(fingerprint))

    def _take_turns(self, now: float) -> None:
        """Read the list of servers where it is this daemon's turn."""
        self._poller.call_at(now + const.TURN_S, self._take_turns)
        if self._follower is not None:
            self._follower.tick(now)

    def _on_stop_signal(self, number: int, frame: Any) -> None:
        """Begin the graceful stop."""
        if self._stopping_since is None:
            self._stopping_since = time.monotonic()

    def _on_reload_signal(self, number: int, frame: Any) -> None:
        """Look at the settings file soon."""
        self._reload_wanted = True

    def _tick(self, now: float) -> None:
        """Do what is due at short intervals."""
        self._poller.call_at(now + const.TICK_S, self._tick)
        if self._reload_wanted or now - self._looked_at > const.SETTINGS_S:
            self._look_at_settings(now)
        if self._stopping_since is not None:
            self._go_on_stopping(now)
        rate = self._fleet.probe_rate(self._settings.probes_per_s)
        self._gateway.set_probe_rate(rate)
        self._metrics.gauge("in_progress", self._gateway.in_progress)
        self._metrics.gauge("configuration", self._fleet.version)
        self._metrics.gauge("log_lines_lost", self._log_writer.dropped_total)
        self._metrics.flush()
        self._ready.sweep(now)
        self._log_writer.flush()

    def _look_at_settings(self, now: float) -> None:
        """Read the settings after a signal or a change of their file."""
        signalled, self._reload_wanted = self._reload_wanted, False
        self._looked_at = now
        if self._source is None:
            return
        if not self._source.has_changed() and not signalled:
            return
        try:
            found = self._source.read()
        except (OSError, exceptions.InvalidDocument) as error:
            # What was read before stays in force.
            logs.log_error(error, reload="failed")
            return
        self._apply(found)

    def _apply(self, found: FleetSettings) -> None:
        """Take what may change in a process that runs: times and budgets."""
        before = self._settings
        self._settings = attrs.evolve(
            before,
            known_within_s=found.known_within_s,
            configured_within_s=found.configured_within_s,
            stop_within_s=found.stop_within_s,
            extra_calls=found.extra_calls,
        )
        self._fleet.set_extra_calls(found.extra_calls)
        self._set_times(found)
        logs.log_belief(
            "reload",
            changed=self._settings != before,
            needs_restart=self._settings != found,
        )

    def _set_times(self, found: FleetSettings) -> None:
        """Take the times within which changes must be known."""
        if self._follower is not None:
            self._follower.set_times(
                found.known_within_s, found.configured_within_s
            )

    def _go_on_stopping(self, now: float) -> None:
        """Take the next step of the graceful stop."""
        since = self._stopping_since or now
        if not self._gateway.stopping:
            logs.log_belief("stop", in_progress=self._gateway.in_progress)
            self._gateway.set_stopping(since)
            if self._follower is not None:
                self._follower.stop()
        if now - since < const.TAKE_ON_S:
            return
        if self._accepting:
            self._accepting = False
            self._gateway.stop_accepting()
        limit = self._settings.stop_within_s * const.STOP_SHARE
        if self._gateway.busy and now - since < limit:
            return
        logs.log_belief("stopped", in_progress=self._gateway.in_progress)
        self._log_writer.flush()
        self._gateway.close()
        self._news.close()
        self._ready.close()
        self._shown.close()
        self.stop()
