"""What a daemon knows of the backend servers, and tells the others."""

from __future__ import annotations

from collections import abc

from tarragonlift.core import const
from tarragonlift.core import models
from tarragonlift.core import pool as pool_module
from tarragonlift.core import replica

FAILURES_COLD = frozenset(
    (const.AttemptFailure.CONNECT_FAILED, const.AttemptFailure.SHED)
)
RANK_COLD = 1
RANK_LEAVING = 2

Note = abc.Callable[[str, str, str, float], object]


class ServerStateTracker:
    """Learns from answers and failures; follows what other daemons tell."""

    def __init__(
        self,
        daemon: str,
        shared: replica.Replica,
        pools: abc.Mapping[str, pool_module.ServicePool],
        note: Note,
    ) -> None:
        """Know the servers in these pools; tell in the daemon's name."""
        self._daemon = daemon
        self._shared = shared
        self._pools = pools
        self._note = note

    def find(self, key: str) -> pool_module.Backend | None:
        """Return the backend server of this name."""
        for pool in self._pools.values():
            one = pool.find(key)
            if one is not None:
                return one
        return None

    def all(self) -> abc.Iterator[pool_module.Backend]:
        """Return the backend servers of all services."""
        for pool in self._pools.values():
            yield from pool.backends

    def on_headers(
        self, one: pool_module.Backend, start_id: str, load: float, now: float
    ) -> None:
        """Learn from what a backend server says of itself."""
        one.reported_load = load
        one.reported_at = now
        if start_id and start_id != one.start_id:
            self._on_start_id(one, start_id)

    def on_failure(
        self,
        one: pool_module.Backend,
        failure: const.AttemptFailure,
        wall_time: float,
    ) -> None:
        """Learn from a failure of a backend server."""
        if failure is const.AttemptFailure.DRAINING:
            if not one.leaving:
                self.set_leaving(one, wall_time)
        elif failure in FAILURES_COLD:
            self.set_cold(one, wall_time)

    def set_leaving(self, one: pool_module.Backend, wall_time: float) -> None:
        """Send no new work to a backend server, and tell the others."""
        one.leaving = True
        self._tell(one, RANK_LEAVING)
        self._note(const.EVENT_BACKEND_LEAVING, one.key, "", wall_time)

    def set_cold(self, one: pool_module.Backend, wall_time: float) -> None:
        """Treat a backend server as cold, and tell the others."""
        was_warm = one.warmth is const.Warmth.WARM
        self._pool_of(one).set_cold(one)
        self._tell_cold(one, was_warm, "", wall_time)

    def on_connections_closed(
        self, address: models.Address, wall_time: float
    ) -> None:
        """A backend server closed its connections: it may have restarted."""
        for pool in self._pools.values():
            one = pool.find(str(address))
            if one is not None:
                was_warm = one.warmth is const.Warmth.WARM
                pool.set_unknown(one)
                detail = "connections lost"
                self._tell_cold(one, was_warm, detail, wall_time)

    def on_warm(self, key: str) -> None:
        """Tell the others that a backend server is warm."""
        for pool in self._pools.values():
            one = pool.find(key)
            if one is not None:
                self._tell(one, 0)

    def follow(self, item: replica.Item) -> None:
        """Take over what another daemon knows of a backend server."""
        if item.origin == self._daemon:
            return
        one = self.find(item.name)
        if one is None:
            return
        pool = self._pool_of(one)
        one.leaving = bool(item.value["leaving"])
        if item.value["warmth"] == const.Warmth.WARM.value:
            one.start_id = item.value["start"]
            pool.set_warm(one)
        elif one.warmth is const.Warmth.WARM:
            pool.set_unknown(one)

    def _tell_cold(
        self,
        one: pool_module.Backend,
        was_warm: bool,
        detail: str,
        wall_time: float,
    ) -> None:
        """Tell the others of a server that was warm and is not any more."""
        if was_warm:
            self._tell(one, RANK_COLD)
            self._note(const.EVENT_BACKEND_COLD, one.key, detail, wall_time)

    def _on_start_id(self, one: pool_module.Backend, start_id: str) -> None:
        """A backend server was started anew, or is seen first."""
        first = not one.start_id
        one.start_id = start_id
        one.leaving = False
        if not first:
            self._pool_of(one).set_cold(one)
            one.start_id = start_id
            self._tell(one, RANK_COLD)
            return
        item = self._shared.get(replica.KIND_BACKEND, one.key)
        if item is not None and item.value["start"] == start_id:
            self.follow(item)

    def _tell(self, one: pool_module.Backend, rank: int) -> None:
        """Tell the others what this daemon knows of a backend server."""
        value = {
            "start": one.start_id,
            "warmth": one.warmth.value,
            "leaving": one.leaving,
        }
        self._shared.put(replica.KIND_BACKEND, one.key, value, rank)

    def _pool_of(self, one: pool_module.Backend) -> pool_module.ServicePool:
        """Return the pool of a backend server."""
        return self._pools[one.instance.service]
