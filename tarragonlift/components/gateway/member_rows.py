"""Writes this daemon's row in the store and reads those of the others."""

from __future__ import annotations

from tarragonlift.components.gateway import access
from tarragonlift.components.gateway import const
from tarragonlift.components.gateway import dependency
from tarragonlift.components import logs
from tarragonlift.core.fleet import interfaces
from tarragonlift.core.fleet import members as members_module
from tarragonlift import exceptions

Failure = exceptions.PlatformError


class MemberRows:
    """Keeps a fleet's members in sync with the store."""

    def __init__(self, store_access: access.StoreAccess) -> None:
        """Initialize the members; ``start`` begins to write and read."""
        self._access = store_access
        self._loop = store_access.loop
        self._store = store_access.store
        self._fleet = store_access.fleet
        self._rng = store_access.rng
        self._dependency = dependency.Dependency("members", self._rng)
        self._is_started = False
        self._is_stopped = False

    def start(self, now: float, read_delay_s: float | None = None) -> None:
        """Write the row and read all rows, regularly from now on.

        By default, the first read waits until others may have started.
        """
        if self._is_started:
            return
        self._is_started = True
        self._write(now)
        if read_delay_s is None:
            first = const.FIRST_MEMBERS_READ_DELAY_S
            read_delay_s = first * (1.0 + self._rng.random())
        self._loop.call_at(now + read_delay_s, self._read)

    def stop(self) -> None:
        """Stop writing the row."""
        self._is_stopped = True

    def add(self, member: members_module.Member) -> None:
        """Add a daemon that sent a message."""
        if self._fleet.add_member(member):
            count = len(self._fleet.members)
            logs.log_status("members", count=count, told_by=member.daemon)

    def _write(self, now: float) -> None:
        """Write this daemon's row, now and at regular intervals."""
        if self._is_stopped:
            return
        when = now + const.MEMBERS_INTERVAL_S * (
            0.9 + 0.2 * self._rng.random()
        )
        self._loop.call_at(when, self._write)
        self._access.count_call()
        row = interfaces.MemberRow(
            self._fleet.members.own, self._loop.wall_time()
        )
        self._store.write_member(row, self._on_written)
        self._loop.call_at(when + 1.0, self._read)

    def _on_written(self, failure: Failure | None) -> None:
        """Record a failed write; the next interval writes the row again."""
        if failure is not None:
            daemons = len(self._fleet.members)
            self._dependency.record_failure(failure, self._loop.now(), daemons)

    def _read(self, now: float) -> None:
        """Start a read of all daemons' rows."""
        self._access.count_call()
        self._store.read_members(self._on_read)

    def _on_read(self, rows: list[interfaces.MemberRow] | Failure) -> None:
        """Apply the rows of all daemons."""
        now = self._loop.now()
        if isinstance(rows, Failure):
            daemons = len(self._fleet.members)
            when = self._dependency.record_failure(rows, now, daemons)
            self._loop.call_at(when, self._read)
            return
        self._dependency.record_success(now)
        self._fleet.members.record_contact(members_module.SOURCE_ROWS, now)
        wall_time = self._loop.wall_time()
        if self._fleet.set_member_rows(rows, wall_time, const.MEMBER_EXPIRY_S):
            logs.log_status("members", count=len(self._fleet.members))
