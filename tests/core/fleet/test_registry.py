"""Tests of following the platform's list of servers."""

from __future__ import annotations

from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import interfaces
from tarragonlift.core.fleet import models
from tests.core.fleet import common

NOW = common.NOW


class TestList:
    """Servers come, leave and lapse."""

    def test_leaving_server_gets_nothing(self) -> None:
        """Send nothing from the moment at which the list says so."""
        made = common.make_fleet(common.make_entry("a"))
        made.registry.set_entries(
            2, [common.make_entry("a", leaving=True)], NOW
        )
        assert made.registry.usable_servers("orders") == []

    def test_missing_server_is_gone(self) -> None:
        """Send nothing to a server that is not listed any more."""
        made = common.make_fleet(
            common.make_entry("a"), common.make_entry("b")
        )
        server = made.registry.get("a")
        made.registry.set_entries(2, [common.make_entry("b")], NOW)
        assert server is not None
        assert not made.registry.can_send(server, NOW)

    def test_older_reading_changes_nothing(self) -> None:
        """Keep what a newer version of the list said."""
        made = common.make_fleet(common.make_entry("a"))
        made.registry.set_entries(
            9, [common.make_entry("a", leaving=True)], NOW
        )
        made.registry.set_entries(8, [common.make_entry("a")], NOW)
        assert made.registry.usable_servers("orders") == []

    def test_lapsed_entry_is_kept_while_servers_return(self) -> None:
        """Keep a missing entry for a while after the list was away."""
        made = common.make_fleet(common.make_entry("a"))
        made.registry.keep_missing(NOW + const.MISSING_KEPT_S)
        made.registry.set_entries(2, [], NOW + 0.5)
        assert made.registry.usable_servers("orders")
        made.registry.set_entries(3, [], NOW + const.MISSING_KEPT_S)
        assert made.registry.usable_servers("orders") == []

    def test_restarted_server_is_known_anew(self) -> None:
        """Forget what an earlier process of the name said."""
        made = common.make_fleet(common.make_entry("a"))
        before = made.registry.get("a")
        made.registry.set_entries(
            2, [common.make_entry("a", started_ms=2, cold_for_s=3.0)], NOW
        )
        after = made.registry.get("a")
        assert before is not None and before.is_gone
        assert after is not None and after.is_cold(NOW + 1)

    def test_heartbeat_of_an_earlier_process_is_ignored(self) -> None:
        """Keep to the process that was born last."""
        made = common.make_fleet(common.make_entry("a", started_ms=2))
        made.registry.set_entries(
            2, [common.make_entry("a", started_ms=1, leaving=True)], NOW
        )
        assert made.registry.usable_servers("orders")


class TestDataCentres:
    """Data centres that operators take out."""

    def test_nothing_is_sent_there(self) -> None:
        """Use no server of a data centre that is out."""
        made = common.make_fleet(common.make_entry("a"))
        made.apply_operators(
            interfaces.OperatorUpdate(
                2, None, {common.LOCAL_DATA_CENTRE: True}
            )
        )
        assert made.registry.usable_servers("orders") == []

    def test_whole_reading_brings_it_back(self) -> None:
        """Use it again where a whole reading does not name it."""
        made = common.make_fleet(common.make_entry("a"))
        made.apply_operators(
            interfaces.OperatorUpdate(
                2, None, {common.LOCAL_DATA_CENTRE: True}
            )
        )
        made.apply_operators(interfaces.OperatorUpdate(3, None, {}, True))
        assert made.registry.usable_servers("orders")

    def test_older_reading_does_not_bring_it_back(self) -> None:
        """Keep it out against a reading of before."""
        made = common.make_fleet(common.make_entry("a"))
        made.apply_operators(
            interfaces.OperatorUpdate(
                5, None, {common.LOCAL_DATA_CENTRE: True}
            )
        )
        made.apply_operators(interfaces.OperatorUpdate(4, None, {}, True))
        assert made.registry.usable_servers("orders") == []


class TestAgreement:
    """What other daemons tell of operators."""

    def test_newer_version_elsewhere_is_noticed(self) -> None:
        """Read again where another daemon knows a newer version."""
        made = common.make_fleet()
        assert not made.is_behind(models.OperatorState(1, 1, ()))
        assert made.is_behind(models.OperatorState(2, 2, ()))

    def test_other_data_centres_out_are_noticed(self) -> None:
        """Read again where another daemon knows other places out."""
        made = common.make_fleet()
        assert made.is_behind(
            models.OperatorState(2, 1, (common.LOCAL_DATA_CENTRE,))
        )

    def test_who_is_behind_is_not_followed(self) -> None:
        """Read nothing for a daemon that knows less than this one."""
        made = common.make_fleet()
        made.apply_operators(
            interfaces.OperatorUpdate(
                9, None, {common.LOCAL_DATA_CENTRE: True}
            )
        )
        assert not made.is_behind(models.OperatorState(8, 1, ()))
        assert made.is_behind(models.OperatorState(10, 1, ()))

    def test_same_knowledge_up_to_a_newer_version_counts(self) -> None:
        """Wait for changes after what another daemon saw unchanged."""
        made = common.make_fleet()
        made.record_unchanged(models.OperatorState(30, 1, ()))
        assert made.operators.store_version == 30

    def test_other_knowledge_counts_for_nothing(self) -> None:
        """Wait for changes after what was seen here, where views differ."""
        made = common.make_fleet()
        made.record_unchanged(models.OperatorState(30, 0, ()))
        made.record_unchanged(
            models.OperatorState(30, 1, (common.LOCAL_DATA_CENTRE,))
        )
        assert made.operators.store_version == 1


class TestConfiguration:
    """The version in force only grows."""

    def test_older_version_is_not_adopted(self) -> None:
        """Keep the newer version."""
        made = common.make_fleet()
        assert made.apply_configuration(common.make_configuration(7))
        assert not made.apply_configuration(common.make_configuration(6))
        assert made.version == 7


class TestColdServers:
    """What all daemons together send to a cold server."""

    def test_sum_over_all_daemons_stays_within_its_rate(self) -> None:
        """Never send more in a second than the cold rate allows."""
        names = [f"daemon-{number}" for number in range(18)]
        rows = [
            interfaces.MemberRow(common.make_member(name), NOW)
            for name in names
        ]
        sent_at = []
        for name in names:
            made = common.make_fleet(
                common.make_entry("a", cold_for_s=3.0), name=name
            )
            made.set_members(rows, NOW, 60.0)
            server = made.registry.get("a")
            assert server is not None
            for step in range(3000):
                now = NOW + step / 1000
                if made.registry.can_send(server, now):
                    made.registry.record_sent(server, now)
                    sent_at.append(now)
        sent_at.sort()
        most = max(
            sum(1 for other in sent_at if one <= other < one + 1.0)
            for one in sent_at
        )
        assert 0 < most <= 18

    def test_daemon_that_knows_no_other_sends_nothing(self) -> None:
        """Wait for the rows of the daemons before sharing the rate."""
        made = common.make_fleet(common.make_entry("a", cold_for_s=3.0))
        server = made.registry.get("a")
        assert server is not None
        assert not made.registry.can_send(server, NOW + 0.1)

    def test_warm_server_is_free_to_all(self) -> None:
        """Spread over all daemons once a server is warm."""
        made = common.make_fleet(common.make_entry("a", cold_for_s=3.0))
        server = made.registry.get("a")
        assert server is not None
        assert made.registry.can_send(server, NOW + 3.1)
