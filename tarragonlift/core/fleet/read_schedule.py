"""Decides which daemon reads the list of servers, and when.

Each reading is told to all other daemons and puts off theirs. The daemons
wait for different times, so that usually the same one reads; where it falls
silent the next one does, and who hears of nobody reads by itself in time.
"""

from __future__ import annotations

import math

from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import members as members_module
from tarragonlift.core.fleet import ranking

KEY_LIST = "server-list"


class ReadSchedule:
    """Tells when this daemon has to read the list."""

    def __init__(self, members: members_module.Members) -> None:
        """Take turns with these daemons."""
        self._members = members
        self._longest_s = 0.0
        self._known_at = -math.inf
        self._place = ranking.CachedRank(KEY_LIST, members.own.daemon)

    def set_max_age(self, seconds: float) -> None:
        """Let the list never get older than this, in seconds."""
        self._longest_s = seconds

    @property
    def known_at(self) -> float:
        """Return the time of the newest reading that is known here."""
        return self._known_at

    @property
    def due_at(self) -> float:
        """Return when this daemon reads unless another one does before."""
        return self._known_at + self._wait()

    def on_read(self, now: float) -> None:
        """Note a reading, by this daemon or by another one."""
        self._known_at = max(self._known_at, now)

    def _wait(self) -> float:
        """Return how long this daemon waits after a reading."""
        names = self._members.names
        place = self._place.among(names) / len(names)
        first = const.FIRST_READ_SHARE
        return self._longest_s * (first + (1.0 - first) * place)
