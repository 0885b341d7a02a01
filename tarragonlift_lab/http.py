"""A small HTTP/1.1 server and client for stand-ins, on asyncio."""

from __future__ import annotations

import asyncio
from collections import abc
import hashlib
from typing import Any

import attrs
import httptools

KEPT_BYTES = 1 << 20


@attrs.define
class Request:
    """A request with its whole body (or the digest of a long one)."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""
    length: int = 0
    digest: Any = attrs.field(factory=hashlib.sha256)


@attrs.define
class Response:
    """An answer of a stand-in."""

    status: int = 200
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    chunked: bool = False


class Drop(Exception):
    """The stand-in drops the connection instead of answering."""


class CutShort(Exception):
    """The stand-in sends a part of the answer, then drops."""

    def __init__(self, response: Response, sent: int) -> None:
        """Send this many bytes of the body."""
        super().__init__()
        self.response = response
        self.sent = sent


Handler = abc.Callable[[Request], abc.Awaitable[Response]]


class ServerProtocol(asyncio.Protocol):
    """One connection of a stand-in's server."""

    def __init__(self, handler: Handler, connections: set[Any]) -> None:
        """Answer by this function."""
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
        """Cancel what nobody waits for."""
        self._connections.discard(self._transport)
        for task in self._tasks:
            task.cancel()

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._headers = {}
        self._url = b""

    def on_url(self, url: bytes) -> None:
        """Take the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field."""
        self._headers[name.decode().lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Make the request; ask for the body where it waits."""
        method = self._parser.get_method().decode()
        self._request = Request(method, self._url.decode(), self._headers)
        if self._headers.get("expect", "").lower() == "100-continue":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        request = self._request
        if request is None:
            return
        request.length += len(data)
        request.digest.update(data)
        if request.length <= KEPT_BYTES:
            request.body += data

    def on_message_complete(self) -> None:
        """Answer."""
        request, self._request = self._request, None
        if request is None:
            return
        task = asyncio.ensure_future(self._answer(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, request: Request) -> None:
        """Call the handler and write its answer."""
        try:
            response = await self._handler(request)
        except Drop:
            self._transport.abort()
            return
        except CutShort as cut:
            data = encode_response(cut.response, request.method)
            body = len(cut.response.body)
            self._transport.write(data[: len(data) - body + cut.sent])
            self._transport.close()
            return
        self._transport.write(encode_response(response, request.method))


def encode_response(response: Response, method: str) -> bytes:
    """Return the bytes of an answer."""
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
class Serving:
    """A server that runs, with its connections."""

    server: asyncio.Server
    connections: set[Any]

    @property
    def address(self) -> str:
        """Return host and port."""
        host, port = self.server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Close the listener and drop all connections."""
        self.server.close()
        for transport in list(self.connections):
            transport.abort()


async def serve(handler: Handler, port: int = 0) -> Serving:
    """Serve on loopback; port 0 lets the kernel choose."""
    connections: set[Any] = set()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: ServerProtocol(handler, connections), "127.0.0.1", port
    )
    return Serving(server, connections)


@attrs.define
class ClientResponse:
    """A response as a client received it."""

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    is_complete: bool = False


class ClientProtocol(asyncio.Protocol):
    """One connection of a client, one request at a time."""

    def __init__(self) -> None:
        """Start unconnected."""
        self._transport: Any = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer = ClientResponse()
        self._waiter: asyncio.Future[ClientResponse] | None = None
        self._keep = True
        self.is_lost = False
        # Successes that came while no request waited.
        self.unsolicited_successes = 0

    def connection_made(self, transport: Any) -> None:
        """Keep the connection."""
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """End the request that waits, with what came of its answer."""
        self.is_lost = True
        self._end()

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()

    async def request(
        self, data: bytes, body: abc.Iterable[bytes] = ()
    ) -> ClientResponse:
        """Send a request and return its answer."""
        self._answer = ClientResponse()
        if self.is_lost:
            return self._answer
        self._keep = True
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        waiter = self._waiter
        self._transport.write(data)
        for part in body:
            if self.is_lost:
                break
            self._transport.write(part)
            while (
                self._transport.get_write_buffer_size() > KEPT_BYTES
                and not self.is_lost
            ):
                await asyncio.sleep(0.001)
        return await waiter

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may follow."""
        return self._keep and not self.is_lost

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field."""
        text = value.decode("latin-1")
        self._answer.headers[name.decode().lower()] = text

    def on_headers_complete(self) -> None:
        """Take the status."""
        self._answer.status = self._parser.get_status_code()
        if self._waiter is None and 200 <= self._answer.status < 300:
            self.unsolicited_successes += 1

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._answer.body += data

    def on_message_complete(self) -> None:
        """Hand over a whole answer."""
        if self._answer.status < 200:
            self._answer = ClientResponse()
            return
        self._answer.is_complete = True
        if self._answer.headers.get("connection", "").lower() == "close":
            self._keep = False
        self._end()

    def _end(self) -> None:
        """Wake the request."""
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(self._answer)


class Client:
    """Keeps connections to several addresses."""

    def __init__(self) -> None:
        """Start without connections."""
        self._idle: dict[str, list[ClientProtocol]] = {}

    async def request(
        self,
        address: str,
        data: bytes,
        body: abc.Iterable[bytes] = (),
    ) -> ClientResponse:
        """Send a request; an answer without status means none came."""
        protocol = await self._take(address)
        if protocol is None:
            return ClientResponse()
        try:
            answer = await protocol.request(data, body)
        except asyncio.CancelledError:
            protocol.close()
            raise
        if protocol.is_reusable:
            self._idle.setdefault(address, []).append(protocol)
        else:
            protocol.close()
        return answer

    def close(self) -> None:
        """Close all idle connections."""
        for protocols in self._idle.values():
            for protocol in protocols:
                protocol.close()
        self._idle.clear()

    async def _take(self, address: str) -> ClientProtocol | None:
        """Return an idle connection or a new one."""
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
    """Return a new connection, or raise OSError."""
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
    """Return the bytes of a request; ``length`` for a body sent later."""
    size = len(body) if length is None else length
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if size or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {size}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
