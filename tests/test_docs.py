"""Tests that the documentation matches the code."""

from __future__ import annotations

import pathlib

from tarragonlift.cli import reference
from tarragonlift import exceptions

DOCS = pathlib.Path(__file__).parent.parent / "docs"


class TestPages:
    """Tests of the pages for operators."""

    def test_settings_page_is_up_to_date(self) -> None:
        """The page equals the output of 'tarragonlift reference'."""
        page = (DOCS / "operators" / "settings.md").read_text()
        assert page == reference.render()

    def test_all_caller_errors_are_documented(self) -> None:
        """The page lists each error class with its HTTP status."""
        page = (DOCS / "operators" / "errors-and-metrics.md").read_text()
        for error_class in exceptions.Refusal.__subclasses__():
            assert (
                f"| `{error_class.__name__}` | {error_class.status} |" in page
            )
