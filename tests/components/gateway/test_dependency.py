"""Tests of how often daemons try while the store is away."""

from __future__ import annotations

import random

import pytest

from tarragonlift.components.gateway import const
from tarragonlift.components.gateway import dependency
from tarragonlift import exceptions

ERROR = exceptions.PlatformUnavailable()
TRIES = 200


def tries_a_second(daemons: int) -> float:
    """Return how often all daemons together try in a long outage."""
    one = dependency.Dependency("servers", random.Random(1))
    now = 0.0
    for _ in range(TRIES):
        now = one.fail(ERROR, now, daemons)
    return daemons * TRIES / now


class TestTries:
    """Tries cost calls, and must find the store back in time."""

    @pytest.mark.parametrize("daemons", [3, 18, 30])
    def test_all_together_try_at_a_bounded_rate(self, daemons: int) -> None:
        """Make pauses grow with the number of daemons."""
        rate = tries_a_second(daemons)
        assert rate < 1.2 * const.TRIES_PER_S

    @pytest.mark.parametrize("daemons", [1, 92, 300])
    def test_each_tries_often_enough(self, daemons: int) -> None:
        """Never pause for longer than the bounds allow a daemon alone."""
        one = dependency.Dependency("servers", random.Random(1))
        now = 0.0
        for _ in range(TRIES):
            then = one.fail(ERROR, now, daemons)
            assert then - now <= 1.5 * const.RETRY_MOST_S
            now = then

    def test_first_tries_come_soon(self) -> None:
        """Try soon after one failure, also among many."""
        one = dependency.Dependency("servers", random.Random(1))
        assert one.fail(ERROR, 0.0, 300) <= 1.5 * const.RETRY_S
