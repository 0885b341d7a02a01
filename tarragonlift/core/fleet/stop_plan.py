"""Decides which requests are still sent to servers in a planned stop.

Load: a daemon that is to stop gets requests for some seconds more, and ends
after a fixed time whatever still runs. A request that is cut off then may have
run, and its caller does not know; refused before it was sent, it is served by
another daemon at once. So a request is sent only if its own time limit ends
before the process does, or if requests of its route have lately taken so much
less time that it will be answered by then.
"""

from __future__ import annotations

import math

from tarragonlift.core import actions
from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import models


class StopPlan:
    """Tracks how long attempts take, and when the process ends."""

    def __init__(self) -> None:
        """Initialize the plan of a process that is not to stop."""
        self._ends_at = math.inf
        self._routes: dict[str, _RouteDurations] = {}

    @property
    def is_stopping(self) -> bool:
        """Return whether the process is to stop."""
        return self._ends_at < math.inf

    def begin(self, ends_at: float) -> None:
        """Begin the stop; what still runs at ``ends_at`` is cut off."""
        self._ends_at = ends_at

    def may_send(
        self, route: models.Route, give_up_at: float, now: float
    ) -> bool:
        """Return whether a request will have its answer in time.

        ``give_up_at`` is the time at which the request is given up. Attempts
        that take long are expected on a route without any observation.
        """
        if give_up_at <= self._ends_at:
            return True
        durations = self._routes.get(route.name)
        if durations is None:
            return False
        factor = const.STOP_DURATION_FACTOR
        if not route.idempotent:
            factor = const.STOP_ONCE_DURATION_FACTOR
        return now + factor * durations.longest_s(now) <= self._ends_at

    def on_sent(self, route: models.Route, attempt: actions.Attempt) -> None:
        """Record an attempt that was sent."""
        durations = self._routes.setdefault(route.name, _RouteDurations())
        durations.running[attempt] = None

    def on_ended(
        self, route: models.Route, attempt: actions.Attempt, now: float
    ) -> None:
        """Record the end of an attempt, however it ended."""
        self._routes[route.name].end(attempt, now)


class _RouteDurations:
    """Durations in seconds of the attempts of one route."""

    def __init__(self) -> None:
        """Initialize without any attempt."""
        # Attempts in progress, oldest first.
        self.running: dict[actions.Attempt, None] = {}
        # Longest attempts that ended in the current window and before it.
        self._longest_s = math.nan
        self._previous_longest_s = math.nan
        self._window_ends_at = -math.inf

    def end(self, attempt: actions.Attempt, now: float) -> None:
        """Record the end of an attempt."""
        del self.running[attempt]
        self._turn_window(now)
        self._longest_s = _longest(self._longest_s, now - attempt.started_at)

    def longest_s(self, now: float) -> float:
        """Return the longest duration lately, or infinity if none is known."""
        self._turn_window(now)
        longest = _longest(self._longest_s, self._previous_longest_s)
        if math.isnan(longest):
            return math.inf
        oldest = next(iter(self.running), None)
        if oldest is None:
            return longest
        return max(longest, now - oldest.started_at)

    def _turn_window(self, now: float) -> None:
        """Begin a new window if the current one is over."""
        if now < self._window_ends_at:
            return
        was_last = now < self._window_ends_at + const.STOP_DURATION_WINDOW_S
        self._previous_longest_s = self._longest_s if was_last else math.nan
        self._longest_s = math.nan
        self._window_ends_at = now + const.STOP_DURATION_WINDOW_S


def _longest(first: float, second: float) -> float:
    """Return the larger number of those that are known."""
    if math.isnan(first) or second > first:
        return second
    return first
