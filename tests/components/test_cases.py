"""Tests for the case manager."""

from __future__ import annotations

import pytest

from tarragonlift.components import cases
from tarragonlift.components.cases import const
from tarragonlift import exceptions
from tarragonlift_lab import simulation as simulation_module
from tests import common


class CaseSetup:
    """Case manager on a fake platform."""

    def __init__(self) -> None:
        """Initialize the simulation, platform and manager."""
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
    """Accepted cases are written, and a flood does not block others."""

    def test_writes_object_and_row(self) -> None:
        """The text goes to the object store and a row to the table."""
        setup = CaseSetup()
        case = setup.manager.open_case("stall", "r1", "was I charged?")
        setup.simulation.run_until(1.0)
        row = setup.platform.rows[const.ROW_PREFIX + case.case_id]
        assert row.value is not None
        assert row.value["state"] == const.STATE_OPEN
        data = setup.platform.objects[const.OBJECT_PREFIX + case.case_id]
        assert b"was I charged?" in data
        assert setup.manager.pending_count == 0

    def test_waits_while_platform_is_down(self) -> None:
        """A case waits while the platform is down and is written later."""
        setup = CaseSetup()
        setup.platform.faults.down = True
        setup.manager.open_case("stall", "r1", "")
        setup.simulation.run_until(30.0)
        assert setup.manager.pending_count == 1
        setup.platform.faults.down = False
        setup.simulation.run_until(35.0)
        assert setup.manager.pending_count == 0
        assert len(setup.platform.rows) == 1

    def test_lost_answers_create_one_row(self) -> None:
        """A retry after a lost answer conflicts with its own row."""
        setup = CaseSetup()
        setup.platform.faults.lose_answers = 3
        setup.manager.open_case("stall", "r1", "")
        setup.simulation.run_until(30.0)
        assert setup.manager.pending_count == 0
        assert len(setup.platform.rows) == 1

    def test_flood_does_not_block_another_caller(self) -> None:
        """A caller beyond its limit of waiting cases is refused."""
        setup = CaseSetup()
        setup.platform.faults.down = True
        with pytest.raises(exceptions.Overloaded):
            for number in range(100):
                setup.manager.open_case("flood", f"r{number}", "")
        setup.manager.open_case("stall", "r1", "help")
        assert setup.manager.pending_count == const.MAX_WAITING_PER_CALLER + 1

    def test_operator_takes_and_closes_case(self) -> None:
        """The state changes by compare-and-set."""
        setup = CaseSetup()
        case = setup.manager.open_case("stall", "r1", "")
        setup.simulation.run_until(1.0)
        results: list[object] = []
        for state in (const.STATE_TAKEN, const.STATE_CLOSED):
            setup.manager.set_state(
                case.case_id, state, "maria", results.append
            )
            setup.simulation.run_until(setup.simulation.now + 1.0)
        assert [item["state"] for item in results] == [  # type: ignore[index]
            const.STATE_TAKEN,
            const.STATE_CLOSED,
        ]
