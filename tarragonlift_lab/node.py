"""One daemon's core in a simulation, and the callers that talk to it."""

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

TICK_SECONDS = 0.1
ROUND_SECONDS = 0.5
NEWS_SECONDS = 0.05
NEWS_FANOUT = 3
SEATS_SECONDS = 5.0
CONNECT_SECONDS = 0.001

Failure = const.AttemptFailure
FAILURES = {
    "refused-connection": Failure.CONNECT_FAILED,
    "shed": Failure.SHED,
    "draining": Failure.DRAINING,
    "broken": Failure.BROKEN_BEFORE_ANSWER,
}
Steps = abc.Callable[[str, "Node", "Exchange | None"], None]


@attrs.define(eq=False)
class Caller:
    """One request as its caller sees it."""

    nonce: str
    key: str
    started_at: float
    ended_at: float = -1.0
    answer: str = ""
    outcome: str = ""
    whole: bool = False
    cut: bool = False
    node: Node | None = None
    done: abc.Callable[[Caller], None] | None = None

    def end(self, now: float) -> None:
        """Take the end of the answer."""
        if self.ended_at < 0:
            self.ended_at = now
            if self.done is not None:
                self.done(self)


class Network:
    """Which daemons reach one another."""

    def __init__(self, simulation: simulation_module.Simulation) -> None:
        """Start without daemons."""
        self.simulation = simulation
        self.nodes: dict[str, Node] = {}
        self.cut: set[str] = set()
        self.servers: dict[str, simulation_module.FakeServer] = {}

    def send(
        self, sender: str, target: str, function: abc.Callable[[Node], None]
    ) -> None:
        """Bring a message to a daemon, if the two reach one another."""
        node = self.nodes.get(target)
        if node is None or (sender in self.cut) != (target in self.cut):
            return
        self.simulation.call_later(
            simulation_module.NETWORK_SECONDS,
            lambda: node.process.deliver(lambda: function(node)),
        )


class NodePeers(interfaces.Peers):
    """The other daemons as one node sees them."""

    def __init__(self, node: Node) -> None:
        """Serve this node."""
        self._node = node
        self.documents: dict[str, bytes] = {}
        self._news_due = False

    def fetch_document(
        self, digest: str, callback: abc.Callable[[bytes], None]
    ) -> None:
        """Ask a peer for the bytes of a configuration."""
        node = self._node
        target = node.random_peer()
        if target is None:
            return

        def asked(peer: Node) -> None:
            data = peer.peers.documents.get(digest, b"")
            if data:
                node.network.send(
                    peer.name, node.name, lambda own: callback(data)
                )

        node.network.send(node.name, target, asked)

    def keep_document(self, digest: str, data: bytes) -> None:
        """Have the bytes at hand."""
        self.documents = {digest: data}

    def set_seeds(self, seeds: abc.Iterable[models.Address]) -> None:
        """Know more addresses; in a simulation all are known."""

    def spread_changes(self) -> None:
        """Tell news to a few peers soon."""
        if not self._news_due:
            self._news_due = True
            node = self._node
            when = node.process.now() + NEWS_SECONDS
            node.process.call_at(when, self._send_news)

    def _send_news(self, now: float) -> None:
        """Pass changes on."""
        self._news_due = False
        if self._node.balancer.replica.has_hot_items:
            for target in self._node.some_peers(NEWS_FANOUT):
                self._node.gossip_to(target)


