"""Rank of a daemon among all daemons for a task."""

from __future__ import annotations

from tarragonlift.core import rendezvous


class CachedRank:
    """Caches a daemon's rank until the set of daemons changes."""

    def __init__(self, key: str, daemon: str) -> None:
        """Initialize the rank of a daemon for the task of a key."""
        self._key = key
        self._daemon = daemon
        self._names: tuple[str, ...] = ()
        self._rank = 0

    def among(self, names: tuple[str, ...]) -> int:
        """Return the rank among daemons including this one; 0 is first."""
        if names is not self._names and names != self._names:
            self._names = names
            hashed = rendezvous.hash_members(names)
            order = rendezvous.rank(self._key, hashed, len(names))
            self._rank = order.index(self._daemon)
        return self._rank
