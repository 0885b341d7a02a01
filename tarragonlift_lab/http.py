"""A minimal asyncio HTTP/1.1 server and client for the lab."""

from __future__ import annotations

import asyncio
from collections import abc
import hashlib
from typing import Any

import attrs
import httptools

# Maximum size of a request body kept in memory and of the data that a client
# buffers before it waits for the socket.
MAX_BUFFERED_BYTES = 1 << 20


@attrs.define
class Request:
    """A received request; parts beyond the body limit are only digested."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""
    length: int = 0
    digest: Any = attrs.field(factory=hashlib.sha256)


@attrs.define
class Response:
    """The response of a stand-in."""

    status: int = 200
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    chunked: bool = False


class DropConnection(Exception):
    """Signals that the connection is aborted without a response."""


class TruncateResponse(Exception):
    """Signals that the connection is closed after a part of the body."""

    def __init__(self, response: Response, sent_bytes: int) -> None:
        """Initialize the exception; ``sent_bytes`` counts the body only."""
        super().__init__()
        self.response = response
        self.sent_bytes = sent_bytes


Handler = abc.Callable[[Request], abc.Awaitable[Response]]


class ServerProtocol(asyncio.Protocol):
    """A server connection of a stand-in."""

    def __init__(self, handler: Handler, connections: set[Any]) -> None:
        """Initialize the connection; ``connections`` holds the open ones."""
        self._handler = handler
        self._connections = connections
        self._transport: Any = None
        self._parser = httptools.HttpRequestParser(self)
        self._request: Request | None = None
        self._headers: dict[str, str] = {}
        self._url = b""
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: Any) -> None:
        """Keep the connection."""
        self._transport = transport
        self._connections.add(transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the requests of the closed connection."""
        self._connections.discard(self._transport)
        for task in self._tasks:
            task.cancel()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; abort the connection on invalid data."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._headers = {}
        self._url = b""

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._headers[name.decode().lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Create the request; send 100 Continue if the client expects it."""
        method = self._parser.get_method().decode()
        self._request = Request(method, self._url.decode(), self._headers)
        if self._headers.get("expect", "").lower() == "100-continue":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Collect and digest a part of the body."""
        request = self._request
        if request is None:
            return
        request.length += len(data)
        request.digest.update(data)
        if request.length <= MAX_BUFFERED_BYTES:
            request.body += data

    def on_message_complete(self) -> None:
        """Start a task that handles the request."""
        request, self._request = self._request, None
        if request is None:
            return
        task = asyncio.ensure_future(self._respond(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _respond(self, request: Request) -> None:
        """Call the handler and write its response."""
        try:
            response = await self._handler(request)
        except DropConnection:
            self._transport.abort()
            return
        except TruncateResponse as truncation:
            data = encode_response(truncation.response, request.method)
            length = len(truncation.response.body)
            self._transport.write(
                data[: len(data) - length + truncation.sent_bytes]
            )
            self._transport.close()
            return
        self._transport.write(encode_response(response, request.method))


def encode_response(response: Response, method: str) -> bytes:
    """Encode a response to a request with this method."""
    lines = [f"HTTP/1.1 {response.status} Status"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    body = response.body
    if response.chunked:
        lines.append("Transfer-Encoding: chunked")
        if body:
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        else:
            body = b"0\r\n\r\n"
    elif response.status != 304:
        lines.append(f"Content-Length: {len(body)}")
    if method == "HEAD" or response.status == 304:
        body = b""
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


@attrs.define
class RunningServer:
    """A running server with its open connections."""

    server: asyncio.Server
    connections: set[Any]

    @property
    def address(self) -> str:
        """Return the listening address as ``host:port``."""
        host, port = self.server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Close the listener and abort all connections."""
        self.server.close()
        for transport in list(self.connections):
            transport.abort()


async def serve(handler: Handler, port: int = 0) -> RunningServer:
    """Start a server on loopback; port 0 lets the kernel choose one."""
    connections: set[Any] = set()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: ServerProtocol(handler, connections), "127.0.0.1", port
    )
    return RunningServer(server, connections)


@attrs.define
class ClientResponse:
    """A response as a client received it."""

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    is_complete: bool = False


class ClientProtocol(asyncio.Protocol):
    """A client connection that carries one request at a time."""

    def __init__(self) -> None:
        """Initialize the protocol without a connection."""
        self._transport: Any = None
        self._parser = httptools.HttpResponseParser(self)
        self._response = ClientResponse()
        self._waiter: asyncio.Future[ClientResponse] | None = None
        self._keep_alive = True
        self.is_lost = False
        # 2xx responses received while no request was pending.
        self.unsolicited_successes = 0

    def connection_made(self, transport: Any) -> None:
        """Keep the connection."""
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Finish the pending request with the partial response."""
        self.is_lost = True
        self._finish_request()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; abort the connection on invalid data."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()

    async def request(
        self, data: bytes, body: abc.Iterable[bytes] = ()
    ) -> ClientResponse:
        """Send a request and return its response.

        The response is incomplete if the connection is lost.
        """
        self._response = ClientResponse()
        if self.is_lost:
            return self._response
        self._keep_alive = True
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        waiter = self._waiter
        self._transport.write(data)
        for part in body:
            if self.is_lost:
                break
            self._transport.write(part)
            while (
                self._transport.get_write_buffer_size() > MAX_BUFFERED_BYTES
                and not self.is_lost
            ):
                await asyncio.sleep(0.001)
        return await waiter

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection can carry another request."""
        return self._keep_alive and not self.is_lost

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        text = value.decode("latin-1")
        self._response.headers[name.decode().lower()] = text

    def on_headers_complete(self) -> None:
        """Record the status; count a response that no request awaits."""
        self._response.status = self._parser.get_status_code()
        if self._waiter is None and 200 <= self._response.status < 300:
            self.unsolicited_successes += 1

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self._response.body += data

    def on_message_complete(self) -> None:
        """Complete the response; interim (1xx) responses are skipped."""
        if self._response.status < 200:
            self._response = ClientResponse()
            return
        self._response.is_complete = True
        if self._response.headers.get("connection", "").lower() == "close":
            self._keep_alive = False
        self._finish_request()

    def _finish_request(self) -> None:
        """Resolve the pending request."""
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(self._response)


class Client:
    """A client that keeps idle connections for reuse."""

    def __init__(self) -> None:
        """Initialize the client without connections."""
        self._idle: dict[str, list[ClientProtocol]] = {}

    async def request(
        self,
        address: str,
        data: bytes,
        body: abc.Iterable[bytes] = (),
    ) -> ClientResponse:
        """Send a request; status 0 means that no response was received."""
        protocol = await self._acquire(address)
        if protocol is None:
            return ClientResponse()
        try:
            response = await protocol.request(data, body)
        except asyncio.CancelledError:
            protocol.close()
            raise
        if protocol.is_reusable:
            self._idle.setdefault(address, []).append(protocol)
        else:
            protocol.close()
        return response

    def close(self) -> None:
        """Close all idle connections."""
        for protocols in self._idle.values():
            for protocol in protocols:
                protocol.close()
        self._idle.clear()

    async def _acquire(self, address: str) -> ClientProtocol | None:
        """Return an idle or new connection, None if connecting fails."""
        idle = self._idle.get(address, [])
        while idle:
            protocol = idle.pop()
            if protocol.is_reusable:
                return protocol
        try:
            return await connect(address)
        except OSError:
            return None


async def connect(address: str) -> ClientProtocol:
    """Open a connection; raises OSError if that fails."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_connection(ClientProtocol, host, int(port))
    return protocol


def encode_request(
    method: str,
    path: str,
    host: str = "lab",
    headers: abc.Mapping[str, str] | None = None,
    body: bytes = b"",
    length: int | None = None,
) -> bytes:
    """Encode a request; ``length`` announces a body that is sent later."""
    size = len(body) if length is None else length
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if size or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {size}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
