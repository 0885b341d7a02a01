"""The daemon as the platform runs it, against stand-ins on real sockets."""

from __future__ import annotations

from collections import abc
import pathlib
import signal
import socket
import time

import pytest

from tests.platform import standin


@pytest.fixture
def site(tmp_path: pathlib.Path) -> abc.Iterator[standin.Site]:
    """Start a store, two servers and a daemon."""
    made = standin.Site(tmp_path, "i-a", "i-b")
    try:
        made.wait_ready()
        yield made
    finally:
        made.close()


def connect(address: str) -> socket.socket:
    """Return a connection to an address."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=10)


def request(
    path: str,
    request_id: str,
    method: str = "GET",
    body: bytes = b"",
    extra: str = "",
    left_ms: int = 2000,
) -> bytes:
    """Return the bytes of a request."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
        f"X-Request-Id: {request_id}\r\nX-Request-Deadline: {left_ms}\r\n"
        f"{extra}"
    )
    if method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def read_answer(sock: socket.socket) -> bytes:
    """Read one answer with its body."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = sock.recv(65536)
        if not data:
            return received
        received += data
    head, _, body = received.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        data = sock.recv(65536)
        if not data:
            break
        body += data
    return head + b"\r\n\r\n" + body


def ask(site: standin.Site, *args: object, **kwargs: object) -> bytes:
    """Send a request on a connection of its own; return the answer."""
    with connect(site.listen) as sock:
        sock.sendall(request(*args, **kwargs))  # type: ignore[arg-type]
        return read_answer(sock)


def set_mode(site: standin.Site, mode: str, delay_s: float = 0.0) -> None:
    """Let all servers behave in this way."""
    for server in site.servers:
        server.mode = mode
        server.delay_s = delay_s


def runs(site: standin.Site) -> list[str]:
    """Return the identifiers of all requests that ran."""
    return [one for server in site.servers for one in server.ran]


class TestAnswers:
    """Callers get the whole answer of the server, or the truth."""

    def test_answer_comes_with_signature_and_body(
        self, site: standin.Site
    ) -> None:
        """Pass status, signature and body on."""
        received = ask(site, "/look/1?x=2", "r-1")
        assert standin.status_of(received) == 200
        assert b"X-Server-Signature: s.1" in received
        assert received.endswith(b" /look/1?x=2")

    def test_answer_without_length_is_whole(self, site: standin.Site) -> None:
        """Take the end of the connection as the end of the answer."""
        set_mode(site, "unframed")
        received = ask(site, "/order/1", "r-1", "POST", b"coal")
        assert standin.status_of(received) == 200
        assert received.endswith(b" /order/1")

    def test_answer_cut_short_is_not_passed_on(
        self, site: standin.Site
    ) -> None:
        """Answer 502 to what can't be repeated."""
        set_mode(site, "cut")
        received = ask(site, "/order/1", "r-1", "POST", b"coal")
        assert standin.status_of(received) == 502
        assert len(runs(site)) == 1

    def test_success_without_signature_is_no_success(
        self, site: standin.Site
    ) -> None:
        """Answer 502 where the success is not the server's."""
        set_mode(site, "no signature")
        received = ask(site, "/order/1", "r-1", "POST", b"coal")
        assert standin.status_of(received) == 502

    def test_second_answer_reaches_nobody(self, site: standin.Site) -> None:
        """Pass over an answer that belongs to an earlier request."""
        set_mode(site, "extra")
        for number in range(30):
            received = ask(site, f"/look/{number}", f"r-{number}")
            assert standin.status_of(received) == 200
            assert received.endswith(f" /look/{number}".encode())


