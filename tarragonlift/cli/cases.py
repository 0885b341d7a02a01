"""The ``tarragonlift cases`` commands for requests for help by callers."""

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
    client = client_module.ApiClient(api, token)
    result = client.wait_for_result(client.get("/v1/cases"))
    rows = sorted(result["cases"], key=lambda row: row["at"])
    lines = [
        f"{row['case']}  {output.format_time(row['at'])}  {row['state']:<7} "
        f"{row['request']}  {row['caller']}  {row['operator']}"
        for row in rows
    ]
    output.show(result, json_output, "\n".join(lines) or "none")


@app.command()
def show(
    case: str,
    api: options.ApiOption = options.DEFAULT_API,
    token: options.TokenOption = "",
    json_output: options.JsonOption = False,
) -> None:
    """Show the text of a case."""
    client = client_module.ApiClient(api, token)
    result = client.wait_for_result(client.get(f"/v1/cases/{case}"))
    text = (
        f"request {result['request']} of {result['caller']}, "
        f"{output.format_time(result['at'])}\n{result['text']}"
    )
    output.show(result, json_output, text)


@app.command()
def take(
    case: str,
    api: options.ApiOption = options.DEFAULT_API,
    token: options.TokenOption = "",
    json_output: options.JsonOption = False,
) -> None:
    """Take a case, so that other operators see who handles it."""
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
    """Change the state of a case and print the result."""
    client = client_module.ApiClient(api, token)
    body: dict[str, Any] = {"state": state}
    result = client.wait_for_result(client.put(f"/v1/cases/{case}", body))
    text = f"{case}: {result['state']} by {result['operator']}"
    output.show(result, json_output, text)
