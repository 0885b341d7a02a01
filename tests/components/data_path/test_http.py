"""Tests of the HTTP/1.1 interface to callers, on real sockets."""

from __future__ import annotations

import contextlib
import socket

import pytest

from tarragonlift_lab import demo

HOST = b"Host: lab\r\n"
GET = b"GET /stock/1 HTTP/1.1\r\n" + HOST


def exchange_bytes(
    site: demo.Site, *parts: bytes, until: bytes = b""
) -> bytes:
    """Send bytes to a daemon; return the response bytes.

    Reads until the end of the connection, or until ``until`` was received.
    """
    host, _, port = site.entry_addresses()[0].rpartition(":")
    received = b""
    with socket.create_connection((host, int(port)), timeout=20) as sock:
        for part in parts:
            sock.sendall(part)
        with contextlib.suppress(ConnectionResetError):
            while data := sock.recv(65536):
                received += data
                if until and until in received:
                    break
    return received


def parse_status(received: bytes) -> int:
    """Return the status of the first response."""
    return int(received.split(b" ", 2)[1])


BAD_REQUESTS = {
    "length and coding": (
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "coding and length": (
        b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n"
    ),
    "two lengths": b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
    "list of lengths": b"Content-Length: 3, 3\r\n\r\nabc",
    "signed length": b"Content-Length: +3\r\n\r\nabc",
    "folded field": b"X-A: b\r\n c\r\nContent-Length: 3\r\n\r\nabc",
    "space before colon": b"Content-Length : 3\r\n\r\nabc",
    "other coding": b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "unknown coding": b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "two hosts": b"Host: other\r\nContent-Length: 0\r\n\r\n",
    "upgrade": b"Connection: upgrade\r\nUpgrade: websocket\r\n\r\n",
}


class TestRefusedRequests:
    """Invalid and ambiguous requests are refused."""

    @pytest.mark.parametrize("name", BAD_REQUESTS)
    def test_ambiguous_request_is_refused(
        self, site: demo.Site, name: str
    ) -> None:
        """The status is 400, the outcome not-run; the connection closes."""
        data = b"PUT /stock/1 HTTP/1.1\r\n" + HOST + BAD_REQUESTS[name]
        received = exchange_bytes(site, data)
        assert parse_status(received) == 400
        assert b"Tarragonlift-Outcome: not-run" in received

    def test_large_head_is_refused(self, site: demo.Site) -> None:
        """The status is 431, sent before the head is complete."""
        received = exchange_bytes(site, GET + b"X-A: " + b"a" * 40000)
        assert parse_status(received) == 431

    def test_missing_host_is_refused(self, site: demo.Site) -> None:
        """A request without a Host field gets status 400."""
        received = exchange_bytes(site, b"GET / HTTP/1.1\r\n\r\n")
        assert parse_status(received) == 400

    def test_older_version_is_refused(self, site: demo.Site) -> None:
        """HTTP/1.0 can't show whether a response is complete."""
        received = exchange_bytes(site, b"GET / HTTP/1.0\r\n" + HOST + b"\r\n")
        assert parse_status(received) == 505


class TestResponses:
    """Responses are complete, framed and in order."""

    def test_pipelined_requests_are_answered_in_order(
        self, site: demo.Site
    ) -> None:
        """Two requests in one packet get two responses."""
        last = GET.replace(b"stock/1", b"stock/2")
        last += b"Connection: close\r\n\r\n"
        received = exchange_bytes(site, GET + b"\r\n" + last)
        assert received.count(b"HTTP/1.1 200") == 2
        assert received.index(b"/stock/1 ") < received.index(b"/stock/2 ")

    def test_chunked_request_and_response(self, site: demo.Site) -> None:
        """A chunked request body and a chunked response are relayed."""
        head = b"PUT /stock/1 HTTP/1.1\r\n" + HOST
        fields = (
            b"Transfer-Encoding: chunked\r\nAnswer-Chunked: 1\r\n"
            b"Connection: close\r\n\r\n"
        )
        received = exchange_bytes(
            site, head + fields, b"3\r\nabc\r\n", b"0\r\n\r\n"
        )
        assert parse_status(received) == 200
        assert b"Transfer-Encoding: chunked" in received
        assert received.endswith(b"0\r\n\r\n")

    def test_head_response_has_no_body(self, site: demo.Site) -> None:
        """The response to a HEAD request ends after its header fields."""
        data = GET.replace(b"GET", b"HEAD") + b"Connection: close\r\n\r\n"
        received = exchange_bytes(site, data)
        assert parse_status(received) == 200
        assert received.endswith(b"\r\n\r\n")

    def test_connection_is_reused_after_head(self, site: demo.Site) -> None:
        """A request after HEAD on the same connection gets its response."""
        first = GET.replace(b"GET", b"HEAD") + b"\r\n"
        received = exchange_bytes(
            site, first + GET + b"Connection: close\r\n\r\n"
        )
        assert received.count(b"HTTP/1.1 200") == 2
        assert b"/stock/1 " in received

    def test_expect_continue(self, site: demo.Site) -> None:
        """The daemon sends 100 Continue before the body."""
        head = b"PUT /stock/1 HTTP/1.1\r\n" + HOST
        fields = (
            b"Content-Length: 3\r\nExpect: 100-continue\r\n"
            b"Connection: close\r\n\r\n"
        )
        received = exchange_bytes(
            site, head + fields, until=b"Continue\r\n\r\n"
        )
        assert received == b"HTTP/1.1 100 Continue\r\n\r\n"

    def test_invalid_request_after_valid_one(self, site: demo.Site) -> None:
        """The valid request is answered, then the invalid one is refused."""
        invalid = b"GET / HTTP/1.1\r\nBroken Field: x\r\n\r\n"
        received = exchange_bytes(site, GET + b"\r\n" + invalid)
        assert received.startswith(b"HTTP/1.1 200")
        assert b"HTTP/1.1 400" in received

    def test_hop_by_hop_fields_are_not_relayed(self, site: demo.Site) -> None:
        """A backend server's hop-by-hop fields don't reach the caller."""
        received = exchange_bytes(site, GET + b"Connection: close\r\n\r\n")
        assert b"Server-Start" not in received
        assert b"Connection: close" not in received.split(b"\r\n\r\n")[0]
