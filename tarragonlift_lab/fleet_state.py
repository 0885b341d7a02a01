"""Simulates how daemons learn the store's state, in virtual time.

Many daemons follow one store by the product's own follower. The simulation
counts calls to the store, messages and bytes, and the age of what each daemon
knows, while daemons are killed and cut off and the store is away.
"""

from __future__ import annotations

from collections import abc
import heapq
import itertools
import random
from typing import Any

import attrs
import msgpack

from tarragonlift.components.gateway import access
from tarragonlift.components.gateway import const
from tarragonlift.components.gateway import peer_codec
from tarragonlift.components.gateway import peer_messages
from tarragonlift.components.gateway import peer_socket
from tarragonlift.components.gateway import store_follower
from tarragonlift.components import metrics
from tarragonlift.core.fleet import fleet as fleet_module
from tarragonlift.core.fleet import interfaces
from tarragonlift.core.fleet import members
from tarragonlift.core.fleet import models
from tarragonlift.core import interfaces as core_interfaces
from tarragonlift.core import models as core_models
from tarragonlift import exceptions

TICK_S = 0.05
STORE_DELAY_S = 0.004
# Time limits in seconds of calls without an answer.
READ_TIMEOUT_S = 0.6
CHECK_TIMEOUT_S = 1.0
LOCAL_DELAY_S = 0.0002
REMOTE_DELAY_S = 0.0012
MAX_DRAIN_DELAY_S = 3.0
MAX_CONFIG_DELAY_S = 3.0
SEEDS = 3
PEER_PORT = 7000
HOST = "shop.example"
# Time in seconds within which all daemons start.
START_SPREAD_S = 0.3

Timer = abc.Callable[[float], None]


class Clock(core_interfaces.Loop):
    """The virtual clock with all timers."""

    def __init__(self) -> None:
        """Initialize the clock at zero."""
        self._now = 0.0
        self._heap: list[tuple[float, int, Timer]] = []
        self._counter = itertools.count()

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def wall_time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def call_at(self, when: float, function: Timer) -> None:
        """Call the function at a time."""
        entry = (when, next(self._counter), function)
        heapq.heappush(self._heap, entry)

    def run_until(self, end: float) -> None:
        """Run all timers up to a time."""
        while self._heap and self._heap[0][0] <= end:
            when, _, function = heapq.heappop(self._heap)
            self._now = max(self._now, when)
            function(self._now)
        self._now = end


