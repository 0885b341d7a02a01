"""One attempt of a routed request, whose answer is kept until it is whole."""

from __future__ import annotations

import abc

from tarragonlift.components.data_path import attempt_run
from tarragonlift.components.data_path import client
from tarragonlift.core import actions


class RoutedAttemptListener(attempt_run.AttemptListener["AttemptRun"]):
    """Takes what happens on the attempts of a routed request."""

    @abc.abstractmethod
    def is_own_response(self, head: client.ResponseHead) -> bool:
        """Return whether an answer is one to this request."""


class AttemptRun(attempt_run.AttemptRun):
    """One attempt with what has come of its answer."""

    def __init__(
        self,
        owner: RoutedAttemptListener,
        attempt: actions.Attempt,
        connection: client.ClientConnection,
    ) -> None:
        """Run the attempt on the connection."""
        super().__init__(owner, attempt, connection)
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.is_streaming = False
        self._is_own_response = owner.is_own_response

    def is_expected_response(self, head: client.ResponseHead) -> bool:
        """Pass over answers that belong to other requests."""
        return self._is_own_response(head)

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self.body_bytes += len(data)
        super().on_body(data)
