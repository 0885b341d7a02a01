"""Chooses a server by the loss that each one makes likely."""

from __future__ import annotations

from collections import abc
import heapq
import random

import attrs

from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import members
from tarragonlift.core.fleet import models
from tarragonlift.core.fleet import registry as registry_module
from tarragonlift.core.fleet import server as server_module
from tarragonlift.core import latency

FleetServer = server_module.FleetServer
BYTES_PER_KIB = 1024.0
UNHEALTHY_LOSS = 0.5
AVOIDED_LOSS = 0.7


@attrs.frozen
class Choice:
    """A server to send to, with what decided for it."""

    server: FleetServer
    expected_s: float
    loss: float
    # The part of the loss that would vanish with a good report.
    uncertainty: float = const.LATE_LOSS


@attrs.frozen
class ProbeFirst:
    """Servers whose load should be known before one is chosen."""

    servers: tuple[FleetServer, ...]


class ServiceTimes:
    """Learns how long each route's requests take on a usual server."""

    def __init__(self) -> None:
        """Know nothing."""
        self._times: dict[str, latency.QuantileTracker] = {}

    def get(self, route: models.Route) -> float:
        """Return the median service time in seconds."""
        return self._tracker(route).estimate

    def add(self, route: models.Route, seconds: float) -> None:
        """Take an observed service time, the slowdown taken out."""
        self._tracker(route).add(seconds)

    def _tracker(self, route: models.Route) -> latency.QuantileTracker:
        """Return the tracker of a route."""
        known = self._times.get(route.name)
        if known is None:
            start = const.INITIAL_SERVICE_TIME_SHARE * route.target_latency_s
            known = latency.QuantileTracker(0.5, start)
            self._times[route.name] = known
        return known


class Chooser:
    """Weighs a late answer against bytes between data centres."""

    def __init__(
        self,
        registry: registry_module.Registry,
        own: members.Member,
        crossing_loss_per_kib: float,
        rng: random.Random,
    ) -> None:
        """Choose for this daemon; prefer its data centre."""
        self._registry = registry
        self._daemon = own.daemon
        self._data_centre = own.data_centre
        self._crossing_loss = crossing_loss_per_kib
        self._rng = rng
        self.service_times = ServiceTimes()

    def choose(
        self,
        request: models.RoutedRequest,
        body_bytes: int,
        tried: abc.Container[str],
        rounds: int,
        wide: bool,
        now: float,
    ) -> Choice | ProbeFirst | None:
        """Return a server, servers to ask first, or None without room.

        ``wide`` looks at all servers, for a request that was sent before or
        waits for room.
        ``rounds`` counts the rounds of probes that this request has made.
        """
        usable = [
            one
            for one in self._within_reach(request.service, wide, now)
            if one.server_id not in tried and self._registry.can_send(one, now)
        ]
        if not usable:
            return None
        weighed = [
            self._weigh(one, request, body_bytes, now) for one in usable
        ]
        fresh = [one for one in weighed if one.server.is_fresh(now)]
        best = min(fresh, key=lambda one: one.loss, default=None)
        if best is not None and best.loss < self._good_loss(request):
            return best
        if rounds < const.MAX_PROBE_ROUNDS:
            asked = self._servers_to_ask(weighed, best, rounds, now)
            if asked:
                return ProbeFirst(tuple(asked))
        if best is None:
            best = min(weighed, key=lambda one: one.loss)
        return best

    def late_probability(self, expected_s: float, left_s: float) -> float:
        """Return the chance that the answer misses the target latency."""
        if left_s <= 0:
            return 1.0
        return 1.0 / (
            1.0 + (left_s / expected_s) ** const.LATE_PROBABILITY_EXPONENT
        )

    def _within_reach(
        self, service: str, wide: bool, now: float
    ) -> list[FleetServer]:
        """Return the servers to weigh.

        Of a large fleet those that this daemon keeps connections to and the
        cold ones that it owns, all of them where ``wide``.
        """
        usable = self._registry.usable_servers(service)
        if wide:
            return usable
        own = self._data_centre
        near = [one for one in usable if one.entry.data_centre == own]
        far = [one for one in usable if one.entry.data_centre != own]
        found = self._subset(near)
        found += [
            one
            for one in near
            if one.is_cold(now)
            and one not in found
            and self._registry.is_cold_owner(one)
        ]
        return found + self._subset(far)

    def _subset(self, servers: list[FleetServer]) -> list[FleetServer]:
        """Return the servers of this daemon, by rendezvous."""
        if len(servers) <= const.SUBSET_SIZE:
            return servers
        daemon = self._daemon
        return heapq.nsmallest(
            const.SUBSET_SIZE, servers, key=lambda one: one.rank_key(daemon)
        )

    def _good_loss(self, request: models.RoutedRequest) -> float:
        """Return the loss at which asking further servers gains nothing."""
        usual = (
            self.service_times.get(request.route)
            / request.route.target_latency_s
        )
        return const.GOOD_LATE_PROBABILITY + const.LATENCY_WEIGHT * usual

    def _weigh(
        self,
        one: FleetServer,
        request: models.RoutedRequest,
        body_bytes: int,
        now: float,
    ) -> Choice:
        """Return the server with its expected latency and loss."""
        service_time = self.service_times.get(request.route)
        expected = one.expected_s(service_time, now)
        late = self.late_probability(expected, request.target_answer_at - now)
        loss = const.LATE_LOSS * late
        loss += (
            const.LATENCY_WEIGHT * expected / request.route.target_latency_s
        )
        loss += max(0.0, one.failures.mean_at(now))
        if not one.healthy:
            loss += UNHEALTHY_LOSS
        if now < one.avoid_until:
            loss += AVOIDED_LOSS
        uncertainty = const.LATE_LOSS
        if one.is_cold(now):
            loss += const.LATE_LOSS * late
            uncertainty += const.LATE_LOSS * late
        if one.entry.data_centre != self._data_centre:
            kib = 1.0 + body_bytes / BYTES_PER_KIB
            loss += self._crossing_loss * kib
        return Choice(one, expected, loss, uncertainty)

    def _servers_to_ask(
        self,
        weighed: list[Choice],
        best: Choice | None,
        rounds: int,
        now: float,
    ) -> list[FleetServer]:
        """Return the most promising servers without a fresh report.

        The first round asks in the own data centre, where there is any.
        """
        stale = [one for one in weighed if not one.server.is_fresh(now)]
        if best is not None:
            stale = [one for one in stale if self._hope(one) < best.loss]
        own = self._data_centre
        near = [one for one in stale if one.server.entry.data_centre == own]
        if rounds == 0 and near:
            stale = near
        stale.sort(key=lambda one: self._hope(one) + self._rng.random() * 0.1)
        return [one.server for one in stale[: const.PROBES_PER_ROUND]]

    @staticmethod
    def _hope(one: Choice) -> float:
        """Return the loss if the server turned out to be fast."""
        return one.loss - one.uncertainty
