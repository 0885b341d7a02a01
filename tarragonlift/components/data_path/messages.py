"""Formats the HTTP/1.1 messages that tarragonlift writes."""

from __future__ import annotations

from collections import abc
import http

import orjson

from tarragonlift.components.data_path import caller
from tarragonlift.components.data_path import client
from tarragonlift import const
from tarragonlift.core import models
from tarragonlift import exceptions

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"

# Header fields that apply to a single connection only (RFC 9110, 7.6.1).
HOP_BY_HOP_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
FIELDS_NOT_FORWARDED = HOP_BY_HOP_FIELDS | {
    b"expect",
    b"content-length",
    b"x-forwarded-for",
    const.HEADER_DEADLINE.lower().encode(),
    const.HEADER_REQUEST.lower().encode(),
}
FIELDS_NOT_RELAYED = HOP_BY_HOP_FIELDS | {
    b"content-length",
    const.HEADER_SERVER_LOAD.lower().encode(),
    const.HEADER_SERVER_START.lower().encode(),
    const.HEADER_SERVER_STATE.lower().encode(),
    const.HEADER_OUTCOME.lower().encode(),
    const.HEADER_REQUEST.lower().encode(),
}

_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}
_REQUEST = const.HEADER_REQUEST.encode()
_DEADLINE = const.HEADER_DEADLINE.encode()
_OUTCOME = const.HEADER_OUTCOME.encode()


def encode_chunk(data: bytes) -> bytes:
    """Return the data as one chunk of the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def format_request_prefix(head: caller.RequestHead, request_id: str) -> bytes:
    """Return the request head for a backend server.

    The deadline and the empty line follow in ``format_request_suffix``.
    """
    excluded = get_excluded_fields(
        FIELDS_NOT_FORWARDED, head.fields.get(b"connection")
    )
    parts = [b"%b %b HTTP/1.1\r\n" % (head.method, head.target)]
    parts += format_field_lines(head.headers, excluded)
    forwarded_for = head.fields.get(b"x-forwarded-for")
    peer = head.peer.encode()
    addresses = b"%b, %b" % (forwarded_for, peer) if forwarded_for else peer
    parts.append(b"X-Forwarded-For: %b\r\n" % addresses)
    parts.append(b"%b: %b\r\n" % (_REQUEST, request_id.encode()))
    if head.chunked:
        parts.append(b"Transfer-Encoding: chunked\r\n")
    elif head.content_length or b"content-length" in head.fields:
        parts.append(b"Content-Length: %d\r\n" % head.content_length)
    return b"".join(parts)


def format_request_suffix(time_left_s: float) -> bytes:
    """Return the end of the request head, with the remaining time.

    The deadline field has at least 1 millisecond.
    """
    time_left_ms = max(1, int(time_left_s * const.MILLISECONDS_PER_SECOND))
    return b"%b: %d\r\n\r\n" % (_DEADLINE, time_left_ms)


def format_response_head(
    head: client.ResponseHead, request_id: str, close: bool
) -> bytes:
    """Return the head of a backend server's response for the caller."""
    excluded = get_excluded_fields(FIELDS_NOT_RELAYED, head.get(b"connection"))
    parts = [format_status_line(head.status)]
    parts += format_field_lines(head.headers, excluded)
    if head.chunked:
        parts.append(b"Transfer-Encoding: chunked\r\n")
    elif head.content_length is not None:
        parts.append(b"Content-Length: %d\r\n" % head.content_length)
    if close:
        parts.append(b"Connection: close\r\n")
    parts.append(
        b"%b: ran\r\n%b: %b\r\n\r\n"
        % (_OUTCOME, _REQUEST, request_id.encode())
    )
    return b"".join(parts)


def format_recorded_response(
    answer: models.RecordedAnswer, request_id: str
) -> bytes:
    """Return a complete recorded response."""
    body = answer.body or b""
    parts = [format_status_line(answer.status)]
    parts += format_field_lines(answer.headers, FIELDS_NOT_RELAYED)
    parts.append(
        b"Content-Length: %d\r\n%b: ran\r\n%b: true\r\n%b: %b\r\n\r\n"
        % (
            len(body),
            _OUTCOME,
            const.HEADER_REPLAYED.encode(),
            _REQUEST,
            request_id.encode(),
        )
    )
    return b"".join(parts) + body


def format_refusal(
    error: exceptions.Refusal,
    request_id: str,
    is_head: bool = False,
    close: bool = False,
    extra_fields: dict[str, object] | None = None,
) -> bytes:
    """Return the complete response for a refusal.

    ``extra_fields`` are added to the header fields or replace them.
    """
    body = orjson.dumps(
        {
            "error": error.code,
            "advice": error.advice,
            "outcome": error.outcome.value,
            "request": request_id,
            "help": f"POST {const.PATH_CASES} with this request identifier",
        }
    )
    fields = {
        "Content-Type": "application/json",
        "Content-Length": len(body),
        const.HEADER_OUTCOME: error.outcome.value,
        const.HEADER_ERROR: error.code,
        const.HEADER_REQUEST: request_id,
        const.HEADER_CASE: const.PATH_CASES,
    }
    fields.update(extra_fields or {})
    if close:
        fields["Connection"] = "close"
    return format_response(error.status, fields, b"" if is_head else body)


def format_response(
    status: int, fields: dict[str, object], body: bytes
) -> bytes:
    """Return a complete response."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return (
        format_status_line(status) + lines.encode("latin-1") + b"\r\n" + body
    )


def format_status_line(status: int) -> bytes:
    """Return the status line of a response."""
    return b"HTTP/1.1 %d %b\r\n" % (status, _REASONS.get(status, b"Status"))


def format_field_lines(
    headers: abc.Iterable[tuple[bytes, bytes]], excluded: frozenset[bytes]
) -> list[bytes]:
    """Return the lines of all header fields that are not excluded."""
    return [
        b"%b: %b\r\n" % (name, value)
        for name, value in headers
        if name.lower() not in excluded
    ]


def get_excluded_fields(
    base: frozenset[bytes], connection: bytes | None
) -> frozenset[bytes]:
    """Return the base fields and those listed in the Connection field."""
    if connection is None:
        return base
    listed = (name.strip().lower() for name in connection.split(b","))
    return base | frozenset(listed)
