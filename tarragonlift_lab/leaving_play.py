"""Plays servers that leave or ask for pauses to a whole fleet.

Daemons learn both from answers and health checks, and leaving also from the
list. The figures are what callers get, which requests a leaving server broke
off, and how far the users' rules on both are kept, in virtual time.
"""

from __future__ import annotations

from collections import abc
import math

import attrs
import msgpack

from tarragonlift.core import actions
from tarragonlift.core import const
from tarragonlift.core.fleet import delivery as delivery_module
from tarragonlift.core.fleet import fleet as fleet_module
from tarragonlift.core.fleet import models
from tarragonlift.core.fleet import server as server_module
from tarragonlift_lab import fleet_load
from tarragonlift_lab import fleet_state

Daemon = fleet_load.Daemon
Delivery = delivery_module.Delivery
Failure = const.AttemptFailure
Verdict = delivery_module.Verdict
# Bounds in seconds of the time that a server needs for a request.
SERVICE_TIME_S = (0.05, 0.35)
DATA_CENTRES = 3
EXTRA_CALLS = fleet_module.ExtraCalls(0.2, 62.0)
# Requests per second of the whole fleet.
LOAD_PER_S = 216.0
# Time in seconds after which an answer is late: that of the route.
TARGET_S = 0.6
# What daemons learn from, whether they read answers, and whether they tell
# each other.
SOURCES = (
    ("the list", False, False),
    ("answers", True, False),
    ("each other", True, True),
)
# The users' rules: a daemon that passed on an answer which says that the
# server leaves sends it nothing from some time later on. A daemon that passed
# on a pause sends at most a few requests between a moment later and its end.
DRAIN_S = 2.0
PAUSE_GRACE_S = 0.5
MAX_IN_PAUSE = 2


@attrs.define(eq=False)
class PlayedServer:
    """What a server says of itself, and what it gets."""

    leaves_at: float = math.inf
    ends_at: float = math.inf
    paused_until: float = -math.inf
    requests: int = 0
    # When each process first passed on that the server leaves.
    told_at: dict[Daemon, float] = attrs.field(factory=dict)
    # When each process passed on the present pause, and its requests since.
    paused_at: dict[Daemon, float] = attrs.field(factory=dict)
    sent_in_pause: dict[Daemon, int] = attrs.field(factory=dict)


@attrs.define
class Figures:
    """What servers got, beside the outcomes of the callers."""

    # Requests that break the rule on leaving, and on pauses.
    after_leaving: int = 0
    in_pause: int = 0
    # Requests that servers turned away in a pause.
    turned_away: int = 0
    # Requests that a server's end broke off, and that met no server.
    cut: int = 0
    unreachable: int = 0
    messages: int = 0
    bytes: int = 0


