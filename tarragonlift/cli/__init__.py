"""The command line. The daemon is started without what it does not need."""

from __future__ import annotations

import sys


def main() -> None:
    """Run the command that the arguments name."""
    if sys.argv[1:2] == ["serve"]:
        from tarragonlift.cli import serve

        sys.exit(serve.main(sys.argv[2:]))
    from tarragonlift.cli import app

    app.main()
