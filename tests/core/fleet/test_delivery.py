"""Tests of the delivery of one routed request."""

from __future__ import annotations

import pytest

from tarragonlift.core import actions
from tarragonlift.core import const as core_const
from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import delivery as delivery_module
from tarragonlift.core.fleet import fleet as fleet_module
from tarragonlift.core.fleet import interfaces
from tarragonlift.core.fleet import server as server_module
from tarragonlift import exceptions
from tests.core.fleet import common

Failure = core_const.AttemptFailure
Verdict = delivery_module.Verdict
NOW = common.NOW


class TestAtMostOnce:
    """A request that is not idempotent runs at most once."""

    def test_is_not_retried_after_a_broken_connection(self) -> None:
        """Answer 502 since the request may have run."""
        fleet = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        common.report_load(fleet, "a")
        delivery = common.open_delivery(fleet, "/order/1")
        attempt = common.get_attempt(delivery.start(NOW))
        result = delivery.on_failed(
            attempt, Failure.BROKEN_BEFORE_ANSWER, NOW + 0.1
        )
        refusal = common.get_refusal(result).refusal
        assert refusal.status == 502
        assert refusal.outcome is core_const.Outcome.UNKNOWN

    def test_is_retried_if_the_server_did_not_run_it(self) -> None:
        """Use another server after one stated that it did not run it."""
        fleet = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        common.report_load(fleet, "a")
        common.report_load(fleet, "b", running=1)
        delivery = common.open_delivery(fleet, "/order/1")
        first = common.get_attempt(delivery.start(NOW))
        result = delivery.on_answer(first, Verdict.NOT_RUN, NOW + 0.01)
        second = common.get_attempt(result)
        assert second.backend is not first.backend

    def test_failure_of_the_server_is_relayed(self) -> None:
        """Relay a server's failure, since the request has run."""
        fleet = common.make_fleet(common.make_entry("a"))
        common.report_load(fleet, "a")
        delivery = common.open_delivery(fleet, "/order/1")
        attempt = common.get_attempt(delivery.start(NOW))
        result = delivery.on_answer(attempt, Verdict.FAILURE, NOW + 0.1)
        assert result == [actions.Relay(attempt)]

    def test_is_never_hedged(self) -> None:
        """Wait for the answer of the only server with the request."""
        fleet = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        common.report_load(fleet, "a")
        delivery = common.open_delivery(fleet, "/order/1")
        delivery.start(NOW)
        common.report_load(fleet, "b", now=NOW + 0.2)
        assert delivery.on_wake(NOW + 0.2) == []

    def test_continues_after_its_caller_disconnects(self) -> None:
        """Neither abandon nor retry the request."""
        fleet = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        common.report_load(fleet, "a")
        delivery = common.open_delivery(fleet, "/order/1")
        attempt = common.get_attempt(delivery.start(NOW))
        assert delivery.on_caller_gone(NOW) == []
        assert delivery.on_answer(attempt, Verdict.NOT_RUN, NOW + 0.1) == []


class TestStatedOutcome:
    """A refusal states "not run" only if no server ran the request."""

    def test_timeout_of_a_sent_request_leaves_outcome_open(self) -> None:
        """Answer 504 after the time limit if a server has the request."""
        fleet = common.make_fleet(common.make_entry("a"))
        common.report_load(fleet, "a")
        delivery = common.open_delivery(fleet, "/order/1")
        delivery.start(NOW)
        refusal = common.get_refusal(delivery.on_wake(NOW + 1.0)).refusal
        assert refusal.status == 504

    def test_refusal_after_an_uncertain_attempt_leaves_outcome_open(
        self,
    ) -> None:
        """Answer 502 if an earlier attempt may have run."""
        fleet = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        common.report_load(fleet, "a")
        delivery = common.open_delivery(fleet)
        first = common.get_attempt(delivery.start(NOW))
        common.report_load(fleet, "b", now=NOW + 0.1)
        result = delivery.on_failed(first, Failure.BROKEN_IN_ANSWER, NOW + 0.1)
        second = common.get_attempt(result)
        result = delivery.on_answer(second, Verdict.NOT_RUN, NOW + 0.2)
        assert common.get_refusal(result).refusal.status == 502

    def test_unsent_request_is_refused_as_not_run(self) -> None:
        """Answer 503 after a short wait if no server is usable."""
        fleet = common.make_fleet(common.make_entry("a", leaving=True))
        delivery = common.open_delivery(fleet)
        wake, pause = delivery.start(NOW)
        assert isinstance(pause, actions.PauseUntil)
        max_wait_s = const.MAX_WAIT_SHARE * 0.25
        result = delivery.on_pause_over(NOW + max_wait_s)
        refusal = common.get_refusal(result).refusal
        assert refusal.status == 503
        assert refusal.outcome is core_const.Outcome.NOT_RUN


