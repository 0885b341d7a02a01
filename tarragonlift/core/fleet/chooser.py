"""Chooses the server with the lowest expected loss.

Load: a quarter of the servers works several times as slowly at any moment,
and changes within a second. A request that can't be sent again is decided
before it is sent, so a few promising servers are asked for their load first.
The loss weighs a late answer, recent failures and the bytes that cross between
data centres.
"""

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
    """A candidate server with its expected latency in seconds and loss."""

    server: FleetServer
    expected_s: float
    loss: float
    # Part of the loss that a good load report would remove.
    uncertainty: float = const.LATE_LOSS


@attrs.frozen
class ProbeFirst:
    """Servers to probe before one is chosen."""

    servers: tuple[FleetServer, ...]


class ServiceTimes:
    """Tracks the service time of each route on a server of usual speed."""

    def __init__(self) -> None:
        """Initialize the tracker without observations."""
        self._trackers: dict[str, latency.QuantileTracker] = {}
        self._observed: set[str] = set()

    def is_known(self, route: models.Route) -> bool:
        """Return whether a request of the route has been answered."""
        return route.name in self._observed

    def get(self, route: models.Route) -> float:
        """Return the median service time of a route in seconds."""
        return self._tracker(route).estimate

    def add(self, route: models.Route, seconds: float) -> None:
        """Record a service time in seconds, corrected for the slowdown."""
        self._tracker(route).add(seconds)
        self._observed.add(route.name)

    def _tracker(self, route: models.Route) -> latency.QuantileTracker:
        """Return the quantile tracker of a route."""
        tracker = self._trackers.get(route.name)
        if tracker is None:
            initial_s = (
                const.INITIAL_SERVICE_TIME_SHARE * route.target_latency_s
            )
            tracker = latency.QuantileTracker(0.5, initial_s)
            self._trackers[route.name] = tracker
        return tracker


class Chooser:
    """Weighs late answers against traffic between data centres."""

    def __init__(
        self,
        registry: registry_module.Registry,
        own: members.Member,
        crossing_loss_per_kib: float,
        rng: random.Random,
    ) -> None:
        """Initialize the chooser; it prefers the daemon's data centre."""
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
        """Return a server, servers to probe first, or None without capacity.

        ``wide`` considers all servers, for a request that was sent before or
        waits for capacity. ``rounds`` is the number of probe rounds that were
        made for this request.
        """
        usable = [
            server
            for server in self._candidates(request.service, wide, now)
            if server.server_id not in tried
            and self._registry.can_send(server, now)
        ]
        if not usable:
            return None
        weighed = [
            self._weigh(server, request, body_bytes, now) for server in usable
        ]
        fresh = [choice for choice in weighed if choice.server.is_fresh(now)]
        best = min(fresh, key=lambda choice: choice.loss, default=None)
        if best is not None and best.loss < self._good_loss(request):
            return best
        if rounds < const.MAX_PROBE_ROUNDS:
            probed = self._servers_to_probe(weighed, best, rounds, now)
            if probed:
                return ProbeFirst(tuple(probed))
        if best is None:
            best = min(weighed, key=lambda choice: choice.loss)
        return best

    def late_probability(self, expected_s: float, time_left_s: float) -> float:
        """Return the probability of missing the target latency."""
        if time_left_s <= 0:
            return 1.0
        return 1.0 / (
            1.0 + (time_left_s / expected_s) ** const.LATE_PROBABILITY_EXPONENT
        )

    def _candidates(
        self, service: str, wide: bool, now: float
    ) -> list[FleetServer]:
        """Return the servers to weigh.

        If ``wide``, these are all servers; otherwise the ones of this
        daemon's subset, which it keeps connections to, and the paced ones
        that it owns. Those that others own leave their places in the subset.
        """
        usable = self._registry.usable_servers(service)
        if wide:
            return usable
        own = self._data_centre
        usable = [
            server
            for server in usable
            if self._registry.has_share(server, now)
        ]
        local = [
            server for server in usable if server.entry.data_centre == own
        ]
        remote = [
            server for server in usable if server.entry.data_centre != own
        ]
        candidates = self._subset(local)
        candidates += [
            server
            for server in local
            if server not in candidates
            and self._registry.is_paced(server, now)
        ]
        return candidates + self._subset(remote)

    def _subset(self, servers: list[FleetServer]) -> list[FleetServer]:
        """Return this daemon's subset of the servers by rendezvous hashing."""
        if len(servers) <= const.SUBSET_SIZE:
            return servers
        daemon = self._daemon
        return heapq.nsmallest(
            const.SUBSET_SIZE,
            servers,
            key=lambda server: server.rank_key(daemon),
        )

    def _good_loss(self, request: models.RoutedRequest) -> float:
        """Return the loss below which further probes gain nothing."""
        service_time_share = (
            self.service_times.get(request.route)
            / request.route.target_latency_s
        )
        return (
            const.GOOD_LATE_PROBABILITY
            + const.LATENCY_WEIGHT * service_time_share
        )

    def _weigh(
        self,
        server: FleetServer,
        request: models.RoutedRequest,
        body_bytes: int,
        now: float,
    ) -> Choice:
        """Return the server as a choice with its expected latency and loss."""
        service_time = self.service_times.get(request.route)
        expected = server.expected_s(service_time, now)
        late_probability = self.late_probability(
            expected, request.target_answer_at - now
        )
        loss = const.LATE_LOSS * late_probability
        loss += (
            const.LATENCY_WEIGHT * expected / request.route.target_latency_s
        )
        loss += max(0.0, server.failure_share.mean_at(now))
        if not server.healthy:
            loss += UNHEALTHY_LOSS
        if server.is_avoided(now):
            loss += AVOIDED_LOSS
        uncertainty = const.LATE_LOSS
        if server.is_cold(now):
            loss += const.LATE_LOSS * late_probability
            uncertainty += const.LATE_LOSS * late_probability
        if server.entry.data_centre != self._data_centre:
            kib = 1.0 + body_bytes / BYTES_PER_KIB
            loss += self._crossing_loss * kib
        return Choice(server, expected, loss, uncertainty)

    def _servers_to_probe(
        self,
        weighed: list[Choice],
        best: Choice | None,
        rounds: int,
        now: float,
    ) -> list[FleetServer]:
        """Return the most promising servers without a fresh report.

        The first round probes the local data centre if it has any of them.
        """
        stale = [
            choice for choice in weighed if not choice.server.is_fresh(now)
        ]
        if best is not None:
            stale = [
                choice
                for choice in stale
                if self._best_case_loss(choice) < best.loss
            ]
        own = self._data_centre
        local = [
            choice
            for choice in stale
            if choice.server.entry.data_centre == own
        ]
        if rounds == 0 and local:
            stale = local
        stale.sort(
            key=lambda choice: self._best_case_loss(choice)
            + self._rng.random() * 0.1
        )
        return [choice.server for choice in stale[: const.PROBES_PER_ROUND]]

    @staticmethod
    def _best_case_loss(choice: Choice) -> float:
        """Return the loss if a report shows that the server is fast."""
        return choice.loss - choice.uncertainty
