"""A hybrid logical clock (Kulkarni and others, 2014).

Stamps are close to the wall clock and order causes before effects, also where
the clocks of hosts differ.
"""

from __future__ import annotations

import attrs

MILLISECONDS = 1000


@attrs.frozen(order=True)
class Stamp:
    """Wall clock in milliseconds and a counter within it."""

    wall_ms: int
    counter: int


class HybridClock:
    """Makes stamps that never go back."""

    def __init__(self) -> None:
        """Start before every time."""
        self._last = Stamp(0, 0)

    def tick(self, wall_time: float) -> Stamp:
        """Return the stamp of a local event."""
        wall_ms = int(wall_time * MILLISECONDS)
        if wall_ms > self._last.wall_ms:
            self._last = Stamp(wall_ms, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def observe(self, stamp: Stamp, wall_time: float) -> None:
        """Take the stamp of a message into account."""
        if stamp > self._last:
            self._last = stamp
        self.tick(wall_time)
