"""Faults of a soak run in daemons, links, backend servers and the store."""

from __future__ import annotations

from collections import abc
import random
import signal
import threading
import time

import attrs

from tests.platform import standin
from tests.soak import processes
from tests.soak import proxy as proxy_module
from tests.soak import records as records_module

SERVER_FAULT_MODES = (
    "reset",
    "cut",
    "shed",
    "unframed",
    "extra",
    "no signature",
    "refusal again",
)
# Ranges of the rate limits per second that servers state, and of the seconds
# for which they do.
RATE_LIMITS = (0.2, 4.0)
RATE_LIMIT_DURATION_S = (2.0, 10.0)
# Range of the pauses in seconds that servers ask for.
PAUSES_S = (0.8, 5.0)
BLOCKED_DIRECTIONS = (
    frozenset({proxy_module.UPSTREAM}),
    frozenset({proxy_module.DOWNSTREAM}),
    frozenset({proxy_module.UPSTREAM, proxy_module.DOWNSTREAM}),
)
# Time in seconds that a stopping daemon may take: ``grace`` of the stand-ins'
# settings.
GRACE_PERIOD_S = 6.0
# Allowed lag in seconds of a graceful stop on a busy machine.
GRACE_LAG_S = 2.0
MAX_CLOCK_OFFSET_S = 120.0


@attrs.define
class SoakEnvironment:
    """The components of a run that faults are injected into."""

    stage: standin.Stage
    daemons: list[processes.Daemon]
    # The proxy in front of each server, by server ID.
    links: dict[str, proxy_module.Proxy]
    records: records_module.Records
    version: int = 3


