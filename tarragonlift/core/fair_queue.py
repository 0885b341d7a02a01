"""A bounded queue that is fair between callers.

Round robin over callers (Nagle, RFC 970, 1985). When it is full, the caller
with the most waiting requests gives way, so a flood never pushes out a caller
with a single request.
"""

from __future__ import annotations

import collections
from typing import Generic
from typing import TypeVar

ItemT = TypeVar("ItemT")


class FairQueue(Generic[ItemT]):
    """Holds waiting items by caller; takes them in turns."""

    def __init__(self, length: int) -> None:
        """Hold at most this many items."""
        self._length = length
        self._count = 0
        self._lanes: collections.OrderedDict[str, collections.deque[ItemT]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return how many items wait."""
        return self._count

    def resize(self, length: int) -> None:
        """Hold at most this many items from now on; none is pushed out."""
        self._length = length

    def push(self, caller: str, item: ItemT) -> ItemT | None:
        """Add an item; return the item that has to give way, if any."""
        lane = self._lanes.get(caller)
        if self._count >= self._length:
            victim_caller, victim_lane = self._longest()
            own = len(lane) if lane else 0
            if victim_lane is None or own >= len(victim_lane):
                return item
            victim = victim_lane.pop()
            self._count -= 1
            self._forget_if_empty(victim_caller)
            self._append(caller, item)
            return victim
        self._append(caller, item)
        return None

    def pop(self) -> ItemT | None:
        """Take the next item, one caller after the other."""
        if not self._lanes:
            return None
        caller, lane = next(iter(self._lanes.items()))
        item = lane.popleft()
        self._count -= 1
        if lane:
            self._lanes.move_to_end(caller)
        else:
            del self._lanes[caller]
        return item

    def remove(self, caller: str, item: ItemT) -> bool:
        """Take out an item that waits no longer."""
        lane = self._lanes.get(caller)
        if lane is None or item not in lane:
            return False
        lane.remove(item)
        self._count -= 1
        self._forget_if_empty(caller)
        return True

    def _append(self, caller: str, item: ItemT) -> None:
        """Put the item at the end of its caller's lane."""
        self._lanes.setdefault(caller, collections.deque()).append(item)
        self._count += 1

    def _longest(self) -> tuple[str, collections.deque[ItemT] | None]:
        """Return the lane with the most items."""
        if not self._lanes:
            return "", None
        return max(self._lanes.items(), key=lambda pair: len(pair[1]))

    def _forget_if_empty(self, caller: str) -> None:
        """Drop a lane without items."""
        if not self._lanes[caller]:
            del self._lanes[caller]
