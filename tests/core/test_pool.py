"""Tests of limits and of choosing a backend server."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from tarragonlift.core import budget
from tarragonlift.core import const
from tests import common

NAMES = [f"entry-{number}" for number in range(40)]


class TestLimits:
    """All daemons together keep to the limit of a server."""

    @settings(max_examples=40, deadline=None)
    @given(strategies.integers(1, 40), strategies.integers(1, 30))
    def test_shares_add_up_to_the_limit_at_most(
        self, daemons: int, limit: int
    ) -> None:
        """Also where there are more daemons than the limit."""
        totals: dict[str, int] = {}
        for name in NAMES[:daemons]:
            pool = common.make_pool(3, limit=limit)
            pool.divide_limits(name, NAMES[:daemons])
            pool.continue_dividing(3)
            for one in pool.backends:
                totals[one.key] = totals.get(one.key, 0) + one.share
        assert all(total <= limit for total in totals.values())
        assert all(total > 0 for total in totals.values())


class TestChoose:
    """The router avoids what it knows to be bad."""

    def test_own_data_centre_first_then_spills_over(self) -> None:
        """Others are used when there is no room."""
        pool = common.make_pool(0, limit=2)
        near = common.make_instances(1)
        far = common.make_instances(1, "haskovo", 2000)
        pool.set_instances(near + far)
        pool.divide_limits("entry-0", ["entry-0"])
        for one in pool.backends:
            pool.set_warm(one)
        places = []
        for number in range(4):
            one = pool.choose(0.0)
            assert one is not None
            pool.start(one, number, 0.0)
            places.append(one.instance.data_centre)
        assert places == ["plovdiv", "plovdiv", "haskovo", "haskovo"]
        assert pool.choose(0.0) is None

    def test_silent_server_is_avoided(self) -> None:
        """Fewer requests in flight, but no answer for long."""
        pool = common.make_pool(2)
        silent, busy = pool.backends
        pool.start(silent, "a", 0.0)
        for name in ("b", "c"):
            pool.start(busy, name, 0.99)
        assert pool.choose(1.0) is busy

    def test_cold_server_gets_nothing_without_the_duty(self) -> None:
        """Unknown means cold."""
        pool = common.make_pool(1)
        (one,) = pool.backends
        pool.set_unknown(one)
        assert pool.choose(0.0) is None
        one.warm_until = 1.0
        assert pool.choose(0.0) is one
        assert pool.choose(1.0) is None

    def test_same_start_is_warm_after_one_answer(self) -> None:
        """Only the connections were lost."""
        pool = common.make_pool(1)
        (one,) = pool.backends
        one.start_id = "x"
        pool.set_warm(one)
        pool.set_unknown(one)
        one.start_id = "x"
        assert pool.add_success(one)
        assert one.warmth is const.Warmth.WARM

    def test_other_start_is_warmed_from_the_beginning(self) -> None:
        """A restart needs all its answers."""
        pool = common.make_pool(1)
        (one,) = pool.backends
        one.start_id = "x"
        pool.set_warm(one)
        pool.set_unknown(one)
        one.start_id = "y"
        assert not pool.add_success(one)


class TestRateBudget:
    """A burst at once, then a steady rate."""

    def test_burst_then_rate(self) -> None:
        """Three at once, then one each two seconds."""
        found = budget.RateBudget(0.5, 3.0)
        times = [found.reserve(10.0) for _ in range(5)]
        assert times == [10.0, 10.0, 10.0, 12.0, 14.0]

    def test_fills_up_again(self) -> None:
        """After a calm time a burst is possible again."""
        found = budget.RateBudget(0.5, 3.0)
        for _ in range(3):
            found.reserve(10.0)
        assert found.reserve(20.0) == 20.0
