"""Delivery of one routed request, from its body to its final answer.

A request that is not idempotent is sent again only if the server stated that
it did not run it, or if no byte of it was sent.
"""

from __future__ import annotations

import enum
import math

import attrs

from tarragonlift.core import actions
from tarragonlift.core import budget
from tarragonlift.core import const as core_const
from tarragonlift.core.fleet import admission
from tarragonlift.core.fleet import chooser as chooser_module
from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import crashes
from tarragonlift.core.fleet import hedging
from tarragonlift.core.fleet import models
from tarragonlift.core.fleet import registry as registry_module
from tarragonlift.core.fleet import server as server_module
from tarragonlift.core.fleet import stop_plan as stop_plan_module
from tarragonlift import exceptions

Actions = list[actions.Action]
Attempt = actions.Attempt
Failure = core_const.AttemptFailure
Outcome = core_const.Outcome


class Phase(enum.Enum):
    """Phase of the delivery of a request."""

    NEW = "new"
    CHOOSING = "choosing"
    SENT = "sent"
    DONE = "done"


class Verdict(enum.Enum):
    """Meaning of a server's complete answer."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not-run"
    MISPLACED = "misplaced"
    INVALID = "invalid"


@attrs.frozen
class Probe(actions.Action):
    """Probe the health and load of servers."""

    servers: tuple[server_module.FleetServer, ...]


@attrs.define
class Context:
    """State that all deliveries of a daemon share."""

    registry: registry_module.Registry
    chooser: chooser_module.Chooser
    crash_tracker: crashes.CrashTracker
    stop_plan: stop_plan_module.StopPlan
    budgets: dict[str, budget.ExtraCallBudget]


class Delivery:
    """Decides the steps of the delivery of one request.

    Each method receives an event and its time and returns actions.
    """

    def __init__(
        self, request: models.RoutedRequest, context: Context
    ) -> None:
        """Initialize the delivery; ``start`` begins it."""
        self._request = request
        self._context = context
        self._admission = admission.Admission(
            request, context.chooser, context.registry
        )
        self._phase = Phase.NEW
        self._attempts: list[Attempt] = []
        # Servers of the attempts since each server had one.
        self._tried: set[str] = set()
        # Attempt whose answer is relayed before it is complete.
        self._streamed: Attempt | None = None
        self._sent_to: set[str] = set()
        self._sent = 0
        self._may_have_run = 0
        self._probe_rounds = 0
        self._has_waited = False
        self._search_since = 0.0
        self._hedging = False
        service_times = context.chooser.service_times
        self._hedge = hedging.HedgePlan(request, service_times)
        self._last_choice: chooser_module.Choice | None = None
        self.body_bytes = 0
        self.fingerprint = ""
        self.replayable = True

    @property
    def request(self) -> models.RoutedRequest:
        """Return the request."""
        return self._request

    @property
    def phase(self) -> Phase:
        """Return the phase of the delivery."""
        return self._phase

    @property
    def sent(self) -> int:
        """Return the number of attempts sent so far."""
        return self._sent

    @property
    def last_choice(self) -> chooser_module.Choice | None:
        """Return the choice behind the last attempt."""
        return self._last_choice

    def start(self, now: float) -> Actions:
        """Start the delivery, or refuse it if it may crash servers."""
        self._budget.earn()
        if not self._context.crash_tracker.begin(self.fingerprint, now):
            return self._refuse(exceptions.CrashSuspected(Outcome.NOT_RUN))
        wake = actions.WakeAt(self._request.give_up_at)
        return [wake, *self._begin_search(now)]

    def on_probes_done(self, now: float) -> Actions:
        """Continue after the probes were answered or timed out."""
        if self._phase is Phase.DONE:
            return []
        self._probe_rounds += 1
        if self._hedging:
            return self._send_hedge(now)
        if self._phase is Phase.CHOOSING:
            return self._search(now)
        return []

    def on_wake(self, now: float) -> Actions:
        """Give up or hedge if one of them is due."""
        if self._phase is Phase.DONE:
            return []
        if now >= self._request.give_up_at:
            return self._expire(now)
        if self._phase is Phase.SENT and now >= self._hedge.at:
            return self._begin_hedge(now)
        return []

    def on_pause_over(self, now: float) -> Actions:
        """Search again for a server with capacity."""
        if self._phase is not Phase.CHOOSING:
            return []
        self._probe_rounds = 0
        self._has_waited = True
        return self._search(now)

    def on_answer(
        self,
        attempt: Attempt,
        verdict: Verdict,
        now: float,
        is_delimited: bool = True,
    ) -> Actions:
        """Relay a complete answer, or retry at another server if allowed.

        ``is_delimited`` is False if the end of the connection is the only
        sign of the answer's end: the server may have crashed as well.
        """
        if attempt not in self._attempts:
            return []
        pending = self._end_attempt(attempt, now)
        server = attempt.backend
        if verdict is Verdict.SUCCESS:
            self._record_answer(server, pending, now)
            if is_delimited:
                self._context.crash_tracker.record_answer(
                    self.fingerprint, now
                )
        if verdict in (Verdict.FAILURE, Verdict.INVALID) or not is_delimited:
            self._record_left(attempt, now)
        if self._phase is Phase.DONE:
            return []
        if verdict is Verdict.SUCCESS:
            self._record_unanswered(now)
            return self._relay(attempt, now)
        if verdict is Verdict.NOT_RUN:
            server.avoid_until = now + const.AVOID_AFTER_FAILURE_S
            server.reported_at = -math.inf
            return self._after_not_run(now)
        if verdict is Verdict.MISPLACED:
            server.is_misplaced = True
            return self._after_not_run(now)
        server.record_failure(now)
        self._may_have_run += 1
        if verdict is Verdict.FAILURE and not self._can_retry(now):
            return [] if self._attempts else self._relay(attempt, now)
        return self._after_failure(now)

    def on_stream_begun(self, attempt: Attempt, now: float) -> Actions:
        """Relay an answer while it arrives and abandon the other attempts."""
        if attempt not in self._attempts:
            return []
        pending = self._end_attempt(attempt, now)
        self._record_answer(attempt.backend, pending, now)
        if self._phase is Phase.DONE:
            return []
        self._streamed = attempt
        self._record_unanswered(now)
        self._phase = Phase.DONE
        return self._abandon_all(now)

    def on_stream_ended(self, now: float, is_delimited: bool) -> None:
        """Record the end of the answer that was relayed as it arrived."""
        attempt, self._streamed = self._streamed, None
        if is_delimited:
            self._context.crash_tracker.record_answer(self.fingerprint, now)
        elif attempt is not None:
            self._record_left(attempt, now)

    def on_failed(
        self, attempt: Attempt, failure: Failure, now: float
    ) -> Actions:
        """Retry at another server if allowed, else refuse the request."""
        if attempt is self._streamed:
            self._streamed = None
            attempt.backend.record_failure(now)
            self._record_break(attempt, failure, now)
            return []
        if attempt not in self._attempts:
            return []
        self._end_attempt(attempt, now)
        attempt.backend.record_failure(now)
        self._record_break(attempt, failure, now)
        if self._phase is Phase.DONE:
            return []
        if failure in core_const.FAILURES_NOT_RUN:
            return self._after_not_run(now)
        self._may_have_run += 1
        return self._after_failure(now)

    def on_caller_gone(self, now: float) -> Actions:
        """Stop, but let a request that is not idempotent run to its end."""
        if self._streamed is not None:
            self._record_left(self._streamed, now)
            self._streamed = None
        if self._phase is Phase.DONE:
            return []
        self._phase = Phase.DONE
        if not self._request.route.idempotent:
            return []
        return self._abandon_all(now)

    def on_body_broken(self, now: float) -> Actions:
        """Stop because the request body is incomplete."""
        if self._phase is Phase.DONE:
            return []
        self._phase = Phase.DONE
        return self._abandon_all(now)

    def on_process_ending(self, now: float) -> Actions:
        """Refuse the request since the process does not wait for it."""
        if self._phase is Phase.DONE:
            return []
        if not self._attempts:
            return self._give_up(exceptions.Stopping(Outcome.NOT_RUN))
        return self._expire(now)

    def on_error(self, now: float) -> Actions:
        """Refuse the request after one of its decisions failed."""
        if self._phase is Phase.DONE:
            return []
        if not self._sent:
            return self._give_up(exceptions.NoBackendServer(Outcome.NOT_RUN))
        return self._refuse_sent(exceptions.BackendFailed, now)

    @property
    def _budget(self) -> budget.ExtraCallBudget:
        """Return the extra call budget of the request's service."""
        return self._context.budgets[self._request.service]

    def _begin_search(self, now: float) -> Actions:
        """Start a new search for a server."""
        self._phase = Phase.CHOOSING
        self._probe_rounds = 0
        self._search_since = now
        return self._search(now)

    def _search(self, now: float) -> Actions:
        """Send to a server, probe first, wait for capacity or refuse."""
        if not self._may_send(now):
            return self._give_up(exceptions.Stopping(Outcome.NOT_RUN))
        choice = self._choose(now)
        if isinstance(choice, chooser_module.ProbeFirst):
            return [Probe(choice.servers)]
        if choice is None:
            return self._wait_for_capacity(now)
        if not self._admission.is_admitted(choice, now):
            return self._wait_or_refuse(
                exceptions.Overloaded(Outcome.NOT_RUN), now
            )
        return self._send(choice, now)

    def _choose(
        self, now: float
    ) -> chooser_module.Choice | chooser_module.ProbeFirst | None:
        """Return the next server, or the servers to probe first."""
        return self._context.chooser.choose(
            self._request,
            self.body_bytes,
            self._tried,
            self._probe_rounds,
            self._has_waited or self._sent > 0,
            now,
        )

    def _wait_for_capacity(self, now: float) -> Actions:
        """Wait until a server may accept the request."""
        if self._tried and not self._attempts:
            self._tried.clear()
        resumes_at = self._context.registry.resumes_at(
            self._request.service, now
        )
        if resumes_at is not None:
            return self._give_up(
                exceptions.NoBackendServer(Outcome.NOT_RUN, resumes_at - now)
            )
        return self._wait_or_refuse(
            exceptions.NoBackendServer(Outcome.NOT_RUN), now
        )

    def _wait_or_refuse(
        self, refusal: exceptions.Refusal, now: float
    ) -> Actions:
        """Search again after a pause, or refuse after the longest wait."""
        if not self._admission.may_wait(self._search_since, now):
            return self._give_up(refusal)
        return [actions.PauseUntil(now + const.WAIT_INTERVAL_S)]

    def _send(self, choice: chooser_module.Choice, now: float) -> Actions:
        """Send the request to the chosen server."""
        server = choice.server
        self._sent += 1
        is_repeat = server.server_id in self._sent_to
        attempt = Attempt(self._sent, server, now, is_repeat)
        self._attempts.append(attempt)
        self._tried.add(server.server_id)
        self._sent_to.add(server.server_id)
        self._last_choice = choice
        server.begin(attempt, choice.expected_s, now)
        self._context.registry.record_sent(server, now)
        self._context.stop_plan.on_sent(self._request.route, attempt)
        self._phase = Phase.SENT
        self._probe_rounds = 0
        result: Actions = [actions.Send(attempt)]
        if self._request.route.idempotent and self._hedge.plan(now):
            result.append(actions.WakeAt(self._hedge.at))
        return result

    def _begin_hedge(self, now: float) -> Actions:
        """Search for a second server since the answer is late."""
        self._hedge.begin()
        if not self._can_retry(now):
            return []
        self._hedging = True
        self._probe_rounds = 0
        return self._send_hedge(now)

    def _send_hedge(self, now: float) -> Actions:
        """Send to a second server if its answer is expected in time."""
        if self._phase is not Phase.SENT or not self._attempts:
            self._hedging = False
            return []
        choice = self._choose(now)
        if isinstance(choice, chooser_module.ProbeFirst):
            return [Probe(choice.servers)]
        self._hedging = False
        if choice is None or not choice.server.is_fresh(now):
            return self._plan_late_hedge(now)
        if (
            not self._hedge.is_worthwhile(choice, now)
            or not self._budget.spend()
        ):
            return self._plan_late_hedge(now)
        return self._send(choice, now)

    def _plan_late_hedge(self, now: float) -> Actions:
        """Schedule another search so that the request is answered at all."""
        if not self._hedge.plan_again(now):
            return []
        return [actions.WakeAt(self._hedge.at)]

    def _can_retry(self, now: float) -> bool:
        """Return whether the request may be sent to one more server."""
        request = self._request
        if not request.route.idempotent or not self.replayable:
            return False
        reached = self._may_have_run + len(self._attempts)
        if reached >= request.route.max_attempts or self._is_held(now):
            return False
        return now < request.give_up_at and self._may_send(now)

    def _after_not_run(self, now: float) -> Actions:
        """Retry or refuse a request that a server did not run."""
        if self._attempts:
            return []
        can_send = self.replayable and not self._is_held(now)
        max_sent = self._request.route.max_attempts + 1
        if can_send and self._sent < max_sent and self._budget.spend():
            return self._begin_search(now)
        return self._give_up(exceptions.NoBackendServer(Outcome.NOT_RUN))

    def _after_failure(self, now: float) -> Actions:
        """Retry an idempotent request, or report that it failed."""
        if self._attempts:
            return []
        if self._can_retry(now) and self._budget.spend():
            return self._begin_search(now)
        return self._refuse(exceptions.BackendFailed(Outcome.UNKNOWN))

    def _expire(self, now: float) -> Actions:
        """Refuse the request after its time limit."""
        self._record_unanswered(now)
        if not self._attempts:
            return self._give_up(exceptions.NoBackendServer(Outcome.NOT_RUN))
        return self._refuse_sent(exceptions.DeadlinePassed, now)

    def _relay(self, attempt: Attempt, now: float) -> Actions:
        """Relay an answer and abandon the other attempts."""
        self._phase = Phase.DONE
        return [*self._abandon_all(now), actions.Relay(attempt)]

    def _give_up(self, not_run: exceptions.Refusal) -> Actions:
        """Refuse as "not run" only if no server may have run the request."""
        if self._may_have_run or self._attempts:
            return self._refuse(exceptions.BackendFailed(Outcome.UNKNOWN))
        return self._refuse(not_run)

    def _refuse(self, refusal: exceptions.Refusal) -> Actions:
        """End with a refusal by tarragonlift itself."""
        self._phase = Phase.DONE
        return [actions.Refuse(refusal)]

    def _refuse_sent(
        self, refusal: type[exceptions.Refusal], now: float
    ) -> Actions:
        """Refuse a request that servers may run; orders run to their end."""
        abandoned = (
            self._abandon_all(now) if self._request.route.idempotent else []
        )
        return abandoned + self._refuse(refusal(Outcome.UNKNOWN))

    def _abandon_all(self, now: float) -> Actions:
        """Abandon all attempts and close their connections."""
        result: Actions = []
        for attempt in list(self._attempts):
            self._end_attempt(attempt, now)
            self._record_left(attempt, now)
            result.append(actions.Abandon(attempt))
        return result

    def _end_attempt(
        self, attempt: Attempt, now: float
    ) -> server_module.InFlight | None:
        """Remove an attempt that ended."""
        self._attempts.remove(attempt)
        stop_plan = self._context.stop_plan
        stop_plan.on_ended(self._request.route, attempt, now)
        return attempt.backend.finish(attempt)

    def _record_answer(
        self,
        server: server_module.FleetServer,
        pending: server_module.InFlight | None,
        now: float,
    ) -> None:
        """Record the service time of an answer."""
        if pending is None:
            return
        server.record_answer(pending, now)
        choice = self._last_choice
        if choice is not None and choice.server is server:
            service_times = self._context.chooser.service_times
            route = self._request.route
            expected_slowdown = pending.expected_s / max(
                service_times.get(route), 1e-3
            )
            service_times.add(
                route, (now - pending.sent_at) / expected_slowdown
            )

    def _record_break(
        self, attempt: Attempt, failure: Failure, now: float
    ) -> None:
        """Record that a server may have ended because of the request."""
        tracker = self._context.crash_tracker
        if failure in core_const.FAILURES_BROKEN:
            tracker.record_break(self.fingerprint, attempt.backend, now)
        elif failure is Failure.CONNECT_FAILED:
            tracker.record_unreachable(attempt.backend, now)
        elif failure not in core_const.FAILURES_NOT_RUN:
            tracker.record_left(self.fingerprint, attempt.backend, now)

    def _record_left(self, attempt: Attempt, now: float) -> None:
        """Record that the attempt's server may still run the request."""
        self._context.crash_tracker.record_left(
            self.fingerprint, attempt.backend, now
        )

    def _record_unanswered(self, now: float) -> None:
        """Record that servers have not answered yet."""
        for attempt in self._attempts:
            attempt.backend.record_unanswered(attempt, now)

    def _may_send(self, now: float) -> bool:
        """Return whether the answer will come before the process ends."""
        request = self._request
        return self._context.stop_plan.may_send(
            request.route, request.give_up_at, now
        )

    def _is_held(self, now: float) -> bool:
        """Return whether the request is held back after crashes."""
        tracker = self._context.crash_tracker
        return tracker.is_held(self.fingerprint, now)