class TestRepeats:
    """Retries and hedges of idempotent requests."""

    def test_broken_answer_is_retried_at_another_server(self) -> None:
        """Send to a second server after a broken answer."""
        fleet = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        common.report_load(fleet, "a")
        common.report_load(fleet, "b", running=1)
        delivery = common.open_delivery(fleet)
        first = common.get_attempt(delivery.start(NOW))
        result = delivery.on_failed(
            first, Failure.BROKEN_IN_ANSWER, NOW + 0.02
        )
        assert common.get_attempt(result).backend.server_id == "b"

    def test_attempts_stay_within_the_limit_of_the_route(self) -> None:
        """Refuse after the route's maximum number of attempts."""
        fleet = common.make_fleet(
            *(common.make_entry(name) for name in "abcd")
        )
        for name in "abcd":
            common.report_load(fleet, name)
        delivery = common.open_delivery(fleet)
        attempt = common.get_attempt(delivery.start(NOW))
        result = delivery.on_failed(attempt, Failure.BAD_ANSWER, NOW)
        attempt = common.get_attempt(result)
        result = delivery.on_failed(attempt, Failure.BAD_ANSWER, NOW)
        assert common.get_refusal(result).refusal.status == 502

    def test_late_answer_is_hedged_within_target_latency(self) -> None:
        """Send to a second server that can meet the target latency."""
        fleet = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        common.report_load(fleet, "a")
        delivery = common.open_delivery(fleet)
        result = delivery.start(NOW)
        first = common.get_attempt(result)
        wakes = [
            action.when
            for action in result
            if isinstance(action, actions.WakeAt)
        ]
        hedge_at = min(wakes)
        assert hedge_at < NOW + 0.25
        common.report_load(fleet, "b", now=hedge_at)
        second = common.get_attempt(delivery.on_wake(hedge_at))
        result = delivery.on_answer(second, Verdict.SUCCESS, hedge_at + 0.09)
        assert actions.Abandon(first) in result
        assert actions.Relay(second) in result

    def test_extra_calls_stay_within_the_budget(self) -> None:
        """Stop retries once the budget is spent."""
        fleet = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        retries = 0
        for number in range(200):
            now = NOW + number
            common.report_load(fleet, "a", now=now)
            common.report_load(fleet, "b", now=now)
            delivery = common.open_delivery(fleet, now=now)
            attempt = common.get_attempt(delivery.start(now))
            result = delivery.on_failed(attempt, Failure.BAD_ANSWER, now)
            retries += len(common.filter_actions(result, actions.Send))
        assert retries <= 0.2 * 200 + 62

    def test_server_slower_than_the_hedge_counts_as_slow(self) -> None:
        """Raise the latency ratio of the server without an answer."""
        fleet = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        common.report_load(fleet, "a")
        delivery = common.open_delivery(fleet)
        first = common.get_attempt(delivery.start(NOW))
        common.report_load(fleet, "b", now=NOW + 0.125)
        second = common.get_attempt(delivery.on_wake(NOW + 0.125))
        delivery.on_answer(second, Verdict.SUCCESS, NOW + 0.22)
        assert first.backend.latency_ratio(NOW + 0.22) > 1.1

    def test_disconnected_caller_cancels_the_request(self) -> None:
        """Abandon the attempts of an idempotent request."""
        fleet = common.make_fleet(common.make_entry("a"))
        common.report_load(fleet, "a")
        delivery = common.open_delivery(fleet)
        attempt = common.get_attempt(delivery.start(NOW))
        assert delivery.on_caller_gone(NOW) == [actions.Abandon(attempt)]


