"""A ``circuits`` poller that serves data path sockets without events.

``circuits`` lets an application provide its own poller component. One event
of ``circuits`` costs more than the time budget of a whole call. This poller
therefore calls the handlers of the data path's sockets directly and leaves
all other sockets, such as those of ``circuits.web``, to ``circuits``.
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
    """Handles the events of one socket."""

    @abc.abstractmethod
    def on_ready(self, mask: int) -> None:
        """Read, write or close according to the epoll event mask."""

    def flush(self) -> None:
        """Send the buffered data."""


class DataPoller(pollers.EPoll):  # type: ignore[misc]
    """An epoll poller that serves the data path within one event."""

    def __init__(self, on_error: Callable[[BaseException], None]) -> None:
        """Initialize the poller.

        ``on_error`` is called with each exception that a handler raises.
        """
        super().__init__()
        self._sockets: dict[int, SocketHandler] = {}
        self._on_error = on_error
        self._deferred: list[Callable[[], None]] = []
        self._dirty: list[SocketHandler] = []
        self._timers = timers.Timers()
        self._woken_at = _read_boot_clock()
        # Called with the seconds of a pause, before anything else is served.
        self.on_pause: Callable[[float], None] = _ignore_pause

    @property
    def timers(self) -> timers.Timers:
        """Return the timers of this poller."""
        return self._timers

    def now(self) -> float:
        """Return the monotonic clock in seconds."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Return the wall clock in seconds."""
        return time.time()

    def call_at(self, when: float, function: Callable[[float], None]) -> None:
        """Call the function with the current time at or after ``when``."""
        self._timers.call_at(when, function)

    def attach(self, fileno: int, mask: int, handler: SocketHandler) -> None:
        """Register a socket and its handler."""
        self._sockets[fileno] = handler
        self._poller.register(fileno, mask)

    def change(self, fileno: int, mask: int) -> None:
        """Change the event mask of a socket."""
        self._poller.modify(fileno, mask)

    def detach(self, fileno: int) -> None:
        """Unregister a socket."""
        if self._sockets.pop(fileno, None) is not None:
            self._poller.unregister(fileno)

    def call_soon(self, function: Callable[[], None]) -> None:
        """Call the function after the currently ready sockets."""
        self._deferred.append(function)

    def flush_soon(self, handler: SocketHandler) -> None:
        """Flush the handler once the current handler returns."""
        self._dirty.append(handler)

    def _generate_events(self, event: Any) -> None:
        """Serve sockets and timers until ``circuits`` has events queued.

        Returns after ``MAX_SERVE_S`` seconds at the latest.
        """
        now = time.monotonic()
        until = now + const.MAX_SERVE_S
        if 0 <= event.time_left < const.MAX_SERVE_S:
            until = now + event.time_left
        while True:
            wait_s = self._wait_seconds(until, now)
            ready = self._poller.poll(wait_s)
            self._detect_pause(wait_s)
            self._serve(ready)
            now = time.monotonic()
            self._timers.run(now, self._on_error)
            self._run_deferred()
            self._flush()
            if now >= until or len(self.root):
                return

    def _detect_pause(self, wait_s: float) -> None:
        """Report that the process did not run for a while."""
        woken_at = _read_boot_clock()
        paused_s = woken_at - self._woken_at - wait_s
        self._woken_at = woken_at
        if paused_s > const.PAUSE_THRESHOLD_S:
            try:
                self.on_pause(paused_s)
            except Exception as error:
                self._on_error(error)

    def _wait_seconds(self, until: float, now: float) -> float:
        """Return the poll timeout in seconds."""
        if self._deferred or self._dirty:
            return 0.0
        return self._timers.time_left(now, max(0.0, until - now))

    def _serve(self, ready: list[tuple[int, int]]) -> None:
        """Call the handler of each ready socket."""
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
        """Flush all handlers that have buffered data."""
        while self._dirty:
            dirty, self._dirty = self._dirty, []
            for handler in dirty:
                try:
                    handler.flush()
                except Exception as error:
                    self._on_error(error)

    def _run_deferred(self) -> None:
        """Call the functions passed to ``call_soon``."""
        deferred, self._deferred = self._deferred, []
        for function in deferred:
            try:
                function()
            except Exception as error:
                self._on_error(error)


def _read_boot_clock() -> float:
    """Return seconds of a clock that also runs while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _ignore_pause(seconds: float) -> None:
    """Ignore a pause; used until a callback is set."""


interfaces.Loop.register(DataPoller)
