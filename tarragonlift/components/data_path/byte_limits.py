"""Limits of the bytes that are accepted from other processes.

A process in trouble may send bytes without end. Every reader of received
bytes takes its limits from this module, so that no message can use more
memory than its limit or keep a connection busy after its use has ended.
"""

from __future__ import annotations

import enum
import math

# Maximum size in bytes of a response outside its body: status line, header
# fields, interim responses and trailers.
MAX_RESPONSE_HEAD_BYTES = 65536
# Maximum number of header fields of a response.
MAX_HEADER_FIELDS = 256
# Maximum size in bytes of one chunk's size line and extensions, on average.
MAX_CHUNK_OVERHEAD_BYTES = 256
# Maximum number of interim (1xx) responses before a response.
MAX_INTERIM_RESPONSES = 16
# Maximum number of responses to other requests, and of bytes in their bodies,
# before a response.
MAX_FOREIGN_RESPONSES = 16
MAX_FOREIGN_BODY_BYTES = 1 << 20
# Maximum size in bytes of the body of a health check's or load report's
# response.
MAX_HEALTH_BODY_BYTES = 65536
# Maximum size in bytes of the body of a response that is not a success. It is
# buffered because the request may be sent to another server instead.
MAX_FAILURE_BODY_BYTES = 1 << 20
# Maximum size in bytes of a body that is received after its caller has its
# final answer or has left.
MAX_UNCLAIMED_BODY_BYTES = 1 << 18
# Maximum size in bytes of a response of the platform.
MAX_PLATFORM_BODY_BYTES = 8 << 20
# Maximum size in bytes of a document that a peer sends compressed.
MAX_PEER_DOCUMENT_BYTES = 4 << 20
# Maximum size in bytes of a request outside its head and its body: chunk
# sizes, extensions and trailers, in addition to the allowance for each chunk.
MAX_REQUEST_FRAMING_BYTES = 16384
# Maximum number of bytes that are discarded from a caller that still sends
# after its connection's last response.
MAX_LINGERING_BYTES = 1 << 20
# Number of requests sent ahead on a caller's connection that are kept until
# earlier ones are answered, and the bytes that are parsed before this number
# is checked. Reading pauses beyond it.
MAX_REQUESTS_AHEAD = 16
MAX_PARSED_BYTES = 4096


class Limit(enum.Enum):
    """A limit of the received bytes."""

    HEAD = "head-bytes"
    HEADER_FIELDS = "header-fields"
    INTERIM_RESPONSES = "interim-responses"
    FOREIGN_RESPONSES = "foreign-responses"
    FOREIGN_BODY = "foreign-body-bytes"
    BODY = "body-bytes"


class ResponseMeter:
    """Counts the bytes that were received in response to one request."""

    def __init__(self) -> None:
        """Initialize the meter of a request that was just sent."""
        self._received_bytes = 0
        self._chunks = 0
        self._interim_responses = 0
        self._foreign_responses = 0
        self._foreign_body_bytes = 0
        self._body_bytes = 0
        self._has_too_many_fields = False

    def on_received(self, size: int) -> None:
        """Count bytes of any kind, before they are parsed."""
        self._received_bytes += size

    def on_too_many_fields(self) -> None:
        """Record that a head has more than the allowed header fields."""
        self._has_too_many_fields = True

    def on_chunk(self) -> None:
        """Count the size line of a chunk."""
        self._chunks += 1

    def on_interim_response(self) -> None:
        """Count an interim response."""
        self._interim_responses += 1

    def on_foreign_response(self) -> None:
        """Count a response to another request."""
        self._foreign_responses += 1

    def on_foreign_body(self, size: int) -> None:
        """Count a part of the body of a response to another request."""
        self._foreign_body_bytes += size

    def on_body(self, size: int) -> None:
        """Count a part of the response's body."""
        self._body_bytes += size

    def find_exceeded(self, max_body_bytes: float = math.inf) -> Limit | None:
        """Return a limit that is exceeded, None if there is none."""
        head_bytes = (
            self._received_bytes - self._body_bytes - self._foreign_body_bytes
        )
        allowed_bytes = (
            MAX_RESPONSE_HEAD_BYTES + self._chunks * MAX_CHUNK_OVERHEAD_BYTES
        )
        if self._has_too_many_fields:
            return Limit.HEADER_FIELDS
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            return Limit.INTERIM_RESPONSES
        if self._foreign_responses > MAX_FOREIGN_RESPONSES:
            return Limit.FOREIGN_RESPONSES
        if self._foreign_body_bytes > MAX_FOREIGN_BODY_BYTES:
            return Limit.FOREIGN_BODY
        if head_bytes > allowed_bytes:
            return Limit.HEAD
        if self._body_bytes > max_body_bytes:
            return Limit.BODY
        return None
