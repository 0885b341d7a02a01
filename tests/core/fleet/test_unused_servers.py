"""Tests of each choice of a server that says that it leaves, or pauses."""

from __future__ import annotations

import pytest

from tarragonlift.core import actions
from tarragonlift.core import const as core_const
from tarragonlift.core.fleet import fleet as fleet_module
from tests.core.fleet import common

NOW = common.NOW
Failure = core_const.AttemptFailure
LEAVES = "leaves"
PAUSES = "pauses"


def make_fleet(*names: str) -> fleet_module.Fleet:
    """Create a fleet; each server is a bit busier than the one before."""
    fleet = common.make_fleet(*map(common.make_entry, names))
    for running, name in enumerate(names):
        common.report_load(fleet, name, running=running)
    return fleet


def state(
    fleet: fleet_module.Fleet, name: str, what: str, now: float = NOW
) -> None:
    """Let a server say in an answer that it leaves or wants a pause."""
    server = fleet.registry.get(name)
    assert server is not None
    if what == LEAVES:
        server.record_leaving(now)
    else:
        fleet.registry.record_pause(server, 4.0, now)


@pytest.mark.parametrize("what", [LEAVES, PAUSES])
class TestEachChoice:
    """Nothing new is sent to such a server, though it is the least busy."""

    @pytest.mark.parametrize("path", ["/lookup/1", "/order/1"])
    def test_first_attempt(self, what: str, path: str) -> None:
        """Choose another server."""
        fleet = make_fleet("a", "b")
        state(fleet, "a", what)
        delivery = common.open_delivery(fleet, path)
        attempt = common.get_attempt(delivery.start(NOW))
        assert attempt.backend.server_id == "b"

    def test_retry(self, what: str) -> None:
        """Send a request again elsewhere than to the next best server."""
        fleet = make_fleet("a", "b", "c")
        delivery = common.open_delivery(fleet)
        first = common.get_attempt(delivery.start(NOW))
        state(fleet, "b", what)
        result = delivery.on_failed(first, Failure.BAD_ANSWER, NOW)
        assert common.get_attempt(result).backend.server_id == "c"

    def test_second_copy(self, what: str) -> None:
        """Send the second attempt of a late request elsewhere."""
        fleet = make_fleet("a", "b", "c")
        delivery = common.open_delivery(fleet)
        result = delivery.start(NOW)
        wakes = common.filter_actions(result, actions.WakeAt)
        hedge_at = min(
            wake.when for wake in wakes if isinstance(wake, actions.WakeAt)
        )
        common.report_load(fleet, "b", now=hedge_at)
        common.report_load(fleet, "c", now=hedge_at)
        state(fleet, "b", what, hedge_at)
        second = common.get_attempt(delivery.on_wake(hedge_at))
        assert second.backend.server_id == "c"

    def test_request_that_waits(self, what: str) -> None:
        """Send a request that waited to another server that came up."""
        fleet = common.make_fleet(common.make_entry("a", leaving=True))
        delivery = common.open_delivery(fleet)
        waits = common.filter_actions(delivery.start(NOW), actions.PauseUntil)
        assert waits
        entries = [
            common.make_entry("a", started_ms=2),
            common.make_entry("b"),
        ]
        fleet.registry.set_entries(2, entries, NOW)
        common.report_load(fleet, "a")
        common.report_load(fleet, "b", running=1)
        state(fleet, "a", what)
        attempt = common.get_attempt(delivery.on_pause_over(NOW + 0.01))
        assert attempt.backend.server_id == "b"

    def test_next_process(self, what: str) -> None:
        """Use the next process of the server, of whatever this one said."""
        fleet = make_fleet("a", "b")
        state(fleet, "a", what)
        entries = [
            common.make_entry("a", started_ms=2),
            common.make_entry("b"),
        ]
        fleet.registry.set_entries(2, entries, NOW)
        common.report_load(fleet, "a")
        delivery = common.open_delivery(fleet)
        attempt = common.get_attempt(delivery.start(NOW))
        assert attempt.backend.server_id == "a"