class TestRuns:
    """What may run again and what may not."""

    def test_order_runs_once_when_its_answer_is_lost(
        self, site: standin.Site
    ) -> None:
        """Do not send it again."""
        set_mode(site, "reset")
        received = ask(site, "/order/1", "r-1", "POST", b"coal")
        assert standin.status_of(received) == 502
        assert runs(site) == ["r-1"]

    def test_lookup_runs_again(self, site: standin.Site) -> None:
        """Send it to the other server."""
        site.servers[0].mode = "reset"
        for number in range(6):
            received = ask(site, f"/look/{number}", f"r-{number}")
            assert standin.status_of(received) == 200

    def test_refusal_says_not_run(self, site: standin.Site) -> None:
        """Answer 503 with when to come back where every server sheds."""
        set_mode(site, "shed")
        received = ask(site, "/order/1", "r-1", "POST", b"coal")
        assert standin.status_of(received) == 503
        assert b"Retry-After: 0." in received
        assert runs(site) == []

    def test_lookup_ends_when_its_caller_leaves(
        self, site: standin.Site
    ) -> None:
        """Close the connection to the server."""
        set_mode(site, "good", delay_s=5.0)
        sock = connect(site.listen)
        sock.sendall(request("/look/1", "r-1", left_ms=9000))
        while not runs(site):
            time.sleep(0.005)
        sock.close()
        site.wait_line(decision="caller_gone")
        while not any(server.cancelled for server in site.servers):
            time.sleep(0.005)

    def test_upload_reaches_the_server_whole(self, site: standin.Site) -> None:
        """Send every byte of the body, chunks joined."""
        with connect(site.listen) as sock:
            sock.sendall(
                b"POST /upload/1 HTTP/1.1\r\nHost: shop.example\r\n"
                b"X-Request-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
            )
            assert standin.status_of(read_answer(sock)) == 200
        bodies = [one for server in site.servers for one in server.bodies]
        assert bodies == [b"abcdefg"]


