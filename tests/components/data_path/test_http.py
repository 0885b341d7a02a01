"""Tests of HTTP/1.1 as callers see it, on real sockets."""

from __future__ import annotations

import contextlib
import socket

import pytest

from tarragonlift_lab import demo

HOST = b"Host: lab\r\n"
GET = b"GET /stock/1 HTTP/1.1\r\n" + HOST


def talk(site: demo.Site, *parts: bytes, until: bytes = b"") -> bytes:
    """Send bytes to a daemon; return what comes until the end or mark."""
    host, _, port = site.entries()[0].rpartition(":")
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


def status(received: bytes) -> int:
    """Return the status of the first answer."""
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
    """What could be read in two ways is refused."""

    @pytest.mark.parametrize("name", BAD_REQUESTS)
    def test_ambiguous_request_is_refused(
        self, site: demo.Site, name: str
    ) -> None:
        """400, not run, and the connection ends."""
        data = b"PUT /stock/1 HTTP/1.1\r\n" + HOST + BAD_REQUESTS[name]
        received = talk(site, data)
        assert status(received) == 400
        assert b"Tarragonlift-Outcome: not-run" in received

    def test_large_head_is_refused(self, site: demo.Site) -> None:
        """431 before the head ends."""
        received = talk(site, GET + b"X-A: " + b"a" * 40000)
        assert status(received) == 431

    def test_missing_host_is_refused(self, site: demo.Site) -> None:
        """A request names its host."""
        received = talk(site, b"GET / HTTP/1.1\r\n\r\n")
        assert status(received) == 400

    def test_older_version_is_refused(self, site: demo.Site) -> None:
        """Only HTTP/1.1 shows whether an answer is whole."""
        received = talk(site, b"GET / HTTP/1.0\r\n" + HOST + b"\r\n")
        assert status(received) == 505


class TestAnswers:
    """Answers come whole, framed and in order."""

    def test_pipelined_requests_are_answered_in_order(
        self, site: demo.Site
    ) -> None:
        """Two requests in one packet, two answers."""
        last = GET.replace(b"stock/1", b"stock/2")
        last += b"Connection: close\r\n\r\n"
        received = talk(site, GET + b"\r\n" + last)
        assert received.count(b"HTTP/1.1 200") == 2
        assert received.index(b"/stock/1 ") < received.index(b"/stock/2 ")

    def test_chunked_both_ways(self, site: demo.Site) -> None:
        """A chunked body goes out, a chunked answer comes back."""
        head = b"PUT /stock/1 HTTP/1.1\r\n" + HOST
        fields = (
            b"Transfer-Encoding: chunked\r\nAnswer-Chunked: 1\r\n"
            b"Connection: close\r\n\r\n"
        )
        received = talk(site, head + fields, b"3\r\nabc\r\n", b"0\r\n\r\n")
        assert status(received) == 200
        assert b"Transfer-Encoding: chunked" in received
        assert received.endswith(b"0\r\n\r\n")

    def test_head_has_no_body(self, site: demo.Site) -> None:
        """The length is told, the body is not sent."""
        data = GET.replace(b"GET", b"HEAD") + b"Connection: close\r\n\r\n"
        received = talk(site, data)
        assert status(received) == 200
        assert received.endswith(b"\r\n\r\n")

    def test_head_does_not_spoil_the_connection(self, site: demo.Site) -> None:
        """The same backend connection serves the next request."""
        first = GET.replace(b"GET", b"HEAD") + b"\r\n"
        received = talk(site, first + GET + b"Connection: close\r\n\r\n")
        assert received.count(b"HTTP/1.1 200") == 2
        assert b"/stock/1 " in received

    def test_expect_continue(self, site: demo.Site) -> None:
        """The body is asked for, then answered."""
        head = b"PUT /stock/1 HTTP/1.1\r\n" + HOST
        fields = (
            b"Content-Length: 3\r\nExpect: 100-continue\r\n"
            b"Connection: close\r\n\r\n"
        )
        received = talk(site, head + fields, until=b"Continue\r\n\r\n")
        assert received == b"HTTP/1.1 100 Continue\r\n\r\n"

    def test_bad_request_behind_a_good_one(self, site: demo.Site) -> None:
        """The good one is answered first, then the bad one is refused."""
        bad = b"GET / HTTP/1.1\r\nBroken Field: x\r\n\r\n"
        received = talk(site, GET + b"\r\n" + bad)
        assert received.startswith(b"HTTP/1.1 200")
        assert b"HTTP/1.1 400" in received

    def test_hop_by_hop_fields_stay_here(self, site: demo.Site) -> None:
        """Backend fields of one connection are not relayed."""
        received = talk(site, GET + b"Connection: close\r\n\r\n")
        assert b"Server-Start" not in received
        assert b"Connection: close" not in received.split(b"\r\n\r\n")[0]
