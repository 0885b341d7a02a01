"""Tracks the known daemons and which of them send to a cold server."""

from __future__ import annotations

from collections import abc

import attrs

from tarragonlift.core.fleet import const
from tarragonlift.core import models
from tarragonlift.core import rendezvous


@attrs.frozen
class Member:
    """One daemon with its data centre and its address for other daemons."""

    daemon: str
    data_centre: str
    address: models.Address


class Members:
    """The daemons known to this daemon, including itself."""

    def __init__(self, own: Member) -> None:
        """Initialize the members with this daemon only."""
        self._own = own
        self._members: dict[str, Member] = {own.daemon: own}
        self._owners: dict[tuple[str, str], tuple[str, ...]] = {}
        self._names: tuple[str, ...] = (own.daemon,)
        self._local_names: tuple[str, ...] = (own.daemon,)
        # True once the daemons' rows were read.
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

    def set_members(self, members: abc.Iterable[Member]) -> bool:
        """Replace the list of daemons and return whether it changed."""
        self.is_loaded = True
        daemons = {member.daemon: member for member in members}
        daemons[self._own.daemon] = self._own
        if daemons == self._members:
            return False
        self._members = daemons
        self._update_names()
        return True

    def add(self, member: Member) -> bool:
        """Add a daemon that sent a message; return whether it changed."""
        current = self._members.get(member.daemon)
        if current == member or member.daemon == self._own.daemon:
            return False
        self._members[member.daemon] = member
        self._update_names()
        return True

    def cold_owners(self, server_id: str, data_centre: str) -> tuple[str, ...]:
        """Return the daemons that may send to the server while it is cold.

        They are daemons of its data centre if there are any.
        """
        key = (server_id, data_centre)
        owners = self._owners.get(key)
        if owners is None:
            local = [
                member.daemon
                for member in self._members.values()
                if member.data_centre == data_centre
            ]
            hashed = rendezvous.hash_members(local or list(self._members))
            max_owners = const.MAX_COLD_OWNERS
            owners = tuple(rendezvous.rank(server_id, hashed, max_owners))
            self._owners[key] = owners
        return owners

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
