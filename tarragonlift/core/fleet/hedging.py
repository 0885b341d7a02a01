"""When a second sending of a request is worth its cost."""

from __future__ import annotations

import math

from tarragonlift.core.fleet import chooser
from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import models


class HedgePlan:
    """Plans the looks for a second server of one request.

    The first is so early that its answer can still be in time; later ones are
    made so that the request is answered at all.
    """

    def __init__(
        self, request: models.RoutedRequest, times: chooser.ServiceTimes
    ) -> None:
        """Plan nothing yet."""
        self._request = request
        self._times = times
        self._looks = 0
        self._at = math.inf

    @property
    def at(self) -> float:
        """Return when the next look is due; infinity: never."""
        return self._at

    def plan(self, now: float) -> bool:
        """Plan the next look; return whether there is time for it."""
        self._at = self._next_at(now)
        return self._at < self._request.give_up_at

    def begin(self) -> None:
        """Count a look that is made now."""
        self._at = math.inf
        self._looks += 1

    def plan_again(self, now: float) -> bool:
        """Plan one more look, if that is allowed and there is time."""
        if self.plan(now) and self._looks < const.MAX_HEDGE_LOOKUPS:
            return True
        self._at = math.inf
        return False

    def is_worth(self, choice: chooser.Choice, now: float) -> bool:
        """Return whether a free server will answer in time at all."""
        if not choice.server.has_free_slot:
            return False
        ends_at = now + choice.expected_s
        if self._looks <= 1:
            return ends_at <= self._request.target_answer_at
        return ends_at <= self._request.give_up_at

    def _next_at(self, now: float) -> float:
        """Return when a second sending is worth its cost."""
        request = self._request
        usual = self._times.get(request.route)
        in_time = request.target_answer_at - const.HEDGE_SERVICE_TIMES * usual
        in_time = max(in_time, now + usual)
        if self._looks == 0 and in_time + usual <= request.target_answer_at:
            return in_time
        whole = request.give_up_at - request.received_at
        late = request.received_at + const.HEDGE_LATE_SHARE * whole
        return max(late, now + 2 * usual)
