"""Tests of membership."""

from __future__ import annotations

from tarragonlift.core import membership


def make(count: int = 4) -> membership.Membership:
    """Return the view of a daemon that has heard all others at time 0."""
    found = membership.Membership("d0", 1)
    found.tick(-1.0)
    found.tick(0.0)
    found.on_heartbeats({f"d{number}": 1 for number in range(1, count)}, 0.0)
    return found


def tick(found: membership.Membership, start: float, end: float) -> None:
    """Let the process look at its clock for a while."""
    now = start
    while now < end:
        found.tick(now)
        now += 0.1
    found.tick(end)


class TestMembership:
    """Views that differ do no harm."""

    def test_minority_has_no_majority(self) -> None:
        """Two of four are not more than half."""
        found = make()
        tick(found, 0.0, 10.0)
        found.on_heartbeats({"d1": 2}, 10.0)
        assert not found.has_majority(10.0)
        found.on_heartbeats({"d2": 2}, 10.0)
        assert found.has_majority(10.0)

    def test_pause_is_noticed(self) -> None:
        """After a gap a daemon settles anew."""
        found = make()
        tick(found, 0.0, 5.0)
        assert found.is_settled(5.0)
        assert not found.is_settled(9.0)
        found.tick(9.0)
        assert not found.is_settled(9.1)

    def test_what_waited_during_a_pause_is_not_news(self) -> None:
        """Messages read right after a pause do not show who is alive."""
        found = make()
        tick(found, 0.0, 5.0)
        found.on_heartbeats({"d1": 2, "d2": 2}, 15.0)
        assert found.is_isolated(15.1)
        tick(found, 15.1, 16.0)
        assert found.is_isolated(16.0)
        found.on_heartbeats({"d1": 3}, 16.1)
        assert not found.is_isolated(16.1)

    def test_news_of_a_daemon_that_left_still_counts(self) -> None:
        """Who was heard just now shows that this daemon isn't cut off."""
        found = make()
        tick(found, 0.0, 5.0)
        found.on_heartbeats({"d1": 2}, 5.0)
        found.on_leave("d1")
        tick(found, 5.0, 7.9)
        assert not found.is_isolated(7.9)
        tick(found, 7.9, 8.1)
        assert found.is_isolated(8.1)

    def test_cut_off_takes_the_same_time_among_many(self) -> None:
        """The answer rests on the newest news, not on a look at all."""
        found = make(300)
        tick(found, 0.0, 2.9)
        assert not found.is_isolated(2.9)
        found.on_heartbeats({"d7": 2}, 2.9)
        tick(found, 2.9, 5.8)
        assert not found.is_isolated(5.8)
        tick(found, 5.8, 6.0)
        assert found.is_isolated(6.0)

    def test_silent_daemon_counts_until_the_table_confirms(self) -> None:
        """Limits stay divided through an outage of the store."""
        found = make()
        assert len(found.known_daemons) == 4
        found.on_rows({"d1": 7}, 30.0)
        found.on_rows({"d1": 8}, 70.0)
        assert found.known_daemons == ["d0", "d1"]

    def test_daemon_that_left_does_not_come_back_by_old_news(self) -> None:
        """Its heartbeats still travel; a new start counts again."""
        found = make()
        found.on_leave("d1")
        found.on_heartbeats({"d1": 5}, 1.0)
        assert "d1" not in found.known_daemons
        found.on_rejoin("d1")
        found.on_heartbeats({"d1": 90000}, 2.0)
        assert "d1" in found.known_daemons
