"""The backend servers of one service, and the requests that wait for one."""

from __future__ import annotations

from collections import abc
import itertools

from tarragonlift.core import actions
from tarragonlift.core import backend as backend_module
from tarragonlift.core import budget
from tarragonlift.core import const
from tarragonlift.core import fair_queue
from tarragonlift.core import latency
from tarragonlift.core import models
from tarragonlift.core import rendezvous
from tarragonlift.core import routing

HEDGE_DELAY_START_S = 0.05
# The delay aims at a little less than the budget, so that it never runs out.
HEDGE_AIM = 0.8
LIKELY_QUANTILE = 0.9

Backend = backend_module.Backend


class ServicePool:
    """Routes the requests of one service."""

    def __init__(
        self,
        service: models.Service,
        data_centre: str,
        policy: routing.RoutingPolicy,
    ) -> None:
        """Start without backend servers."""
        self._service = service
        self._data_centre = data_centre
        self._policy = policy
        self._backends: dict[str, Backend] = {}
        self._own: list[Backend] = []
        self._other: list[Backend] = []
        self._dividing: abc.Iterator[None] = iter(())
        self._is_blind: abc.Callable[[float], bool] = _never
        self.queue: fair_queue.FairQueue[actions.WaitingCall] = (
            fair_queue.FairQueue(service.queue_length)
        )
        self.retry_budget = budget.ExtraCallBudget(service.retry_share)
        self.hedge_budget = budget.ExtraCallBudget(service.hedge_share)
        self._likely = latency.QuantileTracker(
            LIKELY_QUANTILE, latency.LATENCY_LEAST_S
        )
        self._latency = latency.QuantileTracker(
            1.0 - HEDGE_AIM * service.hedge_share, HEDGE_DELAY_START_S
        )

    @property
    def service(self) -> models.Service:
        """Return the service as configured."""
        return self._service

    @property
    def backends(self) -> abc.Collection[Backend]:
        """Return all backend servers of the service."""
        return self._backends.values()

    @property
    def hedge_delay(self) -> float:
        """Return after how many seconds a second call is worth its cost."""
        return self._latency.estimate

    @property
    def likely_latency(self) -> float:
        """Return within how many seconds a server answers nine in ten."""
        return self._likely.estimate

    def configure(self, service: models.Service) -> None:
        """Follow a new version of the service's configuration."""
        if service == self._service:
            return
        if service.queue_length != self._service.queue_length:
            self.queue.resize(service.queue_length)
        self.retry_budget.set_share(service.retry_share)
        self.hedge_budget.set_share(service.hedge_share)
        self._service = service

    def set_instances(self, instances: abc.Iterable[models.Instance]) -> None:
        """Follow the platform's list of hosts."""
        listed = {str(one.address): one for one in instances}
        for key, instance in listed.items():
            known = self._backends.get(key)
            if known is None:
                known = Backend(instance)
                self._backends[key] = known
            known.instance = instance
            known.listed_leaving = instance.leaving
        for key in list(self._backends):
            if key not in listed:
                self._backends.pop(key).leaving = True
        own = self._data_centre
        everything = list(self._backends.values())
        self._own = [b for b in everything if b.instance.data_centre == own]
        self._other = [b for b in everything if b.instance.data_centre != own]

    def divide_limits(self, daemon: str, known: abc.Iterable[str]) -> None:
        """Divide the limits of all servers between the known daemons.

        Where there are more daemons than a limit, ranking takes time; it
        goes on a few servers at a time in ``continue_dividing``.
        """
        service = self._service
        known = list(known)
        share = service.limit // max(1, len(known))
        for one in self._backends.values():
            one.slots = min(service.slots, service.limit)
            one.cold_limit = min(service.cold_limit, one.slots)
            one.warm_after = service.warm_after
            one.answer_timeout_s = service.deadline_s
            if share:
                one.share = share
        self._dividing = iter(())
        if not share:
            backends = list(self._backends.values())
            members = rendezvous.hash_members(known)
            self._dividing = self._rank_each(backends, daemon, members)

    def continue_dividing(self, count: int) -> None:
        """Rank the daemons for the next few servers."""
        for _ in itertools.islice(self._dividing, count):
            pass

    def _rank_each(
        self,
        backends: list[Backend],
        daemon: str,
        members: rendezvous.Hashed,
    ) -> abc.Iterator[None]:
        """Let the first daemons of each server use it, one request each."""
        limit = self._service.limit
        for one in backends:
            users = rendezvous.rank(one.key, members, limit)
            one.share = 1 if daemon in users else 0
            yield

    def needs_warm(self, now: float) -> list[Backend]:
        """Return cold servers that waiting requests could use."""
        if not len(self.queue):
            return []
        return [
            one
            for one in self._backends.values()
            if one.warmth is not const.Warmth.WARM
            and one.is_usable
            and one.warm_until <= now
        ]

    def set_data_centres_out(self, out: abc.Container[str]) -> None:
        """Send no new work to these data centres."""
        for one in self._backends.values():
            one.data_centre_out = one.instance.data_centre in out

    def set_blind_check(self, is_blind: abc.Callable[[float], bool]) -> None:
        """Send nothing while this daemon can't know what is out."""
        self._is_blind = is_blind

    def find(self, key: str) -> Backend | None:
        """Return the backend server of this name."""
        return self._backends.get(key)

    def choose(
        self, now: float, exclude: abc.Container[str] = ()
    ) -> Backend | None:
        """Return a backend server with room, or None."""
        if self._is_blind(now):
            return None
        if not self._policy.prefers_own_data_centre:
            return self._choose_of(self._own + self._other, now, exclude)
        return self._choose_of(self._own, now, exclude) or self._choose_of(
            self._other, now, exclude
        )

    def has_usable(self) -> bool:
        """Return whether any backend server may get work at some time."""
        return any(
            not (one.leaving or one.listed_leaving or one.data_centre_out)
            for one in self._backends.values()
        )

    def start(self, one: Backend, attempt: object, now: float) -> None:
        """Count a request that is sent to the backend server."""
        if not one.in_flight:
            one.busy_since = now
        one.in_flight += 1
        one.started += 1
        one.sent_at[attempt] = now

    def finish(self, one: Backend, attempt: object) -> float | None:
        """Count a request that ended; return when it was sent."""
        sent_at = one.sent_at.pop(attempt, None)
        if sent_at is not None:
            one.in_flight -= 1
        return sent_at

    def add_latency(
        self, one: Backend, value: float, waited: float, now: float
    ) -> None:
        """Learn from the time until the head of an answer came.

        ``value`` counts from the attempt that was answered, ``waited`` from
        the first one: a call that was hedged waited longer than the delay,
        however fast its second attempt was.
        """
        one.answered_at = now
        one.latency_mean.add(value, now)
        self._latency.add(waited)
        self._likely.add(value)

    def add_success(self, one: Backend) -> bool:
        """Count a whole answer; return whether the server became warm."""
        if one.warmth is const.Warmth.WARM:
            return False
        one.warmth = const.Warmth.WARMING
        one.successes += 1
        known = bool(one.start_id) and one.start_id == one.warm_start_id
        if one.successes < one.warm_after and not known:
            return False
        self.set_warm(one)
        return True

    def set_warm(self, one: Backend) -> None:
        """Take the backend server as warm."""
        one.warmth = const.Warmth.WARM
        one.warm_start_id = one.start_id

    def set_cold(self, one: Backend) -> None:
        """Start to warm the backend server from the beginning."""
        self.set_unknown(one)
        one.warm_start_id = ""

    def set_unknown(self, one: Backend) -> None:
        """Treat the server as cold until an answer shows the same start."""
        one.warmth = const.Warmth.COLD
        one.successes = 0
        one.resets += 1
        # What others tell of the earlier start must not count any more.
        one.start_id = ""

    def set_aside(self, one: Backend, now: float) -> None:
        """Prefer others for a moment after a failure."""
        one.set_aside_until = now + const.SET_ASIDE_SECONDS

    def _choose_of(
        self,
        backends: list[Backend],
        now: float,
        exclude: abc.Container[str],
    ) -> Backend | None:
        """Return a backend server with room among these."""
        candidates = [
            one
            for one in backends
            if one.room(now) > 0 and (not exclude or one.key not in exclude)
        ]
        if not candidates:
            return None
        return self._policy.choose(candidates, now)


def _never(now: float) -> bool:
    """Return False."""
    return False