class DaemonLoop(core_interfaces.Loop):
    """The loop of one daemon, whose timers end with its process."""

    def __init__(self, clock: Clock) -> None:
        """Initialize the loop of a running process."""
        self._clock = clock
        self.is_stopped = False

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock.now()

    def wall_time(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock.now()

    def call_at(self, when: float, function: Timer) -> None:
        """Call the function at a time unless the process has ended."""

        def run(now: float) -> None:
            if not self.is_stopped:
                function(now)

        self._clock.call_at(when, run)


class StoreState:
    """The contents of the store and the calls that it got."""

    def __init__(self, clock: Clock) -> None:
        """Initialize a store with one configuration and no servers."""
        self.clock = clock
        self.version = 1
        self.operators_version = 1
        self.configuration = 1
        self.servers: dict[str, models.ListedServer] = {}
        self.rows: dict[str, interfaces.MemberRow] = {}
        self.calls = 0
        self.is_away = False
        # Daemons that can't reach the store.
        self.refused: set[str] = set()
        # Daemons that get no answer; their open calls are lost for good.
        self.silent: set[str] = set()
        # The daemon that read the list of servers last.
        self.last_reader = ""
        self._waiting: list[tuple[str, abc.Callable[[Any], None]]] = []

    def push_configuration(self) -> None:
        """Write a new configuration and answer the calls that wait for it."""
        self.version += 1
        self.operators_version = self.version
        self.configuration += 1
        waiting, self._waiting = self._waiting, []
        for _, callback in waiting:
            self._answer(callback, self.operators)

    def set_server(
        self, server: models.ListedServer | None, name: str
    ) -> None:
        """Write or remove the entry of a server."""
        self.version += 1
        if server is None:
            self.servers.pop(name, None)
        else:
            self.servers[name] = server

    def set_away(self, is_away: bool) -> None:
        """Start or end an outage; calls that wait fail."""
        self.is_away = is_away
        self._fail_waiting()

    def refuse(self, daemons: set[str]) -> None:
        """Refuse these daemons from now on; their waiting calls fail."""
        self.refused = daemons
        self._fail_waiting()

    def silence(self, daemons: set[str]) -> None:
        """Give these daemons no answers from now on.

        Their open calls stay silent also after the next change of this set.
        """
        self.silent = daemons
        waiting, self._waiting = self._waiting, []
        for daemon, callback in waiting:
            if daemon in daemons:
                self._time_out(callback, const.MAX_CHANGES_WAIT_S)
            else:
                self._waiting.append((daemon, callback))

    def _time_out(
        self, callback: abc.Callable[[Any], None], seconds: float
    ) -> None:
        """Fail a call without an answer at the caller's time limit."""
        self.clock.call_at(
            self.clock.now() + seconds,
            lambda now: callback(exceptions.PlatformAnswerLost()),
        )

    def _fail_waiting(self) -> None:
        """Fail the waiting calls of daemons that can't reach the store."""
        waiting, self._waiting = self._waiting, []
        for daemon, callback in waiting:
            if self.is_away or daemon in self.refused:
                self._answer(callback, exceptions.PlatformAnswerLost)
            else:
                self._waiting.append((daemon, callback))

    def operators(self) -> interfaces.OperatorUpdate:
        """Return everything that operators wrote."""
        configuration = make_configuration(self.configuration)
        document = str(self.configuration).encode()
        return interfaces.OperatorUpdate(
            self.version, configuration, {}, True, document
        )

    def call(
        self,
        daemon: str,
        callback: abc.Callable[[Any], None],
        make_result: abc.Callable[[], Any],
        timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        """Answer a call after the store's delay, or fail it."""
        self.calls += 1
        if daemon in self.silent:
            self._time_out(callback, timeout_s)
            return
        if self.is_away or daemon in self.refused:
            make_result = exceptions.PlatformUnavailable
        self._answer(callback, make_result)

    def wait(
        self, daemon: str, after: int, callback: abc.Callable[[Any], None]
    ) -> interfaces.Cancel:
        """Answer a call once operators wrote something newer."""
        is_cancelled = False

        def answer(result: Any) -> None:
            if not is_cancelled:
                callback(result)

        def cancel() -> None:
            nonlocal is_cancelled
            is_cancelled = True

        is_failing = self.is_away or daemon in self.refused
        if is_failing or after < self.operators_version:
            self.call(daemon, answer, self.operators)
            return cancel
        self.calls += 1
        if daemon in self.silent:
            self._time_out(answer, const.MAX_CHANGES_WAIT_S)
        else:
            self._waiting.append((daemon, answer))
        return cancel

    def _answer(
        self,
        callback: abc.Callable[[Any], None],
        make_result: abc.Callable[[], Any],
    ) -> None:
        """Call back after the store's delay."""
        self.clock.call_at(
            self.clock.now() + STORE_DELAY_S,
            lambda now: callback(make_result()),
        )


class Store(interfaces.FleetStore):
    """One daemon's access to the store."""

    def __init__(self, state: StoreState, daemon: str) -> None:
        """Initialize the access of a daemon."""
        self._state = state
        self._daemon = daemon

    def read_operators(self, callback: interfaces.OperatorsCallback) -> None:
        """Read the whole state written by operators."""
        self._state.call(self._daemon, callback, self._state.operators)

    def await_operators(
        self, after: int, wait_s: float, callback: interfaces.OperatorsCallback
    ) -> interfaces.Cancel:
        """Wait for operators' changes after a version."""
        if not wait_s:
            self._state.call(
                self._daemon, callback, self._state.operators, CHECK_TIMEOUT_S
            )
            return lambda: None
        return self._state.wait(self._daemon, after, callback)

    def decode_configuration(
        self, document: bytes
    ) -> models.FleetConfiguration | None:
        """Return the configuration of this version."""
        return make_configuration(int(document))

    def read_servers(
        self, timeout_s: float, callback: interfaces.ServersCallback
    ) -> None:
        """Read the list of servers."""
        state = self._state
        if self._daemon not in state.refused | state.silent:
            state.last_reader = self._daemon
        state.call(
            self._daemon,
            callback,
            lambda: interfaces.ServerList(
                state.version, tuple(state.servers.values())
            ),
        )

    def read_members(self, callback: interfaces.MembersCallback) -> None:
        """Read the rows of the daemons."""
        rows = self._state.rows
        self._state.call(self._daemon, callback, lambda: list(rows.values()))

    def write_member(
        self, row: interfaces.MemberRow, callback: interfaces.WrittenCallback
    ) -> None:
        """Write the row of this daemon."""
        if not self._state.is_away:
            self._state.rows[row.member.daemon] = row
        self._state.call(self._daemon, callback, lambda: None)


@attrs.define
class Traffic:
    """Messages between daemons."""

    messages: int = 0
    bytes_local: int = 0
    bytes_crossing: int = 0


@attrs.define(eq=False)
class Daemon:
    """One daemon of the simulation."""

    member: members.Member
    fleet: fleet_module.Fleet
    follower: store_follower.StoreFollower
    loop: DaemonLoop
    # Time of the start, and until when it was not ready.
    started_at: float = 0.0
    ready_at: float | None = None

    @property
    def is_alive(self) -> bool:
        """Return whether the process runs."""
        return not self.loop.is_stopped


class FleetSimulation:
    """Daemons in several data centres that follow one store."""

    def __init__(
        self,
        daemons: int,
        data_centres: int,
        servers: int,
        seed: int,
        loss: float = 0.001,
        extra_calls: fleet_module.ExtraCalls = fleet_module.ExtraCalls(),
    ) -> None:
        """Initialize; ``loss`` is the share of messages that are lost."""
        self.clock = Clock()
        self.store = StoreState(self.clock)
        self.traffic = Traffic()
        self.rng = random.Random(seed)
        self._loss = loss
        self._extra_calls = extra_calls
        self._cut: frozenset[str] = frozenset()
        self.daemons: dict[core_models.Address, Daemon] = {}
        self._members = [
            members.Member(
                f"d-{number}",
                f"dc-{number % data_centres}",
                make_address(number),
            )
            for number in range(daemons)
        ]
        self._seeds = [
            member.address
            for member in self.rng.sample(
                self._members, min(SEEDS, len(self._members))
            )
        ]
        for number in range(servers):
            server = make_server(number, f"dc-{number % data_centres}")
            self.store.set_server(server, server.server_id)

    @property
    def alive(self) -> list[Daemon]:
        """Return the daemons that run."""
        return [item for item in self.daemons.values() if item.is_alive]

    def start(self, is_first_start: bool = True) -> None:
        """Start all daemons within a short time."""
        for member in self._members:
            self.start_daemon(
                member, self.rng.uniform(0.0, START_SPREAD_S), is_first_start
            )

    def start_daemon(
        self, member: members.Member, delay_s: float, is_first_start: bool
    ) -> None:
        """Start a daemon after a delay."""
        self.clock.call_at(
            self.clock.now() + delay_s,
            lambda now: self._start(member, is_first_start, now),
        )

    def restart_all(self) -> None:
        """Kill all daemons; each starts again after a while."""
        for daemon in self.alive:
            daemon.loop.is_stopped = True
        for member in self._members:
            self.start_daemon(member, self.rng.uniform(0.4, 1.6), False)

    def restart(self, daemon: Daemon) -> None:
        """Kill one daemon; it starts again after a while."""
        daemon.loop.is_stopped = True
        delay_s = self.rng.uniform(0.4, 1.0)
        self.start_daemon(daemon.member, delay_s, False)

    def cut_off(self, data_centre: str) -> None:
        """Cut a data centre off from the others and from the store."""
        self._cut = frozenset((data_centre,)) if data_centre else frozenset()
        self.store.refuse(
            {
                item.member.daemon
                for item in self.daemons.values()
                if item.member.data_centre in self._cut
            }
        )

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.clock.run_until(self.clock.now() + seconds)

    def pick(self, is_seed: bool) -> Daemon:
        """Return a daemon that is a seed or is none."""
        return self.rng.choice(
            [
                item
                for item in self.alive
                if (item.member.address in self._seeds) == is_seed
            ]
        )

    def oldest_list_s(self) -> float:
        """Return the largest age of the server list at any daemon."""
        now = self.clock.now()
        return max(now - item.follower.list_read_at for item in self.alive)

    def count_behind(self) -> int:
        """Return how many daemons lack the newest configuration."""
        newest = self.store.configuration
        return sum(item.fleet.version < newest for item in self.alive)

    def count_wrong_lists(self) -> int:
        """Return how many daemons have another list than the store."""
        listed = set(self.store.servers)
        return sum(
            {server.server_id for server in item.fleet.registry.servers}
            != listed
            for item in self.alive
        )

    def _start(
        self, member: members.Member, is_first_start: bool, now: float
    ) -> None:
        """Start a daemon now."""
        fleet = fleet_module.Fleet(member, self._extra_calls, 0.05, self.rng)
        loop = DaemonLoop(self.clock)
        store_access = access.StoreAccess(
            loop,
            Store(self.store, member.daemon),
            fleet,
            metrics.create_recorder(None),
            self.rng,
        )
        follower = store_follower.StoreFollower(
            store_access, self._seeds, is_first_start
        )
        follower.set_max_delays(MAX_DRAIN_DELAY_S, MAX_CONFIG_DELAY_S)
        daemon = Daemon(member, fleet, follower, loop, started_at=now)
        self.daemons[member.address] = daemon
        follower.set_senders(
            lambda message: self._send_many(daemon, message, is_local=False),
            lambda message: self._send_many(daemon, message, is_local=True),
            lambda address, message: self._send(daemon, [address], message),
        )
        follower.start(now)
        loop.call_at(now, lambda then: self._tick(daemon, then))

    def _tick(self, daemon: Daemon, now: float) -> None:
        """Run the periodic work of a daemon."""
        daemon.loop.call_at(
            now + TICK_S, lambda then: self._tick(daemon, then)
        )
        daemon.follower.tick(now)
        if daemon.ready_at is None and daemon.fleet.is_ready:
            daemon.ready_at = now

    def _send_many(
        self, sender: Daemon, message: peer_messages.Message, is_local: bool
    ) -> None:
        """Send a message to the sender's data centre, or to relays."""
        known = sender.fleet.members
        targets = known.local_others if is_local else known.relays
        self._send(sender, [item.address for item in targets], message)

    def _send(
        self,
        sender: Daemon,
        addresses: list[core_models.Address],
        message: peer_messages.Message,
    ) -> None:
        """Send a message to these addresses."""
        if not sender.is_alive:
            return
        data = msgpack.packb(peer_codec.encode(message))
        if len(data) > peer_socket.MAX_DATAGRAM_BYTES:
            return
        received = peer_codec.parse(data)
        for address in addresses:
            self._deliver(sender, address, received, len(data))

    def _deliver(
        self,
        sender: Daemon,
        address: core_models.Address,
        message: peer_messages.Message,
        size: int,
    ) -> None:
        """Count a datagram and deliver it unless it is lost."""
        target = self.daemons.get(address)
        self.traffic.messages += 1
        if target is None:
            return
        here = sender.member.data_centre
        there = target.member.data_centre
        if here == there:
            self.traffic.bytes_local += size
        else:
            self.traffic.bytes_crossing += size
        is_cut = here != there and (here in self._cut or there in self._cut)
        if is_cut or self.rng.random() < self._loss:
            return
        delay_s = LOCAL_DELAY_S if here == there else REMOTE_DELAY_S

        def receive(now: float) -> None:
            current = self.daemons.get(address)
            if current is not None and current.is_alive:
                current.follower.on_message(message)

        self.clock.call_at(self.clock.now() + delay_s, receive)


def make_address(number: int) -> core_models.Address:
    """Return the peer address of a daemon."""
    return core_models.Address(f"10.{number >> 8}.{number & 255}.1", PEER_PORT)


def make_server(number: int, data_centre: str) -> models.ListedServer:
    """Return the entry of a server."""
    address = core_models.Address(f"10.200.{number >> 8}.{number & 255}", 8000)
    return models.ListedServer(
        f"i-{number}", "orders", address, data_centre, 6, started_ms=1
    )


def make_configuration(version: int) -> models.FleetConfiguration:
    """Return a configuration with one route."""
    route = models.Route(
        name="orders",
        host=HOST,
        prefix="/",
        idempotent=True,
        targets=(models.Target("orders", 1.0),),
        timeout_s=2.0,
        target_latency_s=0.6,
        max_attempts=2,
    )
    services = {"orders": models.FleetService("orders")}
    return models.FleetConfiguration(version, (route,), services)
