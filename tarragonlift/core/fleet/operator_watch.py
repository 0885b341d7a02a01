"""Decides which daemons wait for operators' changes at the store.

A few daemons of each data centre wait at the store, forward changes to the
others there and send heartbeats. A daemon that receives no heartbeats waits
itself, early enough to know changes within the configured time.
"""

from __future__ import annotations

import math

from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import members as members_module


class OpenCall:
    """Tells whether an open call for operators' changes still delivers them.

    Load: connections that fall silent without an end, as the store turned this
    daemon away for a while. Nothing shows on such a connection but the lack of
    an answer, and a call for changes has none for a long time.
    """

    def __init__(self) -> None:
        """Initialize without an open call."""
        self.is_open = False
        self._is_doubtful = False
        self._replace_at = math.inf

    def open(self) -> None:
        """Record that a call was started."""
        self.is_open = True
        self._is_doubtful = False
        self._replace_at = math.inf

    def close(self) -> None:
        """Record that the call has ended."""
        self.is_open = False

    def on_change_known(self, now: float) -> None:
        """Record a change that the call has not delivered yet."""
        due_at = now + const.CHANGE_LAG_S
        self._replace_at = min(self._replace_at, due_at)

    def on_call_failed(self) -> None:
        """Record that another call of this daemon got no answer."""
        self._is_doubtful = True

    def on_call_answered(self, now: float) -> None:
        """Record that another call of this daemon was answered."""
        if self._is_doubtful:
            self._replace_at = min(self._replace_at, now)

    def is_replaced(self, now: float) -> bool:
        """Return whether the call is to be replaced by a new one."""
        return self.is_open and now >= self._replace_at


class OperatorWatch:
    """Determines whether this daemon waits for changes itself."""

    def __init__(self, members: members_module.Members) -> None:
        """Initialize the watch; ``set_max_delay`` sets its time limit."""
        self._members = members
        self._max_delay_s = 0.0
        self._heartbeat_at = -math.inf

    @property
    def heartbeat_interval_s(self) -> float:
        """Return the interval of a waiting daemon's heartbeats in seconds."""
        return self._max_delay_s * const.WATCH_HEARTBEAT_SHARE

    @property
    def catch_up_delay_s(self) -> float:
        """Return the delay in seconds before newer changes are read."""
        if self._members.is_store_contact:
            return self._max_delay_s * const.CATCH_UP_SHARE
        first = const.FIRST_LATE_CATCH_UP_SHARE
        share = const.LAST_LATE_CATCH_UP_SHARE - first
        position = self._members.local_rank / len(self._members.local_names)
        return self._max_delay_s * (first + share * position)

    @property
    def check_interval_s(self) -> float:
        """Return the longest time that all open calls may go unchecked."""
        return self._max_delay_s * const.CHANGES_CHECK_SHARE

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
            if self._members.is_store_contact:
                return True
            daemons = len(self._members.local_names)
            first = const.FIRST_TAKEOVER_SHARE
            position = self._members.local_rank / daemons
            share = first + (share - first) * position
        return now - self._heartbeat_at > self._max_delay_s * share
