"""Run the lab as ``python -m tarragonlift_lab``."""

from __future__ import annotations

from tarragonlift_lab import cli

cli.main()