class TestCrashes:
    """Requests that crash the servers that run them."""

    def test_is_held_after_max_crashes(self) -> None:
        """Refuse a request that crashed servers at any daemon."""
        names = ("a", "b", "c")
        fleet = common.make_fleet(*(common.make_entry(n) for n in names))
        assert len(names) == const.MAX_CRASHES
        for server in fleet.registry.servers:
            fleet.crash_tracker.record_break("print", server, NOW)
        common.report_load(fleet, "a")
        delivery = common.open_delivery(fleet)
        refusal = common.get_refusal(delivery.start(NOW)).refusal
        assert isinstance(refusal, exceptions.CrashSuspected)

    @pytest.mark.parametrize(
        "failure", [Failure.BROKEN_BEFORE_ANSWER, Failure.BROKEN_IN_ANSWER]
    )
    def test_crash_is_reported_to_other_daemons(
        self, failure: Failure
    ) -> None:
        """Report a connection that broke in any part of an answer."""
        fleet, delivery, attempt = self._send()
        delivery.on_failed(attempt, failure, NOW)
        (suspect,) = fleet.crash_tracker.take_changed()
        assert suspect.fingerprint == "print"
        assert list(suspect.ends) == [attempt.backend.start]

    def test_crash_after_the_caller_left_is_reported(self) -> None:
        """Report the end of a server that ran an order for nobody."""
        fleet, delivery, attempt = self._send()
        delivery.on_caller_gone(NOW)
        delivery.on_failed(attempt, Failure.BROKEN_BEFORE_ANSWER, NOW + 0.1)
        (suspect,) = fleet.crash_tracker.take_changed()
        assert list(suspect.ends) == [attempt.backend.start]

    def test_crash_after_the_time_limit_is_reported(self) -> None:
        """Report the end of a server whose caller has its refusal."""
        fleet, delivery, attempt = self._send()
        common.get_refusal(delivery.on_wake(NOW + 1.0))
        delivery.on_failed(attempt, Failure.BROKEN_BEFORE_ANSWER, NOW + 1.1)
        (suspect,) = fleet.crash_tracker.take_changed()
        assert list(suspect.ends) == [attempt.backend.start]

    @pytest.mark.parametrize("failure", [Failure.BAD_ANSWER, Failure.OVERDUE])
    def test_crash_after_the_daemon_gave_up_is_reported(
        self, failure: Failure
    ) -> None:
        """Report a server that ends soon after its connection was closed."""
        fleet, delivery, attempt = self._send()
        delivery.on_failed(attempt, failure, NOW)
        fleet.crash_tracker.record_unreachable(attempt.backend, NOW + 0.1)
        (suspect,) = fleet.crash_tracker.take_changed()
        assert list(suspect.ends) == [attempt.backend.start]

    def test_crash_in_a_streamed_answer_is_reported(self) -> None:
        """Report an answer that broke after its begin was relayed."""
        fleet, delivery, attempt = self._send()
        delivery.on_stream_begun(attempt, NOW)
        delivery.on_failed(attempt, Failure.BROKEN_IN_ANSWER, NOW)
        (suspect,) = fleet.crash_tracker.take_changed()
        assert list(suspect.ends) == [attempt.backend.start]

    @pytest.mark.parametrize("failure", [Failure.BAD_ANSWER, Failure.OVERDUE])
    def test_connection_closed_by_this_side_is_no_crash(
        self, failure: Failure
    ) -> None:
        """Don't count a connection that the daemon itself closed."""
        fleet, delivery, attempt = self._send()
        delivery.on_failed(attempt, failure, NOW)
        assert not fleet.crash_tracker.suspects

    def test_answer_clears_the_suspicion(self) -> None:
        """Remove the crashes of an answered request."""
        fleet, delivery, attempt = self._send()
        fleet.crash_tracker.record_break("print", attempt.backend, NOW)
        delivery.on_answer(attempt, Verdict.SUCCESS, NOW + 0.1)
        assert not fleet.crash_tracker.suspects

    def test_end_of_the_connection_clears_nothing(self) -> None:
        """Keep the crashes if the answer's end may be a crash as well."""
        fleet, delivery, attempt = self._send()
        fleet.crash_tracker.record_break("print", attempt.backend, NOW)
        delivery.on_answer(attempt, Verdict.SUCCESS, NOW + 0.1, False)
        assert fleet.crash_tracker.suspects

    def _send(
        self,
    ) -> tuple[fleet_module.Fleet, delivery_module.Delivery, actions.Attempt]:
        """Send an order to the only server."""
        fleet = common.make_fleet(common.make_entry("a"))
        common.report_load(fleet, "a")
        delivery = common.open_delivery(fleet, "/order/1")
        return fleet, delivery, common.get_attempt(delivery.start(NOW))


