"""Run the command line as ``python -m tarragonlift``."""

from __future__ import annotations

from tarragonlift import cli

cli.main()
