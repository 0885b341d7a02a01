"""State that daemons tell one another: versioned items spread by gossip.

An item that is newer replaces an older one, in whatever order they arrive.
Changed items are passed on at once for a few rounds (rumour mongering) and
every round carries a slice of all items (anti-entropy); Demers and others,
"Epidemic algorithms for replicated database maintenance", 1987. A round has
a bounded size, so the traffic does not depend on what happens.
"""

from __future__ import annotations

from collections import abc
import math
import random
from typing import Any

import attrs

KIND_BACKEND = "backend"
KIND_CONFIGURATION = "configuration"
KIND_DATA_CENTRE = "data-centre"
KIND_HELD = "held"
KIND_MEMBER = "member"
KIND_APPLIED = "applied"

HOT_ROUNDS = 6
SLICE_ITEMS = 8
BEATS_MOST = 32
ALIVE_SECONDS = 5.0
FORGET_SECONDS = 60.0


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
    def order(self) -> tuple[int, int, str]:
        """Return by what items about the same thing are compared."""
        return (self.version, self.rank, self.origin)


@attrs.frozen
class Round:
    """One message of gossip."""

    sender: str
    beats: dict[str, int]
    items: tuple[Item, ...]


@attrs.define
class _Member:
    """What is known of the life of one daemon."""

    beat: int = -1
    seen_at: float = -math.inf


class Replica:
    """This daemon's copy of the state that all daemons share."""

    def __init__(self, daemon: str, rng: random.Random) -> None:
        """Start with nothing but this daemon."""
        self._daemon = daemon
        self._rng = rng
        self._items: dict[tuple[str, str], Item] = {}
        self._hot: dict[tuple[str, str], int] = {}
        self._members: dict[str, _Member] = {}
        self._beat = 0
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
        self, kind: str, name: str, value: dict[str, Any], rank: int = 0
    ) -> Item:
        """Change an item in the name of this daemon."""
        known = self._items.get((kind, name))
        version = known.version + 1 if known else 1
        item = Item(kind, name, version, rank, self._daemon, value)
        self.merge([item])
        return item

    def merge(self, items: abc.Iterable[Item]) -> list[Item]:
        """Take items that are newer; return them."""
        taken = []
        for item in items:
            known = self._items.get(item.key)
            if known is not None and known.order >= item.order:
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
    def has_news(self) -> bool:
        """Return whether items wait to be passed on at once."""
        return bool(self._hot)

    def make_round(self, now: float) -> Round:
        """Return the next message: heartbeats, news and a slice."""
        self._beat += 1
        self._see(self._daemon, self._beat, now)
        items = [self._items[key] for key in self._take_hot()]
        items.extend(self._next_slice())
        return Round(self._daemon, self._beats(now), tuple(items))

    def receive(self, message: Round, now: float) -> list[Item]:
        """Take a message; return the items that changed."""
        for daemon, beat in message.beats.items():
            if daemon != self._daemon:
                self._see(daemon, beat, now)
        return self.merge(message.items)

    def alive(self, now: float) -> list[str]:
        """Return the daemons heard of lately and not leaving, by name."""
        names = []
        for daemon, member in self._members.items():
            if now - member.seen_at > ALIVE_SECONDS:
                continue
            item = self._items.get((KIND_MEMBER, daemon))
            if item is not None and item.value.get("leaving"):
                continue
            names.append(daemon)
        if self._daemon not in names:
            names.append(self._daemon)
        return sorted(names)

    def last_heard(self) -> float:
        """Return when another daemon was last heard of."""
        others = (
            member.seen_at
            for daemon, member in self._members.items()
            if daemon != self._daemon
        )
        return max(others, default=-math.inf)

    def forget_dead(self, now: float) -> list[str]:
        """Drop daemons that were not heard of for long; return them."""
        dead = [
            daemon
            for daemon, member in self._members.items()
            if now - member.seen_at > FORGET_SECONDS and daemon != self._daemon
        ]
        for daemon in dead:
            del self._members[daemon]
            for kind in (KIND_MEMBER, KIND_APPLIED):
                self._items.pop((kind, daemon), None)
                self._hot.pop((kind, daemon), None)
        return dead

    def _see(self, daemon: str, beat: int, now: float) -> None:
        """Note a heartbeat."""
        member = self._members.setdefault(daemon, _Member())
        if beat > member.beat:
            member.beat = beat
            member.seen_at = now

    def _beats(self, now: float) -> dict[str, int]:
        """Return the newest heartbeats, and this daemon's own."""
        fresh = sorted(
            (
                (member.seen_at, daemon, member.beat)
                for daemon, member in self._members.items()
                if now - member.seen_at <= ALIVE_SECONDS
            ),
            reverse=True,
        )
        beats = {name: beat for _, name, beat in fresh[:BEATS_MOST]}
        beats[self._daemon] = self._beat
        return beats

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
        count = min(SLICE_ITEMS, len(keys))
        start = self._slice_at % len(keys)
        self._slice_at = start + count
        return [
            self._items[keys[(start + i) % len(keys)]] for i in range(count)
        ]
