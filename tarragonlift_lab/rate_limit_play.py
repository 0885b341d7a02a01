"""Plays servers that state a rate limit to a whole fleet, in virtual time.

Each daemon of the simulation gets requests of callers and learns limits only
from responses and from other daemons. The figures are what a server gets from
all daemons together, and what callers get.
"""

from __future__ import annotations

import math

import attrs

from tarragonlift.core import actions
from tarragonlift.core.fleet import delivery as delivery_module
from tarragonlift.core.fleet import members
from tarragonlift.core.fleet import models
from tarragonlift.core.fleet import server as server_module
from tarragonlift_lab import fleet_load

Daemon = fleet_load.Daemon
Delivery = delivery_module.Delivery
SERVICE_TIME_S = 0.2
# The users' rule: within a window a server gets at most a multiple of its
# limit and a few requests more, counted from some time after it first stated
# it, from daemons that have passed on such a response before.
WINDOW_S = 4.0
MAX_RATIO = 1.5
MAX_EXTRA = 5
CONTACT_S = 3.0
TOLD_AFTER_S = 0.5


@attrs.define(eq=False)
class LimitedServer:
    """What a server states and what it got."""

    per_s: float = math.inf
    stated_at: float = math.inf
    # Times of all requests, and of those from daemons that were told.
    arrivals: list[float] = attrs.field(factory=list)
    told_arrivals: list[float] = attrs.field(factory=list)
    # Time at which each process passed on a response with a limit.
    told_at: dict[Daemon, float] = attrs.field(factory=dict)

    @property
    def max_per_window(self) -> float:
        """Return how many requests a window may hold."""
        return MAX_RATIO * self.per_s * WINDOW_S + MAX_EXTRA


class RateLimitPlay(fleet_load.FleetLoadPlay):
    """A fleet with callers and servers that state limits."""

    def __init__(
        self,
        daemons: int,
        data_centres: int,
        servers: int,
        seed: int,
        in_health: bool = True,
        in_responses: bool = True,
    ) -> None:
        """Initialize; health checks, responses or both state limits."""
        super().__init__(daemons, data_centres, servers, seed)
        self._in_health = in_health
        self._in_responses = in_responses
        self.servers = {name: LimitedServer() for name in self.store.servers}

    @property
    def limited(self) -> list[LimitedServer]:
        """Return the servers that state a limit."""
        return [
            server
            for server in self.servers.values()
            if server.per_s < math.inf
        ]

    def set_limits(self, per_s: float, count: int) -> None:
        """Let the first servers state a limit from now on."""
        for server in list(self.servers.values())[:count]:
            server.per_s = per_s
            server.stated_at = self.clock.now()

    def end_limits(self) -> None:
        """Let no server state a limit any longer."""
        for server in self.servers.values():
            server.per_s = math.inf
            server.stated_at = math.inf

    def most_excess(self, told_only: bool) -> float:
        """Return the largest number of requests above what a window allows.

        ``told_only`` counts the daemons that have passed on a limit.
        """
        return max(
            (_excess(server, told_only) for server in self.limited),
            default=-math.inf,
        )

    def count_arrivals(self, since: float) -> dict[str, int]:
        """Return how many requests each server got since a time."""
        return {
            name: sum(when >= since for when in server.arrivals)
            for name, server in self.servers.items()
        }

    def count_limits(self) -> int:
        """Return how many limits the daemons know, all together."""
        return sum(
            daemon.follower.rate_limits.limited_count for daemon in self.alive
        )

    def _start(
        self, member: members.Member, is_first_start: bool, now: float
    ) -> None:
        """Start a daemon now; it checks limited servers."""
        super()._start(member, is_first_start, now)
        daemon = self.daemons[member.address]
        daemon.follower.rate_limits.check = lambda server: self._probe(
            daemon, server, self.clock.now()
        )

    def _probe(
        self, daemon: Daemon, server: server_module.FleetServer, now: float
    ) -> None:
        """Answer a health check."""
        per_s = self.servers[server.server_id].per_s
        stated = per_s if self._in_health else math.inf
        load = models.LoadReport(len(server.in_flight), 0, server.entry.slots)
        health = models.Health(server.server_id, True, load, rate_limit=stated)
        server.update_health(health, now)
        daemon.follower.rate_limits.on_response(server, stated, in_health=True)

    def _run(
        self, daemon: Daemon, delivery: Delivery, attempt: actions.Attempt
    ) -> None:
        """Count a request at its server, and answer it after a while."""
        now = self.clock.now()
        server = self.servers[attempt.backend.server_id]
        server.arrivals.append(now)
        if server.told_at.get(daemon, math.inf) + TOLD_AFTER_S <= now:
            server.told_arrivals.append(now)

        def answer(then: float) -> None:
            stated = server.per_s if self._in_responses else math.inf
            daemon.follower.rate_limits.on_response(
                attempt.backend, stated, in_health=False
            )
            if server.per_s < math.inf:
                server.told_at.setdefault(daemon, then)
            verdict = delivery_module.Verdict.SUCCESS
            result = delivery.on_answer(attempt, verdict, then)
            self._carry_out(daemon, delivery, result)

        daemon.loop.call_at(now + SERVICE_TIME_S, answer)


def _excess(server: LimitedServer, told_only: bool) -> float:
    """Return how many requests more than allowed the worst window holds."""
    times = server.told_arrivals if told_only else server.arrivals
    counted = [when for when in times if when >= server.stated_at + CONTACT_S]
    worst = 0
    first = 0
    for index, when in enumerate(counted):
        while counted[first] < when - WINDOW_S:
            first += 1
        worst = max(worst, index - first + 1)
    return worst - server.max_per_window
