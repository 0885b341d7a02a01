"""Test the detection of requests that crash servers."""

from __future__ import annotations

from tarragonlift.core import actions
from tarragonlift.core import call as call_module
from tarragonlift.core import const
from tarragonlift.core import crash_tracker
from tarragonlift.core import replica
from tarragonlift import exceptions
from tests import common

BROKEN = const.AttemptFailure.BROKEN_BEFORE_ANSWER


def make_tracker(name: str = "entry-0") -> crash_tracker.CrashTracker:
    """Return the crash tracker of a daemon."""
    return crash_tracker.CrashTracker(name, replica.Replica(name, 1))


class TestCrashTracker:
    """Test that crashes add up over daemons and that success clears them."""

    def test_counts_of_daemons_add_up(self) -> None:
        """Counts of two daemons add up, as each has its own item."""
        first_replica, second_replica = replica.Replica(
            "a", 1
        ), replica.Replica("b", 1)
        first, second = crash_tracker.CrashTracker(
            "a", first_replica
        ), crash_tracker.CrashTracker("b", second_replica)
        first.record_crash("f", "GET /x")
        second.record_crash("f", "GET /x")
        first_replica.merge(second_replica.items(replica.KIND_HELD))
        first.refresh()
        assert first.crash_count("f") == 2

    def test_success_clears(self) -> None:
        """A harmless request that was in flight at a crash is cleared."""
        tracker = make_tracker()
        tracker.record_crash("f", "GET /x")
        tracker.record_crash("f", "GET /x")
        assert tracker.clear("f")
        assert tracker.crash_count("f") == 0
        assert not tracker.clear("f")

    def test_request_that_crashes_is_contained(self) -> None:
        """No server gets the request after the limit, whatever the budget."""
        tracker = make_tracker()
        pool = common.make_pool(10, retry_share=1.0)
        attempts = 0
        for number in range(5):
            request = common.make_request(request_id=f"r{number}")
            call = call_module.Call(request, pool, tracker)
            if tracker.crash_count("print") >= 3:
                break
            result = call.start(0.0)
            while True:
                sent = [
                    action
                    for action in result
                    if isinstance(action, actions.Send)
                ]
                if not sent:
                    break
                attempts += 1
                result = call.on_attempt_failed(sent[0].attempt, BROKEN, 0.0)
            refused = [
                action
                for action in result
                if isinstance(action, actions.Refuse)
            ]
            assert isinstance(refused[0].refusal, exceptions.CrashSuspected)
        assert attempts == 3
