"""A bounded queue that is fair between callers.

Round robin over callers (Nagle, RFC 970, 1985). When the queue is full, an
item of the caller with the most waiting requests is evicted, so a caller that
floods the queue never evicts the only request of another caller.
"""

from __future__ import annotations

import collections
from typing import Generic
from typing import TypeVar

ItemT = TypeVar("ItemT")


class FairQueue(Generic[ItemT]):
    """Queues items per caller and removes them in round robin."""

    def __init__(self, max_items: int) -> None:
        """Initialize the queue with its maximum number of items."""
        self._max_items = max_items
        self._count = 0
        self._queues: collections.OrderedDict[
            str, collections.deque[ItemT]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        """Return the number of queued items."""
        return self._count

    def resize(self, max_items: int) -> None:
        """Change the maximum number of items without evicting any."""
        self._max_items = max_items

    def push(self, caller: str, item: ItemT) -> ItemT | None:
        """Add an item; return the evicted or rejected item, if any."""
        queue = self._queues.get(caller)
        if self._count >= self._max_items:
            evicted_caller, longest_queue = self._find_longest()
            own_count = len(queue) if queue else 0
            if longest_queue is None or own_count >= len(longest_queue):
                return item
            evicted = longest_queue.pop()
            self._count -= 1
            self._delete_if_empty(evicted_caller)
            self._append(caller, item)
            return evicted
        self._append(caller, item)
        return None

    def pop(self) -> ItemT | None:
        """Remove and return the next item in round robin over callers."""
        if not self._queues:
            return None
        caller, queue = next(iter(self._queues.items()))
        item = queue.popleft()
        self._count -= 1
        if queue:
            self._queues.move_to_end(caller)
        else:
            del self._queues[caller]
        return item

    def remove(self, caller: str, item: ItemT) -> bool:
        """Remove an item; return whether it was in the queue."""
        queue = self._queues.get(caller)
        if queue is None or item not in queue:
            return False
        queue.remove(item)
        self._count -= 1
        self._delete_if_empty(caller)
        return True

    def _append(self, caller: str, item: ItemT) -> None:
        """Append the item to its caller's queue."""
        self._queues.setdefault(caller, collections.deque()).append(item)
        self._count += 1

    def _find_longest(self) -> tuple[str, collections.deque[ItemT] | None]:
        """Return the caller with the most items and its queue."""
        if not self._queues:
            return "", None
        return max(self._queues.items(), key=lambda pair: len(pair[1]))

    def _delete_if_empty(self, caller: str) -> None:
        """Delete the caller's queue if it is empty."""
        if not self._queues[caller]:
            del self._queues[caller]
