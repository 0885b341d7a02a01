"""Probes of backend servers that were not heard from, within a budget.

What rides on answers costs nothing and comes first: only a server that was
quiet for a while is probed, and only on a seat that this daemon holds.
"""

from __future__ import annotations


import orjson

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
    """One request to a server's load endpoint."""

    def __init__(
        self,
        prober: Prober,
        backend: backend_module.Backend,
        connection: client.ClientConnection,
    ) -> None:
        """Ask on this connection."""
        self._prober = prober
        self._backend = backend
        self._connection = connection
        self._body: list[bytes] = []
        self.ended = False

    def on_head(self, head: client.ResponseHead) -> None:
        """Take the head."""

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._body.append(data)

    def on_complete(self) -> None:
        """Hand over what the server said."""
        self.ended = True
        self._prober.on_report(
            self._backend, self._connection, b"".join(self._body)
        )

    def on_failed(self, sent: bool, malformed: bool) -> None:
        """Learn nothing: a probe that fails proves little."""
        self.ended = True

    def expire(self, now: float) -> None:
        """Give up on an answer that did not come in time."""
        if not self.ended:
            self.ended = True
            self._connection.abandon()


class Prober:
    """Keeps seats and sends the probes that they allow."""

    def __init__(
        self,
        loop: interfaces.Loop,
        balancer: balancer_module.Balancer,
        table: interfaces.Table,
        data_path: server.DataPath,
        metrics: recorder.Recorder,
    ) -> None:
        """Do nothing before ``start``."""
        self._loop = loop
        self._balancer = balancer
        self._keeper = balancer.probe_leases
        self._table = table
        self._data_path = data_path
        self._metrics = metrics

    def start(self) -> None:
        """Take seats and probe from now on."""
        now = self._loop.now()
        self._read_rows(now)
        self._tick(now)

    def on_report(
        self,
        backend: backend_module.Backend,
        connection: client.ClientConnection,
        body: bytes,
    ) -> None:
        """Learn from a server's report, which is stale by its nature."""
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
        """Read the seats once in a while."""
        when = now + const.ROW_READ_INTERVAL_S
        self._loop.call_at(when, self._read_rows)
        if not self._keeper.keys:
            return

        def done(
            rows: list[interfaces.Row] | exceptions.PlatformError,
        ) -> None:
            if not isinstance(rows, exceptions.PlatformError):
                self._keeper.on_rows(rows, self._loop.now())

        self._table.scan(probe_leases.LEASE_KEY_PREFIX, done)

    def _tick(self, now: float) -> None:
        """Take or renew seats, and probe on those that are held."""
        self._loop.call_at(now + const.TICK_INTERVAL_S, self._tick)
        for operation in self._keeper.next_writes(now):
            self._write(operation)
        for key in self._keeper.keys:
            service = key.split("/")[1]
            backend = self._quietest(service, now)
            if backend is not None and self._keeper.acquire_probe(key, now):
                self._probe(backend, now)

    def _write(self, operation: interfaces.Operation) -> None:
        """Write one seat's row."""

        def done(
            result: list[interfaces.Row] | exceptions.PlatformError,
        ) -> None:
            if isinstance(result, exceptions.PlatformError):
                self._keeper.on_answer_lost(operation.key)
            else:
                now = self._loop.now()
                self._keeper.on_write_result(operation.key, result, now)

        self._table.transact([operation], done)

    def _quietest(
        self, service: str, now: float
    ) -> backend_module.Backend | None:
        """Return the server that was not heard from for the longest time."""
        pool = self._balancer.pools.get(service)
        if pool is None or not pool.backends:
            return None
        quietest = min(pool.backends, key=lambda one: one.reported_at)
        if now - quietest.reported_at < const.QUIET_TIME_S:
            return None
        return quietest

    def _probe(self, backend: backend_module.Backend, now: float) -> None:
        """Send one probe."""
        address = backend.instance.address
        connection = self._data_path.acquire_probe_connection(address)
        if connection is None:
            return
        self._metrics.count("probes")
        # Counts as heard, so that the next probe asks another server.
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
    """Return a prober that does nothing yet."""
    return Prober(loop, balancer, table, data_path, metrics)
