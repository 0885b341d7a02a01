"""The client side of HTTP/1.1 on one connection."""

from __future__ import annotations

import abc
from collections import abc as collections_abc
import math
import socket

import attrs
import httptools

from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.data_path import stream
from tarragonlift.core import const as core_const
from tarragonlift.core import models

STATUS_OK_LEAST = 200
STATUSES_WITHOUT_BODY = (204, 304)

Headers = list[tuple[bytes, bytes]]


@attrs.define
class ResponseHead:
    """Status and header fields of an answer."""

    status: int
    headers: Headers
    content_length: int | None = None
    chunked: bool = False
    keep_alive: bool = True
    idle_limit_s: float = math.inf

    @property
    def is_framed(self) -> bool:
        """Return whether the end of the answer can be told."""
        return (
            self.chunked
            or self.content_length is not None
            or self.status in STATUSES_WITHOUT_BODY
        )

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a header field given in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class ResponseListener(abc.ABC):
    """Takes the answer to one request."""

    def is_expected_response(self, head: ResponseHead) -> bool:
        """Return whether the answer belongs to the request.

        One that does not is passed over: a server may send an answer to an
        earlier request once more.
        """
        return True

    @abc.abstractmethod
    def on_head(self, head: ResponseHead) -> None:
        """Take the head of the answer."""

    @abc.abstractmethod
    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""

    @abc.abstractmethod
    def on_complete(self) -> None:
        """The answer is whole."""

    @abc.abstractmethod
    def on_failed(self, sent: bool, malformed: bool) -> None:
        """The connection ended first; ``sent``: bytes had been written."""

    def on_writable(self) -> None:
        """The connection takes more of the request's body."""


class ClientConnection(stream.Stream):
    """Sends one request after the other and reads their answers.

    An answer that belongs to no request, or data after an answer, makes the
    connection unusable: it is closed, never read further.
    """

    def __init__(
        self,
        poller: poller_module.DataPoller,
        sock: socket.socket,
        address: models.Address,
    ) -> None:
        """Use a socket that is being connected."""
        super().__init__(poller, sock, connecting=True)
        self.address = address
        self.used = False
        self.on_idle_closed: collections_abc.Callable[
            [ClientConnection], None
        ] = _ignore
        self._listener: ResponseListener | None = None
        self._is_head_request = False
        self._head: ResponseHead | None = None
        self._headers: Headers = []
        self._bad = False
        self._sent = False
        self._passing_over = False
        self.idle_limit_s = math.inf
        self._parser = httptools.HttpResponseParser(self)

    @property
    def is_idle(self) -> bool:
        """Return whether the connection can take a request."""
        return self._listener is None and not self._closed

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may follow the one that ended."""
        return self.is_idle and not self._bad and not self._pending

    @property
    def is_established(self) -> bool:
        """Return whether the connection was established."""
        return not self._connecting

    def send_request(
        self, head: bytes, listener: ResponseListener, is_head: bool
    ) -> None:
        """Send the head of a request; the listener gets the answer."""
        self._listener = listener
        self._is_head_request = is_head
        self._head = None
        self._headers = []
        self._sent = not self._connecting
        self.write(head)

    def abandon(self) -> None:
        """Close: the answer is not wanted, and nothing else may use it."""
        self._listener = None
        self.close()

    def on_connected(self) -> None:
        """Note that from now on bytes go out."""
        self._sent = self._listener is not None

    def on_data(self, data: bytes) -> None:
        """Read a part of an answer."""
        if self._listener is None:
            self._bad = True
            self._fail()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._bad = True
            self._fail()
            return
        if self._bad:
            self._fail()

    def on_end(self) -> None:
        """Tell the listener that the answer can't come."""
        listener, self._listener = self._listener, None
        if listener is None:
            self.on_idle_closed(self)
            return
        if self.has_received_eof and self._ends_with_connection:
            listener.on_complete()
            return
        listener.on_failed(self._sent, self._bad)

    def on_writable(self) -> None:
        """Pass on that the connection takes more."""
        if self._listener is not None:
            self._listener.on_writable()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field (called by the parser)."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take the head of an answer (called by the parser)."""
        if self._bad:
            return
        status = self._parser.get_status_code()
        if status < STATUS_OK_LEAST:
            self._headers = []
            return
        if self._listener is None or self._head is not None:
            self._bad = True
            return
        head = _read_head(status, self._headers)
        if self._parser.get_http_version() != "1.1":
            head.keep_alive = False
        if not self._listener.is_expected_response(head):
            self._passing_over = True
            return
        self._head = head
        self.idle_limit_s = head.idle_limit_s
        self._listener.on_head(head)
        if self._is_head_request and self._listener is not None:
            self._finish()
            self._parser = httptools.HttpResponseParser(self)

    def on_body(self, data: bytes) -> None:
        """Take a part of a body (called by the parser)."""
        if self._passing_over:
            return
        if self._bad or self._listener is None:
            self._bad = True
            return
        self._listener.on_body(data)

    def on_message_complete(self) -> None:
        """Take the end of an answer (called by the parser)."""
        if self._passing_over:
            self._passing_over = False
            self._headers = []
            return
        if self._head is not None and not self._is_head_request:
            self._finish()

    @property
    def _ends_with_connection(self) -> bool:
        """Return whether the answer's end is that of the connection."""
        head = self._head
        return head is not None and not head.is_framed and not self._bad

    def _finish(self) -> None:
        """Hand over a whole answer."""
        listener, self._listener = self._listener, None
        if listener is None or self._head is None:
            return
        if not self._head.keep_alive:
            self._bad = True
        listener.on_complete()


def classify_failure(
    sent: bool, has_head: bool, malformed: bool
) -> core_const.AttemptFailure:
    """Return why an attempt failed whose connection ended first.

    ``sent``: bytes had been written; ``has_head``: the answer had begun;
    ``malformed``: what came was no valid answer.
    """
    if not sent:
        return core_const.AttemptFailure.CONNECT_FAILED
    if has_head:
        return core_const.AttemptFailure.BROKEN_IN_ANSWER
    if malformed:
        return core_const.AttemptFailure.BAD_ANSWER
    return core_const.AttemptFailure.BROKEN_BEFORE_ANSWER


def _ignore(connection: ClientConnection) -> None:
    """Do nothing."""


def _read_head(status: int, headers: Headers) -> ResponseHead:
    """Return the head with what frames the answer."""
    head = ResponseHead(status, headers)
    for name, value in headers:
        lower = name.lower()
        if lower == b"content-length":
            head.content_length = int(value)
        elif lower == b"transfer-encoding":
            head.chunked = value.lower() == b"chunked"
        elif lower == b"connection" and b"close" in value.lower():
            head.keep_alive = False
        elif lower == b"keep-alive":
            head.idle_limit_s = _idle_limit(value)
    return head


def _idle_limit(value: bytes) -> float:
    """Return the timeout in a Keep-Alive field, in seconds."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return math.inf
