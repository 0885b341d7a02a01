"""Retry delay for refused callers.

Load: bursts, in which callers that come back at once find no room either. The
longest delay that callers honour spreads their returns; a refusal for another
reason ends sooner.
"""

from __future__ import annotations

from tarragonlift.core.fleet import const
from tarragonlift import exceptions


def retry_after_s(refusal: exceptions.Refusal, time_left_s: float) -> float:
    """Return the delay in seconds after which the caller should retry.

    Callers honour a delay of at most a third of their ``time_left_s`` seconds.
    After an overload the longest delay spreads the load most; while all
    servers have asked for a pause, callers come back when the first ends.
    """
    delay = const.RETRY_AFTER_SHARE * time_left_s
    if isinstance(refusal, exceptions.NoBackendServer):
        pause_s = max(refusal.available_in_s, const.MAX_RETRY_AFTER_S)
        delay = min(delay, pause_s)
    elif not isinstance(refusal, exceptions.Overloaded):
        delay = min(delay, const.MAX_RETRY_AFTER_S)
    return max(const.MIN_RETRY_AFTER_S, delay)
