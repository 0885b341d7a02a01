"""Readiness and metrics pages of a daemon, each on its own address."""

from __future__ import annotations

from collections import abc

import orjson

from tarragonlift.components.data_path import caller
from tarragonlift.components.data_path import callers
from tarragonlift.components.data_path import internal_responses
from tarragonlift.components.data_path import messages
from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.metrics import exposition
from tarragonlift.components.metrics import recorder
from tarragonlift.core import models
from tarragonlift import exceptions

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503


class ReadinessPage(internal_responses.InternalPages):
    """Shows the platform's balancer whether this daemon accepts callers."""

    def __init__(self, path: str, is_ready: abc.Callable[[], bool]) -> None:
        """Initialize the page at this path."""
        self._path = path
        self._is_ready = is_ready

    def respond(
        self, head: caller.RequestHead, body: bytes
    ) -> tuple[int, bytes]:
        """Return the status and a JSON body."""
        if not _is_at(head, self._path):
            return STATUS_NOT_FOUND, b"{}"
        ready = self._is_ready()
        status = STATUS_OK if ready else STATUS_UNAVAILABLE
        return status, orjson.dumps({"ready": ready})


class MetricsPage(internal_responses.InternalPages):
    """Serves the metrics as text."""

    content_type = "text/plain; version=0.0.4"

    def __init__(
        self,
        path: str,
        metrics: recorder.Recorder,
        update: abc.Callable[[], None],
    ) -> None:
        """Initialize the page; ``update`` sets what is costly to count."""
        self._path = path
        self._metrics = metrics
        self._update = update

    def respond(
        self, head: caller.RequestHead, body: bytes
    ) -> tuple[int, bytes]:
        """Return the status and the text."""
        if not _is_at(head, self._path):
            return STATUS_NOT_FOUND, b""
        self._update()
        return STATUS_OK, exposition.render(self._metrics)


class PageListener(caller.RequestAcceptor):
    """Serves one page on a listening socket."""

    def __init__(
        self,
        poller: poller_module.DataPoller,
        page: internal_responses.InternalPages,
    ) -> None:
        """Initialize the listener; ``listen`` opens its socket."""
        self._page = page
        self._callers = callers.CallerSet(poller, self)

    def listen(self, address: models.Address) -> models.Address:
        """Start accepting connections and return the bound address."""
        return self._callers.listen(address)

    def close(self) -> None:
        """Close the listener and its connections."""
        self._callers.close()

    def sweep(self, now: float) -> None:
        """Close connections whose timeout has expired."""
        self._callers.check_timeouts(now)

    def accept(
        self,
        connection: caller.CallerConnection,
        head: caller.RequestHead,
    ) -> caller.RequestListener:
        """Return the listener that answers the request."""
        return internal_responses.InternalPageRequest(
            connection, head, self._page
        )

    def refuse(
        self,
        connection: caller.CallerConnection,
        refusal: exceptions.Refusal,
    ) -> None:
        """Send a refusal for a request that could not be parsed."""
        connection.write(messages.format_refusal(refusal, "", close=True))

    def on_closed(self, connection: caller.CallerConnection) -> None:
        """Remove a closed connection."""
        self._callers.forget(connection)


def _is_at(head: caller.RequestHead, path: str) -> bool:
    """Return whether the request is for this path."""
    return head.target.partition(b"?")[0] == path.encode()