class FaultInjector:
    """Injects random faults, each for a limited time."""

    def __init__(
        self, environment: SoakEnvironment, rng: random.Random
    ) -> None:
        """Initialize the injector for an environment."""
        self._environment = environment
        self._rng = rng
        self._timers: list[threading.Timer] = []

    @property
    def faults(self) -> tuple[abc.Callable[[], None], ...]:
        """Return the functions that inject faults, frequent ones twice."""
        return (
            self._set_server_mode,
            self._set_server_mode,
            self._pause_daemon,
            self._kill_daemon,
            self._stop_daemon,
            self._stop_daemon,
            self._shift_daemon_clock,
            self._fail_store,
            self._disrupt_server_link,
            self._disrupt_server_link,
            self._disrupt_caller_link,
            self._disrupt_store_link,
            self._push_configuration,
            self._drain_server,
            self._slow_server,
            self._limit_server,
            self._pause_server,
            self._let_server_leave,
            self._reassign_address,
        )

    def wait_until_ended(self) -> None:
        """Wait until every fault has ended."""
        for timer in self._timers:
            timer.join()

    def _schedule(
        self, delay_s: float, function: abc.Callable[[], None]
    ) -> None:
        """Call a function after a delay."""
        timer = threading.Timer(delay_s, function)
        timer.daemon = True
        timer.start()
        self._timers.append(timer)

    def _set_server_mode(self) -> None:
        """Set a random server to a random fault mode for a while."""
        server = self._rng.choice(self._environment.stage.servers)
        server.mode = self._rng.choice(SERVER_FAULT_MODES)
        duration_s = self._rng.uniform(0.1, 1.5)
        self._schedule(duration_s, lambda: setattr(server, "mode", "good"))

    def _slow_server(self) -> None:
        """Add a processing delay to a random server for a while."""
        server = self._rng.choice(self._environment.stage.servers)
        server.delay_s = self._rng.uniform(0.05, 1.0)
        duration_s = self._rng.uniform(0.2, 1.0)
        self._schedule(duration_s, lambda: setattr(server, "delay_s", 0.0))

    def _limit_server(self) -> None:
        """Let a random server state a rate limit for a while."""
        server = self._rng.choice(self._environment.stage.servers)
        per_s = round(self._rng.uniform(*RATE_LIMITS), 2)
        states_in_health = self._rng.random() < 0.5
        duration_s = self._rng.uniform(*RATE_LIMIT_DURATION_S)
        if server.rate_limit:
            return
        server.states_limit_in_health = states_in_health
        server.rate_limit = str(per_s)
        limit = records_module.StatedLimit(
            server.server_id, per_s, time.monotonic()
        )
        self._environment.records.stated_limits.append(limit)

        def end() -> None:
            limit.ended_at = time.monotonic()
            server.rate_limit = ""

        self._schedule(duration_s, end)

    def _pause_server(self) -> None:
        """Let a random server turn requests away and ask for a pause."""
        server = self._rng.choice(self._environment.stage.servers)
        duration_s = self._rng.uniform(*PAUSES_S)
        server.paused_until = time.monotonic() + duration_s

    def _let_server_leave(self) -> None:
        """Let a server say in answers that it leaves; the first one stays.

        The list goes on to name it as ready.
        """
        server = self._choose_removable_server()
        if server is None:
            return
        leaves_at = self._environment.records.leaves_at
        leaves_at.setdefault(server.server_id, time.monotonic())
        server.leaves = True

    def _fail_store(self) -> None:
        """Make the store refuse every call for a while."""
        store = self._environment.stage.store
        store.is_unavailable = True
        disruption = self._environment.records.begin_disruption(
            records_module.STORE
        )

        def end() -> None:
            store.is_unavailable = False
            records_module.end_disruption(disruption)

        self._schedule(self._rng.uniform(0.1, 2.0), end)

    def _disrupt_server_link(self) -> None:
        """Disrupt the link between all daemons and a server."""
        name = self._rng.choice(list(self._environment.links))
        self._disrupt_link(self._environment.links[name], name)

    def _disrupt_caller_link(self) -> None:
        """Disrupt the link between callers and a daemon."""
        daemon = self._rng.choice(self._environment.daemons)
        self._disrupt_link(daemon.caller_link, daemon.name)

    def _disrupt_store_link(self) -> None:
        """Disrupt the link between a daemon and the store."""
        daemon = self._rng.choice(self._environment.daemons)
        self._disrupt_link(daemon.store_link, daemon.name)

    def _disrupt_link(self, link: proxy_module.Proxy, subject: str) -> None:
        """Reset a link, or delay or block its traffic for a while."""
        disruption = self._environment.records.begin_disruption(subject)
        duration_s = self._rng.uniform(0.1, 2.5)
        kind = self._rng.choice(("delay", "reset", "hold"))
        blocked = self._rng.choice(BLOCKED_DIRECTIONS)
        if kind == "reset":
            self._environment.stage.call(link.reset)
            records_module.end_disruption(disruption)
            return
        if kind == "delay":
            link.delay_s = self._rng.uniform(0.05, 0.5)
        else:
            link.blocked = blocked

        def end() -> None:
            link.delay_s = 0.0
            link.blocked = frozenset()
            records_module.end_disruption(disruption)

        self._schedule(duration_s, end)

    def _pause_daemon(self) -> None:
        """Suspend a daemon's process for a short time."""
        daemon = self._rng.choice(self._environment.daemons)
        disruption = self._environment.records.begin_disruption(daemon.name)
        daemon.process.send_signal(signal.SIGSTOP)
        time.sleep(self._rng.uniform(0.05, 0.8))
        daemon.process.send_signal(signal.SIGCONT)
        records_module.end_disruption(disruption)

    def _kill_daemon(self) -> None:
        """Kill a daemon and start it again."""
        daemon = self._rng.choice(self._environment.daemons)
        disruption = self._environment.records.begin_disruption(daemon.name)
        processes.kill_process(daemon.process)
        processes.start_daemon(self._environment.stage, daemon)
        records_module.end_disruption(disruption)

    def _shift_daemon_clock(self) -> None:
        """Replace a daemon by one whose wall clock is off and jumps."""
        daemon = self._rng.choice(self._environment.daemons)
        limit = MAX_CLOCK_OFFSET_S
        daemon.clock_offset_s = self._rng.uniform(-limit, limit)
        daemon.clock_jump_s = self._rng.uniform(-limit, limit)
        self._replace_daemon(daemon)

    def _stop_daemon(self) -> None:
        """Stop a daemon gracefully while its successor starts."""
        self._replace_daemon(self._rng.choice(self._environment.daemons))

    def _replace_daemon(self, daemon: processes.Daemon) -> None:
        """Stop a daemon's process and start one under the same name."""
        old_process = daemon.process
        stopped_at = time.monotonic()
        self._environment.records.replaced_at.append((daemon.name, stopped_at))
        old_process.send_signal(signal.SIGTERM)
        processes.start_daemon(self._environment.stage, daemon)

        def check_exit() -> None:
            if old_process.poll() is None:
                self._record_late_exit(daemon.name, stopped_at)
            processes.kill_process(old_process)

        self._schedule(GRACE_PERIOD_S + GRACE_LAG_S, check_exit)

    def _record_late_exit(self, name: str, stopped_at: float) -> None:
        """Record that an undisturbed daemon outran its grace period."""
        now = time.monotonic()
        if self._environment.records.is_undisturbed(
            name, stopped_at - 1.0, now
        ):
            text = f"{name} ran {now - stopped_at:.1f} s after its stop"
            self._environment.records.late_exits.append(text)

    def _push_configuration(self) -> None:
        """Write a new configuration and signal a daemon to reload."""
        environment = self._environment
        environment.version += self._rng.randrange(1, 4)
        document = standin.configuration(environment.version, "more")
        environment.stage.store_put("op", "config", document)
        daemon = self._rng.choice(environment.daemons)
        if daemon.process.poll() is None:
            daemon.process.send_signal(signal.SIGHUP)

    def _drain_server(self) -> None:
        """Mark a server as draining; the first one always stays."""
        server = self._choose_removable_server()
        if server is None:
            return
        name = server.server_id
        self._environment.records.removed_at[name] = time.monotonic()
        address = self._environment.links[name].address
        entry = server.make_entry(address, state="draining")
        self._environment.stage.store_put("servers", name, entry)

    def _reassign_address(self) -> None:
        """Delete a server's entry and give its address to another service."""
        server = self._choose_removable_server()
        if server is None:
            return
        environment = self._environment
        old_id = server.server_id
        environment.records.removed_at[old_id] = time.monotonic()
        link = environment.links.pop(old_id)
        environment.stage.store_put("servers", old_id, None)
        server.server_id = f"{old_id}-next"
        server.service = "other"
        environment.links[server.server_id] = link
        entry = server.make_entry(link.address)
        environment.stage.store_put("servers", server.server_id, entry)

    def _choose_removable_server(self) -> standin.BackendServer | None:
        """Return a random server that may be removed, or None."""
        removed_at = self._environment.records.removed_at
        removable = [
            server
            for server in self._environment.stage.servers[1:]
            if server.server_id not in removed_at
            and server.service == standin.SERVICE
        ]
        return self._rng.choice(removable) if removable else None
