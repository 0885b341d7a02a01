"""Requests that seem to crash the backend servers that run them.

A request is suspected when a connection dies with it in flight. Many requests
may be in flight on a server that crashes; those that are harmless succeed
elsewhere, which clears them. A request that only ever ends in a broken
connection reaches the limit and is held back by every daemon until an
operator releases it. Each daemon counts under its own name, so that counts
add up however the news travels.
"""

from __future__ import annotations

import attrs

from tarragonlift.core import models
from tarragonlift.core import replica

SEPARATOR = "/"
MAX_SUSPECTED_REQUESTS = 1000


@attrs.frozen
class SuspectedRequest:
    """A request with the crashes that it is suspected of."""

    fingerprint: str
    route: str
    crashes: int


class CrashTracker:
    """What all daemons together know of suspected requests."""

    def __init__(self, daemon: str, shared: replica.Replica) -> None:
        """Count in the name of this daemon."""
        self._daemon = daemon
        self._shared = shared
        self._crashes: dict[str, int] = {}

    def __len__(self) -> int:
        """Return how many requests are suspected now."""
        return len(self._crashes)

    def crash_count(self, fingerprint: str) -> int:
        """Return the crashes of a request, over all daemons."""
        return self._crashes.get(fingerprint, 0)

    def is_held(self, request: models.Request) -> bool:
        """Return whether requests like this one are held back."""
        crashes = self.crash_count(request.fingerprint)
        return crashes >= request.service.crash_limit

    def record_crash(self, fingerprint: str, route: str) -> int:
        """Count a connection that died; return the crashes in all."""
        if len(self._crashes) >= MAX_SUSPECTED_REQUESTS:
            return self.crash_count(fingerprint)
        name = fingerprint + SEPARATOR + self._daemon
        item = self._shared.get(replica.KIND_HELD, name)
        count = int(item.value["crashes"]) if item is not None else 0
        value = {"crashes": count + 1, "route": route}
        self._shared.put(replica.KIND_HELD, name, value)
        self.refresh()
        return self.crash_count(fingerprint)

    def clear(self, fingerprint: str) -> bool:
        """Forget the crashes of a request; return whether there were any."""
        if fingerprint not in self._crashes:
            return False
        for item in self._shared.items(replica.KIND_HELD):
            if _fingerprint(item) == fingerprint and item.value["crashes"]:
                value = {**item.value, "crashes": 0}
                self._shared.put(replica.KIND_HELD, item.name, value)
        self.refresh()
        return True

    def list_suspected(self) -> list[SuspectedRequest]:
        """Return the suspected requests."""
        routes = {
            _fingerprint(item): str(item.value["route"])
            for item in self._shared.items(replica.KIND_HELD)
        }
        return [
            SuspectedRequest(fingerprint, routes.get(fingerprint, ""), count)
            for fingerprint, count in sorted(self._crashes.items())
        ]

    def refresh(self) -> None:
        """Add the counts up anew after items changed."""
        crashes: dict[str, int] = {}
        for item in self._shared.items(replica.KIND_HELD):
            count = int(item.value["crashes"])
            if count:
                fingerprint = _fingerprint(item)
                crashes[fingerprint] = crashes.get(fingerprint, 0) + count
        self._crashes = crashes


def _fingerprint(item: replica.Item) -> str:
    """Return the fingerprint that an item counts for."""
    return item.name.partition(SEPARATOR)[0]
