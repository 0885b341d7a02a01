"""Test the leases that limit the probe rate."""

from __future__ import annotations

import random
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from tarragonlift.core import claims
from tarragonlift.core import probe_leases

KEY = "seat/ordering/0"
STEP_S = 0.25


class Table:
    """Fake table of one row with compare-and-set."""

    def __init__(self) -> None:
        """Initialize the table without the row."""
        self.version = 0
        self.value: dict[str, Any] | None = None

    def row(self) -> claims.Row:
        """Return the row."""
        return claims.Row(KEY, self.version, self.value)

    def write(self, operation: claims.Operation) -> list[claims.Row]:
        """Apply a write; return the row if it conflicts."""
        if operation.if_version != self.version:
            return [self.row()]
        self.version += 1
        self.value = operation.value
        return []


def make_manager(name: str) -> probe_leases.ProbeLeaseManager:
    """Return a manager with one lease."""
    manager = probe_leases.ProbeLeaseManager(name)
    manager.set_services({"ordering": 1})
    return manager


def read_and_write(
    manager: probe_leases.ProbeLeaseManager, table: Table, now: float
) -> bool:
    """Read the row and apply due writes; return whether there were any."""
    manager.on_rows([table.row()] if table.version else [], now)
    written = False
    for operation in manager.next_writes(now):
        manager.on_write_result(KEY, table.write(operation), now)
        written = True
    return written


class TestProbeLeaseManager:
    """Test that only one holder at a time may probe."""

    def test_acquires_a_lease_only_after_its_duration(self) -> None:
        """Wait for the lease duration, as the lease may be held."""
        manager, table = make_manager("a"), Table()
        read_and_write(manager, table, 0.0)
        assert table.version == 0
        read_and_write(manager, table, 13.0)
        assert table.version == 1
        assert not manager.acquire_probe(KEY, 13.0)
        assert manager.acquire_probe(KEY, 14.0)
        assert not manager.acquire_probe(KEY, 14.5)

    def test_holder_that_was_paused_does_not_probe(self) -> None:
        """A lease that expired during a pause allows no probe."""
        manager, table = make_manager("a"), Table()
        read_and_write(manager, table, 0.0)
        read_and_write(manager, table, 13.0)
        assert not manager.acquire_probe(KEY, 23.5)

    def test_lost_result_means_no_lease(self) -> None:
        """A write of unknown result allows no probe."""
        manager, table = make_manager("a"), Table()
        read_and_write(manager, table, 0.0)
        (operation,) = manager.next_writes(13.0)
        table.write(operation)
        manager.on_answer_lost(KEY)
        assert not manager.acquire_probe(KEY, 14.5)

    @settings(max_examples=60, deadline=None)
    @given(strategies.integers(0, 10**6))
    def test_pauses_races_and_losses_keep_the_probe_rate(
        self, seed: int
    ) -> None:
        """Probes on one lease are at least one second apart."""
        rng = random.Random(seed)
        table = Table()
        managers = [make_manager(name) for name in "abcd"]
        paused_until = dict.fromkeys(range(4), 0.0)
        probes: list[float] = []
        now = 0.0
        while now < 120.0:
            now += STEP_S
            number = rng.randrange(4)
            manager = managers[number]
            if now < paused_until[number]:
                continue
            if rng.random() < 0.02:
                paused_until[number] = now + rng.uniform(1, 30)
                continue
            if rng.random() < 0.5:
                manager.on_rows([table.row()] if table.version else [], now)
            for operation in manager.next_writes(now):
                conflicts = table.write(operation)
                # The result is lost, arrives late or arrives at once.
                chance = rng.random()
                if chance < 0.2:
                    manager.on_answer_lost(KEY)
                elif chance < 0.4:
                    manager.on_write_result(KEY, conflicts, now + 0.5)
                else:
                    manager.on_write_result(KEY, conflicts, now)
            if manager.acquire_probe(KEY, now):
                probes.append(now)
        gaps = [b - a for a, b in zip(probes, probes[1:], strict=False)]
        assert all(gap >= probe_leases.PROBE_INTERVAL_S for gap in gaps)
