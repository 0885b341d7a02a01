"""The connections of all callers at one address."""

from __future__ import annotations

from collections import abc
import socket

from tarragonlift.components.data_path import caller
from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.data_path import stream
from tarragonlift.core.fleet import models as fleet_models
from tarragonlift.core import models

Limits = abc.Callable[[], fleet_models.CallerLimits]


def _default_limits() -> fleet_models.CallerLimits:
    """Return the limits where no configuration states any."""
    return caller.DEFAULT_LIMITS


class CallerSet:
    """Takes callers in, looks after their timeouts, and closes them."""

    def __init__(
        self,
        poller: poller_module.DataPoller,
        acceptor: caller.RequestAcceptor,
        limits: Limits = _default_limits,
    ) -> None:
        """Hand requests to the acceptor; ``listen`` begins.

        ``limits`` returns what a new caller may send.
        """
        self._poller = poller
        self._acceptor = acceptor
        self._limits = limits
        self._listener: stream.Listener | None = None
        self._connections: set[caller.CallerConnection] = set()

    @property
    def address(self) -> models.Address | None:
        """Return where callers connect; None before ``listen``."""
        return self._listener.address if self._listener else None

    @property
    def is_busy(self) -> bool:
        """Return whether any caller still gets an answer."""
        return any(
            one.is_busy or one.pending_bytes for one in self._connections
        )

    def listen(self, address: models.Address) -> models.Address:
        """Accept callers from now on; return the address."""
        self._listener = stream.Listener(
            self._poller, address, self._on_accept
        )
        return self._listener.address

    def stop_accepting(self) -> None:
        """Close the listener and the callers that are idle."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._connections):
            if connection.close_if_idle():
                self._connections.discard(connection)

    def close(self) -> None:
        """Close everything."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._connections):
            connection.close()

    def forget(self, connection: caller.CallerConnection) -> None:
        """Take that a connection is closed."""
        self._connections.discard(connection)

    def check_timeouts(self, now: float) -> None:
        """Close connections that are idle or slow for long."""
        for connection in list(self._connections):
            connection.check_timeouts(now)

    def _on_accept(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Serve a new connection."""
        self._connections.add(
            caller.CallerConnection(
                self._poller, sock, peer[0], self._acceptor, self._limits()
            )
        )
