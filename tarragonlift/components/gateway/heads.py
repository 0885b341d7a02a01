"""Heads of requests to servers and of responses to callers."""

from __future__ import annotations

from tarragonlift.components.data_path import caller
from tarragonlift.components.data_path import client
from tarragonlift.components.data_path import messages

STATUSES_WITHOUT_BODY = client.STATUSES_WITHOUT_BODY
_FRAMING = frozenset((b"content-length", b"expect"))


def format_request_prefix(
    head: caller.RequestHead, rewritten_fields: frozenset[bytes]
) -> bytes:
    """Return the request line and the fields that are forwarded unchanged."""
    base_excluded = messages.HOP_BY_HOP_FIELDS | _FRAMING | rewritten_fields
    excluded = messages.get_excluded_fields(
        base_excluded, head.fields.get(b"connection")
    )
    parts = [b"%b %b HTTP/1.1\r\n" % (head.method, head.target)]
    parts += messages.format_field_lines(head.headers, excluded)
    return b"".join(parts)


def format_body_framing_fields(
    head: caller.RequestHead, length: int | None
) -> bytes:
    """Return the body's framing fields; ``length`` None means unknown."""
    if length is None and head.chunked:
        return b"Transfer-Encoding: chunked\r\n"
    if length is None:
        length = head.content_length
    if length or head.chunked or b"content-length" in head.fields:
        return b"Content-Length: %d\r\n" % length
    return b""


def format_response_head(
    head: client.ResponseHead,
    length: int | None,
    is_head: bool,
    close: bool,
) -> bytes:
    """Return the head of a server's response for the caller.

    ``length`` is the size of the complete body in bytes. None means that the
    body is streamed, in chunks unless the server stated a length.
    """
    base_excluded = messages.HOP_BY_HOP_FIELDS | _FRAMING
    excluded = messages.get_excluded_fields(
        base_excluded, head.get(b"connection")
    )
    parts = [messages.format_status_line(head.status)]
    parts += messages.format_field_lines(head.headers, excluded)
    if is_head or length is None:
        content_length = head.content_length
    else:
        content_length = length
    if head.status not in STATUSES_WITHOUT_BODY:
        if content_length is not None:
            parts.append(b"Content-Length: %d\r\n" % content_length)
        elif not is_head:
            parts.append(b"Transfer-Encoding: chunked\r\n")
    if close:
        parts.append(b"Connection: close\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)
