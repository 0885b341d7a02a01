"""Connections to backend servers, kept open between requests."""

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
    """Hands out connections; the one used last comes first."""

    def __init__(
        self,
        poller: poller_module.DataPoller,
        on_closed: abc.Callable[[models.Address], None],
    ) -> None:
        """Tell ``on_closed`` when a server closes an idle connection."""
        self._poller = poller
        self._on_closed = on_closed
        self._idle: dict[models.Address, collections.deque[Connection]] = {}

    def acquire(
        self, address: models.Address, used_since: float = -math.inf
    ) -> Connection | None:
        """Return a connection, a new one if none is idle.

        An idle one is taken only if an answer came on it after
        ``used_since``, a time of the monotonic clock.
        """
        idle = self._idle.get(address)
        while idle and idle[-1].active_at >= used_since:
            connection = idle.pop()
            if connection.is_reusable:
                connection.used = True
                return connection
        sock = stream.connect(address)
        if sock is None:
            return None
        connection = Connection(self._poller, sock, address)
        connection.on_idle_closed = self._forget
        return connection

    def release_connection(self, connection: Connection) -> None:
        """Keep the connection for the next request, or close it."""
        if not connection.is_reusable:
            connection.abandon()
            return
        idle = self._idle.setdefault(connection.address, collections.deque())
        if len(idle) >= const.IDLE_CONNECTIONS_MOST:
            connection.abandon()
            return
        connection.active_at = time.monotonic()
        idle.append(connection)

    def sweep(self, now: float, kept: set[models.Address]) -> None:
        """Close connections that were idle for long.

        One connection to each of the ``kept`` servers stays open, or is
        opened: its end tells that the server may have restarted.
        """
        for address, idle in list(self._idle.items()):
            least = 1 if address in kept else 0
            while len(idle) > least and _is_old(idle[0], now):
                idle.popleft().abandon()
            if not idle:
                del self._idle[address]
        for address in kept:
            if address not in self._idle:
                self._open(address)

    def _open(self, address: models.Address) -> None:
        """Open a connection that waits for a request."""
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

    def _forget(self, connection: Connection) -> None:
        """A server closed an idle connection."""
        idle = self._idle.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)
            if not idle:
                self._on_closed(connection.address)


def _is_old(connection: Connection, now: float) -> bool:
    """Return whether the connection was idle too long."""
    limit = connection.idle_limit_s - const.IDLE_LIMIT_MARGIN_S
    limit = min(limit, const.BACKEND_IDLE_TIMEOUT_S)
    return now - connection.active_at > limit
