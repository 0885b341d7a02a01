"""Follows the platform's list of servers and what operators take out."""

from __future__ import annotations

from collections import abc
import math

import attrs

from tarragonlift.core import const as core_const
from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import members as members_module
from tarragonlift.core.fleet import models
from tarragonlift.core.fleet import server as server_module

FleetServer = server_module.FleetServer


@attrs.frozen
class Change:
    """What the list changed in this daemon's view of a server."""

    server_id: str
    kind: str
    detail: str


class Registry:
    """All servers of the list, by service."""

    def __init__(self, members: members_module.Members) -> None:
        """Know no server."""
        self._members = members
        self._servers: dict[str, FleetServer] = {}
        self._by_service: dict[str, list[FleetServer]] = {}
        self._services: abc.Mapping[str, models.FleetService] = {}
        self._out_of_service: frozenset[str] = frozenset()
        self._kept_until = -math.inf
        self._version = 0
        self.is_loaded = False

    @property
    def servers(self) -> abc.Collection[FleetServer]:
        """Return all servers that are listed."""
        return self._servers.values()

    @property
    def version(self) -> int:
        """Return the version of the list that is followed."""
        return self._version

    @property
    def out_of_service(self) -> frozenset[str]:
        """Return the data centres that get no new work."""
        return self._out_of_service

    def get(self, server_id: str) -> FleetServer | None:
        """Return the server with this identifier."""
        return self._servers.get(server_id)

    def set_services(
        self, services: abc.Mapping[str, models.FleetService]
    ) -> None:
        """Follow what operators say of the services."""
        self._services = services

    def set_out_of_service(self, out: abc.Iterable[str]) -> bool:
        """Send nothing to these data centres; return whether that is new."""
        wanted = frozenset(out)
        changed = wanted != self._out_of_service
        self._out_of_service = wanted
        return changed

    def keep_missing(self, until: float) -> None:
        """Keep missing entries until then: the list was away."""
        self._kept_until = max(self._kept_until, until)

    def set_entries(
        self,
        version: int,
        entries: abc.Iterable[models.ListedServer],
        now: float,
    ) -> list[Change]:
        """Follow a whole list; return what changed."""
        if version < self._version:
            return []
        self._version = version
        self.is_loaded = True
        changes: list[Change] = []
        listed = set()
        for entry in entries:
            listed.add(entry.server_id)
            changes += self._follow(entry, now)
        for server_id in list(self._servers):
            if server_id not in listed:
                changes += self._on_missing(server_id, now)
        if changes:
            self._index()
        return changes

    def usable_servers(self, service: str) -> list[FleetServer]:
        """Return the servers of a service that may get new work at all."""
        return [
            one
            for one in self._by_service.get(service, ())
            if not one.entry.leaving
            and not one.is_gone
            and not one.is_misplaced
            and one.entry.data_centre not in self._out_of_service
        ]

    def can_send(self, one: FleetServer, now: float) -> bool:
        """Return whether a request may go to the server at this moment.

        A cold server gets work from its owners alone, each at an equal part
        of the rate it bears, evenly spaced; from nobody who does not know
        the other daemons yet.
        """
        if one.entry.leaving or one.is_gone or one.is_misplaced:
            return False
        if one.entry.data_centre in self._out_of_service:
            return False
        if not one.is_cold(now):
            return True
        return self.is_cold_owner(one) and now >= one.cold_next_at

    def is_cold_owner(self, one: FleetServer) -> bool:
        """Return whether this daemon may send to the server while cold."""
        if not self._members.is_loaded:
            return False
        return self._members.own.daemon in self._owners(one)

    def record_sent(self, one: FleetServer, now: float) -> None:
        """Count a request sent to a server that may be cold."""
        if not one.is_cold(now):
            return
        service = self._services.get(one.entry.service)
        rate = service.cold_rate if service is not None else 1.0
        used = max(0.1, rate * const.COLD_RATE_SHARE)
        one.cold_next_at = now + len(self._owners(one)) / used

    def health_path(self, service: str) -> str:
        """Return where the service's servers answer health checks."""
        known = self._services.get(service)
        return known.health_path if known is not None else "/health"

    def _owners(self, one: FleetServer) -> tuple[str, ...]:
        """Return the daemons that may send to the server while cold."""
        return self._members.cold_owners(one.server_id, one.entry.data_centre)

    def _follow(self, entry: models.ListedServer, now: float) -> list[Change]:
        """Follow one entry."""
        known = self._servers.get(entry.server_id)
        if known is not None and entry.started_ms < known.entry.started_ms:
            # A late heartbeat of an earlier process of this name.
            return []
        if known is None or entry.started_ms != known.entry.started_ms:
            self._replace(known, entry, now)
            detail = f"{entry.service} {entry.data_centre} {entry.address}"
            kind = core_const.EVENT_BACKEND_LISTED
            return [Change(entry.server_id, kind, detail)]
        before = known.entry
        known.entry = entry
        if entry.address != before.address:
            known.is_misplaced = False
        if entry.leaving and not before.leaving:
            kind = core_const.EVENT_BACKEND_LEAVING
            return [Change(entry.server_id, kind, "listed as leaving")]
        moved = entry.service != before.service
        return [Change(entry.server_id, "moved", "")] if moved else []

    def _replace(
        self,
        known: FleetServer | None,
        entry: models.ListedServer,
        now: float,
    ) -> None:
        """Begin anew with a process that was not known."""
        if known is not None:
            known.is_gone = True
        fresh = FleetServer(entry)
        fresh.set_cold_for(entry.cold_for_s, now)
        self._servers[entry.server_id] = fresh

    def _on_missing(self, server_id: str, now: float) -> list[Change]:
        """Drop a server that is not listed, unless entries may lapse."""
        one = self._servers[server_id]
        if now < self._kept_until and not one.entry.leaving:
            return []
        one.is_gone = True
        del self._servers[server_id]
        kind = core_const.EVENT_BACKEND_GONE
        return [Change(server_id, kind, "not listed any more")]

    def _index(self) -> None:
        """Arrange the servers by service."""
        self._by_service = {}
        for one in self._servers.values():
            found = self._by_service.setdefault(one.entry.service, [])
            found.append(one)
