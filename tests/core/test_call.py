"""Tests of the decisions about one request."""

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


def sends(found: list[actions.Action]) -> list[actions.Attempt]:
    """Return the attempts that are sent."""
    return [one.attempt for one in found if isinstance(one, actions.Send)]


def refusals(found: list[actions.Action]) -> list[exceptions.Refusal]:
    """Return the refusals."""
    return [one.refusal for one in found if isinstance(one, actions.Refuse)]


def has(found: list[actions.Action], kind: type[actions.Action]) -> bool:
    """Return whether there is an action of this type."""
    return any(isinstance(one, kind) for one in found)


class TestIdempotentCall:
    """An idempotent request is retried and hedged within its budgets."""

    def test_is_sent_and_relayed(self) -> None:
        """The usual way: send, relay, done."""
        call = call_module.Call(common.make_request(), common.make_pool())
        (attempt,) = sends(call.start(0.0))
        assert attempt.backend.in_flight == 1
        assert has(call.on_answer_head(attempt, 0.01), actions.Relay)
        call.on_answer_complete(attempt, 0.02)
        assert call.phase is call_module.Phase.DONE
        assert attempt.backend.in_flight == 0

    def test_retries_elsewhere(self) -> None:
        """A broken connection leads to another backend server."""
        call = call_module.Call(common.make_request(), common.make_pool())
        (first,) = sends(call.start(0.0))
        found = call.on_attempt_failed(
            first, Failure.BROKEN_BEFORE_ANSWER, 0.1
        )
        (second,) = sends(found)
        assert second.backend is not first.backend

    def test_gives_up_when_the_budget_is_spent(self) -> None:
        """All servers failing fast cause no storm of retries."""
        pool = common.make_pool(retry_share=0.1)
        attempts = 0
        calls = 200
        for number in range(calls):
            request = common.make_request(request_id=f"r{number}")
            call = call_module.Call(request, pool)
            found = call.start(0.0)
            while sends(found):
                (attempt,) = sends(found)
                attempts += 1
                found = call.on_attempt_failed(
                    attempt, Failure.BROKEN_BEFORE_ANSWER, 0.0
                )
            (refusal,) = refusals(found)
            assert refusal.outcome is Outcome.UNKNOWN
        assert attempts - calls <= 0.1 * calls + 5

    def test_hedges_and_takes_the_first_answer(self) -> None:
        """A late answer leads to a second call; the loser is abandoned."""
        pool = common.make_pool()
        call = call_module.Call(common.make_request(), pool)
        (first,) = sends(call.start(0.0))
        (second,) = sends(call.on_wake(pool.hedge_delay))
        found = call.on_answer_head(second, 0.2)
        assert has(found, actions.Relay)
        (abandon,) = [a for a in found if isinstance(a, actions.Abandon)]
        assert abandon.attempt is first
        assert call.on_answer_head(first, 0.3) == []

    def test_is_not_hedged_while_its_body_comes(self) -> None:
        """Half a body is never sent twice."""
        pool = common.make_pool()
        call = call_module.Call(common.make_request(), pool)
        call.body_complete = False
        call.start(0.0)
        assert sends(call.on_wake(pool.hedge_delay)) == []

    def test_deadline_passed_before_sending_is_not_run(self) -> None:
        """Nothing is sent after the deadline."""
        request = common.make_request(deadline_at=1.0)
        call = call_module.Call(request, common.make_pool())
        (refusal,) = refusals(call.start(1.0))
        assert refusal.outcome is Outcome.NOT_RUN

    def test_deadline_passed_in_flight_is_unknown(self) -> None:
        """What was sent may have run."""
        request = common.make_request(deadline_at=1.0)
        call = call_module.Call(request, common.make_pool())
        call.start(0.0)
        found = call.on_wake(1.0)
        assert has(found, actions.Abandon)
        (refusal,) = refusals(found)
        assert refusal.outcome is Outcome.UNKNOWN

    def test_cut_short_is_never_passed_on_as_whole(self) -> None:
        """A connection that breaks within an answer resets the caller."""
        call = call_module.Call(common.make_request(), common.make_pool())
        (attempt,) = sends(call.start(0.0))
        call.on_answer_head(attempt, 0.1)
        found = call.on_attempt_failed(attempt, Failure.BROKEN_IN_ANSWER, 0.2)
        assert has(found, actions.CutShort)

    def test_long_upload_is_not_cut_by_its_deadline(self) -> None:
        """The deadline counts from the end of the body."""
        request = common.make_request(deadline_at=10.0)
        call = call_module.Call(request, common.make_pool())
        call.body_complete = False
        call.start(0.0)
        assert refusals(call.on_wake(10.0)) == []
        call.on_body_complete(25.0)
        assert refusals(call.on_wake(34.0)) == []
        assert refusals(call.on_wake(35.0))


