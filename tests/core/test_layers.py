"""Tests for the import structure of the core."""

from __future__ import annotations

import ast
import graphlib
import pathlib

import tarragonlift

ROOT = pathlib.Path(tarragonlift.__file__).parent


def get_imports(path: pathlib.Path) -> set[str]:
    """Return all imports of a module, including those for typing."""
    imports = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            imports |= {f"{node.module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            imports |= {alias.name for alias in node.names}
    return imports


def build_import_graph() -> dict[str, set[str]]:
    """Return the imports of each module of the core."""
    graph = {}
    for path in (ROOT / "core").rglob("*.py"):
        name = ".".join(path.relative_to(ROOT.parent).with_suffix("").parts)
        graph[name.removesuffix(".__init__")] = get_imports(path)
    return graph


class TestLayers:
    """The core has no import cycles and does no I/O."""

    def test_no_cycle_in_core(self) -> None:
        """The topological sort raises CycleError for an import cycle."""
        assert list(
            graphlib.TopologicalSorter(build_import_graph()).static_order()
        )

    def test_core_does_no_input_or_output(self) -> None:
        """No module of the core imports modules that open sockets or files."""
        banned = {"asyncio", "circuits", "io", "os", "select", "socket"}
        for name, imported in build_import_graph().items():
            roots = {module.partition(".")[0] for module in imported}
            assert not roots & banned, name
            assert not any(
                module.startswith("tarragonlift.components")
                for module in imported
            ), name
