"""Interface through which an exchange uses the gateway."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from tarragonlift.components.data_path import client
from tarragonlift.components.gateway import dialect as dialect_module
from tarragonlift.core import actions
from tarragonlift.core.fleet import server as server_module
from tarragonlift import exceptions

if TYPE_CHECKING:
    from tarragonlift.components.gateway import exchange as exchange_module


class ExchangeOwner(abc.ABC):
    """Provides an exchange with connections, timers and logging."""

    dialect: dialect_module.Dialect

    @property
    @abc.abstractmethod
    def is_stopping(self) -> bool:
        """Return whether callers are asked to use another daemon."""

    @abc.abstractmethod
    def acquire_connection(
        self, attempt: actions.Attempt, may_reuse: bool
    ) -> client.ClientConnection | None:
        """Return a connection to the attempt's server; None if it failed.

        ``may_reuse`` is False for a request whose response can't be told from
        those to other requests, or to an earlier attempt at the same server.
        """

    @abc.abstractmethod
    def release_connection(self, connection: client.ClientConnection) -> None:
        """Keep or close a connection whose response was complete."""

    @abc.abstractmethod
    def carry_out(
        self, exchange: exchange_module.Exchange, action: actions.Action
    ) -> None:
        """Carry out an action that affects more than this exchange."""

    @abc.abstractmethod
    def on_server_response(
        self,
        server: server_module.FleetServer,
        connection: client.ClientConnection,
        sent_at: float,
    ) -> None:
        """Handle a complete response to a request sent at this time."""

    @abc.abstractmethod
    def on_rate_limit(
        self, server: server_module.FleetServer, per_s: float | None
    ) -> None:
        """Handle the rate limit stated in a response; None if malformed."""

    @abc.abstractmethod
    def on_server_head(
        self, server: server_module.FleetServer, head: client.ResponseHead
    ) -> None:
        """Handle what a response says of the server: leaving, a pause."""

    @abc.abstractmethod
    def note(
        self,
        exchange: exchange_module.Exchange,
        decision: str,
        **facts: object,
    ) -> None:
        """Log a decision about the request."""

    @abc.abstractmethod
    def refusal_fields(
        self, exchange: exchange_module.Exchange, refusal: exceptions.Refusal
    ) -> dict[str, object]:
        """Return the header fields of a response made by tarragonlift."""

    @abc.abstractmethod
    def on_done(self, exchange: exchange_module.Exchange) -> None:
        """Remove the finished exchange."""