class Exchange(claims_module.Exchange):
    """Carries out what the core decides about one call, on fakes."""

    def __init__(
        self, node: Node, call: call_module.Call, caller: Caller
    ) -> None:
        """Prepare."""
        self.node = node
        self.call = call
        self.caller: Caller | None = caller
        self.nonce = caller.nonce
        self.jobs: dict[
            actions.Attempt,
            tuple[simulation_module.FakeServer, simulation_module.Job],
        ] = {}
        self._answer = ""

    def run(self, wanted: list[actions.Action]) -> None:
        """Carry out actions."""
        for action in wanted:
            self._carry_out(action)
        if self.call.phase is call_module.Phase.DONE and not self.jobs:
            self.node.exchanges.pop(self.call, None)

    def caller_gone(self) -> None:
        """The caller closed its connection."""
        self.caller = None
        self.run(self.call.on_caller_gone())

    def _carry_out(self, action: actions.Action) -> None:
        """Carry out one action."""
        node = self.node
        if isinstance(action, actions.Send):
            self._send(action.attempt)
        elif isinstance(action, actions.Abandon):
            found = self.jobs.pop(action.attempt, None)
            if found is not None:
                found[0].cancel(found[1])
        elif isinstance(action, actions.Refuse):
            self._refuse(action.refusal)
        elif isinstance(action, actions.Replay):
            body = action.answer.body or b""
            self._end(body.decode(), "ran")
        elif isinstance(action, actions.CutShort):
            if self.caller is not None:
                self.caller.cut = True
                self.caller.end(node.process.now())
                self.caller = None
        elif isinstance(action, actions.WakeAt):
            node.process.call_at(action.when, self._wake)
        else:
            self._carry_out_shared(action)

    def _carry_out_shared(self, action: actions.Action) -> None:
        """Carry out what concerns more than this exchange."""
        node = self.node
        wall_time = node.process.wall_time()
        if isinstance(action, actions.Claim):
            node.step("claim", self)
            node.balancer.claims.claim(self.call, wall_time)
            node.on_claims()
        elif isinstance(action, actions.Release):
            node.balancer.claims.release(self.call)
            node.on_claims()
        elif isinstance(action, actions.Record):
            node.step("record", self)
            answer = models.RecordedAnswer(200, (), self._answer.encode())
            node.balancer.claims.record(self.call, answer, wall_time)
            node.on_claims()
        elif isinstance(action, actions.Evict):
            victim = node.exchanges.get(action.call)
            if victim is not None:
                victim.run(action.call.on_evicted())
        elif isinstance(action, actions.Note):
            node.balancer.apply_note(action, wall_time)

    def _wake(self, now: float) -> None:
        """Let the core do what is due."""
        if self.call in self.node.exchanges:
            self.run(self.call.on_wake(now))

    def _send(self, attempt: actions.Attempt) -> None:
        """Bring the request to a server."""
        node = self.node
        node.step("choose", self)
        server = node.network.servers[attempt.backend.key]
        job = simulation_module.Job(
            self.nonce,
            self.call.request.key if self._is_once else "",
            lambda how, start_id: node.network.simulation.call_later(
                simulation_module.NETWORK_SECONDS,
                lambda: node.process.deliver(
                    lambda: self._ended(attempt, how, start_id)
                ),
            ),
        )
        self.jobs[attempt] = (server, job)
        node.step("connect", self)

        def arrive() -> None:
            if attempt in self.jobs and not node.process.killed:
                node.step("send", self)
                server.receive(job)
                node.step("wait", self)

        node.network.simulation.call_later(CONNECT_SECONDS, arrive)

    @property
    def _is_once(self) -> bool:
        """Return whether the request runs once."""
        return self.call.request.run is const.Run.ONCE

    def _ended(
        self, attempt: actions.Attempt, how: str, start_id: str
    ) -> None:
        """Take how a request ended on its server."""
        if self.jobs.pop(attempt, None) is None:
            return
        node = self.node
        now = node.process.now()
        if start_id:
            node.balancer.servers.on_headers(
                attempt.backend, start_id, 0.0, now
            )
        failure = FAILURES.get(how)
        if failure is not None:
            node.balancer.servers.on_failure(
                attempt.backend, failure, node.process.wall_time()
            )
            self.run(self.call.on_attempt_failed(attempt, failure, now))
        else:
            node.step("read", self)
            self._take_answer(attempt, how, now)
        node.serve_queues()

    def _take_answer(
        self, attempt: actions.Attempt, how: str, now: float
    ) -> None:
        """Take an answer, whole or cut short."""
        head = self.call.on_answer_head(attempt, now)
        relayed = any(isinstance(one, actions.Relay) for one in head)
        self.run(head)
        if how == "cut":
            failure = Failure.BROKEN_IN_ANSWER
            self.run(self.call.on_attempt_failed(attempt, failure, now))
            return
        self._answer = f"answer to {self.nonce}"
        self.run(self.call.on_answer_complete(attempt, now))
        if relayed:
            self._end(self._answer, "ran")

    def _refuse(self, refusal: exceptions.Refusal) -> None:
        """Answer in the daemon's own name."""
        self._end("", refusal.outcome.value)

    def _end(self, answer: str, outcome: str) -> None:
        """Bring the answer to the caller."""
        self.node.step("answer", self)
        caller, self.caller = self.caller, None
        if caller is not None:
            caller.answer = answer
            caller.outcome = outcome
            caller.whole = bool(answer)
            caller.end(self.node.process.now())


