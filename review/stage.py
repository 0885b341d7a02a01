"""Stand-ins of the platform and its servers, and the processes of a case.

Everything runs on loopback addresses. The daemons are separate processes,
started with the command of the deploy file; the store, the servers, the
clients and the proxies run on the event loop of the case.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shlex
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "shop.example"
RESET = struct.pack("ii", 1, 0)
HEARTBEAT_S = 1.5
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

SETTINGS = """\
nodeName={name}
role=entry
machineClass=front
serves=front,control
ip={ip}
zone={zone}
region=bg-south
{zones}
bind.front={ip}:{front}
bind.ready={ip}:{ready}
bind.control={ip}:{control}
internalPorts={internal},{internal}
seedNodes={seeds}
bootstrap={bootstrap}
countsAsLoss=false
limits.cpuShare=0.86
limits.cpuCores=1
limits.memoryMb=300
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discoverySource=platform
entryKind=vip
heartbeat=1500ms
contracts=base,drain,config,cost,retry,recover,health,places,platform
faultTolerance.machines=2
faultTolerance.zones=1
faultTolerance.regions=0
bounds.seedStaleness=3s
bounds.addrReuse=2s
bounds.contact=3000ms
bounds.ack=4000ms
bounds.catchUp=4s
bounds.drain=2000ms
bounds.grace=6s
bounds.lossSlack=200ms
bounds.configApply=2000ms
bounds.downgradeSlack=250ms
bounds.maxSkew=5000ms
bounds.budgetRatio=0.2
bounds.budgetWindow=10s
bounds.budgetSlack=62
bounds.coldOver=1.5
bounds.coldSlack=5
bounds.evacuate=5000ms
bounds.recover=15s
bounds.probesPerS=60
platform.address={store}
platform.form=table
platform.writesPerS=400
platform.readsPerS=2000
platform.txn=8ms
platform.partWritesPerS=150
platform.rowBytes=65536
platform.across=false
platform.history=20s
platform.blobBytes=8388608
platform.blob=25ms
platform.blobMbPerS=80.0
"""


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run, with seconds of the case."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:9.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Fragment:
    """The beginning of an answer, after which the server ends."""

    def __init__(self, data: bytes, on_sent) -> None:
        self.data = data
        self.on_sent = on_sent


class HttpServer:
    """A server of HTTP/1.1 requests, one at a time on a connection."""

    def __init__(self) -> None:
        self.address = ""
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int = 0) -> None:
        """Listen and set the address."""
        self._listener = await asyncio.start_server(self._serve, host, port)
        name = self._listener.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, target, fields = parse_head(head)
                length = int(fields.get("content-length", "0"))
                body = await reader.readexactly(length)
                answer = await self._answer_unless_closed(
                    reader, method, target, fields, body
                )
                if answer is None:
                    reset(writer)
                    return
                if isinstance(answer, Fragment):
                    writer.write(answer.data)
                    await writer.drain()
                    await asyncio.sleep(0.01)
                    answer.on_sent()
                    reset(writer)
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def _answer_unless_closed(self, reader, *request):
        """Return the answer; stop working on it if the connection closes."""
        work = asyncio.ensure_future(self.answer(*request))
        closed = asyncio.ensure_future(_wait_for_end(reader))
        try:
            await asyncio.wait(
                {work, closed}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                raise EOFError
            return work.result()
        finally:
            closed.cancel()
            work.cancel()

    async def answer(self, method, target, fields, body):
        """Return the bytes of the answer; None resets the connection."""
        raise NotImplementedError


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    """Return when the peer has closed; nothing else is read."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


