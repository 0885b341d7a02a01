"""The fault matrix: every fault at every step, checked for every promise."""

from __future__ import annotations

from collections import abc
import functools
import itertools
import json
from typing import Any

import attrs

from tarragonlift.components import data_centres
from tarragonlift import config
from tarragonlift.core import const
from tarragonlift.core import models
from tarragonlift.core import replica
from tarragonlift import exceptions
from tarragonlift_lab import injectors
from tarragonlift_lab import node as node_module
from tarragonlift_lab import promises
from tarragonlift_lab import simulation as simulation_module

PLACES = ("plovdiv", "haskovo")
LOAD_FROM = 5.0
FAULTS_FROM = 6.5
LOAD_UNTIL = 22.0
END = 60.0
CALLS_A_SECOND = 30.0
# While a server is cold after its restart, while a daemon leaves, and when a
# data centre is back.
BURSTS = ((9.3, 9.9), (15.9, 16.1), (19.0, 19.2))
BURST_CALLS_A_SECOND = 900.0
ORDERS_SHARE = 0.4
TIMEOUT_SECONDS = 5.0
RESEND_SECONDS = 1.0
OPERATOR_PATIENCE_SECONDS = 6.0

BASE = json.dumps(
    {
        "data_centres": list(PLACES),
        "services": {
            "ordering": {
                "limit": 12,
                "slots": 6,
                "cold_limit": 2,
                "warm_after": 60,
                "deadline_ms": 5000,
                "rules": [
                    {"methods": ["POST"], "path_prefix": "/", "run": "once"}
                ],
            }
        },
    }
)

STEPS = (
    "receive",
    "claim",
    "choose",
    "connect",
    "send",
    "wait",
    "read",
    "record",
    "answer",
    "push",
    "accept",
    "spread",
    "out",
    "back",
    "join",
    "warm",
    "drain",
    "leave",
)


@attrs.frozen
class Plan:
    """Which faults happen at which steps in a run."""

    seed: int
    injections: tuple[tuple[str, str], ...] = ()

    def describe(self) -> str:
        """Return the plan as text."""
        pairs = " + ".join(
            f"{fault}@{step}" for step, fault in self.injections
        )
        return f"seed {self.seed}: {pairs or 'no fault'}"


