"""``tarragonlift serve``: run an entry daemon."""

from __future__ import annotations

import argparse
from collections import abc
import pathlib
import sys

from tarragonlift.components import daemon
from tarragonlift.components import logs
from tarragonlift import exceptions
from tarragonlift import settings

EXIT_OK = 0
EXIT_SETTINGS = 2


def main(arguments: abc.Sequence[str]) -> int:
    """Run a daemon until it is stopped; return the exit status."""
    parser = argparse.ArgumentParser(
        prog="tarragonlift serve", description="Run an entry daemon."
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        required=True,
        help="settings of the process, JSON with comments",
    )
    options = parser.parse_args(arguments)
    try:
        checked = settings.load(options.settings)
    except exceptions.InvalidDocument as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    logs.setup_logs()
    daemon.create_daemon(checked).run()
    return EXIT_OK
