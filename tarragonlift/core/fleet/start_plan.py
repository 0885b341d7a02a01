"""Decides whether a starting daemon reads the store or asks its neighbours.

Load: hundreds of daemons that start at the same moment, or one that restarts
among others. Each read of the store at a start would cost as many calls as
there are daemons, so a daemon first asks others of its data centre for what
they know. When the whole system starts for the first time there is time to
wait for them; a restarted daemon waits for a few milliseconds only, because
callers are waiting.
"""

from __future__ import annotations

from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import members as members_module


class StartPlan:
    """Determines where a starting daemon gets its state from."""

    def __init__(
        self,
        members: members_module.Members,
        has_seeds: bool,
        is_seed: bool,
        is_first_start: bool,
    ) -> None:
        """Initialize the plan; ``start`` sets the time of the start.

        ``is_first_start``: all daemons start for the first time, before there
        are callers.
        """
        self._members = members
        self._asks = has_seeds and not is_seed
        self._is_first_start = is_first_start
        self._started_at = 0.0
        self._wait_until = 0.0

    def start(self, now: float) -> None:
        """Set the time of the start."""
        self._started_at = now
        self._wait_until = now + const.RESTART_WAIT_S

    def on_pending(self, now: float) -> None:
        """Wait longer for a neighbour that is reading the store."""
        latest = self._started_at + const.MAX_RESTART_WAIT_S
        until = min(latest, now + const.PENDING_WAIT_S)
        self._wait_until = max(self._wait_until, until)

    def may_read(self, now: float) -> bool:
        """Return whether the daemon reads the store itself."""
        if not self._asks:
            return True
        elapsed_s = now - self._started_at
        if self._is_first_start and elapsed_s < const.SETTLE_TIME_S:
            return False
        if self._is_provider:
            return True
        if self._is_first_start:
            return elapsed_s >= const.FIRST_START_WAIT_S
        return now >= self._wait_until

    def providers(self, now: float) -> list[members_module.Member]:
        """Return the daemons to ask for their state now."""
        if not self._asks or not self._members.is_loaded:
            return []
        is_settled = now - self._started_at >= const.SETTLE_TIME_S
        if self._is_first_start and not is_settled:
            return []
        return self._members.first_local_others(const.MAX_STATE_PROVIDERS)

    @property
    def _is_provider(self) -> bool:
        """Return whether others of the data centre ask this daemon."""
        return (
            self._members.is_loaded
            and self._members.local_rank < const.MAX_STATE_PROVIDERS
        )
