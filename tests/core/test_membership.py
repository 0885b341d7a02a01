"""Test membership."""

from __future__ import annotations

from tarragonlift.core import membership


def make_membership(count: int = 4) -> membership.Membership:
    """Return the view of a daemon with heartbeats of all others at time 0."""
    view = membership.Membership("d0", 1)
    view.tick(-1.0)
    view.tick(0.0)
    view.on_heartbeats({f"d{number}": 1 for number in range(1, count)}, 0.0)
    return view


def tick(view: membership.Membership, start: float, end: float) -> None:
    """Tick every 0.1 s from the start to the end."""
    now = start
    while now < end:
        view.tick(now)
        now += 0.1
    view.tick(end)


class TestMembership:
    """Test majority, isolation and the detection of gone daemons."""

    def test_minority_has_no_majority(self) -> None:
        """Two of four daemons are no majority, three are."""
        view = make_membership()
        tick(view, 0.0, 10.0)
        view.on_heartbeats({"d1": 2}, 10.0)
        assert not view.has_majority(10.0)
        view.on_heartbeats({"d2": 2}, 10.0)
        assert view.has_majority(10.0)

    def test_pause_is_detected(self) -> None:
        """A daemon has to settle again after a gap between its ticks."""
        view = make_membership()
        tick(view, 0.0, 5.0)
        assert view.is_settled(5.0)
        assert not view.is_settled(9.0)
        view.tick(9.0)
        assert not view.is_settled(9.1)

    def test_messages_queued_during_a_pause_are_ignored(self) -> None:
        """Messages read right after a pause are no signs of life."""
        view = make_membership()
        tick(view, 0.0, 5.0)
        view.on_heartbeats({"d1": 2, "d2": 2}, 15.0)
        assert view.is_isolated(15.1)
        tick(view, 15.1, 16.0)
        assert view.is_isolated(16.0)
        view.on_heartbeats({"d1": 3}, 16.1)
        assert not view.is_isolated(16.1)

    def test_heartbeat_of_a_daemon_that_left_still_counts(self) -> None:
        """A heartbeat counts against isolation after its sender left."""
        view = make_membership()
        tick(view, 0.0, 5.0)
        view.on_heartbeats({"d1": 2}, 5.0)
        view.on_leave("d1")
        tick(view, 5.0, 7.9)
        assert not view.is_isolated(7.9)
        tick(view, 7.9, 8.1)
        assert view.is_isolated(8.1)

    def test_isolation_timeout_does_not_grow_with_members(self) -> None:
        """The isolation timeout is the same with 300 daemons."""
        view = make_membership(300)
        tick(view, 0.0, 2.9)
        assert not view.is_isolated(2.9)
        view.on_heartbeats({"d7": 2}, 2.9)
        tick(view, 2.9, 5.8)
        assert not view.is_isolated(5.8)
        tick(view, 5.8, 6.0)
        assert view.is_isolated(6.0)

    def test_silent_daemon_is_member_until_the_table_confirms(self) -> None:
        """Limits stay divided through an outage of the table."""
        view = make_membership()
        assert len(view.known_daemons) == 4
        view.on_rows({"d1": 7}, 30.0)
        view.on_rows({"d1": 8}, 70.0)
        assert view.known_daemons == ["d0", "d1"]

    def test_daemon_that_left_ignores_old_heartbeats(self) -> None:
        """Ignore old heartbeats of a daemon that left until it rejoins."""
        view = make_membership()
        view.on_leave("d1")
        view.on_heartbeats({"d1": 5}, 1.0)
        assert "d1" not in view.known_daemons
        view.on_rejoin("d1")
        view.on_heartbeats({"d1": 90000}, 2.0)
        assert "d1" in view.known_daemons
