"""Tests of the retry intervals during an outage of the store."""

from __future__ import annotations

import random

import pytest

from tarragonlift.components.gateway import const
from tarragonlift.components.gateway import dependency
from tarragonlift import exceptions

ERROR = exceptions.PlatformUnavailable()
FAILURES = 200


def fleet_retry_rate(daemons: int) -> float:
    """Return the retries per second of all daemons in a long outage."""
    store_dependency = dependency.Dependency("servers", random.Random(1))
    now = 0.0
    for _ in range(FAILURES):
        now = store_dependency.record_failure(ERROR, now, daemons)
    return daemons * FAILURES / now


class TestRetries:
    """Retries are bounded in rate, yet detect the store's return in time."""

    @pytest.mark.parametrize("daemons", [3, 18, 30])
    def test_fleet_retry_rate_is_bounded(self, daemons: int) -> None:
        """Check that intervals grow with the number of daemons."""
        rate = fleet_retry_rate(daemons)
        assert rate < 1.2 * const.MAX_FLEET_RETRIES_PER_S

    @pytest.mark.parametrize("daemons", [1, 92, 300])
    def test_retry_interval_is_bounded(self, daemons: int) -> None:
        """Check that no interval exceeds the bound of a daemon alone."""
        store_dependency = dependency.Dependency("servers", random.Random(1))
        now = 0.0
        for _ in range(FAILURES):
            retry_at = store_dependency.record_failure(ERROR, now, daemons)
            assert retry_at - now <= 1.5 * const.MAX_RETRY_INTERVAL_S
            now = retry_at

    def test_first_retry_is_early(self) -> None:
        """Check that the first interval is short, also with many daemons."""
        store_dependency = dependency.Dependency("servers", random.Random(1))
        assert (
            store_dependency.record_failure(ERROR, 0.0, 300)
            <= 1.5 * const.MIN_RETRY_INTERVAL_S
        )
