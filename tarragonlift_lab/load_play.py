"""Plays load against the decisions about requests, in virtual time.

Callers send requests to one daemon in front of servers with slots and a queue.
At any moment a part of the servers works several times as slowly. The figures
are what callers get: the share of answers in time, by kind and by window.
"""

from __future__ import annotations

from collections import abc
import heapq
import itertools
import random

import attrs

from tarragonlift.core import actions
from tarragonlift.core.fleet import delivery as delivery_module
from tarragonlift.core.fleet import fleet as fleet_module
from tarragonlift.core.fleet import interfaces
from tarragonlift.core.fleet import members
from tarragonlift.core.fleet import models
from tarragonlift.core.fleet import refusals
from tarragonlift.core.fleet import server as server_module
from tarragonlift.core import models as core_models

Delivery = delivery_module.Delivery
DATA_CENTRE = "here"
SERVICE = "orders"
HOST = "shop.example"
ROUND_TRIP_S = 0.002
SLOTS = 6
QUEUE_LENGTH = 24
WORK_SPREAD = 0.3
SLOW_SHARE = 0.25
SLOWDOWN = 7.0
MEAN_STATE_S = 0.5
WINDOW_S = 2.0
# Retries of a caller after a refusal, and the time until it notices an answer
# that is lost.
MAX_RETRIES = 2


@attrs.frozen
class Kind:
    """A kind of request; times in seconds."""

    name: str
    idempotent: bool
    share: float
    work_s: float
    target_s: float
    deadline_s: float
    priority: int


KINDS = (
    Kind("lookup", True, 0.6, 0.78, 2.0, 15.0, 2),
    Kind("order", False, 0.4, 1.0, 2.5, 25.0, 1),
)


@attrs.define(eq=False)
class PlayedServer:
    """A server with slots, a queue and neighbours that slow it down."""

    entry: models.ListedServer
    is_slow: bool = False
    running: int = 0
    waiting: list[abc.Callable[[], None]] = attrs.field(factory=list)

    @property
    def report(self) -> models.LoadReport:
        """Return the server's report of its load."""
        slowdown = SLOWDOWN if self.is_slow else 1.0
        return models.LoadReport(
            self.running, len(self.waiting), SLOTS, slowdown
        )


@attrs.define(eq=False)
class Caller:
    """One request of a caller, with its retries."""

    kind: Kind
    started_at: float
    tries: int = 0
    answered_after_s: float | None = None


