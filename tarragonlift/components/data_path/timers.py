"""Timers of the data path, in a heap that is served between two polls."""

from __future__ import annotations

from collections import abc
import heapq
import itertools


class Timers:
    """Calls functions when they are due, with the precision of the poll."""

    def __init__(self) -> None:
        """Initialize the timers."""
        self._heap: list[tuple[float, int, abc.Callable[[float], None]]] = []
        self._counter = itertools.count()

    def __len__(self) -> int:
        """Return the number of pending timers."""
        return len(self._heap)

    def call_at(
        self, when: float, function: abc.Callable[[float], None]
    ) -> None:
        """Call the function with the current time at or after ``when``."""
        heapq.heappush(self._heap, (when, next(self._counter), function))

    def time_left(self, now: float, max_wait_s: float) -> float:
        """Return the seconds until the next timer, at most ``max_wait_s``."""
        if not self._heap:
            return max_wait_s
        return min(max_wait_s, max(0.0, self._heap[0][0] - now))

    def run(
        self, now: float, on_error: abc.Callable[[BaseException], None]
    ) -> None:
        """Call the functions that are due.

        An exception goes to ``on_error``; the other functions still run.
        """
        heap = self._heap
        while heap and heap[0][0] <= now:
            function = heapq.heappop(heap)[2]
            try:
                function(now)
            except Exception as error:
                on_error(error)
