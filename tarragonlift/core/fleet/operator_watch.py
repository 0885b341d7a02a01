"""Decides which daemons wait for operators' changes at the store.

A few daemons of each data centre wait at the store, forward changes to the
others there and send heartbeats. A daemon that receives no heartbeats waits
itself, early enough to know changes within the configured time.
"""

from __future__ import annotations

import math

from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import members as members_module
from tarragonlift.core.fleet import ranking

KEY_OPERATORS = "operators"


class OperatorWatch:
    """Determines whether this daemon waits for changes itself."""

    def __init__(self, members: members_module.Members) -> None:
        """Initialize the watch; ``set_max_delay`` sets its time limit."""
        self._members = members
        self._max_delay_s = 0.0
        self._heartbeat_at = -math.inf
        self._rank = ranking.CachedRank(KEY_OPERATORS, members.own.daemon)

    @property
    def heartbeat_interval_s(self) -> float:
        """Return the interval of a waiting daemon's heartbeats in seconds."""
        return self._max_delay_s * const.WATCH_HEARTBEAT_SHARE

    def set_max_delay(self, seconds: float) -> None:
        """Set the time in seconds within which a change must be known."""
        self._max_delay_s = seconds

    def on_heartbeat(self, now: float) -> None:
        """Record that another daemon of this data centre is waiting."""
        self._heartbeat_at = max(self._heartbeat_at, now)

    def is_due(self, now: float) -> bool:
        """Return whether this daemon has to wait for changes itself."""
        share = const.LAST_TAKEOVER_SHARE
        if self._members.is_loaded:
            names = self._members.local_names
            rank = self._rank.among(names)
            if rank < const.MAX_WATCHERS:
                return True
            first = const.FIRST_TAKEOVER_SHARE
            share = first + (share - first) * rank / len(names)
        return now - self._heartbeat_at > self._max_delay_s * share
