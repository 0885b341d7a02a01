"""Runs real daemons under load and faults, and checks what must hold.

A seed fixes the plan of faults and requests. Promises are checked from what
callers and servers saw, never from what a daemon says.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import random
import signal
import subprocess
import threading
import time

import attrs

from tests.platform import standin

SERVERS = 4
DAEMONS = ("entry-1", "entry-2", "entry-3")
CALLERS = 12
MODES = ("reset", "cut", "shed", "unframed", "extra", "no receipt")
# Seconds after which nothing may reach a leaving server, as in the settings,
# and what the stand-ins may lag on a busy machine.
DRAIN_S = 2.0
LAG_S = 1.0
NOT_RUN = (408, 421, 429, 503)


@attrs.define
class Sent:
    """One request and what its caller got; status 0: no whole answer."""

    request_id: str
    path: str
    idempotent: bool
    at: float
    status: int = 0
    body: bytes = b""


@attrs.define
class Daemon:
    """One process and where it listens."""

    name: str
    process: subprocess.Popen[bytes]
    listen: str = ""


class Soak:
    """One run."""

    def __init__(self, folder: pathlib.Path, seed: int, seconds: float):
        """Plan the run of a seed."""
        self._rng = random.Random(seed)
        self._seconds = seconds
        names = [f"i-{n}" for n in range(SERVERS)]
        self._site = standin.Site(folder, *names)
        self._daemons: list[Daemon] = []
        self._sent: list[Sent] = []
        self._left_at: dict[str, float] = {}
        self._store_lost_at: list[float] = []
        self._until = 0.0
        self._version = 3
        self._number = 0

    def run(self) -> list[str]:
        """Play the run; return the promises that fell."""
        try:
            self._site.wait_ready()
            first = Daemon("entry-1", self._site.daemon, self._site.listen)
            self._follow(first)
            self._daemons.append(first)
            for name in DAEMONS[1:]:
                self._daemons.append(self._start(name))
            self._until = time.monotonic() + self._seconds
            self._site.call(self._begin_load)
            self._play()
            time.sleep(3.0)
            return self._check()
        finally:
            for daemon in self._daemons[1:]:
                end(daemon.process)
            end(self._daemons[0].process)
            self._site.close()

    def _start(self, name: str) -> Daemon:
        """Start a daemon and wait until it listens."""
        daemon = Daemon(name, self._site.start_daemon(name))
        assert daemon.process.stdout is not None
        for text in daemon.process.stdout:
            line = json.loads(text)
            if line.get("about") == "start":
                daemon.listen = str(line["listen"])
                break
        self._follow(daemon)
        return daemon

    def _follow(self, daemon: Daemon) -> None:
        """Read the daemon's log so that its pipe never fills."""
        output = daemon.process.stdout
        assert output is not None

        def read() -> None:
            with contextlib.suppress(ValueError):
                for _ in output:
                    pass

        threading.Thread(target=read, daemon=True).start()

    def _play(self) -> None:
        """Inject one fault after the other; some overlap."""
        faults = (
            self._change_mode,
            self._change_mode,
            self._pause,
            self._kill,
            self._stop,
            self._refuse_store,
            self._push,
            self._leave,
            self._slow,
        )
        while time.monotonic() < self._until:
            time.sleep(self._rng.uniform(0.05, 0.5))
            self._rng.choice(faults)()

    def _change_mode(self) -> None:
        """Let a server misbehave for a while."""
        server = self._rng.choice(self._site.servers)
        server.mode = self._rng.choice(MODES)
        self._later(self._rng.uniform(0.1, 1.5), server, "mode", "good")

    def _slow(self) -> None:
        """Let a server work longer for a while."""
        server = self._rng.choice(self._site.servers)
        server.delay_s = self._rng.uniform(0.05, 1.0)
        self._later(self._rng.uniform(0.2, 1.0), server, "delay_s", 0.0)

    def _refuse_store(self) -> None:
        """Let the store refuse every call for a while."""
        self._site.store.refusing = True
        self._store_lost_at.append(time.monotonic())
        wait = self._rng.uniform(0.1, 2.0)
        self._later(wait, self._site.store, "refusing", False)

    def _later(self, wait: float, what: object, name: str, to: object) -> None:
        """Set an attribute after a while, on the stand-ins' loop."""
        timer = threading.Timer(wait, lambda: setattr(what, name, to))
        timer.daemon = True
        timer.start()

    def _pause(self) -> None:
        """Stop a daemon's process for a moment."""
        daemon = self._rng.choice(self._daemons)
        daemon.process.send_signal(signal.SIGSTOP)
        time.sleep(self._rng.uniform(0.05, 0.8))
        daemon.process.send_signal(signal.SIGCONT)

    def _kill(self) -> None:
        """Kill a daemon and start it again."""
        place = self._rng.randrange(1, len(self._daemons))
        end(self._daemons[place].process)
        self._daemons[place] = self._start(self._daemons[place].name)

    def _stop(self) -> None:
        """Stop a daemon gracefully and start its successor meanwhile."""
        place = self._rng.randrange(1, len(self._daemons))
        old = self._daemons[place]
        old.process.send_signal(signal.SIGTERM)
        self._daemons[place] = self._start(old.name)
        with contextlib.suppress(subprocess.TimeoutExpired):
            old.process.wait(0.2)
        timer = threading.Timer(8.0, lambda: end(old.process))
        timer.daemon = True
        timer.start()

    def _push(self) -> None:
        """Write a new configuration."""
        self._version += self._rng.randrange(1, 4)
        document = standin.configuration(self._version, "more")
        self._site.store_put("op", "config", document)

    def _leave(self) -> None:
        """Let a server leave; one stays to the end."""
        staying = [
            one
            for one in self._site.servers[1:]
            if one.server_id not in self._left_at
        ]
        if not staying:
            return
        server = self._rng.choice(staying)
        self._left_at[server.server_id] = time.monotonic()
        entry = server.entry(state="draining")
        self._site.store_put("servers", server.server_id, entry)

    async def _begin_load(self) -> None:
        """Let callers send until the end of the run."""
        for number in range(CALLERS):
            rng = random.Random(self._rng.random())
            task = asyncio.create_task(self._call(rng, number))
            self._tasks = [*getattr(self, "_tasks", []), task]

    async def _call(self, rng: random.Random, number: int) -> None:
        """Send one request after the other, on kept connections."""
        connection = None
        while time.monotonic() < self._until:
            self._number += 1
            sent = self._new_request(rng)
            try:
                if connection is None:
                    address = rng.choice(self._daemons).listen
                    host, _, port = address.rpartition(":")
                    connection = await asyncio.open_connection(host, port)
                await asyncio.wait_for(exchange(connection, sent), 4.0)
                if rng.random() < 0.1:
                    connection[1].close()
                    connection = None
            except (OSError, EOFError, asyncio.TimeoutError):
                if connection is not None:
                    connection[1].close()
                connection = None
            await asyncio.sleep(rng.uniform(0.0, 0.05))

    def _new_request(self, rng: random.Random) -> Sent:
        """Return the next request."""
        kind = rng.choice(("look", "look", "order", "upload"))
        request_id = f"r-{self._number}"
        sent = Sent(
            request_id,
            f"/{kind}/{self._number}",
            kind == "look",
            time.monotonic(),
        )
        self._sent.append(sent)
        return sent

    def _check(self) -> list[str]:
        """Return every promise that fell, with the request."""
        runs = [one for server in self._site.servers for one in server.ran]
        fell = []
        for sent in self._sent:
            count = runs.count(sent.request_id)
            if not sent.idempotent and count > 1:
                fell.append(f"{sent.request_id} ran {count} times")
            if sent.status in NOT_RUN and count:
                fell.append(f"{sent.request_id} ran; told {sent.status}")
            if sent.status == 200 and not is_own_answer(sent):
                fell.append(f"{sent.request_id} got {sent.body!r}")
        fell += self._check_leaving()
        served = sum(1 for one in self._sent if one.status == 200)
        if not served:
            fell.append(f"none of {len(self._sent)} was served")
        return fell

    def _check_leaving(self) -> list[str]:
        """Return requests that reached a server long after it left.

        The store's outages stretch the time, as the users' pages say.
        """
        at = {sent.request_id: sent.at for sent in self._sent}
        fell = []
        for server in self._site.servers:
            left_at = self._left_at.get(server.server_id)
            if left_at is None or self._store_lost_at:
                continue
            for request_id in server.ran:
                if at[request_id] > left_at + DRAIN_S + LAG_S:
                    fell.append(f"{request_id} at {server.server_id}, left")
        return fell


def is_own_answer(sent: Sent) -> bool:
    """Return whether a success is whole and answers this request."""
    return sent.body.endswith(f" {sent.path}".encode())


def end(process: subprocess.Popen[bytes]) -> None:
    """Kill a process that the soak started."""
    with contextlib.suppress(ProcessLookupError):
        process.kill()
    process.wait()


async def exchange(
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter], sent: Sent
) -> None:
    """Send a request and read its answer."""
    reader, writer = connection
    body = b"" if sent.idempotent else b"x" * 2000
    method = "GET" if sent.idempotent else "POST"
    head = (
        f"{method} {sent.path} HTTP/1.1\r\nHost: shop.example\r\n"
        f"X-Request-Id: {sent.request_id}\r\nX-Request-Deadline: 2000\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    length = 0
    for line in text.split("\r\n")[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    sent.body = await reader.readexactly(length)
    sent.status = int(text.split(" ")[1])
    if "connection: close" in text.lower():
        raise EOFError
