"""When a refused caller should come back."""

from __future__ import annotations

from tarragonlift.core.fleet import const
from tarragonlift import exceptions


def come_back_s(refusal: exceptions.Refusal, left_s: float) -> float:
    """Return after how many seconds the caller should send again.

    Callers honour a pause of at most a third of the ``left_s`` seconds that
    they have. After an overload the longest pause spreads the load most.
    """
    pause = const.COME_BACK_SHARE * left_s
    if not isinstance(refusal, exceptions.Overloaded):
        pause = min(pause, const.COME_BACK_SOON_S)
    return max(const.COME_BACK_LEAST_S, pause)
