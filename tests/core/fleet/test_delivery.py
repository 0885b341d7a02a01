"""Tests of the life of one routed request."""

from __future__ import annotations

from tarragonlift.core import actions
from tarragonlift.core import const as core_const
from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import delivery as delivery_module
from tarragonlift import exceptions
from tests.core.fleet import common

Failure = core_const.AttemptFailure
Verdict = delivery_module.Verdict
NOW = common.NOW


class TestAtMostOnce:
    """A request that is not idempotent runs at most once."""

    def test_is_not_sent_again_after_a_broken_connection(self) -> None:
        """Answer 502: the request may have run."""
        made = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        common.report_load(made, "a")
        delivery = common.open_delivery(made, "/order/1")
        attempt = common.get_attempt(delivery.start(NOW))
        wanted = delivery.on_failed(
            attempt, Failure.BROKEN_BEFORE_ANSWER, NOW + 0.1
        )
        refusal = common.get_refusal(wanted).refusal
        assert refusal.status == 502
        assert refusal.outcome is core_const.Outcome.UNKNOWN

    def test_is_sent_again_where_the_server_did_not_run_it(self) -> None:
        """Go to another server after a statement that it did not run."""
        made = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        common.report_load(made, "a")
        common.report_load(made, "b", running=1)
        delivery = common.open_delivery(made, "/order/1")
        first = common.get_attempt(delivery.start(NOW))
        wanted = delivery.on_answer(first, Verdict.NOT_RUN, NOW + 0.01)
        second = common.get_attempt(wanted)
        assert second.backend is not first.backend

    def test_failure_of_the_server_is_relayed(self) -> None:
        """Pass on a server's own failure, which counts as run."""
        made = common.make_fleet(common.make_entry("a"))
        common.report_load(made, "a")
        delivery = common.open_delivery(made, "/order/1")
        attempt = common.get_attempt(delivery.start(NOW))
        wanted = delivery.on_answer(attempt, Verdict.FAILURE, NOW + 0.1)
        assert wanted == [actions.Relay(attempt)]

    def test_is_never_hedged(self) -> None:
        """Wait for the answer of the only server that has it."""
        made = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        common.report_load(made, "a")
        delivery = common.open_delivery(made, "/order/1")
        delivery.start(NOW)
        common.report_load(made, "b", now=NOW + 0.2)
        assert delivery.on_wake(NOW + 0.2) == []

    def test_goes_on_when_its_caller_left(self) -> None:
        """Neither break it off nor send it again."""
        made = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        common.report_load(made, "a")
        delivery = common.open_delivery(made, "/order/1")
        attempt = common.get_attempt(delivery.start(NOW))
        assert delivery.on_caller_gone() == []
        assert delivery.on_answer(attempt, Verdict.NOT_RUN, NOW + 0.1) == []


class TestTruth:
    """A refusal that states "not run" holds."""

    def test_timeout_of_a_sent_request_is_no_promise(self) -> None:
        """Answer 504 when the time is over and a server has the request."""
        made = common.make_fleet(common.make_entry("a"))
        common.report_load(made, "a")
        delivery = common.open_delivery(made, "/order/1")
        delivery.start(NOW)
        refusal = common.get_refusal(delivery.on_wake(NOW + 1.0)).refusal
        assert refusal.status == 504

    def test_refusal_after_an_attempt_in_doubt_is_no_promise(self) -> None:
        """Answer 502 where an earlier attempt may have run."""
        made = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        common.report_load(made, "a")
        delivery = common.open_delivery(made)
        first = common.get_attempt(delivery.start(NOW))
        common.report_load(made, "b", now=NOW + 0.1)
        wanted = delivery.on_failed(first, Failure.BROKEN_IN_ANSWER, NOW + 0.1)
        second = common.get_attempt(wanted)
        wanted = delivery.on_answer(second, Verdict.NOT_RUN, NOW + 0.2)
        assert common.get_refusal(wanted).refusal.status == 502

    def test_nothing_sent_is_refused_as_not_run(self) -> None:
        """Answer 503 soon where no server may take the request."""
        made = common.make_fleet(common.make_entry("a", leaving=True))
        delivery = common.open_delivery(made)
        wake, pause = delivery.start(NOW)
        assert isinstance(pause, actions.PauseUntil)
        held = const.MAX_WAIT_SHARE * 0.25
        wanted = delivery.on_pause_over(NOW + held)
        refusal = common.get_refusal(wanted).refusal
        assert refusal.status == 503
        assert refusal.outcome is core_const.Outcome.NOT_RUN


