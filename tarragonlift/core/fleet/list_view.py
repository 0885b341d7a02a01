"""A daemon's view of the server list and the changes between two reads.

A daemon that has read the list sends the others only the changes, with a
digest of the whole list. Equal digests mean equal lists.
"""

from __future__ import annotations

from collections import abc
import math

import attrs
import xxhash

from tarragonlift.core.fleet import members
from tarragonlift.core.fleet import models

Entries = dict[str, models.ListedServer]


@attrs.frozen
class ListChange:
    """A new or changed entry, or None for a removed one."""

    server_id: str
    entry: models.ListedServer | None


@attrs.frozen
class ListUpdate:
    """Changes of the list that a daemon sends after reading it.

    A ``complete`` update holds all entries; ``age_s`` is the time in seconds
    since the list was read. An update ``for_relay`` is passed on to the
    receiver's data centre.
    ``operators_age_s`` is the time in seconds since the store told all changes
    by operators, infinite if it is not known. ``held_digest`` is a digest of
    the requests that the sender holds back after crashes.
    """

    member: members.Member
    store_version: int
    digest: int
    changes: tuple[ListChange, ...]
    operators: models.OperatorState
    complete: bool = False
    age_s: float = 0.0
    for_relay: bool = False
    operators_age_s: float = math.inf
    held_digest: int = 0


class ListView:
    """The entries of the most recent read known to this daemon."""

    def __init__(self) -> None:
        """Initialize the view without entries."""
        self._entries: Entries = {}
        self._hashes: dict[str, int] = {}
        self._digest = 0

    @property
    def entries(self) -> tuple[models.ListedServer, ...]:
        """Return all entries."""
        return tuple(self._entries.values())

    @property
    def digest(self) -> int:
        """Return the digest of the entries."""
        return self._digest

    def replace(
        self, entries: abc.Iterable[models.ListedServer]
    ) -> tuple[ListChange, ...]:
        """Replace all entries and return the changes."""
        listed = {entry.server_id: entry for entry in entries}
        changes = [
            ListChange(name, entry)
            for name, entry in listed.items()
            if self._hashes.get(name) != _hash_entry(entry)
        ]
        changes += [
            ListChange(name, None)
            for name in self._entries
            if name not in listed
        ]
        self._change(changes)
        # Remaining cold times differ without being changes.
        self._entries = listed
        return tuple(changes)

    def apply(self, update: ListUpdate) -> bool:
        """Apply another daemon's changes; return whether the digests match.

        Nothing changes if the digests differ, since a message was missed.
        """
        changes = list(update.changes)
        if update.complete:
            named = {change.server_id for change in changes}
            changes += [
                ListChange(name, None)
                for name in self._entries
                if name not in named
            ]
        if self._digest_after(changes) != update.digest:
            return False
        self._change(changes)
        return True

    def _digest_after(self, changes: abc.Iterable[ListChange]) -> int:
        """Return the digest of all entries after the changes.

        It is the exclusive or of the entries' hashes, so that it follows from
        the changes alone.
        """
        digest = self._digest
        latest = {change.server_id: change.entry for change in changes}
        for name, entry in latest.items():
            digest ^= self._hashes.get(name, 0) ^ _hash_entry(entry)
        return digest

    def _change(self, changes: abc.Sequence[ListChange]) -> None:
        """Apply the changes to the entries and their digest."""
        self._digest = self._digest_after(changes)
        entries = dict(self._entries)
        for change in changes:
            if change.entry is None:
                entries.pop(change.server_id, None)
                self._hashes.pop(change.server_id, None)
            else:
                entries[change.server_id] = change.entry
                self._hashes[change.server_id] = _hash_entry(change.entry)
        self._entries = entries


def _hash_entry(entry: models.ListedServer | None) -> int:
    """Return the digest of an entry without its remaining cold time."""
    if entry is None:
        return 0
    text = (
        f"{entry.server_id} {entry.service} {entry.address} "
        f"{entry.data_centre} {entry.slots} {entry.leaving} {entry.started_ms}"
    )
    return xxhash.xxh64_intdigest(text)
