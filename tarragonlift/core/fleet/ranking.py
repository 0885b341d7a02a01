"""The place of a daemon in the order of all for some duty."""

from __future__ import annotations

from tarragonlift.core import rendezvous


class CachedRank:
    """Keeps a daemon's place until the daemons change."""

    def __init__(self, key: str, daemon: str) -> None:
        """Rank for the duty of this key."""
        self._key = key
        self._daemon = daemon
        self._names: tuple[str, ...] = ()
        self._place = 0

    def among(self, names: tuple[str, ...]) -> int:
        """Return the place among daemons, this one included; 0 is first."""
        if names != self._names:
            self._names = names
            hashed = rendezvous.hash_members(names)
            order = rendezvous.rank(self._key, hashed, len(names))
            self._place = order.index(self._daemon)
        return self._place
