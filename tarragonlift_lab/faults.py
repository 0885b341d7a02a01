"""Fault matrix that checks all promises with each fault at each step."""

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

DATA_CENTRES = ("plovdiv", "haskovo")
LOAD_START_S = 5.0
FAULTS_START_S = 6.5
LOAD_END_S = 22.0
TRIAL_END_S = 60.0
CALLS_PER_S = 30.0
# Start and end of the bursts: while a server is cold after its restart, while
# a daemon leaves and when a data centre is back in service.
BURST_PERIODS_S = ((9.3, 9.9), (15.9, 16.1), (19.0, 19.2))
BURST_CALLS_PER_S = 900.0
ORDER_SHARE = 0.4
REQUEST_TIMEOUT_S = 5.0
RESEND_DELAY_S = 1.0
OPERATOR_RETRY_DELAY_S = 6.0

BASE_CONFIGURATION = json.dumps(
    {
        "data_centres": list(DATA_CENTRES),
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
    """Seed of a run with pairs of a step and the fault injected there."""

    seed: int
    injections: tuple[tuple[str, str], ...] = ()

    def describe(self) -> str:
        """Return the plan as text."""
        pairs = " + ".join(
            f"{fault}@{step}" for step, fault in self.injections
        )
        return f"seed {self.seed}: {pairs or 'no fault'}"


class Trial:
    """Run of the scenario with the faults of a plan."""

    def __init__(self, plan: Plan) -> None:
        """Initialize the simulation; ``run`` starts it."""
        self.plan = plan
        self.simulation = simulation_module.Simulation(plan.seed)
        self.platform = simulation_module.FakePlatform(self.simulation)
        self.network = node_module.Network(self.simulation)
        self.callers: list[node_module.Caller] = []
        self.nodes: list[node_module.Node] = []
        self.events: list[tuple[float, str]] = []
        self.out_periods: list[tuple[str, float, float]] = []
        self.accepted_versions: list[tuple[int, float]] = []
        # Daemons that were paused or isolated at some time.
        self.unreachable: set[str] = set()
        # Daemons that were isolated from their peers, and possibly the store.
        self.peer_isolated: set[str] = set()
        # Daemons that a fault killed.
        self.killed: set[str] = set()
        # When the list of hosts could be read again after a store outage.
        self.list_available_at = 0.0
        self._pending_faults = dict(plan.injections)
        self._nonce_numbers = itertools.count(1)
        self._last_step: tuple[node_module.Node | None, Any] = (None, None)
        for number in range(4):
            data_centre = DATA_CENTRES[number % 2]
            address = models.Address("server", number + 1)
            self._add_server(models.Instance("ordering", address, data_centre))
        self.platform.hosts = [
            server.instance for server in self.network.servers.values()
        ]
        for number in range(3):
            self.add_node(f"entry-{number}", DATA_CENTRES[number % 2])

    def run(self) -> list[promises.Violation]:
        """Run the scenario and return the violated promises."""
        call_at = self.simulation.call_at
        call_at(0.5, functools.partial(self.push_configuration, 0))
        self._schedule_load()
        call_at(8.0, functools.partial(self.push_configuration, 1))
        call_at(8.0, functools.partial(self.push_configuration, 2))
        call_at(9.0, self._restart_server)
        call_at(
            10.0,
            functools.partial(self.switch_data_centre, DATA_CENTRES[1], True),
        )
        call_at(
            18.0,
            functools.partial(self.switch_data_centre, DATA_CENTRES[1], False),
        )
        call_at(12.0, self._drain_server)
        call_at(13.0, self._join_daemon)
        call_at(16.0, self._stop_daemon)
        self.simulation.run_until(TRIAL_END_S)
        return promises.check(self)

    def add_node(self, name: str, data_centre: str) -> node_module.Node:
        """Start a daemon in a data centre."""
        node = node_module.Node(
            self.network, self.platform, name, data_centre, self.on_step
        )
        self.nodes.append(node)
        return node

    def live_nodes(self) -> list[node_module.Node]:
        """Return the daemons that were not killed."""
        return [node for node in self.nodes if not node.process.is_killed]

    def on_step(
        self,
        step: str,
        node: node_module.Node | None,
        exchange: node_module.Exchange | None,
    ) -> None:
        """Inject the fault planned for this step when it is first reached."""
        self._last_step = (node, exchange)
        if self.simulation.now < FAULTS_START_S:
            return
        fault = self._pending_faults.pop(step, None)
        if fault is not None:
            self.record_event(f"fault {fault} at {step}")
            injectors.INJECTORS[fault](self, node, exchange)

    def record_event(self, text: str) -> None:
        """Record an event with its time in the trace."""
        self.events.append((round(self.simulation.now, 4), text))

    def push_configuration(self, number: int) -> None:
        """Push a configuration through a daemon as an operator does."""
        live_nodes = self.live_nodes()
        node = live_nodes[number % len(live_nodes)]
        version = node.balancer.version
        bundle = config.Bundle(
            BASE_CONFIGURATION, {DATA_CENTRES[0]: json.dumps({})}
        )
        if number:
            configuration = json.loads(BASE_CONFIGURATION)
            service = configuration["services"]["ordering"]
            service["queue_length"] = 64 + number
            bundle = config.Bundle(json.dumps(configuration), {})
        self.on_step("push", node, None)

        def on_result(result: int | exceptions.TarragonliftError) -> None:
            self.record_event(f"push {number}: {result!r}")
            if isinstance(result, int):
                self.accepted_versions.append((result, self.simulation.now))
                self.on_step("accept", node, None)

        node.configuration.push(
            f"push-{number}", bundle, f"operator-{number}", version, on_result
        )

    def switch_data_centre(self, data_centre: str, is_out: bool) -> None:
        """Take a data centre out of service or back as an operator does."""
        self.on_step("out" if is_out else "back", self.nodes[0], None)
        kind = replica.KIND_DATA_CENTRE
        if not is_out and self.out_periods:
            self.out_periods[-1] = (
                *self.out_periods[-1][:2],
                self.simulation.now,
            )
        items = [
            node.balancer.replica.get(kind, data_centre) for node in self.nodes
        ]
        version = max((item.version for item in items if item), default=0)
        self._try_switch(data_centre, is_out, version, 0)

    def _try_switch(
        self, data_centre: str, is_out: bool, version: int, number: int
    ) -> None:
        """Send the command to a daemon, and to the next one if it fails."""
        live_nodes = self.live_nodes()
        node = live_nodes[number % len(live_nodes)]
        state = const.DataCentreState.OUT
        if not is_out:
            state = const.DataCentreState.IN_SERVICE

        def on_result(
            result: data_centres.Confirmation | exceptions.NotConfirmed,
        ) -> None:
            self.record_event(
                f"{data_centre} {state.value} by {node.name}: {result!r}"
            )
            if isinstance(result, exceptions.NotConfirmed):
                return
            confirmed_at[0] = self.simulation.now
            if is_out and not self.out_periods:
                period = (data_centre, self.simulation.now, float("inf"))
                self.out_periods.append(period)

        def send_command() -> None:
            wall_time = node.process.wall_time()
            try:
                item = node.balancer.set_data_centre(
                    data_centre, state, version, wall_time
                )
            except exceptions.DataCentreConflict as error:
                self.record_event(f"{data_centre} {state.value}: {error}")
                return
            node.peers.spread_changes()
            node.data_centres.sync()
            node.data_centres.confirm(item, on_result)

        def retry() -> None:
            if not confirmed_at and number < len(live_nodes):
                self._try_switch(data_centre, is_out, version, number + 1)

        confirmed_at: dict[int, float] = {}
        node.process.deliver(send_command)
        self.simulation.call_later(OPERATOR_RETRY_DELAY_S, retry)

    def _add_server(self, instance: models.Instance) -> None:
        """Add a backend server to the simulation."""
        server = simulation_module.FakeServer(
            self.simulation, instance, simulation_module.ServerModel()
        )
        self.network.servers[str(instance.address)] = server

    def _schedule_load(self) -> None:
        """Schedule the requests of callers at random times."""
        call_at = LOAD_START_S
        while call_at < LOAD_END_S:
            is_burst = any(
                start <= call_at < end for start, end in BURST_PERIODS_S
            )
            rate = BURST_CALLS_PER_S if is_burst else CALLS_PER_S
            call_at += self.simulation.rng.expovariate(rate)
            is_once = self.simulation.rng.random() < ORDER_SHARE
            self.simulation.call_at(
                call_at, functools.partial(self.send_request, is_once)
            )

    def send_request(
        self, is_once: bool, key: str = "", resends: int = 0
    ) -> None:
        """Send a request; a failed request that runs once is sent again."""
        nonce = f"n{next(self._nonce_numbers)}"
        key = key or (f"k-{nonce}" if is_once else "")
        ready_nodes = [
            live_node for live_node in self.live_nodes() if live_node.is_ready
        ]
        if not ready_nodes:
            return
        node = self.simulation.rng.choice(ready_nodes)
        caller = node_module.Caller(nonce, key, self.simulation.now)
        self.callers.append(caller)

        def on_caller_done(caller: node_module.Caller) -> None:
            has_succeeded = caller.is_complete or caller.outcome == "ran"
            if (
                is_once
                and not has_succeeded
                and resends < injectors.MAX_RESENDS
            ):
                self.simulation.call_later(
                    RESEND_DELAY_S,
                    functools.partial(
                        self.send_request, True, key, resends + 1
                    ),
                )

        caller.on_done = on_caller_done
        node.process.deliver(
            lambda: node.handle_request(caller, is_once, REQUEST_TIMEOUT_S)
        )

    def _get_server(self, number: int) -> simulation_module.FakeServer:
        """Return a backend server by its number, counted from 0."""
        return list(self.network.servers.values())[number]

    def _restart_server(self) -> None:
        """Restart a server, which is cold afterwards."""
        self.on_step("warm", self.nodes[0], None)
        self._get_server(0).restart(injectors.SERVER_DOWNTIME_S)
        self.record_event("server 0 restarts")

    def _drain_server(self) -> None:
        """Start to drain a server."""
        self.on_step("drain", self.nodes[0], None)
        server = self._get_server(2)
        server.draining_since = self.simulation.now
        self.record_event("server 2 drains")
        injectors.publish_leaving_servers(self)

    def _join_daemon(self) -> None:
        """Start a daemon that joins the others."""
        self.on_step("join", self.nodes[0], None)
        self.add_node("entry-3", DATA_CENTRES[1])
        self.record_event("entry-3 joins")

    def _stop_daemon(self) -> None:
        """Stop a daemon gracefully unless it was killed."""
        node = self.nodes[1]
        self.on_step("leave", node, None)
        if not node.process.is_killed:
            node.leave()
            self.record_event(f"{node.name} leaves")


def make_single_plans(seed: int) -> abc.Iterator[Plan]:
    """Yield a plan without faults and one for each fault at each step."""
    yield Plan(seed)
    for step in STEPS:
        for fault in injectors.INJECTORS:
            yield Plan(seed, ((step, fault),))


def make_pair_plans(seed: int, count: int) -> abc.Iterator[Plan]:
    """Yield random plans with two faults at two steps."""
    rng = simulation_module.random.Random(seed)
    for number in range(count):
        steps = rng.sample(STEPS, 2)
        faults = rng.choices(list(injectors.INJECTORS), k=2)
        pairs = tuple(zip(steps, faults, strict=True))
        yield Plan(seed + number, pairs)


def run_plan(plan: Plan) -> list[promises.Violation]:
    """Run a plan and return the violated promises."""
    return Trial(plan).run()


def shrink_plan(plan: Plan, promise: str) -> Plan:
    """Return the smallest part of a plan that still violates the promise."""
    for count in range(len(plan.injections)):
        for part in itertools.combinations(plan.injections, count):
            smaller_plan = attrs.evolve(plan, injections=part)
            if any(
                violation.promise == promise
                for violation in run_plan(smaller_plan)
            ):
                return smaller_plan
    return plan
