"""Tests of cases."""

from __future__ import annotations

import pytest

from tarragonlift.components import cases
from tarragonlift.components.cases import const
from tarragonlift import exceptions
from tarragonlift_lab import simulation as simulation_module
from tests import common


class Site:
    """A keeper on a fake platform."""

    def __init__(self) -> None:
        """Start."""
        self.simulation = simulation_module.Simulation(1)
        self.platform = simulation_module.FakePlatform(self.simulation)
        process = simulation_module.Process(self.simulation)
        self.manager = cases.create_case_manager(
            process,
            common.make_balancer(),
            simulation_module.FakeTable(self.platform, process),
            simulation_module.FakeObjects(self.platform, process),
        )


class TestCaseManager:
    """No case that was taken is lost, and nobody drowns."""

    def test_is_written(self) -> None:
        """Text in the object store, a row in the table."""
        site = Site()
        case = site.manager.open_case("stall", "r1", "was I charged?")
        site.simulation.run_until(1.0)
        row = site.platform.rows[const.ROW_PREFIX + case.case_id]
        assert row.value is not None
        assert row.value["state"] == const.STATE_OPEN
        data = site.platform.objects[const.OBJECT_PREFIX + case.case_id]
        assert b"was I charged?" in data
        assert site.manager.pending_count == 0

    def test_waits_while_the_store_is_down(self) -> None:
        """Held back, written later."""
        site = Site()
        site.platform.faults.down = True
        site.manager.open_case("stall", "r1", "")
        site.simulation.run_until(30.0)
        assert site.manager.pending_count == 1
        site.platform.faults.down = False
        site.simulation.run_until(35.0)
        assert site.manager.pending_count == 0
        assert len(site.platform.rows) == 1

    def test_lost_answers_write_one_row(self) -> None:
        """The second write finds the first."""
        site = Site()
        site.platform.faults.lose_answers = 3
        site.manager.open_case("stall", "r1", "")
        site.simulation.run_until(30.0)
        assert site.manager.pending_count == 0
        assert len(site.platform.rows) == 1

    def test_flood_does_not_drown_a_small_caller(self) -> None:
        """A caller may have a few waiting; the next one is refused."""
        site = Site()
        site.platform.faults.down = True
        with pytest.raises(exceptions.Overloaded):
            for number in range(100):
                site.manager.open_case("flood", f"r{number}", "")
        site.manager.open_case("stall", "r1", "help")
        assert site.manager.pending_count == const.MAX_WAITING_PER_CALLER + 1

    def test_operators_take_and_close(self) -> None:
        """The state changes by compare-and-set."""
        site = Site()
        case = site.manager.open_case("stall", "r1", "")
        site.simulation.run_until(1.0)
        told: list[object] = []
        for state in (const.STATE_TAKEN, const.STATE_CLOSED):
            site.manager.set_state(case.case_id, state, "maria", told.append)
            site.simulation.run_until(site.simulation.now + 1.0)
        assert [one["state"] for one in told] == [  # type: ignore[index]
            const.STATE_TAKEN,
            const.STATE_CLOSED,
        ]
