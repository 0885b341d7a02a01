"""The life of one request, from its head to the end of its answer."""

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
    """Where a request is in its life."""

    NEW = "new"
    CLAIMING = "claiming"
    QUEUED = "queued"
    SENT = "sent"
    RELAYING = "relaying"
    RELEASING = "releasing"
    DETACHED = "detached"
    DONE = "done"


class ClaimState(enum.Enum):
    """What the platform's table said about a claim."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    IN_PROGRESS = "in-progress"
    KEY_REUSED = "key-reused"
    NOT_CLAIMED = "not-claimed"
    UNKNOWN = "unknown"


class Call(actions.WaitingCall):
    """Decides what happens to one request.

    Each method takes what happened and the time, and returns actions. A call
    whose caller has been answered or has gone may go on as ``DETACHED``, so
    that the answer of a request that runs once is still recorded.
    """

    def __init__(
        self,
        request: models.Request,
        pool: pool_module.ServicePool,
        suspected: crash_tracker.CrashTracker | None = None,
    ) -> None:
        """Prepare; nothing happens before ``start``."""
        self._request = request
        self._pool = pool
        self._suspects = suspected
        self._phase = Phase.NEW
        self._attempts: list[Attempt] = []
        self._tried: set[str] = set()
        self._sent = 0
        self._winner: Attempt | None = None
        self._refusal: exceptions.Refusal | None = None
        self._hedge_at = float("inf")
        self._ever_sent = False
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
        """Return where the request is in its life."""
        return self._phase

    @property
    def pool(self) -> pool_module.ServicePool:
        """Return the pool of the request's service."""
        return self._pool

    def start(self, now: float) -> Actions:
        """Begin: claim the key when the request runs once, else send."""
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
        """Follow what the table said about the claim."""
        if self._phase is not Phase.CLAIMING:
            return self._on_late_claim(state)
        if state is ClaimState.CLAIMED:
            return self._send(now)
        if state is ClaimState.IN_PROGRESS:
            return [actions.WakeAt(now + const.CLAIM_POLL_INTERVAL_S)]
        self._phase = Phase.DONE
        if state is ClaimState.ANSWERED and answer is not None:
            return [_answer_again(answer)]
        return [actions.Refuse(_refusal_for(state)), *self._claim_note(state)]

    def on_dequeued(self, now: float) -> Actions:
        """Leave the queue: a backend server may have room.

        A request whose time is too short for an answer gives its place to
        one that can still be answered.
        """
        if self._phase is not Phase.QUEUED:
            return []
        if now + self._pool.latency_p90 > self._deadline_at:
            return self._give_up(
                exceptions.DeadlinePassed(self._outcome_so_far())
            )
        return self._send(now)

    def on_evicted(self) -> Actions:
        """Leave the queue: another caller has the better claim to a place."""
        return self._give_up(exceptions.Overloaded(Outcome.NOT_RUN))

    def on_body_complete(self, now: float) -> None:
        """Count the deadline of a long upload from the end of its body."""
        if self.body_complete:
            return
        self.body_complete = True
        allowed = self._request.deadline_at - self._request.received_at
        self._deadline_at = max(self._deadline_at, now + allowed)

    def on_answer_head(self, attempt: Attempt, now: float) -> Actions:
        """Take the first answer that comes; the other attempts are lost."""
        if self._winner is not None or attempt not in self._attempts:
            return []
        self._winner = attempt
        value = now - attempt.started_at
        waited = now - self._first_sent_at
        self._pool.add_latency(attempt.backend, value, waited, now)
        result: Actions = []
        for other in list(self._attempts):
            if other is not attempt:
                result.append(actions.Abandon(other))
                self._end(other)
        if self._phase is Phase.SENT:
            self._phase = Phase.RELAYING
            result.append(actions.Relay(attempt))
        return result

    def on_answer_complete(self, attempt: Attempt, now: float) -> Actions:
        """Finish: the answer is whole."""
        if attempt is not self._winner:
            return []
        self._end(attempt)
        self._phase = Phase.DONE
        if self._suspects is not None and len(self._suspects):
            self._suspects.clear(self._request.fingerprint)
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
        """Try elsewhere where that is allowed, else tell the truth."""
        if attempt not in self._attempts:
            return []
        self._end(attempt)
        self._pool.set_aside(attempt.backend, now)
        note = actions.Note(
            const.EVENT_ATTEMPT_FAILED,
            self._request.request_id,
            f"{attempt.backend.key} {failure.value}",
        )
        if attempt is self._winner:
            return [note, *self._cut_short()]
        if failure not in const.FAILURES_NOT_RUN:
            self._ever_sent = True
        if failure is const.AttemptFailure.BROKEN_BEFORE_ANSWER:
            self._add_crash()
        if self._attempts:
            return [note]
        if self._phase is Phase.DETACHED:
            self._phase = Phase.DONE
            return [note]
        if self._may_retry(failure):
            return [note, *self._send(now)]
        return [note, *self._give_up(self._failure_refusal(failure))]

    def on_released(self, given_back: bool) -> Actions:
        """Answer, now that the claim is given back or can't be."""
        if self._phase is not Phase.RELEASING or self._refusal is None:
            return []
        self._phase = Phase.DONE
        if not given_back:
            self._refusal.outcome = Outcome.UNKNOWN
        return [actions.Refuse(self._refusal)]

    def on_caller_gone(self) -> Actions:
        """Stop what has no use any more; a request that ran is recorded."""
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
        """Do what is due: give up at the deadline, hedge, ask again."""
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
        """Return whether the request may run only once."""
        return self._request.run is const.Run.ONCE

    def _send(self, now: float) -> Actions:
        """Send to a backend server, wait for one, or refuse."""
        if now >= self._deadline_at:
            return self._give_up(
                exceptions.DeadlinePassed(self._outcome_so_far())
            )
        backend = self._pool.choose(now, self._tried)
        if backend is None and self._tried:
            self._tried.clear()
            backend = self._pool.choose(now)
        if backend is None:
            return self._wait_for_room()
        attempt = self._start_attempt(backend, now)
        result: Actions = [actions.Send(attempt)]
        if not self._is_once:
            self._hedge_at = now + self._pool.hedge_delay
            result.append(actions.WakeAt(self._hedge_at))
        return result

    def _wait_for_room(self) -> Actions:
        """Queue the request, unless no server can ever take it."""
        if not self._pool.has_usable():
            return self._give_up(
                exceptions.NoBackendServer(self._outcome_so_far())
            )
        self._phase = Phase.QUEUED
        victim = self._pool.queue.push(self._request.caller, self)
        if victim is None:
            return []
        if victim is self:
            return self.on_evicted()
        return [actions.Evict(victim)]

    def _start_attempt(
        self, backend: pool_module.Backend, now: float
    ) -> Attempt:
        """Count a new attempt."""
        if not self._sent:
            self._first_sent_at = now
        self._sent += 1
        attempt = Attempt(self._sent, backend, now)
        self._attempts.append(attempt)
        self._tried.add(backend.key)
        self._pool.start(backend, attempt, now)
        self._phase = Phase.SENT
        return attempt

    def _end(self, attempt: Attempt) -> None:
        """Count the end of an attempt."""
        self._attempts.remove(attempt)
        self._pool.finish(attempt.backend, attempt)

    def _hedge(self, now: float) -> Actions:
        """Send a second time when the first answer is late."""
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

    def _may_retry(self, failure: const.AttemptFailure) -> bool:
        """Return whether another attempt is right and within the budget."""
        if not self.replayable or self._sent >= const.MAX_ATTEMPTS:
            return False
        if self._is_once and failure not in const.FAILURES_NOT_RUN:
            return False
        if self._is_held():
            return False
        return self._pool.retry_budget.spend()

    def _add_crash(self) -> None:
        """Count a connection that died with this request in flight."""
        if self._suspects is None or not self.body_complete:
            return
        request = self._request
        route = f"{request.method} {request.path}"
        self._suspects.record_crash(request.fingerprint, route)

    def _is_held(self) -> bool:
        """Return whether requests like this one crash servers."""
        if self._suspects is None:
            return False
        return self._suspects.is_held(self._request)

    def _failure_refusal(
        self, failure: const.AttemptFailure
    ) -> exceptions.Refusal:
        """Return the answer for a request whose last attempt failed."""
        outcome = self._outcome_so_far()
        if failure in const.FAILURES_NOT_RUN:
            return exceptions.NoBackendServer(outcome)
        if self._is_held():
            return exceptions.CrashSuspected(outcome)
        return exceptions.BackendFailed(outcome)

    def _outcome_so_far(self) -> Outcome:
        """Return what is known: any attempt in doubt makes it unknown."""
        if self._ever_sent or self._attempts:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    def _give_up(self, refusal: exceptions.Refusal) -> Actions:
        """Refuse; a claim is given back first where nothing ran."""
        if self._is_once and refusal.outcome is Outcome.NOT_RUN:
            self._phase = Phase.RELEASING
            self._refusal = refusal
            return [actions.Release()]
        self._phase = Phase.DONE
        return [actions.Refuse(refusal)]

    def _cut_short(self) -> Actions:
        """End an answer that can't become whole."""
        relaying = self._phase is Phase.RELAYING
        self._phase = Phase.DONE
        return [actions.CutShort()] if relaying else []

    def _on_deadline(self, now: float) -> Actions:
        """Tell the caller; let a request that runs once go on."""
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
        """Close the connections of all attempts."""
        result: Actions = []
        for attempt in list(self._attempts):
            result.append(actions.Abandon(attempt))
            self._end(attempt)
        return result

    def _on_late_claim(self, state: ClaimState) -> Actions:
        """Give back a claim that came when nobody waits any more."""
        if self._phase is not Phase.DETACHED:
            return []
        self._phase = Phase.DONE
        if state is ClaimState.CLAIMED:
            return [actions.Release()]
        return []

    def _claim_note(self, state: ClaimState) -> Actions:
        """Return an event for a claim whose truth is not known."""
        if state is not ClaimState.UNKNOWN:
            return []
        request = self._request
        kind = const.EVENT_CLAIM_UNKNOWN
        return [actions.Note(kind, request.request_id, request.key)]


def _answer_again(answer: models.RecordedAnswer) -> actions.Action:
    """Return the recorded answer, or that it was not kept."""
    if answer.body is None:
        return actions.Refuse(exceptions.AnswerNotKept(Outcome.RAN))
    return actions.Replay(answer)


def _refusal_for(state: ClaimState) -> exceptions.Refusal:
    """Return the answer for a claim that was not taken."""
    if state is ClaimState.KEY_REUSED:
        return exceptions.KeyReused(Outcome.NOT_RUN)
    if state is ClaimState.NOT_CLAIMED:
        return exceptions.StoreUnavailable(Outcome.NOT_RUN)
    return exceptions.ClaimUnknown(Outcome.UNKNOWN)
