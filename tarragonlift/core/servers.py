"""Tracks the state of backend servers and shares it with other daemons."""

from __future__ import annotations

from collections import abc

from tarragonlift.core import const
from tarragonlift.core import models
from tarragonlift.core import pool as pool_module
from tarragonlift.core import replica

COLD_FAILURES = frozenset(
    (const.AttemptFailure.CONNECT_FAILED, const.AttemptFailure.SHED)
)
RANK_COLD = 1
RANK_LEAVING = 2

NoteCallback = abc.Callable[[str, str, str, float], object]


class ServerStateTracker:
    """Updates server state from answers, failures and gossip."""

    def __init__(
        self,
        daemon: str,
        shared_replica: replica.Replica,
        pools: abc.Mapping[str, pool_module.ServicePool],
        note: NoteCallback,
    ) -> None:
        """Initialize the tracker for the servers of these pools."""
        self._daemon = daemon
        self._replica = shared_replica
        self._pools = pools
        self._note = note

    def find(self, key: str) -> pool_module.Backend | None:
        """Return the backend server with this key, or None."""
        for pool in self._pools.values():
            server = pool.find(key)
            if server is not None:
                return server
        return None

    def all(self) -> abc.Iterator[pool_module.Backend]:
        """Iterate over the backend servers of all services."""
        for pool in self._pools.values():
            yield from pool.backends

    def on_headers(
        self,
        server: pool_module.Backend,
        start_id: str,
        load: float,
        now: float,
    ) -> None:
        """Update the load and start ID that a backend server reports."""
        server.reported_load = load
        server.reported_at = now
        if start_id and start_id != server.start_id:
            self._on_start_id(server, start_id)

    def on_failure(
        self,
        server: pool_module.Backend,
        failure: const.AttemptFailure,
        wall_time: float,
    ) -> None:
        """Update the state of a backend server after a failed attempt."""
        if failure is const.AttemptFailure.DRAINING:
            if not server.leaving:
                self.set_leaving(server, wall_time)
        elif failure in COLD_FAILURES:
            self.set_cold(server, wall_time)

    def set_leaving(
        self, server: pool_module.Backend, wall_time: float
    ) -> None:
        """Stop sending new requests to a backend server and publish this."""
        server.leaving = True
        self._publish(server, RANK_LEAVING)
        self._note(const.EVENT_BACKEND_LEAVING, server.key, "", wall_time)

    def set_cold(self, server: pool_module.Backend, wall_time: float) -> None:
        """Mark a backend server as cold and publish this."""
        was_warm = server.warmth is const.Warmth.WARM
        self._pool_of(server).set_cold(server)
        self._publish_cold(server, was_warm, "", wall_time)

    def on_connections_closed(
        self, address: models.Address, wall_time: float
    ) -> None:
        """Mark a server as unknown after it closed its connections.

        It may have restarted.
        """
        for pool in self._pools.values():
            server = pool.find(str(address))
            if server is not None:
                was_warm = server.warmth is const.Warmth.WARM
                pool.set_unknown(server)
                detail = "connections lost"
                self._publish_cold(server, was_warm, detail, wall_time)

    def on_warm(self, key: str) -> None:
        """Publish that a backend server is warm."""
        for pool in self._pools.values():
            server = pool.find(key)
            if server is not None:
                self._publish(server, 0)

    def apply_item(self, item: replica.Item) -> None:
        """Apply the state of a backend server published by another daemon."""
        if item.origin == self._daemon:
            return
        server = self.find(item.name)
        if server is None:
            return
        pool = self._pool_of(server)
        server.leaving = bool(item.value["leaving"])
        if item.value["warmth"] == const.Warmth.WARM.value:
            server.start_id = item.value["start"]
            pool.set_warm(server)
        elif server.warmth is const.Warmth.WARM:
            pool.set_unknown(server)

    def _publish_cold(
        self,
        server: pool_module.Backend,
        was_warm: bool,
        detail: str,
        wall_time: float,
    ) -> None:
        """Publish that a server is no longer warm, if it was."""
        if was_warm:
            self._publish(server, RANK_COLD)
            self._note(const.EVENT_BACKEND_COLD, server.key, detail, wall_time)

    def _on_start_id(self, server: pool_module.Backend, start_id: str) -> None:
        """Handle a new start ID: a restart or the first contact."""
        is_first = not server.start_id
        server.start_id = start_id
        server.leaving = False
        if not is_first:
            self._pool_of(server).set_cold(server)
            server.start_id = start_id
            self._publish(server, RANK_COLD)
            return
        item = self._replica.get(replica.KIND_BACKEND, server.key)
        if item is not None and item.value["start"] == start_id:
            self.apply_item(item)

    def _publish(self, server: pool_module.Backend, rank: int) -> None:
        """Publish this daemon's state of a backend server."""
        value = {
            "start": server.start_id,
            "warmth": server.warmth.value,
            "leaving": server.leaving,
        }
        self._replica.put(replica.KIND_BACKEND, server.key, value, rank)

    def _pool_of(self, server: pool_module.Backend) -> pool_module.ServicePool:
        """Return the pool that a backend server belongs to."""
        return self._pools[server.instance.service]
