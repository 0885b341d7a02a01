"""One attempt of a request on a connection to a server."""

from __future__ import annotations

import abc
from typing import Any
from typing import Generic
from typing import TypeVar

from tarragonlift.components.data_path import client
from tarragonlift.core import actions
from tarragonlift.core import const as core_const

RunT = TypeVar("RunT", bound="AttemptRun")


class AttemptListener(abc.ABC, Generic[RunT]):
    """Handles the events of a request's attempts."""

    @abc.abstractmethod
    def on_response_body(self, run: RunT, data: bytes) -> None:
        """Handle a part of the response body."""

    @abc.abstractmethod
    def on_response_complete(self, run: RunT) -> None:
        """Handle the end of the response."""

    @abc.abstractmethod
    def on_run_failed(
        self, run: RunT, failure: core_const.AttemptFailure
    ) -> None:
        """Handle a connection that ended before the response did."""

    @abc.abstractmethod
    def get_max_body_bytes(self, run: RunT) -> float:
        """Return the maximum size in bytes of the attempt's response body."""

    @abc.abstractmethod
    def on_server_writable(self) -> None:
        """Handle a server connection that accepts more of the body."""


class AttemptRun(client.ResponseListener):
    """Runs one attempt on its connection."""

    def __init__(
        self,
        owner: AttemptListener[Any],
        attempt: actions.Attempt,
        connection: client.ClientConnection,
    ) -> None:
        """Initialize the run of an attempt on the connection."""
        self.attempt = attempt
        self.connection = connection
        self.head: client.ResponseHead | None = None
        self.body_sent = False
        self._owner = owner

    @property
    def max_body_bytes(self) -> float:
        """Return the maximum size in bytes of the response's body."""
        return self._owner.get_max_body_bytes(self)

    def on_head(self, head: client.ResponseHead) -> None:
        """Store the response head."""
        self.head = head

    def on_body(self, data: bytes) -> None:
        """Pass a part of the response body to the listener."""
        self._owner.on_response_body(self, data)

    def on_complete(self) -> None:
        """Report the end of the response."""
        self._owner.on_response_complete(self)

    def on_failed(self, sent: bool, malformed: bool) -> None:
        """Report why the attempt failed."""
        has_head = self.head is not None
        failure = client.classify_failure(sent, has_head, malformed)
        self._owner.on_run_failed(self, failure)

    def on_writable(self) -> None:
        """Report that the server connection accepts more of the body."""
        self._owner.on_server_writable()
