"""Decides which daemons wait for operators' changes at the store.

A few daemons of each data centre wait and tell the others there what they
learn; now and then they tell that they still wait. A daemon that hears of
nobody waiting does so itself, in time for the changes it is bound by.
"""

from __future__ import annotations

import math

from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import members as members_module
from tarragonlift.core.fleet import ranking

KEY_OPERATORS = "operators"


class OperatorWatch:
    """Tells whether this daemon has to wait for changes itself."""

    def __init__(self, members: members_module.Members) -> None:
        """Take turns with these daemons; ``set_max_delay`` tells how often."""
        self._members = members
        self._within_s = 0.0
        self._told_at = -math.inf
        self._place = ranking.CachedRank(KEY_OPERATORS, members.own.daemon)

    @property
    def heartbeat_interval_s(self) -> float:
        """Return how often a daemon that waits tells it, in seconds."""
        return self._within_s * const.WATCH_HEARTBEAT_SHARE

    def set_max_delay(self, seconds: float) -> None:
        """Know changes within this time of their writing, in seconds."""
        self._within_s = seconds

    def on_heartbeat(self, now: float) -> None:
        """Note that a daemon of this data centre waits."""
        self._told_at = max(self._told_at, now)

    def is_due(self, now: float) -> bool:
        """Return whether this daemon has to wait for changes itself."""
        share = const.LAST_TAKEOVER_SHARE
        if self._members.is_loaded:
            names = self._members.local_names
            place = self._place.among(names)
            if place < const.MAX_WATCHERS:
                return True
            first = const.FIRST_TAKEOVER_SHARE
            share = first + (share - first) * place / len(names)
        return now - self._told_at > self._within_s * share