class TestRepeats:
    """Retries and hedges of idempotent requests."""

    def test_broken_answer_is_asked_for_elsewhere(self) -> None:
        """Send to a second server after a failure."""
        made = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        common.report_load(made, "a")
        common.report_load(made, "b", running=1)
        delivery = common.open_delivery(made)
        first = common.get_attempt(delivery.start(NOW))
        wanted = delivery.on_failed(
            first, Failure.BROKEN_IN_ANSWER, NOW + 0.02
        )
        assert common.get_attempt(wanted).backend.server_id == "b"

    def test_no_more_servers_than_the_route_allows(self) -> None:
        """Stop at the route's number of servers."""
        made = common.make_fleet(*(common.make_entry(name) for name in "abcd"))
        for name in "abcd":
            common.report_load(made, name)
        delivery = common.open_delivery(made)
        attempt = common.get_attempt(delivery.start(NOW))
        wanted = delivery.on_failed(attempt, Failure.BAD_ANSWER, NOW)
        attempt = common.get_attempt(wanted)
        wanted = delivery.on_failed(attempt, Failure.BAD_ANSWER, NOW)
        assert common.get_refusal(wanted).refusal.status == 502

    def test_late_answer_is_hedged_in_time(self) -> None:
        """Send to a second server that will answer within the aim."""
        made = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        common.report_load(made, "a")
        delivery = common.open_delivery(made)
        wanted = delivery.start(NOW)
        first = common.get_attempt(wanted)
        wakes = [one.when for one in wanted if isinstance(one, actions.WakeAt)]
        hedge_at = min(wakes)
        assert hedge_at < NOW + 0.25
        common.report_load(made, "b", now=hedge_at)
        second = common.get_attempt(delivery.on_wake(hedge_at))
        wanted = delivery.on_answer(second, Verdict.SUCCESS, hedge_at + 0.09)
        assert actions.Abandon(first) in wanted
        assert actions.Relay(second) in wanted

    def test_extra_calls_stay_within_the_budget(self) -> None:
        """Send no request again once the budget is spent."""
        made = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        again = 0
        for number in range(200):
            now = NOW + number
            common.report_load(made, "a", now=now)
            common.report_load(made, "b", now=now)
            delivery = common.open_delivery(made, now=now)
            attempt = common.get_attempt(delivery.start(now))
            wanted = delivery.on_failed(attempt, Failure.BAD_ANSWER, now)
            again += len(common.filter_actions(wanted, actions.Send))
        assert again <= 0.2 * 200 + 62

    def test_server_that_lost_to_a_hedge_counts_as_slow(self) -> None:
        """Learn from the answer that did not come."""
        made = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        common.report_load(made, "a")
        delivery = common.open_delivery(made)
        first = common.get_attempt(delivery.start(NOW))
        common.report_load(made, "b", now=NOW + 0.125)
        second = common.get_attempt(delivery.on_wake(NOW + 0.125))
        delivery.on_answer(second, Verdict.SUCCESS, NOW + 0.22)
        assert first.backend.latency_ratio(NOW + 0.22) > 1.1

    def test_caller_who_left_cancels(self) -> None:
        """Close the connections of an idempotent request."""
        made = common.make_fleet(common.make_entry("a"))
        common.report_load(made, "a")
        delivery = common.open_delivery(made)
        attempt = common.get_attempt(delivery.start(NOW))
        assert delivery.on_caller_gone() == [actions.Abandon(attempt)]


class TestCrashes:
    """Requests that crash the servers that run them."""

    def test_is_held_back_after_the_crashes_in_all(self) -> None:
        """Refuse what crashed servers here or at other daemons."""
        made = common.make_fleet(common.make_entry("a"))
        for _ in range(const.MAX_CRASHES):
            made.crash_tracker.record_crash("print", NOW)
        common.report_load(made, "a")
        delivery = common.open_delivery(made)
        refusal = common.get_refusal(delivery.start(NOW)).refusal
        assert isinstance(refusal, exceptions.CrashSuspected)

    def test_others_are_told_of_a_crash(self) -> None:
        """Tell the other daemons that a connection died."""
        made = common.make_fleet(common.make_entry("a"))
        common.report_load(made, "a")
        delivery = common.open_delivery(made, "/order/1")
        attempt = common.get_attempt(delivery.start(NOW))
        wanted = delivery.on_failed(attempt, Failure.BROKEN_BEFORE_ANSWER, NOW)
        assert delivery_module.TellCrash("print") in wanted

    def test_answer_clears_the_suspicion(self) -> None:
        """Forget crashes of a request that was answered."""
        made = common.make_fleet(common.make_entry("a"))
        made.crash_tracker.record_crash("print", NOW)
        common.report_load(made, "a")
        delivery = common.open_delivery(made)
        attempt = common.get_attempt(delivery.start(NOW))
        delivery.on_answer(attempt, Verdict.SUCCESS, NOW + 0.1)
        assert not made.crash_tracker.clear("print")


class TestOverload:
    """More requests than the servers can answer in time."""

    def test_late_request_does_not_queue(self) -> None:
        """Refuse early what would wait in a queue and be late."""
        made = common.make_fleet(common.make_entry("a"))
        common.report_load(made, "a", running=6, waiting=20)
        delivery = common.open_delivery(made)
        wanted = delivery.start(NOW)
        assert not common.filter_actions(wanted, actions.Send)
        common.report_load(made, "a", 6, now=NOW + 0.05, waiting=20)
        refusal = common.get_refusal(
            delivery.on_pause_over(NOW + 0.05)
        ).refusal
        assert isinstance(refusal, exceptions.Overloaded)

    def test_late_request_takes_a_free_slot(self) -> None:
        """Send to a slow server that has nothing else to do."""
        made = common.make_fleet(common.make_entry("a"))
        common.report_load(made, "a", slowdown=7.0)
        common.get_attempt(common.open_delivery(made).start(NOW))

    def test_short_queue_is_used(self) -> None:
        """Queue where the answer will still be in time."""
        made = common.make_fleet(common.make_entry("a"))
        common.report_load(made, "a", running=6)
        common.get_attempt(common.open_delivery(made).start(NOW))

    def test_caller_that_was_refused_before_is_late_already(self) -> None:
        """Count the target latency from the caller's first sending."""
        made = common.make_fleet(common.make_entry("a"))
        common.open_delivery(made, time_left_s=2.0)
        again = common.open_delivery(made, time_left_s=1.5)
        assert again.request.target_answer_at == NOW + 0.25 - 0.5
