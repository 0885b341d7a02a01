"""Simulated daemons that run the core, and the requests of callers."""

from __future__ import annotations

from collections import abc
import itertools
import random
from typing import Any

import attrs

from tarragonlift.components import claims as claims_module
from tarragonlift.components import configuration
from tarragonlift.components import data_centres
from tarragonlift.components import hosts
from tarragonlift.core import actions
from tarragonlift.core import balancer as balancer_module
from tarragonlift.core import call as call_module
from tarragonlift.core import const
from tarragonlift.core import interfaces
from tarragonlift.core import models
from tarragonlift.core import probe_leases
from tarragonlift.core import rotation
from tarragonlift.core import warming
from tarragonlift import exceptions
from tarragonlift_lab import simulation as simulation_module

TICK_INTERVAL_S = 0.1
GOSSIP_INTERVAL_S = 0.5
CHANGE_DELAY_S = 0.05
CHANGE_FANOUT = 3
LEASE_READ_INTERVAL_S = 5.0
CONNECT_DELAY_S = 0.001

AttemptFailure = const.AttemptFailure
FAILURE_BY_RESULT = {
    "refused-connection": AttemptFailure.CONNECT_FAILED,
    "shed": AttemptFailure.SHED,
    "draining": AttemptFailure.DRAINING,
    "broken": AttemptFailure.BROKEN_BEFORE_ANSWER,
}
StepCallback = abc.Callable[[str, "Node", "Exchange | None"], None]


@attrs.define(eq=False)
class Caller:
    """Request with its result as the caller sees it."""

    nonce: str
    key: str
    started_at: float
    ended_at: float = -1.0
    answer: str = ""
    outcome: str = ""
    is_complete: bool = False
    is_cut_short: bool = False
    node: Node | None = None
    on_done: abc.Callable[[Caller], None] | None = None

    def finish(self, now: float) -> None:
        """Record when the response ended; later calls have no effect."""
        if self.ended_at < 0:
            self.ended_at = now
            if self.on_done is not None:
                self.on_done(self)


class Network:
    """Simulated network between daemons and to backend servers."""

    def __init__(self, simulation: simulation_module.Simulation) -> None:
        """Initialize the network without daemons."""
        self.simulation = simulation
        self.nodes: dict[str, Node] = {}
        self.isolated_nodes: set[str] = set()
        self.servers: dict[str, simulation_module.FakeServer] = {}

    def send(
        self, sender: str, target: str, function: abc.Callable[[Node], None]
    ) -> None:
        """Deliver a message unless exactly one of the two is isolated."""
        node = self.nodes.get(target)
        if node is None or (sender in self.isolated_nodes) != (
            target in self.isolated_nodes
        ):
            return
        self.simulation.call_later(
            simulation_module.NETWORK_DELAY_S,
            lambda: node.process.deliver(lambda: function(node)),
        )


class NodePeers(interfaces.Peers):
    """Access of a node to the other daemons."""

    def __init__(self, node: Node) -> None:
        """Initialize the access of this node."""
        self._node = node
        self.documents: dict[str, bytes] = {}
        self._is_spread_due = False

    def fetch_document(
        self, digest: str, callback: abc.Callable[[bytes], None]
    ) -> None:
        """Request the bytes of a configuration from a peer."""
        node = self._node
        target = node.next_peer()
        if target is None:
            return

        def on_request(peer: Node) -> None:
            data = peer.peers.documents.get(digest, b"")
            if data:
                node.network.send(
                    peer.name, node.name, lambda requester: callback(data)
                )

        node.network.send(node.name, target, on_request)

    def keep_document(self, digest: str, data: bytes) -> None:
        """Keep only these bytes for requests of peers."""
        self.documents = {digest: data}

    def add_seeds(self, seeds: abc.Iterable[models.Address]) -> None:
        """Ignore the addresses; all daemons of a simulation are known."""

    def spread_changes(self) -> None:
        """Send recent changes to a few peers after a short delay."""
        if not self._is_spread_due:
            self._is_spread_due = True
            node = self._node
            send_at = node.process.now() + CHANGE_DELAY_S
            node.process.call_at(send_at, self._send_changes)

    def _send_changes(self, now: float) -> None:
        """Send recent changes to a few peers."""
        self._is_spread_due = False
        if self._node.balancer.replica.has_hot_items:
            for target in self._node.sample_peers(CHANGE_FANOUT):
                self._node.send_gossip(target)


