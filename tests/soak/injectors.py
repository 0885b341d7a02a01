"""The faults of a soak: what happens to daemons, links, servers, store."""

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

MODES = ("reset", "cut", "shed", "unframed", "extra", "no signature")
HELD = (
    frozenset({proxy_module.UP}),
    frozenset({proxy_module.DOWN}),
    frozenset({proxy_module.UP, proxy_module.DOWN}),
)
# ``grace`` of the stand-ins' settings, and what a busy machine may add.
GRACE_S = 6.0
GRACE_LAG_S = 2.0
CLOCK_OFF_MOST_S = 120.0


@attrs.define
class Scene:
    """All that faults can act on."""

    stage: standin.Stage
    daemons: list[processes.Daemon]
    # The link to each server, by the server's name.
    links: dict[str, proxy_module.Proxy]
    records: records_module.Records
    version: int = 3


class Injectors:
    """Cause faults by chance; all of them end after a while."""

    def __init__(self, scene: Scene, rng: random.Random) -> None:
        """Act on this scene."""
        self._scene = scene
        self._rng = rng
        self._timers: list[threading.Timer] = []

    @property
    def faults(self) -> tuple[abc.Callable[[], None], ...]:
        """Return the kinds of faults."""
        return (
            self._change_mode,
            self._change_mode,
            self._pause,
            self._kill,
            self._stop,
            self._stop,
            self._shift_clock,
            self._refuse_store,
            self._harm_link,
            self._harm_link,
            self._harm_front,
            self._harm_store_link,
            self._push,
            self._leave,
            self._slow,
            self._use_address_again,
        )

    def finish(self) -> None:
        """Wait until every fault has ended."""
        for timer in self._timers:
            timer.join()

    def _later(self, wait: float, function: abc.Callable[[], None]) -> None:
        """End a fault after a while."""
        timer = threading.Timer(wait, function)
        timer.daemon = True
        timer.start()
        self._timers.append(timer)

    def _change_mode(self) -> None:
        """Let a server misbehave for a while."""
        server = self._rng.choice(self._scene.stage.servers)
        server.mode = self._rng.choice(MODES)
        wait = self._rng.uniform(0.1, 1.5)
        self._later(wait, lambda: setattr(server, "mode", "good"))

    def _slow(self) -> None:
        """Let a server work longer for a while."""
        server = self._rng.choice(self._scene.stage.servers)
        server.delay_s = self._rng.uniform(0.05, 1.0)
        wait = self._rng.uniform(0.2, 1.0)
        self._later(wait, lambda: setattr(server, "delay_s", 0.0))

    def _refuse_store(self) -> None:
        """Let the store refuse every call for a while."""
        store = self._scene.stage.store
        store.refusing = True
        harm = self._scene.records.begin_harm(records_module.STORE)

        def end() -> None:
            store.refusing = False
            records_module.end_harm(harm)

        self._later(self._rng.uniform(0.1, 2.0), end)

    def _harm_link(self) -> None:
        """Harm the link between all daemons and a server."""
        name = self._rng.choice(list(self._scene.links))
        self._harm(self._scene.links[name], name)

    def _harm_front(self) -> None:
        """Harm the link between callers and a daemon."""
        daemon = self._rng.choice(self._scene.daemons)
        self._harm(daemon.front, daemon.name)

    def _harm_store_link(self) -> None:
        """Harm the link between a daemon and the store."""
        daemon = self._rng.choice(self._scene.daemons)
        self._harm(daemon.store, daemon.name)

    def _harm(self, link: proxy_module.Proxy, subject: str) -> None:
        """Delay, reset, cut one way or silence a link for a while."""
        harm = self._scene.records.begin_harm(subject)
        wait = self._rng.uniform(0.1, 2.5)
        kind = self._rng.choice(("delay", "reset", "hold"))
        held = self._rng.choice(HELD)
        if kind == "reset":
            self._scene.stage.call(link.reset)
            records_module.end_harm(harm)
            return
        if kind == "delay":
            link.delay_s = self._rng.uniform(0.05, 0.5)
        else:
            link.held = held

        def end() -> None:
            link.delay_s = 0.0
            link.held = frozenset()
            records_module.end_harm(harm)

        self._later(wait, end)

    def _pause(self) -> None:
        """Stop a daemon's process for a moment."""
        daemon = self._rng.choice(self._scene.daemons)
        harm = self._scene.records.begin_harm(daemon.name)
        daemon.process.send_signal(signal.SIGSTOP)
        time.sleep(self._rng.uniform(0.05, 0.8))
        daemon.process.send_signal(signal.SIGCONT)
        records_module.end_harm(harm)

    def _kill(self) -> None:
        """Kill a daemon and start it again."""
        daemon = self._rng.choice(self._scene.daemons)
        harm = self._scene.records.begin_harm(daemon.name)
        processes.end(daemon.process)
        processes.start(self._scene.stage, daemon)
        records_module.end_harm(harm)

    def _shift_clock(self) -> None:
        """Stop a daemon; its successor's wall clock is off and jumps."""
        daemon = self._rng.choice(self._scene.daemons)
        most = CLOCK_OFF_MOST_S
        daemon.clock_off_s = self._rng.uniform(-most, most)
        daemon.clock_jump_s = self._rng.uniform(-most, most)
        self._succeed(daemon)

    def _stop(self) -> None:
        """Stop a daemon gracefully and start its successor meanwhile."""
        self._succeed(self._rng.choice(self._scene.daemons))

    def _succeed(self, daemon: processes.Daemon) -> None:
        """Stop a daemon; a new process of its name takes over."""
        old = daemon.process
        stopped_at = time.monotonic()
        old.send_signal(signal.SIGTERM)
        processes.start(self._scene.stage, daemon)

        def look() -> None:
            if old.poll() is None:
                self._note_outlived(daemon.name, stopped_at)
            processes.end(old)

        self._later(GRACE_S + GRACE_LAG_S, look)

    def _note_outlived(self, name: str, stopped_at: float) -> None:
        """Keep that a calm daemon did not end within its grace."""
        now = time.monotonic()
        if self._scene.records.is_calm(name, stopped_at - 1.0, now):
            text = f"{name} ran {now - stopped_at:.1f} s after its stop"
            self._scene.records.outlived.append(text)

    def _push(self) -> None:
        """Write a new configuration; a signal tells of settings, too."""
        scene = self._scene
        scene.version += self._rng.randrange(1, 4)
        document = standin.configuration(scene.version, "more")
        scene.stage.store_put("op", "config", document)
        daemon = self._rng.choice(scene.daemons)
        if daemon.process.poll() is None:
            daemon.process.send_signal(signal.SIGHUP)

    def _leave(self) -> None:
        """Let a server leave; the first one stays to the end."""
        server = self._staying_server()
        if server is None:
            return
        name = server.server_id
        self._scene.records.left_at[name] = time.monotonic()
        address = self._scene.links[name].address
        entry = server.entry(address, state="draining")
        self._scene.stage.store_put("servers", name, entry)

    def _use_address_again(self) -> None:
        """Drop a server's entry; another service takes its address."""
        server = self._staying_server()
        if server is None:
            return
        scene = self._scene
        old = server.server_id
        scene.records.left_at[old] = time.monotonic()
        link = scene.links.pop(old)
        scene.stage.store_put("servers", old, None)
        server.server_id = f"{old}-next"
        server.service = "other"
        scene.links[server.server_id] = link
        entry = server.entry(link.address)
        scene.stage.store_put("servers", server.server_id, entry)

    def _staying_server(self) -> standin.Instance | None:
        """Return a server that may go, unless none is left."""
        left_at = self._scene.records.left_at
        staying = [
            one
            for one in self._scene.stage.servers[1:]
            if one.server_id not in left_at and one.service == standin.SERVICE
        ]
        return self._rng.choice(staying) if staying else None
