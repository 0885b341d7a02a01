"""Tests of who waits for operators' changes."""

from __future__ import annotations

from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import members
from tarragonlift.core.fleet import operator_watch
from tests.core.fleet import common

NOW = common.NOW
WITHIN_S = 2.0


def make_watches(count: int, place: str) -> list[operator_watch.OperatorWatch]:
    """Return the watches of daemons that all know one another."""
    everybody = [
        common.make_member(f"{place}-{n}", place) for n in range(count)
    ]
    everybody += [common.make_member("far", common.REMOTE_DATA_CENTRE)]
    made = []
    for own in everybody[:count]:
        known = members.Members(own)
        known.set_members(everybody)
        one = operator_watch.OperatorWatch(known)
        one.set_max_delay(WITHIN_S)
        one.on_heartbeat(NOW)
        made.append(one)
    return made


class TestOperatorWatch:
    """A few wait for all; each waits itself in time."""

    def test_a_few_of_a_data_centre_wait(self) -> None:
        """Let all others rely on what they are told."""
        made = make_watches(30, common.LOCAL_DATA_CENTRE)
        due = [one for one in made if one.is_due(NOW)]
        assert len(due) == const.MAX_WATCHERS

    def test_all_wait_where_there_are_few(self) -> None:
        """Need nobody else in a small data centre."""
        made = make_watches(2, common.LOCAL_DATA_CENTRE)
        assert all(one.is_due(NOW) for one in made)

    def test_silence_makes_others_wait_in_turn(self) -> None:
        """Wait itself after a silence, not all at once."""
        made = make_watches(30, common.LOCAL_DATA_CENTRE)
        first = NOW + WITHIN_S * const.FIRST_TAKEOVER_SHARE
        last = NOW + WITHIN_S * const.LAST_TAKEOVER_SHARE
        soon = sum(one.is_due(first + 0.1) for one in made)
        assert const.MAX_WATCHERS < soon < 30
        assert all(one.is_due(last) for one in made)

    def test_nobody_waits_before_the_others_are_known(self) -> None:
        """Hear first whether others wait; all daemons may start at once."""
        known = members.Members(common.make_member("a"))
        one = operator_watch.OperatorWatch(known)
        one.set_max_delay(WITHIN_S)
        one.on_heartbeat(NOW)
        last = NOW + WITHIN_S * const.LAST_TAKEOVER_SHARE
        assert not one.is_due(last - 0.01)
        assert one.is_due(last + 0.01)

    def test_heartbeat_is_enough(self) -> None:
        """Go on relying on others that tell that they wait."""
        made = make_watches(30, common.LOCAL_DATA_CENTRE)
        for step in range(1, 6):
            for one in made:
                one.on_heartbeat(NOW + step)
        due = [one for one in made if one.is_due(NOW + 5.9)]
        assert len(due) == const.MAX_WATCHERS

    def test_heartbeats_are_told_twice_before_the_first_doubt(self) -> None:
        """Lose one heartbeat and rely on others still."""
        one = make_watches(5, common.LOCAL_DATA_CENTRE)[0]
        assert (
            2 * one.heartbeat_interval_s
            < WITHIN_S * const.FIRST_TAKEOVER_SHARE
        )


class TestMembers:
    """Daemons that tell something are known."""

    def test_who_tells_is_known(self) -> None:
        """Know a daemon before its row is read."""
        known = members.Members(common.make_member("a"))
        assert known.add(common.make_member("b"))
        assert not known.add(common.make_member("b"))
        assert known.names == ("a", "b")
        assert known.local_names == ("a", "b")

    def test_far_daemons_are_not_near(self) -> None:
        """Tell near daemons apart."""
        known = members.Members(common.make_member("a"))
        known.add(common.make_member("b", common.REMOTE_DATA_CENTRE))
        assert known.local_others == []
        assert known.local_names == ("a",)

    def test_own_entry_is_kept(self) -> None:
        """Believe nobody who bears this daemon's name."""
        known = members.Members(common.make_member("a"))
        assert not known.add(
            common.make_member("a", common.REMOTE_DATA_CENTRE)
        )
        assert known.own.data_centre == common.LOCAL_DATA_CENTRE
