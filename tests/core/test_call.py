"""Tests for the decision logic of one request."""

from __future__ import annotations

from tarragonlift.core import actions
from tarragonlift.core import call as call_module
from tarragonlift.core import const
from tarragonlift.core import models
from tarragonlift import exceptions
from tests import common

Failure = const.AttemptFailure
Outcome = const.Outcome
ONCE = const.Run.ONCE


def get_attempts(result: list[actions.Action]) -> list[actions.Attempt]:
    """Return the attempts of all Send actions."""
    return [
        action.attempt for action in result if isinstance(action, actions.Send)
    ]


def get_refusals(result: list[actions.Action]) -> list[exceptions.Refusal]:
    """Return the refusals of all Refuse actions."""
    return [
        action.refusal
        for action in result
        if isinstance(action, actions.Refuse)
    ]


def has_action(
    result: list[actions.Action], kind: type[actions.Action]
) -> bool:
    """Return whether any action has this type."""
    return any(isinstance(action, kind) for action in result)


class TestIdempotentCall:
    """Idempotent requests are retried and hedged within their budgets."""

    def test_answer_is_relayed(self) -> None:
        """A successful request is sent, relayed and done."""
        call = call_module.Call(common.make_request(), common.make_pool())
        (attempt,) = get_attempts(call.start(0.0))
        assert attempt.backend.in_flight == 1
        assert has_action(call.on_answer_head(attempt, 0.01), actions.Relay)
        call.on_answer_complete(attempt, 0.02)
        assert call.phase is call_module.Phase.DONE
        assert attempt.backend.in_flight == 0

    def test_retries_on_another_server(self) -> None:
        """A broken connection is retried on another backend server."""
        call = call_module.Call(common.make_request(), common.make_pool())
        (first,) = get_attempts(call.start(0.0))
        result = call.on_attempt_failed(
            first, Failure.BROKEN_BEFORE_ANSWER, 0.1
        )
        (second,) = get_attempts(result)
        assert second.backend is not first.backend

    def test_retries_stop_when_the_budget_is_spent(self) -> None:
        """Retries stay within the budget if all servers fail fast."""
        pool = common.make_pool(retry_share=0.1)
        attempts = 0
        calls = 200
        for number in range(calls):
            request = common.make_request(request_id=f"r{number}")
            call = call_module.Call(request, pool)
            result = call.start(0.0)
            while get_attempts(result):
                (attempt,) = get_attempts(result)
                attempts += 1
                result = call.on_attempt_failed(
                    attempt, Failure.BROKEN_BEFORE_ANSWER, 0.0
                )
            (refusal,) = get_refusals(result)
            assert refusal.outcome is Outcome.UNKNOWN
        assert attempts - calls <= 0.1 * calls + 5

    def test_hedge_relays_the_first_answer(self) -> None:
        """A late answer is hedged; the slower attempt is abandoned."""
        pool = common.make_pool()
        call = call_module.Call(common.make_request(), pool)
        (first,) = get_attempts(call.start(0.0))
        (second,) = get_attempts(call.on_wake(pool.hedge_delay))
        result = call.on_answer_head(second, 0.2)
        assert has_action(result, actions.Relay)
        (abandon,) = [a for a in result if isinstance(a, actions.Abandon)]
        assert abandon.attempt is first
        assert call.on_answer_head(first, 0.3) == []

    def test_no_hedge_while_the_body_is_incomplete(self) -> None:
        """A request whose body is incomplete is not hedged."""
        pool = common.make_pool()
        call = call_module.Call(common.make_request(), pool)
        call.body_complete = False
        call.start(0.0)
        assert get_attempts(call.on_wake(pool.hedge_delay)) == []

    def test_deadline_passed_before_sending_is_not_run(self) -> None:
        """A request is not sent after its deadline."""
        request = common.make_request(deadline_at=1.0)
        call = call_module.Call(request, common.make_pool())
        (refusal,) = get_refusals(call.start(1.0))
        assert refusal.outcome is Outcome.NOT_RUN

    def test_deadline_passed_in_flight_is_unknown(self) -> None:
        """A request that was sent before its deadline may have run."""
        request = common.make_request(deadline_at=1.0)
        call = call_module.Call(request, common.make_pool())
        call.start(0.0)
        result = call.on_wake(1.0)
        assert has_action(result, actions.Abandon)
        (refusal,) = get_refusals(result)
        assert refusal.outcome is Outcome.UNKNOWN

    def test_incomplete_answer_resets_the_caller(self) -> None:
        """The caller's connection is reset if an answer breaks off."""
        call = call_module.Call(common.make_request(), common.make_pool())
        (attempt,) = get_attempts(call.start(0.0))
        call.on_answer_head(attempt, 0.1)
        result = call.on_attempt_failed(attempt, Failure.BROKEN_IN_ANSWER, 0.2)
        assert has_action(result, actions.CutShort)

    def test_long_upload_is_not_cut_by_its_deadline(self) -> None:
        """The deadline restarts at the end of the request body."""
        request = common.make_request(deadline_at=10.0)
        call = call_module.Call(request, common.make_pool())
        call.body_complete = False
        call.start(0.0)
        assert get_refusals(call.on_wake(10.0)) == []
        call.on_body_complete(25.0)
        assert get_refusals(call.on_wake(34.0)) == []
        assert get_refusals(call.on_wake(35.0))


