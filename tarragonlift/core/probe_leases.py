"""Leases that limit the rate at which all daemons probe backend servers.

A service has a fixed number of leases, and each one allows one probe per
interval. A lease is a row in the platform's table; the daemon that writes the
row holds the lease for a limited time. The time counts on the holder's
monotonic clock from before the write was sent. Other daemons take a lease
over only after its row has not changed for longer than the lease duration on
their own clock. So two daemons never probe on the same lease, even after
pauses and lost messages. The number of leases times the rate of one lease is
the upper bound of the probe rate.
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
    """State of one lease as last seen by this daemon."""

    version: int = -1
    unchanged_since: float = math.inf
    written_at: float = -math.inf
    pending_holder: str = ""
    write_count: int = 0
    held_until: float = -math.inf
    next_probe_at: float = math.inf


class ProbeLeaseManager:
    """Acquires, renews and uses probe leases for one daemon."""

    def __init__(self, daemon: str) -> None:
        """Initialize the manager without leases."""
        self._daemon = daemon
        self._leases: dict[str, _Lease] = {}

    @property
    def keys(self) -> list[str]:
        """Return the row keys of the leases."""
        return list(self._leases)

    def set_services(self, lease_counts: abc.Mapping[str, int]) -> None:
        """Set the number of leases of each service, by its name."""
        keys = {
            f"{LEASE_KEY_PREFIX}{service}/{number}"
            for service, count in lease_counts.items()
            for number in range(count)
        }
        for key in keys - set(self._leases):
            self._leases[key] = _Lease()
        for key in set(self._leases) - keys:
            del self._leases[key]

    def on_rows(self, rows: list[Row], now: float) -> None:
        """Process the rows that were read; a missing row has version 0."""
        versions = {row.key: row.version for row in rows}
        for key, lease in self._leases.items():
            version = versions.get(key, 0)
            if version != lease.version:
                lease.version = version
                lease.unchanged_since = now

    def next_writes(self, now: float) -> list[Operation]:
        """Return the writes that acquire or renew leases now."""
        writes = []
        for key, lease in self._leases.items():
            if lease.version < 0 or lease.pending_holder:
                continue
            if self._is_due(lease, now):
                lease.write_count += 1
                lease.pending_holder = f"{self._daemon}-{lease.write_count}"
                lease.written_at = now
                value: dict[str, Any] = {"holder": lease.pending_holder}
                writes.append(Operation(key, value, lease.version))
        return writes

    def on_write_result(
        self, key: str, conflicts: list[Row], now: float
    ) -> None:
        """Process the result of a write."""
        lease = self._leases.get(key)
        if lease is None:
            return
        if conflicts:
            self._on_conflict(lease, conflicts[0], now)
            return
        self._start_lease(lease, lease.version + 1, now)

    def on_answer_lost(self, key: str) -> None:
        """Process the loss of a write's result, which renews no lease."""
        lease = self._leases.get(key)
        if lease is not None:
            lease.pending_holder = ""

    def acquire_probe(self, key: str, now: float) -> bool:
        """Return whether a probe may be sent now, and count it as sent."""
        lease = self._leases.get(key)
        if (
            lease is None
            or now >= lease.held_until
            or now < lease.next_probe_at
        ):
            return False
        lease.next_probe_at = now + PROBE_INTERVAL_S
        return True

    def _is_due(self, lease: _Lease, now: float) -> bool:
        """Return whether to acquire a free lease or to renew a held one."""
        if now < lease.held_until:
            return lease.held_until - now < LEASE_DURATION_S - RENEW_INTERVAL_S
        free_after = LEASE_DURATION_S + TAKEOVER_MARGIN_S
        return now - lease.unchanged_since > free_after

    def _start_lease(self, lease: _Lease, version: int, now: float) -> None:
        """Start the lease, counted from before the write was sent."""
        was_held = now < lease.held_until
        lease.pending_holder = ""
        lease.version = version
        lease.unchanged_since = now
        lease.held_until = lease.written_at + LEASE_DURATION_S
        if not was_held:
            lease.next_probe_at = now + PROBE_INTERVAL_S

    def _on_conflict(self, lease: _Lease, row: Row, now: float) -> None:
        """Process a conflict, which may come from an earlier own write."""
        holder = (row.value or {}).get("holder")
        if holder == lease.pending_holder:
            self._start_lease(lease, row.version, now)
            return
        lease.pending_holder = ""
        lease.held_until = -math.inf
        if row.version != lease.version:
            lease.version = row.version
            lease.unchanged_since = now
