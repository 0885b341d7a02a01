"""Non-blocking HTTP client of one of the platform's services."""

from __future__ import annotations

import collections
from collections import abc
import math
import time

import attrs

from tarragonlift.components.data_path import byte_limits
from tarragonlift.components.data_path import client
from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.data_path import stream
from tarragonlift.components.platform import const
from tarragonlift.core import models
from tarragonlift import exceptions


@attrs.frozen
class Response:
    """Complete response of the platform."""

    status: int
    body: bytes
    etag: str = ""


Result = Response | exceptions.PlatformError
Callback = abc.Callable[[Result], None]


@attrs.define(eq=False)
class _Request(client.ResponseListener):
    """Request and the state of its response."""

    owner: PlatformClient
    data: bytes
    callback: Callback
    # Monotonic time at which the request is abandoned unless more of its
    # response arrives, and the latest time for a response that has begun.
    deadline: float
    final_deadline: float = math.inf
    connection: client.ClientConnection | None = None
    head: client.ResponseHead | None = None
    body: list[bytes] = attrs.field(factory=list)
    is_finished: bool = False

    @property
    def max_body_bytes(self) -> float:
        """Return the maximum size in bytes of the response's body."""
        return byte_limits.MAX_PLATFORM_BODY_BYTES

    def on_head(self, head: client.ResponseHead) -> None:
        """Start the timeouts of the response."""
        self.head = head
        self.final_deadline = time.monotonic() + const.RESPONSE_TIMEOUT_S
        self._extend_deadline()
        self.owner.schedule_timeout(self)

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body.append(data)
        self._extend_deadline()

    def on_complete(self) -> None:
        """Finish the request with the response."""
        assert self.head is not None  # noqa: S101 - set by on_head
        etag = self.head.get(const.HEADER_ETAG) or b""
        response = Response(
            self.head.status, b"".join(self.body), etag.decode("latin-1")
        )
        self.owner.finish(self, response)

    def on_failed(self, sent: bool, malformed: bool) -> None:
        """Finish with an error that says whether the request was sent."""
        connection = self.connection
        if connection is not None and connection.exceeded_limit is not None:
            limit = connection.exceeded_limit.value
            self.owner.finish(self, exceptions.PlatformAnswerLost(limit))
        elif sent:
            self.owner.finish(self, exceptions.PlatformAnswerLost())
        else:
            self.owner.finish(self, exceptions.PlatformUnavailable())

    def _extend_deadline(self) -> None:
        """Extend the deadline because data arrived."""
        deadline = time.monotonic() + const.IDLE_TIMEOUT_S
        self.deadline = min(self.final_deadline, deadline)


class PlatformClient:
    """Sends requests over a few connections from a bounded queue."""

    def __init__(
        self, poller: poller_module.DataPoller, address: models.Address
    ) -> None:
        """Initialize the client of the service at this address."""
        self._poller = poller
        self._address = address
        self._waiting: collections.deque[_Request] = collections.deque()
        self._idle_connections: list[client.ClientConnection] = []
        self._in_flight: set[_Request] = set()
        self.request_count = 0
        self.last_success_at = time.monotonic()

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        callback: Callback,
        etag: str = "",
        timeout_s: float = const.DEFAULT_TIMEOUT_S,
        content_type: str = "",
    ) -> abc.Callable[[], None]:
        """Send a request; the callback gets the response or the error.

        The response must begin within ``timeout_s`` seconds. Returns a
        function that ends the request without calling back.
        """
        if len(self._waiting) >= const.MAX_WAITING:
            callback(exceptions.PlatformUnavailable())
            return _do_nothing
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self._address}\r\n"
            f"Content-Length: {len(body)}\r\n"
        )
        if etag:
            head += f"If-None-Match: {etag}\r\n"
        if content_type:
            head += f"Content-Type: {content_type}\r\n"
        data = head.encode("latin-1") + b"\r\n" + body
        deadline = time.monotonic() + timeout_s
        request = _Request(self, data, callback, deadline)
        self.request_count += 1
        self._waiting.append(request)
        self.schedule_timeout(request)
        self._send_waiting()
        return lambda: self._cancel(request)

    def schedule_timeout(self, request: _Request) -> None:
        """Check the request again at its deadline."""
        self._poller.timers.call_at(
            request.deadline, lambda now: self._check_timeout(request)
        )

    def finish(self, request: _Request, result: Result) -> None:
        """Finish a request and reuse its connection if possible."""
        if request.is_finished:
            return
        request.is_finished = True
        self._in_flight.discard(request)
        if isinstance(result, Response):
            self.last_success_at = time.monotonic()
        connection = request.connection
        if connection is not None and connection.is_reusable:
            self._idle_connections.append(connection)
        elif connection is not None:
            connection.abandon()
        request.callback(result)
        self._send_waiting()

    def close(self) -> None:
        """Close all connections."""
        for connection in self._idle_connections:
            connection.abandon()
        for request in list(self._in_flight):
            if request.connection is not None:
                request.connection.abandon()

    def _send_waiting(self) -> None:
        """Send waiting requests while connections are available."""
        while self._waiting and len(self._in_flight) < const.MAX_CONNECTIONS:
            request = self._waiting.popleft()
            if request.is_finished:
                continue
            self._send(request)

    def _send(self, request: _Request) -> None:
        """Send a request on an idle or new connection."""
        connection = self._acquire_connection()
        if connection is None:
            self.finish(request, exceptions.PlatformUnavailable())
            return
        request.connection = connection
        self._in_flight.add(request)
        connection.send_request(request.data, request, is_head=False)
        if not connection.is_established:
            self._poller.timers.call_at(
                time.monotonic() + const.CONNECT_TIMEOUT_S,
                lambda now: self._check_connected(request, connection),
            )

    def _acquire_connection(self) -> client.ClientConnection | None:
        """Return an idle connection or a new one."""
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_reusable:
                return connection
        sock = stream.connect(self._address)
        if sock is None:
            return None
        return client.ClientConnection(self._poller, sock, self._address)

    def _cancel(self, request: _Request) -> None:
        """End a request and close its connection without calling back."""
        request.callback = _ignore
        self.finish(request, exceptions.PlatformAnswerLost())

    def _check_connected(
        self, request: _Request, connection: client.ClientConnection
    ) -> None:
        """Fail a request whose connection is not established in time."""
        if not connection.is_established:
            self.finish(request, exceptions.PlatformUnavailable())

    def _close_idle(self) -> None:
        """Close the idle connections: they may be silent as well."""
        idle, self._idle_connections = self._idle_connections, []
        for connection in idle:
            connection.abandon()

    def _check_timeout(self, request: _Request) -> None:
        """Fail a request whose response did not arrive in time."""
        if request.is_finished:
            return
        if request.deadline > time.monotonic():
            self.schedule_timeout(request)
            return
        connection = request.connection
        if connection is None or not connection.is_established:
            if connection is not None:
                connection.abandon()
            self.finish(request, exceptions.PlatformUnavailable())
            return
        connection.abandon()
        self._close_idle()
        self.finish(request, exceptions.PlatformAnswerLost())


def _do_nothing() -> None:
    """End no request: it has failed already."""


def _ignore(result: Result) -> None:
    """Drop the result of a request that was ended."""
