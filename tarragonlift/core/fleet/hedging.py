"""Decides when to send a request to a second server."""

from __future__ import annotations

import math

from tarragonlift.core.fleet import chooser
from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import models


class HedgePlan:
    """Schedules the searches for a second server for one request.

    The first search is early enough to meet the target latency; later ones
    ensure that the request is answered at all.
    """

    def __init__(
        self,
        request: models.RoutedRequest,
        service_times: chooser.ServiceTimes,
    ) -> None:
        """Initialize the plan without a scheduled search."""
        self._request = request
        self._service_times = service_times
        self._searches = 0
        self._at = math.inf

    @property
    def at(self) -> float:
        """Return the time of the next search, or infinity for none."""
        return self._at

    def plan(self, now: float) -> bool:
        """Schedule the next search; return whether there is time for it."""
        self._at = self._next_at(now)
        return self._at < self._request.give_up_at

    def begin(self) -> None:
        """Record that a search begins."""
        self._at = math.inf
        self._searches += 1

    def plan_again(self, now: float) -> bool:
        """Schedule another search if the limit and the time left allow it."""
        if self.plan(now) and self._searches < const.MAX_HEDGE_SEARCHES:
            return True
        self._at = math.inf
        return False

    def is_worthwhile(self, choice: chooser.Choice, now: float) -> bool:
        """Return whether the server is free and expected to answer in time."""
        if not choice.server.has_free_slot:
            return False
        ends_at = now + choice.expected_s
        if self._searches <= 1:
            return ends_at <= self._request.target_answer_at
        return ends_at <= self._request.give_up_at

    def _next_at(self, now: float) -> float:
        """Return the time from which a hedge is worth its cost."""
        request = self._request
        service_time = self._service_times.get(request.route)
        on_time_at = (
            request.target_answer_at - const.HEDGE_SERVICE_TIMES * service_time
        )
        on_time_at = max(on_time_at, now + service_time)
        if (
            self._searches == 0
            and on_time_at + service_time <= request.target_answer_at
        ):
            return on_time_at
        total_s = request.give_up_at - request.received_at
        late_at = request.received_at + const.HEDGE_LATE_SHARE * total_s
        return max(late_at, now + 2 * service_time)
