"""Tests of the queue between callers."""

from __future__ import annotations

from tarragonlift.core import fair_queue


class TestFairQueue:
    """Callers take turns, and a flood gives way."""

    def test_takes_callers_in_turns(self) -> None:
        """One of each caller, round after round."""
        queue: fair_queue.FairQueue[str] = fair_queue.FairQueue(10)
        for item in ("a1", "a2", "a3", "b1"):
            queue.push(item[0], item)
        taken = [queue.pop() for _ in range(4)]
        assert taken == ["a1", "b1", "a2", "a3"]
        assert queue.pop() is None

    def test_flood_gives_way_to_a_small_caller(self) -> None:
        """The longest lane loses its newest item."""
        queue: fair_queue.FairQueue[str] = fair_queue.FairQueue(3)
        for item in ("a1", "a2", "a3"):
            assert queue.push("a", item) is None
        assert queue.push("b", "b1") == "a3"
        assert queue.push("a", "a4") == "a4"
        assert len(queue) == 3

    def test_remove_forgets_an_item(self) -> None:
        """An item that waits no longer is not taken."""
        queue: fair_queue.FairQueue[str] = fair_queue.FairQueue(3)
        queue.push("a", "a1")
        assert queue.remove("a", "a1")
        assert not queue.remove("a", "a1")
        assert len(queue) == 0
