"""Tests of what daemons tell each other of servers' pauses."""

from __future__ import annotations

import attrs
import pytest

from tarragonlift.components.gateway import pause_follower
from tarragonlift.components.gateway import peer_messages
from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import server as server_module
from tarragonlift_lab import fleet_state
from tests.core.fleet import common

PAUSE_S = 4.0


class PauseTests:
    """A daemon with a follower of pauses, and what it sends."""

    def setup_method(self) -> None:
        """Create a daemon that knows three servers."""
        self.clock = fleet_state.Clock()
        entries = [common.make_entry(name) for name in "abc"]
        self.fleet = common.make_fleet(*entries)
        self.follower = pause_follower.PauseFollower(
            self.clock, self.fleet.registry
        )
        self.sent: list[peer_messages.Message] = []
        self.relayed: list[peer_messages.Message] = []
        self.follower.send_to_data_centre = self.sent.append
        self.follower.send_to_relays = self.relayed.append

    def get(self, name: str) -> server_module.FleetServer:
        """Return a server."""
        server = self.fleet.registry.get(name)
        assert server is not None
        return server

    def pause(self, name: str) -> None:
        """Let a server ask this daemon for a pause."""
        server = self.get(name)
        now = self.clock.now()
        self.fleet.registry.record_pause(server, PAUSE_S, now)
        self.follower.on_pause(server)

    def advance(self, seconds: float) -> None:
        """Advance the time and run the periodic work."""
        self.clock.run_until(self.clock.now() + seconds)
        self.follower.tick(self.clock.now())

    def receive(self, name: str, left_s: float, started_ms: int) -> None:
        """Receive a notice of a pause."""
        start = attrs.evolve(self.get(name).start, started_ms=started_ms)
        pause = peer_messages.StatedPause(start, left_s)
        self.follower.on_notice(peer_messages.PauseNotice((pause,)))


class TestNotices(PauseTests):
    """Pauses that a daemon was asked for."""

    def test_first_pause_is_told_at_once(self) -> None:
        """Tell the data centre and the relays, with the seconds left."""
        self.pause("a")
        (notice,) = self.sent
        assert isinstance(notice, peer_messages.PauseNotice)
        (pause,) = notice.pauses
        assert pause.start == self.get("a").start
        assert pause.left_s >= PAUSE_S
        assert self.relayed == [attrs.evolve(notice, for_relay=True)]

    def test_many_pauses_are_told_together(self) -> None:
        """Send two notices a second at most, whatever servers ask for."""
        for _ in range(100):
            for name in "abc":
                self.pause(name)
            self.advance(0.01)
        assert len(self.sent) <= 1 + 1.0 / const.PAUSE_NOTICE_INTERVAL_S
        told = [
            pause.start.server_id
            for notice in self.sent
            if isinstance(notice, peer_messages.PauseNotice)
            for pause in notice.pauses
        ]
        assert set(told) == {"a", "b", "c"}
        assert len(told) <= 6

    def test_what_another_told_is_not_told_again(self) -> None:
        """Guard against each daemon telling all others of one pause."""
        started_ms = self.get("a").entry.started_ms
        self.receive("a", PAUSE_S, started_ms)
        self.pause("a")
        self.advance(const.PAUSE_NOTICE_INTERVAL_S)
        assert self.sent == []

    def test_daemon_that_starts_learns_all(self) -> None:
        """Tell own pauses and those of others."""
        self.pause("a")
        self.receive("b", PAUSE_S, self.get("b").entry.started_ms)
        (notice,) = self.follower.make_notices()
        told = {pause.start.server_id for pause in notice.pauses}
        assert told == {"a", "b"}
        self.advance(2 * PAUSE_S)
        assert self.follower.make_notices() == []


class TestToldPauses(PauseTests):
    """Pauses that another daemon was asked for."""

    def setup_method(self) -> None:
        """Report the same load of all servers."""
        super().setup_method()
        self.clock.run_until(common.NOW)
        for name in "abc":
            common.report_load(self.fleet, name)

    def choose(self) -> set[str]:
        """Return the servers of ten requests at once."""
        now = self.clock.now()
        chosen = set()
        for _ in range(10):
            delivery = common.open_delivery(self.fleet, "/order/1")
            attempt = common.get_attempt(delivery.start(now))
            chosen.add(attempt.backend.server_id)
        return chosen

    def test_server_is_avoided_while_others_have_room(self) -> None:
        """Guard against an extra call by each daemon for the same pause."""
        self.receive("a", PAUSE_S, self.get("a").entry.started_ms)
        assert self.choose() == {"b", "c"}

    def test_server_is_used_if_there_is_no_other(self) -> None:
        """It asked another daemon, and may answer this one."""
        for name in "bc":
            self.fleet.registry.record_pause(
                self.get(name), PAUSE_S, self.clock.now()
            )
        self.receive("a", PAUSE_S, self.get("a").entry.started_ms)
        assert self.choose() == {"a"}

    @pytest.mark.parametrize("left_s", [PAUSE_S, 3600.0])
    def test_it_ends(self, left_s: float) -> None:
        """Bound the time, since the server did not ask this daemon."""
        self.receive("a", left_s, self.get("a").entry.started_ms)
        end = min(left_s, const.MAX_TOLD_PAUSE_S)
        assert self.get("a").is_avoided(self.clock.now() + end - 0.01)
        assert not self.get("a").is_avoided(self.clock.now() + end)

    def test_other_processes_are_not_meant(self) -> None:
        """Ignore the pause of another process, and unknown servers."""
        self.receive("a", PAUSE_S, self.get("a").entry.started_ms + 1)
        assert not self.get("a").is_avoided(self.clock.now())

    def test_relay_passes_the_notice_on(self) -> None:
        """Tell the data centre once."""
        pause = peer_messages.StatedPause(self.get("a").start, PAUSE_S)
        notice = peer_messages.PauseNotice((pause,), for_relay=True)
        self.follower.on_notice(notice)
        assert self.sent == [attrs.evolve(notice, for_relay=False)]
        assert self.relayed == []
