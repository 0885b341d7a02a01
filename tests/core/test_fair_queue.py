"""Tests for the fair queue."""

from __future__ import annotations

from tarragonlift.core import fair_queue


class TestFairQueue:
    """Round robin between callers and eviction from the largest one."""

    def test_pops_callers_in_round_robin(self) -> None:
        """Items are popped in round robin over the callers."""
        queue: fair_queue.FairQueue[str] = fair_queue.FairQueue(10)
        for item in ("a1", "a2", "a3", "b1"):
            queue.push(item[0], item)
        popped = [queue.pop() for _ in range(4)]
        assert popped == ["a1", "b1", "a2", "a3"]
        assert queue.pop() is None

    def test_flooding_caller_is_evicted_first(self) -> None:
        """The newest item of the caller with the most items is evicted."""
        queue: fair_queue.FairQueue[str] = fair_queue.FairQueue(3)
        for item in ("a1", "a2", "a3"):
            assert queue.push("a", item) is None
        assert queue.push("b", "b1") == "a3"
        assert queue.push("a", "a4") == "a4"
        assert len(queue) == 3

    def test_remove_deletes_an_item(self) -> None:
        """An item can be removed only once."""
        queue: fair_queue.FairQueue[str] = fair_queue.FairQueue(3)
        queue.push("a", "a1")
        assert queue.remove("a", "a1")
        assert not queue.remove("a", "a1")
        assert len(queue) == 0
