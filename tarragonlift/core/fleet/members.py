"""Which daemons there are, and which of them send to a cold server."""

from __future__ import annotations

from collections import abc

import attrs

from tarragonlift.core.fleet import const
from tarragonlift.core import models
from tarragonlift.core import rendezvous


@attrs.frozen
class Member:
    """One daemon: where it stands and where other daemons reach it."""

    daemon: str
    data_centre: str
    address: models.Address


class Members:
    """The daemons known to this one, itself included."""

    def __init__(self, own: Member) -> None:
        """Know this daemon alone."""
        self._own = own
        self._members: dict[str, Member] = {own.daemon: own}
        self._owners: dict[tuple[str, str], tuple[str, ...]] = {}
        self._names: tuple[str, ...] = (own.daemon,)
        self._near_names: tuple[str, ...] = (own.daemon,)
        # The daemons' rows were read at least once.
        self.is_loaded = False

    def __len__(self) -> int:
        """Return how many daemons are known."""
        return len(self._members)

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all daemons, sorted."""
        return self._names

    @property
    def local_names(self) -> tuple[str, ...]:
        """Return the names of this data centre's daemons, sorted."""
        return self._near_names

    @property
    def own(self) -> Member:
        """Return this daemon."""
        return self._own

    @property
    def others(self) -> list[Member]:
        """Return the other daemons."""
        own = self._own.daemon
        return [one for one in self._members.values() if one.daemon != own]

    @property
    def local_others(self) -> list[Member]:
        """Return the other daemons of this data centre."""
        place = self._own.data_centre
        return [one for one in self.others if one.data_centre == place]

    def set_own_address(self, address: models.Address) -> None:
        """Take the address that the kernel gave."""
        self._own = attrs.evolve(self._own, address=address)
        self._members[self._own.daemon] = self._own

    def set_members(self, members: abc.Iterable[Member]) -> bool:
        """Follow the list of daemons; return whether it changed."""
        self.is_loaded = True
        found = {one.daemon: one for one in members}
        found[self._own.daemon] = self._own
        if found == self._members:
            return False
        self._members = found
        self._follow()
        return True

    def add(self, member: Member) -> bool:
        """Know a daemon that told something; return whether it is news."""
        known = self._members.get(member.daemon)
        if known == member or member.daemon == self._own.daemon:
            return False
        self._members[member.daemon] = member
        self._follow()
        return True

    def cold_owners(self, server_id: str, data_centre: str) -> tuple[str, ...]:
        """Return the daemons that may send to the server while it is cold.

        They stand in its data centre where there are any.
        """
        key = (server_id, data_centre)
        known = self._owners.get(key)
        if known is None:
            near = [
                one.daemon
                for one in self._members.values()
                if one.data_centre == data_centre
            ]
            hashed = rendezvous.hash_members(near or list(self._members))
            most = const.MAX_COLD_OWNERS
            known = tuple(rendezvous.rank(server_id, hashed, most))
            self._owners[key] = known
        return known

    def _follow(self) -> None:
        """Derive anew what rests on the members."""
        place = self._own.data_centre
        self._names = tuple(sorted(self._members))
        self._near_names = tuple(
            name
            for name in self._names
            if self._members[name].data_centre == place
        )
        self._owners.clear()
