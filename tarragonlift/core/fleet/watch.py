"""Decides which daemons wait for operators' changes at the store.

A few daemons of each data centre wait and tell the others there what they
learn; now and then they tell that they still wait. A daemon that hears of
nobody waiting does so itself, in time for the changes it is bound by.
"""

from __future__ import annotations

import math

from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import members as members_module
from tarragonlift.core import rendezvous

KEY_OPERATORS = "operators"


class OperatorWatch:
    """Tells whether this daemon has to wait for changes itself."""

    def __init__(self, members: members_module.Members) -> None:
        """Take turns with these daemons; ``set_within`` tells how often."""
        self._members = members
        self._within_s = 0.0
        self._told_at = -math.inf
        self._ranked: tuple[str, ...] = ()
        self._place = 0

    @property
    def tell_every_s(self) -> float:
        """Return how often a daemon that waits tells it, in seconds."""
        return self._within_s * const.WATCH_TELL_SHARE

    def set_within(self, seconds: float) -> None:
        """Know changes within this time of their writing, in seconds."""
        self._within_s = seconds

    def on_told(self, now: float) -> None:
        """Note that a daemon of this data centre waits."""
        self._told_at = max(self._told_at, now)

    def is_due(self, now: float) -> bool:
        """Return whether this daemon has to wait for changes itself."""
        share = const.WATCH_LAST_SHARE
        if self._members.known:
            self._rank()
            if self._place < const.WATCHERS_MOST:
                return True
            first = const.WATCH_FIRST_SHARE
            place = self._place / len(self._ranked)
            share = first + (share - first) * place
        return now - self._told_at > self._within_s * share

    def _rank(self) -> None:
        """Find this daemon's place among those of its data centre."""
        names = self._members.near_names
        if names == self._ranked:
            return
        self._ranked = names
        hashed = rendezvous.hash_members(names)
        order = rendezvous.rank(KEY_OPERATORS, hashed, len(names))
        self._place = order.index(self._members.own.daemon)
