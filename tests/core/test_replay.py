"""Tests that replay recorded traces."""

from __future__ import annotations

import json
import pathlib

import pytest

from tarragonlift.core import replay

FOLDER = pathlib.Path(__file__).parent.parent / "traces"
TRACES = sorted(FOLDER.glob("*.jsonl"))


def read(path: pathlib.Path) -> list[dict[str, object]]:
    """Return the steps of a trace."""
    lines = path.read_text(encoding="utf-8").splitlines()
    return [json.loads(line) for line in lines]


class TestTraces:
    """The core does what the traces state."""

    @pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
    def test_trace(self, path: pathlib.Path) -> None:
        """Every step has its stated outcome."""
        assert replay.TraceReplayer().run(read(path)) == []

    def test_there_is_one_for_each_promise(self) -> None:
        """Nine promises, one of them with two traces."""
        assert len(TRACES) == 10

    def test_other_outcome_is_told(self) -> None:
        """A trace that states something else differs at its step."""
        steps = read(FOLDER / "whole-answer.jsonl")
        steps[-1]["expect"] = ["relay"]
        (difference,) = replay.TraceReplayer().run(steps)
        assert difference.number == len(steps)
        assert difference.found == ["cutshort"]
