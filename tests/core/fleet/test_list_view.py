"""Tests of list updates between daemons and of the read schedule."""

from __future__ import annotations

from tarragonlift.core.fleet import list_view
from tarragonlift.core.fleet import members
from tarragonlift.core.fleet import models
from tarragonlift.core.fleet import read_schedule
from tests.core.fleet import common

NOW = common.NOW


def make_update(
    view: list_view.ListView, changes: tuple[list_view.ListChange, ...]
) -> list_view.ListUpdate:
    """Create the update that a daemon with this view sends."""
    state = models.OperatorState(1, 1, ())
    member = common.make_member("d")
    return list_view.ListUpdate(member, 1, view.digest, changes, 0.0, state)


class TestListView:
    """Updates of other daemons are applied as a whole or not at all."""

    def test_changes_lead_to_the_same_list(self) -> None:
        """Apply added, changed and removed entries."""
        sender, receiver = list_view.ListView(), list_view.ListView()
        first = sender.replace(
            [common.make_entry("a"), common.make_entry("b")]
        )
        assert receiver.apply(make_update(sender, first))
        second = sender.replace(
            [common.make_entry("a", leaving=True), common.make_entry("c")]
        )
        assert len(second) == 3
        assert receiver.apply(make_update(sender, second))
        assert set(receiver.entries) == set(sender.entries)

    def test_missed_message_is_detected(self) -> None:
        """Apply nothing if the digests differ."""
        sender, receiver = list_view.ListView(), list_view.ListView()
        sender.replace([common.make_entry("a")])
        second = sender.replace(
            [common.make_entry("a"), common.make_entry("b")]
        )
        assert not receiver.apply(make_update(sender, second))
        assert receiver.entries == ()

    def test_remaining_cold_time_is_no_change(self) -> None:
        """Report no change if only the remaining cold time differs."""
        view = list_view.ListView()
        view.replace([common.make_entry("a", cold_for_s=3.0)])
        assert view.replace([common.make_entry("a", cold_for_s=1.5)]) == ()


def make_schedules(count: int) -> list[read_schedule.ReadSchedule]:
    """Create the read schedules of daemons that know one another."""
    daemons = [common.make_member(f"daemon-{n}") for n in range(count)]
    schedules = []
    for own in daemons:
        known = members.Members(own)
        known.set_members(daemons)
        schedule = read_schedule.ReadSchedule(known)
        schedule.set_max_age(1.3)
        schedules.append(schedule)
    return schedules


class TestReadingTurns:
    """One daemon reads for all; others take over in time."""

    def test_delays_differ_between_daemons(self) -> None:
        """Make one daemon the first to read."""
        schedules = make_schedules(18)
        for schedule in schedules:
            schedule.on_read(NOW)
        due = sorted(schedule.due_at for schedule in schedules)
        assert len(set(due)) == 18
        assert due[0] < due[1]

    def test_read_by_another_daemon_delays_own_read(self) -> None:
        """Delay the own read after another daemon's read."""
        schedule = make_schedules(3)[0]
        schedule.on_read(NOW)
        before = schedule.due_at
        schedule.on_read(NOW + 0.5)
        assert schedule.due_at == before + 0.5

    def test_delay_stays_within_max_age(self) -> None:
        """Read at the maximum age if no other daemon has read."""
        for schedule in make_schedules(100):
            schedule.on_read(NOW)
            assert schedule.due_at <= NOW + 1.3

    def test_unknown_list_is_read_at_once(self) -> None:
        """Read at the start, when no read is known."""
        assert make_schedules(1)[0].due_at < NOW
