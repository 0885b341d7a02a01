"""The command line interface.

``serve`` is dispatched before the other commands are imported, so that a
daemon does not load their dependencies.
"""

from __future__ import annotations

import sys


def main() -> None:
    """Run the command given by the arguments."""
    if sys.argv[1:2] == ["serve"]:
        from tarragonlift.cli import serve

        sys.exit(serve.main(sys.argv[2:]))
    from tarragonlift.cli import app

    app.main()
