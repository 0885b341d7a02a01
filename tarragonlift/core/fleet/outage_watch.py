"""Decides which daemons try the store while it is away.

Load: hundreds of daemons that lose the store at the same moment. If each of
them tried again every second or two, an outage would cost more calls than the
rest of the day. The first daemons of each data centre try; they tell the
others there, which try one after another, far less often. A daemon that hears
nobody tries itself, and so does one that knows that somebody has reached the
store since: it refuses only some hosts then.
"""

from __future__ import annotations

import math

from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import members as members_module


class OutageWatch:
    """Determines whether this daemon tries the store during an outage."""

    def __init__(self, members: members_module.Members) -> None:
        """Initialize the watch without an outage."""
        self._members = members
        self._began_at = -math.inf
        self._heard_at = -math.inf
        self._reached_at = -math.inf
        self._next_try_at = -math.inf

    def on_notice(self, now: float) -> None:
        """Record that a daemon of this data centre tries without success."""
        if not self._hears_others(now):
            self._began_at = now
            self._next_try_at = now + self._first_delay_s
        self._heard_at = now

    def on_store_reached(self, when: float) -> None:
        """Record that some daemon has reached the store at a time."""
        self._reached_at = max(self._reached_at, when)

    def may_try(self, now: float) -> bool:
        """Return whether this daemon may call the store now.

        While others try, each permission is followed by a long pause.
        """
        if self._members.is_store_contact or not self._is_away(now):
            return True
        if now < self._next_try_at:
            return False
        daemons = len(self._members.local_names)
        self._next_try_at = now + daemons / const.DEFERRED_TRIES_PER_S
        return True

    @property
    def _first_delay_s(self) -> float:
        """Return the delay of the first own try, which grows with the rank."""
        rank = self._members.local_rank - const.MAX_WATCHERS + 1
        return rank / const.DEFERRED_TRIES_PER_S

    def _is_away(self, now: float) -> bool:
        """Return whether the store seems to be away for everybody."""
        is_reached = (
            self._reached_at > self._began_at
            and now - self._reached_at <= const.STORE_REACHED_TTL_S
        )
        return self._hears_others(now) and not is_reached

    def _hears_others(self, now: float) -> bool:
        """Return whether another daemon has tried recently."""
        return now - self._heard_at <= const.OUTAGE_NOTICE_TTL_S
