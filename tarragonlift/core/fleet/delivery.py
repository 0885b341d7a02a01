"""The life of one routed request, from its body to its final answer.

A request that is not idempotent is sent again only where the server stated
that it did not run it, or where no byte of it was sent.
"""

from __future__ import annotations

import enum
import math

import attrs

from tarragonlift.core import actions
from tarragonlift.core import budget
from tarragonlift.core import const as core_const
from tarragonlift.core.fleet import chooser as chooser_module
from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import crashes
from tarragonlift.core.fleet import hedging
from tarragonlift.core.fleet import models
from tarragonlift.core.fleet import registry as registry_module
from tarragonlift.core.fleet import server as server_module
from tarragonlift import exceptions

Actions = list[actions.Action]
Attempt = actions.Attempt
Failure = core_const.AttemptFailure
Outcome = core_const.Outcome


class Phase(enum.Enum):
    """Where a request is in its life."""

    NEW = "new"
    CHOOSING = "choosing"
    SENT = "sent"
    DONE = "done"


class Verdict(enum.Enum):
    """What a server's whole answer says."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not-run"
    MISPLACED = "misplaced"
    INVALID = "invalid"


@attrs.frozen
class Probe(actions.Action):
    """Ask these servers for their health and load."""

    servers: tuple[server_module.FleetServer, ...]


@attrs.frozen
class TellCrash(actions.Action):
    """Tell the other daemons that a server died with this request."""

    fingerprint: str


@attrs.define
class Context:
    """What all requests of a daemon share."""

    registry: registry_module.Registry
    chooser: chooser_module.Chooser
    crash_tracker: crashes.CrashTracker
    budgets: dict[str, budget.ExtraCallBudget]


class Delivery:
    """Decides what happens to one request.

    Each method takes what happened and the time, and returns actions.
    """

    def __init__(
        self, request: models.RoutedRequest, context: Context
    ) -> None:
        """Prepare; nothing happens before ``start``."""
        self._request = request
        self._context = context
        self._phase = Phase.NEW
        self._attempts: list[Attempt] = []
        self._tried: set[str] = set()
        self._sent = 0
        self._may_have_run = 0
        self._rounds = 0
        self._held = False
        self._seeking_since = 0.0
        self._hedging = False
        times = context.chooser.service_times
        self._hedge = hedging.HedgePlan(request, times)
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
        """Return where the request is in its life."""
        return self._phase

    @property
    def sent(self) -> int:
        """Return how many times the request was sent."""
        return self._sent

    @property
    def last_choice(self) -> chooser_module.Choice | None:
        """Return what the last sending was based on."""
        return self._last_choice

    def start(self, now: float) -> Actions:
        """Begin: find a server, unless requests like this crash servers."""
        self._budget.earn()
        if self._is_held(now):
            return self._refuse(exceptions.CrashSuspected(Outcome.NOT_RUN))
        wake = actions.WakeAt(self._request.give_up_at)
        return [wake, *self._begin_seeking(now)]

    def on_probes_done(self, now: float) -> Actions:
        """Go on: the servers that were asked answered, or took too long."""
        if self._phase is Phase.DONE:
            return []
        self._rounds += 1
        if self._hedging:
            return self._send_hedge(now)
        if self._phase is Phase.CHOOSING:
            return self._seek(now)
        return []

    def on_wake(self, now: float) -> Actions:
        """Do what is due: give up, look again for a server, or hedge."""
        if self._phase is Phase.DONE:
            return []
        if now >= self._request.give_up_at:
            return self._expire(now)
        if self._phase is Phase.SENT and now >= self._hedge.at:
            return self._begin_hedge(now)
        return []

    def on_pause_over(self, now: float) -> Actions:
        """Look again for a server with room."""
        if self._phase is not Phase.CHOOSING:
            return []
        self._rounds = 0
        self._held = True
        return self._seek(now)

    def on_answer(
        self, attempt: Attempt, verdict: Verdict, now: float
    ) -> Actions:
        """Relay a whole answer, or try elsewhere where that is right."""
        if attempt not in self._attempts:
            return []
        flight = self._end(attempt)
        server = attempt.backend
        if verdict is Verdict.SUCCESS:
            self._learn(server, flight, now)
        if self._phase is Phase.DONE:
            return []
        if verdict is Verdict.SUCCESS:
            self._learn_unanswered(now)
            return self._relay(attempt)
        if verdict is Verdict.NOT_RUN:
            server.avoid_until = now + const.AVOID_AFTER_FAILURE_S
            server.reported_at = -math.inf
            return self._after_not_run(now)
        if verdict is Verdict.MISPLACED:
            server.is_misplaced = True
            return self._after_not_run(now)
        server.record_failure(now)
        self._may_have_run += 1
        if verdict is Verdict.FAILURE and not self._may_repeat(now):
            return [] if self._attempts else self._relay(attempt)
        return self._after_failure(now)

    def on_failed(
        self, attempt: Attempt, failure: Failure, now: float
    ) -> Actions:
        """Try elsewhere where that is allowed, else tell the truth."""
        if attempt not in self._attempts:
            return []
        self._end(attempt)
        attempt.backend.record_failure(now)
        if self._phase is Phase.DONE:
            return []
        if failure in core_const.FAILURES_NOT_RUN:
            return self._after_not_run(now)
        self._may_have_run += 1
        told: Actions = []
        if failure is Failure.BROKEN_BEFORE_ANSWER:
            fingerprint = self.fingerprint
            self._context.crash_tracker.record_crash(fingerprint, now)
            told.append(TellCrash(fingerprint))
        return told + self._after_failure(now)

    def on_caller_gone(self) -> Actions:
        """Stop; a request that can't be repeated runs to its end."""
        if self._phase is Phase.DONE:
            return []
        self._phase = Phase.DONE
        if not self._request.route.idempotent:
            return []
        return self._abandon_all()

    def on_body_broken(self) -> Actions:
        """Stop: the request's body can't become whole."""
        if self._phase is Phase.DONE:
            return []
        self._phase = Phase.DONE
        return self._abandon_all()

    @property
    def _budget(self) -> budget.ExtraCallBudget:
        """Return the extra calls that the request's service allows."""
        return self._context.budgets[self._request.service]

    def _begin_seeking(self, now: float) -> Actions:
        """Look for a server anew."""
        self._phase = Phase.CHOOSING
        self._rounds = 0
        self._seeking_since = now
        return self._seek(now)

    def _seek(self, now: float) -> Actions:
        """Send to a server, ask servers first, wait for room or refuse."""
        choice = self._choose(now)
        if isinstance(choice, chooser_module.ProbeFirst):
            return [Probe(choice.servers)]
        if choice is None:
            return self._wait_for_room(now)
        if not self._is_admitted(choice, now):
            return self._hold(exceptions.Overloaded(Outcome.NOT_RUN), now)
        return self._send(choice, now)

    def _is_admitted(self, choice: chooser_module.Choice, now: float) -> bool:
        """Return whether the request may take a place at the server.

        A request that will probably be late only takes a free slot: in a
        queue it would make others late as well.
        """
        if now + choice.expected_s > self._request.give_up_at:
            return False
        if choice.server.has_free_slot:
            return True
        left = self._request.target_answer_at - now
        chance = self._context.chooser.late_probability(
            choice.expected_s, left
        )
        return chance <= self._late_chance_most

    @property
    def _late_chance_most(self) -> float:
        """Return the chance of a late answer at which a request queues."""
        if self._request.is_urgent:
            return const.MAX_LATE_PROBABILITY_URGENT
        return const.MAX_LATE_PROBABILITY_OTHERS

    def _choose(
        self, now: float
    ) -> chooser_module.Choice | chooser_module.ProbeFirst | None:
        """Return the next server, or whom to ask."""
        return self._context.chooser.choose(
            self._request,
            self.body_bytes,
            self._tried,
            self._rounds,
            self._held or self._sent > 0,
            now,
        )

    def _wait_for_room(self, now: float) -> Actions:
        """Wait a little for a server that may take the request."""
        if self._tried and not self._attempts:
            self._tried.clear()
        return self._hold(exceptions.NoBackendServer(Outcome.NOT_RUN), now)

    def _hold(self, refusal: exceptions.Refusal, now: float) -> Actions:
        """Look again after a pause, or refuse once that took too long."""
        hold = const.MAX_WAIT_SHARE * self._request.route.target_latency_s
        pause_until = now + const.WAIT_INTERVAL_S
        if pause_until - self._seeking_since > hold:
            return self._give_up(refusal)
        return [actions.PauseUntil(pause_until)]

    def _send(self, choice: chooser_module.Choice, now: float) -> Actions:
        """Send to the chosen server."""
        server = choice.server
        self._sent += 1
        attempt = Attempt(self._sent, server, now)
        self._attempts.append(attempt)
        self._tried.add(server.server_id)
        self._last_choice = choice
        server.begin(attempt, choice.expected_s, now)
        self._context.registry.record_sent(server, now)
        self._phase = Phase.SENT
        self._rounds = 0
        result: Actions = [actions.Send(attempt)]
        if self._request.route.idempotent and self._hedge.plan(now):
            result.append(actions.WakeAt(self._hedge.at))
        return result

    def _begin_hedge(self, now: float) -> Actions:
        """Look for a second server: the first answer is late."""
        self._hedge.begin()
        if not self._may_repeat(now):
            return []
        self._hedging = True
        self._rounds = 0
        return self._send_hedge(now)

    def _send_hedge(self, now: float) -> Actions:
        """Send to a second server if one will probably be faster."""
        if self._phase is not Phase.SENT or not self._attempts:
            self._hedging = False
            return []
        choice = self._choose(now)
        if isinstance(choice, chooser_module.ProbeFirst):
            return [Probe(choice.servers)]
        self._hedging = False
        if choice is None or not choice.server.is_fresh(now):
            return self._plan_late_hedge(now)
        if not self._hedge.is_worth(choice, now) or not self._budget.spend():
            return self._plan_late_hedge(now)
        return self._send(choice, now)

    def _plan_late_hedge(self, now: float) -> Actions:
        """Look again when the request is about to stay unanswered."""
        if not self._hedge.plan_again(now):
            return []
        return [actions.WakeAt(self._hedge.at)]

    def _may_repeat(self, now: float) -> bool:
        """Return whether the request may reach one more server."""
        request = self._request
        if not request.route.idempotent or not self.replayable:
            return False
        reached = self._may_have_run + len(self._attempts)
        if reached >= request.route.max_attempts or self._is_held(now):
            return False
        return now < request.give_up_at

    def _after_not_run(self, now: float) -> Actions:
        """Send elsewhere, or refuse: the server did not run the request."""
        if self._attempts:
            return []
        may = self.replayable and not self._is_held(now)
        most = self._request.route.max_attempts + 1
        if may and self._sent < most and self._budget.spend():
            return self._begin_seeking(now)
        return self._give_up(exceptions.NoBackendServer(Outcome.NOT_RUN))

    def _after_failure(self, now: float) -> Actions:
        """Send an idempotent request elsewhere, or tell that it failed."""
        if self._attempts:
            return []
        if self._may_repeat(now) and self._budget.spend():
            return self._begin_seeking(now)
        return self._refuse(exceptions.BackendFailed(Outcome.UNKNOWN))

    def _expire(self, now: float) -> Actions:
        """Give the final answer: the time is over."""
        self._learn_unanswered(now)
        if not self._attempts:
            return self._give_up(exceptions.NoBackendServer(Outcome.NOT_RUN))
        abandoned = (
            self._abandon_all() if self._request.route.idempotent else []
        )
        refusal = exceptions.DeadlinePassed(Outcome.UNKNOWN)
        return abandoned + self._refuse(refusal)

    def _relay(self, attempt: Attempt) -> Actions:
        """Pass an answer on; the other attempts are not wanted."""
        self._phase = Phase.DONE
        return [*self._abandon_all(), actions.Relay(attempt)]

    def _give_up(self, not_run: exceptions.Refusal) -> Actions:
        """Refuse; state that the request did not run only where that holds."""
        if self._may_have_run or self._attempts:
            return self._refuse(exceptions.BackendFailed(Outcome.UNKNOWN))
        return self._refuse(not_run)

    def _refuse(self, refusal: exceptions.Refusal) -> Actions:
        """End with an answer made by tarragonlift itself."""
        self._phase = Phase.DONE
        return [actions.Refuse(refusal)]

    def _abandon_all(self) -> Actions:
        """Close the connections of all attempts."""
        result: Actions = []
        for attempt in list(self._attempts):
            self._end(attempt)
            result.append(actions.Abandon(attempt))
        return result

    def _end(self, attempt: Attempt) -> server_module.InFlight | None:
        """Count the end of an attempt."""
        self._attempts.remove(attempt)
        return attempt.backend.finish(attempt)

    def _learn(
        self,
        server: server_module.FleetServer,
        flight: server_module.InFlight | None,
        now: float,
    ) -> None:
        """Learn from an answer."""
        self._context.crash_tracker.clear(self.fingerprint)
        if flight is None:
            return
        server.record_answer(flight, now)
        choice = self._last_choice
        if choice is not None and choice.server is server:
            usual = self._context.chooser.service_times
            route = self._request.route
            stretched = flight.expected_s / max(usual.get(route), 1e-3)
            usual.add(route, (now - flight.sent_at) / stretched)

    def _learn_unanswered(self, now: float) -> None:
        """Learn from servers that have not answered until now."""
        for attempt in self._attempts:
            attempt.backend.record_unanswered(attempt, now)

    def _is_held(self, now: float) -> bool:
        """Return whether requests like this one crash servers."""
        book = self._context.crash_tracker
        return book.is_blocked(self.fingerprint, now)
