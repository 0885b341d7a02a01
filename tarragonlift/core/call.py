"""The decision logic for one request, from its head to its answer."""

from __future__ import annotations

import enum

from tarragonlift.core import actions
from tarragonlift.core import const
from tarragonlift.core import crash_tracker
from tarragonlift.core import models
from tarragonlift.core import pool as pool_module
from tarragonlift import exceptions

Actions = list[actions.Action]
Attempt = actions.Attempt
Outcome = const.Outcome


class Phase(enum.Enum):
    """The phase that a request is in."""

    NEW = "new"
    CLAIMING = "claiming"
    QUEUED = "queued"
    SENT = "sent"
    RELAYING = "relaying"
    RELEASING = "releasing"
    DETACHED = "detached"
    DONE = "done"


class ClaimState(enum.Enum):
    """The result of a claim in the platform's table."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    IN_PROGRESS = "in-progress"
    KEY_REUSED = "key-reused"
    NOT_CLAIMED = "not-claimed"
    UNKNOWN = "unknown"


class Call(actions.WaitingCall):
    """A state machine that decides what happens to one request.

    Each handler takes an event and the current time, and returns actions. A
    call can continue as ``DETACHED`` after its caller was answered or
    disconnected, so that the answer of a request that must run once is still
    recorded.
    """

    def __init__(
        self,
        request: models.Request,
        pool: pool_module.ServicePool,
        tracker: crash_tracker.CrashTracker | None = None,
    ) -> None:
        """Initialize the call; it takes no action before ``start``."""
        self._request = request
        self._pool = pool
        self._crash_tracker = tracker
        self._phase = Phase.NEW
        self._attempts: list[Attempt] = []
        self._tried: set[str] = set()
        self._attempt_count = 0
        self._answered_attempt: Attempt | None = None
        self._refusal: exceptions.Refusal | None = None
        self._hedge_at = float("inf")
        self._may_have_run = False
        self._first_sent_at = 0.0
        self._deadline_at = request.deadline_at
        self.replayable = True
        self.body_complete = True

    @property
    def request(self) -> models.Request:
        """Return the request."""
        return self._request

    @property
    def phase(self) -> Phase:
        """Return the phase that the request is in."""
        return self._phase

    @property
    def pool(self) -> pool_module.ServicePool:
        """Return the pool of the request's service."""
        return self._pool

    def start(self, now: float) -> Actions:
        """Claim the key of a request that must run once; send others."""
        self._pool.retry_budget.earn()
        wake = actions.WakeAt(self._request.deadline_at)
        if self._is_once:
            self._phase = Phase.CLAIMING
            return [actions.Claim(), wake]
        self._pool.hedge_budget.earn()
        return [*self._send(now), wake]

    def on_claim(
        self,
        state: ClaimState,
        answer: models.RecordedAnswer | None,
        now: float,
    ) -> Actions:
        """Handle the result of the claim in the table."""
        if self._phase is not Phase.CLAIMING:
            return self._on_late_claim(state)
        if state is ClaimState.CLAIMED:
            return self._send(now)
        if state is ClaimState.IN_PROGRESS:
            return [actions.WakeAt(now + const.CLAIM_POLL_INTERVAL_S)]
        self._phase = Phase.DONE
        if state is ClaimState.ANSWERED and answer is not None:
            return [_replay_or_refuse(answer)]
        return [
            actions.Refuse(_refusal_for(state)),
            *self._note_unknown_claim(state),
        ]

    def on_dequeued(self, now: float) -> Actions:
        """Leave the queue because a backend server may have free capacity.

        A request that is unlikely to be answered before its deadline is
        refused in favour of one that can still be answered in time.
        """
        if self._phase is not Phase.QUEUED:
            return []
        if now + self._pool.latency_p90 > self._deadline_at:
            return self._give_up(
                exceptions.DeadlinePassed(self._outcome_so_far())
            )
        return self._send(now)

    def on_evicted(self) -> Actions:
        """Refuse the request, evicted in favour of another caller."""
        return self._give_up(exceptions.Overloaded(Outcome.NOT_RUN))

    def on_body_complete(self, now: float) -> None:
        """Restart the deadline of an upload at the end of its body."""
        if self.body_complete:
            return
        self.body_complete = True
        allowed = self._request.deadline_at - self._request.received_at
        self._deadline_at = max(self._deadline_at, now + allowed)

    def on_answer_head(self, attempt: Attempt, now: float) -> Actions:
        """Relay the first answer that arrives; abandon other attempts."""
        if self._answered_attempt is not None or attempt not in self._attempts:
            return []
        self._answered_attempt = attempt
        value = now - attempt.started_at
        waited = now - self._first_sent_at
        self._pool.add_latency(attempt.backend, value, waited, now)
        result: Actions = []
        for other in list(self._attempts):
            if other is not attempt:
                result.append(actions.Abandon(other))
                self._end_attempt(other)
        if self._phase is Phase.SENT:
            self._phase = Phase.RELAYING
            result.append(actions.Relay(attempt))
        return result

    def on_answer_complete(self, attempt: Attempt, now: float) -> Actions:
        """Finish the call after the complete answer has arrived."""
        if attempt is not self._answered_attempt:
            return []
        self._end_attempt(attempt)
        self._phase = Phase.DONE
        if self._crash_tracker is not None and len(self._crash_tracker):
            self._crash_tracker.clear(self._request.fingerprint)
        result: Actions = []
        if self._is_once:
            result.append(actions.Record(attempt))
        if self._pool.add_success(attempt.backend):
            result.append(
                actions.Note(const.EVENT_BACKEND_WARM, attempt.backend.key, "")
            )
        return result

    def on_attempt_failed(
        self,
        attempt: Attempt,
        failure: const.AttemptFailure,
        now: float,
    ) -> Actions:
        """Retry on another server if allowed, else refuse the request."""
        if attempt not in self._attempts:
            return []
        self._end_attempt(attempt)
        self._pool.set_aside(attempt.backend, now)
        note = actions.Note(
            const.EVENT_ATTEMPT_FAILED,
            self._request.request_id,
            f"{attempt.backend.key} {failure.value}",
        )
        if attempt is self._answered_attempt:
            return [note, *self._cut_short()]
        if failure not in const.FAILURES_NOT_RUN:
            self._may_have_run = True
        if failure is const.AttemptFailure.BROKEN_BEFORE_ANSWER:
            self._record_crash()
        if self._attempts:
            return [note]
        if self._phase is Phase.DETACHED:
            self._phase = Phase.DONE
            return [note]
        if self._can_retry(failure):
            return [note, *self._send(now)]
        return [note, *self._give_up(self._failure_refusal(failure))]

    def on_released(self, is_released: bool) -> Actions:
        """Refuse the request after its claim was released or could not be.

        With the claim still in place, the outcome is unknown.
        """
        if self._phase is not Phase.RELEASING or self._refusal is None:
            return []
        self._phase = Phase.DONE
        if not is_released:
            self._refusal.outcome = Outcome.UNKNOWN
        return [actions.Refuse(self._refusal)]

    def on_caller_gone(self) -> Actions:
        """Stop the call unless its answer must still be recorded."""
        if self._phase in (Phase.DONE, Phase.DETACHED):
            return []
        if self._phase is Phase.QUEUED:
            self._pool.queue.remove(self._request.caller, self)
            release = self._is_once
            self._phase = Phase.DONE
            return [actions.Release()] if release else []
        if self._is_once and self._attempts:
            self._phase = Phase.DETACHED
            return []
        was_claiming = self._phase is Phase.CLAIMING
        self._phase = Phase.DETACHED if was_claiming else Phase.DONE
        return self._abandon_all()

    def on_wake(self, now: float) -> Actions:
        """Handle the deadline, a due hedge or a repeated claim."""
        if self._phase in (Phase.DONE, Phase.DETACHED, Phase.RELEASING):
            return []
        if now >= self._deadline_at:
            return self._on_deadline(now)
        if self._phase is Phase.CLAIMING:
            return [actions.Claim()]
        if self._phase is Phase.SENT and now >= self._hedge_at:
            return self._hedge(now)
        return []

    @property
    def _is_once(self) -> bool:
        """Return whether the request must run only once."""
        return self._request.run is const.Run.ONCE

    def _send(self, now: float) -> Actions:
        """Send the request, queue it or refuse it."""
        if now >= self._deadline_at:
            return self._give_up(
                exceptions.DeadlinePassed(self._outcome_so_far())
            )
        backend = self._pool.choose(now, self._tried)
        if backend is None and self._tried:
            self._tried.clear()
            backend = self._pool.choose(now)
        if backend is None:
            return self._enqueue()
        attempt = self._start_attempt(backend, now)
        result: Actions = [actions.Send(attempt)]
        if not self._is_once:
            self._hedge_at = now + self._pool.hedge_delay
            result.append(actions.WakeAt(self._hedge_at))
        return result

    def _enqueue(self) -> Actions:
        """Queue the request, or refuse it if no server is usable."""
        if not self._pool.has_usable():
            return self._give_up(
                exceptions.NoBackendServer(self._outcome_so_far())
            )
        self._phase = Phase.QUEUED
        evicted = self._pool.queue.push(self._request.caller, self)
        if evicted is None:
            return []
        if evicted is self:
            return self.on_evicted()
        return [actions.Evict(evicted)]

    def _start_attempt(
        self, backend: pool_module.Backend, now: float
    ) -> Attempt:
        """Start and count a new attempt."""
        if not self._attempt_count:
            self._first_sent_at = now
        self._attempt_count += 1
        attempt = Attempt(self._attempt_count, backend, now)
        self._attempts.append(attempt)
        self._tried.add(backend.key)
        self._pool.start(backend, attempt, now)
        self._phase = Phase.SENT
        return attempt

    def _end_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt that has ended."""
        self._attempts.remove(attempt)
        self._pool.finish(attempt.backend, attempt)

    def _hedge(self, now: float) -> Actions:
        """Send a hedged attempt because the answer is late."""
        self._hedge_at = float("inf")
        if not (self.replayable and self.body_complete):
            return []
        if len(self._attempts) > const.MAX_HEDGES:
            return []
        backend = self._pool.choose(now, self._tried)
        if backend is None or not self._pool.hedge_budget.spend():
            return []
        self._hedge_at = now + self._pool.hedge_delay
        attempt = self._start_attempt(backend, now)
        return [actions.Send(attempt), actions.WakeAt(self._hedge_at)]

    def _can_retry(self, failure: const.AttemptFailure) -> bool:
        """Return whether a retry is safe and within the budget."""
        if not self.replayable or self._attempt_count >= const.MAX_ATTEMPTS:
            return False
        if self._is_once and failure not in const.FAILURES_NOT_RUN:
            return False
        if self._is_held():
            return False
        return self._pool.retry_budget.spend()

    def _record_crash(self) -> None:
        """Record a connection that broke with this request in flight."""
        if self._crash_tracker is None or not self.body_complete:
            return
        request = self._request
        route = f"{request.method} {request.path}"
        self._crash_tracker.record_crash(request.fingerprint, route)

    def _is_held(self) -> bool:
        """Return whether requests like this one are held for crashes."""
        if self._crash_tracker is None:
            return False
        return self._crash_tracker.is_held(self._request)

    def _failure_refusal(
        self, failure: const.AttemptFailure
    ) -> exceptions.Refusal:
        """Return the refusal for a request whose last attempt failed."""
        outcome = self._outcome_so_far()
        if failure in const.FAILURES_NOT_RUN:
            return exceptions.NoBackendServer(outcome)
        if self._is_held():
            return exceptions.CrashSuspected(outcome)
        return exceptions.BackendFailed(outcome)

    def _outcome_so_far(self) -> Outcome:
        """Return UNKNOWN if any attempt may have run, else NOT_RUN."""
        if self._may_have_run or self._attempts:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    def _give_up(self, refusal: exceptions.Refusal) -> Actions:
        """Refuse the request; release its claim first if nothing ran."""
        if self._is_once and refusal.outcome is Outcome.NOT_RUN:
            self._phase = Phase.RELEASING
            self._refusal = refusal
            return [actions.Release()]
        self._phase = Phase.DONE
        return [actions.Refuse(refusal)]

    def _cut_short(self) -> Actions:
        """Reset the caller's connection if an incomplete answer was sent."""
        relaying = self._phase is Phase.RELAYING
        self._phase = Phase.DONE
        return [actions.CutShort()] if relaying else []

    def _on_deadline(self, now: float) -> Actions:
        """Refuse the request unless its body or its answer is in transfer.

        A request that must run once goes on detached.
        """
        phase = self._phase
        if phase is Phase.SENT and not self.body_complete:
            self._deadline_at = now + self._request.service.deadline_s
            return [actions.WakeAt(self._deadline_at)]
        if phase is Phase.RELAYING:
            return []
        if phase is Phase.QUEUED:
            self._pool.queue.remove(self._request.caller, self)
            return self._give_up(
                exceptions.DeadlinePassed(self._outcome_so_far())
            )
        refusal = exceptions.DeadlinePassed(Outcome.UNKNOWN)
        if phase is Phase.CLAIMING or self._is_once:
            self._phase = Phase.DETACHED
            return [actions.Refuse(refusal)]
        abandoned = self._abandon_all()
        self._phase = Phase.DONE
        return [*abandoned, actions.Refuse(refusal)]

    def _abandon_all(self) -> Actions:
        """Abandon all attempts."""
        result: Actions = []
        for attempt in list(self._attempts):
            result.append(actions.Abandon(attempt))
            self._end_attempt(attempt)
        return result

    def _on_late_claim(self, state: ClaimState) -> Actions:
        """Release a claim that succeeded after the caller stopped waiting."""
        if self._phase is not Phase.DETACHED:
            return []
        self._phase = Phase.DONE
        if state is ClaimState.CLAIMED:
            return [actions.Release()]
        return []

    def _note_unknown_claim(self, state: ClaimState) -> Actions:
        """Return an event if the result of the claim is unknown."""
        if state is not ClaimState.UNKNOWN:
            return []
        request = self._request
        kind = const.EVENT_CLAIM_UNKNOWN
        return [actions.Note(kind, request.request_id, request.key)]


def _replay_or_refuse(answer: models.RecordedAnswer) -> actions.Action:
    """Replay the recorded answer, or refuse if its body was not kept."""
    if answer.body is None:
        return actions.Refuse(exceptions.AnswerNotKept(Outcome.RAN))
    return actions.Replay(answer)


def _refusal_for(state: ClaimState) -> exceptions.Refusal:
    """Return the refusal for a claim that did not succeed."""
    if state is ClaimState.KEY_REUSED:
        return exceptions.KeyReused(Outcome.NOT_RUN)
    if state is ClaimState.NOT_CLAIMED:
        return exceptions.StoreUnavailable(Outcome.NOT_RUN)
    return exceptions.ClaimUnknown(Outcome.UNKNOWN)
