"""When a refused caller should come back."""

from __future__ import annotations

from tarragonlift.core.fleet import const
from tarragonlift import exceptions


def retry_after_s(refusal: exceptions.Refusal, left_s: float) -> float:
    """Return after how many seconds the caller should send again.

    Callers honour a pause of at most a third of the ``left_s`` seconds that
    they have. After an overload the longest pause spreads the load most.
    """
    pause = const.RETRY_AFTER_SHARE * left_s
    if not isinstance(refusal, exceptions.Overloaded):
        pause = min(pause, const.MAX_RETRY_AFTER_S)
    return max(const.MIN_RETRY_AFTER_S, pause)
