"""The HTTP/1.1 server side of a connection from a caller."""

from __future__ import annotations

import abc
import collections
import socket
import time

import attrs
import httptools

from tarragonlift.components.data_path import byte_limits
from tarragonlift.components.data_path import const
from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.data_path import stream
from tarragonlift.core import const as core_const
from tarragonlift.core.fleet import models as fleet_models
from tarragonlift import exceptions

Headers = list[tuple[bytes, bytes]]
DEFAULT_LIMITS = fleet_models.CallerLimits(
    head_bytes=const.MAX_HEAD_BYTES,
    head_timeout_s=const.HEAD_TIMEOUT_S,
    idle_timeout_s=const.IDLE_TIMEOUT_S,
)


@attrs.define
class RequestHead:
    """Request line and header fields of a request as received."""

    method: bytes
    target: bytes
    headers: Headers
    peer: str
    content_length: int = 0
    chunked: bool = False
    keep_alive: bool = True
    expects_continue: bool = False
    # Monotonic time at which the head was complete.
    received_at: float = 0.0
    fields: dict[bytes, bytes] = attrs.field(factory=dict)

    @property
    def has_body(self) -> bool:
        """Return whether the request has a body."""
        return self.chunked or self.content_length > 0


class RequestListener(abc.ABC):
    """Handles the body of one request and its caller's connection."""

    @abc.abstractmethod
    def on_body(self, data: bytes) -> None:
        """Handle a part of the request body."""

    @abc.abstractmethod
    def on_body_complete(self) -> None:
        """Handle the end of the request body."""

    @abc.abstractmethod
    def on_writable(self) -> None:
        """Handle a connection that accepts more of the response."""

    @abc.abstractmethod
    def on_caller_gone(self) -> None:
        """Handle a caller that closed its connection."""

    @abc.abstractmethod
    def on_body_refused(self, refusal: exceptions.Refusal) -> None:
        """Handle a request body whose rest is rejected."""


class RequestAcceptor(abc.ABC):
    """Accepts or refuses the requests of a caller's connection."""

    @abc.abstractmethod
    def accept(
        self, connection: CallerConnection, head: RequestHead
    ) -> RequestListener:
        """Accept a request and return its listener."""

    @abc.abstractmethod
    def refuse(
        self, connection: CallerConnection, refusal: exceptions.Refusal
    ) -> None:
        """Respond to an invalid request; the connection closes afterwards."""

    @abc.abstractmethod
    def on_closed(self, connection: CallerConnection) -> None:
        """Handle a closed connection."""

    def on_not_read(self, head: RequestHead) -> None:
        """Handle a request behind a response that closes its connection.

        It was sent to no server.
        """


@attrs.define(eq=False)
class _PipelinedRequest:
    """A request received before the previous one was answered."""

    head: RequestHead
    body: list[bytes] = attrs.field(factory=list)
    complete: bool = False


