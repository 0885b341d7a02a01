"""``tarragonlift cases``: what callers ask human operators."""

from __future__ import annotations

from typing import Any

import typer

from tarragonlift.cli import client as client_module
from tarragonlift.cli import options
from tarragonlift.cli import output

app = typer.Typer(no_args_is_help=True, help="Cases opened by callers.")


@app.command("list")
def list_cases(
    api: options.ApiOption = options.DEFAULT_API,
    token: options.TokenOption = "",
    json_output: options.JsonOption = False,
) -> None:
    """Show all cases, oldest first."""
    daemon = client_module.ApiClient(api, token)
    result = daemon.wait_for_result(daemon.get("/v1/cases"))
    found = sorted(result["cases"], key=lambda one: one["at"])
    lines = [
        f"{one['case']}  {output.format_time(one['at'])}  {one['state']:<7} "
        f"{one['request']}  {one['caller']}  {one['operator']}"
        for one in found
    ]
    output.show(result, json_output, "\n".join(lines) or "none")


@app.command()
def show(
    case: str,
    api: options.ApiOption = options.DEFAULT_API,
    token: options.TokenOption = "",
    json_output: options.JsonOption = False,
) -> None:
    """Show what a caller wrote."""
    daemon = client_module.ApiClient(api, token)
    found = daemon.wait_for_result(daemon.get(f"/v1/cases/{case}"))
    text = (
        f"request {found['request']} of {found['caller']}, "
        f"{output.format_time(found['at'])}\n{found['text']}"
    )
    output.show(found, json_output, text)


@app.command()
def take(
    case: str,
    api: options.ApiOption = options.DEFAULT_API,
    token: options.TokenOption = "",
    json_output: options.JsonOption = False,
) -> None:
    """Take a case, so that others see who looks after it."""
    _set_state(case, "taken", api, token, json_output)


@app.command()
def close(
    case: str,
    api: options.ApiOption = options.DEFAULT_API,
    token: options.TokenOption = "",
    json_output: options.JsonOption = False,
) -> None:
    """Close a case."""
    _set_state(case, "closed", api, token, json_output)


def _set_state(
    case: str, state: str, api: str, token: str, json_output: bool
) -> None:
    """Change the state of a case and tell it."""
    daemon = client_module.ApiClient(api, token)
    body: dict[str, Any] = {"state": state}
    found = daemon.wait_for_result(daemon.put(f"/v1/cases/{case}", body))
    text = f"{case}: {found['state']} by {found['operator']}"
    output.show(found, json_output, text)
