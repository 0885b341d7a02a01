"""Requests to one of the platform's services, without blocking."""

from __future__ import annotations

import collections
from collections import abc
import math
import time

import attrs

from tarragonlift.components.data_path import client
from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.data_path import stream
from tarragonlift.components.platform import const
from tarragonlift.core import models
from tarragonlift import exceptions


@attrs.frozen
class Response:
    """A whole answer of the platform."""

    status: int
    body: bytes
    etag: str = ""


Result = Response | exceptions.PlatformError
Callback = abc.Callable[[Result], None]


@attrs.define(eq=False)
class _Job(client.ResponseListener):
    """One request and its answer."""

    owner: PlatformClient
    data: bytes
    callback: Callback
    # When the job is given up unless more of its answer comes; and in any
    # case, once the answer has begun.
    due_at: float
    last_at: float = math.inf
    connection: client.ClientConnection | None = None
    head: client.ResponseHead | None = None
    body: list[bytes] = attrs.field(factory=list)
    ended: bool = False

    def on_head(self, head: client.ResponseHead) -> None:
        """Take the head."""
        self.head = head
        self.last_at = time.monotonic() + const.RESPONSE_TIMEOUT_S
        self._go_on()
        self.owner.expect(self)

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self.body.append(data)
        self._go_on()

    def on_complete(self) -> None:
        """Hand over the answer."""
        assert self.head is not None  # noqa: S101 - a whole answer has one
        etag = self.head.get(const.HEADER_ETAG) or b""
        response = Response(
            self.head.status, b"".join(self.body), etag.decode("latin-1")
        )
        self.owner.end(self, response)

    def on_failed(self, sent: bool, malformed: bool) -> None:
        """Tell what is known."""
        if sent:
            self.owner.end(self, exceptions.PlatformAnswerLost())
        else:
            self.owner.end(self, exceptions.PlatformUnavailable())

    def _go_on(self) -> None:
        """Wait on: the answer keeps coming."""
        due_at = time.monotonic() + const.IDLE_TIMEOUT_S
        self.due_at = min(self.last_at, due_at)


class PlatformClient:
    """Keeps a few connections and a bounded queue of requests."""

    def __init__(
        self, poller: poller_module.DataPoller, address: models.Address
    ) -> None:
        """Talk to this address."""
        self._poller = poller
        self._address = address
        self._waiting: collections.deque[_Job] = collections.deque()
        self._idle: list[client.ClientConnection] = []
        self._busy: set[_Job] = set()
        self.requests = 0
        self.last_success_at = time.monotonic()

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        callback: Callback,
        etag: str = "",
        timeout_s: float = const.TIMEOUT_S,
        content_type: str = "",
    ) -> None:
        """Send a request; the callback gets the answer or the error.

        The answer must begin within ``timeout_s`` seconds.
        """
        if len(self._waiting) >= const.MAX_WAITING:
            callback(exceptions.PlatformUnavailable())
            return
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self._address}\r\n"
            f"Content-Length: {len(body)}\r\n"
        )
        if etag:
            head += f"If-None-Match: {etag}\r\n"
        if content_type:
            head += f"Content-Type: {content_type}\r\n"
        data = head.encode("latin-1") + b"\r\n" + body
        due_at = time.monotonic() + timeout_s
        job = _Job(self, data, callback, due_at)
        self.requests += 1
        self._waiting.append(job)
        self.expect(job)
        self._next()

    def expect(self, job: _Job) -> None:
        """Look at a request again when its answer is overdue."""
        self._poller.timers.call_at(job.due_at, lambda now: self._expire(job))

    def end(self, job: _Job, result: Result) -> None:
        """Take the end of a request."""
        if job.ended:
            return
        job.ended = True
        self._busy.discard(job)
        if isinstance(result, Response):
            self.last_success_at = time.monotonic()
        connection = job.connection
        if connection is not None and connection.is_reusable:
            self._idle.append(connection)
        elif connection is not None:
            connection.abandon()
        job.callback(result)
        self._next()

    def close(self) -> None:
        """Close all connections."""
        for connection in self._idle:
            connection.abandon()
        for job in list(self._busy):
            if job.connection is not None:
                job.connection.abandon()

    def _next(self) -> None:
        """Send what waits."""
        while self._waiting and len(self._busy) < const.MAX_CONNECTIONS:
            job = self._waiting.popleft()
            if job.ended:
                continue
            self._begin(job)

    def _begin(self, job: _Job) -> None:
        """Send one request on a connection."""
        connection = self._take()
        if connection is None:
            self.end(job, exceptions.PlatformUnavailable())
            return
        job.connection = connection
        self._busy.add(job)
        connection.send_request(job.data, job, is_head=False)

    def _take(self) -> client.ClientConnection | None:
        """Return an idle connection or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
        sock = stream.connect(self._address)
        if sock is None:
            return None
        return client.ClientConnection(self._poller, sock, self._address)

    def _expire(self, job: _Job) -> None:
        """Give up on an answer that did not come in time."""
        if job.ended:
            return
        if job.due_at > time.monotonic():
            self.expect(job)
            return
        connection = job.connection
        if connection is None or not connection.is_established:
            if connection is not None:
                connection.abandon()
            self.end(job, exceptions.PlatformUnavailable())
            return
        connection.abandon()
        self.end(job, exceptions.PlatformAnswerLost())