class Trial:
    """One run of the scenario with its faults."""

    def __init__(self, plan: Plan) -> None:
        """Build the simulation; ``run`` lets it happen."""
        self.plan = plan
        self.simulation = simulation_module.Simulation(plan.seed)
        self.platform = simulation_module.FakePlatform(self.simulation)
        self.network = node_module.Network(self.simulation)
        self.callers: list[node_module.Caller] = []
        self.nodes: list[node_module.Node] = []
        self.events: list[tuple[float, str]] = []
        self.out_at: list[tuple[str, float, float]] = []
        self.accepted: list[tuple[int, float]] = []
        # Daemons that were paused or cut off at some time.
        self.unreachable: set[str] = set()
        # Daemons that were cut off from their peers alone.
        self.cut_off: set[str] = set()
        # Daemons that a fault killed.
        self.killed: set[str] = set()
        # When the platform's list could be read again after an outage.
        self.list_back_at = 0.0
        self._pending = dict(plan.injections)
        self._numbers = itertools.count(1)
        self._last: tuple[node_module.Node | None, Any] = (None, None)
        for number in range(4):
            place = PLACES[number % 2]
            address = models.Address("server", number + 1)
            self._add_server(models.Instance("ordering", address, place))
        self.platform.hosts = [
            server.instance for server in self.network.servers.values()
        ]
        for number in range(3):
            self.add_node(f"entry-{number}", PLACES[number % 2])

    def run(self) -> list[promises.Broken]:
        """Let everything happen; return which promises fell."""
        at = self.simulation.call_at
        at(0.5, functools.partial(self.push, 0))
        self._schedule_load()
        at(8.0, functools.partial(self.push, 1))
        at(8.0, functools.partial(self.push, 2))
        at(9.0, self._restart_server)
        at(10.0, functools.partial(self.move, PLACES[1], True))
        at(18.0, functools.partial(self.move, PLACES[1], False))
        at(12.0, self._drain_server)
        at(13.0, self._join)
        at(16.0, self._leave)
        self.simulation.run_until(END)
        return promises.check(self)

    def add_node(self, name: str, place: str) -> node_module.Node:
        """Start a daemon."""
        node = node_module.Node(
            self.network, self.platform, name, place, self.on_step
        )
        self.nodes.append(node)
        return node

    def live_nodes(self) -> list[node_module.Node]:
        """Return the daemons that were not killed."""
        return [one for one in self.nodes if not one.process.killed]

    def on_step(
        self,
        step: str,
        node: node_module.Node | None,
        exchange: node_module.Exchange | None,
    ) -> None:
        """Inject the fault that is planned for this step, once."""
        self._last = (node, exchange)
        if self.simulation.now < FAULTS_FROM:
            return
        fault = self._pending.pop(step, None)
        if fault is not None:
            self.note(f"fault {fault} at {step}")
            injectors.INJECTORS[fault](self, node, exchange)

    def note(self, text: str) -> None:
        """Keep an event for the trace."""
        self.events.append((round(self.simulation.now, 4), text))

    def push(self, number: int) -> None:
        """An operator pushes a configuration through some daemon."""
        live = self.live_nodes()
        node = live[number % len(live)]
        version = node.balancer.version
        bundle = config.Bundle(BASE, {PLACES[0]: json.dumps({})})
        if number:
            changed = json.loads(BASE)
            service = changed["services"]["ordering"]
            service["queue_length"] = 64 + number
            bundle = config.Bundle(json.dumps(changed), {})
        self.on_step("push", node, None)

        def done(result: int | exceptions.TarragonliftError) -> None:
            self.note(f"push {number}: {result!r}")
            if isinstance(result, int):
                self.accepted.append((result, self.simulation.now))
                self.on_step("accept", node, None)

        node.configuration.push(
            f"push-{number}", bundle, f"operator-{number}", version, done
        )

    def move(self, place: str, out: bool) -> None:
        """An operator takes a data centre out or back."""
        self.on_step("out" if out else "back", self.nodes[0], None)
        kind = replica.KIND_DATA_CENTRE
        if not out and self.out_at:
            self.out_at[-1] = (*self.out_at[-1][:2], self.simulation.now)
        known = [one.balancer.replica.get(kind, place) for one in self.nodes]
        version = max((one.version for one in known if one), default=0)
        self._try_move(place, out, version, 0)

    def _try_move(
        self, place: str, out: bool, version: int, number: int
    ) -> None:
        """Ask one daemon; the operator asks the next one where it fails."""
        live = self.live_nodes()
        node = live[number % len(live)]
        state = const.DataCentreState.OUT
        if not out:
            state = const.DataCentreState.IN_SERVICE

        def done(
            found: data_centres.Confirmation | exceptions.NotConfirmed,
        ) -> None:
            self.note(f"{place} {state.value} by {node.name}: {found!r}")
            if isinstance(found, exceptions.NotConfirmed):
                return
            confirmed_at[0] = self.simulation.now
            if out and not self.out_at:
                entry = (place, self.simulation.now, float("inf"))
                self.out_at.append(entry)

        def work() -> None:
            wall_time = node.process.wall_time()
            try:
                item = node.balancer.set_data_centre(
                    place, state, version, wall_time
                )
            except exceptions.DataCentreConflict as error:
                self.note(f"{place} {state.value}: {error}")
                return
            node.peers.spread_changes()
            node.data_centres.sync()
            node.data_centres.confirm(item, done)

        def look() -> None:
            if not confirmed_at and number < len(live):
                self._try_move(place, out, version, number + 1)

        confirmed_at: dict[int, float] = {}
        node.process.deliver(work)
        self.simulation.call_later(OPERATOR_PATIENCE_SECONDS, look)

    def _add_server(self, instance: models.Instance) -> None:
        """Start a backend server."""
        server = simulation_module.FakeServer(
            self.simulation, instance, simulation_module.ServerModel()
        )
        self.network.servers[str(instance.address)] = server

    def _schedule_load(self) -> None:
        """Let callers come at random times."""
        when = LOAD_FROM
        while when < LOAD_UNTIL:
            burst = any(start <= when < end for start, end in BURSTS)
            rate = BURST_CALLS_A_SECOND if burst else CALLS_A_SECOND
            when += self.simulation.rng.expovariate(rate)
            once = self.simulation.rng.random() < ORDERS_SHARE
            self.simulation.call_at(when, functools.partial(self.call, once))

    def call(self, once: bool, key: str = "", resends: int = 0) -> None:
        """A caller sends a request, and sends it again where told to."""
        nonce = f"n{next(self._numbers)}"
        key = key or (f"k-{nonce}" if once else "")
        ready = [one for one in self.live_nodes() if one.ready]
        if not ready:
            return
        node = self.simulation.rng.choice(ready)
        caller = node_module.Caller(nonce, key, self.simulation.now)
        self.callers.append(caller)

        def ended(one: node_module.Caller) -> None:
            good = one.whole or one.outcome == "ran"
            if once and not good and resends < injectors.RESENDS_MOST:
                self.simulation.call_later(
                    RESEND_SECONDS,
                    functools.partial(self.call, True, key, resends + 1),
                )

        caller.done = ended
        node.process.deliver(
            lambda: node.request(caller, once, TIMEOUT_SECONDS)
        )

    def _server(self, number: int) -> simulation_module.FakeServer:
        """Return a server by its number."""
        return list(self.network.servers.values())[number]

    def _restart_server(self) -> None:
        """A server restarts and is cold."""
        self.on_step("warm", self.nodes[0], None)
        self._server(0).restart(injectors.SERVER_DOWN_SECONDS)
        self.note("server 0 restarts")

    def _drain_server(self) -> None:
        """A server starts to leave."""
        self.on_step("drain", self.nodes[0], None)
        server = self._server(2)
        server.draining_since = self.simulation.now
        self.note("server 2 drains")
        injectors.list_leaving(self)

    def _join(self) -> None:
        """A daemon joins."""
        self.on_step("join", self.nodes[0], None)
        self.add_node("entry-3", PLACES[1])
        self.note("entry-3 joins")

    def _leave(self) -> None:
        """A daemon is stopped gracefully."""
        node = self.nodes[1]
        self.on_step("leave", node, None)
        if not node.process.killed:
            node.leave()
            self.note(f"{node.name} leaves")


def make_single_plans(seed: int) -> abc.Iterator[Plan]:
    """Return a plan for every fault at every step."""
    yield Plan(seed)
    for step in STEPS:
        for fault in injectors.INJECTORS:
            yield Plan(seed, ((step, fault),))


def make_pair_plans(seed: int, count: int) -> abc.Iterator[Plan]:
    """Return plans with two faults at two steps, by seed."""
    rng = simulation_module.random.Random(seed)
    for number in range(count):
        steps = rng.sample(STEPS, 2)
        faults = rng.choices(list(injectors.INJECTORS), k=2)
        pairs = tuple(zip(steps, faults, strict=True))
        yield Plan(seed + number, pairs)


def run_plan(plan: Plan) -> list[promises.Broken]:
    """Run one plan; return which promises fell."""
    return Trial(plan).run()


def shrink(plan: Plan, promise: str) -> Plan:
    """Return the smallest part of a plan that still breaks the promise."""
    for count in range(len(plan.injections)):
        for part in itertools.combinations(plan.injections, count):
            smaller = attrs.evolve(plan, injections=part)
            if any(one.promise == promise for one in run_plan(smaller)):
                return smaller
    return plan
