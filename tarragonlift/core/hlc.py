"""A hybrid logical clock (Kulkarni et al., 2014).

Timestamps stay close to the wall clock and order causes before effects, even
if the clocks of the hosts differ.
"""

from __future__ import annotations

import attrs

MILLISECONDS_PER_SECOND = 1000


@attrs.frozen(order=True)
class Stamp:
    """Wall clock in milliseconds with a counter for equal times."""

    wall_ms: int
    counter: int


class HybridClock:
    """Generates strictly increasing timestamps."""

    def __init__(self) -> None:
        """Initialize the clock with the lowest timestamp."""
        self._last = Stamp(0, 0)

    def tick(self, wall_time: float) -> Stamp:
        """Return the timestamp of a local event."""
        wall_ms = int(wall_time * MILLISECONDS_PER_SECOND)
        if wall_ms > self._last.wall_ms:
            self._last = Stamp(wall_ms, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def observe(self, stamp: Stamp, wall_time: float) -> None:
        """Advance the clock past the timestamp of a received message."""
        if stamp > self._last:
            self._last = stamp
        self.tick(wall_time)
