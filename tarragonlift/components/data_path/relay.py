"""Moves bytes between a caller and the servers of its request."""

from __future__ import annotations

import abc
from collections import abc as collections_abc

from tarragonlift.components.data_path import attempt_run
from tarragonlift.components.data_path import caller
from tarragonlift.components.data_path import client
from tarragonlift.core import actions


class Relay(
    caller.RequestListener, attempt_run.AttemptListener[attempt_run.RunT]
):
    """What every exchange does with its connections.

    Subclasses decide what is sent, answered and learned.
    """

    def __init__(
        self,
        connection: caller.CallerConnection,
        head: caller.RequestHead,
        release_connection: collections_abc.Callable[
            [client.ClientConnection], None
        ],
    ) -> None:
        """Begin with a caller, without attempts.

        ``release_connection`` keeps or closes a connection whose answer was
        whole.
        """
        self._release_connection = release_connection
        self._connection: caller.CallerConnection | None = connection
        self._head = head
        self._is_head = head.method == b"HEAD"
        self._runs: dict[actions.Attempt, attempt_run.RunT] = {}
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._has_responded = False

    def on_server_writable(self) -> None:
        """A server takes more of the request's body."""
        if self._connection is not None:
            self._connection.resume_reading()

    @abc.abstractmethod
    def _frame_body(self, data: bytes) -> bytes:
        """Return a part of the body as it goes to a server."""

    def _send_body(self, run: attempt_run.RunT, data: bytes) -> None:
        """Send a part of the body on."""
        run.connection.write(self._frame_body(data))
        if run.connection.is_congested and self._connection is not None:
            self._connection.pause_reading()

    def _release_attempt_connection(self, run: attempt_run.RunT) -> None:
        """Keep the connection where nothing of the request is left."""
        run.connection.resume_reading()
        if run.body_sent:
            self._release_connection(run.connection)
        else:
            run.connection.abandon()

    def _abandon_attempt(self, attempt: actions.Attempt) -> bool:
        """Close the connection of an attempt; return whether it had one."""
        run = self._runs.pop(attempt, None)
        if run is not None:
            run.connection.abandon()
        return run is not None

    def _finish_response(self) -> None:
        """Let the caller's connection go on."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.finish_response(keep_alive=True)

    def _abort_caller_connection(self) -> None:
        """Reset the caller's connection: its answer can't become whole."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
