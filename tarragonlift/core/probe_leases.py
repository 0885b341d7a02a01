"""The right to measure backend servers, in numbered seats with leases.

Each seat of a service allows one probe in each interval. A seat is a row in
the platform's table; who writes it holds it for a while. The lease counts on
the holder's monotonic clock from before the write was sent. Others take the
seat over only after they have seen its row unchanged for longer than a lease
on their own clock. So a seat never has two holders that probe, whatever is
paused or lost, and without a seat there is no probe: seats times the rate of
a seat is the most that measuring ever costs.
"""

from __future__ import annotations

from collections import abc
import math
from typing import Any

import attrs

from tarragonlift.core import interfaces

LEASE_KEY_PREFIX = "seat/"
LEASE_DURATION_S = 10.0
TAKEOVER_MARGIN_S = 2.0
RENEW_INTERVAL_S = 4.0
PROBE_INTERVAL_S = 1.0

Operation = interfaces.Operation
Row = interfaces.Row


@attrs.define
class _Lease:
    """What this daemon knows of one seat."""

    version: int = -1
    unchanged_since: float = math.inf
    asked_at: float = -math.inf
    asking: str = ""
    asks: int = 0
    held_until: float = -math.inf
    probe_at: float = math.inf


class ProbeLeaseManager:
    """Takes, renews and uses seats in the name of one daemon."""

    def __init__(self, daemon: str) -> None:
        """Know no seat yet."""
        self._daemon = daemon
        self._seats: dict[str, _Lease] = {}

    @property
    def keys(self) -> list[str]:
        """Return the keys of the seats' rows."""
        return list(self._seats)

    def set_services(self, seats: abc.Mapping[str, int]) -> None:
        """Have this many seats for each service, by name."""
        keys = {
            f"{LEASE_KEY_PREFIX}{service}/{number}"
            for service, count in seats.items()
            for number in range(count)
        }
        for key in keys - set(self._seats):
            self._seats[key] = _Lease()
        for key in set(self._seats) - keys:
            del self._seats[key]

    def on_rows(self, rows: list[Row], now: float) -> None:
        """Take the rows as they were read; a missing row has version 0."""
        versions = {row.key: row.version for row in rows}
        for key, seat in self._seats.items():
            version = versions.get(key, 0)
            if version != seat.version:
                seat.version = version
                seat.unchanged_since = now

    def next_writes(self, now: float) -> list[Operation]:
        """Return the writes by which seats are taken or renewed now."""
        writes = []
        for key, seat in self._seats.items():
            if seat.version < 0 or seat.asking:
                continue
            if self._is_due(seat, now):
                seat.asks += 1
                seat.asking = f"{self._daemon}-{seat.asks}"
                seat.asked_at = now
                value: dict[str, Any] = {"holder": seat.asking}
                writes.append(Operation(key, value, seat.version))
        return writes

    def on_write_result(
        self, key: str, conflicts: list[Row], now: float
    ) -> None:
        """Take the table's answer to a write."""
        seat = self._seats.get(key)
        if seat is None:
            return
        if conflicts:
            self._on_conflict(seat, conflicts[0], now)
            return
        self._hold(seat, seat.version + 1, now)

    def on_answer_lost(self, key: str) -> None:
        """The answer was lost: the seat counts as not held."""
        seat = self._seats.get(key)
        if seat is not None:
            seat.asking = ""

    def acquire_probe(self, key: str, now: float) -> bool:
        """Use the right to one probe; right before it is sent."""
        seat = self._seats.get(key)
        if seat is None or now >= seat.held_until or now < seat.probe_at:
            return False
        seat.probe_at = now + PROBE_INTERVAL_S
        return True

    def _is_due(self, seat: _Lease, now: float) -> bool:
        """Return whether to take a free seat or renew one that is held."""
        if now < seat.held_until:
            return seat.held_until - now < LEASE_DURATION_S - RENEW_INTERVAL_S
        free_after = LEASE_DURATION_S + TAKEOVER_MARGIN_S
        return now - seat.unchanged_since > free_after

    def _hold(self, seat: _Lease, version: int, now: float) -> None:
        """Hold the seat, counted from before the write was sent."""
        was_held = now < seat.held_until
        seat.asking = ""
        seat.version = version
        seat.unchanged_since = now
        seat.held_until = seat.asked_at + LEASE_DURATION_S
        if not was_held:
            seat.probe_at = now + PROBE_INTERVAL_S

    def _on_conflict(self, seat: _Lease, row: Row, now: float) -> None:
        """Another write stood in the way, perhaps our own of before."""
        holder = (row.value or {}).get("holder")
        if holder == seat.asking:
            self._hold(seat, row.version, now)
            return
        seat.asking = ""
        seat.held_until = -math.inf
        if row.version != seat.version:
            seat.version = row.version
            seat.unchanged_since = now