class Node(claims_module.Exchanges):
    """One daemon."""

    def __init__(
        self,
        network: Network,
        platform: simulation_module.FakePlatform,
        name: str,
        place: str,
        step: Steps,
    ) -> None:
        """Start."""
        self.name = name
        self.network = network
        self.process = simulation_module.Process(network.simulation)
        self.started_at = network.simulation.now
        self._step = step
        self._numbers = itertools.count(1)
        seed = network.simulation.rng.getrandbits(32)
        self.rng = random.Random(seed)
        self._rotation: rotation.Rotation[str] = rotation.Rotation(self.rng)
        identity = balancer_module.Identity(name, place, name + ":1", "")
        epoch = int(self.process.wall_time() * 1000)
        self.balancer = balancer_module.Balancer(identity, self.rng, epoch)
        self.exchanges: dict[call_module.Call, Exchange] = {}
        self.on_claims: abc.Callable[[], None] = lambda: None
        self.peers = NodePeers(self)
        self.versions: list[int] = []
        self.adopted: list[tuple[int, float]] = []
        self.probes: list[tuple[str, float]] = []
        self.leaving = False
        self.ended_by_leaving: list[float] = []
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
        self.configuration.on_applied = self._on_adopted
        self.data_centres = data_centres.DataCentreSynchronizer(
            loop, balancer, self.table, self.follow
        )
        self.hosts = hosts.HostListWatcher(
            loop, balancer, host_list, self.table, self.peers
        )
        network.nodes[name] = self
        self._start()

    def step(self, name: str, exchange: Exchange | None) -> None:
        """Tell that a step of the path is reached."""
        self._step(name, self, exchange)

    @property
    def ready(self) -> bool:
        """Return whether callers come to this daemon."""
        return (
            not self.leaving
            and not self.process.killed
            and self.balancer.version > 0
            and self.hosts.has_listed_hosts
            and self.balancer.has_settled
        )

    def exchange_of(self, one: call_module.Call) -> Exchange | None:
        """Return the exchange of a call."""
        return self.exchanges.get(one)

    def request(self, caller: Caller, once: bool, timeout: float) -> None:
        """Take a request of a caller."""
        now = self.process.now()
        facts = balancer_module.RequestSummary(
            request_id=f"{self.name}-{next(self._numbers)}",
            method="POST" if once else "GET",
            host="",
            path="/orders" if once else f"/stock/{caller.nonce}",
            peer="caller",
            timeout_s=timeout,
            fingerprint=caller.key or caller.nonce,
            fields={b"idempotency-key": caller.key.encode()},
        )
        caller.node = self
        self.step("receive", None)
        if self.process.killed:
            return
        try:
            call = self.balancer.open_call(facts, now)
        except exceptions.Refusal as refusal:
            caller.outcome = refusal.outcome.value
            caller.end(now)
            return
        exchange = Exchange(self, call, caller)
        self.exchanges[call] = exchange
        exchange.run(call.start(now))

    def kill(self) -> None:
        """Die: connections break, nothing is told."""
        self.process.killed = True
        if self.leaving:
            self.ended_by_leaving.append(self.network.simulation.now)
        self.network.nodes.pop(self.name, None)
        for exchange in list(self.exchanges.values()):
            for server, job in exchange.jobs.values():
                server.cancel(job)
            if exchange.caller is not None:
                exchange.caller.cut = True
                exchange.caller.end(self.network.simulation.now)

    def leave(self) -> None:
        """Begin the graceful stop."""
        self.leaving = True
        self.hosts.leave()

    def serve_queues(self) -> None:
        """Send requests that wait, as long as there is room."""
        now = self.process.now()
        for pool in self.balancer.pools.values():
            while len(pool.queue) and pool.choose(now):
                call = pool.queue.pop()
                exchange = self.exchanges.get(call) if call else None
                if call is None or exchange is None:
                    break
                exchange.run(call.on_dequeued(now))

    def follow(self) -> None:
        """Act on what changed in the replica."""
        if self.balancer.follow_replica(self.process.wall_time()):
            self.configuration.follow_replica()
            self.hosts.check_own_item()
            self.peers.spread_changes()

    def random_peer(self) -> str | None:
        """Return the next of the other daemons."""
        others = [name for name in self.network.nodes if name != self.name]
        return self._rotation.next(others)

    def some_peers(self, count: int) -> list[str]:
        """Return other daemons by chance."""
        others = [name for name in self.network.nodes if name != self.name]
        return self.rng.sample(others, min(count, len(others)))

    def gossip_to(self, target: str) -> None:
        """Send a round of gossip."""
        self.step("spread", None)
        message = self.balancer.next_gossip_round(self.process.now())

        def taken(peer: Node) -> None:
            if peer.balancer.merge_gossip_round(message, peer.process.now()):
                peer.follow()

        self.network.send(self.name, target, taken)

    def on_connections_lost(
        self, server: simulation_module.FakeServer
    ) -> None:
        """A server dropped all connections."""
        self.process.deliver(
            lambda: self.balancer.servers.on_connections_closed(
                server.instance.address, self.process.wall_time()
            )
        )

    def _start(self) -> None:
        """Begin all work."""
        self.hosts.start()
        self.configuration.start()
        self.data_centres.start()
        self.process.deliver_timer(self._tick)
        self.process.deliver_timer(self._round)
        self.process.deliver_timer(self._read_seats)
        for server in self.network.servers.values():
            self._listen_to(server)

    def _listen_to(self, server: simulation_module.FakeServer) -> None:
        """Keep a connection open that ends when the server restarts."""
        server.listeners.append(lambda: self.on_connections_lost(server))

    def _tick(self, now: float) -> None:
        """Do what is due at short intervals."""
        self.process.call_at(now + TICK_SECONDS, self._tick)
        for message in self.balancer.tick(now):
            self._send_loan(message)
        self.follow()
        self.claims.send_requests()
        if self.balancer.replica.has_hot_items:
            self.peers.spread_changes()
        self.serve_queues()
        for operation in self.balancer.probe_leases.next_writes(now):
            self._write_seat(operation)
        for key in self.balancer.probe_leases.keys:
            if self.balancer.probe_leases.acquire_probe(key, now):
                self.probes.append((key, now))

    def _round(self, now: float) -> None:
        """Make a round of gossip."""
        self.process.call_at(now + ROUND_SECONDS, self._round)
        target = self.random_peer()
        if target is not None:
            self.gossip_to(target)

    def _read_seats(self, now: float) -> None:
        """Read the seats once in a while."""
        self.process.call_at(now + SEATS_SECONDS, self._read_seats)

        def done(rows: Any) -> None:
            if isinstance(rows, list):
                self.balancer.probe_leases.on_rows(rows, self.process.now())

        self.table.scan(probe_leases.LEASE_KEY_PREFIX, done)

    def _write_seat(self, operation: interfaces.Operation) -> None:
        """Write one seat's row."""

        def done(result: Any) -> None:
            now = self.process.now()
            keeper = self.balancer.probe_leases
            if isinstance(result, list):
                keeper.on_write_result(operation.key, result, now)
            else:
                keeper.on_answer_lost(operation.key)

        self.table.transact([operation], done)

    def _send_loan(self, message: warming.LoanMessage) -> None:
        """Send a message about a warming duty."""

        def taken(peer: Node) -> None:
            now = peer.process.now()
            answer = peer.balancer.on_loan_message(message, now)
            if answer is not None:
                self.network.send(
                    peer.name,
                    self.name,
                    lambda own: own.take_loan(answer),
                )

        target = self.balancer.loan_target(message)
        self.network.send(self.name, target, taken)

    def take_loan(self, message: warming.LoanMessage) -> None:
        """Take a duty that was lent."""
        self.balancer.on_loan_message(message, self.process.now())

    def _on_adopted(self) -> None:
        """Keep the versions in the order in which they came into force."""
        version = self.balancer.version
        self.versions.append(version)
        self.adopted.append((version, self.process.now()))
