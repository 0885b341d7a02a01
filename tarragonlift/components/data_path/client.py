"""The HTTP/1.1 client side of a connection to a server."""

from __future__ import annotations

import abc
from collections import abc as collections_abc
import math
import socket
import time

import attrs
import httptools

from tarragonlift.components.data_path import byte_limits
from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.data_path import stream
from tarragonlift.core import const as core_const
from tarragonlift.core import models

MIN_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = (204, 304)

Headers = list[tuple[bytes, bytes]]


@attrs.define
class ResponseHead:
    """Status and header fields of a response."""

    status: int
    headers: Headers
    content_length: int | None = None
    chunked: bool = False
    # True if the body has a transfer coding that is not decoded here.
    has_unknown_coding: bool = False
    keep_alive: bool = True
    keep_alive_timeout_s: float = math.inf

    @property
    def is_framed(self) -> bool:
        """Return whether the head delimits the response body."""
        return (
            self.chunked
            or self.content_length is not None
            or self.status in STATUSES_WITHOUT_BODY
        )

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a header field; ``name`` is in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class ResponseListener(abc.ABC):
    """Handles the response to one request."""

    @property
    def max_body_bytes(self) -> float:
        """Return the maximum size in bytes of the response's body."""
        return math.inf

    def is_expected_response(self, head: ResponseHead) -> bool:
        """Return whether the response belongs to the request.

        Other responses are skipped: a server may repeat its response to an
        earlier request.
        """
        return True

    @abc.abstractmethod
    def on_head(self, head: ResponseHead) -> None:
        """Handle the response head."""

    @abc.abstractmethod
    def on_body(self, data: bytes) -> None:
        """Handle a part of the response body."""

    @abc.abstractmethod
    def on_complete(self) -> None:
        """Handle the end of the response."""

    @abc.abstractmethod
    def on_failed(self, sent: bool, malformed: bool) -> None:
        """Handle a connection that ended before the response did.

        ``sent``: bytes of the request may have been written; ``malformed``:
        the received data was not a valid response.
        """

    def on_writable(self) -> None:
        """Handle a connection that accepts more of the request body."""


