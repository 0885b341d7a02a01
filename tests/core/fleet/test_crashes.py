"""Tests of the tracker of requests that may crash servers."""

from __future__ import annotations

import pytest

from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import crashes
from tarragonlift.core.fleet import fleet as fleet_module
from tarragonlift.core.fleet import server as server_module
from tests.core.fleet import common

NOW = common.NOW
NAMES = ("a", "b", "c", "d", "e", "f")
PRINT = "print"


def make_fleet() -> fleet_module.Fleet:
    """Create a fleet of six servers."""
    return common.make_fleet(*(common.make_entry(name) for name in NAMES))


def get_server(
    fleet: fleet_module.Fleet, name: str
) -> server_module.FleetServer:
    """Return a listed server."""
    server = fleet.registry.get(name)
    assert server is not None
    return server


def break_at(
    fleet: fleet_module.Fleet, *names: str, now: float = NOW
) -> crashes.CrashTracker:
    """Record that servers broke off the request; return the tracker."""
    for name in names:
        server = get_server(fleet, name)
        fleet.crash_tracker.record_break(PRINT, server, now)
    return fleet.crash_tracker


class TestEnds:
    """Ends of servers that count against a request."""

    def test_request_is_held_after_three_starts(self) -> None:
        """Hold it back once three servers ended with it."""
        fleet = make_fleet()
        tracker = break_at(fleet, "a", "b")
        assert not tracker.is_held(PRINT, NOW)
        break_at(fleet, "c")
        assert tracker.is_held(PRINT, NOW)
        assert not tracker.is_held("other", NOW)

    def test_start_counts_once(self) -> None:
        """Count equal requests that one server broke off as one end."""
        tracker = break_at(make_fleet(), "a", "a", "a", "a", "a")
        assert not tracker.is_held(PRINT, NOW)

    def test_next_start_of_a_server_counts_again(self) -> None:
        """Tell processes of one server apart by their start."""
        fleet = make_fleet()
        for started_ms in range(1, 1 + const.MAX_CRASHES):
            entry = common.make_entry("a", started_ms=started_ms)
            fleet.registry.set_entries(started_ms, [entry], NOW)
            break_at(fleet, "a")
        assert fleet.crash_tracker.is_held(PRINT, NOW)

    def test_number_of_ends_is_bounded(self) -> None:
        """Keep a bounded account of one request."""
        fleet = make_fleet()
        for started_ms in range(1, 50):
            entry = common.make_entry("a", started_ms=started_ms)
            fleet.registry.set_entries(started_ms, [entry], NOW)
            break_at(fleet, "a")
        (suspect,) = fleet.crash_tracker.suspects
        assert len(suspect.ends) == const.MAX_COUNTED_ENDS

    def test_number_of_requests_is_bounded(self) -> None:
        """Forget the request that was suspected first."""
        fleet = make_fleet()
        tracker = break_at(fleet, "a", "b", "c")
        for number in range(const.MAX_SUSPECTED_REQUESTS):
            server = get_server(fleet, "a")
            tracker.record_break(f"other-{number}", server, NOW)
        assert len(tracker.suspects) == const.MAX_SUSPECTED_REQUESTS
        assert not tracker.is_held(PRINT, NOW)


