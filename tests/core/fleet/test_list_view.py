"""Tests of telling readings of the list, and of whose turn it is."""

from __future__ import annotations

from tarragonlift.core.fleet import list_view
from tarragonlift.core.fleet import members
from tarragonlift.core.fleet import models
from tarragonlift.core.fleet import read_schedule
from tests.core.fleet import common

NOW = common.NOW


def news(
    view: list_view.ListView, changes: tuple[list_view.ListChange, ...]
) -> list_view.ListUpdate:
    """Return what a daemon with this view tells."""
    state = models.OperatorState(1, 1, ())
    member = common.make_member("d")
    return list_view.ListUpdate(member, 1, view.digest, changes, 0.0, state)


class TestListView:
    """Another daemon's reading is taken whole or not at all."""

    def test_changes_lead_to_the_same_list(self) -> None:
        """Take entries that came, changed and went."""
        one, other = list_view.ListView(), list_view.ListView()
        first = one.replace([common.make_entry("a"), common.make_entry("b")])
        assert other.apply(news(one, first))
        second = one.replace(
            [common.make_entry("a", leaving=True), common.make_entry("c")]
        )
        assert len(second) == 3
        assert other.apply(news(one, second))
        assert set(other.entries) == set(one.entries)

    def test_missed_message_is_noticed(self) -> None:
        """Take nothing where the digests differ."""
        one, other = list_view.ListView(), list_view.ListView()
        one.replace([common.make_entry("a")])
        second = one.replace([common.make_entry("a"), common.make_entry("b")])
        assert not other.apply(news(one, second))
        assert other.entries == ()

    def test_heartbeat_alone_changes_nothing(self) -> None:
        """Tell nothing where only the time left cold went on."""
        view = list_view.ListView()
        view.replace([common.make_entry("a", cold_for_s=3.0)])
        assert view.replace([common.make_entry("a", cold_for_s=1.5)]) == ()


def make_turns(count: int) -> list[read_schedule.ReadSchedule]:
    """Return the turns of daemons that all know one another."""
    everybody = [common.make_member(f"daemon-{n}") for n in range(count)]
    made = []
    for own in everybody:
        known = members.Members(own)
        known.set_members(everybody)
        one = read_schedule.ReadSchedule(known)
        one.set_max_age(1.3)
        made.append(one)
    return made


class TestReadingTurns:
    """One daemon reads for all; each reads by itself in time."""

    def test_one_daemon_comes_first(self) -> None:
        """Let the daemons wait for different times."""
        made = make_turns(18)
        for one in made:
            one.on_read(NOW)
        due = sorted(one.due_at for one in made)
        assert len(set(due)) == 18
        assert due[0] < due[1]

    def test_reading_of_another_puts_off_the_own(self) -> None:
        """Read later once another daemon has told."""
        one = make_turns(3)[0]
        one.on_read(NOW)
        before = one.due_at
        one.on_read(NOW + 0.5)
        assert one.due_at == before + 0.5

    def test_nobody_waits_longer_than_the_longest_age(self) -> None:
        """Read by itself where nobody tells."""
        for one in make_turns(100):
            one.on_read(NOW)
            assert one.due_at <= NOW + 1.3

    def test_unknown_list_is_read_at_once(self) -> None:
        """Read at the start."""
        assert make_turns(1)[0].due_at < NOW
