"""Tests of choosing a server."""

from __future__ import annotations

from tarragonlift.core import actions
from tarragonlift.core import budget
from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import delivery as delivery_module
from tarragonlift.core.fleet import fleet as fleet_module
from tarragonlift.core.fleet import interfaces
from tests.core.fleet import common

NOW = common.NOW


class TestChooser:
    """A late answer weighs more than bytes between data centres."""

    def test_servers_are_asked_where_nothing_is_fresh(self) -> None:
        """Ask servers of the own data centre first."""
        made = common.make_fleet(
            common.make_entry("a"),
            common.make_entry("b", common.REMOTE_DATA_CENTRE),
        )
        wanted = common.open_delivery(made).start(NOW)
        (probe,) = common.filter_actions(wanted, delivery_module.Probe)
        assert isinstance(probe, delivery_module.Probe)
        assert [one.server_id for one in probe.servers] == ["a"]

    def test_slow_server_at_hand_loses_to_a_fast_one_elsewhere(self) -> None:
        """Cross where the answer would be late otherwise."""
        made = common.make_fleet(
            common.make_entry("a"),
            common.make_entry("b", common.REMOTE_DATA_CENTRE),
        )
        common.report_load(made, "a", slowdown=7.0)
        common.report_load(made, "b")
        attempt = common.get_attempt(common.open_delivery(made).start(NOW))
        assert attempt.backend.server_id == "b"

    def test_server_at_hand_wins_among_equals(self) -> None:
        """Stay where the answer is in time anyway."""
        made = common.make_fleet(
            common.make_entry("a"),
            common.make_entry("b", common.REMOTE_DATA_CENTRE),
        )
        common.report_load(made, "a", running=2)
        common.report_load(made, "b")
        attempt = common.get_attempt(common.open_delivery(made).start(NOW))
        assert attempt.backend.server_id == "a"

    def test_long_body_stays_at_hand(self) -> None:
        """Do not move a long body for a late answer."""
        made = common.make_fleet(
            common.make_entry("a"),
            common.make_entry("b", common.REMOTE_DATA_CENTRE),
        )
        common.report_load(made, "a", slowdown=7.0)
        common.report_load(made, "b")
        delivery = common.open_delivery(made, "/order/1")
        delivery.body_bytes = 60_000
        attempt = common.get_attempt(delivery.start(NOW))
        assert attempt.backend.server_id == "a"

    def test_own_requests_since_the_report_count(self) -> None:
        """Spread requests that are sent on one report."""
        made = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        common.report_load(made, "a", running=4)
        common.report_load(made, "b", running=4)
        chosen = [
            common.get_attempt(common.open_delivery(made).start(NOW))
            for _ in range(4)
        ]
        names = sorted(one.backend.server_id for one in chosen)
        assert names == ["a", "a", "b", "b"]


def asked_of(made: fleet_module.Fleet) -> set[str]:
    """Return the servers that a daemon asks for many requests."""
    asked = set()
    for _ in range(50):
        wanted = common.open_delivery(made).start(NOW)
        (probe,) = common.filter_actions(wanted, delivery_module.Probe)
        assert isinstance(probe, delivery_module.Probe)
        asked.update(one.server_id for one in probe.servers)
    return asked


class TestSubset:
    """A daemon uses a part of a large fleet."""

    def test_usual_requests_ask_few_servers(self) -> None:
        """Ask the same servers again and again."""
        names = [f"s-{number}" for number in range(60)]
        made = common.make_fleet(*(common.make_entry(name) for name in names))
        assert len(asked_of(made)) <= const.SUBSET_SIZE

    def test_owners_use_a_cold_newcomer(self) -> None:
        """Ask a newcomer at each daemon that may send to it while cold."""
        names = [f"daemon-{number}" for number in range(10)]
        rows = [
            interfaces.MemberRow(common.make_member(name), NOW)
            for name in names
        ]
        entries = [common.make_entry(f"s-{number}") for number in range(60)]
        entries.append(common.make_entry("new", cold_for_s=3.0))
        for name in names:
            made = common.make_fleet(*entries, name=name)
            made.set_members(rows, NOW, 60.0)
            owners = made.members.cold_owners("new", common.LOCAL_DATA_CENTRE)
            assert (name in owners) == ("new" in asked_of(made))

    def test_daemons_use_different_servers(self) -> None:
        """Leave no server without any daemon."""
        names = [f"s-{number}" for number in range(20)]
        entries = [common.make_entry(name) for name in names]
        used = set()
        for number in range(19):
            made = common.make_fleet(*entries, name=f"daemon-{number}")
            for _ in range(20):
                wanted = common.open_delivery(made).start(NOW)
                (probe,) = common.filter_actions(wanted, delivery_module.Probe)
                assert isinstance(probe, delivery_module.Probe)
                used.update(one.server_id for one in probe.servers)
        assert used == set(names)

    def test_waiting_request_looks_at_all(self) -> None:
        """Find the only free server of a large fleet."""
        names = [f"s-{number}" for number in range(60)]
        made = common.make_fleet(*(common.make_entry(name) for name in names))
        for name in names:
            common.report_load(made, name, 6, now=NOW + 0.03, waiting=20)
        common.report_load(made, "s-7", now=NOW + 0.03)
        common.report_load(made, "s-31", now=NOW + 0.03)
        delivery = common.open_delivery(made, now=NOW + 0.03)
        wanted = delivery.start(NOW + 0.03)
        if not common.filter_actions(wanted, actions.Send):
            wanted = delivery.on_pause_over(NOW + 0.03)
        assert common.get_attempt(wanted).backend.server_id in ("s-7", "s-31")


class TestProbeRate:
    """Probes of all daemons stay within the agreed number."""

    def test_daemons_share_the_rate(self) -> None:
        """Add up to less than the most for each server."""
        made = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        rows = [
            interfaces.MemberRow(common.make_member(f"daemon-{n}"), NOW)
            for n in range(1, 11)
        ]
        made.set_members(rows, NOW, 60.0)
        assert 0 < 10 * made.probe_rate(60.0) <= 60.0 * 2

    def test_budget_ends(self) -> None:
        """Refuse a probe beyond the rate."""
        rate = budget.RateBudget(10.0, 5.0)
        sent = sum(rate.try_spend(NOW + n / 1000) for n in range(1000))
        assert 10 <= sent <= 15


class TestSplit:
    """Shares of a route's services."""

    def test_shares_follow_the_weights(self) -> None:
        """Give each service its share over any stretch."""
        made = common.make_fleet()
        targets = (
            common.models.Target("orders", 90.0),
            common.models.Target("archive", 10.0),
        )
        made.apply_configuration(
            common.make_configuration(2, common.make_route(targets=targets))
        )
        services = [
            common.open_delivery(made).request.service for _ in range(100)
        ]
        assert 9 <= services.count("archive") <= 11

    def test_longest_prefix_wins(self) -> None:
        """Take the route with the longest prefix of the path."""
        made = common.make_fleet()
        made.apply_configuration(
            common.make_configuration(
                2,
                common.make_route(name="short", prefix="/a/"),
                common.make_route(name="long", prefix="/a/b/"),
            )
        )
        opened = common.open_delivery(made, "/a/b/c")
        assert opened.request.route.name == "long"
