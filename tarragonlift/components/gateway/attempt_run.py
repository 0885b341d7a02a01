"""One attempt of a request on its connection to a server."""

from __future__ import annotations

import abc

from tarragonlift.components.data_path import client
from tarragonlift.core import actions
from tarragonlift.core import const as core_const


class Owner(abc.ABC):
    """Takes what happens on the attempts of a request."""

    @abc.abstractmethod
    def belongs(self, head: client.AnswerHead) -> bool:
        """Return whether an answer is one to this request."""

    @abc.abstractmethod
    def on_answer_body(self, run: AttemptRun, data: bytes) -> None:
        """Take a part of an answer's body."""

    @abc.abstractmethod
    def on_answer_complete(self, run: AttemptRun) -> None:
        """Take the end of an answer."""

    @abc.abstractmethod
    def on_run_failed(
        self, run: AttemptRun, failure: core_const.AttemptFailure
    ) -> None:
        """The connection of an attempt ended before its answer."""

    @abc.abstractmethod
    def on_server_writable(self) -> None:
        """A server takes more of the request's body."""


class AttemptRun(client.AnswerListener):
    """One attempt on its connection."""

    def __init__(
        self,
        owner: Owner,
        attempt: actions.Attempt,
        connection: client.ClientConnection,
    ) -> None:
        """Run the attempt on the connection."""
        self.attempt = attempt
        self.connection = connection
        self.head: client.AnswerHead | None = None
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.body_sent = False
        self.streaming = False
        self._owner = owner

    def wants(self, head: client.AnswerHead) -> bool:
        """Pass over answers that belong to other requests."""
        return self._owner.belongs(head)

    def on_head(self, head: client.AnswerHead) -> None:
        """Take the head of the answer."""
        self.head = head

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self.body_bytes += len(data)
        self._owner.on_answer_body(self, data)

    def on_complete(self) -> None:
        """The answer is whole."""
        self._owner.on_answer_complete(self)

    def on_failed(self, sent: bool, bad: bool) -> None:
        """The connection ended first."""
        has_head = self.head is not None
        failure = client.classify_failure(sent, has_head, bad)
        self._owner.on_run_failed(self, failure)

    def on_writable(self) -> None:
        """The server takes more of the body."""
        self._owner.on_server_writable()
