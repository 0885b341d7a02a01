"""Tracks the known daemons and their ranks for shared duties.

Each source names daemons: the store's rows, each seed daemon, and messages of
the daemons themselves. A daemon is known as long as one source names it; a
source that falls silent counts until another one has been heard of since.
"""

from __future__ import annotations

from collections import abc

import attrs
import xxhash

from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import ranking
from tarragonlift.core import models
from tarragonlift.core import rendezvous


@attrs.frozen
class Member:
    """One daemon with its data centre and its address for other daemons."""

    daemon: str
    data_centre: str
    address: models.Address


SOURCE_ROWS = "rows"
SOURCE_JOINED = "joined"
KEY_STORE = "operators"


class Members:
    """The daemons known to this daemon, including itself."""

    def __init__(self, own: Member) -> None:
        """Initialize the members with this daemon only."""
        self._own = own
        self._members: dict[str, Member] = {own.daemon: own}
        self._sources: dict[str, dict[str, Member]] = {}
        self._relays: list[Member] | None = None
        self._joined_at: dict[str, float] = {}
        # When each source but the daemons themselves was last heard of.
        self._heard_at: dict[str, float] = {}
        self._store_rank = ranking.CachedRank(KEY_STORE, own.daemon)
        self._owners: dict[tuple[str, str, int], tuple[str, ...]] = {}
        self._names: tuple[str, ...] = (own.daemon,)
        self._local_names: tuple[str, ...] = (own.daemon,)
        # True once a source named all daemons that it knows.
        self.is_loaded = False

    def __len__(self) -> int:
        """Return the number of known daemons."""
        return len(self._members)

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all daemons, sorted."""
        return self._names

    @property
    def local_names(self) -> tuple[str, ...]:
        """Return the names of this data centre's daemons, sorted."""
        return self._local_names

    @property
    def own(self) -> Member:
        """Return this daemon."""
        return self._own

    @property
    def all(self) -> list[Member]:
        """Return all daemons, sorted by name."""
        return [self._members[name] for name in self._names]

    @property
    def reported(self) -> list[Member]:
        """Return this daemon and those that the rows or they themselves name.

        Seeds that repeated what other seeds name would do so for ever.
        """
        daemons = {
            **self._sources.get(SOURCE_ROWS, {}),
            **self._sources.get(SOURCE_JOINED, {}),
            self._own.daemon: self._own,
        }
        return list(daemons.values())

    @property
    def local_rank(self) -> int:
        """Return this daemon's rank in its data centre for store duties."""
        return self._store_rank.among(self._local_names)

    @property
    def is_store_contact(self) -> bool:
        """Return whether this daemon calls the store for its data centre."""
        if not self.is_loaded:
            return False
        return self.local_rank < const.MAX_WATCHERS

    @property
    def others(self) -> list[Member]:
        """Return the other daemons."""
        own = self._own.daemon
        return [
            member for member in self._members.values() if member.daemon != own
        ]

    @property
    def local_others(self) -> list[Member]:
        """Return the other daemons of this data centre."""
        data_centre = self._own.data_centre
        return [
            member
            for member in self.others
            if member.data_centre == data_centre
        ]

    def set_own_address(self, address: models.Address) -> None:
        """Set this daemon's address once the kernel has assigned it."""
        self._own = attrs.evolve(self._own, address=address)
        self._members[self._own.daemon] = self._own

    @property
    def relays(self) -> list[Member]:
        """Return the daemons that pass messages on in other data centres."""
        if self._relays is None:
            by_data_centre: dict[str, list[str]] = {}
            for member in self.others:
                names = by_data_centre.setdefault(member.data_centre, [])
                names.append(member.daemon)
            by_data_centre.pop(self._own.data_centre, None)
            self._relays = []
            for names in by_data_centre.values():
                hashed = rendezvous.hash_members(names)
                count = const.RELAYS_PER_DATA_CENTRE
                first = rendezvous.rank(KEY_STORE, hashed, count)
                self._relays += [self._members[name] for name in first]
        return self._relays

    def first_local_others(self, count: int) -> list[Member]:
        """Return the first other daemons of this data centre for duties."""
        hashed = rendezvous.hash_members(self._local_names)
        order = rendezvous.rank(KEY_STORE, hashed, count + 1)
        names = [name for name in order if name != self._own.daemon]
        return [self._members[name] for name in names[:count]]

    def set_members(
        self, members: abc.Iterable[Member], source: str = SOURCE_ROWS
    ) -> bool:
        """Replace what a source names; return whether the daemons changed.

        Daemons known only from their own messages are removed: a source that
        is up to date names them as well.
        """
        self.is_loaded = True
        self._sources[source] = {member.daemon: member for member in members}
        return self._update_members()

    def record_contact(self, source: str, now: float) -> None:
        """Record that the rows were read or that a seed answered."""
        self._heard_at[source] = now

    def join(self, member: Member, now: float) -> bool:
        """Add a daemon that reported itself; return whether it changed."""
        self._joined_at[member.daemon] = now
        joined = self._sources.setdefault(SOURCE_JOINED, {})
        joined[member.daemon] = member
        return self.add(member)

    def drop_silent(self, before: float) -> bool:
        """Forget what is older than a time; return whether daemons changed.

        If no source has been heard of since, all of them are kept.
        """
        dropped = False
        joined = self._sources.get(SOURCE_JOINED, {})
        for name, joined_at in list(self._joined_at.items()):
            if joined_at < before:
                del self._joined_at[name]
                del joined[name]
                dropped = True
        if max(self._heard_at.values(), default=before) > before:
            for source, heard_at in list(self._heard_at.items()):
                if heard_at < before:
                    del self._heard_at[source]
                    dropped |= bool(self._sources.pop(source, None))
        return dropped and self._update_members()

    def add(self, member: Member) -> bool:
        """Add a daemon that sent a message; return whether it changed."""
        current = self._members.get(member.daemon)
        if current == member or member.daemon == self._own.daemon:
            return False
        self._members[member.daemon] = member
        self._update_names()
        return True

    def owners(
        self, server_id: str, data_centre: str, count: int
    ) -> tuple[str, ...]:
        """Return the daemons that may send to a paced server, first first.

        They are daemons of its data centre if there are any. The owners for a
        smaller count are the first of those for a larger one.
        """
        key = (server_id, data_centre, count)
        owners = self._owners.get(key)
        if owners is None:
            local = [
                member.daemon
                for member in self._members.values()
                if member.data_centre == data_centre
            ]
            hashed = rendezvous.hash_members(local or list(self._members))
            owners = tuple(rendezvous.rank(server_id, hashed, count))
            self._owners[key] = owners
        return owners

    def _update_members(self) -> bool:
        """Update the daemons that the sources name; return whether changed."""
        daemons = {
            name: member
            for named in self._sources.values()
            for name, member in named.items()
        }
        daemons[self._own.daemon] = self._own
        if daemons == self._members:
            return False
        self._members = daemons
        self._update_names()
        return True

    def _update_names(self) -> None:
        """Update the sorted names and reset the cached owners."""
        data_centre = self._own.data_centre
        self._names = tuple(sorted(self._members))
        self._local_names = tuple(
            name
            for name in self._names
            if self._members[name].data_centre == data_centre
        )
        self._owners.clear()
        self._relays = None


def compute_digest(members: abc.Iterable[Member]) -> int:
    """Return a digest of daemons that doesn't depend on their order."""
    total = 0
    for member in members:
        text = f"{member.daemon} {member.data_centre} {member.address}"
        total ^= xxhash.xxh64_intdigest(text)
    return total
