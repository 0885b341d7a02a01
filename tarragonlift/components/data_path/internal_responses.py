"""Answers that tarragonlift gives itself: refusals and its own pages."""

from __future__ import annotations

import abc

from tarragonlift.components.data_path import caller
from tarragonlift.components.data_path import const
from tarragonlift.components.data_path import messages
from tarragonlift import exceptions


class InternalPages(abc.ABC):
    """Answers the paths that belong to tarragonlift itself."""

    content_type = "application/json"

    @abc.abstractmethod
    def respond(
        self, head: caller.RequestHead, body: bytes
    ) -> tuple[int, bytes]:
        """Return the status and a JSON body."""


class BodyDiscardingListener(caller.RequestListener):
    """A request whose body has no use."""

    def on_body(self, data: bytes) -> None:
        """Drop it."""

    def on_body_complete(self) -> None:
        """Do nothing."""

    def on_writable(self) -> None:
        """Do nothing."""

    def on_caller_gone(self) -> None:
        """Do nothing."""

    def on_body_refused(self, refusal: exceptions.Refusal) -> None:
        """Do nothing: the answer was given."""


class RefusedRequest(BodyDiscardingListener):
    """A request that is refused by its head alone."""

    def __init__(
        self,
        connection: caller.CallerConnection,
        head: caller.RequestHead,
        refusal: exceptions.Refusal,
        request_id: str,
        extra: dict[str, object] | None = None,
    ) -> None:
        """Answer a long body at once, else at the request's end.

        ``extra`` are further fields of the answer.
        """
        self._connection = connection
        self._head = head
        self._refusal = refusal
        self._request_id = request_id
        self._extra = extra
        if head.has_body and (
            head.chunked
            or head.expects_continue
            or head.content_length > const.DRAIN_BYTES_MOST
        ):
            self._answer(close=True)

    def on_body_complete(self) -> None:
        """Answer, now that the connection can be used again."""
        self._answer(close=False)

    def _answer(self, close: bool) -> None:
        """Send the refusal."""
        self._connection.write(
            messages.format_refusal(
                self._refusal,
                self._request_id,
                self._head.method == b"HEAD",
                close,
                self._extra,
            )
        )
        self._connection.finish_response(keep_alive=not close)


class InternalPageRequest(BodyDiscardingListener):
    """A request for one of tarragonlift's own paths."""

    def __init__(
        self,
        connection: caller.CallerConnection,
        head: caller.RequestHead,
        pages: InternalPages,
    ) -> None:
        """Wait for the body."""
        self._connection = connection
        self._head = head
        self._pages = pages
        self._body: list[bytes] = []
        self._bytes = 0

    def on_body(self, data: bytes) -> None:
        """Keep a short body."""
        self._bytes += len(data)
        if self._bytes <= const.RECORD_BYTES_MOST:
            self._body.append(data)

    def on_body_complete(self) -> None:
        """Answer."""
        status, body = self._pages.respond(self._head, b"".join(self._body))
        fields = {
            "Content-Type": self._pages.content_type,
            "Content-Length": len(body),
        }
        shown = b"" if self._head.method == b"HEAD" else body
        self._connection.write(messages.format_response(status, fields, shown))
        self._connection.finish_response(keep_alive=True)
