"""Tests for the service pool and the rate budget."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from tarragonlift.core import budget
from tarragonlift.core import const
from tests import common

NAMES = [f"entry-{number}" for number in range(40)]


class TestLimits:
    """The daemons together keep to the limit of a server."""

    @settings(max_examples=40, deadline=None)
    @given(strategies.integers(1, 40), strategies.integers(1, 30))
    def test_shares_add_up_to_the_limit_at_most(
        self, daemons: int, limit: int
    ) -> None:
        """This also holds if there are more daemons than the limit."""
        totals: dict[str, int] = {}
        for name in NAMES[:daemons]:
            pool = common.make_pool(3, limit=limit)
            pool.divide_limits(name, NAMES[:daemons])
            pool.continue_dividing(3)
            for backend in pool.backends:
                totals[backend.key] = (
                    totals.get(backend.key, 0) + backend.share
                )
        assert all(total <= limit for total in totals.values())
        assert all(total > 0 for total in totals.values())


class TestChoose:
    """Selection of a backend server."""

    def test_own_data_centre_is_preferred_until_full(self) -> None:
        """Other data centres are used if the own one has no capacity."""
        pool = common.make_pool(0, limit=2)
        near = common.make_instances(1)
        far = common.make_instances(1, "haskovo", 2000)
        pool.set_instances(near + far)
        pool.divide_limits("entry-0", ["entry-0"])
        for backend in pool.backends:
            pool.set_warm(backend)
        data_centres = []
        for number in range(4):
            backend = pool.choose(0.0)
            assert backend is not None
            pool.start(backend, number, 0.0)
            data_centres.append(backend.instance.data_centre)
        assert data_centres == ["plovdiv", "plovdiv", "haskovo", "haskovo"]
        assert pool.choose(0.0) is None

    def test_server_with_overdue_answers_is_avoided(self) -> None:
        """A server with overdue answers is avoided despite a lower load."""
        pool = common.make_pool(2)
        overdue, busy = pool.backends
        pool.start(overdue, "a", 0.0)
        for name in ("b", "c"):
            pool.start(busy, name, 0.99)
        assert pool.choose(1.0) is busy

    def test_cold_server_gets_no_requests_without_lease(self) -> None:
        """A server in unknown state counts as cold and needs a lease."""
        pool = common.make_pool(1)
        (backend,) = pool.backends
        pool.set_unknown(backend)
        assert pool.choose(0.0) is None
        backend.warm_until = 1.0
        assert pool.choose(0.0) is backend
        assert pool.choose(1.0) is None

    def test_same_start_is_warm_after_one_answer(self) -> None:
        """One answer is enough if only the connections were lost."""
        pool = common.make_pool(1)
        (backend,) = pool.backends
        backend.start_id = "x"
        pool.set_warm(backend)
        pool.set_unknown(backend)
        backend.start_id = "x"
        assert pool.add_success(backend)
        assert backend.warmth is const.Warmth.WARM

    def test_new_start_is_warmed_from_the_beginning(self) -> None:
        """A restarted server needs all answers of the warm-up again."""
        pool = common.make_pool(1)
        (backend,) = pool.backends
        backend.start_id = "x"
        pool.set_warm(backend)
        pool.set_unknown(backend)
        backend.start_id = "y"
        assert not pool.add_success(backend)


class TestRateBudget:
    """The rate budget allows a burst, then a steady rate."""

    def test_burst_then_rate(self) -> None:
        """Three tokens are available at once, then one every two seconds."""
        rate_budget = budget.RateBudget(0.5, 3.0)
        times = [rate_budget.reserve(10.0) for _ in range(5)]
        assert times == [10.0, 10.0, 10.0, 12.0, 14.0]

    def test_refills_after_idle_time(self) -> None:
        """The full burst is available again after an idle period."""
        rate_budget = budget.RateBudget(0.5, 3.0)
        for _ in range(3):
            rate_budget.reserve(10.0)
        assert rate_budget.reserve(20.0) == 20.0
