"""Stand-ins for the platform's store and for backend servers, on sockets."""

from __future__ import annotations

import asyncio
import base64
from collections import abc
import contextlib
import json
import pathlib
import re
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
import urllib.parse

import attrs

SERVICE = "svc"
# Option of a socket that is reset when it closes.
NO_LINGER = struct.pack("ii", 1, 0)
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
class Request:
    """A request with its body."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read a request with its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    request_line, *lines = head.rstrip("\r\n").split("\r\n")
    method, target, _ = request_line.split(" ")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, fields, body)


def encode_response(status: int, body: bytes = b"", **fields: str) -> bytes:
    """Return a complete response; ``_`` in a field name stands for ``-``."""
    lines = [f"HTTP/1.1 {status} S", f"Content-Length: {len(body)}"]
    lines += [
        f"{name.replace('_', '-')}: {value}" for name, value in fields.items()
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """HTTP server on an ephemeral port; subclasses handle the requests."""

    address = ""

    async def start(self) -> None:
        """Start to listen and set the address."""
        listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle the requests of a connection one at a time."""
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                request = await read_request(reader)
                if not await self.handle(request, reader, writer):
                    break
        with contextlib.suppress(OSError):
            writer.close()

    async def handle(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Handle a request and return whether the connection stays open."""
        raise NotImplementedError


class Store(Server):
    """Tables of versioned rows with a feed of changes."""

    def __init__(self) -> None:
        """Initialize an empty store."""
        self.rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self.version = 0
        self.calls: list[str] = []
        self.is_unavailable = False
        # While True, calls get no answer. Calls that were open when it began
        # get none later either.
        self.is_silent = False
        self._silences = 0
        # Number of parts that responses are sent in, and the pause between
        # two parts.
        self.response_parts = 1
        self.part_interval_s = 0.0
        self._changed: asyncio.Event = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row; the value None deletes it."""
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
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Handle a call of the store's API."""
        path, _, query = request.target.partition("?")
        params = dict(urllib.parse.parse_qsl(query))
        self.calls.append(f"{path} {params.get('table', '')}".strip())
        silences = self._silences
        if self.is_unavailable:
            writer.write(encode_response(503))
            return True
        if path == "/v1/rows-tx":
            for row in json.loads(request.body)["puts"]:
                value = base64.b64decode(row["value"])
                self.put(row["table"], row["key"], json.loads(value))
            document: dict[str, object] = {"ver": self.version}
        elif path == "/v1/rows-get":
            document = self._read_rows(params["table"], 0, is_snapshot=True)
        else:
            document = await self._wait_for_changes(params)
        if self.is_silent or self._silences != silences:
            await asyncio.Event().wait()
        await self._send(
            encode_response(200, json.dumps(document).encode()), writer
        )
        return True

    def silence(self) -> None:
        """Give no answers until ``is_silent`` is reset."""
        self.is_silent = True
        self._silences += 1

    async def _send(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Send a response in parts, as over a slow link."""
        part_length = -(-len(data) // self.response_parts)
        for start in range(0, len(data), part_length):
            if start:
                await asyncio.sleep(self.part_interval_s)
            writer.write(data[start : start + part_length])
            await writer.drain()

    async def _wait_for_changes(
        self, params: dict[str, str]
    ) -> dict[str, object]:
        """Return changed rows, waiting for them up to the caller's limit."""
        after = int(params["after"])
        timeout_s = int(params["waitMs"]) / 1000
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not self._read_rows(params["table"], after)["rows"]:
                    await self._changed.wait()
        return self._read_rows(params["table"], after)

    def _read_rows(
        self, table: str, after: int, is_snapshot: bool = False
    ) -> dict[str, object]:
        """Return a table's rows newer than a version.

        A snapshot leaves out deleted rows.
        """
        rows = []
        for (name, key), (data, version) in sorted(self.rows.items()):
            if name != table or version <= after:
                continue
            row = {"table": name, "part": "", "key": key, "ver": version}
            if data is not None:
                row["value"] = base64.b64encode(data).decode()
            elif is_snapshot:
                continue
            else:
                row["deleted"] = True
            rows.append(row)
        return {"rows": rows, "hasMore": False, "ver": self.version}


@attrs.define
class Execution:
    """One execution of a request, with the server's identity at that time."""

    request_id: str
    server_id: str
    service: str
    # In monotonic time.
    started_at: float
    # The server ended the connection without a complete response.
    is_aborted: bool = False
    fields: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Arrival:
    """A request that reached a server, in monotonic time."""

    request_id: str
    server_id: str
    at: float
    # Until when the server asked for a pause as it turned the request away.
    paused_until: float | None = None


class BackendServer(Server):
    """A backend server whose ``mode`` selects a fault."""

    def __init__(self, server_id: str, service: str = SERVICE) -> None:
        """Initialize a server without faults."""
        self.server_id = server_id
        self.service = service
        self.mode = "good"
        self.delay_s = 0.0
        self.executions: list[Execution] = []
        self.bodies: list[bytes] = []
        self.cancelled_ids: list[str] = []
        self.load = "0,0,6,100"
        # Requests per second that responses state as the server's limit; an
        # empty text states none.
        self.rate_limit = ""
        self.states_limit_in_health = True
        # True if all responses say that the server leaves.
        self.leaves = False
        # Pause in seconds that refusals in the mode "shed" ask for, if any.
        self.pause = ""
        # Until when it turns all requests away, and asks for that pause.
        self.paused_until = 0.0
        # All requests but health checks.
        self.received: list[Arrival] = []
        # Returns the bytes sent in place of a response in the modes "altered,
        # close" and "altered, reset".
        self.alter_response: abc.Callable[[bytes], bytes] = bytes
        self._used_connections: set[asyncio.StreamWriter] = set()
        # Connection on which each request was refused.
        self._refused_on: dict[str, asyncio.StreamWriter] = {}

    @property
    def arrivals(self) -> list[float]:
        """Return the monotonic times of all requests but health checks."""
        return [arrival.at for arrival in self.received]

    @property
    def executed_ids(self) -> list[str]:
        """Return the IDs of the requests that ran on this server."""
        return [execution.request_id for execution in self.executions]

    def make_entry(
        self, address: str = "", **changes: object
    ) -> dict[str, object]:
        """Return the server's list entry with a changed address or status."""
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
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a health check, or execute or refuse a request."""
        if self.mode == "refusal again" and writer in self._used_connections:
            writer.write(encode_response(503, X_Not_Executed="1"))
        self._used_connections.add(writer)
        load = {"X_Instance_Load": self.load}
        leaving = {"Server_Leaving": "1"} if self.leaves else {}
        if request.target == "/health":
            if self.mode == "shed health":
                writer.write(encode_response(503, X_Not_Executed="1"))
                return True
            fields = {"X_Instance_Id": self.server_id, **load, **leaving}
            if self.rate_limit and self.states_limit_in_health:
                fields["Server_Limit"] = self.rate_limit
            response = encode_response(200, **fields)
            writer.write(response)
            if self.mode == "extra health":
                loop = asyncio.get_running_loop()
                loop.call_later(0.005, writer.write, response)
            return True
        request_id = request.fields["x-request-id"]
        if request.fields.get("x-target-instance") != self.server_id:
            writer.write(encode_response(421, X_Request_Id=request_id))
            return True
        now = time.monotonic()
        if now < self.paused_until:
            self.received.append(
                Arrival(request_id, self.server_id, now, self.paused_until)
            )
            fields = {
                "X_Request_Id": request_id,
                "X_Not_Executed": "1",
                "Retry_After": f"{self.paused_until - now:.3f}",
                **leaving,
            }
            writer.write(encode_response(503, **fields))
            return True
        self.received.append(Arrival(request_id, self.server_id, now))
        if self.mode == "shed":
            fields = {
                "X_Request_Id": request_id,
                "X_Not_Executed": "1",
                **leaving,
            }
            if self.pause:
                fields["Retry_After"] = self.pause
            writer.write(encode_response(503, **fields))
            return True
        if self.mode == "own refusal again":
            fields = {"X_Request_Id": request_id, "X_Not_Executed": "1"}
            refusal = encode_response(503, **fields)
            if request_id not in self._refused_on:
                self._refused_on[request_id] = writer
                writer.write(refusal)
                return True
            if self._refused_on[request_id] is writer:
                writer.write(refusal)
        execution = Execution(
            request_id,
            self.server_id,
            self.service,
            time.monotonic(),
            fields=request.fields,
        )
        self.executions.append(execution)
        self.bodies.append(request.body)
        if self.delay_s and await self._is_closed_during_delay(reader):
            self.cancelled_ids.append(request_id)
            return False
        execution.is_aborted = self.mode in ("reset", "cut") or (
            self.mode.startswith("altered")
        )
        return self._send_response(request, request_id, writer)

    async def _is_closed_during_delay(
        self, reader: asyncio.StreamReader
    ) -> bool:
        """Wait for the delay; return whether the connection closed."""
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(self.delay_s):
                return await reader.read(1) == b""
        return False

    def _send_response(
        self, request: Request, request_id: str, writer: asyncio.StreamWriter
    ) -> bool:
        """Send the response of the mode; return whether to keep open."""
        body = f"{self.server_id} {request.target}".encode()
        fields = {"X_Request_Id": request_id, "X_Server_Signature": "s.1"}
        if self.leaves:
            fields["Server_Leaving"] = "1"
        if self.rate_limit:
            fields["Server_Limit"] = self.rate_limit
        response = encode_response(200, body, **fields)
        if self.mode == "reset":
            writer.transport.abort()
            return False
        if self.mode == "cut":
            writer.write(response[:-3])
            return False
        if self.mode.startswith("altered"):
            if self.mode == "altered, reset":
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.write(self.alter_response(response))
            return False
        if self.mode == "no signature":
            writer.write(encode_response(200, body, X_Request_Id=request_id))
            return True
        if self.mode == "unframed":
            line = f"Content-Length: {len(body)}\r\n".encode()
            writer.write(response.replace(line, b""))
            return False
        writer.write(response)
        if self.mode == "extra":
            loop = asyncio.get_running_loop()
            loop.call_later(0.005, writer.write, response)
        return True


def configuration(version: int, *names: str) -> dict[str, object]:
    """Return a configuration with a route of each kind and named routes."""
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
    """A store and backend servers whose event loop runs on its own thread."""

    def __init__(self, folder: pathlib.Path, *server_ids: str) -> None:
        """Initialize the stand-ins and start them on a new thread."""
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
            self.store_put("servers", server.server_id, server.make_entry())

    def call(self, function: abc.Callable[[], object]) -> object:
        """Run a function on the stand-ins' event loop; return its result."""

        async def run() -> object:
            result = function()
            if asyncio.iscoroutine(result):
                return await result
            return result

        future = asyncio.run_coroutine_threadsafe(run(), self._loop)
        return future.result(10)

    def store_put(self, table: str, key: str, value: object) -> None:
        """Write a row of the store; the value None deletes it."""
        self.call(lambda: self.store.put(table, key, value))

    def close(self) -> None:
        """Stop the stand-ins."""
        asyncio.run_coroutine_threadsafe(
            _cancel_other_tasks(), self._loop
        ).result(10)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _make_store(self) -> Store:
        """Start the store."""
        store = Store()
        await store.start()
        return store

    async def _make_server(self, name: str) -> BackendServer:
        """Start a backend server."""
        server = BackendServer(name)
        await server.start()
        return server

    def start_daemon(
        self,
        name: str,
        store: str = "",
        program: pathlib.Path = PROGRAM,
        settings: str = SETTINGS,
        **variables: str,
    ) -> subprocess.Popen[bytes]:
        """Start a daemon process as the platform does."""
        path = self._folder / f"{name}.conf"
        store = store or self.store.address
        path.write_text(settings.format(store=store, name=name))
        return subprocess.Popen(
            [sys.executable, str(program)],
            env={"TARRAGONLIFT_SETTINGS": str(path), "PATH": "", **variables},
            stdout=subprocess.PIPE,
            cwd=ROOT,
        )


class DaemonStage(Stage):
    """A stage with one daemon."""

    def __init__(self, folder: pathlib.Path, *server_ids: str) -> None:
        """Initialize the stage and start its daemon."""
        super().__init__(folder, *server_ids)
        self.log_records: list[dict[str, object]] = []
        self.daemon = self.start_daemon("entry-1")
        self.listen_address = ""
        self.readiness_address = ""

    def wait_for_record(self, **fields: object) -> dict[str, object]:
        """Read the daemon's log up to a record with these fields."""
        assert self.daemon.stdout is not None
        for line in self.daemon.stdout:
            record = json.loads(line)
            self.log_records.append(record)
            if fields.items() <= record.items():
                return record
        raise AssertionError(
            f"daemon log has no record with {fields}: {self.log_records}"
        )

    def wait_until_ready(self) -> None:
        """Wait until the daemon listens and has loaded the server list."""
        start = self.wait_for_record(about="start")
        self.listen_address = str(start["listen"])
        self.readiness_address = str(start["ready"])
        for _ in self.servers:
            self.wait_for_record(change="backend-listed")

    def replace_setting(self, old: str, new: str) -> None:
        """Replace a line in the settings file of the daemon."""
        path = self._folder / "entry-1.conf"
        path.write_text(path.read_text().replace(old, new))

    def close(self) -> None:
        """Kill the daemon and stop the stand-ins."""
        self.daemon.send_signal(signal.SIGKILL)
        self.daemon.wait()
        assert self.daemon.stdout is not None
        self.daemon.stdout.close()
        super().close()


def parse_status(received: bytes) -> int:
    """Return the status of the first response, or 0 if there is none."""
    match = re.match(rb"HTTP/1.1 (\d+)", received)
    return int(match.group(1)) if match else 0


async def _cancel_other_tasks() -> None:
    """Cancel all tasks of the event loop except the current one."""
    current = asyncio.current_task()
    others = [task for task in asyncio.all_tasks() if task is not current]
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