class Store(HttpServer):
    """The platform's store: rows with versions and a feed of changes."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 0
        self.rows: dict[tuple[str, str, str], tuple[bytes | None, int]] = {}
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: object, part: str = "") -> None:
        """Write a row; the value None removes it."""
        data = None if value is None else json.dumps(value).encode()
        self.put_bytes(table, part, key, data)

    def put_bytes(self, table, part, key, data) -> None:
        """Write the bytes of a row."""
        self.version += 1
        self.rows[(table, part, key)] = (data, self.version)
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, method, target, fields, body):
        """Answer a call of the store's interface."""
        path, _, query = target.partition("?")
        params = dict(urllib.parse.parse_qsl(query))
        await asyncio.sleep(0.004)
        if path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        if path == "/v1/rows-get":
            return self._get(params)
        if path == "/v1/rows-feed":
            return await self._feed(params)
        return encode(404, b"{}")

    def _transact(self, call):
        for row in call.get("expectedRev", ()):
            key = (row["table"], row.get("part", ""), row["key"])
            data, version = self.rows.get(key, (None, 0))
            if (version if data is not None else 0) != row["ver"]:
                return self._reply(412, {"rows": []})
        for row in call.get("puts", ()):
            data = base64.b64decode(row["value"])
            self.put_bytes(row["table"], row.get("part", ""), row["key"], data)
        for row in call.get("remove", ()):
            key = row["key"]
            self.put_bytes(row["table"], row.get("part", ""), key, None)
        return self._reply(200, {})

    def _get(self, params):
        limit = min(500, int(params.get("maxItems", "500")))
        found = []
        for (table, part, key), (data, version) in sorted(self.rows.items()):
            if table != params["table"] or part != params.get("part", ""):
                continue
            if key < params.get("from", "") or data is None:
                continue
            if "to" in params and key >= params["to"]:
                continue
            found.append(_row(table, part, key, data, version))
        more = len(found) > limit
        return self._reply(200, {"rows": found[:limit], "hasMore": more})

    async def _feed(self, params):
        after = int(params["after"])
        ends_at = time.monotonic() + int(params.get("waitMs", "0")) / 1000
        while True:
            rows = [
                _row(table, part, key, data, version)
                for (table, part, key), (data, version) in self.rows.items()
                if table == params["table"] and version > after
            ]
            left = ends_at - time.monotonic()
            if rows or left <= 0:
                rows.sort(key=lambda row: row["ver"])
                return self._reply(200, {"rows": rows})
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _reply(self, status, document):
        document = {
            **document,
            "ver": self.version,
            "serverTime": f"{int(time.monotonic() * 1000)}ms",
        }
        return encode(
            status,
            json.dumps(document).encode(),
            **{"Content-Type": "application/json"},
        )


