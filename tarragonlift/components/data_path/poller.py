"""The poller of the loop: serves data sockets without an event for each.

``circuits`` lets an application bring its own poller component. An event of
``circuits`` costs more than a whole call may, so this poller calls the
handlers of the data path's sockets directly and leaves all other sockets,
such as those of ``circuits.web``, to ``circuits``.
"""

from __future__ import annotations

import abc
from collections.abc import Callable
import time
from typing import Any

from circuits.core import pollers

from tarragonlift.components.data_path import const
from tarragonlift.components.data_path import timers
from tarragonlift.core import interfaces


class SocketHandler(abc.ABC):
    """Handles what happens on one socket."""

    @abc.abstractmethod
    def on_ready(self, mask: int) -> None:
        """Read, write or close as the mask of epoll says."""

    def flush(self) -> None:
        """Send what was written meanwhile."""


class DataPoller(pollers.EPoll):  # type: ignore[misc]
    """An epoll poller that serves the data path inside one event."""

    def __init__(self, on_error: Callable[[BaseException], None]) -> None:
        """Report what a handler raises to ``on_error``."""
        super().__init__()
        self._sockets: dict[int, SocketHandler] = {}
        self._on_error = on_error
        self._deferred: list[Callable[[], None]] = []
        self._dirty: list[SocketHandler] = []
        self._timers = timers.Timers()

    @property
    def timers(self) -> timers.Timers:
        """Return the timers that this poller serves."""
        return self._timers

    def now(self) -> float:
        """Return the monotonic clock in seconds."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Return the wall clock in seconds."""
        return time.time()

    def call_at(self, when: float, function: Callable[[float], None]) -> None:
        """Call the function with the time, at or after ``when``."""
        self._timers.call_at(when, function)

    def attach(self, fileno: int, mask: int, handler: SocketHandler) -> None:
        """Serve a socket by this handler."""
        self._sockets[fileno] = handler
        self._poller.register(fileno, mask)

    def change(self, fileno: int, mask: int) -> None:
        """Wait for other things on a socket."""
        self._poller.modify(fileno, mask)

    def detach(self, fileno: int) -> None:
        """Serve a socket no longer."""
        if self._sockets.pop(fileno, None) is not None:
            self._poller.unregister(fileno)

    def call_soon(self, function: Callable[[], None]) -> None:
        """Call the function after the sockets that are ready now."""
        self._deferred.append(function)

    def flush_soon(self, handler: SocketHandler) -> None:
        """Flush the handler once the one that is served now returns."""
        self._dirty.append(handler)

    def _generate_events(self, event: Any) -> None:
        """Wait for sockets and serve them until ``circuits`` has work."""
        now = time.monotonic()
        until = now + const.SERVE_SECONDS_MOST
        if 0 <= event.time_left < const.SERVE_SECONDS_MOST:
            until = now + event.time_left
        while True:
            self._serve(self._poller.poll(self._wait_seconds(until, now)))
            now = time.monotonic()
            self._timers.run(now, self._on_error)
            self._run_deferred()
            self._flush()
            if now >= until or len(self.root):
                return

    def _wait_seconds(self, until: float, now: float) -> float:
        """Return how long the poll may wait."""
        if self._deferred or self._dirty:
            return 0.0
        return self._timers.time_left(now, max(0.0, until - now))

    def _serve(self, ready: list[tuple[int, int]]) -> None:
        """Call the handler of each socket."""
        for fileno, mask in ready:
            handler = self._sockets.get(fileno)
            if handler is None:
                self._process(fileno, mask)
                continue
            try:
                handler.on_ready(mask)
            except Exception as error:
                self._on_error(error)
            if self._dirty:
                self._flush()

    def _flush(self) -> None:
        """Send what was written."""
        while self._dirty:
            dirty, self._dirty = self._dirty, []
            for handler in dirty:
                handler.flush()

    def _run_deferred(self) -> None:
        """Call what was put off until the sockets were served."""
        deferred, self._deferred = self._deferred, []
        for function in deferred:
            try:
                function()
            except Exception as error:
                self._on_error(error)


interfaces.Loop.register(DataPoller)
