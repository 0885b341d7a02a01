"""The backend servers of one service and its queue of requests."""

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

INITIAL_HEDGE_DELAY_S = 0.05
# Share of the hedge budget that the delay targets. It is less than 1, so that
# the budget is not used up.
HEDGE_BUDGET_TARGET_SHARE = 0.8
LATENCY_QUANTILE = 0.9

Backend = backend_module.Backend


class ServicePool:
    """Selects backend servers for the requests of one service."""

    def __init__(
        self,
        service: models.Service,
        data_centre: str,
        policy: routing.RoutingPolicy,
    ) -> None:
        """Initialize the pool without backend servers."""
        self._service = service
        self._data_centre = data_centre
        self._policy = policy
        self._backends: dict[str, Backend] = {}
        self._local_backends: list[Backend] = []
        self._remote_backends: list[Backend] = []
        self._pending_ranking: abc.Iterator[None] = iter(())
        self._is_isolated: abc.Callable[[float], bool] = _never_isolated
        self.queue: fair_queue.FairQueue[actions.WaitingCall] = (
            fair_queue.FairQueue(service.queue_length)
        )
        self.retry_budget = budget.ExtraCallBudget(service.retry_share)
        self.hedge_budget = budget.ExtraCallBudget(service.hedge_share)
        self._latency_p90 = latency.QuantileTracker(
            LATENCY_QUANTILE, latency.MIN_LATENCY_S
        )
        self._hedge_delay = latency.QuantileTracker(
            1.0 - HEDGE_BUDGET_TARGET_SHARE * service.hedge_share,
            INITIAL_HEDGE_DELAY_S,
        )

    @property
    def service(self) -> models.Service:
        """Return the configuration of the service."""
        return self._service

    @property
    def backends(self) -> abc.Collection[Backend]:
        """Return the backend servers of the service."""
        return self._backends.values()

    @property
    def hedge_delay(self) -> float:
        """Return the delay in seconds after which a call is hedged."""
        return self._hedge_delay.estimate

    @property
    def latency_p90(self) -> float:
        """Return the 90th percentile of the latency in seconds."""
        return self._latency_p90.estimate

    def configure(self, service: models.Service) -> None:
        """Apply a new configuration of the service."""
        if service == self._service:
            return
        if service.queue_length != self._service.queue_length:
            self.queue.resize(service.queue_length)
        self.retry_budget.set_share(service.retry_share)
        self.hedge_budget.set_share(service.hedge_share)
        self._service = service

    def set_instances(self, instances: abc.Iterable[models.Instance]) -> None:
        """Update the backend servers from the platform's list of hosts."""
        listed = {str(item.address): item for item in instances}
        for key, instance in listed.items():
            backend = self._backends.get(key)
            if backend is None:
                backend = Backend(instance)
                self._backends[key] = backend
            backend.instance = instance
            backend.listed_leaving = instance.leaving
        for key in list(self._backends):
            if key not in listed:
                self._backends.pop(key).leaving = True
        local_name = self._data_centre
        backends = list(self._backends.values())
        self._local_backends = [
            b for b in backends if b.instance.data_centre == local_name
        ]
        self._remote_backends = [
            b for b in backends if b.instance.data_centre != local_name
        ]

    def divide_limits(self, daemon: str, daemons: abc.Iterable[str]) -> None:
        """Divide the limits of all servers between the known daemons.

        If there are more daemons than a limit, the daemons are ranked for
        each server. This takes time, so ``continue_dividing`` does it for a
        few servers at a time.
        """
        service = self._service
        daemons = list(daemons)
        share = service.limit // max(1, len(daemons))
        for backend in self._backends.values():
            backend.slots = min(service.slots, service.limit)
            backend.cold_limit = min(service.cold_limit, backend.slots)
            backend.warm_after = service.warm_after
            backend.answer_timeout_s = service.deadline_s
            if share:
                backend.share = share
        self._pending_ranking = iter(())
        if not share:
            backends = list(self._backends.values())
            members = rendezvous.hash_members(daemons)
            self._pending_ranking = self._rank_daemons(
                backends, daemon, members
            )

    def continue_dividing(self, count: int) -> None:
        """Rank the daemons for the next ``count`` servers."""
        for _ in itertools.islice(self._pending_ranking, count):
            pass

    def _rank_daemons(
        self,
        backends: list[Backend],
        daemon: str,
        members: rendezvous.HashedMembers,
    ) -> abc.Iterator[None]:
        """Give the first-ranked daemons of each server a share of one."""
        limit = self._service.limit
        for backend in backends:
            ranked = rendezvous.rank(backend.key, members, limit)
            backend.share = 1 if daemon in ranked else 0
            yield

    def servers_to_warm(self, now: float) -> list[Backend]:
        """Return cold servers without a lease if requests are queued."""
        if not len(self.queue):
            return []
        return [
            backend
            for backend in self._backends.values()
            if backend.warmth is not const.Warmth.WARM
            and backend.is_usable
            and backend.warm_until <= now
        ]

    def set_data_centres_out(self, out: abc.Container[str]) -> None:
        """Stop sending new requests to these data centres."""
        for backend in self._backends.values():
            backend.data_centre_out = backend.instance.data_centre in out

    def set_isolation_check(
        self, is_isolated: abc.Callable[[float], bool]
    ) -> None:
        """Set the check that stops routing while the daemon is isolated.

        An isolated daemon can't know which data centres are out of service.
        """
        self._is_isolated = is_isolated

    def find(self, key: str) -> Backend | None:
        """Return the backend server with this key, or None."""
        return self._backends.get(key)

    def choose(
        self, now: float, exclude: abc.Container[str] = ()
    ) -> Backend | None:
        """Return a backend server with free capacity, or None."""
        if self._is_isolated(now):
            return None
        if not self._policy.prefers_own_data_centre:
            return self._choose_from(
                self._local_backends + self._remote_backends, now, exclude
            )
        return self._choose_from(
            self._local_backends, now, exclude
        ) or self._choose_from(self._remote_backends, now, exclude)

    def has_usable(self) -> bool:
        """Return whether any backend server may get new requests."""
        return any(
            not (
                backend.leaving
                or backend.listed_leaving
                or backend.data_centre_out
            )
            for backend in self._backends.values()
        )

    def start(self, backend: Backend, attempt: object, now: float) -> None:
        """Count a request that is sent to a backend server."""
        if not backend.in_flight:
            backend.busy_since = now
        backend.in_flight += 1
        backend.started += 1
        backend.sent_at[attempt] = now

    def finish(self, backend: Backend, attempt: object) -> float | None:
        """Count a request that ended and return its send time, if known."""
        sent_at = backend.sent_at.pop(attempt, None)
        if sent_at is not None:
            backend.in_flight -= 1
        return sent_at

    def add_latency(
        self, backend: Backend, value: float, waited: float, now: float
    ) -> None:
        """Record the seconds until the head of an answer arrived.

        ``value`` counts from the answered attempt and ``waited`` from the
        first one: a hedged call waited longer than the hedge delay, however
        fast its second attempt was.
        """
        backend.answered_at = now
        backend.latency_mean.add(value, now)
        self._hedge_delay.add(waited)
        self._latency_p90.add(value)

    def add_success(self, backend: Backend) -> bool:
        """Count a complete answer; return whether the server became warm."""
        if backend.warmth is const.Warmth.WARM:
            return False
        backend.warmth = const.Warmth.WARMING
        backend.successes += 1
        is_same_start = (
            bool(backend.start_id)
            and backend.start_id == backend.warm_start_id
        )
        if backend.successes < backend.warm_after and not is_same_start:
            return False
        self.set_warm(backend)
        return True

    def set_warm(self, backend: Backend) -> None:
        """Mark a backend server as warm."""
        backend.warmth = const.Warmth.WARM
        backend.warm_start_id = backend.start_id

    def set_cold(self, backend: Backend) -> None:
        """Mark a backend server as cold, to be warmed from the beginning."""
        self.set_unknown(backend)
        backend.warm_start_id = ""

    def set_unknown(self, backend: Backend) -> None:
        """Mark the server as cold until an answer has the same start ID."""
        backend.warmth = const.Warmth.COLD
        backend.successes = 0
        backend.resets += 1
        # State that other daemons published for the earlier start must no
        # longer apply.
        backend.start_id = ""

    def set_aside(self, backend: Backend, now: float) -> None:
        """Prefer other servers for a short time after a failure."""
        backend.set_aside_until = now + const.SET_ASIDE_S

    def _choose_from(
        self,
        backends: list[Backend],
        now: float,
        exclude: abc.Container[str],
    ) -> Backend | None:
        """Return one of these servers with free capacity, or None."""
        candidates = [
            backend
            for backend in backends
            if backend.free_capacity(now) > 0
            and (not exclude or backend.key not in exclude)
        ]
        if not candidates:
            return None
        return self._policy.choose(candidates, now)


def _never_isolated(now: float) -> bool:
    """Return False, the default before an isolation check is set."""
    return False
