"""Decides which daemon reads the list of servers, and when.

Each read is announced to all other daemons and delays theirs. The delays
differ between daemons, so that usually the same daemon reads; if it fails the
next one takes over. A daemon that receives no announcements reads the list
itself in time.
"""

from __future__ import annotations

import math

from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import members as members_module
from tarragonlift.core.fleet import ranking

KEY_LIST = "server-list"


class ReadSchedule:
    """Determines when this daemon reads the list."""

    def __init__(self, members: members_module.Members) -> None:
        """Initialize the schedule for a group of daemons."""
        self._members = members
        self._max_age_s = 0.0
        self._last_read_at = -math.inf
        self._is_paused = False
        # When a daemon that precedes this one last read the list.
        self._leader_read_at = -math.inf
        self._rank = ranking.CachedRank(KEY_LIST, members.own.daemon)

    def set_max_age(self, seconds: float) -> None:
        """Set the maximum age of the list in seconds."""
        self._max_age_s = seconds

    @property
    def last_read_at(self) -> float:
        """Return the time of the most recent known read."""
        return self._last_read_at

    @property
    def due_at(self) -> float:
        """Return when this daemon reads unless another daemon reads first."""
        return self._last_read_at + self._delay_s()

    def on_read(self, now: float) -> None:
        """Record a read by this daemon or by another one."""
        self._last_read_at = max(self._last_read_at, now)
        self._is_paused = False

    def on_pause(self) -> None:
        """Record a pause of this process, which is no outage of the store."""
        self._is_paused = True

    def ends_outage(self, read_at: float) -> bool:
        """Return whether nobody could read the list for long before a read.

        Reads by other daemons count, so trouble of one daemon is no outage.
        """
        if self._is_paused or self._last_read_at == -math.inf:
            return False
        min_outage_s = max(
            const.MIN_OUTAGE_S, self._max_age_s * const.OUTAGE_AGE_FACTOR
        )
        return read_at - self._last_read_at >= min_outage_s

    def on_peer_read(self, daemon: str, when: float) -> None:
        """Record which other daemon has read the list."""
        if daemon < self._members.own.daemon:
            self._leader_read_at = max(self._leader_read_at, when)

    def leads(self, now: float) -> bool:
        """Return whether this daemon is the first of those that read lately.

        Daemons that are due at the same moment all read.
        """
        return now - self._leader_read_at > self._max_age_s

    def _delay_s(self) -> float:
        """Return this daemon's delay after a read in seconds."""
        names = self._members.names
        position = self._rank.among(names) / len(names)
        first, last = const.FIRST_OTHER_READ_SHARE, 1.0
        if self._members.is_store_contact:
            first = const.FIRST_READ_SHARE
            last = const.LAST_CONTACT_READ_SHARE
            if not self.leads(self._last_read_at):
                first += const.YIELD_READ_SHARE
                last += const.YIELD_READ_SHARE
        return self._max_age_s * (first + (last - first) * position)
