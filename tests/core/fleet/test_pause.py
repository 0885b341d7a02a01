"""Tests of pauses that servers ask for."""

from __future__ import annotations

import pytest

from tarragonlift.core import const as core_const
from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import delivery as delivery_module
from tarragonlift.core.fleet import fleet as fleet_module
from tarragonlift.core.fleet import refusals
from tarragonlift.core.fleet import server as server_module
from tarragonlift import exceptions
from tests.core.fleet import common

NOW = common.NOW
PAUSE_S = 4.0


def make_fleet(name: str = "daemon-1") -> fleet_module.Fleet:
    """Create a fleet of two idle servers."""
    fleet = common.make_fleet(
        common.make_entry("a"), common.make_entry("b"), name=name
    )
    common.report_load(fleet, "a")
    common.report_load(fleet, "b", running=1)
    return fleet


def pause(
    fleet: fleet_module.Fleet, name: str, seconds: float = PAUSE_S
) -> server_module.FleetServer:
    """Let a server ask for a pause now."""
    server = fleet.registry.get(name)
    assert server is not None
    fleet.registry.record_pause(server, seconds, NOW)
    return server


class TestPause:
    """A server that asked for a pause."""

    def test_gets_nothing_for_as_long_as_it_asked(self) -> None:
        """Send to the other server, and to this one soon after the pause."""
        fleet = make_fleet()
        server = pause(fleet, "a")
        assert not fleet.registry.can_send(server, NOW + PAUSE_S - 0.01)
        latest = NOW + PAUSE_S * (1.0 + const.PAUSE_SPREAD_SHARE)
        assert fleet.registry.can_send(server, latest)
        delivery = common.open_delivery(fleet, "/order/1")
        attempt = common.get_attempt(delivery.start(NOW))
        assert attempt.backend.server_id == "b"

    def test_second_pause_prolongs_and_never_shortens(self) -> None:
        """Keep the later end of two pauses."""
        fleet = make_fleet()
        server = pause(fleet, "a")
        until = server.paused_until
        pause(fleet, "a", 1.0)
        assert server.paused_until == until
        pause(fleet, "a", 2 * PAUSE_S)
        assert server.paused_until >= NOW + 2 * PAUSE_S

    def test_next_start_has_no_pause(self) -> None:
        """Use another process of the server at once."""
        fleet = make_fleet()
        pause(fleet, "a")
        entry = common.make_entry("a", started_ms=2)
        fleet.registry.set_entries(2, [entry], NOW)
        server = fleet.registry.get("a")
        assert server is not None and fleet.registry.can_send(server, NOW)

    def test_daemons_return_at_different_times(self) -> None:
        """Spread the returns of daemons whose pauses began together."""
        ends = {
            pause(make_fleet(f"d-{number}"), "a").paused_until
            for number in range(18)
        }
        assert len(ends) >= 6
        assert min(ends) >= NOW + PAUSE_S

    def test_requests_at_once_rise_with_answers(self) -> None:
        """Send one request after a pause, then twice as many."""
        fleet = make_fleet()
        server = pause(fleet, "a")
        now = server.paused_until
        at_once = []
        for _ in range(5):
            number = 0
            while number < 20 and fleet.registry.can_send(server, now):
                server.begin(number, 0.1, now)
                number += 1
            at_once.append(number)
            for sent in range(number):
                pending = server.finish(sent)
                assert pending is not None
            server.record_answer(server_module.InFlight(now, 0.1), now + 0.1)
        assert at_once == [1, 2, 4, 20, 20]


class TestAllPaused:
    """All servers of a service asked for a pause."""

    def test_caller_is_refused_at_once(self) -> None:
        """Say that nothing ran, and when the first server is back."""
        fleet = make_fleet()
        first = pause(fleet, "a", 0.4)
        pause(fleet, "b")
        delivery = common.open_delivery(fleet, "/order/1")
        refusal = common.get_refusal(delivery.start(NOW)).refusal
        assert delivery.phase is delivery_module.Phase.DONE
        assert isinstance(refusal, exceptions.NoBackendServer)
        assert refusal.outcome is core_const.Outcome.NOT_RUN
        left_s = first.paused_until - NOW
        assert refusals.retry_after_s(refusal, 9.0) == pytest.approx(left_s)
        most_s = const.RETRY_AFTER_SHARE * 0.5
        assert refusals.retry_after_s(refusal, 0.5) == pytest.approx(most_s)

    def test_callers_wait_for_a_server_that_did_not_ask(self) -> None:
        """Don't refuse at once while another server is only busy."""
        fleet = make_fleet()
        pause(fleet, "a")
        common.report_load(fleet, "b", running=6, waiting=30)
        delivery = common.open_delivery(fleet, "/order/1")
        delivery.start(NOW)
        assert delivery.phase is not delivery_module.Phase.DONE


class TestCounts:
    """Servers that leave or pause, by service."""

    def test_servers_are_counted_for_as_long_as_it_lasts(self) -> None:
        """Count a pause until its end, and leaving until the next start."""
        fleet = make_fleet()
        registry = fleet.registry
        server = pause(fleet, "a")
        server.record_leaving(NOW)
        service = server.entry.service
        assert registry.count_leaving() == {service: 1}
        assert registry.count_paused(NOW) == {service: 1}
        assert registry.count_paused(server.paused_until) == {service: 0}
        entries = [
            common.make_entry("a", started_ms=2),
            common.make_entry("b", leaving=True),
        ]
        registry.set_entries(2, entries, NOW)
        assert registry.count_leaving() == {service: 1}
        assert registry.count_paused(NOW) == {service: 0}