class TestSoundRequests:
    """Requests that were broken off by servers that ended otherwise."""

    def test_answer_clears_the_request(self) -> None:
        """Forget the ends of a request that is answered."""
        tracker = break_at(make_fleet(), "a", "b", "c")
        tracker.record_answer(PRINT, NOW)
        assert not tracker.is_held(PRINT, NOW)
        assert not tracker.suspects

    def test_recent_answer_excuses_ends(self) -> None:
        """Don't suspect a request that servers answer all the time."""
        fleet = make_fleet()
        fleet.crash_tracker.record_answer(PRINT, NOW)
        break_at(fleet, *NAMES, now=NOW + const.ANSWER_TTL_S)
        assert not fleet.crash_tracker.is_held(PRINT, NOW)

    def test_old_answer_excuses_nothing(self) -> None:
        """Suspect a request that was answered long ago."""
        fleet = make_fleet()
        fleet.crash_tracker.record_answer(PRINT, NOW)
        later = NOW + const.ANSWER_TTL_S + 0.1
        break_at(fleet, *NAMES, now=later)
        assert fleet.crash_tracker.is_held(PRINT, later)

    def test_server_that_runs_on_does_not_count(self) -> None:
        """Forget an end once a connection from before answers again."""
        fleet = make_fleet()
        tracker = break_at(fleet, "a", "b", "c")
        tracker.record_alive(get_server(fleet, "a"), NOW - 5.0, NOW + 0.1)
        assert not tracker.is_held(PRINT, NOW + 0.2)

    def test_answers_that_prove_nothing_are_ignored(self) -> None:
        """Ignore new connections and requests sent before the end."""
        fleet = make_fleet()
        tracker = break_at(fleet, "a", "b", "c")
        server = get_server(fleet, "a")
        tracker.record_alive(server, NOW + 0.1, NOW + 0.2)
        tracker.record_alive(server, NOW - 0.1, NOW + 0.2)
        tracker.record_alive(server, NOW - 5.0, NOW - 0.1)
        assert tracker.is_held(PRINT, NOW + 0.3)

    def test_list_disproves_an_end(self) -> None:
        """Forget the end of a server that is listed long after it."""
        fleet = make_fleet()
        tracker = break_at(fleet, "a", "b", "c")
        fleet.registry.read_at = NOW + const.LIST_CONFIRMS_END_AFTER_S - 0.1
        assert tracker.is_held(PRINT, NOW)
        fleet.registry.read_at = NOW + const.LIST_CONFIRMS_END_AFTER_S
        assert not tracker.is_held(PRINT, NOW)

    def test_list_confirms_the_end_of_a_start(self) -> None:
        """Keep the end of a server that is listed as a new process."""
        fleet = make_fleet()
        tracker = break_at(fleet, "a", "b", "c")
        entries = [common.make_entry(name, started_ms=2) for name in NAMES]
        fleet.registry.set_entries(2, entries, NOW)
        fleet.registry.read_at = NOW + 2.0 * const.LIST_CONFIRMS_END_AFTER_S
        assert tracker.is_held(PRINT, NOW)


class TestLeftRequests:
    """Requests that servers ran on after their connections were closed."""

    @staticmethod
    def _leave(fleet: fleet_module.Fleet) -> crashes.CrashTracker:
        """Leave the request at three servers."""
        for name in ("a", "b", "c"):
            server = get_server(fleet, name)
            fleet.crash_tracker.record_left(PRINT, server, NOW)
        return fleet.crash_tracker

    def test_counts_once_the_servers_are_unreachable(self) -> None:
        """Count servers that refuse connections soon after."""
        fleet = make_fleet()
        tracker = self._leave(fleet)
        assert not tracker.suspects
        for name in ("a", "b", "c"):
            tracker.record_unreachable(get_server(fleet, name), NOW + 0.1)
        assert tracker.is_held(PRINT, NOW + 0.1)

    def test_counts_once_other_requests_break_off(self) -> None:
        """Count servers that break off another request."""
        fleet = make_fleet()
        tracker = self._leave(fleet)
        for name in ("a", "b", "c"):
            server = get_server(fleet, name)
            tracker.record_break("other-" + name, server, NOW + 0.1)
        assert tracker.is_held(PRINT, NOW + 0.1)

    @pytest.mark.parametrize("leaving", [False, True])
    def test_counts_once_the_servers_are_listed_as_new(
        self, leaving: bool
    ) -> None:
        """Count servers that started again, but for planned leaving."""
        fleet = make_fleet()
        old = [common.make_entry(name, leaving=leaving) for name in NAMES]
        fleet.registry.set_entries(2, old, NOW)
        tracker = self._leave(fleet)
        new = [common.make_entry(name, started_ms=2) for name in NAMES]
        fleet.registry.set_entries(3, new, NOW + 3.0)
        tracker.check_ends(NOW + 3.0)
        assert tracker.is_held(PRINT, NOW + 3.0) != leaving

    def test_removed_servers_do_not_count(self) -> None:
        """Ignore servers that leave by the removal of their entries."""
        fleet = make_fleet()
        tracker = self._leave(fleet)
        fleet.registry.set_entries(2, [], NOW + 1.0)
        tracker.check_ends(NOW + 1.0)
        assert not tracker.suspects

    def test_end_long_after_does_not_count(self) -> None:
        """Ignore a server that ends when it no longer runs the request."""
        fleet = make_fleet()
        tracker = self._leave(fleet)
        later = NOW + const.LEFT_REQUEST_TTL_S + 0.1
        for name in ("a", "b", "c"):
            tracker.record_unreachable(get_server(fleet, name), later)
        assert not tracker.suspects