class LoadPlay:
    """One daemon, its servers and callers in virtual time."""

    def __init__(self, seed: int, servers: int = 12) -> None:
        """Initialize the play of a seed."""
        self._rng = random.Random(seed)
        self._now = 0.0
        self._heap: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._counter = itertools.count()
        self.callers: list[Caller] = []
        own = members.Member(
            "daemon", DATA_CENTRE, core_models.Address("127.0.0.1", 1)
        )
        self._fleet = fleet_module.Fleet(
            own, fleet_module.ExtraCalls(0.2, 62.0), 0.05, self._rng
        )
        routes = tuple(_make_route(kind) for kind in KINDS)
        services = {SERVICE: models.FleetService(SERVICE)}
        configuration = models.FleetConfiguration(1, routes, services)
        self._fleet.apply_operators(
            interfaces.OperatorUpdate(1, configuration, {}, True)
        )
        self._servers = {
            f"i-{number}": PlayedServer(_make_entry(number))
            for number in range(servers)
        }
        entries = [server.entry for server in self._servers.values()]
        self._fleet.registry.set_entries(1, entries, 0.0)
        for server in self._servers.values():
            self._change_speed(server)

    def run(
        self, seconds: float, load: float, burst: tuple[float, float, float]
    ) -> None:
        """Play arrivals at a share of the servers' usual capacity.

        ``burst`` is the start, the end and the factor of a burst.
        """
        work_s = sum(kind.share * kind.work_s for kind in KINDS)
        rate = load * len(self._servers) * SLOTS / work_s
        self._schedule_arrival(rate, seconds, burst)
        horizon = seconds + max(kind.deadline_s for kind in KINDS)
        while self._heap and self._heap[0][0] <= horizon:
            self._now, _, function = heapq.heappop(self._heap)
            function()

    def share_in_time(self, kind: str = "") -> float:
        """Return the share of callers with an answer within the target."""
        callers = [
            item for item in self.callers if kind in ("", item.kind.name)
        ]
        return sum(map(_is_in_time, callers)) / len(callers)

    def worst_window(self) -> float:
        """Return the share in time of the worst window of some callers."""
        windows: dict[int, list[Caller]] = {}
        for item in self.callers:
            key = int(item.started_at / WINDOW_S)
            windows.setdefault(key, []).append(item)
        return min(
            sum(map(_is_in_time, items)) / len(items)
            for items in windows.values()
        )

    def _at(self, when: float, function: abc.Callable[[], None]) -> None:
        """Call the function at a time."""
        heapq.heappush(self._heap, (when, next(self._counter), function))

    def _schedule_arrival(
        self, rate: float, end: float, burst: tuple[float, float, float]
    ) -> None:
        """Schedule the next caller until the end."""
        start, stop, factor = burst
        current = rate * (factor if start <= self._now < stop else 1.0)
        when = self._now + self._rng.expovariate(current)
        if when >= end:
            return

        def arrive() -> None:
            weights = [kind.share for kind in KINDS]
            (kind,) = self._rng.choices(KINDS, weights)
            item = Caller(kind, self._now)
            self.callers.append(item)
            self._send(item)
            self._schedule_arrival(rate, end, burst)

        self._at(when, arrive)

    def _change_speed(self, server: PlayedServer) -> None:
        """Choose the server's speed for a while."""
        server.is_slow = self._rng.random() < SLOW_SHARE
        when = self._now + self._rng.expovariate(1.0 / MEAN_STATE_S)
        self._at(when, lambda: self._change_speed(server))

    def _send(self, item: Caller) -> None:
        """Send the caller's request to the daemon."""
        item.tries += 1
        deadline_at = item.started_at + item.kind.deadline_s
        head = fleet_module.RequestHead(
            f"r-{id(item)}-{item.tries}",
            HOST,
            f"/{item.kind.name}/1",
            deadline_at - self._now,
        )
        delivery = self._fleet.open_delivery(head, self._now)
        delivery.fingerprint = head.request_id
        self._carry_out(item, delivery, delivery.start(self._now))

    def _carry_out(
        self,
        item: Caller,
        delivery: Delivery,
        action_list: list[actions.Action],
    ) -> None:
        """Carry out the actions of a delivery."""

        def later(
            when: float,
            method: abc.Callable[[float], list[actions.Action]],
        ) -> None:
            self._at(
                when,
                lambda: self._carry_out(item, delivery, method(self._now)),
            )

        for action in action_list:
            if isinstance(action, actions.Send):
                self._run_at_server(item, delivery, action.attempt)
            elif isinstance(action, actions.Relay):
                item.answered_after_s = self._now - item.started_at
            elif isinstance(action, actions.Refuse):
                self._retry(item, action)
            elif isinstance(action, actions.WakeAt):
                later(action.when, delivery.on_wake)
            elif isinstance(action, actions.PauseUntil):
                later(action.when, delivery.on_pause_over)
            elif isinstance(action, delivery_module.Probe):
                self._probe(action.servers)
                later(self._now + ROUND_TRIP_S, delivery.on_probes_done)

    def _probe(self, probed: abc.Iterable[server_module.FleetServer]) -> None:
        """Read the load of servers; the report arrives a little later."""
        for server in probed:
            report = self._servers[server.server_id].report
            health = models.Health(server.server_id, True, report)
            server.update_health(health, self._now + ROUND_TRIP_S / 2)

    def _retry(self, item: Caller, action: actions.Refuse) -> None:
        """Let a refused caller come back as it was told."""
        time_left_s = item.started_at + item.kind.deadline_s - self._now
        if item.tries > MAX_RETRIES or time_left_s <= 0:
            return
        delay_s = refusals.retry_after_s(action.refusal, time_left_s)
        self._at(self._now + delay_s, lambda: self._send(item))

    def _run_at_server(
        self, item: Caller, delivery: Delivery, attempt: actions.Attempt
    ) -> None:
        """Run an attempt in a slot, or queue it, or shed it."""
        server = self._servers[attempt.backend.server_id]
        if len(server.waiting) >= QUEUE_LENGTH:
            self._answer(
                item, delivery, attempt, delivery_module.Verdict.NOT_RUN
            )
            return

        def begin() -> None:
            server.running += 1
            work_s = item.kind.work_s * self._rng.lognormvariate(
                -(WORK_SPREAD**2) / 2, WORK_SPREAD
            )
            slowdown = server.report.slowdown
            self._at(self._now + work_s * slowdown, end)

        def end() -> None:
            server.running -= 1
            if server.waiting:
                server.waiting.pop(0)()
            self._answer(
                item, delivery, attempt, delivery_module.Verdict.SUCCESS
            )

        if server.running < SLOTS:
            begin()
        else:
            server.waiting.append(begin)

    def _answer(
        self,
        item: Caller,
        delivery: Delivery,
        attempt: actions.Attempt,
        verdict: delivery_module.Verdict,
    ) -> None:
        """Deliver a server's answer to the daemon."""

        def deliver() -> None:
            result = delivery.on_answer(attempt, verdict, self._now)
            self._carry_out(item, delivery, result)

        self._at(self._now + ROUND_TRIP_S, deliver)


def _is_in_time(item: Caller) -> bool:
    """Return whether the caller was answered within the target."""
    after_s = item.answered_after_s
    return after_s is not None and after_s <= item.kind.target_s


def _make_route(kind: Kind) -> models.Route:
    """Return the route of a kind of request."""
    return models.Route(
        name=kind.name,
        host=HOST,
        prefix=f"/{kind.name}/",
        idempotent=kind.idempotent,
        targets=(models.Target(SERVICE, 1.0),),
        timeout_s=kind.deadline_s,
        target_latency_s=kind.target_s,
        priority=kind.priority,
        max_attempts=2,
    )


def _make_entry(number: int) -> models.ListedServer:
    """Return the entry of a server."""
    address = core_models.Address("127.0.0.1", 1000 + number)
    return models.ListedServer(
        f"i-{number}", SERVICE, address, DATA_CENTRE, SLOTS, started_ms=1
    )