class TestDeadline:
    """The deadline of requests without a body is not extended."""

    def test_request_without_body_does_not_extend_it(self) -> None:
        """The end of a message without a body does not restart it."""
        request = common.make_request(deadline_at=2.0)
        call = call_module.Call(request, common.make_pool())
        call.start(0.0)
        call.on_body_complete(0.0)
        assert get_refusals(call.on_wake(2.0))


class TestQueue:
    """Queued requests."""

    def test_too_little_time_left_is_refused(self) -> None:
        """A request that can't be answered in time is refused."""
        pool = common.make_pool(1, limit=1)
        first = call_module.Call(common.make_request(), pool)
        (attempt,) = get_attempts(first.start(0.0))
        request = common.make_request(request_id="r2", deadline_at=2.0)
        second = call_module.Call(request, pool)
        assert get_attempts(second.start(0.0)) == []
        for _ in range(1000):
            pool.add_latency(attempt.backend, 0.5, 0.5, 1.0)
        first.on_answer_head(attempt, 1.6)
        first.on_answer_complete(attempt, 1.6)
        (refusal,) = get_refusals(second.on_dequeued(1.6))
        assert refusal.outcome is Outcome.NOT_RUN


class TestOnceCall:
    """Requests that must run once are claimed first, never sent twice."""

    def start(self) -> tuple[call_module.Call, actions.Attempt]:
        """Return a claimed call and the attempt that was sent."""
        request = common.make_request(ONCE)
        call = call_module.Call(request, common.make_pool())
        assert has_action(call.start(0.0), actions.Claim)
        claimed = call_module.ClaimState.CLAIMED
        (attempt,) = get_attempts(call.on_claim(claimed, None, 0.1))
        return call, attempt

    def test_is_not_sent_before_its_claim(self) -> None:
        """The request is sent only after the table has confirmed the claim."""
        request = common.make_request(ONCE)
        call = call_module.Call(request, common.make_pool())
        assert get_attempts(call.start(0.0)) == []

    def test_is_not_retried_when_it_may_have_run(self) -> None:
        """A broken connection leaves the outcome unknown."""
        call, attempt = self.start()
        result = call.on_attempt_failed(
            attempt, Failure.BROKEN_BEFORE_ANSWER, 0.2
        )
        assert get_attempts(result) == []
        (refusal,) = get_refusals(result)
        assert refusal.outcome is Outcome.UNKNOWN

    def test_is_retried_when_it_certainly_did_not_run(self) -> None:
        """A request that the server shed is retried."""
        call, attempt = self.start()
        result = call.on_attempt_failed(attempt, Failure.SHED, 0.2)
        assert len(get_attempts(result)) == 1

    def test_not_run_is_reported_after_the_claim_is_released(self) -> None:
        """The caller gets the refusal after the claim is released."""
        pool = common.make_pool(retry_share=0.0)
        pool.retry_budget.set_share(0.0)
        call = call_module.Call(common.make_request(ONCE), pool)
        call.start(0.0)
        claimed = call_module.ClaimState.CLAIMED
        (attempt,) = get_attempts(call.on_claim(claimed, None, 0.1))
        result = call.on_attempt_failed(attempt, Failure.SHED, 0.2)
        assert has_action(result, actions.Release)
        assert get_refusals(result) == []
        (refusal,) = get_refusals(call.on_released(True))
        assert refusal.outcome is Outcome.NOT_RUN

    def test_claim_that_can_not_be_released_is_unknown(self) -> None:
        """The outcome is not 'not-run' while the claim still exists."""
        pool = common.make_pool()
        pool.retry_budget.set_share(0.0)
        call = call_module.Call(common.make_request(ONCE), pool)
        call.start(0.0)
        claimed = call_module.ClaimState.CLAIMED
        (attempt,) = get_attempts(call.on_claim(claimed, None, 0.1))
        call.on_attempt_failed(attempt, Failure.SHED, 0.2)
        (refusal,) = get_refusals(call.on_released(False))
        assert refusal.outcome is Outcome.UNKNOWN

    def test_answer_is_recorded_after_the_caller_disconnected(self) -> None:
        """The answer is recorded for a resend by the caller."""
        call, attempt = self.start()
        assert call.on_caller_gone() == []
        call.on_answer_head(attempt, 0.3)
        result = call.on_answer_complete(attempt, 0.4)
        assert has_action(result, actions.Record)

    def test_claim_after_the_deadline_is_released(self) -> None:
        """A daemon that was paused while claiming does not send."""
        request = common.make_request(ONCE, deadline_at=1.0)
        call = call_module.Call(request, common.make_pool())
        call.start(0.0)
        claimed = call_module.ClaimState.CLAIMED
        result = call.on_claim(claimed, None, 5.0)
        assert get_attempts(result) == []
        assert has_action(result, actions.Release)

    def test_resend_gets_the_recorded_answer(self) -> None:
        """An answer recorded in the table is replayed."""
        request = common.make_request(ONCE)
        call = call_module.Call(request, common.make_pool())
        call.start(0.0)
        answer = models.RecordedAnswer(200, (), b"two sacks")
        state = call_module.ClaimState.ANSWERED
        (replay,) = call.on_claim(state, answer, 0.1)
        assert isinstance(replay, actions.Replay)
        assert replay.answer.body == b"two sacks"
