"""State that daemons tell one another: versioned items spread by gossip.

An item that is newer replaces an older one, in whatever order they arrive.
Changed items are passed on at once for a few rounds (rumour mongering) and
every round carries a slice of all items (anti-entropy); Demers and others,
"Epidemic algorithms for replicated database maintenance", 1987. A round has
a bounded size, so the traffic does not depend on what happens.
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

# Few items that must reach a daemon which was away with the first message.
ALWAYS_SENT_KINDS = frozenset((KIND_CONFIGURATION, KIND_DATA_CENTRE))

HOT_ROUNDS = 6
SLICE_SIZE = 8


@attrs.frozen
class Item:
    """A value with its version. Of equal versions the higher rank wins."""

    kind: str
    name: str
    version: int
    rank: int
    origin: str
    value: dict[str, Any]

    @property
    def key(self) -> tuple[str, str]:
        """Return what the item is about."""
        return (self.kind, self.name)

    @property
    def precedence(self) -> tuple[int, int, str]:
        """Return by what items about the same thing are compared."""
        return (self.version, self.rank, self.origin)


@attrs.frozen
class GossipRound:
    """One message of gossip."""

    sender: str
    heartbeats: dict[str, int]
    items: tuple[Item, ...]


class Replica:
    """This daemon's copy of the state that all daemons share."""

    def __init__(self, daemon: str, epoch: int) -> None:
        """Start with nothing.

        ``epoch`` must grow from one start of the daemon to the next; the
        versions of what the daemon tells of itself begin there.
        """
        self._daemon = daemon
        self._epoch = epoch
        self._items: dict[tuple[str, str], Item] = {}
        self._hot: dict[tuple[str, str], int] = {}
        self._slice_at = 0
        self._changed: list[Item] = []

    def __len__(self) -> int:
        """Return how many items there are."""
        return len(self._items)

    def get(self, kind: str, name: str) -> Item | None:
        """Return an item."""
        return self._items.get((kind, name))

    def items(self, kind: str) -> list[Item]:
        """Return all items of a kind, by name."""
        found = [item for item in self._items.values() if item.kind == kind]
        return sorted(found, key=lambda item: item.name)

    def put(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        rank: int = 0,
        if_version: int | None = None,
    ) -> Item:
        """Change an item in the name of this daemon.

        ``if_version`` is the version that the change is based on; without
        it the change is based on what is known here.
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
        """Take items that are newer; return them."""
        taken = []
        for item in items:
            known = self._items.get(item.key)
            if known is not None and known.precedence >= item.precedence:
                continue
            self._items[item.key] = item
            self._hot[item.key] = HOT_ROUNDS
            taken.append(item)
        self._changed.extend(taken)
        return taken

    def take_changes(self) -> list[Item]:
        """Return the items that changed since the last call."""
        changed, self._changed = self._changed, []
        return changed

    @property
    def has_hot_items(self) -> bool:
        """Return whether items wait to be passed on at once."""
        return bool(self._hot)

    def next_items(self) -> tuple[Item, ...]:
        """Return the items for the next message: news and a slice."""
        keys = dict.fromkeys(self._take_hot())
        keys.update(
            (key, None) for key in self._items if key[0] in ALWAYS_SENT_KINDS
        )
        keys.update((item.key, None) for item in self._next_slice())
        return tuple(self._items[key] for key in keys)

    def drop(self, kind: str, name: str) -> None:
        """Forget an item here; others may still tell of it."""
        self._items.pop((kind, name), None)
        self._hot.pop((kind, name), None)

    def _take_hot(self) -> list[tuple[str, str]]:
        """Return the news; each is told for a few rounds."""
        keys = list(self._hot)
        for key in keys:
            self._hot[key] -= 1
            if self._hot[key] <= 0:
                del self._hot[key]
        return keys

    def _next_slice(self) -> list[Item]:
        """Return a few items, all of them in turn."""
        keys = list(self._items)
        if not keys:
            return []
        count = min(SLICE_SIZE, len(keys))
        start = self._slice_at % len(keys)
        self._slice_at = start + count
        return [
            self._items[keys[(start + i) % len(keys)]] for i in range(count)
        ]
