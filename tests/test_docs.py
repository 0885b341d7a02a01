"""Tests that the pages say what the code does."""

from __future__ import annotations

import pathlib

from tarragonlift.cli import reference
from tarragonlift import exceptions

DOCS = pathlib.Path(__file__).parent.parent / "docs"


class TestPages:
    """Operators' pages follow the code."""

    def test_settings_reference(self) -> None:
        """Made by 'tarragonlift reference'."""
        page = (DOCS / "operators" / "settings.md").read_text()
        assert page == reference.render()

    def test_every_error_to_callers_is_explained(self) -> None:
        """With its status."""
        page = (DOCS / "operators" / "errors-and-metrics.md").read_text()
        for kind in exceptions.Refusal.__subclasses__():
            assert f"| `{kind.__name__}` | {kind.status} |" in page
