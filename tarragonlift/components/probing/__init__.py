"""Rate-limited probes of backend servers without recent load reports.

Load reports in the headers of responses cost nothing and are preferred. A
server is probed only if it sent no report for a while, and only with a probe
lease that this daemon holds.
"""

from __future__ import annotations

import orjson

from tarragonlift.components.data_path import byte_limits
from tarragonlift.components.data_path import client
from tarragonlift.components.data_path import server
from tarragonlift.components.metrics import recorder
from tarragonlift.components.probing import const
from tarragonlift.core import backend as backend_module
from tarragonlift.core import balancer as balancer_module
from tarragonlift.core import interfaces
from tarragonlift.core import probe_leases
from tarragonlift import exceptions


class Probe(client.ResponseListener):
    """Request to the load endpoint of a server."""

    def __init__(
        self,
        prober: Prober,
        backend: backend_module.Backend,
        connection: client.ClientConnection,
    ) -> None:
        """Initialize the probe on a connection."""
        self._prober = prober
        self._backend = backend
        self._connection = connection
        self._body: list[bytes] = []
        self.is_ended = False

    @property
    def max_body_bytes(self) -> float:
        """Return the maximum size in bytes of the response's body."""
        return byte_limits.MAX_HEALTH_BODY_BYTES

    def on_head(self, head: client.ResponseHead) -> None:
        """Ignore the head; only the body has the report."""

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self._body.append(data)

    def on_complete(self) -> None:
        """Pass the body to the prober."""
        self.is_ended = True
        self._prober.on_report(
            self._backend, self._connection, b"".join(self._body)
        )

    def on_failed(self, sent: bool, malformed: bool) -> None:
        """Ignore the failure, which says little about the server."""
        self.is_ended = True

    def expire(self, now: float) -> None:
        """Abandon the probe if no response arrived in time."""
        if not self.is_ended:
            self.is_ended = True
            self._connection.abandon()


class Prober:
    """Maintains probe leases and sends the probes that they allow."""

    def __init__(
        self,
        loop: interfaces.Loop,
        balancer: balancer_module.Balancer,
        table: interfaces.Table,
        data_path: server.DataPath,
        metrics: recorder.Recorder,
    ) -> None:
        """Initialize the prober, which is idle until ``start``."""
        self._loop = loop
        self._balancer = balancer
        self._leases = balancer.probe_leases
        self._table = table
        self._data_path = data_path
        self._metrics = metrics

    def start(self) -> None:
        """Start acquiring leases and probing."""
        now = self._loop.now()
        self._read_rows(now)
        self._tick(now)

    def on_report(
        self,
        backend: backend_module.Backend,
        connection: client.ClientConnection,
        body: bytes,
    ) -> None:
        """Process the load report of a server, which may be outdated."""
        self._data_path.release_connection(connection)
        try:
            document = orjson.loads(body)
            start_id = str(document["start"])
            load = float(document["load"])
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            return
        now = self._loop.now()
        self._balancer.servers.on_headers(backend, start_id, load, now)

    def _read_rows(self, now: float) -> None:
        """Read the rows of the leases periodically."""
        when = now + const.LEASE_READ_INTERVAL_S
        self._loop.call_at(when, self._read_rows)
        if not self._leases.keys:
            return

        def on_rows(
            rows: list[interfaces.Row] | exceptions.PlatformError,
        ) -> None:
            if not isinstance(rows, exceptions.PlatformError):
                self._leases.on_rows(rows, self._loop.now())

        self._table.scan(probe_leases.LEASE_KEY_PREFIX, on_rows)

    def _tick(self, now: float) -> None:
        """Acquire or renew leases, and probe with the ones held."""
        self._loop.call_at(now + const.TICK_INTERVAL_S, self._tick)
        for operation in self._leases.next_writes(now):
            self._write(operation)
        for key in self._leases.keys:
            service = key.split("/")[1]
            backend = self._find_stale_backend(service, now)
            if backend is not None and self._leases.acquire_probe(key, now):
                self._probe(backend, now)

    def _write(self, operation: interfaces.Operation) -> None:
        """Write the row of a lease."""

        def on_written(
            result: list[interfaces.Row] | exceptions.PlatformError,
        ) -> None:
            if isinstance(result, exceptions.PlatformError):
                self._leases.on_answer_lost(operation.key)
            else:
                now = self._loop.now()
                self._leases.on_write_result(operation.key, result, now)

        self._table.transact([operation], on_written)

    def _find_stale_backend(
        self, service: str, now: float
    ) -> backend_module.Backend | None:
        """Return the server with the oldest load report if it is stale."""
        pool = self._balancer.pools.get(service)
        if pool is None or not pool.backends:
            return None
        oldest = min(pool.backends, key=lambda backend: backend.reported_at)
        if now - oldest.reported_at < const.REPORT_STALE_TIMEOUT_S:
            return None
        return oldest

    def _probe(self, backend: backend_module.Backend, now: float) -> None:
        """Send a probe to a server."""
        address = backend.instance.address
        connection = self._data_path.acquire_probe_connection(address)
        if connection is None:
            return
        self._metrics.count("probes")
        # Counts as a report, so that the next probe goes to another server.
        backend.reported_at = now
        head = f"GET {const.LOAD_PATH} HTTP/1.1\r\nHost: {address}\r\n\r\n"
        probe = Probe(self, backend, connection)
        connection.send_request(head.encode(), probe, is_head=False)
        when = now + const.PROBE_TIMEOUT_S
        self._loop.call_at(when, probe.expire)


def create_prober(
    loop: interfaces.Loop,
    balancer: balancer_module.Balancer,
    table: interfaces.Table,
    data_path: server.DataPath,
    metrics: recorder.Recorder,
) -> Prober:
    """Return a prober that is not started."""
    return Prober(loop, balancer, table, data_path, metrics)