class CallerConnection(stream.Stream):
    """Parses requests and passes them to the acceptor one at a time.

    Requests sent ahead wait until the earlier ones are answered, so that a
    caller with many of them has one request in progress like any other.
    """

    def __init__(
        self,
        poller: poller_module.DataPoller,
        sock: socket.socket,
        peer: str,
        acceptor: RequestAcceptor,
        limits: fleet_models.CallerLimits = DEFAULT_LIMITS,
    ) -> None:
        """Initialize an accepted connection."""
        super().__init__(poller, sock)
        self.limits = limits
        self._peer = peer
        self._acceptor = acceptor
        self._parser = httptools.HttpRequestParser(self)
        self._listener: RequestListener | None = None
        self._current: RequestHead | None = None
        self._reading_body = False
        self._queue: collections.deque[_PipelinedRequest] = collections.deque()
        self._target = b""
        self._headers: Headers = []
        self._fields: dict[bytes, bytes] = {}
        self._in_head = False
        self._in_body = False
        self._head_bytes = 0
        # Bytes received since the last head that are not part of a body, less
        # the allowance for each chunk.
        self._framing_bytes = 0
        self._unparsed = b""
        self._refusal: exceptions.Refusal | None = None
        self._close_after_response = False
        self._is_lingering = False
        self._lingering_bytes = 0
        self._head_started_at = 0.0

    @property
    def is_busy(self) -> bool:
        """Return whether a request is in progress."""
        return self._listener is not None

    @property
    def is_body_complete(self) -> bool:
        """Return whether the body of the current request is complete."""
        return not self._reading_body

    def finish_response(self, keep_alive: bool) -> None:
        """Finish the response; start the next request or close."""
        current, self._current = self._current, None
        self._listener = None
        self.active_at = time.monotonic()
        if current is None or self._closed:
            return
        closes = self._close_after_response or not keep_alive
        if self._reading_body or closes or not current.keep_alive:
            self._linger_close(self._reading_body or not self._reading)
        elif self._queue:
            self._poller.call_soon(self._start_next_queued)
        elif self._refusal is not None:
            self._refuse(self._refusal)
        elif self._unparsed or not self._reading:
            self._poller.call_soon(self._read_on)

    def close(self) -> None:
        """Close at once; requests that wait on the connection are not read."""
        if self._closed:
            return
        super().close()
        self._drop_queue()
        self._acceptor.on_closed(self)

    def close_after_response(self) -> None:
        """Close the connection after the current response."""
        self._close_after_response = True

    def abort(self) -> None:
        """Reset the connection: the response can't be completed."""
        self._listener = None
        self._current = None
        self.reset()

    def close_if_idle(self) -> bool:
        """Close the connection if it is idle; return whether it was idle.

        Otherwise it closes after the current response. Received data that
        was not read yet is parsed first.
        """
        if self._reading and not self._closed:
            self._read()
        if self._listener is not None or self._queue or self._in_head:
            self._close_after_response = True
            return False
        self.close_when_sent()
        return True

    def check_timeouts(self, now: float) -> None:
        """Refuse a slow sender or close an idle connection."""
        if self._closed:
            return
        if self._closing:
            if now - self.active_at > const.BODY_TIMEOUT_S:
                self.close()
                self.on_end()
        elif self._listener is not None:
            self._check_body_timeout(now)
        elif self._in_head:
            if now - self._head_started_at > self.limits.head_timeout_s:
                self._refuse(self._make_slow_sender_refusal())
        elif now - self.active_at > self.limits.idle_timeout_s:
            self.close()
            self.on_end()

    def on_data(self, data: bytes) -> None:
        """Parse received data up to the maximum number of requests ahead."""
        self.active_at = time.monotonic()
        if self._is_lingering:
            self._lingering_bytes += len(data)
            if self._lingering_bytes > byte_limits.MAX_LINGERING_BYTES:
                self.close()
            return
        for start in range(0, len(data), byte_limits.MAX_PARSED_BYTES):
            if self._refusal is not None or self._is_lingering or self._closed:
                return
            if len(self._queue) >= byte_limits.MAX_REQUESTS_AHEAD:
                self._unparsed = data[start:]
                return
            self._parse(data[start : start + byte_limits.MAX_PARSED_BYTES])

    def _parse(self, data: bytes) -> None:
        """Parse a part of a request."""
        if self._in_head or self._listener is None:
            if not self._in_head:
                self._head_started_at = self.active_at
                self._in_head = True
            self._head_bytes += len(data)
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refusal = self._refusal or _make_bad_request_refusal()
        except httptools.HttpParserError:
            self._refusal = self._refusal or _make_bad_request_refusal()
        if self._in_head and self._head_bytes > self.limits.head_bytes:
            self._refusal = exceptions.HeadTooLarge(_NOT_RUN)
        max_framing_bytes = byte_limits.MAX_REQUEST_FRAMING_BYTES
        if self._in_body and self._framing_bytes > max_framing_bytes:
            self._refusal = self._refusal or _make_bad_request_refusal()
        if self._refusal is not None and not self._is_lingering:
            self._refuse(self._refusal)

    def on_end(self) -> None:
        """Notify the acceptor and the listener that the caller left."""
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.on_caller_gone()

    def on_writable(self) -> None:
        """Notify the listener that the connection accepts more data."""
        if self._listener is not None:
            self._listener.on_writable()

    def on_message_begin(self) -> None:
        """Start the head of a request sent ahead (called by the parser)."""
        if not self._in_head:
            self._in_head = True
            self._head_started_at = self.active_at
            self._head_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target (called by the parser)."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; trailers are ignored (called by the parser)."""
        if self._in_body:
            return
        self._headers.append((name, value))
        self._fields[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Handle a request head (called by the parser)."""
        head = self._parse_head()
        self._target = b""
        self._headers = []
        self._fields = {}
        self._in_head = False
        self._in_body = True
        self._head_bytes = 0
        self._framing_bytes = 0
        if self._refusal is not None:
            return
        if self._current is not None or self._queue:
            self._queue.append(_PipelinedRequest(head))
            self.pause_reading()
            return
        self._start_request(head)

    def on_body(self, data: bytes) -> None:
        """Handle a part of a body (called by the parser)."""
        self._framing_bytes -= len(data)
        if self._queue:
            self._queue[-1].body.append(data)
        elif self._listener is not None and self._reading_body:
            self._listener.on_body(data)

    def on_chunk_header(self) -> None:
        """Allow for the size line of a chunk (called by the parser)."""
        self._framing_bytes -= byte_limits.MAX_CHUNK_OVERHEAD_BYTES

    def on_message_complete(self) -> None:
        """Handle the end of a request (called by the parser)."""
        self._in_body = False
        if self._queue:
            self._queue[-1].complete = True
            return
        if self._reading_body:
            self._reading_body = False
            if self._listener is not None:
                self._listener.on_body_complete()

    def _start_request(self, head: RequestHead) -> None:
        """Pass a request to the acceptor."""
        self._current = head
        self._reading_body = True
        self._listener = _PENDING_LISTENER
        listener = self._acceptor.accept(self, head)
        if self._listener is _PENDING_LISTENER:
            self._listener = listener

    def _start_next_queued(self) -> None:
        """Start the next pipelined request."""
        if self._closed or not self._queue or self._current is not None:
            return
        queued = self._queue.popleft()
        self._start_request(queued.head)
        for data in queued.body:
            if self._listener is not None and self._reading_body:
                self._listener.on_body(data)
        if queued.complete and self._reading_body:
            self._reading_body = False
            if self._listener is not None:
                self._listener.on_body_complete()
        if not self._queue:
            self._read_on()

    def _read_on(self) -> None:
        """Parse what was kept unparsed, and resume reading."""
        if self._closed or self._queue or self._is_lingering:
            return
        if self._refusal is not None:
            # The last request that was read is the one to refuse.
            if self._listener is not None and self._reading_body:
                self._listener.on_body_refused(self._refusal)
            return
        data, self._unparsed = self._unparsed, b""
        if data:
            self.on_data(data)
        if not self._queue and not self._unparsed:
            self.resume_reading()

    def _drop_queue(self) -> None:
        """Report the requests that wait behind the last response."""
        queue, self._queue = self._queue, collections.deque()
        self._unparsed = b""
        for queued in queue:
            self._acceptor.on_not_read(queued.head)

    def _parse_head(self) -> RequestHead:
        """Return the request head and store a refusal if it is invalid."""
        fields = self._fields
        head = RequestHead(
            self._parser.get_method(),
            self._target,
            self._headers,
            self._peer,
            received_at=self.active_at,
            fields=fields,
        )
        head.keep_alive = self._parser.should_keep_alive()
        if self._parser.get_http_version() != "1.1":
            self._refusal = exceptions.VersionNotSupported(_NOT_RUN)
        elif self._parser.should_upgrade():
            self._refusal = _make_bad_request_refusal()
        elif sum(1 for name, _ in self._headers if _is_host(name)) != 1:
            self._refusal = _make_bad_request_refusal()
        elif _get_head_size(head) > self.limits.head_bytes:
            self._refusal = exceptions.HeadTooLarge(_NOT_RUN)
        length = fields.get(b"content-length")
        if length is not None:
            head.content_length = int(length)
        coding = fields.get(b"transfer-encoding")
        if coding is not None:
            head.chunked = True
            if coding.lower() != b"chunked":
                self._refusal = _make_bad_request_refusal()
        expect = fields.get(b"expect")
        if expect is not None:
            head.expects_continue = expect.lower() == b"100-continue"
        return head

    def _check_body_timeout(self, now: float) -> None:
        """Refuse the request if its body stalls while reading is enabled."""
        if not self._reading_body or not self._reading:
            return
        if now - self.active_at <= const.BODY_TIMEOUT_S:
            return
        listener = self._listener
        if listener is not None:
            listener.on_body_refused(self._make_slow_sender_refusal())

    def _refuse(self, refusal: exceptions.Refusal) -> None:
        """Refuse the current or next request and close the connection."""
        self._refusal = refusal
        listener = self._listener
        if listener is None:
            self._acceptor.refuse(self, refusal)
            self._linger_close(unread=True)
        elif self._reading_body:
            listener.on_body_refused(refusal)
        else:
            # The previous request is complete and gets its response first.
            self.pause_reading()

    def _linger_close(self, unread: bool) -> None:
        """Close so that the caller can still read the response.

        Closing a socket with unread data sends a reset, which could discard
        the response; so only the sending side is shut down at first.
        """
        self._drop_queue()
        if not unread or self._closed:
            self.close_when_sent()
            return
        self._is_lingering = True
        self.resume_reading()
        self._flush()
        if self._closed:
            return
        if not self._pending:
            self._shut_down_writing()
        self.active_at = time.monotonic()
        self._closing = bool(self._pending)
        self._poller.timers.call_at(
            self.active_at + LINGER_TIMEOUT_S, self._end_linger
        )

    def _shut_down_writing(self) -> None:
        """Send the end of the stream; the caller may have reset it before."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def _end_linger(self, now: float) -> None:
        """Close the connection even if the caller is still sending."""
        if not self._closed:
            self.close()
            self.on_end()

    @staticmethod
    def _make_slow_sender_refusal() -> exceptions.Refusal:
        """Return the refusal for a slow sender."""
        return exceptions.SenderTooSlow(_NOT_RUN)


class _PendingListener(RequestListener):
    """Placeholder listener while the acceptor handles the request."""

    def on_body(self, data: bytes) -> None:
        """Ignore the event."""

    def on_body_complete(self) -> None:
        """Ignore the event."""

    def on_writable(self) -> None:
        """Ignore the event."""

    def on_caller_gone(self) -> None:
        """Ignore the event."""

    def on_body_refused(self, refusal: exceptions.Refusal) -> None:
        """Ignore the event."""


LINGER_TIMEOUT_S = 2.0
_PENDING_LISTENER = _PendingListener()
_NOT_RUN = core_const.Outcome.NOT_RUN


def _make_bad_request_refusal() -> exceptions.Refusal:
    """Return the refusal for data that is not valid HTTP/1.1."""
    return exceptions.BadRequest(_NOT_RUN)


def _is_host(name: bytes) -> bool:
    """Return whether the header field is Host."""
    return name.lower() == b"host"


def _get_head_size(head: RequestHead) -> int:
    """Return the size of the request head in bytes, framing included."""
    fields = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return len(head.method) + len(head.target) + 12 + fields + 2
