"""Detection of requests that crash the backend servers.

A request is suspected if a connection breaks while it is in flight. Many
requests may be in flight on a server that crashes; the harmless ones succeed
on another server, which clears them. A request that always ends in a broken
connection reaches the limit, and every daemon holds it back until an operator
releases it. Each daemon keeps its counts under its own name, so that they add
up correctly in whatever order gossip delivers them.
"""

from __future__ import annotations

import attrs

from tarragonlift.core import models
from tarragonlift.core import replica

SEPARATOR = "/"
MAX_SUSPECTED_REQUESTS = 1000


@attrs.frozen
class SuspectedRequest:
    """Request with the number of crashes that it is suspected of."""

    fingerprint: str
    route: str
    crashes: int


class CrashTracker:
    """Counts of crashes per request over all daemons."""

    def __init__(self, daemon: str, shared_replica: replica.Replica) -> None:
        """Initialize the tracker that counts as this daemon."""
        self._daemon = daemon
        self._replica = shared_replica
        self._crashes: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of suspected requests."""
        return len(self._crashes)

    def crash_count(self, fingerprint: str) -> int:
        """Return the number of crashes of a request over all daemons."""
        return self._crashes.get(fingerprint, 0)

    def is_held(self, request: models.Request) -> bool:
        """Return whether requests with this fingerprint are held back."""
        crashes = self.crash_count(request.fingerprint)
        return crashes >= request.service.crash_limit

    def record_crash(self, fingerprint: str, route: str) -> int:
        """Count a broken connection; return the crashes over all daemons."""
        if len(self._crashes) >= MAX_SUSPECTED_REQUESTS:
            return self.crash_count(fingerprint)
        name = fingerprint + SEPARATOR + self._daemon
        item = self._replica.get(replica.KIND_HELD, name)
        count = int(item.value["crashes"]) if item is not None else 0
        value = {"crashes": count + 1, "route": route}
        self._replica.put(replica.KIND_HELD, name, value)
        self.refresh()
        return self.crash_count(fingerprint)

    def clear(self, fingerprint: str) -> bool:
        """Reset the crashes of a request; return whether there were any."""
        if fingerprint not in self._crashes:
            return False
        for item in self._replica.items(replica.KIND_HELD):
            if _fingerprint(item) == fingerprint and item.value["crashes"]:
                value = {**item.value, "crashes": 0}
                self._replica.put(replica.KIND_HELD, item.name, value)
        self.refresh()
        return True

    def list_suspected(self) -> list[SuspectedRequest]:
        """Return the suspected requests, sorted by fingerprint."""
        routes = {
            _fingerprint(item): str(item.value["route"])
            for item in self._replica.items(replica.KIND_HELD)
        }
        return [
            SuspectedRequest(fingerprint, routes.get(fingerprint, ""), count)
            for fingerprint, count in sorted(self._crashes.items())
        ]

    def refresh(self) -> None:
        """Recalculate the counts after items changed."""
        crashes: dict[str, int] = {}
        for item in self._replica.items(replica.KIND_HELD):
            count = int(item.value["crashes"])
            if count:
                fingerprint = _fingerprint(item)
                crashes[fingerprint] = crashes.get(fingerprint, 0) + count
        self._crashes = crashes


def _fingerprint(item: replica.Item) -> str:
    """Return the fingerprint whose crashes an item counts."""
    return item.name.partition(SEPARATOR)[0]