class ClientConnection(stream.Stream):
    """Sends requests one at a time and parses their responses.

    A response without a request, data after a response or a response that
    exceeds a limit makes the connection unusable: it is closed and not read
    any further.
    """

    def __init__(
        self,
        poller: poller_module.DataPoller,
        sock: socket.socket,
        address: models.Address,
    ) -> None:
        """Initialize the connection on a socket that is connecting."""
        super().__init__(poller, sock, connecting=True)
        self.address = address
        # True if an earlier request was sent on this connection.
        self.is_reused = False
        # Monotonic time at which the connection was established.
        self.established_at = math.inf
        self.on_idle_closed: collections_abc.Callable[
            [ClientConnection], None
        ] = _ignore
        self._listener: ResponseListener | None = None
        self._is_head_request = False
        self._head: ResponseHead | None = None
        self._headers: Headers = []
        self._is_unusable = False
        self._has_request = False
        self._sent = False
        self._skipping_response = False
        self._is_complete = False
        self._meter = byte_limits.ResponseMeter()
        # Limit that the received bytes exceeded, if any.
        self.exceeded_limit: byte_limits.Limit | None = None
        self.keep_alive_timeout_s = math.inf
        self._parser = httptools.HttpResponseParser(self)

    @property
    def is_idle(self) -> bool:
        """Return whether the connection is open and has no request."""
        return self._listener is None and not self._closed

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection can send another request."""
        return self.is_idle and not self._is_unusable and not self._pending

    @property
    def is_established(self) -> bool:
        """Return whether the TCP connection is established."""
        return not self._connecting

    def send_request(
        self, head: bytes, listener: ResponseListener, is_head: bool
    ) -> None:
        """Send the first bytes of a request; the listener gets the response.

        ``head`` may include a part of the body; ``is_head`` marks a request
        with the method HEAD.
        """
        self._listener = listener
        self.is_reused, self._has_request = self._has_request, True
        self._is_head_request = is_head
        self._head = None
        self._headers = []
        self._is_complete = False
        self._meter = byte_limits.ResponseMeter()
        self._sent = not self._connecting
        self.write(head)

    def abandon(self) -> None:
        """Close the connection without notifying the listener."""
        self._listener = None
        self.close()

    def on_connected(self) -> None:
        """Mark the request as sent: its bytes are written from now on."""
        self.established_at = time.monotonic()
        self._sent = self._listener is not None

    def on_data(self, data: bytes) -> None:
        """Parse a part of a response."""
        listener = self._listener
        if listener is None:
            self._is_unusable = True
            self._fail()
            return
        self._meter.on_received(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._is_unusable = True
        if self._is_complete:
            self._report_complete()
            return
        if self._listener is not listener:
            # The listener abandoned the request.
            return
        limit = self._meter.find_exceeded(listener.max_body_bytes)
        if limit is not None:
            self.exceeded_limit = limit
            self._is_unusable = True
        if self._is_unusable:
            self._fail()

    def on_end(self) -> None:
        """Complete or fail the pending response, or report an idle close."""
        listener, self._listener = self._listener, None
        if listener is None:
            self.on_idle_closed(self)
            return
        if self.has_received_eof and self._ends_with_connection:
            listener.on_complete()
            return
        listener.on_failed(self._sent, self._is_unusable)

    def on_writable(self) -> None:
        """Notify the listener that the connection accepts more data."""
        if self._listener is not None:
            self._listener.on_writable()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; trailers are ignored (called by the parser)."""
        if self._head is not None or self._skipping_response:
            return
        if len(self._headers) >= byte_limits.MAX_HEADER_FIELDS:
            self._meter.on_too_many_fields()
            return
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Handle a response head (called by the parser)."""
        if self._is_unusable:
            return
        status = self._parser.get_status_code()
        headers, self._headers = self._headers, []
        if status < MIN_FINAL_STATUS:
            self._meter.on_interim_response()
            return
        if self._listener is None or self._head is not None:
            self._is_unusable = True
            return
        head = _parse_head(status, headers)
        if self._parser.get_http_version() != "1.1":
            head.keep_alive = False
        if head.has_unknown_coding:
            # Neither its end nor its content could be relayed as it is.
            self._is_unusable = True
            return
        if not self._listener.is_expected_response(head):
            self._skipping_response = True
            self._meter.on_foreign_response()
            return
        self._head = head
        self.keep_alive_timeout_s = head.keep_alive_timeout_s
        self._listener.on_head(head)
        if self._is_head_request and self._listener is not None:
            self._is_complete = True
            self._parser = httptools.HttpResponseParser(self)

    def on_body(self, data: bytes) -> None:
        """Handle a part of a body (called by the parser)."""
        if self._skipping_response:
            self._meter.on_foreign_body(len(data))
            return
        if self._is_unusable or self._is_complete or self._listener is None:
            self._is_unusable = True
            return
        self._meter.on_body(len(data))
        self._listener.on_body(data)

    def on_chunk_header(self) -> None:
        """Count the size line of a chunk (called by the parser)."""
        self._meter.on_chunk()

    def on_message_begin(self) -> None:
        """Refuse data after a response (called by the parser)."""
        if self._is_complete:
            self._is_unusable = True

    def on_message_complete(self) -> None:
        """Handle the end of a response (called by the parser)."""
        if self._skipping_response:
            self._skipping_response = False
            return
        if self._head is not None and not self._is_head_request:
            self._is_complete = True

    @property
    def _ends_with_connection(self) -> bool:
        """Return whether the end of the connection ends the response."""
        head = self._head
        return (
            head is not None and not head.is_framed and not self._is_unusable
        )

    def _report_complete(self) -> None:
        """Report the complete response once all received data was parsed.

        Data after the response has made the connection unusable by now, so
        that nobody reuses it.
        """
        self._is_complete = False
        listener, self._listener = self._listener, None
        if listener is None or self._head is None:
            return
        if not self._head.keep_alive:
            self._is_unusable = True
        listener.on_complete()


def classify_failure(
    sent: bool, has_head: bool, malformed: bool
) -> core_const.AttemptFailure:
    """Return why an attempt failed whose connection ended early.

    ``sent``: bytes of the request may have been written; ``has_head``: the
    response head had arrived; ``malformed``: the received data was not a
    valid response.
    """
    if not sent:
        return core_const.AttemptFailure.CONNECT_FAILED
    if malformed:
        # This side closed the connection.
        return core_const.AttemptFailure.BAD_ANSWER
    if has_head:
        return core_const.AttemptFailure.BROKEN_IN_ANSWER
    return core_const.AttemptFailure.BROKEN_BEFORE_ANSWER


def _ignore(connection: ClientConnection) -> None:
    """Ignore a closed idle connection."""


def _parse_head(status: int, headers: Headers) -> ResponseHead:
    """Return the head with its framing and keep-alive fields parsed."""
    head = ResponseHead(status, headers)
    for name, value in headers:
        lower = name.lower()
        if lower == b"content-length":
            head.content_length = int(value)
        elif lower == b"transfer-encoding":
            head.chunked = value.lower() == b"chunked"
            head.has_unknown_coding |= not head.chunked
        elif lower == b"connection" and b"close" in value.lower():
            head.keep_alive = False
        elif lower == b"keep-alive":
            head.keep_alive_timeout_s = _parse_keep_alive_timeout(value)
    return head


def _parse_keep_alive_timeout(value: bytes) -> float:
    """Return the timeout of a Keep-Alive field in seconds."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return math.inf
