"""Heads of requests to servers and of answers to callers."""

from __future__ import annotations

from tarragonlift.components.data_path import caller
from tarragonlift.components.data_path import client
from tarragonlift.components.data_path import messages

STATUSES_WITHOUT_BODY = client.STATUSES_WITHOUT_BODY
_FRAMING = frozenset((b"content-length", b"expect"))


def request_prefix(
    head: caller.RequestHead, rewritten_fields: frozenset[bytes]
) -> bytes:
    """Return the request line and the fields that go on unchanged."""
    base = messages.HOP_BY_HOP_FIELDS | _FRAMING | rewritten_fields
    dropped = messages.get_excluded_fields(
        base, head.fields.get(b"connection")
    )
    parts = [b"%b %b HTTP/1.1\r\n" % (head.method, head.target)]
    parts += messages.format_field_lines(head.headers, dropped)
    return b"".join(parts)


def body_framing_fields(head: caller.RequestHead, length: int | None) -> bytes:
    """Return the framing of a body; ``length`` None: not known yet."""
    if length is None and head.chunked:
        return b"Transfer-Encoding: chunked\r\n"
    if length is None:
        length = head.content_length
    if length or head.chunked or b"content-length" in head.fields:
        return b"Content-Length: %d\r\n" % length
    return b""


def response_head(
    head: client.ResponseHead,
    length: int | None,
    is_head: bool,
    close: bool,
) -> bytes:
    """Return the head of a server's answer for the caller.

    ``length`` is that of the whole body; None: it is streamed, in chunks
    where the server did not state a length.
    """
    base = messages.HOP_BY_HOP_FIELDS | _FRAMING
    dropped = messages.get_excluded_fields(base, head.get(b"connection"))
    parts = [messages.format_status_line(head.status)]
    parts += messages.format_field_lines(head.headers, dropped)
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
