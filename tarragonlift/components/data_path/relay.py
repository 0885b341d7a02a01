"""Relays bytes between a caller and the servers of its request."""

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
    """Connection handling shared by all exchanges.

    Subclasses decide what is sent to servers, what the caller gets and what
    is recorded about the servers.
    """

    def __init__(
        self,
        connection: caller.CallerConnection,
        head: caller.RequestHead,
        release_connection: collections_abc.Callable[
            [client.ClientConnection], None
        ],
    ) -> None:
        """Initialize the relay of a caller's request.

        ``release_connection`` takes back the server connection of a complete
        response, to reuse or close it.
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
        """Resume reading the request body from the caller."""
        if self._connection is not None:
            self._connection.resume_reading()

    @abc.abstractmethod
    def _frame_body(self, data: bytes) -> bytes:
        """Return a part of the request body in its transfer coding."""

    def _send_body(self, run: attempt_run.RunT, data: bytes) -> None:
        """Forward a part of the request body, with backpressure."""
        run.connection.write(self._frame_body(data))
        if run.connection.is_congested and self._connection is not None:
            self._connection.pause_reading()

    def _release_attempt_connection(self, run: attempt_run.RunT) -> None:
        """Release the connection if the whole request was sent."""
        run.connection.resume_reading()
        if run.body_sent:
            self._release_connection(run.connection)
        else:
            run.connection.abandon()

    def _abandon_attempt(self, attempt: actions.Attempt) -> bool:
        """Close the attempt's connection; return whether it had one."""
        run = self._runs.pop(attempt, None)
        if run is not None:
            run.connection.abandon()
        return run is not None

    def _finish_response(self) -> None:
        """Finish the response and detach the caller's connection."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.finish_response(keep_alive=True)

    def _abort_caller_connection(self) -> None:
        """Reset the caller's connection: the response can't be completed."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
