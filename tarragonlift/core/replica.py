"""Replicated state of the daemons: versioned items spread by gossip.

A newer item replaces an older one, in whatever order they arrive. Changed
items are sent at once for a few rounds (rumour mongering), and every round
carries a slice of all items (anti-entropy); Demers and others, "Epidemic
algorithms for replicated database maintenance", 1987. The size of a round is
bounded, so the traffic does not depend on the rate of changes.
"""

from __future__ import annotations

from collections import abc
from typing import Any

import attrs

KIND_BACKEND = "backend"
KIND_CONFIGURATION = "configuration"
KIND_DATA_CENTRE = "data-centre"
KIND_HELD = "held"
KIND_MEMBER = "member"
KIND_APPLIED = "applied"

# Kinds with few items, sent in every round so that a daemon which was
# unreachable gets them with the first message.
ALWAYS_SENT_KINDS = frozenset((KIND_CONFIGURATION, KIND_DATA_CENTRE))

HOT_ROUNDS = 6
SLICE_SIZE = 8


@attrs.frozen
class Item:
    """Versioned value; of two equal versions the higher rank wins."""

    kind: str
    name: str
    version: int
    rank: int
    origin: str
    value: dict[str, Any]

    @property
    def key(self) -> tuple[str, str]:
        """Return the kind and name that identify the item."""
        return (self.kind, self.name)

    @property
    def precedence(self) -> tuple[int, int, str]:
        """Return the key by which items of one kind and name are compared."""
        return (self.version, self.rank, self.origin)


@attrs.frozen
class GossipRound:
    """One gossip message."""

    sender: str
    heartbeats: dict[str, int]
    items: tuple[Item, ...]


class Replica:
    """Copy of the state that all daemons share."""

    def __init__(self, daemon: str, epoch: int) -> None:
        """Initialize an empty replica.

        ``epoch`` must increase with every start of the daemon. It is the
        lowest version of the items that the daemon publishes about itself.
        """
        self._daemon = daemon
        self._epoch = epoch
        self._items: dict[tuple[str, str], Item] = {}
        self._hot: dict[tuple[str, str], int] = {}
        self._slice_start = 0
        self._changed: list[Item] = []

    def __len__(self) -> int:
        """Return the number of items."""
        return len(self._items)

    def get(self, kind: str, name: str) -> Item | None:
        """Return an item, or None if it does not exist here."""
        return self._items.get((kind, name))

    def items(self, kind: str) -> list[Item]:
        """Return all items of a kind, sorted by name."""
        matches = [item for item in self._items.values() if item.kind == kind]
        return sorted(matches, key=lambda item: item.name)

    def put(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        rank: int = 0,
        if_version: int | None = None,
    ) -> Item:
        """Publish a new value of an item as this daemon.

        ``if_version`` is the version that the change is based on; by default
        the version in this replica.
        """
        known = self._items.get((kind, name))
        version = known.version + 1 if known else 1
        if if_version is not None:
            version = if_version + 1
        if name == self._daemon:
            version = max(version, self._epoch)
        item = Item(kind, name, version, rank, self._daemon, value)
        self.merge([item])
        return item

    def merge(self, items: abc.Iterable[Item]) -> list[Item]:
        """Store the items that are newer than the known ones; return them."""
        merged = []
        for item in items:
            known = self._items.get(item.key)
            if known is not None and known.precedence >= item.precedence:
                continue
            self._items[item.key] = item
            self._hot[item.key] = HOT_ROUNDS
            merged.append(item)
        self._changed.extend(merged)
        return merged

    def pop_changes(self) -> list[Item]:
        """Return and clear the items that changed since the last call."""
        changed, self._changed = self._changed, []
        return changed

    @property
    def has_hot_items(self) -> bool:
        """Return whether changed items are due to be sent."""
        return bool(self._hot)

    def next_items(self) -> tuple[Item, ...]:
        """Return the items of the next message: hot items and a slice."""
        keys = dict.fromkeys(self._next_hot_keys())
        keys.update(
            (key, None) for key in self._items if key[0] in ALWAYS_SENT_KINDS
        )
        keys.update((item.key, None) for item in self._next_slice())
        return tuple(self._items[key] for key in keys)

    def drop(self, kind: str, name: str) -> None:
        """Remove an item here; other daemons may send it again."""
        self._items.pop((kind, name), None)
        self._hot.pop((kind, name), None)

    def _next_hot_keys(self) -> list[tuple[str, str]]:
        """Return the keys of the hot items and count this round for them."""
        keys = list(self._hot)
        for key in keys:
            self._hot[key] -= 1
            if self._hot[key] <= 0:
                del self._hot[key]
        return keys

    def _next_slice(self) -> list[Item]:
        """Return the next few items in round-robin order."""
        keys = list(self._items)
        if not keys:
            return []
        count = min(SLICE_SIZE, len(keys))
        start = self._slice_start % len(keys)
        self._slice_start = start + count
        return [
            self._items[keys[(start + i) % len(keys)]] for i in range(count)
        ]
