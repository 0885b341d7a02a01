"""Budgets for extra calls: retries and hedged calls."""

from __future__ import annotations

BUDGET_MOST = 20.0
BUDGET_START = 5.0


class ExtraCallBudget:
    """A token bucket: each call earns a share, each extra call costs one.

    Over any stretch the extra calls are at most the share of the calls plus
    the size of the bucket.
    """

    def __init__(self, share: float) -> None:
        """Start with a small stock when the share is not zero."""
        self._share = share
        self._tokens = BUDGET_START if share > 0 else 0.0

    @property
    def tokens(self) -> float:
        """Return how many extra calls could be made at once."""
        return self._tokens

    def set_share(self, share: float) -> None:
        """Earn another share per call from now on."""
        self._share = share
        if share <= 0:
            self._tokens = 0.0

    def earn(self) -> None:
        """Count one call."""
        self._tokens = min(BUDGET_MOST, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one extra call, or return False when there is none left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