class LeavingPlay(fleet_load.FleetLoadPlay):
    """A fleet with callers and servers that leave and ask for pauses."""

    def __init__(
        self,
        daemons: int,
        servers: int,
        seed: int,
        reads_answers: bool = True,
        tells_pauses: bool = True,
        tells_leaving: bool = False,
    ) -> None:
        """Initialize the play.

        Without ``reads_answers`` the daemons learn from the list alone. With
        ``tells_leaving`` each tells all others at once, and without loss,
        which server leaves.
        """
        super().__init__(daemons, DATA_CENTRES, servers, seed, EXTRA_CALLS)
        self._reads_answers = reads_answers
        self._tells_pauses = tells_pauses
        self._tells_leaving = tells_leaving
        self.servers = {name: PlayedServer() for name in self.store.servers}
        self.figures = Figures()

    def leave(self, name: str, listed_after_s: float, notice_s: float) -> None:
        """Let a server say that it leaves, and end after a notice.

        Its entry says so after a while too, and goes when it ends.
        """
        now = self.clock.now()
        server = self.servers[name]
        server.leaves_at = now
        server.ends_at = now + notice_s
        entry = attrs.evolve(self.store.servers[name], leaving=True)
        self.clock.call_at(
            now + listed_after_s,
            lambda then: self.store.set_server(entry, name),
        )
        self.clock.call_at(
            server.ends_at, lambda then: self.store.set_server(None, name)
        )

    def start_server(self, name: str) -> None:
        """Start another process of a server that has ended."""
        number = int(name.partition("-")[2])
        entry = fleet_state.make_server(number, f"dc-{number % DATA_CENTRES}")
        started_ms = int(self.clock.now() * 1000)
        self.servers[name] = PlayedServer()
        self.store.set_server(attrs.evolve(entry, started_ms=started_ms), name)

    def pause(self, name: str, seconds: float) -> None:
        """Let a server turn all requests away for some time."""
        server = self.servers[name]
        server.paused_until = self.clock.now() + seconds
        server.paused_at.clear()
        server.sent_in_pause.clear()

    def start_load(self) -> None:
        """Start the fleet, then a load that is the same at all sizes."""
        self.start()
        self.run(8.0)
        self.begin_load(LOAD_PER_S / len(self._members))
        self.run(2.0)

    def count_late(self, target_s: float) -> int:
        """Return how many answers came after the target."""
        return sum(seconds > target_s for seconds in self.answer_times)

    def _probe(
        self, daemon: Daemon, server: server_module.FleetServer, now: float
    ) -> None:
        """Answer a health check."""
        played = self.servers[server.server_id]
        if now >= played.ends_at:
            return
        load = models.LoadReport(len(server.in_flight), 0, server.entry.slots)
        health = models.Health(server.server_id, True, load)
        server.update_health(health, now)
        self._pass_on(daemon, server, now)

    def _pass_on(
        self, daemon: Daemon, server: server_module.FleetServer, now: float
    ) -> None:
        """Let a daemon read in an answer whether the server leaves."""
        played = self.servers[server.server_id]
        if now < played.leaves_at:
            return
        played.told_at.setdefault(daemon, now)
        if not self._reads_answers or not server.record_leaving(now):
            return
        if self._tells_leaving:
            self._tell_others(daemon, server)

    def _tell_others(
        self, daemon: Daemon, server: server_module.FleetServer
    ) -> None:
        """Let all other daemons know at once that a server leaves."""
        start = server.start
        size = len(msgpack.packb([7, server.server_id, start.started_ms]))
        for other in self.alive:
            if other is daemon:
                continue
            self.figures.messages += 1
            self.figures.bytes += size
            known = other.fleet.registry.get(server.server_id)
            if known is not None and known.start == start:
                known.record_leaving(self.clock.now())

    def _run(
        self, daemon: Daemon, delivery: Delivery, attempt: actions.Attempt
    ) -> None:
        """Let a server run a request, turn it away, or break it off."""
        now = self.clock.now()
        played = self.servers[attempt.backend.server_id]
        if now >= played.ends_at:
            self.figures.unreachable += 1
            self._fail(daemon, delivery, attempt, Failure.CONNECT_FAILED, now)
            return
        played.requests += 1
        self._check_rules(daemon, played, now)
        if now < played.paused_until:
            self._turn_away(daemon, delivery, attempt, played)
            return
        done_at = now + self.rng.uniform(*SERVICE_TIME_S)
        if done_at >= played.ends_at:
            self.figures.cut += 1
            failure = Failure.BROKEN_BEFORE_ANSWER
            self._fail(daemon, delivery, attempt, failure, played.ends_at)
            return

        def answer(then: float) -> None:
            self._pass_on(daemon, attempt.backend, then)
            result = delivery.on_answer(attempt, Verdict.SUCCESS, then)
            self._carry_out(daemon, delivery, result)

        daemon.loop.call_at(done_at, answer)

    def _fail(
        self,
        daemon: Daemon,
        delivery: Delivery,
        attempt: actions.Attempt,
        failure: Failure,
        when: float,
    ) -> None:
        """Report the failure of an attempt a little later."""

        def fail(now: float) -> None:
            result = delivery.on_failed(attempt, failure, now)
            self._carry_out(daemon, delivery, result)

        daemon.loop.call_at(when + fleet_load.ROUND_TRIP_S, fail)

    def _turn_away(
        self,
        daemon: Daemon,
        delivery: Delivery,
        attempt: actions.Attempt,
        played: PlayedServer,
    ) -> None:
        """Refuse a request and ask for nothing until the pause is over."""
        self.figures.turned_away += 1

        def answer(now: float) -> None:
            left_s = played.paused_until - now
            if left_s > 0.0:
                played.paused_at.setdefault(daemon, now)
                self._record_pause(daemon, attempt.backend, left_s)
            result = delivery.on_answer(attempt, Verdict.NOT_RUN, now)
            self._carry_out(daemon, delivery, result)

        daemon.loop.call_at(self.clock.now() + fleet_load.ROUND_TRIP_S, answer)

    def _record_pause(
        self,
        daemon: Daemon,
        server: server_module.FleetServer,
        left_s: float,
    ) -> None:
        """Let a daemon read that a server asks for a pause."""
        if not self._reads_answers:
            return
        now = self.clock.now()
        daemon.fleet.registry.record_pause(server, left_s, now)
        if self._tells_pauses:
            daemon.follower.pauses.on_pause(server)

    def _check_rules(
        self, daemon: Daemon, played: PlayedServer, now: float
    ) -> None:
        """Count a request that breaks a rule."""
        if now > played.told_at.get(daemon, math.inf) + DRAIN_S:
            self.figures.after_leaving += 1
        paused_at = played.paused_at.get(daemon, math.inf)
        if paused_at + PAUSE_GRACE_S <= now < played.paused_until:
            sent = played.sent_in_pause.get(daemon, 0) + 1
            played.sent_in_pause[daemon] = sent
            self.figures.in_pause += sent > MAX_IN_PAUSE


