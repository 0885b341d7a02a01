"""Timers of the data path: a heap that is served between two polls."""

from __future__ import annotations

from collections import abc
import heapq
import itertools


class Timers:
    """Calls functions at their time; precise to the poll."""

    def __init__(self) -> None:
        """Start without timers."""
        self._heap: list[tuple[float, int, abc.Callable[[float], None]]] = []
        self._counter = itertools.count()

    def __len__(self) -> int:
        """Return how many timers wait."""
        return len(self._heap)

    def call_at(
        self, when: float, function: abc.Callable[[float], None]
    ) -> None:
        """Call the function with the time, at or after ``when``."""
        heapq.heappush(self._heap, (when, next(self._counter), function))

    def time_left(self, now: float, most: float) -> float:
        """Return the seconds until the next timer, at most ``most``."""
        if not self._heap:
            return most
        return min(most, max(0.0, self._heap[0][0] - now))

    def run(
        self, now: float, on_error: abc.Callable[[BaseException], None]
    ) -> None:
        """Call the functions that are due; one that fails stops no other."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            function = heapq.heappop(heap)[2]
            try:
                function(now)
            except Exception as error:
                on_error(error)
