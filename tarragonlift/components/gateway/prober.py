"""Health checks of servers just before requests are sent."""

from __future__ import annotations

from collections import abc
import time

from tarragonlift.components.data_path import byte_limits
from tarragonlift.components.data_path import client
from tarragonlift.components.data_path import connections
from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.gateway import const
from tarragonlift.components.gateway import dialect as dialect_module
from tarragonlift.components import logs
from tarragonlift.components.metrics import recorder
from tarragonlift.core import budget
from tarragonlift.core.fleet import registry as registry_module
from tarragonlift.core.fleet import server as server_module

FleetServer = server_module.FleetServer
ProbeCallback = abc.Callable[[], None]
RateLimitCallback = abc.Callable[[FleetServer, float | None], None]
HeadCallback = abc.Callable[[FleetServer, client.ResponseHead], None]

# Takes the server, the connection and when the health check was sent.
ResponseCallback = abc.Callable[
    [FleetServer, client.ClientConnection, float], None
]


class Probe(client.ResponseListener):
    """One health check on its connection."""

    def __init__(
        self,
        prober: Prober,
        server: FleetServer,
        connection: client.ClientConnection,
    ) -> None:
        """Initialize a probe of this server on this connection."""
        self._prober = prober
        self._head: client.ResponseHead | None = None
        self.server = server
        self.connection = connection
        self.callbacks: list[ProbeCallback] = []
        self.sent_at = time.monotonic()
        self.is_ended = False

    @property
    def max_body_bytes(self) -> float:
        """Return the maximum size in bytes of the response's body."""
        return byte_limits.MAX_HEALTH_BODY_BYTES

    def is_expected_response(self, head: client.ResponseHead) -> bool:
        """Skip responses to earlier requests."""
        return self._prober.is_health_response(head)

    def on_head(self, head: client.ResponseHead) -> None:
        """Keep the head of the response."""
        self._head = head

    def on_body(self, data: bytes) -> None:
        """Discard the body: the head holds the whole report."""

    def on_complete(self) -> None:
        """Pass the response to the prober."""
        if self._head is not None:
            self._prober.on_health(self, self._head)

    def on_failed(self, sent: bool, malformed: bool) -> None:
        """Report that the server did not answer."""
        self._prober.on_probe_failed(self)


class Prober:
    """Sends health checks, at most one at a time to each server."""

    def __init__(
        self,
        poller: poller_module.DataPoller,
        pool: connections.ConnectionPool,
        registry: registry_module.Registry,
        dialect: dialect_module.Dialect,
        metrics: recorder.Recorder,
        on_rate_limit: RateLimitCallback,
        on_response: ResponseCallback,
        on_server_head: HeadCallback,
    ) -> None:
        """Initialize the prober with the pool for its connections."""
        self._on_response = on_response
        self._on_server_head = on_server_head
        self._on_rate_limit = on_rate_limit
        self._poller = poller
        self._pool = pool
        self._registry = registry
        self._dialect = dialect
        self._metrics = metrics
        self._running: dict[FleetServer, Probe] = {}
        self._budget = budget.RateBudget(0.0, 0.0)

    def probe(self, server: FleetServer, callback: ProbeCallback) -> None:
        """Probe a server; ``callback`` runs once it has answered or failed."""
        probe = self._running.get(server)
        if probe is None and self._budget.try_spend(time.monotonic()):
            probe = self._start_probe(server)
        if probe is None:
            self._poller.call_soon(callback)
            return
        probe.callbacks.append(callback)

    def set_rate(self, rate: float) -> None:
        """Limit probes to this rate per second."""
        self._budget.set_rate(rate, rate * const.PROBE_BURST_S)

    def is_health_response(self, head: client.ResponseHead) -> bool:
        """Return whether the response answers a health check."""
        return self._dialect.is_health_response(head)

    def on_health(self, probe: Probe, head: client.ResponseHead) -> None:
        """Record the health report and log a changed state of the server."""
        server = probe.server
        now = time.monotonic()
        health = self._dialect.health_report(head)
        if not health.server_id:
            # A refusal of any request; the health response may follow it.
            probe.connection.abandon()
            self.on_probe_failed(probe)
            return
        if health.server_id == server.server_id:
            self._on_response(server, probe.connection, probe.sent_at)
        old_state = (server.healthy, server.is_cold(now), server.is_misplaced)
        server.update_health(health, now)
        new_state = (server.healthy, server.is_cold(now), server.is_misplaced)
        if old_state != new_state:
            logs.log_status(
                "server",
                server=server.server_id,
                healthy=new_state[0],
                cold_ms=round(health.cold_for_s * 1000),
                misplaced=new_state[2],
                said_by=health.server_id,
            )
        if not server.is_misplaced:
            self._on_server_head(server, head)
            self._on_rate_limit(server, health.rate_limit)
        self._pool.release_connection(probe.connection)
        self._finish_probe(probe)

    def on_probe_failed(self, probe: Probe) -> None:
        """Record that the server did not answer."""
        if probe.is_ended:
            return
        server = probe.server
        self._metrics.count("probes_failed")
        server.record_failure(time.monotonic())
        limit = probe.connection.exceeded_limit
        facts = {}
        if limit is not None:
            self._metrics.count(f"limits_exceeded.{limit.value}")
            facts["limit"] = limit.value
        logs.log_status(
            "server", server=server.server_id, answers_probes=False, **facts
        )
        self._finish_probe(probe)

    def _start_probe(self, server: FleetServer) -> Probe | None:
        """Send a health check; None if there is no connection."""
        address = server.entry.address
        connection = self._pool.acquire(address)
        if connection is None:
            server.record_failure(time.monotonic())
            return None
        self._metrics.count("probes")
        path = self._registry.health_path(server.entry.service)
        head = f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n"
        probe = Probe(self, server, connection)
        self._running[server] = probe
        connection.send_request(head.encode("latin-1"), probe, is_head=False)
        when = time.monotonic() + const.PROBE_TIMEOUT_S
        self._poller.call_at(when, lambda now: self._on_timeout(probe))
        return probe

    def _on_timeout(self, probe: Probe) -> None:
        """Fail a probe whose response is late."""
        if not probe.is_ended:
            probe.connection.abandon()
            self.on_probe_failed(probe)

    def _finish_probe(self, probe: Probe) -> None:
        """Remove the probe and run its callbacks."""
        probe.is_ended = True
        if self._running.get(probe.server) is probe:
            del self._running[probe.server]
        for callback in probe.callbacks:
            callback()
