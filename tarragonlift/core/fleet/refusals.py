"""When a refused caller should come back."""

from __future__ import annotations

from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import models


def come_back_s(request: models.RoutedRequest, now: float) -> float:
    """Return after how many seconds the caller should send again."""
    return within_bounds(request.deadline_at - now)


def within_bounds(left_s: float) -> float:
    """Return the pause for a caller with this much time left, in seconds.

    Callers honour a pause of at most a third of their time.
    """
    wanted = max(const.COME_BACK_LEAST_S, const.COME_BACK_SHARE * left_s)
    return min(wanted, const.COME_BACK_MOST_S)
