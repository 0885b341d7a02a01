"""Tests of the budget for measuring."""

from __future__ import annotations

import random
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from tarragonlift.core import claims
from tarragonlift.core import probe_leases

KEY = "seat/ordering/0"
STEP_SECONDS = 0.25


class Table:
    """One row with compare-and-set, as the platform's table has it."""

    def __init__(self) -> None:
        """Start without the row."""
        self.version = 0
        self.value: dict[str, Any] | None = None

    def row(self) -> claims.Row:
        """Return the row."""
        return claims.Row(KEY, self.version, self.value)

    def write(self, operation: claims.Operation) -> list[claims.Row]:
        """Do a write; return the row where it stands in the way."""
        if operation.if_version != self.version:
            return [self.row()]
        self.version += 1
        self.value = operation.value
        return []


def make_keeper(name: str) -> probe_leases.ProbeLeaseManager:
    """Return a keeper with one seat."""
    keeper = probe_leases.ProbeLeaseManager(name)
    keeper.set_services({"ordering": 1})
    return keeper


def take(
    keeper: probe_leases.ProbeLeaseManager, table: Table, now: float
) -> bool:
    """Read the row and write what is due; return whether it was written."""
    keeper.on_rows([table.row()] if table.version else [], now)
    written = False
    for operation in keeper.next_writes(now):
        keeper.on_write_result(KEY, table.write(operation), now)
        written = True
    return written


class TestSeatKeeper:
    """No seat, no probe; one holder at a time."""

    def test_takes_a_free_seat_only_after_a_lease(self) -> None:
        """Somebody may hold a seat that looks free."""
        keeper, table = make_keeper("a"), Table()
        take(keeper, table, 0.0)
        assert table.version == 0
        take(keeper, table, 13.0)
        assert table.version == 1
        assert not keeper.acquire_probe(KEY, 13.0)
        assert keeper.acquire_probe(KEY, 14.0)
        assert not keeper.acquire_probe(KEY, 14.5)

    def test_holder_that_was_paused_does_not_probe(self) -> None:
        """The lease is checked right before the probe."""
        keeper, table = make_keeper("a"), Table()
        take(keeper, table, 0.0)
        take(keeper, table, 13.0)
        assert not keeper.acquire_probe(KEY, 23.5)

    def test_lost_answer_means_no_seat(self) -> None:
        """The write may have happened; nobody probes on a maybe."""
        keeper, table = make_keeper("a"), Table()
        take(keeper, table, 0.0)
        (operation,) = keeper.next_writes(13.0)
        table.write(operation)
        keeper.on_answer_lost(KEY)
        assert not keeper.acquire_probe(KEY, 14.5)

    @settings(max_examples=60, deadline=None)
    @given(strategies.integers(0, 10**6))
    def test_pauses_races_and_losses_keep_the_budget(self, seed: int) -> None:
        """Over any second there is at most one probe on one seat."""
        rng = random.Random(seed)
        table = Table()
        keepers = [make_keeper(name) for name in "abcd"]
        paused_until = dict.fromkeys(range(4), 0.0)
        probes: list[float] = []
        now = 0.0
        while now < 120.0:
            now += STEP_SECONDS
            number = rng.randrange(4)
            keeper = keepers[number]
            if now < paused_until[number]:
                continue
            if rng.random() < 0.02:
                paused_until[number] = now + rng.uniform(1, 30)
                continue
            if rng.random() < 0.5:
                keeper.on_rows([table.row()] if table.version else [], now)
            for operation in keeper.next_writes(now):
                conflicts = table.write(operation)
                # The answer is lost, comes late, or comes at once.
                chance = rng.random()
                if chance < 0.2:
                    keeper.on_answer_lost(KEY)
                elif chance < 0.4:
                    keeper.on_write_result(KEY, conflicts, now + 0.5)
                else:
                    keeper.on_write_result(KEY, conflicts, now)
            if keeper.acquire_probe(KEY, now):
                probes.append(now)
        gaps = [b - a for a, b in zip(probes, probes[1:], strict=False)]
        assert all(gap >= probe_leases.PROBE_INTERVAL_S for gap in gaps)