class Exchange(claims_module.Exchange):
    """Executes the actions of one call on fake servers."""

    def __init__(
        self, node: Node, call: call_module.Call, caller: Caller
    ) -> None:
        """Initialize the exchange of a call."""
        self.node = node
        self.call = call
        self.caller: Caller | None = caller
        self.nonce = caller.nonce
        self.jobs: dict[
            actions.Attempt,
            tuple[simulation_module.FakeServer, simulation_module.Job],
        ] = {}
        self._answer_body = ""

    def run(self, action_list: list[actions.Action]) -> None:
        """Execute the actions of the call."""
        for action in action_list:
            self._apply_action(action)
        if self.call.phase is call_module.Phase.DONE and not self.jobs:
            self.node.exchanges.pop(self.call, None)

    def disconnect_caller(self) -> None:
        """Close the connection of the caller."""
        self.caller = None
        self.run(self.call.on_caller_gone())

    def _apply_action(self, action: actions.Action) -> None:
        """Execute one action."""
        node = self.node
        if isinstance(action, actions.Send):
            self._send_attempt(action.attempt)
        elif isinstance(action, actions.Abandon):
            entry = self.jobs.pop(action.attempt, None)
            if entry is not None:
                entry[0].cancel(entry[1])
        elif isinstance(action, actions.Refuse):
            self._refuse(action.refusal)
        elif isinstance(action, actions.Replay):
            body = action.answer.body or b""
            self._respond(body.decode(), "ran")
        elif isinstance(action, actions.CutShort):
            if self.caller is not None:
                self.caller.is_cut_short = True
                self.caller.finish(node.process.now())
                self.caller = None
        elif isinstance(action, actions.WakeAt):
            node.process.call_at(action.when, self._on_wake)
        else:
            self._apply_shared_action(action)

    def _apply_shared_action(self, action: actions.Action) -> None:
        """Execute an action on claims, on the balancer or on another call."""
        node = self.node
        wall_time = node.process.wall_time()
        if isinstance(action, actions.Claim):
            node.report_step("claim", self)
            node.balancer.claims.claim(self.call, wall_time)
            node.on_claims()
        elif isinstance(action, actions.Release):
            node.balancer.claims.release(self.call)
            node.on_claims()
        elif isinstance(action, actions.Record):
            node.report_step("record", self)
            answer = models.RecordedAnswer(200, (), self._answer_body.encode())
            node.balancer.claims.record(self.call, answer, wall_time)
            node.on_claims()
        elif isinstance(action, actions.Evict):
            evicted = node.exchanges.get(action.call)
            if evicted is not None:
                evicted.run(action.call.on_evicted())
        elif isinstance(action, actions.Note):
            node.balancer.apply_note(action, wall_time)

    def _on_wake(self, now: float) -> None:
        """Run the timers of the call."""
        if self.call in self.node.exchanges:
            self.run(self.call.on_wake(now))

    def _send_attempt(self, attempt: actions.Attempt) -> None:
        """Send the request to the server of the attempt."""
        node = self.node
        node.report_step("choose", self)
        server = node.network.servers[attempt.backend.key]
        job = simulation_module.Job(
            self.nonce,
            self.call.request.key if self._is_once else "",
            lambda result, start_id: node.network.simulation.call_later(
                simulation_module.NETWORK_DELAY_S,
                lambda: node.process.deliver(
                    lambda: self._on_job_done(attempt, result, start_id)
                ),
            ),
        )
        self.jobs[attempt] = (server, job)
        node.report_step("connect", self)

        def on_connected() -> None:
            if attempt in self.jobs and not node.process.is_killed:
                node.report_step("send", self)
                server.receive(job)
                node.report_step("wait", self)

        node.network.simulation.call_later(CONNECT_DELAY_S, on_connected)

    @property
    def _is_once(self) -> bool:
        """Return whether the request may run only once."""
        return self.call.request.run is const.Run.ONCE

    def _on_job_done(
        self, attempt: actions.Attempt, result: str, start_id: str
    ) -> None:
        """Process the result of a request on its server."""
        if self.jobs.pop(attempt, None) is None:
            return
        node = self.node
        now = node.process.now()
        if start_id:
            node.balancer.servers.on_headers(
                attempt.backend, start_id, 0.0, now
            )
        failure = FAILURE_BY_RESULT.get(result)
        if failure is not None:
            node.balancer.servers.on_failure(
                attempt.backend, failure, node.process.wall_time()
            )
            self.run(self.call.on_attempt_failed(attempt, failure, now))
        else:
            node.report_step("read", self)
            self._process_answer(attempt, result, now)
        node.serve_queues()

    def _process_answer(
        self, attempt: actions.Attempt, result: str, now: float
    ) -> None:
        """Process a response that is complete or cut short."""
        head_actions = self.call.on_answer_head(attempt, now)
        is_relayed = any(
            isinstance(action, actions.Relay) for action in head_actions
        )
        self.run(head_actions)
        if result == "cut":
            failure = AttemptFailure.BROKEN_IN_ANSWER
            self.run(self.call.on_attempt_failed(attempt, failure, now))
            return
        self._answer_body = f"answer to {self.nonce}"
        self.run(self.call.on_answer_complete(attempt, now))
        if is_relayed:
            self._respond(self._answer_body, "ran")

    def _refuse(self, refusal: exceptions.Refusal) -> None:
        """Respond with a refusal of the daemon."""
        self._respond("", refusal.outcome.value)

    def _respond(self, answer: str, outcome: str) -> None:
        """Send the response to the caller if it is still connected."""
        self.node.report_step("answer", self)
        caller, self.caller = self.caller, None
        if caller is not None:
            caller.answer = answer
            caller.outcome = outcome
            caller.is_complete = bool(answer)
            caller.finish(self.node.process.now())


