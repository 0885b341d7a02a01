"""Servers that turn requests away and ask for a pause, on real sockets."""

from __future__ import annotations

from collections import abc
import pathlib
import re
import subprocess
import time

import pytest

from tests.platform import common
from tests.platform import joining_stage
from tests.platform import standin

# Requests that may reach a server in a pause from half a second on.
MAX_IN_PAUSE = 2
SETTLED_S = 0.5
# Longest delay in seconds that a caller with 2 s left honours, less a reserve.
MAX_RETRY_AFTER_S = 0.55
PAUSE_S = 2.5


def send(stage: standin.DaemonStage, number: int) -> bytes:
    """Send a lookup or an order and return its answer."""
    is_order = number % 2 == 1
    path, method = ("/order/1", "POST") if is_order else ("/look/1", "GET")
    return common.send(stage, path, f"r-{number}", method)


def count_in_pause(server: standin.BackendServer, began_at: float) -> int:
    """Return how many requests reached a server in its pause."""
    from_at, to_at = began_at + SETTLED_S, began_at + PAUSE_S
    return sum(from_at < at < to_at for at in server.arrivals)


class TestPause:
    """A pause holds for the server and the daemon that it was asked of."""

    def test_one_server_pauses_and_the_other_serves(
        self, stage: standin.DaemonStage
    ) -> None:
        """Serve all callers, and use the server again after its pause."""
        paused, other = stage.servers
        paused.mode, paused.pause = "shed", str(PAUSE_S)
        other.load = "5,0,6,300"
        statuses = [standin.parse_status(send(stage, 0))]
        began_at = paused.arrivals[0]
        paused.mode = "good"
        number = 0
        while time.monotonic() < began_at + PAUSE_S + 1.5:
            number += 1
            statuses.append(standin.parse_status(send(stage, number)))
            time.sleep(0.02)
        assert set(statuses) == {200}
        assert count_in_pause(paused, began_at) <= MAX_IN_PAUSE
        assert paused.executions

    def test_callers_are_refused_at_once_while_all_pause(
        self, stage: standin.DaemonStage
    ) -> None:
        """Say when to come again; send nothing to any server meanwhile."""
        for server in stage.servers:
            server.mode, server.pause = "shed", str(PAUSE_S)
        while not all(server.arrivals for server in stage.servers):
            send(stage, 0)
        began_at = {s.server_id: s.arrivals[0] for s in stage.servers}
        last_at = max(began_at.values())
        delays = []
        while time.monotonic() < min(began_at.values()) + PAUSE_S - 0.2:
            sent_at = time.monotonic()
            received = send(stage, 2)
            delays.append(time.monotonic() - sent_at)
            assert standin.parse_status(received) == 503
            match = re.search(rb"retry-after: ([0-9.]+)", received.lower())
            left_s = min(began_at.values()) + PAUSE_S - time.monotonic()
            assert match is not None
            assert float(match.group(1)) >= min(left_s, MAX_RETRY_AFTER_S)
            time.sleep(0.02)
        assert sorted(delays)[len(delays) // 2] < 0.02
        for server in stage.servers:
            began = began_at[server.server_id]
            assert count_in_pause(server, began) <= MAX_IN_PAUSE
            server.mode = "good"
        time.sleep(max(0.0, last_at + PAUSE_S + 1.0 - time.monotonic()))
        assert standin.parse_status(send(stage, 3)) == 200

    @pytest.mark.parametrize(
        "pause", ["-1", "nan", "soon", "inf", "9" * 500, "1e308"]
    )
    def test_odd_pause_does_not_take_a_server_away(
        self, stage: standin.DaemonStage, pause: str
    ) -> None:
        """Ignore or bound what is no number of seconds."""
        paused, other = stage.servers
        paused.mode, paused.pause = "shed", pause
        other.load = "5,0,6,300"
        assert standin.parse_status(send(stage, 0)) == 200
        paused.mode, other.mode = "good", "shed"
        time.sleep(1.1)
        assert standin.parse_status(send(stage, 2)) == 200


class TestFleet:
    """Three daemons that know one another."""

    @pytest.fixture
    def fleet(
        self, tmp_path: pathlib.Path
    ) -> abc.Iterator[joining_stage.JoiningStage]:
        """Start a store, two backend servers and a seed daemon."""
        fleet = joining_stage.JoiningStage(tmp_path, "i-a", "i-b")
        try:
            yield fleet
        finally:
            fleet.close()

    def test_one_daemon_is_turned_away_and_none_after_it(
        self, fleet: joining_stage.JoiningStage
    ) -> None:
        """Guard against an extra call by each daemon for the same pause."""
        seed = fleet.start_on(joining_stage.SEED_HOST)
        addresses = [self.read_address(seed)]
        joining_stage.wait_for_record(seed, change="backend-listed")
        others = [fleet.start_on(host) for host in joining_stage.HOSTS[1:]]
        addresses += [self.read_address(daemon) for daemon in others]
        joining_stage.wait_for_record(seed, about="members", count=3)
        for daemon in others:
            joining_stage.wait_for_records(
                daemon,
                {"change": "backend-listed", "server": "i-a"},
                {"about": "members", "count": 3},
            )
        paused, other = fleet.servers
        paused.mode, paused.pause = "shed", str(PAUSE_S)
        other.load = "3,0,6,100"
        statuses = []
        for number in range(60):
            with common.connect(addresses[number % 3]) as sock:
                sock.sendall(
                    common.encode_request("/order/1", f"r-{number}", "POST")
                )
                received = common.read_response(sock)
            statuses.append(standin.parse_status(received))
            time.sleep(0.02)
        assert set(statuses) == {200}
        assert len(paused.arrivals) == 1
        assert not paused.executions

    def read_address(self, daemon: subprocess.Popen[bytes]) -> str:
        """Return the address at which a daemon accepts callers."""
        start = joining_stage.wait_for_record(daemon, about="start")
        return str(start["listen"])