class TestTrials:
    """Requests that are let through although they are held back."""

    def test_one_daemon_tries_after_growing_pauses(self) -> None:
        """Let one request through at one of the daemons, then wait longer."""
        members = [common.make_member(f"d-{number}") for number in range(5)]
        trackers = []
        for member in members:
            fleet = common.make_fleet(
                *(common.make_entry(name) for name in NAMES),
                name=member.daemon,
            )
            fleet.set_members(members, "seed")
            trackers.append(break_at(fleet, "a", "b", "c"))

        def count_begun(now: float) -> int:
            return sum(tracker.begin(PRINT, now) for tracker in trackers)

        first_at = NOW + const.CRASH_TRIAL_PAUSE_S
        assert count_begun(first_at - 0.1) == 0
        assert count_begun(first_at) == 1
        assert count_begun(first_at + 0.1) == 0
        for tracker in trackers:
            tracker.apply(
                crashes.Suspect(
                    PRINT, {crashes.ServerStart("d", 1): first_at + 0.2}
                )
            )
        factor = const.CRASH_TRIAL_FACTOR
        second_at = first_at + 0.2 + factor * const.CRASH_TRIAL_PAUSE_S
        assert count_begun(second_at - 0.1) == 0
        assert count_begun(second_at) == 1

    def test_number_of_trials_is_bounded(self) -> None:
        """Hold back for good what ended each server that tried it."""
        fleet = make_fleet()
        tracker = break_at(fleet, *NAMES[: 3 + const.MAX_CRASH_TRIALS])
        last = NOW + const.SUSPECT_TTL_S
        assert not tracker.begin(PRINT, last)
        assert tracker.begin(PRINT, last + 0.1)


class TestNotices:
    """What daemons tell each other."""

    def test_told_ends_add_up(self) -> None:
        """Hold back a request after ends that several daemons saw."""
        receiver = make_fleet().crash_tracker
        for name in ("a", "b", "c"):
            sender = break_at(make_fleet(), name)
            for suspect in [*sender.take_changed()] * 2:
                receiver.apply(suspect)
        assert receiver.is_held(PRINT, NOW)
        assert not receiver.take_changed()

    def test_told_answer_clears(self) -> None:
        """Clear a request that was answered elsewhere."""
        sender = break_at(make_fleet(), "a")
        receiver = break_at(make_fleet(), "a", "b", "c")
        sender.take_changed()
        sender.record_answer(PRINT, NOW + 0.1)
        (suspect,) = sender.take_changed()
        receiver.apply(suspect)
        assert not receiver.is_held(PRINT, NOW + 0.2)

    def test_trouble_of_one_member_excuses_the_others(self) -> None:
        """Ignore ends that a daemon cut off from the servers tells."""
        sender = break_at(make_fleet(), *NAMES)
        receiver = make_fleet().crash_tracker
        receiver.record_answer(PRINT, NOW - 1.0)
        for suspect in sender.take_changed():
            receiver.apply(suspect)
        assert not receiver.is_held(PRINT, NOW)

    def test_told_survivor_does_not_count(self) -> None:
        """Forget ends before the time at which a server was seen to run."""
        fleet = make_fleet()
        sender = break_at(fleet, "a")
        sender.record_alive(get_server(fleet, "a"), NOW - 5.0, NOW + 0.1)
        survivors = sender.take_survivors()
        receiver = break_at(make_fleet(), "a", "b", "c")
        for start, alive_at in survivors.items():
            receiver.apply_alive(start, alive_at)
        assert not receiver.is_held(PRINT, NOW + 0.2)
        assert not sender.take_survivors()
