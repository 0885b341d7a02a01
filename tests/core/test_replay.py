"""Test the replay of recorded traces."""

from __future__ import annotations

import json
import pathlib

import pytest

from tarragonlift.core import replay

TRACE_DIRECTORY = pathlib.Path(__file__).parent.parent / "traces"
TRACES = sorted(TRACE_DIRECTORY.glob("*.jsonl"))


def read_trace(path: pathlib.Path) -> list[dict[str, object]]:
    """Return the steps of a trace."""
    lines = path.read_text(encoding="utf-8").splitlines()
    return [json.loads(line) for line in lines]


class TestTraces:
    """Test that the core behaves as the traces state."""

    @pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
    def test_trace(self, path: pathlib.Path) -> None:
        """Every step has the stated outcome."""
        assert replay.TraceReplayer().run(read_trace(path)) == []

    def test_each_guarantee_has_a_trace(self) -> None:
        """Nine guarantees have a trace each, one of them has two."""
        assert len(TRACES) == 10

    def test_different_outcome_is_reported(self) -> None:
        """A step with another stated outcome is reported."""
        steps = read_trace(TRACE_DIRECTORY / "whole-answer.jsonl")
        steps[-1]["expect"] = ["relay"]
        (difference,) = replay.TraceReplayer().run(steps)
        assert difference.number == len(steps)
        assert difference.found == ["cutshort"]