def play_leaving(
    daemons: int, seed: int, reads_answers: bool, tells_others: bool
) -> LeavingPlay:
    """Let six of 30 servers leave while the list can't be read.

    One leaves every 2 s, with 4 s of notice.
    """
    play = LeavingPlay(
        daemons, 30, seed, reads_answers, tells_leaving=tells_others
    )
    play.start_load()
    play.store.set_away(True)
    for number in range(6):
        play.leave(f"i-{number}", listed_after_s=1.0, notice_s=4.0)
        play.run(2.0)
    play.run(4.0)
    play.store.set_away(False)
    play.run(4.0)
    return play


def play_pauses(
    daemons: int,
    seed: int,
    reads_answers: bool,
    tells_others: bool,
    servers: int,
    pausing: int,
) -> LeavingPlay:
    """Let some servers ask for a pause of 4 s, three times."""
    play = LeavingPlay(daemons, servers, seed, reads_answers, tells_others)
    play.start_load()
    for _ in range(3):
        for number in range(pausing):
            play.pause(f"i-{number}", 4.0)
        play.run(8.0)
    return play


def format_table(seed: int, sizes: abc.Iterable[int]) -> str:
    """Play both at several sizes and return a table of the figures."""
    lines = [
        "| daemons | play | daemons learn from | answered | late | refused"
        " | cut | turned away | beyond the rules |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for daemons in sizes:
        for source, reads, tells in SOURCES:
            play = play_leaving(daemons, seed, reads, tells)
            lines.append(_format_row(daemons, "6 of 30 leave", source, play))
        for servers, pausing in ((6, 1), (30, 5)):
            name = f"{pausing} of {servers} pause"
            for source, reads, tells in SOURCES:
                play = play_pauses(
                    daemons, seed, reads, tells, servers, pausing
                )
                lines.append(_format_row(daemons, name, source, play))
    return "\n".join(lines)


def _format_row(
    daemons: int, name: str, source: str, play: LeavingPlay
) -> str:
    """Return the table row of one play."""
    figures = play.figures
    values = (
        daemons,
        name,
        source,
        play.outcomes["answered"],
        play.count_late(TARGET_S),
        play.outcomes["refused"],
        figures.cut,
        figures.turned_away,
        figures.after_leaving + figures.in_pause,
    )
    return f"| {' | '.join(map(str, values))} |"
