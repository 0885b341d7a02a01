"""Entry point of ``python -m tarragonlift``."""

from __future__ import annotations

from tarragonlift import cli

cli.main()
