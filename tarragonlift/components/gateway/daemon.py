"""The daemon in front of a listed fleet: runs all components on one loop."""

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
from tarragonlift.components.gateway import gateway
from tarragonlift.components.gateway import pages
from tarragonlift.components.gateway import peer_messages
from tarragonlift.components.gateway import peer_socket
from tarragonlift.components.gateway import store_follower
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

    ``max_drain_delay_s`` is the time within which a leaving server must be
    known, ``max_config_delay_s`` the time within which changes by operators
    must be known, and ``stop_timeout_s`` the time from SIGTERM to SIGKILL. A
    server receives at most ``probes_per_s`` probes a second from all daemons
    together.
    """

    daemon: str
    data_centre: str
    listen: models.Address
    ready: models.Address
    peer: models.Address
    metrics: models.Address | None
    max_drain_delay_s: float = 2.0
    max_config_delay_s: float = 2.0
    stop_timeout_s: float = 6.0
    probes_per_s: float = 60.0
    extra_calls: fleet_module.ExtraCalls = fleet_module.ExtraCalls()
    crossing_loss_per_kib: float = fleet_const.CROSSING_LOSS_PER_KIB
    # Peer addresses of daemons that answer those that start.
    seeds: tuple[models.Address, ...] = ()
    # True if the whole system starts for the first time.
    is_first_start: bool = False


class SettingsSource(abc.ABC):
    """Source of the process's settings."""

    @abc.abstractmethod
    def has_changed(self) -> bool:
        """Return whether the settings changed since the last read."""

    @abc.abstractmethod
    def read(self) -> FleetSettings:
        """Return the settings.

        Raises OSError if they can't be read, and InvalidDocument with every
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
        """Initialize the components; call ``use_store``, then ``run``."""
        super().__init__()
        self._settings = settings
        self._log_writer = log_writer
        self._rng = random.Random()
        self._stopping_since: float | None = None
        self._is_accepting = True
        self._has_refused_rest = False
        self._is_reload_requested = False
        self._settings_checked_at = -math.inf
        self._source: SettingsSource | None = None
        self._poller = poller_module.DataPoller(logs.log_error)
        self._poller.register(self)
        self._poller.on_pause = self._on_pause
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
        self._follower: store_follower.StoreFollower | None = None
        self._peer_socket = peer_socket.PeerSocket(
            self._poller,
            self._fleet.members,
            self._on_peer_message,
            logs.log_error,
        )
        ready_page = pages.ReadinessPage(dialect.readiness_path, self.is_ready)
        self._ready = pages.PageListener(self._poller, ready_page)
        metrics_page = pages.MetricsPage(
            METRICS_PATH, self._metrics, self._count_unused_servers
        )
        self._metrics_listener = pages.PageListener(self._poller, metrics_page)

    @property
    def poller(self) -> poller_module.DataPoller:
        """Return the loop's poller, for the platform client."""
        return self._poller

    def use_store(self, store: interfaces.FleetStore) -> None:
        """Follow this store from the start on."""
        store_access = access.StoreAccess(
            self._poller, store, self._fleet, self._metrics, self._rng
        )
        self._follower = store_follower.StoreFollower(
            store_access,
            self._settings.seeds,
            self._settings.is_first_start,
        )
        self._set_max_delays(self._settings)
        rate_limits = self._follower.rate_limits
        rate_limits.check = self._gateway.check_server
        self._gateway.on_rate_limit_stated = rate_limits.on_response
        self._gateway.on_pause_stated = self._follower.pauses.on_pause
        self._follower.set_senders(
            self._peer_socket.send_to_relays,
            self._peer_socket.send_to_data_centre,
            self._peer_socket.send_to,
        )

    def use_settings(self, source: SettingsSource) -> None:
        """Reload settings from this source while the process runs."""
        self._source = source

    def is_ready(self) -> bool:
        """Return whether callers should be sent to this daemon."""
        return self._stopping_since is None and self._fleet.is_ready

    @circuits.handler("started", channel="*")
    def _on_started(self, *args: Any) -> None:
        """Install the signal handlers and open the listeners."""
        signal.signal(signal.SIGTERM, self._on_stop_signal)
        signal.signal(signal.SIGINT, self._on_stop_signal)
        signal.signal(signal.SIGHUP, self._on_reload_signal)
        settings = self._settings
        own_address = self._peer_socket.listen(settings.peer)
        self._fleet.members.set_own_address(own_address)
        if self._follower is not None:
            self._follower.start(time.monotonic())
            self._tick_follower(time.monotonic())
        readiness_address = self._ready.listen(settings.ready)
        if settings.metrics is not None:
            self._listen_metrics(settings.metrics)
        address = self._gateway.listen(settings.listen)
        logs.log_status(
            "start",
            daemon=settings.daemon,
            data_centre=settings.data_centre,
            listen=str(address),
            ready=str(readiness_address),
        )
        self._tick(time.monotonic())

    def _listen_metrics(self, address: models.Address) -> None:
        """Serve metrics; a failure to listen is logged and not fatal."""
        try:
            self._metrics_listener.listen(address)
        except OSError as error:
            logs.log_error(error, metrics=str(address))

    def _on_pause(self, seconds: float) -> None:
        """Read the store again after the process did not run for a while."""
        logs.log_status("pause", seconds=round(seconds, 3))
        if self._follower is not None:
            self._follower.on_pause(time.monotonic())

    def _on_peer_message(self, message: peer_messages.Message) -> None:
        """Apply a message of another daemon."""
        if self._follower is not None:
            self._follower.on_message(message)

    def _tick_follower(self, now: float) -> None:
        """Run the follower's reads that are due."""
        self._poller.call_at(
            now + const.LIST_CHECK_INTERVAL_S, self._tick_follower
        )
        if self._follower is not None:
            self._follower.tick(now)

    def _on_stop_signal(self, number: int, frame: Any) -> None:
        """Start the graceful stop."""
        if self._stopping_since is None:
            self._stopping_since = time.monotonic()

    def _on_reload_signal(self, number: int, frame: Any) -> None:
        """Request a check of the settings on the next tick."""
        self._is_reload_requested = True

    def _tick(self, now: float) -> None:
        """Run periodic work: settings, stop, probe rate, metrics and logs."""
        self._poller.call_at(now + const.TICK_INTERVAL_S, self._tick)
        if (
            self._is_reload_requested
            or now - self._settings_checked_at
            > const.SETTINGS_CHECK_INTERVAL_S
        ):
            self._check_settings(now)
        if self._stopping_since is not None:
            self._continue_stop(now)
        rate = self._fleet.probe_rate(self._settings.probes_per_s)
        self._gateway.set_probe_rate(rate)
        self._metrics.gauge("in_progress", self._gateway.in_progress)
        self._metrics.gauge("configuration", self._fleet.version)
        if self._follower is not None:
            limited_count = self._follower.rate_limits.limited_count
            self._metrics.gauge("rate_limited_servers", limited_count)
        held = self._fleet.crash_tracker.find_held(now)
        self._metrics.gauge("held_requests", len(held))
        self._metrics.gauge("log_lines_lost", self._log_writer.dropped_total)
        self._metrics.flush()
        self._ready.sweep(now)
        self._log_writer.flush()

    def _count_unused_servers(self) -> None:
        """Set the metrics of servers that leave or asked for a pause."""
        now = self._poller.now()
        registry = self._fleet.registry
        self._metrics.label_gauge(
            "leaving_servers", "service", registry.count_leaving()
        )
        self._metrics.label_gauge(
            "paused_servers", "service", registry.count_paused(now)
        )

    def _check_settings(self, now: float) -> None:
        """Reload the settings after a signal or a change of their source."""
        signalled, self._is_reload_requested = self._is_reload_requested, False
        self._settings_checked_at = now
        if self._source is None:
            return
        if not self._source.has_changed() and not signalled:
            return
        try:
            settings = self._source.read()
        except (OSError, exceptions.InvalidDocument) as error:
            # The previous settings stay in force.
            logs.log_error(error, reload="failed")
            return
        self._apply(settings)

    def _apply(self, settings: FleetSettings) -> None:
        """Apply settings that can change at run time: times and budgets."""
        previous = self._settings
        self._settings = attrs.evolve(
            previous,
            max_drain_delay_s=settings.max_drain_delay_s,
            max_config_delay_s=settings.max_config_delay_s,
            stop_timeout_s=settings.stop_timeout_s,
            extra_calls=settings.extra_calls,
        )
        self._fleet.set_extra_calls(settings.extra_calls)
        self._set_max_delays(settings)
        logs.log_status(
            "reload",
            changed=self._settings != previous,
            needs_restart=self._settings != settings,
        )

    def _set_max_delays(self, settings: FleetSettings) -> None:
        """Set the times within which changes must be known."""
        if self._follower is not None:
            self._follower.set_max_delays(
                settings.max_drain_delay_s, settings.max_config_delay_s
            )

    def _continue_stop(self, now: float) -> None:
        """Continue the graceful stop; exit once idle or at the time limit."""
        since = self._stopping_since or now
        stop_timeout_s = self._settings.stop_timeout_s
        ends_at = since + stop_timeout_s * const.STOP_TIMEOUT_SHARE
        if not self._gateway.is_stopping:
            logs.log_status("stop", in_progress=self._gateway.in_progress)
            self._gateway.begin_stop(since, ends_at)
            if self._follower is not None:
                self._follower.stop()
        if now - since < const.STOP_ACCEPT_S:
            return
        if self._is_accepting:
            self._is_accepting = False
            self._gateway.close_listener()
        if now - since < const.STOP_ACCEPT_S + const.STOP_IDLE_DELAY_S:
            return
        self._gateway.close_idle()
        if self._gateway.is_busy and now < ends_at:
            return
        if self._gateway.in_progress and not self._has_refused_rest:
            self._has_refused_rest = True
            self._gateway.refuse_rest(now)
            self._poller.call_at(now + const.STOP_FLUSH_S, self._continue_stop)
            return
        logs.log_status("stopped", in_progress=self._gateway.in_progress)
        self._log_writer.flush()
        self._gateway.close()
        self._peer_socket.close()
        self._ready.close()
        self._metrics_listener.close()
        self.stop()
