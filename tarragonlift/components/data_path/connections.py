"""A pool of persistent connections to backend servers."""

from __future__ import annotations

import collections
from collections import abc
import math
import time

from tarragonlift.components.data_path import client
from tarragonlift.components.data_path import const
from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.data_path import stream
from tarragonlift.core import models

Connection = client.ClientConnection


class ConnectionPool:
    """Pool of connections; reuses the most recently used one first."""

    def __init__(
        self,
        poller: poller_module.DataPoller,
        on_closed: abc.Callable[[models.Address], None],
    ) -> None:
        """Initialize the pool.

        ``on_closed`` is called when a server closes its last idle connection.
        """
        self._poller = poller
        self._on_closed = on_closed
        self._idle: dict[models.Address, collections.deque[Connection]] = {}

    def acquire(
        self, address: models.Address, active_since: float = -math.inf
    ) -> Connection | None:
        """Return an idle connection, or a new one if there is none.

        An idle connection is reused only if it was last active at or after
        ``active_since``, a time of the monotonic clock. Returns None if no
        connection can be opened.
        """
        idle = self._idle.get(address)
        while idle and idle[-1].active_at >= active_since:
            connection = idle.pop()
            if not connection.is_reusable:
                continue
            if connection.has_unread_data():
                # Bytes of no request, or the end: nothing may follow them.
                connection.abandon()
                continue
            return connection
        sock = stream.connect(address)
        if sock is None:
            return None
        connection = Connection(self._poller, sock, address)
        connection.on_idle_closed = self._on_idle_closed
        return connection

    def release_connection(self, connection: Connection) -> None:
        """Return the connection to the pool, or close it."""
        if not connection.is_reusable:
            connection.abandon()
            return
        idle = self._idle.setdefault(connection.address, collections.deque())
        if len(idle) >= const.MAX_IDLE_CONNECTIONS:
            connection.abandon()
            return
        connection.active_at = time.monotonic()
        idle.append(connection)

    def sweep(self, now: float, monitored: set[models.Address]) -> None:
        """Close connections whose idle timeout has expired.

        One connection to each of the ``monitored`` servers is kept open or
        opened, because its end shows that the server may have restarted.
        """
        for address, idle in list(self._idle.items()):
            min_idle = 1 if address in monitored else 0
            while len(idle) > min_idle and _is_expired(idle[0], now):
                idle.popleft().abandon()
            if not idle:
                del self._idle[address]
        for address in monitored:
            if address not in self._idle:
                self._open_idle(address)

    def _open_idle(self, address: models.Address) -> None:
        """Open a connection and add it to the idle ones."""
        connection = self.acquire(address)
        if connection is not None:
            idle = self._idle.setdefault(address, collections.deque())
            idle.append(connection)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.abandon()
        self._idle.clear()

    def _on_idle_closed(self, connection: Connection) -> None:
        """Remove an idle connection that the server closed."""
        idle = self._idle.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)
            if not idle:
                self._on_closed(connection.address)


def _is_expired(connection: Connection, now: float) -> bool:
    """Return whether the idle timeout of the connection has expired."""
    limit = connection.keep_alive_timeout_s - const.KEEP_ALIVE_MARGIN_S
    limit = min(limit, const.BACKEND_IDLE_TIMEOUT_S)
    return now - connection.active_at > limit