class TestDeadline:
    """The deadline that a caller states counts."""

    def test_is_not_extended_by_a_request_without_body(self) -> None:
        """The end of a message is no end of an upload."""
        request = common.make_request(deadline_at=2.0)
        call = call_module.Call(request, common.make_pool())
        call.start(0.0)
        call.on_body_complete(0.0)
        assert refusals(call.on_wake(2.0))


class TestQueue:
    """Requests that wait."""

    def test_too_little_time_left_gives_way(self) -> None:
        """Nobody works for an answer that comes too late."""
        pool = common.make_pool(1, limit=1)
        first = call_module.Call(common.make_request(), pool)
        (attempt,) = sends(first.start(0.0))
        request = common.make_request(request_id="r2", deadline_at=2.0)
        second = call_module.Call(request, pool)
        assert sends(second.start(0.0)) == []
        for _ in range(1000):
            pool.add_latency(attempt.backend, 0.5, 0.5, 1.0)
        first.on_answer_head(attempt, 1.6)
        first.on_answer_complete(attempt, 1.6)
        (refusal,) = refusals(second.on_dequeued(1.6))
        assert refusal.outcome is Outcome.NOT_RUN


class TestOnceCall:
    """A request that runs once is claimed first and never sent twice."""

    def start(self) -> tuple[call_module.Call, actions.Attempt]:
        """Return a call that was claimed and sent."""
        request = common.make_request(ONCE)
        call = call_module.Call(request, common.make_pool())
        assert has(call.start(0.0), actions.Claim)
        claimed = call_module.ClaimState.CLAIMED
        (attempt,) = sends(call.on_claim(claimed, None, 0.1))
        return call, attempt

    def test_is_not_sent_before_its_claim(self) -> None:
        """Sending waits for the table."""
        request = common.make_request(ONCE)
        call = call_module.Call(request, common.make_pool())
        assert sends(call.start(0.0)) == []

    def test_is_not_retried_when_it_may_have_run(self) -> None:
        """A broken connection leaves the outcome unknown."""
        call, attempt = self.start()
        found = call.on_attempt_failed(
            attempt, Failure.BROKEN_BEFORE_ANSWER, 0.2
        )
        assert sends(found) == []
        (refusal,) = refusals(found)
        assert refusal.outcome is Outcome.UNKNOWN

    def test_is_retried_when_it_certainly_did_not_run(self) -> None:
        """A server that shed the request did not run it."""
        call, attempt = self.start()
        found = call.on_attempt_failed(attempt, Failure.SHED, 0.2)
        assert len(sends(found)) == 1

    def test_not_run_is_told_after_the_claim_is_given_back(self) -> None:
        """Released first, told second."""
        pool = common.make_pool(retry_share=0.0)
        pool.retry_budget.set_share(0.0)
        call = call_module.Call(common.make_request(ONCE), pool)
        call.start(0.0)
        claimed = call_module.ClaimState.CLAIMED
        (attempt,) = sends(call.on_claim(claimed, None, 0.1))
        found = call.on_attempt_failed(attempt, Failure.SHED, 0.2)
        assert has(found, actions.Release)
        assert refusals(found) == []
        (refusal,) = refusals(call.on_released(True))
        assert refusal.outcome is Outcome.NOT_RUN

    def test_claim_that_can_not_be_given_back_is_unknown(self) -> None:
        """Never 'not run' while the claim stands."""
        pool = common.make_pool()
        pool.retry_budget.set_share(0.0)
        call = call_module.Call(common.make_request(ONCE), pool)
        call.start(0.0)
        claimed = call_module.ClaimState.CLAIMED
        (attempt,) = sends(call.on_claim(claimed, None, 0.1))
        call.on_attempt_failed(attempt, Failure.SHED, 0.2)
        (refusal,) = refusals(call.on_released(False))
        assert refusal.outcome is Outcome.UNKNOWN

    def test_answer_is_recorded_when_the_caller_is_gone(self) -> None:
        """A resend gets the answer that the first caller missed."""
        call, attempt = self.start()
        assert call.on_caller_gone() == []
        call.on_answer_head(attempt, 0.3)
        found = call.on_answer_complete(attempt, 0.4)
        assert has(found, actions.Record)

    def test_claim_that_comes_after_the_deadline_is_given_back(self) -> None:
        """A holder that was paused does not send."""
        request = common.make_request(ONCE, deadline_at=1.0)
        call = call_module.Call(request, common.make_pool())
        call.start(0.0)
        claimed = call_module.ClaimState.CLAIMED
        found = call.on_claim(claimed, None, 5.0)
        assert sends(found) == []
        assert has(found, actions.Release)

    def test_resend_gets_the_recorded_answer(self) -> None:
        """The table knows the answer."""
        request = common.make_request(ONCE)
        call = call_module.Call(request, common.make_pool())
        call.start(0.0)
        answer = models.RecordedAnswer(200, (), b"two sacks")
        state = call_module.ClaimState.ANSWERED
        (replay,) = call.on_claim(state, answer, 0.1)
        assert isinstance(replay, actions.Replay)
        assert replay.answer.body == b"two sacks"
