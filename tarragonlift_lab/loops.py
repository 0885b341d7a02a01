"""Latency of four server loops on one keep-alive connection."""

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

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REQUEST = b"GET / HTTP/1.1\r\nHost: lab\r\nConnection: keep-alive\r\n\r\n"
SERVER_KINDS = ("web", "events", "poller", "selector")
ROUND_TRIPS = 3000
ADDRESS = models.Address("127.0.0.1", 0)

AddressCallback = abc.Callable[[str], None]


class WebResponder(circuits.BaseComponent):  # type: ignore[misc]
    """Responds through ``circuits.web``."""

    channel = "web"

    @circuits.handler("request", priority=1.0)
    def _on_request(self, event: Any, request: Any, response: Any) -> str:
        """Respond to a request."""
        event.stop()
        return "ok"


class EventResponder(circuits.Component):  # type: ignore[misc]
    """Responds with one circuits event for each read and write."""

    channel = "server"

    def read(self, sock: socket.socket, data: bytes) -> None:
        """Parse the data and respond."""
        httptools.HttpRequestParser(self).feed_data(data)
        self.fire(net.events.write(sock, RESPONSE))


class PollerRequestListener(caller.RequestListener):
    """Responds once the request is complete."""

    def __init__(self, connection: caller.CallerConnection) -> None:
        """Initialize the listener for a connection."""
        self._connection = connection

    def on_body(self, data: bytes) -> None:
        """Do nothing."""

    def on_body_complete(self) -> None:
        """Respond to the complete request."""
        fields: dict[str, object] = {"Content-Length": 2}
        self._connection.write(messages.format_response(200, fields, b"ok"))
        self._connection.finish_response(keep_alive=True)

    def on_writable(self) -> None:
        """Do nothing."""

    def on_caller_gone(self) -> None:
        """Do nothing."""

    def on_body_refused(self, refusal: exceptions.Refusal) -> None:
        """Do nothing."""


class PollerAcceptor(caller.RequestAcceptor):
    """Responds from within the data path's poller, without events."""

    def accept(
        self, connection: caller.CallerConnection, head: caller.RequestHead
    ) -> caller.RequestListener:
        """Accept a request."""
        return PollerRequestListener(connection)

    def refuse(
        self,
        connection: caller.CallerConnection,
        refusal: exceptions.Refusal,
    ) -> None:
        """Do nothing."""

    def on_closed(self, connection: caller.CallerConnection) -> None:
        """Do nothing."""


def serve(kind: str, report_address: AddressCallback) -> None:
    """Run a server of one kind until the process ends.

    ``report_address`` is called with the listening address.
    """
    if kind == "selector":
        _serve_selector(report_address)
        return
    root = circuits.Component()
    if kind == "web":
        server = web.BaseServer((ADDRESS.host, 0)).register(root)
        WebResponder().register(server)
        report_address(f"{ADDRESS.host}:{server.port}")
    elif kind == "events":
        tcp = net.sockets.TCPServer((ADDRESS.host, 0)).register(root)
        EventResponder().register(tcp)
        report_address(f"{ADDRESS.host}:{tcp.port}")
    else:
        _serve_poller(root, report_address)
    root.run()


def measure() -> dict[str, tuple[float, float]]:
    """Return p50 and p99 of the round trip in ms for each kind."""
    quantiles_ms = {}
    with tempfile.TemporaryDirectory(prefix="tarragonlift-") as folder:
        trial_processes = processes.TrialProcesses(pathlib.Path(folder))
        try:
            for kind in SERVER_KINDS:
                process = trial_processes.start_lab_process(
                    kind, "loop-server", "--kind", kind
                )
                quantiles_ms[kind] = _measure_round_trips(
                    process.addresses["address"]
                )
        finally:
            trial_processes.kill_all()
    return quantiles_ms


def _serve_poller(
    root: circuits.Component, report_address: AddressCallback
) -> None:
    """Serve from within the data path's poller."""
    data_poller = poller.DataPoller(print)
    data_poller.register(root)
    acceptor = PollerAcceptor()

    def on_accepted(sock: socket.socket, peer: tuple[str, int]) -> None:
        caller.CallerConnection(data_poller, sock, peer[0], acceptor)

    listener = stream.Listener(data_poller, ADDRESS, on_accepted)
    report_address(str(listener.address))


def _serve_selector(report_address: AddressCallback) -> None:
    """Serve from a plain selector loop without circuits."""
    listener = socket.create_server((ADDRESS.host, 0))
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ)
    report_address(f"{ADDRESS.host}:{listener.getsockname()[1]}")
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
            httptools.HttpRequestParser(_IgnoringParserTarget()).feed_data(
                data
            )
            sock.send(RESPONSE)


class _IgnoringParserTarget:
    """A parser target without callbacks."""


def _measure_round_trips(address: str) -> tuple[float, float]:
    """Measure round trips in sequence; return p50 and p99 in ms."""
    host, _, port = address.rpartition(":")
    round_trips_ms = []
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for _ in range(ROUND_TRIPS):
            started_at = time.perf_counter()
            sock.sendall(REQUEST)
            received = b""
            while b"ok" not in received.partition(b"\r\n\r\n")[2]:
                data = sock.recv(4096)
                if not data:
                    raise ConnectionError(address)
                received += data
            round_trips_ms.append((time.perf_counter() - started_at) * 1000)
    round_trips_ms.sort()
    return (
        round(round_trips_ms[len(round_trips_ms) // 2], 3),
        round(round_trips_ms[int(len(round_trips_ms) * 0.99)], 3),
    )
