"""One attempt of a request on its connection to a server."""

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
    """Takes what happens on the attempts of a request."""

    @abc.abstractmethod
    def on_response_body(self, run: RunT, data: bytes) -> None:
        """Take a part of an answer's body."""

    @abc.abstractmethod
    def on_response_complete(self, run: RunT) -> None:
        """Take the end of an answer."""

    @abc.abstractmethod
    def on_run_failed(
        self, run: RunT, failure: core_const.AttemptFailure
    ) -> None:
        """The connection of an attempt ended before its answer."""

    @abc.abstractmethod
    def on_server_writable(self) -> None:
        """A server takes more of the request's body."""


class AttemptRun(client.ResponseListener):
    """One attempt on its connection."""

    def __init__(
        self,
        owner: AttemptListener[Any],
        attempt: actions.Attempt,
        connection: client.ClientConnection,
    ) -> None:
        """Run the attempt on the connection."""
        self.attempt = attempt
        self.connection = connection
        self.head: client.ResponseHead | None = None
        self.body_sent = False
        self._owner = owner

    def on_head(self, head: client.ResponseHead) -> None:
        """Take the head of the answer."""
        self.head = head

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._owner.on_response_body(self, data)

    def on_complete(self) -> None:
        """The answer is whole."""
        self._owner.on_response_complete(self)

    def on_failed(self, sent: bool, malformed: bool) -> None:
        """The connection ended first."""
        has_head = self.head is not None
        failure = client.classify_failure(sent, has_head, malformed)
        self._owner.on_run_failed(self, failure)

    def on_writable(self) -> None:
        """The server takes more of the body."""
        self._owner.on_server_writable()
