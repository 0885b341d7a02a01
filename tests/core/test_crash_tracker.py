"""Tests of requests that crash servers."""

from __future__ import annotations

from tarragonlift.core import actions
from tarragonlift.core import call as call_module
from tarragonlift.core import const
from tarragonlift.core import crash_tracker
from tarragonlift.core import replica
from tarragonlift import exceptions
from tests import common

BROKEN = const.AttemptFailure.BROKEN_BEFORE_ANSWER


def make_suspects(name: str = "entry-0") -> crash_tracker.CrashTracker:
    """Return what a daemon knows of suspected requests."""
    return crash_tracker.CrashTracker(name, replica.Replica(name, 1))


class TestSuspects:
    """Crashes add up over daemons and are cleared by a success."""

    def test_counts_of_daemons_add_up(self) -> None:
        """Each daemon counts under its own name."""
        one, other = replica.Replica("a", 1), replica.Replica("b", 1)
        first, second = crash_tracker.CrashTracker(
            "a", one
        ), crash_tracker.CrashTracker("b", other)
        first.record_crash("f", "GET /x")
        second.record_crash("f", "GET /x")
        one.merge(other.items(replica.KIND_HELD))
        first.refresh()
        assert first.crash_count("f") == 2

    def test_success_clears(self) -> None:
        """A harmless request that was in flight at a crash is not held."""
        found = make_suspects()
        found.record_crash("f", "GET /x")
        found.record_crash("f", "GET /x")
        assert found.clear("f")
        assert found.crash_count("f") == 0
        assert not found.clear("f")

    def test_request_that_crashes_is_contained(self) -> None:
        """After the limit no server gets it, whatever the budget."""
        found = make_suspects()
        pool = common.make_pool(10, retry_share=1.0)
        attempts = 0
        for number in range(5):
            request = common.make_request(request_id=f"r{number}")
            call = call_module.Call(request, pool, found)
            if found.crash_count("print") >= 3:
                break
            result = call.start(0.0)
            while True:
                sent = [a for a in result if isinstance(a, actions.Send)]
                if not sent:
                    break
                attempts += 1
                result = call.on_attempt_failed(sent[0].attempt, BROKEN, 0.0)
            refused = [a for a in result if isinstance(a, actions.Refuse)]
            assert isinstance(refused[0].refusal, exceptions.CrashSuspected)
        assert attempts == 3
