"""The ``tarragonlift serve`` command, which runs an entry daemon."""

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
EXIT_INVALID_SETTINGS = 2


def main(arguments: abc.Sequence[str]) -> int:
    """Run an entry daemon until it stops and return the exit status."""
    parser = argparse.ArgumentParser(
        prog="tarragonlift serve", description="Run an entry daemon."
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        required=True,
        help="settings file of the process, in JSON with comments",
    )
    options = parser.parse_args(arguments)
    try:
        process_settings = settings.load(options.settings)
    except exceptions.InvalidDocument as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    logs.setup_logs()
    daemon.create_daemon(process_settings).run()
    return EXIT_OK
