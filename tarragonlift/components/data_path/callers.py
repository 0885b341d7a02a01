"""All caller connections of one listening address."""

from __future__ import annotations

from collections import abc
import socket

from tarragonlift.components.data_path import caller
from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.data_path import stream
from tarragonlift.core.fleet import models as fleet_models
from tarragonlift.core import models

LimitsGetter = abc.Callable[[], fleet_models.CallerLimits]


def _default_limits() -> fleet_models.CallerLimits:
    """Return the limits that apply without a configuration."""
    return caller.DEFAULT_LIMITS


class CallerSet:
    """Accepts caller connections, checks their timeouts and closes them."""

    def __init__(
        self,
        poller: poller_module.DataPoller,
        acceptor: caller.RequestAcceptor,
        get_limits: LimitsGetter = _default_limits,
    ) -> None:
        """Initialize the set; ``listen`` starts to accept connections.

        ``get_limits`` returns the request limits for a new connection.
        """
        self._poller = poller
        self._acceptor = acceptor
        self._get_limits = get_limits
        self._listener: stream.Listener | None = None
        self._connections: set[caller.CallerConnection] = set()

    @property
    def address(self) -> models.Address | None:
        """Return the listening address, None before ``listen``."""
        return self._listener.address if self._listener else None

    @property
    def is_busy(self) -> bool:
        """Return whether any caller still receives a response."""
        return any(
            connection.is_busy or connection.pending_bytes
            for connection in self._connections
        )

    def listen(self, address: models.Address) -> models.Address:
        """Start accepting connections and return the listening address."""
        self._listener = stream.Listener(
            self._poller, address, self._on_accept
        )
        return self._listener.address

    def stop_accepting(self) -> None:
        """Close the listener and the idle connections."""
        self.close_listener()
        self.close_idle()

    def close_listener(self) -> None:
        """Accept no more connections than are established already."""
        if self._listener is not None:
            self._listener.close()

    def close_idle(self) -> None:
        """Close idle connections, and others after their response."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def close(self) -> None:
        """Close the listener and all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._connections):
            connection.close()

    def forget(self, connection: caller.CallerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def check_timeouts(self, now: float) -> None:
        """Close connections whose timeout has expired."""
        for connection in list(self._connections):
            connection.check_timeouts(now)

    def _on_accept(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Add a new connection."""
        self._connections.add(
            caller.CallerConnection(
                self._poller, sock, peer[0], self._acceptor, self._get_limits()
            )
        )
