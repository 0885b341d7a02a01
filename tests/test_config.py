"""Tests of the configuration and settings files."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys

import pytest

from tarragonlift import config
from tarragonlift import exceptions
from tarragonlift import settings
from tarragonlift_lab import demo


class TestBundle:
    """Tests of a base file with its overlays."""

    def test_overlay_overrides_only_given_keys(self) -> None:
        """Keys that the overlay omits keep the value of the base."""
        bundle = config.Bundle(demo.BASE, demo.OVERLAYS)
        base = config.build(bundle, "plovdiv").service("ordering")
        other = config.build(bundle, "haskovo").service("ordering")
        assert base is not None
        assert other is not None
        assert (base.queue_length, other.queue_length) == (256, 512)
        assert base.limit == other.limit == 12

    def test_all_errors_are_reported_with_their_place(self) -> None:
        """Three errors in two files are reported together."""
        base = {
            "data_centres": ["plovdiv"],
            "services": {"a": {"limit": 0, "colour": "red"}},
        }
        overlays = {"varna": '{"services": {"a": {"slots": "x"}}}'}
        bundle = config.Bundle(json.dumps(base), overlays)
        with pytest.raises(exceptions.InvalidDocument) as caught:
            config.check_bundle(bundle)
        places = {
            (problem.file, problem.place) for problem in caught.value.problems
        }
        assert places >= {
            ("base", "services.a.limit"),
            ("base", "services.a.colour"),
            ("overlay varna", "services.a.slots"),
        }

    def test_overlay_of_unknown_data_centre_is_rejected(self) -> None:
        """The base must list the data centre of an overlay."""
        bundle = config.Bundle(demo.BASE, {"varna": "{}"})
        with pytest.raises(exceptions.InvalidDocument, match="rename"):
            config.check_bundle(bundle)

    def test_syntax_error_is_reported_with_its_line(self) -> None:
        """The place of the problem is the line where the parser stopped."""
        bundle = config.Bundle('{\n  "a": 1,\n  !\n}', {})
        with pytest.raises(exceptions.InvalidDocument, match="line 3"):
            config.check_bundle(bundle)


class TestSettings:
    """Tests of the settings of a process."""

    def test_all_errors_are_reported(self, tmp_path: pathlib.Path) -> None:
        """Invalid, unknown and missing keys are reported together."""
        path = tmp_path / "settings.jsonc"
        path.write_text('{"daemon": "E 1", "hosts": 3} // comment\n')
        with pytest.raises(exceptions.InvalidDocument) as caught:
            settings.load(path)
        places = {problem.place for problem in caught.value.problems}
        assert {"daemon", "hosts", "listen", "platform"} <= places


class TestImports:
    """Tests of the modules that a daemon loads."""

    def test_daemon_does_not_import_command_line_or_lab(self) -> None:
        """The daemon loads no typer, click, pytest, lab or asyncio."""
        code = (
            "import sys, tarragonlift.cli.serve;"
            "print(' '.join(sys.modules))"
        )
        modules = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            check=True,
            text=True,
        ).stdout.split()
        assert "circuits.web" in modules
        unwanted = {"typer", "click", "pytest", "tarragonlift_lab", "asyncio"}
        assert not unwanted & set(modules)