class TestErrors:
    """A decision about a request that fails with an unexpected error."""

    def test_request_that_was_not_sent_is_refused(self) -> None:
        """Tell the caller that the request did not run."""
        fleet = common.make_fleet(common.make_entry("a"))
        delivery = common.open_delivery(fleet, "/order/1")
        refusal = common.get_refusal(delivery.on_error(NOW)).refusal
        assert refusal.outcome is core_const.Outcome.NOT_RUN

    def test_request_that_was_sent_may_have_run(self) -> None:
        """Answer 502; the order may run on."""
        fleet = common.make_fleet(common.make_entry("a"))
        common.report_load(fleet, "a")
        delivery = common.open_delivery(fleet, "/order/1")
        delivery.start(NOW)
        result = delivery.on_error(NOW)
        assert common.get_refusal(result).refusal.status == 502
        assert not common.filter_actions(result, actions.Abandon)

    def test_request_whose_answer_failed_to_be_handled_may_have_run(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Answer 502 although no attempt is under way any more."""
        fleet = common.make_fleet(common.make_entry("a"))
        common.report_load(fleet, "a")
        delivery = common.open_delivery(fleet, "/order/1")
        attempt = common.get_attempt(delivery.start(NOW))
        monkeypatch.setattr(
            server_module.FleetServer, "record_answer", lambda *_: 1 / 0
        )
        with pytest.raises(ZeroDivisionError):
            delivery.on_answer(attempt, Verdict.SUCCESS, NOW)
        refusal = common.get_refusal(delivery.on_error(NOW)).refusal
        assert refusal.outcome is core_const.Outcome.UNKNOWN


class TestOverload:
    """More requests than the servers can answer in time."""

    def test_late_request_does_not_queue(self) -> None:
        """Refuse early a request that would be late after queuing."""
        fleet = common.make_fleet(common.make_entry("a"))
        common.report_load(fleet, "a", running=6, waiting=20)
        delivery = common.open_delivery(fleet)
        result = delivery.start(NOW)
        assert not common.filter_actions(result, actions.Send)
        common.report_load(fleet, "a", 6, now=NOW + 0.05, waiting=20)
        refusal = common.get_refusal(
            delivery.on_pause_over(NOW + 0.05)
        ).refusal
        assert isinstance(refusal, exceptions.Overloaded)

    def test_late_request_takes_a_free_slot(self) -> None:
        """Send to a slow server with a free slot."""
        fleet = common.make_fleet(common.make_entry("a"))
        common.report_load(fleet, "a", slowdown=7.0)
        common.get_attempt(common.open_delivery(fleet).start(NOW))

    def test_short_queue_is_used(self) -> None:
        """Queue at a server if the answer will still be in time."""
        fleet = common.make_fleet(common.make_entry("a"))
        common.report_load(fleet, "a", running=6)
        common.get_attempt(common.open_delivery(fleet).start(NOW))

    def test_retry_after_a_refusal_has_less_time(self) -> None:
        """Count the target latency from the caller's first attempt."""
        fleet = common.make_fleet(common.make_entry("a"))
        common.open_delivery(fleet, time_left_s=2.0)
        retry = common.open_delivery(fleet, time_left_s=1.5)
        assert retry.request.target_answer_at == NOW + 0.25 - 0.5

    def test_first_request_of_a_route_is_sent_to_a_free_server(self) -> None:
        """Do not refuse a short time limit for a mere initial estimate."""
        fleet = common.make_fleet(common.make_entry("a"))
        route = common.make_route(timeout_s=12.0, target_latency_s=12.0)
        configuration = common.make_configuration(2, route)
        fleet.apply_operators(
            interfaces.OperatorUpdate(2, configuration, {}, True)
        )
        common.report_load(fleet, "a")
        delivery = common.open_delivery(fleet, time_left_s=2.0)
        attempt = common.get_attempt(delivery.start(NOW))
        delivery.on_answer(attempt, Verdict.SUCCESS, NOW + 1.9)
        common.report_load(fleet, "a", now=NOW + 2.0)
        delivery = common.open_delivery(fleet, time_left_s=1.0, now=NOW + 2.0)
        result = delivery.start(NOW + 2.0)
        assert not common.filter_actions(result, actions.Send)