class Instance(HttpServer):
    """A sound server: it queues, sheds, tells its load and reports itself."""

    SLOTS = 6
    QUEUE = 24

    def __init__(self, store, record, name, service, zone) -> None:
        super().__init__()
        self._store = store
        self._record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = 0.1
        self.born = 0
        self.is_up = False
        # Ids, times and daemons of the requests that arrived.
        self.arrivals: list[tuple[float, str]] = []
        # Ids of the requests that ran to their end.
        self.ran: set[str] = set()
        # A request with this path crashes the server after the delay.
        self.poison_path = ""
        self.poison_after_s = 0.0
        # True if it has then sent the beginning of its answer.
        self.poison_answers = False
        self.crashes = 0
        self._seq = 0
        self._running = 0
        self._slots: asyncio.Semaphore | None = None
        self._beats: asyncio.Task | None = None
        self._host_port: tuple[str, int] = ("127.0.0.1", 0)

    async def start(self) -> None:
        """Start the server at its address and register it."""
        await self.listen(*self._host_port)
        host, _, port = self.address.rpartition(":")
        self._host_port = (host, int(port))
        self._slots = asyncio.Semaphore(self.SLOTS)
        self._running = 0
        self._seq = 0
        self.born = int(time.time() * 1000)
        self.is_up = True
        self._beat()
        self._beats = asyncio.ensure_future(self._beat_regularly())

    def end(self) -> None:
        """End the process: reset its connections and send no heartbeats."""
        self.is_up = False
        self.stop_beats()
        self.stop()

    def stop_beats(self) -> None:
        """Send no further heartbeats."""
        if self._beats is not None:
            self._beats.cancel()

    def remove_entry(self) -> None:
        """Remove the server's entry; it serves on."""
        self.stop_beats()
        self._store.put("servers", self.name, None)

    def crash(self) -> None:
        """End without notice; the process is back after two seconds."""
        if not self.is_up:
            return
        self.crashes += 1
        self._record.write(f"server {self.name} crashes")
        self.end()
        asyncio.get_running_loop().call_later(
            2.0, lambda: asyncio.ensure_future(self.start())
        )

    def _beat(self) -> None:
        self._seq += 1
        self._store.put(
            "servers",
            self.name,
            {
                "address": self.address,
                "serverInfo": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "slots": self.SLOTS,
                },
                "status": {
                    "state": "ready",
                    "seq": self._seq,
                    "warmupLeft": "0ms",
                },
                "born": self.born,
            },
        )

    async def _beat_regularly(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._beat()

    async def answer(self, method, target, fields, body):
        """Answer a health check, or run or reject a request."""
        load = f"{min(self._running, self.SLOTS)}," + (
            f"{max(0, self._running - self.SLOTS)},{self.SLOTS},100"
        )
        common = {"X-Instance-Load": load, "Keep-Alive": "timeout=10"}
        if target == "/health":
            return encode(200, b"", **common, **{"X-Instance-Id": self.name})
        request_id = fields.get("x-request-id", "")
        common["X-Request-Id"] = request_id
        if fields.get("x-target-instance", self.name) != self.name:
            return encode(421, b"", **common, **{"X-Not-Executed": "1"})
        if self._running >= self.SLOTS + self.QUEUE:
            return encode(503, b"", **common, **{"X-Not-Executed": "1"})
        self.arrivals.append((time.monotonic(), request_id))
        self._running += 1
        try:
            async with self._slots:
                self._record.write(f"server {self.name} runs {request_id}")
                if self.poison_path and target == self.poison_path:
                    await asyncio.sleep(self.poison_after_s)
                    if self.poison_answers:
                        signature = {"X-Server-Signature": f"s.{request_id}"}
                        whole = encode(200, b"x" * 4000, **common, **signature)
                        return Fragment(whole[:-1000], self.crash)
                    self.crash()
                    return None
                await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        if not self.is_up:
            return None
        self.ran.add(request_id)
        text = f"{self.name} {request_id}".encode()
        return encode(
            200, text, **common, **{"X-Server-Signature": f"s.{request_id}"}
        )


class StoreLink:
    """The path between one daemon and the store, which can be cut.

    While it is cut, nothing passes in either direction; what was held up
    passes once it has healed, unless its sender has closed meanwhile.
    """

    def __init__(self, store: Store, host: str) -> None:
        self._store = store
        self._host = host
        self.address = ""
        # Called with path and table of each call that passes.
        self.on_call = lambda path, table: None
        # While this is True the store does not answer the daemon. A connection
        # on which a call arrives or an answer is due then delivers nothing
        # further.
        self.is_turned_away = False
        self._open = asyncio.Event()
        self._open.set()
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen for the daemon's connections."""
        self._listener = await asyncio.start_server(self._serve, self._host, 0)
        name = self._listener.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"

    def cut(self) -> None:
        """Let nothing pass."""
        self._open.clear()

    def heal(self) -> None:
        """Let everything pass again."""
        self._open.set()

    async def _serve(self, reader, writer) -> None:
        await self._open.wait()
        host, _, port = self._store.address.rpartition(":")
        try:
            to_store = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        mute = asyncio.Event()
        await asyncio.gather(
            self._pass_on(reader, to_store[1], mute, is_call=True),
            self._pass_on(to_store[0], writer, mute),
            return_exceptions=True,
        )

    async def _pass_on(self, reader, writer, mute, is_call=False) -> None:
        try:
            while data := await reader.read(65536):
                if is_call:
                    self._report(data)
                await self._open.wait()
                if self.is_turned_away:
                    mute.set()
                if mute.is_set():
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            with contextlib.suppress(OSError):
                writer.close()

    def _report(self, data: bytes) -> None:
        """Report the call that begins in the data."""
        words = data.split(b" ", 2)
        if len(words) == 3 and words[0] in (b"GET", b"POST"):
            path, _, query = words[1].decode("latin-1").partition("?")
            table = dict(urllib.parse.parse_qsl(query)).get("table", "")
            self.on_call(path, table)


class Daemon:
    """One daemon, run with the command of the deploy file."""

    def __init__(self, name, zone, ip, folder, record) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.front = ""
        self.ready = ""
        self.started_at = 0.0
        self.stopped_at = -1e9
        # True from a SIGTERM until the next start.
        self.is_stopping = False
        self._record = record
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    def write_settings(self, **values: object) -> None:
        """Write the settings file."""
        text = SETTINGS.format(
            name=self.name, zone=self.zone, ip=self.ip, **values
        )
        self._settings.write_text(text, "utf-8")
        self.front = f"{self.ip}:{values['front']}"
        self.ready = f"{self.ip}:{values['ready']}"

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["TARRAGONLIFT_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                shlex.split(role["run"]),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.started_at = time.monotonic()
        self.is_stopping = False
        self._record.write(f"daemon {self.name} starts")

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.is_running:
            self._record.write(
                f"daemon {self.name} gets {signal.Signals(number).name}"
            )
            self._process.send_signal(number)
            self.is_stopping |= number == signal.SIGTERM

    async def wait_for_end(self, seconds: float) -> None:
        """Wait until the process has ended; kill it after the time."""
        ends_at = time.monotonic() + seconds
        while self.is_running and time.monotonic() < ends_at:
            await asyncio.sleep(0.02)
        self.kill()

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self.stopped_at = time.monotonic()

    def log_text(self) -> str:
        """Return what the process has written."""
        return self._log.read_text("utf-8", "replace")

    def is_in_touch(self, now: float, contact_s: float = 3.0) -> bool:
        """Return whether the process ran undisturbed for the time."""
        return self.is_running and now - self.started_at >= contact_s


class Stage:
    """A small deployment: a store, servers and daemons in three zones."""

    ZONES = ("plovdiv-a", "plovdiv-b", "stara-c")

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        self.record = record
        self.folder = folder
        self.store = Store()
        self.links: dict[str, StoreLink] = {}
        self.daemons: list[Daemon] = []
        self.instances: list[Instance] = []
        self._values: dict[str, object] = {}
        self._requests = 0

    async def start(self, daemons_per_zone=1, instances_per_zone=2) -> None:
        """Start the deployment with its first manifest and wait for it."""
        await self.store.listen("127.0.0.1")
        for zone in self.ZONES:
            for number in range(1, instances_per_zone + 1):
                await self.add_instance(f"i-{zone}-{number}", zone)
        names = [
            (f"front-{zone}-{number}", zone)
            for zone in self.ZONES
            for number in range(1, daemons_per_zone + 1)
        ]
        ips = [f"127.0.1.{10 + place}" for place in range(len(names))]
        front, ready, control, internal = free_ports(ips, 4)
        self._values = {
            "zones": "\n".join(f"zones.{z}=bg-south" for z in self.ZONES),
            "front": front,
            "ready": ready,
            "control": control,
            "internal": internal,
            "seeds": ",".join(f"{ip}:{control}" for ip in ips[:3]),
        }
        for (name, zone), ip in zip(names, ips):
            link = StoreLink(self.store, "127.0.0.1")
            await link.start()
            self.links[name] = link
            daemon = Daemon(name, zone, ip, self.folder, self.record)
            self.daemons.append(daemon)
            self.write_settings(daemon, bootstrap="true")
            daemon.start()
        await self.wait_until_ready(25.0)
        for daemon in self.daemons:
            self.write_settings(daemon, bootstrap="false")

    def write_settings(self, daemon: Daemon, bootstrap: str) -> None:
        """Write a daemon's settings."""
        daemon.write_settings(
            **self._values,
            bootstrap=bootstrap,
            store=self.links[daemon.name].address,
        )

    async def add_instance(self, name, zone, service="orders") -> Instance:
        """Start one more server."""
        instance = Instance(self.store, self.record, name, service, zone)
        await instance.start()
        self.instances.append(instance)
        return instance

    async def wait_until_ready(self, seconds: float) -> None:
        """Wait until all daemons say that they are ready."""
        ends_at = time.monotonic() + seconds
        waiting = list(self.daemons)
        while waiting:
            if time.monotonic() > ends_at:
                names = [daemon.name for daemon in waiting]
                raise CaseError(f"not ready in time: {names}")
            await asyncio.sleep(0.1)
            waiting = [d for d in waiting if not await is_ready(d)]

    @property
    def upcoming_id(self) -> str:
        """Return the identifier that the next request gets."""
        return f"r{self._requests + 1:06d}"

    def next_id(self) -> str:
        """Return the identifier of a new request."""
        self._requests += 1
        return f"r{self._requests:06d}"

    def close(self) -> None:
        """End all processes and servers."""
        for daemon in self.daemons:
            daemon.kill()
        for instance in self.instances:
            instance.end()
        self.store.stop()


async def is_ready(daemon: Daemon) -> bool:
    """Return whether the daemon's status check answers 200."""
    request = b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
    status, _ = await exchange(daemon.ready, request, 1.0)
    return status == 200


async def send_request(
    stage: Stage,
    daemon: Daemon,
    path: str,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 2000,
    leave_after_s: float | None = None,
) -> tuple[str, int, bytes]:
    """Send a client's request; return its id, status and answer.

    The status is 0 if the connection ended without a complete answer, and -1
    if the client left.
    """
    request_id = stage.next_id()
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Request-Deadline: {deadline_ms}",
    ]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    data = "\r\n".join([*lines, "", ""]).encode() + body
    stage.record.write(
        f"client sends {request_id} {method} {path} to {daemon.name}"
    )
    timeout_s = deadline_ms / 1000 + 1.0
    if leave_after_s is not None:
        timeout_s = leave_after_s
    status, answer = await exchange(daemon.front, data, timeout_s)
    if status == -1 and leave_after_s is None:
        status = 0
    said = {0: "no answer", -1: "client left"}.get(status, str(status))
    stage.record.write(f"client gets {request_id} {said}")
    return request_id, status, answer


async def exchange(
    address: str, data: bytes, timeout_s: float
) -> tuple[int, bytes]:
    """Send bytes on a new connection; return the status and the answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            status_line = head.split(b"\r\n", 1)[0].split(b" ")
            length = 0
            for line in head.split(b"\r\n")[1:]:
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            return int(status_line[1]), await reader.readexactly(length)
    except TimeoutError:
        return -1, b""
    except (OSError, EOFError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


def manifest(version: int, routes: dict, services: dict) -> dict:
    """Return a manifest."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
    }


