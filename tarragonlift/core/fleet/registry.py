"""Registry of the listed servers and the data centres out of service."""

from __future__ import annotations

from collections import abc
import enum
import math

import attrs

from tarragonlift.core import const as core_const
from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import members as members_module
from tarragonlift.core.fleet import models
from tarragonlift.core.fleet import rate_limit
from tarragonlift.core.fleet import server as server_module

FleetServer = server_module.FleetServer


class Source(enum.Enum):
    """What has to be read again after a pause of the process."""

    OPERATORS = "operators"
    SERVERS = "servers"


@attrs.frozen
class Change:
    """A change of one server by a new version of the list."""

    server_id: str
    kind: str
    detail: str


class Registry:
    """All listed servers, by service."""

    def __init__(self, members: members_module.Members) -> None:
        """Initialize the registry without servers."""
        self._members = members
        self._servers: dict[str, FleetServer] = {}
        self._by_service: dict[str, list[FleetServer]] = {}
        self._services: abc.Mapping[str, models.FleetService] = {}
        self._out_of_service: frozenset[str] = frozenset()
        self._missing_kept_until = -math.inf
        self._held_until = -math.inf
        self._unconfirmed: set[Source] = set()
        self._version = 0
        self.is_loaded = False
        # When the list in use was read from the store, by any daemon.
        self.read_at = -math.inf

    @property
    def servers(self) -> abc.Collection[FleetServer]:
        """Return all listed servers."""
        return self._servers.values()

    @property
    def version(self) -> int:
        """Return the version of the list in use."""
        return self._version

    @property
    def out_of_service(self) -> frozenset[str]:
        """Return the data centres that get no new requests."""
        return self._out_of_service

    def get(self, server_id: str) -> FleetServer | None:
        """Return the server with this identifier."""
        return self._servers.get(server_id)

    def lists_start(self, start: models.ServerStart) -> bool:
        """Return whether the list names this process of a server."""
        server = self._servers.get(start.server_id)
        return server is not None and server.start == start

    def set_services(
        self, services: abc.Mapping[str, models.FleetService]
    ) -> None:
        """Set the operators' settings of the services."""
        self._services = services

    def set_out_of_service(self, names: abc.Iterable[str]) -> bool:
        """Set the data centres out of service; return whether they changed."""
        data_centres = frozenset(names)
        changed = data_centres != self._out_of_service
        self._out_of_service = data_centres
        return changed

    def keep_missing(self, until: float) -> None:
        """Keep entries that are missing from the list until this time."""
        self._missing_kept_until = max(self._missing_kept_until, until)

    def hold(self, until: float) -> None:
        """Send no requests until all sources are confirmed, or ``until``.

        After a pause of the process, servers may have left and data centres
        may have been taken out of service.
        """
        self._held_until = until
        self._unconfirmed = set(Source)

    def is_held(self, now: float) -> bool:
        """Return whether requests wait for a source to be confirmed."""
        return now < self._held_until

    def confirm(self, source: Source) -> None:
        """Record that a source was read after the hold began."""
        self._unconfirmed.discard(source)
        if not self._unconfirmed:
            self._held_until = -math.inf

    def set_entries(
        self,
        version: int,
        entries: abc.Iterable[models.ListedServer],
        now: float,
    ) -> list[Change]:
        """Replace the whole list and return the changes."""
        if version < self._version:
            return []
        self._version = version
        self.is_loaded = True
        changes: list[Change] = []
        listed = set()
        for entry in entries:
            listed.add(entry.server_id)
            changes += self._update_entry(entry, now)
        for server_id in list(self._servers):
            if server_id not in listed:
                changes += self._on_missing(server_id, now)
        if changes:
            self._rebuild_index()
        return changes

    def usable_servers(self, service: str) -> list[FleetServer]:
        """Return a service's servers that may get new requests.

        If all of them leave, they are those that said so in answers alone:
        ``can_send`` bounds how long they are used.
        """
        usable = [
            server
            for server in self._by_service.get(service, ())
            if not server.entry.leaving
            and not server.is_gone
            and not server.is_misplaced
            and server.entry.data_centre not in self._out_of_service
        ]
        staying = [server for server in usable if not server.is_leaving]
        return staying or usable

    def can_send(self, server: FleetServer, now: float) -> bool:
        """Return whether a request may be sent to the server now.

        A cold or limited server gets requests only from its owners. Each
        owner sends at an equal share of the rate, evenly spaced, and only
        once it knows the other daemons.
        """
        if self.is_held(now):
            return False
        if server.entry.leaving or server.is_gone or server.is_misplaced:
            return False
        if server.entry.data_centre in self._out_of_service:
            return False
        if now >= server.said_leaving_at + const.LAST_USE_S:
            return False
        if not server.takes_requests(now):
            return False
        rate = self._shared_rate(server, now)
        if rate is None:
            return True
        if not self._is_owner(server, rate):
            return False
        tolerance_s = rate.tolerance_s(len(self._owners(server, rate)))
        return now >= server.next_send_at - tolerance_s

    def record_pause(
        self, server: FleetServer, seconds: float, now: float
    ) -> None:
        """Send nothing to a server for as long as it asks for, and a bit more.

        Daemons return at different times, as pauses may begin together.
        """
        own = self._members.own.daemon
        spread = server.rank_key(own) % const.PAUSE_SPREAD_STEPS
        spread_s = min(
            seconds * const.PAUSE_SPREAD_SHARE, const.MAX_PAUSE_SPREAD_S
        )
        spread_s *= spread / const.PAUSE_SPREAD_STEPS
        server.record_pause(now + seconds + spread_s)

    def resumes_at(self, service: str, now: float) -> float | None:
        """Return when the first server of a service takes requests again.

        None if one of them has not asked for a pause.
        """
        servers = self.usable_servers(service)
        times = [server.paused_until for server in servers]
        first_at = min(times, default=-math.inf)
        return first_at if first_at > now else None

    def count_leaving(self) -> dict[str, int]:
        """Return the number of servers that leave, for each service."""
        return {
            service: sum(server.is_leaving for server in servers)
            for service, servers in self._by_service.items()
        }

    def count_paused(self, now: float) -> dict[str, int]:
        """Return the number of servers in a pause, for each service."""
        return {
            service: sum(now < server.paused_until for server in servers)
            for service, servers in self._by_service.items()
        }

    def has_share(self, server: FleetServer, now: float) -> bool:
        """Return whether this daemon may send to the server at all."""
        rate = self._shared_rate(server, now)
        return rate is None or self._is_owner(server, rate)

    def is_paced(self, server: FleetServer, now: float) -> bool:
        """Return whether all daemons together keep to a rate."""
        return self._shared_rate(server, now) is not None

    def is_first_owner(self, server: FleetServer, now: float) -> bool:
        """Return whether this daemon is the first owner of a paced server."""
        rate = self._shared_rate(server, now)
        if rate is None or not self._members.is_loaded:
            return False
        return self._owners(server, rate)[0] == self._members.own.daemon

    def record_sent(self, server: FleetServer, now: float) -> None:
        """Schedule the next request to the server if it is paced."""
        rate = self._shared_rate(server, now)
        if rate is not None:
            owners = len(self._owners(server, rate))
            due_at = max(now, server.next_send_at)
            server.next_send_at = due_at + rate.interval_s(owners)

    def set_rate_limit(
        self, server: FleetServer, limit: rate_limit.RateLimit, now: float
    ) -> bool:
        """Set a server's limit; return whether the limit in force changed.

        The owners of a new limit begin one after another.
        """
        previous = server.rate_limit
        server.rate_limit = limit
        was_limited = previous.applies(now)
        if not limit.applies(now):
            return was_limited
        if was_limited and limit.per_s == previous.per_s:
            return False
        rate = limit.shared
        owners = self._owners(server, rate)
        if was_limited:
            begins_at = now + rate.interval_s(len(owners))
            server.next_send_at = min(server.next_send_at, begins_at)
        else:
            own = self._members.own.daemon
            rank = owners.index(own) if own in owners else len(owners)
            begins_at = now + rate.interval_s(rank + 1)
            begins_at += rate.tolerance_s(len(owners))
            server.next_send_at = max(server.next_send_at, begins_at)
        return True

    def health_path(self, service: str) -> str:
        """Return the path of the service's health checks."""
        settings = self._services.get(service)
        return settings.health_path if settings is not None else "/health"

    def _shared_rate(
        self, server: FleetServer, now: float
    ) -> rate_limit.SharedRate | None:
        """Return the rate of all daemons together; None without one."""
        limit = server.rate_limit
        is_limited = limit.applies(now)
        if not server.is_cold(now):
            return limit.shared if is_limited else None
        service = self._services.get(server.entry.service)
        cold_rate = service.cold_rate if service is not None else 1.0
        cold = rate_limit.SharedRate(
            max(const.MIN_COLD_PER_S, cold_rate * const.COLD_RATE_SHARE),
            const.MAX_COLD_OWNERS,
        )
        return cold.meet(limit.shared) if is_limited else cold

    def _is_owner(
        self, server: FleetServer, rate: rate_limit.SharedRate
    ) -> bool:
        """Return whether this daemon may send to the paced server."""
        if not self._members.is_loaded:
            return False
        return self._members.own.daemon in self._owners(server, rate)

    def _owners(
        self, server: FleetServer, rate: rate_limit.SharedRate
    ) -> tuple[str, ...]:
        """Return the daemons that may send to the paced server."""
        return self._members.owners(
            server.server_id, server.entry.data_centre, rate.owners
        )

    def _update_entry(
        self, entry: models.ListedServer, now: float
    ) -> list[Change]:
        """Add or update the server of one entry."""
        current = self._servers.get(entry.server_id)
        if current is not None and entry.started_ms < current.entry.started_ms:
            # A delayed heartbeat of an earlier process with this identifier.
            return []
        if current is None or entry.started_ms != current.entry.started_ms:
            self._replace(current, entry, now)
            detail = f"{entry.service} {entry.data_centre} {entry.address}"
            kind = core_const.EVENT_BACKEND_LISTED
            return [Change(entry.server_id, kind, detail)]
        previous = current.entry
        current.entry = entry
        if entry.address != previous.address:
            current.is_misplaced = False
        if entry.leaving and not previous.leaving:
            kind = core_const.EVENT_BACKEND_LEAVING
            return [Change(entry.server_id, kind, "listed as leaving")]
        moved = entry.service != previous.service
        return [Change(entry.server_id, "moved", "")] if moved else []

    def _replace(
        self,
        current: FleetServer | None,
        entry: models.ListedServer,
        now: float,
    ) -> None:
        """Register a new process in place of an earlier one, if any."""
        if current is not None:
            current.is_gone = True
        server = FleetServer(entry)
        server.set_cold_for(entry.cold_for_s, now)
        self._servers[entry.server_id] = server

    def _on_missing(self, server_id: str, now: float) -> list[Change]:
        """Remove an unlisted server unless missing entries are kept."""
        server = self._servers[server_id]
        if now < self._missing_kept_until and not server.entry.leaving:
            return []
        server.is_gone = True
        del self._servers[server_id]
        kind = core_const.EVENT_BACKEND_GONE
        return [Change(server_id, kind, "not listed any more")]

    def _rebuild_index(self) -> None:
        """Rebuild the index of servers by service."""
        self._by_service = {}
        for server in self._servers.values():
            servers = self._by_service.setdefault(server.entry.service, [])
            servers.append(server)
