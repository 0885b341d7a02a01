"""A TCP connection without blocking, with bounded buffers."""

from __future__ import annotations

import abc
import collections
from collections import abc as collections_abc
import socket
import struct
import time

from tarragonlift.components.data_path import const
from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.core import models

LINGER_RESET = struct.pack("ii", 1, 0)


class Stream(poller_module.SocketHandler):
    """Reads and writes one socket; what to do with the data is abstract."""

    def __init__(
        self,
        poller: poller_module.DataPoller,
        sock: socket.socket,
        connecting: bool = False,
    ) -> None:
        """Serve the socket by the poller from now on."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._poller = poller
        self._sock = sock
        self._fileno = sock.fileno()
        self._connecting = connecting
        self._closed = False
        self._closing = False
        # The other side ended the stream in order, without a reset.
        self.has_received_eof = False
        self._reading = True
        self._dirty = False
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._mask = const.MASK_WRITE if connecting else const.MASK_READ
        self.active_at = time.monotonic()
        poller.attach(self._fileno, self._mask, self)

    @property
    def is_closed(self) -> bool:
        """Return whether the socket is closed."""
        return self._closed

    @property
    def pending_bytes(self) -> int:
        """Return how many bytes wait to be written."""
        return self._pending_bytes

    @property
    def is_congested(self) -> bool:
        """Return whether the writer should pause."""
        return self._pending_bytes > const.BUFFER_HIGH_BYTES

    def write(self, data: bytes) -> None:
        """Send the data soon, together with what else is written now."""
        if self._closed or not data:
            return
        self._pending.append(data)
        self._pending_bytes += len(data)
        if not self._dirty and not self._connecting:
            self._dirty = True
            self._poller.flush_soon(self)

    def flush(self) -> None:
        """Send what was written since the poller served this socket."""
        self._dirty = False
        if self._closed or self._connecting or self._mask & const.MASK_WRITE:
            return
        self._flush()
        self._update_mask()

    def pause_reading(self) -> None:
        """Take no data until ``resume_reading``."""
        if self._reading:
            self._reading = False
            self._update_mask()

    def resume_reading(self) -> None:
        """Take data again."""
        if not self._reading:
            self._reading = True
            self.active_at = time.monotonic()
            self._update_mask()

    def close(self) -> None:
        """Close at once; what waits to be written is lost."""
        if self._closed:
            return
        self._closed = True
        self._poller.detach(self._fileno)
        self._sock.close()
        self._pending.clear()
        self._pending_bytes = 0

    def close_when_sent(self) -> None:
        """Close as soon as everything is written."""
        if not self._pending:
            self.close()
            return
        self._closing = True
        self._update_mask()

    def reset(self) -> None:
        """Close so that the other side sees an error, not an end."""
        if self._closed:
            return
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
        )
        self.close()

    def on_ready(self, mask: int) -> None:
        """Serve the socket."""
        if self._connecting:
            self._finish_connect()
            return
        if mask & const.MASK_READ and self._reading:
            self._read()
        elif mask & const.MASK_CLOSED:
            self._fail()
        if mask & const.MASK_WRITE and not self._closed:
            self._flush()

    @abc.abstractmethod
    def on_data(self, data: bytes) -> None:
        """Take data that arrived."""

    @abc.abstractmethod
    def on_end(self) -> None:
        """The other side closed or the connection broke; it is closed."""

    def on_connected(self) -> None:
        """The connection is established."""

    def on_writable(self) -> None:
        """The buffer is short again after it was congested."""

    def _read(self) -> None:
        """Read once; the poller calls again while there is more."""
        try:
            data = self._sock.recv(const.READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._fail()
            return
        if not data:
            self.has_received_eof = True
            self._fail()
            return
        if not self._closing:
            self.on_data(data)

    def _flush(self) -> None:
        """Write what waits."""
        was_congested = self._pending_bytes > const.BUFFER_LOW_BYTES
        while self._pending:
            data = self._take_pending()
            try:
                sent = self._sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._fail()
                return
            self._pending_bytes -= sent
            if sent < len(data):
                self._pending.appendleft(data[sent:])
                break
        self.active_at = time.monotonic()
        if not self._pending:
            if self._closing:
                self.close()
                return
            self._update_mask()
        if was_congested and self._pending_bytes <= const.BUFFER_LOW_BYTES:
            self.on_writable()

    def _take_pending(self) -> bytes:
        """Return what waits, short pieces joined."""
        data = self._pending.popleft()
        if not self._pending or len(data) >= const.JOIN_BYTES_MOST:
            return data
        pieces = [data]
        size = len(data)
        while self._pending and size < const.JOIN_BYTES_MOST:
            piece = self._pending.popleft()
            pieces.append(piece)
            size += len(piece)
        return b"".join(pieces)

    def _finish_connect(self) -> None:
        """See whether the connection was established."""
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._fail()
            return
        self._connecting = False
        self._update_mask()
        self.on_connected()
        if not self._closed:
            self._flush()

    def _update_mask(self) -> None:
        """Tell the poller what to wait for."""
        if self._closed:
            return
        mask = 0
        if self._reading and not self._connecting:
            mask |= const.MASK_READ
        if self._pending or self._connecting:
            mask |= const.MASK_WRITE
        if mask != self._mask:
            self._mask = mask
            self._poller.change(self._fileno, mask)

    def _fail(self) -> None:
        """Close and tell."""
        if self._closed:
            return
        self.close()
        self.on_end()


class Listener(poller_module.SocketHandler):
    """Accepts connections on one address."""

    def __init__(
        self,
        poller: poller_module.DataPoller,
        address: models.Address,
        on_accept: collections_abc.Callable[
            [socket.socket, tuple[str, int]], None
        ],
    ) -> None:
        """Listen; port 0 lets the kernel choose."""
        self._poller = poller
        self._on_accept = on_accept
        self._sock = socket.create_server(
            (address.host, address.port), backlog=const.LISTEN_BACKLOG
        )
        self._sock.setblocking(False)
        poller.attach(self._sock.fileno(), const.MASK_READ, self)

    @property
    def address(self) -> models.Address:
        """Return the address on which it listens."""
        host, port = self._sock.getsockname()[:2]
        return models.Address(host, port)

    def on_ready(self, mask: int) -> None:
        """Accept what waits."""
        for _ in range(const.ACCEPT_MOST):
            try:
                sock, address = self._sock.accept()
            except OSError:
                return
            self._on_accept(sock, address)

    def close(self) -> None:
        """Stop listening."""
        if self._sock.fileno() >= 0:
            self._poller.detach(self._sock.fileno())
            self._sock.close()


def connect(address: models.Address) -> socket.socket | None:
    """Return a socket that is being connected, or None on failure."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    _detect_silence(sock)
    try:
        sock.connect((address.host, address.port))
    except BlockingIOError:
        return sock
    except OSError:
        sock.close()
        return None
    return sock


def _detect_silence(sock: socket.socket) -> None:
    """Let the kernel end a connection whose other side does not answer."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, const.KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, const.KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, const.KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, const.UNACKED_MOST_MS)
