"""Tests of how the modules of the core rest on one another."""

from __future__ import annotations

import ast
import graphlib
import pathlib

import tarragonlift

ROOT = pathlib.Path(tarragonlift.__file__).parent


def imports_of(path: pathlib.Path) -> set[str]:
    """Return all that a module imports, for types only or not."""
    found = set()
    for one in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(one, ast.ImportFrom) and one.module:
            found |= {f"{one.module}.{alias.name}" for alias in one.names}
        elif isinstance(one, ast.Import):
            found |= {alias.name for alias in one.names}
    return found


def core_graph() -> dict[str, set[str]]:
    """Return the modules of the core with what each of them imports."""
    graph = {}
    for path in (ROOT / "core").rglob("*.py"):
        name = ".".join(path.relative_to(ROOT.parent).with_suffix("").parts)
        graph[name.removesuffix(".__init__")] = imports_of(path)
    return graph


class TestLayers:
    """The core can be read from its ground up."""

    def test_no_cycle_in_core(self) -> None:
        """Sorting raises where modules import one another in a circle."""
        assert list(graphlib.TopologicalSorter(core_graph()).static_order())

    def test_core_does_no_input_or_output(self) -> None:
        """No module of the core imports what opens sockets or files."""
        banned = {"asyncio", "circuits", "io", "os", "select", "socket"}
        for name, imported in core_graph().items():
            roots = {one.partition(".")[0] for one in imported}
            assert not roots & banned, name
            assert not any(
                one.startswith("tarragonlift.components") for one in imported
            ), name
