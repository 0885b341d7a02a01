"""Budgets for extra calls (retries, hedges) and extra messages."""

from __future__ import annotations

BUDGET_MOST = 20.0
BUDGET_START = 5.0


class ExtraCallBudget:
    """A token bucket: each call earns a share, each extra call costs one.

    Over any stretch the extra calls are at most the share of the calls plus
    the size of the bucket.
    """

    def __init__(
        self,
        share: float,
        most: float = BUDGET_MOST,
        start: float = BUDGET_START,
    ) -> None:
        """Start with a small stock when the share is not zero."""
        self._share = share
        self._most = most
        self._tokens = min(start, most) if share > 0 else 0.0

    @property
    def tokens(self) -> float:
        """Return how many extra calls could be made at once."""
        return self._tokens

    def set_share(self, share: float) -> None:
        """Earn another share per call from now on."""
        self._share = share
        if share <= 0:
            self._tokens = 0.0

    def set_capacity(self, most: float) -> None:
        """Hold at most this many tokens from now on."""
        self._most = most
        self._tokens = min(self._tokens, most)

    def earn(self) -> None:
        """Count one call."""
        self._tokens = min(self._most, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one extra call, or return False when there is none left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RateBudget:
    """A token bucket filled by time: a rate a second, and a burst."""

    def __init__(self, rate: float, burst: float) -> None:
        """Start full."""
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at = 0.0

    def set_rate(self, rate: float, burst: float) -> None:
        """Fill at another rate from now on, up to another burst."""
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def try_spend(self, now: float) -> bool:
        """Take one token, or return False when there is none now."""
        self._fill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def reserve(self, now: float) -> float:
        """Take one token; return when it may be used, now or later."""
        self._fill(now)
        self._tokens -= 1.0
        if self._tokens >= 0.0:
            return now
        return now - self._tokens / self._rate

    def _fill(self, now: float) -> None:
        """Add the tokens of the time that passed."""
        passed = max(0.0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        self._tokens = min(self._burst, self._tokens + passed * self._rate)