class Node(claims_module.Exchanges):
    """Daemon of a simulation."""

    def __init__(
        self,
        network: Network,
        platform: simulation_module.FakePlatform,
        name: str,
        data_centre: str,
        on_step: StepCallback,
    ) -> None:
        """Initialize the daemon and start its periodic work."""
        self.name = name
        self.network = network
        self.process = simulation_module.Process(network.simulation)
        self.started_at = network.simulation.now
        self._on_step = on_step
        self._request_numbers = itertools.count(1)
        seed = network.simulation.rng.getrandbits(32)
        self.rng = random.Random(seed)
        self._rotation: rotation.Rotation[str] = rotation.Rotation(self.rng)
        identity = balancer_module.Identity(name, data_centre, name + ":1", "")
        epoch = int(self.process.wall_time() * 1000)
        self.balancer = balancer_module.Balancer(identity, self.rng, epoch)
        self.exchanges: dict[call_module.Call, Exchange] = {}
        self.on_claims: abc.Callable[[], None] = lambda: None
        self.peers = NodePeers(self)
        self.versions: list[int] = []
        self.applied: list[tuple[int, float]] = []
        self.probes: list[tuple[str, float]] = []
        self.is_leaving = False
        self.graceful_stop_times: list[float] = []
        self.table = simulation_module.FakeTable(platform, self.process)
        objects = simulation_module.FakeObjects(platform, self.process)
        host_list = simulation_module.FakeHosts(platform, self.process)
        loop, balancer = self.process, self.balancer
        self.claims = claims_module.create_claim_writer(
            loop, balancer, self.table, self
        )
        self.configuration = configuration.ConfigurationManager(
            loop, balancer, self.table, objects, self.peers
        )
        self.configuration.on_applied = self._on_applied
        self.data_centres = data_centres.DataCentreSynchronizer(
            loop, balancer, self.table, self.apply_changes
        )
        self.hosts = hosts.HostListWatcher(
            loop, balancer, host_list, self.table, self.peers
        )
        network.nodes[name] = self
        self._start()

    def report_step(self, name: str, exchange: Exchange | None) -> None:
        """Report that a step of the request path is reached."""
        self._on_step(name, self, exchange)

    @property
    def is_ready(self) -> bool:
        """Return whether the daemon accepts requests of callers."""
        return (
            not self.is_leaving
            and not self.process.is_killed
            and self.balancer.version > 0
            and self.hosts.has_listed_hosts
            and self.balancer.has_settled
        )

    def exchange_of(self, call: call_module.Call) -> Exchange | None:
        """Return the exchange of a call, None if it is not in progress."""
        return self.exchanges.get(call)

    def handle_request(
        self, caller: Caller, is_once: bool, timeout_s: float
    ) -> None:
        """Open a call for a request of a caller and start it."""
        now = self.process.now()
        summary = balancer_module.RequestSummary(
            request_id=f"{self.name}-{next(self._request_numbers)}",
            method="POST" if is_once else "GET",
            host="",
            path="/orders" if is_once else f"/stock/{caller.nonce}",
            peer="caller",
            timeout_s=timeout_s,
            fingerprint=caller.key or caller.nonce,
            fields={b"idempotency-key": caller.key.encode()},
        )
        caller.node = self
        self.report_step("receive", None)
        if self.process.is_killed:
            return
        try:
            call = self.balancer.open_call(summary, now)
        except exceptions.Refusal as refusal:
            caller.outcome = refusal.outcome.value
            caller.finish(now)
            return
        exchange = Exchange(self, call, caller)
        self.exchanges[call] = exchange
        exchange.run(call.start(now))

    def kill(self) -> None:
        """Kill the process and break its connections without notice."""
        self.process.is_killed = True
        if self.is_leaving:
            self.graceful_stop_times.append(self.network.simulation.now)
        self.network.nodes.pop(self.name, None)
        for exchange in list(self.exchanges.values()):
            for server, job in exchange.jobs.values():
                server.cancel(job)
            if exchange.caller is not None:
                exchange.caller.is_cut_short = True
                exchange.caller.finish(self.network.simulation.now)

    def leave(self) -> None:
        """Start the graceful stop."""
        self.is_leaving = True
        self.hosts.leave()

    def serve_queues(self) -> None:
        """Send queued requests while servers have free capacity."""
        now = self.process.now()
        for pool in self.balancer.pools.values():
            while len(pool.queue) and pool.choose(now):
                call = pool.queue.pop()
                exchange = self.exchanges.get(call) if call else None
                if call is None or exchange is None:
                    break
                exchange.run(call.on_dequeued(now))

    def apply_changes(self) -> None:
        """Apply changes of the replica to the components."""
        if self.balancer.follow_replica(self.process.wall_time()):
            self.configuration.follow_replica()
            self.hosts.check_own_item()
            self.peers.spread_changes()

    def next_peer(self) -> str | None:
        """Return the next peer in the rotation, None without peers."""
        peers = [name for name in self.network.nodes if name != self.name]
        return self._rotation.next(peers)

    def sample_peers(self, count: int) -> list[str]:
        """Return up to ``count`` random peers."""
        peers = [name for name in self.network.nodes if name != self.name]
        return self.rng.sample(peers, min(count, len(peers)))

    def send_gossip(self, target: str) -> None:
        """Send a gossip round to a peer."""
        self.report_step("spread", None)
        message = self.balancer.next_gossip_round(self.process.now())

        def on_message(peer: Node) -> None:
            if peer.balancer.merge_gossip_round(message, peer.process.now()):
                peer.apply_changes()

        self.network.send(self.name, target, on_message)

    def on_connections_lost(
        self, server: simulation_module.FakeServer
    ) -> None:
        """Report to the balancer that a server closed its connections."""
        self.process.deliver(
            lambda: self.balancer.servers.on_connections_closed(
                server.instance.address, self.process.wall_time()
            )
        )

    def _start(self) -> None:
        """Start the components and the periodic work."""
        self.hosts.start()
        self.configuration.start()
        self.data_centres.start()
        self.process.deliver_timer(self._tick)
        self.process.deliver_timer(self._gossip)
        self.process.deliver_timer(self._read_probe_leases)
        for server in self.network.servers.values():
            self._listen_for_restarts(server)

    def _listen_for_restarts(
        self, server: simulation_module.FakeServer
    ) -> None:
        """Register for the connection loss when the server restarts."""
        server.restart_listeners.append(
            lambda: self.on_connections_lost(server)
        )

    def _tick(self, now: float) -> None:
        """Run the periodic work of the core."""
        self.process.call_at(now + TICK_INTERVAL_S, self._tick)
        for message in self.balancer.tick(now):
            self._send_loan_message(message)
        self.apply_changes()
        self.claims.send_requests()
        if self.balancer.replica.has_hot_items:
            self.peers.spread_changes()
        self.serve_queues()
        for operation in self.balancer.probe_leases.next_writes(now):
            self._write_probe_lease(operation)
        for key in self.balancer.probe_leases.keys:
            if self.balancer.probe_leases.acquire_probe(key, now):
                self.probes.append((key, now))

    def _gossip(self, now: float) -> None:
        """Send a gossip round to the next peer."""
        self.process.call_at(now + GOSSIP_INTERVAL_S, self._gossip)
        target = self.next_peer()
        if target is not None:
            self.send_gossip(target)

    def _read_probe_leases(self, now: float) -> None:
        """Read the rows of the probe leases periodically."""
        self.process.call_at(
            now + LEASE_READ_INTERVAL_S, self._read_probe_leases
        )

        def on_done(rows: Any) -> None:
            if isinstance(rows, list):
                self.balancer.probe_leases.on_rows(rows, self.process.now())

        self.table.scan(probe_leases.LEASE_KEY_PREFIX, on_done)

    def _write_probe_lease(self, operation: interfaces.Operation) -> None:
        """Write the row of one probe lease."""

        def on_done(result: Any) -> None:
            now = self.process.now()
            leases = self.balancer.probe_leases
            if isinstance(result, list):
                leases.on_write_result(operation.key, result, now)
            else:
                leases.on_answer_lost(operation.key)

        self.table.transact([operation], on_done)

    def _send_loan_message(self, message: warming.LoanMessage) -> None:
        """Send a message about the loan of a warming lease."""

        def on_message(peer: Node) -> None:
            now = peer.process.now()
            answer = peer.balancer.on_loan_message(message, now)
            if answer is not None:
                self.network.send(
                    peer.name,
                    self.name,
                    lambda requester: requester.on_loan_reply(answer),
                )

        target = self.balancer.loan_target(message)
        self.network.send(self.name, target, on_message)

    def on_loan_reply(self, message: warming.LoanMessage) -> None:
        """Process the reply to a message about a loan."""
        self.balancer.on_loan_message(message, self.process.now())

    def _on_applied(self) -> None:
        """Record the version that was applied and its time."""
        version = self.balancer.version
        self.versions.append(version)
        self.applied.append((version, self.process.now()))
