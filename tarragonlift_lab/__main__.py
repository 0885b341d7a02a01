"""Command line of the lab for ``python -m tarragonlift_lab``."""

from __future__ import annotations

from tarragonlift_lab import cli

cli.main()
