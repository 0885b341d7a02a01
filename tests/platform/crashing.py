"""Backend servers that a request can crash, and daemons in front of them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import pathlib
import socket

from tests.platform import common
from tests.platform import joining_stage
from tests.platform import standin

# Requests with this end of their path crash the server that runs them.
CRASH_SUFFIX = "/crash"
# Time in seconds until a server that crashed is back, and for the bytes that
# it sent last to arrive before the connection is reset.
RESTART_S = 0.3
FLUSH_S = 0.02
BEFORE_ANSWER = "before the answer"
BODY = b"x" * 4000


def make_fragment(part: str, request_id: str) -> bytes:
    """Return what a server sends before it crashes in a part of an answer."""
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"X-Request-Id: {request_id}\r\nX-Server-Signature: s.1\r\n"
    ).encode()
    fragments = {
        BEFORE_ANSWER: b"",
        "in the head": head,
        "in a body with a length": (
            head + b"Content-Length: 9000\r\n\r\n" + BODY
        ),
        "in a body in chunks": (
            head
            + b"Transfer-Encoding: chunked\r\n\r\nfa0\r\n"
            + BODY
            + b"\r\n"
        ),
        "in a body without a length": head + b"\r\n" + BODY,
        "in a long body": (
            head + b"Content-Length: 900000\r\n\r\n" + 100 * BODY
        ),
    }
    return fragments[part]


class CrashingServer(standin.BackendServer):
    """A server that ends on certain requests and is back soon after."""

    def __init__(self, server_id: str, store: standin.Store) -> None:
        """Initialize a server that sends nothing before it crashes."""
        super().__init__(server_id)
        self.part = BEFORE_ANSWER
        # Time in seconds from the begin of a request to the crash.
        self.crash_after_s = 0.0
        self.crashes = 0
        self.is_up = False
        self._store = store
        self._born = itertools.count(1)
        self._current_born = 0
        self._port = 0
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start a new process of the server at its address."""
        self._current_born = next(self._born)
        self._listener = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port
        )
        host, self._port = self._listener.sockets[0].getsockname()[:2]
        self.address = f"{host}:{self._port}"
        self.is_up = True
        if self._current_born > 1:
            self._store.put("servers", self.server_id, self.make_entry())

    def make_entry(
        self, address: str = "", **changes: object
    ) -> dict[str, object]:
        """Return the list entry of the current process."""
        entry = super().make_entry(address, **changes)
        entry["born"] = self._current_born
        return entry

    def crash(self) -> None:
        """End the process; all of its connections are reset."""
        if not self.is_up:
            return
        self.crashes += 1
        self.is_up = False
        assert self._listener is not None
        self._listener.close()
        for writer in list(self._writers):
            with contextlib.suppress(OSError):
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, standin.NO_LINGER
                )
            writer.transport.abort()
        asyncio.get_running_loop().call_later(
            RESTART_S, lambda: asyncio.ensure_future(self.start())
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle the requests of a connection one at a time."""
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def handle(
        self,
        request: standin.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Crash on certain requests; handle others like any server."""
        if not request.target.endswith(CRASH_SUFFIX):
            return await super().handle(request, reader, writer)
        request_id = request.fields["x-request-id"]
        self.executions.append(
            standin.Execution(
                request_id,
                self.server_id,
                self.service,
                asyncio.get_running_loop().time(),
                is_aborted=True,
            )
        )
        await asyncio.sleep(self.crash_after_s)
        writer.write(make_fragment(self.part, request_id))
        await asyncio.sleep(FLUSH_S)
        self.crash()
        return False


class CrashingStage(joining_stage.JoiningStage):
    """Daemons in front of servers that requests can crash."""

    servers: list[CrashingServer]

    def __init__(self, folder: pathlib.Path, *server_ids: str) -> None:
        """Initialize the stand-ins without daemons."""
        super().__init__(folder, *server_ids)
        # Addresses by host.
        self.addresses: dict[str, str] = {}
        self._numbers = itertools.count(1)

    async def _make_server(self, name: str) -> CrashingServer:
        """Start a backend server."""
        server = CrashingServer(name, self.store)
        await server.start()
        return server

    def serve_on(self, host: str) -> None:
        """Start the daemon of a host and wait until it serves."""
        daemon = self.start_on(host)
        start = joining_stage.wait_for_record(daemon, about="start")
        self.addresses[host] = str(start["listen"])
        listed = [
            {"change": "backend-listed", "server": server.server_id}
            for server in self.servers
        ]
        joining_stage.wait_for_records(daemon, *listed)

    def set_crash(self, part: str, after_s: float = 0.0) -> None:
        """Set in which part of their answers all servers crash, and when."""
        for server in self.servers:
            server.part = part
            server.crash_after_s = after_s

    def send(
        self, host: str, path: str, leave_after_s: float | None = None
    ) -> int:
        """Send a request; return its status, 0 without a whole head.

        The caller closes its connection after ``leave_after_s`` seconds.
        """
        method = "POST" if path.startswith("/order") else "GET"
        body = b"order" if method == "POST" else b""
        name = f"r-{next(self._numbers)}"
        with common.connect(self.addresses[host]) as sock:
            if leave_after_s is not None:
                sock.settimeout(leave_after_s)
            sock.sendall(common.encode_request(path, name, method, body))
            try:
                return standin.parse_status(common.read_response(sock))
            except (TimeoutError, ConnectionResetError):
                return 0

    def count_executed(self) -> int:
        """Return how many requests have reached a server."""
        return sum(len(server.executions) for server in self.servers)
