"""Options shared by several commands."""

from __future__ import annotations

from typing import Annotated

import typer

ApiOption = Annotated[
    str,
    typer.Option(
        "--api",
        envvar="TARRAGONLIFT_API",
        help="Address of any daemon's administration API.",
    ),
]
TokenOption = Annotated[
    str,
    typer.Option(
        "--token",
        envvar="TARRAGONLIFT_TOKEN",
        help="Token of the operator.",
    ),
]
JsonOption = Annotated[
    bool, typer.Option("--json", help="Print JSON instead of text.")
]
DEFAULT_API = "127.0.0.1:9080"
