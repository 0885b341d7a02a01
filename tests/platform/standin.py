"""Stand-ins of the platform's store and of backend servers, on sockets."""

from __future__ import annotations

import asyncio
import base64
from collections import abc
import contextlib
import json
import pathlib
import re
import signal
import subprocess
import sys
import threading
import time
import urllib.parse

import attrs

SERVICE = "svc"
ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "platform" / "serve.py"
SETTINGS = """\
nodeName={name}
zone=here
ip=127.0.0.1
bind.front=127.0.0.1:0
bind.ready=127.0.0.1:0
internalPorts=0,0
bounds.drain=2000ms
bounds.grace=6s
bounds.budgetRatio=0.2
bounds.budgetSlack=62
platform.address={store}
"""


@attrs.define
class Head:
    """The head of a request as a stand-in reads it."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Head:
    """Read one request with its body."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Head(method, target, fields, body)


def answer(status: int, body: bytes = b"", **fields: str) -> bytes:
    """Return a whole answer; ``_`` in a field's name stands for ``-``."""
    lines = [f"HTTP/1.1 {status} S", f"Content-Length: {len(body)}"]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """Listens on a port of the kernel; subclasses answer."""

    address = ""

    async def start(self) -> None:
        """Begin to listen."""
        found = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = found.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request after the other."""
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                head = await read_request(reader)
                if not await self.handle(head, reader, writer):
                    break
        with contextlib.suppress(OSError):
            writer.close()

    async def handle(
        self,
        head: Head,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; return whether the connection goes on."""
        raise NotImplementedError