def route(
    prefix, kind, service="orders", timeout="1200ms", attempts=2
) -> dict:
    """Return a route of a manifest."""
    return {
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout": timeout,
        "targetLatency": "300ms",
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
    }


def service() -> dict:
    """Return a service of a manifest."""
    return {
        "healthPath": "/health",
        "maxConns": 260,
        "protocol": "h1",
        "tls": False,
        "warmup": "3s",
        "warmupPerS": 18.0,
    }


def parse_head(head: bytes) -> tuple[str, str, dict[str, str]]:
    """Return method, target and fields of a request head."""
    request_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    method, target, _ = request_line.split(" ")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return method, target, fields


def encode(status: int, body: bytes, **fields: str) -> bytes:
    """Return a complete response."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


def free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free on all addresses, for TCP and UDP."""
    ports: list[int] = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind((ips[0], 0))
            port = probe.getsockname()[1]
        if port not in ports and all(_is_free(ip, port) for ip in ips):
            ports.append(port)
    return ports


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def _row(table, part, key, data, version) -> dict:
    row = {"table": table, "part": part, "key": key, "ver": version}
    if data is None:
        row["deleted"] = True
    else:
        row["value"] = base64.b64encode(data).decode()
    return row


def run_case(folder: pathlib.Path, play) -> int:
    """Play a case; return its exit status.

    ``play`` takes the stage and whether the disruption happens, and returns
    whether the rule was broken.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    # A case that is stopped ends its processes, too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)

    async def main() -> bool:
        with tempfile.TemporaryDirectory() as name:
            stage = Stage(record, pathlib.Path(name))
            try:
                async with asyncio.timeout(115):
                    return await play(stage, has_trouble)
            finally:
                stage.close()
                kept = os.environ.get("KEEP_LOGS")
                if kept:
                    for daemon in stage.daemons:
                        path = pathlib.Path(kept) / f"{daemon.name}.log"
                        path.write_text(daemon.log_text(), "utf-8")

    try:
        is_broken = asyncio.run(main())
    except (Exception, KeyboardInterrupt) as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return EXIT_NOT_RUN
    finally:
        record.close()
    return EXIT_BROKEN if is_broken else EXIT_HELD
