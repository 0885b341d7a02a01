"""One attempt of a routed request with its buffered response."""

from __future__ import annotations

import abc

from tarragonlift.components.data_path import attempt_run
from tarragonlift.components.data_path import client
from tarragonlift.core import actions


class RoutedAttemptListener(attempt_run.AttemptListener["AttemptRun"]):
    """Receives the events of a routed request's attempts."""

    @abc.abstractmethod
    def is_own_response(
        self, head: client.ResponseHead, is_reused: bool
    ) -> bool:
        """Return whether a response belongs to this request.

        ``is_reused``: the connection carried an earlier request.
        """

    @abc.abstractmethod
    def on_response_head(self, run: AttemptRun) -> None:
        """Handle the head of a response."""


class AttemptRun(attempt_run.AttemptRun):
    """One attempt with the response received so far."""

    def __init__(
        self,
        owner: RoutedAttemptListener,
        attempt: actions.Attempt,
        connection: client.ClientConnection,
    ) -> None:
        """Initialize the attempt on this connection."""
        super().__init__(owner, attempt, connection)
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.is_streaming = False
        self._routed_owner = owner

    def is_expected_response(self, head: client.ResponseHead) -> bool:
        """Skip responses that belong to other requests."""
        is_reused = self.connection.is_reused
        return self._routed_owner.is_own_response(head, is_reused)

    def on_head(self, head: client.ResponseHead) -> None:
        """Store the response head and report it."""
        super().on_head(head)
        self._routed_owner.on_response_head(self)

    def on_body(self, data: bytes) -> None:
        """Count a part of the body and pass it on."""
        self.body_bytes += len(data)
        super().on_body(data)