class Store(Server):
    """Rows in tables, with changes that can be waited for."""

    def __init__(self) -> None:
        """Start without rows."""
        self.rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self.version = 0
        self.calls: list[str] = []
        self.refusing = False
        # Parts in which answers go out, and the pause between two of them.
        self.parts = 1
        self.part_pause_s = 0.0
        self._changed: asyncio.Event = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row; None drops it."""
        self.version += 1
        data: bytes | None = None
        if isinstance(value, bytes):
            data = value
        elif value is not None:
            data = json.dumps(value).encode()
        self.rows[(table, key)] = (data, self.version)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(
        self,
        head: Head,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a call."""
        path, _, query = head.target.partition("?")
        facts = dict(urllib.parse.parse_qsl(query))
        self.calls.append(f"{path} {facts.get('table', '')}".strip())
        if self.refusing:
            writer.write(answer(503))
            return True
        if path == "/v1/rows-tx":
            for one in json.loads(head.body)["puts"]:
                value = base64.b64decode(one["value"])
                self.put(one["table"], one["key"], json.loads(value))
            document: dict[str, object] = {"ver": self.version}
        elif path == "/v1/rows-get":
            document = self._rows(facts["table"], 0, whole=True)
        else:
            document = await self._feed(facts)
        await self._send(answer(200, json.dumps(document).encode()), writer)
        return True

    async def _send(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Send an answer, in parts as over a slow link where a test says."""
        length = -(-len(data) // self.parts)
        for start in range(0, len(data), length):
            if start:
                await asyncio.sleep(self.part_pause_s)
            writer.write(data[start : start + length])
            await writer.drain()

    async def _feed(self, facts: dict[str, str]) -> dict[str, object]:
        """Return changes as soon as there are any."""
        after = int(facts["after"])
        wait = int(facts["waitMs"]) / 1000
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(wait):
                while not self._rows(facts["table"], after)["rows"]:
                    await self._changed.wait()
        return self._rows(facts["table"], after)

    def _rows(
        self, table: str, after: int, whole: bool = False
    ) -> dict[str, object]:
        """Return the rows of a table that are newer than a version."""
        rows = []
        for (name, key), (data, version) in sorted(self.rows.items()):
            if name != table or version <= after:
                continue
            row = {"table": name, "part": "", "key": key, "ver": version}
            if data is not None:
                row["value"] = base64.b64encode(data).decode()
            elif whole:
                continue
            else:
                row["deleted"] = True
            rows.append(row)
        return {"rows": rows, "hasMore": False, "ver": self.version}


@attrs.define
class Run:
    """One run of a request, and what the server was at that time."""

    request_id: str
    server_id: str
    service: str
    # By the monotonic clock.
    at: float
    # The server broke the connection off instead of answering.
    broke: bool = False


class Instance(Server):
    """A backend server with faults that a test sets."""

    def __init__(self, server_id: str, service: str = SERVICE) -> None:
        """Answer in time until told otherwise."""
        self.server_id = server_id
        self.service = service
        self.mode = "good"
        self.delay_s = 0.0
        self.runs: list[Run] = []
        self.bodies: list[bytes] = []
        self.cancelled: list[str] = []
        self.load = "0,0,6,100"

    @property
    def ran(self) -> list[str]:
        """Return the requests that ran here, by their ids."""
        return [one.request_id for one in self.runs]

    def entry(self, address: str = "", **changes: object) -> dict[str, object]:
        """Return this server's entry in the list, at another address."""
        status = {"state": "ready", "seq": 1, "warmupLeft": "0ms"}
        status.update(changes)
        return {
            "address": address or self.address,
            "serverInfo": {
                "service": self.service,
                "version": "v1",
                "zone": "here",
                "slots": 6,
            },
            "status": status,
            "born": 1,
        }

    async def handle(
        self,
        head: Head,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a health check or run a request."""
        load = {"X_Instance_Load": self.load}
        if head.target == "/health":
            fields = {"X_Instance_Id": self.server_id, **load}
            writer.write(answer(200, **fields))
            return True
        request_id = head.fields["x-request-id"]
        if head.fields.get("x-target-instance") != self.server_id:
            writer.write(answer(421, X_Request_Id=request_id))
            return True
        if self.mode == "shed":
            fields = {"X_Request_Id": request_id, "X_Not_Executed": "1"}
            writer.write(answer(503, **fields))
            return True
        run = Run(request_id, self.server_id, self.service, time.monotonic())
        self.runs.append(run)
        self.bodies.append(head.body)
        if self.delay_s and await self._is_left(reader):
            self.cancelled.append(request_id)
            return False
        run.broke = self.mode in ("reset", "cut")
        return self._answer(head, request_id, writer)

    async def _is_left(self, reader: asyncio.StreamReader) -> bool:
        """Work; return whether the connection closed meanwhile."""
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(self.delay_s):
                return await reader.read(1) == b""
        return False

    def _answer(
        self, head: Head, request_id: str, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer as the mode says."""
        body = f"{self.server_id} {head.target}".encode()
        fields = {"X_Request_Id": request_id, "X_Server_Signature": "s.1"}
        whole = answer(200, body, **fields)
        if self.mode == "reset":
            writer.transport.abort()
            return False
        if self.mode == "cut":
            writer.write(whole[:-3])
            return False
        if self.mode == "no signature":
            writer.write(answer(200, body, X_Request_Id=request_id))
            return True
        if self.mode == "unframed":
            line = f"Content-Length: {len(body)}\r\n".encode()
            writer.write(whole.replace(line, b""))
            return False
        writer.write(whole)
        if self.mode == "extra":
            loop = asyncio.get_running_loop()
            loop.call_later(0.005, writer.write, whole)
        return True


def configuration(version: int, *names: str) -> dict[str, object]:
    """Return a configuration with a route of each kind and others."""
    kinds = {
        "look": "idempotent",
        "order": "non_idempotent",
        "upload": "upload",
    }
    routes = {
        f"r-{name}": {
            "host": "shop.example",
            "prefix": f"/{name}/",
            "kind": kinds.get(name, "idempotent"),
            "timeout": "1500ms",
            "targetLatency": "400ms",
            "priority": 1,
            "service": "svc",
            "maxAttempts": 2,
        }
        for name in (*kinds, *names)
    }
    service = {
        "healthPath": "/health",
        "maxConns": 260,
        "warmup": "3s",
        "warmupPerS": 18.0,
    }
    limits = {
        "maxHeaderBytes": 4096,
        "maxBodyBytes": 100_000,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    }
    return {
        "version": version,
        "routes": routes,
        "services": {"svc": service},
        "limits": limits,
    }


class Stage:
    """A store and servers, on a thread of their own, and how to serve them."""

    def __init__(self, folder: pathlib.Path, *server_ids: str) -> None:
        """Start the stand-ins on a thread of their own."""
        self._folder = folder
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self.store = self.call(self._make_store)
        self.servers = [
            self.call(lambda name=name: self._make_server(name))
            for name in server_ids
        ]
        self.store_put("op", "config", configuration(3))
        for server in self.servers:
            self.store_put("servers", server.server_id, server.entry())

    def call(self, function: abc.Callable[[], object]) -> object:
        """Call a function on the stand-ins' loop."""

        async def run() -> object:
            result = function()
            if asyncio.iscoroutine(result):
                return await result
            return result

        future = asyncio.run_coroutine_threadsafe(run(), self._loop)
        return future.result(10)

    def store_put(self, table: str, key: str, value: object) -> None:
        """Write a row of the store."""
        self.call(lambda: self.store.put(table, key, value))

    def close(self) -> None:
        """End the stand-ins."""
        asyncio.run_coroutine_threadsafe(_cancel_others(), self._loop).result(
            10
        )
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _make_store(self) -> Store:
        """Start the store."""
        store = Store()
        await store.start()
        return store

    async def _make_server(self, name: str) -> Instance:
        """Start a server."""
        server = Instance(name)
        await server.start()
        return server

    def start_daemon(
        self,
        name: str,
        store: str = "",
        program: pathlib.Path = PROGRAM,
        **variables: str,
    ) -> subprocess.Popen[bytes]:
        """Start a daemon as the platform does."""
        path = self._folder / f"{name}.conf"
        store = store or self.store.address
        path.write_text(SETTINGS.format(store=store, name=name))
        return subprocess.Popen(
            [sys.executable, str(program)],
            env={"TARRAGONLIFT_SETTINGS": str(path), "PATH": "", **variables},
            stdout=subprocess.PIPE,
            cwd=ROOT,
        )


class Site(Stage):
    """A stage with one daemon, for the length of a test."""

    def __init__(self, folder: pathlib.Path, *server_ids: str) -> None:
        """Start the stand-ins and the daemon."""
        super().__init__(folder, *server_ids)
        self.lines: list[dict[str, object]] = []
        self.daemon = self.start_daemon("entry-1")
        self.listen = ""
        self.ready = ""

    def wait_line(self, **facts: object) -> dict[str, object]:
        """Read the daemon's log up to a line with these facts."""
        assert self.daemon.stdout is not None
        for text in self.daemon.stdout:
            line = json.loads(text)
            self.lines.append(line)
            if facts.items() <= line.items():
                return line
        raise AssertionError(f"no line with {facts}: {self.lines}")

    def wait_ready(self) -> None:
        """Wait until the daemon knows configuration and servers."""
        start = self.wait_line(about="start")
        self.listen = str(start["listen"])
        self.ready = str(start["ready"])
        for _ in self.servers:
            self.wait_line(change="backend-listed")

    def change_settings(self, old: str, new: str) -> None:
        """Change the settings file of the daemon."""
        path = self._folder / "entry-1.conf"
        path.write_text(path.read_text().replace(old, new))

    def close(self) -> None:
        """End the daemon and the stand-ins."""
        self.daemon.send_signal(signal.SIGKILL)
        self.daemon.wait()
        assert self.daemon.stdout is not None
        self.daemon.stdout.close()
        super().close()


def status_of(received: bytes) -> int:
    """Return the status of the first answer."""
    match = re.match(rb"HTTP/1.1 (\d+)", received)
    return int(match.group(1)) if match else 0


async def _cancel_others() -> None:
    """Cancel what the stand-ins still do."""
    own = asyncio.current_task()
    others = [one for one in asyncio.all_tasks() if one is not own]
    for one in others:
        one.cancel()
    await asyncio.gather(*others, return_exceptions=True)
