"""Four ways to serve a small answer, measured on one kept-alive connection."""

from __future__ import annotations

from collections import abc
import pathlib
import selectors
import socket
import tempfile
import time
from typing import Any

import circuits
from circuits import net
from circuits import web
import httptools

from tarragonlift.components.data_path import caller
from tarragonlift.components.data_path import messages
from tarragonlift.components.data_path import poller
from tarragonlift.components.data_path import stream
from tarragonlift.core import models
from tarragonlift import exceptions
from tarragonlift_lab import processes

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REQUEST = b"GET / HTTP/1.1\r\nHost: lab\r\nConnection: keep-alive\r\n\r\n"
KINDS = ("web", "events", "poller", "selector")
ROUND_TRIPS = 3000
ADDRESS = models.Address("127.0.0.1", 0)

Tell = abc.Callable[[str], None]


class WebAnswer(circuits.BaseComponent):  # type: ignore[misc]
    """Answers through ``circuits.web``."""

    channel = "web"

    @circuits.handler("request", priority=1.0)
    def _on_request(self, event: Any, request: Any, response: Any) -> str:
        """Answer."""
        event.stop()
        return "ok"


class EventAnswer(circuits.Component):  # type: ignore[misc]
    """Answers with one event for each read and write."""

    channel = "server"

    def read(self, sock: socket.socket, data: bytes) -> None:
        """Parse and answer."""
        httptools.HttpRequestParser(self).feed_data(data)
        self.fire(net.events.write(sock, ANSWER))


class PollerRequest(caller.RequestListener):
    """Answers once the request is whole."""

    def __init__(self, connection: caller.CallerConnection) -> None:
        """Answer on this connection."""
        self._connection = connection

    def on_body(self, data: bytes) -> None:
        """Do nothing."""

    def on_body_complete(self) -> None:
        """Answer."""
        fields: dict[str, object] = {"Content-Length": 2}
        self._connection.write(messages.format_response(200, fields, b"ok"))
        self._connection.finish_response(keep_alive=True)

    def on_writable(self) -> None:
        """Do nothing."""

    def on_caller_gone(self) -> None:
        """Do nothing."""

    def on_body_refused(self, refusal: exceptions.Refusal) -> None:
        """Do nothing."""


class PollerAnswer(caller.RequestAcceptor):
    """Answers from inside the poller."""

    def accept(
        self, connection: caller.CallerConnection, head: caller.RequestHead
    ) -> caller.RequestListener:
        """Take a request."""
        return PollerRequest(connection)

    def refuse(
        self,
        connection: caller.CallerConnection,
        refusal: exceptions.Refusal,
    ) -> None:
        """Do nothing."""

    def on_closed(self, connection: caller.CallerConnection) -> None:
        """Do nothing."""


def serve(kind: str, tell: Tell) -> None:
    """Serve in one of the four ways until the process is ended."""
    if kind == "selector":
        _serve_selector(tell)
        return
    root = circuits.Component()
    if kind == "web":
        server = web.BaseServer((ADDRESS.host, 0)).register(root)
        WebAnswer().register(server)
        tell(f"{ADDRESS.host}:{server.port}")
    elif kind == "events":
        tcp = net.sockets.TCPServer((ADDRESS.host, 0)).register(root)
        EventAnswer().register(tcp)
        tell(f"{ADDRESS.host}:{tcp.port}")
    else:
        _serve_poller(root, tell)
    root.run()


def measure() -> dict[str, tuple[float, float]]:
    """Return p50 and p99 of the round trip in ms for each way."""
    found = {}
    with tempfile.TemporaryDirectory(prefix="tarragonlift-") as folder:
        started = processes.Processes(pathlib.Path(folder))
        try:
            for kind in KINDS:
                process = started.start_lab(
                    kind, "loop-server", "--kind", kind
                )
                found[kind] = _round_trips(process.addresses["address"])
        finally:
            started.end_all()
    return found


def _serve_poller(root: circuits.Component, tell: Tell) -> None:
    """Serve from inside the poller."""
    own = poller.DataPoller(print)
    own.register(root)
    acceptor = PollerAnswer()

    def accepted(sock: socket.socket, peer: tuple[str, int]) -> None:
        caller.CallerConnection(own, sock, peer[0], acceptor)

    listener = stream.Listener(own, ADDRESS, accepted)
    tell(str(listener.address))


def _serve_selector(tell: Tell) -> None:
    """Serve by a plain loop."""
    listener = socket.create_server((ADDRESS.host, 0))
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ)
    tell(f"{ADDRESS.host}:{listener.getsockname()[1]}")
    while True:
        for key, _ in selector.select():
            sock: Any = key.fileobj
            if sock is listener:
                accepted, _ = listener.accept()
                accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                selector.register(accepted, selectors.EVENT_READ)
                continue
            data = sock.recv(65536)
            if not data:
                selector.unregister(sock)
                sock.close()
                continue
            httptools.HttpRequestParser(_Nothing()).feed_data(data)
            sock.send(ANSWER)


class _Nothing:
    """Takes nothing from the parser."""


def _round_trips(address: str) -> tuple[float, float]:
    """Return p50 and p99 of many round trips, in ms."""
    host, _, port = address.rpartition(":")
    times = []
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for _ in range(ROUND_TRIPS):
            began = time.perf_counter()
            sock.sendall(REQUEST)
            received = b""
            while b"ok" not in received.partition(b"\r\n\r\n")[2]:
                data = sock.recv(4096)
                if not data:
                    raise ConnectionError(address)
                received += data
            times.append((time.perf_counter() - began) * 1000)
    times.sort()
    return (
        round(times[len(times) // 2], 3),
        round(times[int(len(times) * 0.99)], 3),
    )