class TestLimits:
    """What callers may send."""

    def test_long_body_is_refused(self, site: standin.Site) -> None:
        """Answer 413 to a body beyond the configuration's limit."""
        body = b"x" * 100_001
        received = ask(site, "/upload/1", "r-1", "POST", body)
        assert standin.status_of(received) == 413

    def test_very_long_body_is_refused_before_it_comes(
        self, site: standin.Site
    ) -> None:
        """Answer 413 by the stated length alone."""
        with connect(site.listen) as sock:
            sock.sendall(
                b"POST /upload/1 HTTP/1.1\r\nHost: shop.example\r\n"
                b"X-Request-Id: r-1\r\nContent-Length: 9000000\r\n\r\n"
            )
            assert standin.status_of(read_answer(sock)) == 413

    def test_long_body_in_chunks_is_refused(self, site: standin.Site) -> None:
        """Answer 413 as soon as the chunks exceed the limit."""
        chunk = b"4e20\r\n" + b"x" * 20_000 + b"\r\n"
        with connect(site.listen) as sock:
            sock.sendall(
                b"POST /upload/1 HTTP/1.1\r\nHost: shop.example\r\n"
                b"X-Request-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            sock.sendall(6 * chunk)
            assert standin.status_of(read_answer(sock)) == 413

    def test_long_head_is_refused(self, site: standin.Site) -> None:
        """Answer 431 to a head beyond the limit."""
        extra = f"X-Long: {'x' * 5000}\r\n"
        received = ask(site, "/look/1", "r-1", extra=extra)
        assert standin.status_of(received) == 431

    def test_slow_head_is_refused(self, site: standin.Site) -> None:
        """Answer 408 to a head that does not come."""
        with connect(site.listen) as sock:
            sock.sendall(b"GET /look/1 HTTP/1.1\r\nHost: ")
            assert standin.status_of(read_answer(sock)) == 408

    def test_unknown_path_has_no_route(self, site: standin.Site) -> None:
        """Answer 404."""
        assert standin.status_of(ask(site, "/none/1", "r-1")) == 404


class TestKeptConnections:
    """A refusal leaves the caller's connection as it was."""

    def test_unknown_path_keeps_the_connection(
        self, site: standin.Site
    ) -> None:
        """Answer once, and serve the next request on the connection."""
        with connect(site.listen) as sock:
            sock.sendall(request("/none/1", "r-1"))
            assert standin.status_of(read_answer(sock)) == 404
            sock.sendall(request("/look/1", "r-2"))
            assert standin.status_of(read_answer(sock)) == 200

    def test_long_body_gets_one_answer(self, site: standin.Site) -> None:
        """Answer nothing to the rest of a body that was refused."""
        with connect(site.listen) as sock:
            sock.sendall(
                b"POST /upload/1 HTTP/1.1\r\nHost: shop.example\r\n"
                b"X-Request-Id: r-1\r\nContent-Length: 9000000\r\n\r\n"
            )
            received = read_answer(sock)
            sock.sendall(b"x" * 1000)
            while data := sock.recv(65536):
                received += data
        assert received.count(b"HTTP/1.1 ") == 1


class TestStore:
    """What the daemon follows."""

    def test_new_route_is_served(self, site: standin.Site) -> None:
        """Put a configuration in force as soon as it is written."""
        changed = standin.configuration(4, "more")
        site.store_put("op", "config", changed)
        site.wait_line(about="configuration", version=4)
        assert standin.status_of(ask(site, "/more/1", "r-1")) == 200

    def test_older_configuration_changes_nothing(
        self, site: standin.Site
    ) -> None:
        """Stay with the newer version."""
        site.store_put("op", "config", standin.configuration(5, "more"))
        site.wait_line(about="configuration", version=5)
        site.store_put("op", "config", standin.configuration(4))
        site.store_put("op", "evacuate/elsewhere", {})
        site.wait_line(about="data_centres_out")
        assert standin.status_of(ask(site, "/more/1", "r-1")) == 200

    def test_leaving_server_gets_nothing(self, site: standin.Site) -> None:
        """Send nothing once the list says that a server leaves."""
        leaving = site.servers[0]
        entry = leaving.entry(state="draining")
        site.store_put("servers", leaving.server_id, entry)
        site.wait_line(change="backend-leaving")
        leaving.ran.clear()
        for number in range(12):
            ask(site, f"/look/{number}", f"r-{number}")
        assert leaving.ran == []

    def test_data_centre_out_gets_nothing(self, site: standin.Site) -> None:
        """Refuse as not run, and serve again once it is back."""
        site.store_put("op", "evacuate/here", {})
        site.wait_line(about="data_centres_out")
        assert standin.status_of(ask(site, "/look/1", "r-1")) == 503
        site.store_put("op", "evacuate/here", None)
        site.wait_line(about="data_centres_out", out=[])
        assert standin.status_of(ask(site, "/look/1", "r-2")) == 200

    def test_bad_entries_hurt_no_other(self, site: standin.Site) -> None:
        """Log an entry that can't be read, and serve on."""
        site.store_put("servers", "i-bad", b"\xff{")
        site.store_put("servers", "i-odd", {"address": 7})
        site.wait_line(about="unreadable_document")
        assert standin.status_of(ask(site, "/look/1", "r-1")) == 200

    def test_long_answer_over_a_slow_link_is_taken(
        self, site: standin.Site
    ) -> None:
        """Take a configuration that comes slowly but keeps coming."""
        site.store.parts = 12
        site.store.part_pause_s = 0.2
        site.store_put("op", "config", standin.configuration(4, "more"))
        site.wait_line(about="configuration", version=4)
        losses = [one for one in site.lines if one.get("lost")]
        assert losses == []

    def test_store_away_hurts_no_request(self, site: standin.Site) -> None:
        """Serve on with what was read last; say when it is back."""
        site.store.refusing = True
        site.wait_line(about="dependency", lost=True)
        assert standin.status_of(ask(site, "/look/1", "r-1")) == 200
        site.store.refusing = False
        site.wait_line(about="dependency", lost=False)


class TestReload:
    """The settings file changes."""

    def test_signal_reads_it_again(self, site: standin.Site) -> None:
        """Tell that nothing changed."""
        site.daemon.send_signal(signal.SIGHUP)
        line = site.wait_line(about="reload")
        assert line["changed"] is False

    def test_change_without_a_signal_is_seen(self, site: standin.Site) -> None:
        """Put new times in force."""
        site.change_settings("bounds.drain=2000ms", "bounds.drain=3s")
        line = site.wait_line(about="reload")
        assert line["changed"] is True
        assert line["needs_restart"] is False

    def test_bad_file_changes_nothing(self, site: standin.Site) -> None:
        """Log every error and serve on."""
        site.change_settings("bounds.drain=2000ms", "bounds.drain=soon")
        site.wait_line(reload="failed")
        assert standin.status_of(ask(site, "/look/1", "r-1")) == 200


class TestStop:
    """A graceful stop."""

    def test_request_in_progress_is_finished(self, site: standin.Site) -> None:
        """Answer it, ask the caller to go elsewhere, and end."""
        set_mode(site, "good", delay_s=0.8)
        with connect(site.listen) as sock:
            sock.sendall(request("/look/1", "r-1", left_ms=5000))
            while not runs(site):
                time.sleep(0.005)
            site.daemon.send_signal(signal.SIGTERM)
            site.wait_line(about="stop")
            with connect(site.ready) as ready:
                ready.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                assert standin.status_of(read_answer(ready)) == 503
            received = read_answer(sock)
        assert standin.status_of(received) == 200
        assert b"Connection: close" in received
        assert site.daemon.wait(10) == 0
