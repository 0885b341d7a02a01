"""One reading of the list of servers, and what changed since another.

A daemon that has read the list tells the others only what changed, with a
digest of the whole. Who arrives at the same digest has the same list.
"""

from __future__ import annotations

from collections import abc

import attrs
import xxhash

from tarragonlift.core.fleet import members
from tarragonlift.core.fleet import models

Entries = dict[str, models.ListedServer]


@attrs.frozen
class ListChange:
    """An entry that came or changed; None: it is gone."""

    server_id: str
    entry: models.ListedServer | None


@attrs.frozen
class ListUpdate:
    """What a daemon tells of its reading.

    ``missing_kept_for_s``: for so many seconds missing entries are to be kept,
    since the list was away.
    """

    member: members.Member
    store_version: int
    digest: int
    changes: tuple[ListChange, ...]
    missing_kept_for_s: float
    operators: models.OperatorState


class ListView:
    """The entries of the newest reading that this daemon knows."""

    def __init__(self) -> None:
        """Know no entry."""
        self._entries: Entries = {}
        self._digest = 0

    @property
    def entries(self) -> tuple[models.ListedServer, ...]:
        """Return all entries."""
        return tuple(self._entries.values())

    @property
    def digest(self) -> int:
        """Return the digest of what matters in the entries."""
        return self._digest

    def replace(
        self, entries: abc.Iterable[models.ListedServer]
    ) -> tuple[ListChange, ...]:
        """Take a whole reading; return what changed."""
        found = {one.server_id: one for one in entries}
        changes = [
            ListChange(name, one)
            for name, one in found.items()
            if _digest_of(self._entries.get(name)) != _digest_of(one)
        ]
        changes += [
            ListChange(name, None)
            for name in self._entries
            if name not in found
        ]
        self._set(found)
        return tuple(changes)

    def apply(self, news: ListUpdate) -> bool:
        """Take another daemon's reading; return whether it is whole here.

        Nothing is taken where the digests differ: a message was missed.
        """
        entries = dict(self._entries)
        for change in news.changes:
            if change.entry is None:
                entries.pop(change.server_id, None)
            else:
                entries[change.server_id] = change.entry
        if _digest(entries) != news.digest:
            return False
        self._set(entries)
        return True

    def _set(self, entries: Entries) -> None:
        """Keep these entries."""
        self._entries = entries
        self._digest = _digest(entries)


def _digest(entries: Entries) -> int:
    """Return the digest of all entries, in any order."""
    total = 0
    for one in entries.values():
        total ^= _digest_of(one)
    return total


def _digest_of(entry: models.ListedServer | None) -> int:
    """Return the digest of an entry without what changes by itself."""
    if entry is None:
        return 0
    text = (
        f"{entry.server_id} {entry.service} {entry.address} "
        f"{entry.data_centre} {entry.slots} {entry.leaving} {entry.started_ms}"
    )
    return xxhash.xxh64_intdigest(text)
