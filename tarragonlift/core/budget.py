"""Budgets for extra calls (retries and hedges) and extra messages."""

from __future__ import annotations

MAX_BUDGET_TOKENS = 20.0
INITIAL_BUDGET_TOKENS = 5.0


class ExtraCallBudget:
    """A token bucket: a call adds ``share`` tokens, an extra call costs one.

    Over any period the extra calls are at most ``share`` times the calls plus
    the capacity of the bucket.
    """

    def __init__(
        self,
        share: float,
        capacity: float = MAX_BUDGET_TOKENS,
        initial: float = INITIAL_BUDGET_TOKENS,
    ) -> None:
        """Initialize the budget; it is empty if the share is zero."""
        self._share = share
        self._capacity = capacity
        self._tokens = min(initial, capacity) if share > 0 else 0.0

    @property
    def tokens(self) -> float:
        """Return how many extra calls can be made at once."""
        return self._tokens

    def set_share(self, share: float) -> None:
        """Set the tokens that each call adds; zero empties the budget."""
        self._share = share
        if share <= 0:
            self._tokens = 0.0

    def set_capacity(self, capacity: float) -> None:
        """Set the maximum number of tokens and discard any above it."""
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def earn(self) -> None:
        """Add the share of one call to the budget."""
        self._tokens = min(self._capacity, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one token, or return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RateBudget:
    """A token bucket that refills at ``rate`` per second up to ``burst``."""

    def __init__(self, rate: float, burst: float) -> None:
        """Initialize the bucket full."""
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = 0.0

    def set_rate(self, rate: float, burst: float) -> None:
        """Set the refill rate per second and the capacity."""
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def try_spend(self, now: float) -> bool:
        """Take one token, or return False if none is available now."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def reserve(self, now: float) -> float:
        """Take one token and return the time at which it may be used."""
        self._refill(now)
        self._tokens -= 1.0
        if self._tokens >= 0.0:
            return now
        return now - self._tokens / self._rate

    def _refill(self, now: float) -> None:
        """Add the tokens for the time since the last refill."""
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
