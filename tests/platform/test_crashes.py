"""Requests that crash the servers that run them, on real sockets."""

from __future__ import annotations

from collections import abc
import pathlib
import time

import pytest

from tarragonlift.core.fleet import const
from tests.platform import crashing
from tests.platform import joining_stage

HOSTS = joining_stage.HOSTS
SERVERS = tuple(f"i-{number}" for number in range(6))
# Time in seconds for a notice to reach the other daemons.
NOTICE_S = 0.1
# Time in seconds within which a server crashes, is back and is listed again.
LISTED_S = 2.2
# Time in seconds after a start from which rules hold for a daemon.
LEARNED_S = 3.0


@pytest.fixture
def stage(tmp_path: pathlib.Path) -> abc.Iterator[crashing.CrashingStage]:
    """Start a store, six servers and three daemons."""
    stage = crashing.CrashingStage(tmp_path, *SERVERS)
    try:
        for host in HOSTS:
            stage.serve_on(host)
        yield stage
    finally:
        stage.close()


def repeat(
    stage: crashing.CrashingStage,
    path: str,
    times: int,
    leave_after_s: float | None = None,
    pause_s: float = NOTICE_S,
) -> list[int]:
    """Send a request to one daemon after the other; return the statuses."""
    statuses = []
    for number in range(times):
        host = HOSTS[number % len(HOSTS)]
        statuses.append(stage.send(host, path, leave_after_s))
        time.sleep(pause_s)
    return statuses


class TestPartsOfTheAnswer:
    """A server ends before, or in any part of, its answer."""

    @pytest.mark.parametrize(
        "part",
        [
            crashing.BEFORE_ANSWER,
            "in the head",
            "in a body with a length",
            "in a body in chunks",
            "in a body without a length",
            "in a long body",
        ],
    )
    def test_request_is_held_after_three_servers_ended(
        self, stage: crashing.CrashingStage, part: str
    ) -> None:
        """Hold it back at all daemons, wherever each answer broke off."""
        stage.set_crash(part)
        statuses = repeat(stage, "/order/crash", 9)
        assert stage.count_executed() == const.MAX_CRASHES
        assert statuses[const.MAX_CRASHES :] == [503] * 6
        assert stage.send(HOSTS[0], "/order/other") == 200


class TestRestarts:
    """Daemons that start after a request was held back."""

    def test_held_request_stays_held_when_all_daemons_restart_in_turn(
        self, stage: crashing.CrashingStage
    ) -> None:
        """Learn from the others what is held back before it is sent on."""
        repeat(stage, "/order/crash", 4)
        assert stage.count_executed() == const.MAX_CRASHES
        for number, host in enumerate(HOSTS):
            stage.daemons[number].kill()
            stage.daemons[number].wait()
            stage.serve_on(host)
            time.sleep(LEARNED_S)
            assert stage.send(host, "/order/crash") == 503
        assert stage.count_executed() == const.MAX_CRASHES


class TestLateCrashes:
    """Servers that end when nobody waits for the answer any more."""

    @pytest.mark.parametrize(
        ("path", "leave_after_s", "crash_after_s"),
        [
            # An order runs on after its caller left.
            ("/order/crash", 0.05, 0.15),
            # The daemon closes the connection of a lookup first.
            ("/look/crash", 0.05, 0.15),
            # The caller has its answer at the route's timeout.
            ("/order/crash", None, 1.7),
        ],
    )
    def test_request_is_held_though_nobody_waited(
        self,
        stage: crashing.CrashingStage,
        path: str,
        leave_after_s: float | None,
        crash_after_s: float,
    ) -> None:
        """Hold it back once three servers have ended with it."""
        stage.set_crash(crashing.BEFORE_ANSWER, crash_after_s)
        repeat(stage, path, 6, leave_after_s, pause_s=LISTED_S)
        assert stage.count_executed() == const.MAX_CRASHES
