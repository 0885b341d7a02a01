"""Non-blocking TCP connections with write buffers and backpressure."""

from __future__ import annotations

import abc
import collections
from collections import abc as collections_abc
import ctypes
import select
import socket
import struct
import time

from tarragonlift.components.data_path import const
from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components import logs
from tarragonlift.core import models

LINGER_RESET_OPTION = struct.pack("ii", 1, 0)

# A classic BPF program over a TCP segment: drop it if its SYN flag is set.
_DROP_SYN_PROGRAM = b"".join(
    struct.pack("HBBI", *instruction)
    for instruction in (
        (0x30, 0, 0, 13),  # load the byte of the flags
        (0x45, 0, 1, 0x02),  # skip the next instruction without SYN
        (0x06, 0, 0, 0),  # drop
        (0x06, 0, 0, 0xFFFFFFFF),  # pass the whole segment
    )
)


class Stream(poller_module.SocketHandler):
    """Reads and writes one socket; subclasses handle the data."""

    def __init__(
        self,
        poller: poller_module.DataPoller,
        sock: socket.socket,
        connecting: bool = False,
    ) -> None:
        """Initialize the stream and register its socket with the poller."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._poller = poller
        self._sock = sock
        self._fileno = sock.fileno()
        self._connecting = connecting
        self._closed = False
        self._closing = False
        # The other side closed the stream in an orderly way, without a reset.
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
        """Return the number of buffered bytes that are not yet written."""
        return self._pending_bytes

    @property
    def is_congested(self) -> bool:
        """Return whether the write buffer exceeds its high watermark."""
        return self._pending_bytes > const.HIGH_WATERMARK_BYTES

    def write(self, data: bytes) -> None:
        """Buffer the data; all data of one poller step is sent together."""
        if self._closed or not data:
            return
        self._pending.append(data)
        self._pending_bytes += len(data)
        if not self._dirty and not self._connecting:
            self._dirty = True
            self._poller.flush_soon(self)

    def flush(self) -> None:
        """Send the data that was buffered during this poller step."""
        self._dirty = False
        if self._closed or self._connecting or self._mask & const.MASK_WRITE:
            return
        self._flush()
        self._update_mask()

    def pause_reading(self) -> None:
        """Stop reading until ``resume_reading`` is called."""
        if self._reading:
            self._reading = False
            self._update_mask()

    def resume_reading(self) -> None:
        """Start reading again."""
        if not self._reading:
            self._reading = True
            self.active_at = time.monotonic()
            self._update_mask()

    def close(self) -> None:
        """Close at once and discard the write buffer."""
        if self._closed:
            return
        self._closed = True
        self._poller.detach(self._fileno)
        self._sock.close()
        self._pending.clear()
        self._pending_bytes = 0

    def close_when_sent(self) -> None:
        """Close once the write buffer is empty."""
        if not self._pending:
            self.close()
            return
        self._closing = True
        self._update_mask()

    def reset(self) -> None:
        """Close with a TCP reset, so that the other side sees an error."""
        if self._closed:
            return
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET_OPTION
        )
        self.close()

    def has_unread_data(self) -> bool:
        """Return whether data or the end of the stream waits to be read."""
        try:
            self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def on_ready(self, mask: int) -> None:
        """Handle the epoll events of the socket."""
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
        """Handle received data."""

    @abc.abstractmethod
    def on_end(self) -> None:
        """Handle the end of the connection, after the socket was closed."""

    def on_connected(self) -> None:
        """Handle an established connection."""

    def on_writable(self) -> None:
        """Handle a write buffer that fell to its low watermark."""

    def _read(self) -> None:
        """Receive once; epoll is level-triggered and reports the rest."""
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
        """Send the write buffer until the socket would block."""
        was_above_low = self._pending_bytes > const.LOW_WATERMARK_BYTES
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
        if was_above_low and self._pending_bytes <= const.LOW_WATERMARK_BYTES:
            self.on_writable()

    def _take_pending(self) -> bytes:
        """Remove and return buffered data, with short pieces joined."""
        data = self._pending.popleft()
        if not self._pending or len(data) >= const.MAX_JOINED_WRITE_BYTES:
            return data
        pieces = [data]
        size = len(data)
        while self._pending and size < const.MAX_JOINED_WRITE_BYTES:
            piece = self._pending.popleft()
            pieces.append(piece)
            size += len(piece)
        return b"".join(pieces)

    def _finish_connect(self) -> None:
        """Check the result of a non-blocking connect."""
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
        """Update the events that the poller waits for."""
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
        """Close the socket and report the end."""
        if self._closed:
            return
        self.close()
        self.on_end()


class Listener(poller_module.SocketHandler):
    """Accepts connections on one listening socket."""

    def __init__(
        self,
        poller: poller_module.DataPoller,
        address: models.Address,
        on_accept: collections_abc.Callable[
            [socket.socket, tuple[str, int]], None
        ],
    ) -> None:
        """Initialize the listener; the kernel chooses a port for port 0."""
        self._poller = poller
        self._on_accept = on_accept
        self._sock = socket.create_server(
            (address.host, address.port), backlog=const.LISTEN_BACKLOG
        )
        self._sock.setblocking(False)
        poller.attach(self._sock.fileno(), const.MASK_READ, self)

    @property
    def address(self) -> models.Address:
        """Return the listening address."""
        host, port = self._sock.getsockname()[:2]
        return models.Address(host, port)

    def on_ready(self, mask: int) -> None:
        """Accept pending connections."""
        for _ in range(const.MAX_ACCEPTS_PER_EVENT):
            if not self._accept():
                return

    def close(self) -> None:
        """Accept what is pending, then close the listening socket.

        Connections that were established but not yet accepted would be reset,
        so no new one is let in meanwhile. Blocks for ``HANDSHAKE_TIMEOUT_MS``
        after the last one, unless new ones can't be kept out.
        """
        if self._sock.fileno() < 0:
            return
        is_filtered = self._drop_connection_requests()
        timeout_ms = const.HANDSHAKE_TIMEOUT_MS if is_filtered else 0
        pending = select.poll()
        pending.register(self._sock, select.POLLIN)
        while pending.poll(timeout_ms):
            if not self._accept():
                break
        self._poller.detach(self._sock.fileno())
        self._sock.close()

    def _drop_connection_requests(self) -> bool:
        """Let the kernel drop requests for connections; return whether it may.

        Their callers repeat them and are refused once the socket is closed.
        """
        program = ctypes.create_string_buffer(_DROP_SYN_PROGRAM)
        count = len(_DROP_SYN_PROGRAM) // struct.calcsize("HBBI")
        option = struct.pack("HP", count, ctypes.addressof(program))
        try:
            self._sock.setsockopt(
                socket.SOL_SOCKET, const.SO_ATTACH_FILTER, option
            )
        except OSError as error:
            logs.log_error(error, at="closing_listener")
            return False
        return True

    def _accept(self) -> bool:
        """Accept one connection; return whether there was one."""
        try:
            sock, address = self._sock.accept()
        except OSError:
            return False
        self._on_accept(sock, address)
        return True


def connect(address: models.Address) -> socket.socket | None:
    """Start a non-blocking connect; return None if it fails at once."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    _enable_keepalive(sock)
    try:
        sock.connect((address.host, address.port))
    except BlockingIOError:
        return sock
    except OSError:
        sock.close()
        return None
    return sock


def _enable_keepalive(sock: socket.socket) -> None:
    """Let the kernel close a connection whose peer does not respond."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, const.KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, const.KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, const.KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, const.TCP_USER_TIMEOUT_MS)
