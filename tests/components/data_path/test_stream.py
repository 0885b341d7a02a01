"""Tests for the TCP streams and their listening sockets."""

from __future__ import annotations

import select
import socket
import threading
import time

import pytest

from tarragonlift.components.data_path import const
from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.data_path import stream
from tarragonlift.core import models


class LateCallers(poller_module.DataPoller):
    """A poller whose listener gets callers just before its socket closes."""

    def __init__(self) -> None:
        """Initialize the poller without callers."""
        super().__init__(lambda error: None)
        self.address = models.Address("127.0.0.1", 0)
        self.callers: list[socket.socket] = []

    def detach(self, fileno: int) -> None:
        """Open a connection at the last moment."""
        super().detach(fileno)
        sock = socket.socket()
        self.callers.append(sock)
        sock.settimeout(0.05)
        try:
            sock.connect((self.address.host, self.address.port))
        except TimeoutError:
            # The kernel goes on.
            return


class TestListenerClose:
    """Connections that callers open while a listener closes."""

    @pytest.fixture
    def accepted(self) -> list[socket.socket]:
        """Return the connections that the listener accepted."""
        return []

    @pytest.fixture
    def poller(self) -> LateCallers:
        """Return a poller with late callers."""
        return LateCallers()

    @pytest.fixture
    def listener(
        self, poller: LateCallers, accepted: list[socket.socket]
    ) -> stream.Listener:
        """Return a listener on a port of its own."""
        listener = stream.Listener(
            poller,
            models.Address("127.0.0.1", 0),
            lambda sock, address: accepted.append(sock),
        )
        poller.address = listener.address
        return listener

    def test_no_late_connection_is_reset(
        self, poller: LateCallers, listener: stream.Listener
    ) -> None:
        """Guard against connections that are established, then reset."""
        listener.close()
        (caller,) = poller.callers
        # The kernel repeats the request for a connection after 1 s.
        result = select.poll()
        result.register(caller, select.POLLOUT)
        assert result.poll(3000)
        error = caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        assert ConnectionRefusedError is type(OSError(error, ""))

    def test_pending_connection_is_accepted(
        self, listener: stream.Listener, accepted: list[socket.socket]
    ) -> None:
        """Accept what was established before and still reads and writes."""
        caller = socket.create_connection(
            (listener.address.host, listener.address.port), timeout=3
        )
        listener.close()
        (sock,) = accepted
        caller.sendall(b"late")
        sock.settimeout(3)
        assert sock.recv(4) == b"late"
        sock.sendall(b"answer")
        assert caller.recv(6) == b"answer"

    @pytest.mark.parametrize("is_filtered", [True, False])
    def test_close_ends_beside_callers(
        self,
        poller: LateCallers,
        monkeypatch: pytest.MonkeyPatch,
        is_filtered: bool,
    ) -> None:
        """Close in time although callers keep connecting."""
        if not is_filtered:
            monkeypatch.setattr(const, "SO_ATTACH_FILTER", -1)
        listener = stream.Listener(
            poller,
            models.Address("127.0.0.1", 0),
            lambda sock, address: sock.close(),
        )
        poller.address = listener.address
        address = (listener.address.host, listener.address.port)
        has_ended = threading.Event()

        def connect() -> None:
            """Connect again and again, for a few seconds at most."""
            until = time.monotonic() + 3.0
            while not has_ended.is_set() and time.monotonic() < until:
                with socket.socket() as sock:
                    sock.setblocking(False)
                    sock.connect_ex(address)
                time.sleep(0.001)

        threads = [threading.Thread(target=connect) for _ in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(0.05)
        begin = time.monotonic()
        listener.close()
        duration_s = time.monotonic() - begin
        has_ended.set()
        for thread in threads:
            thread.join()
        assert duration_s < 1
