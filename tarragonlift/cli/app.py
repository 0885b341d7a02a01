"""Commands for operators; ``serve`` is listed here only for the help."""

from __future__ import annotations

import json
import pathlib
import secrets
from typing import Annotated
from typing import Any

import attrs
import typer

from tarragonlift.cli import cases
from tarragonlift.cli import client as client_module
from tarragonlift.cli import options
from tarragonlift.cli import output
from tarragonlift.cli import reference as reference_module
from tarragonlift import config
from tarragonlift.core import const as core_const
from tarragonlift.core import replay as replay_module
from tarragonlift import exceptions
from tarragonlift.helpers import jsonc
from tarragonlift import settings

EXIT_ERROR = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4

app = typer.Typer(
    no_args_is_help=True, help="Operate tarragonlift.", add_completion=False
)
config_app = typer.Typer(no_args_is_help=True, help="The configuration.")
data_centre_app = typer.Typer(no_args_is_help=True, help="Data centres.")
held_app = typer.Typer(
    no_args_is_help=True, help="Requests held back after crashes."
)
app.add_typer(held_app, name="held")
app.add_typer(cases.app, name="cases")
app.add_typer(config_app, name="config")
app.add_typer(data_centre_app, name="data-centre")


@app.command()
def serve() -> None:
    """Run an entry daemon (see 'tarragonlift serve --help')."""


@app.command()
def check(
    files: Annotated[
        list[pathlib.Path],
        typer.Argument(
            help="Settings files, or a base file and its overlays "
            "(named after their data centres)."
        ),
    ],
    json_output: options.JsonOption = False,
) -> None:
    """Check files without a daemon and report all errors."""
    problems = check_files(files)
    rows = [attrs.asdict(problem) for problem in problems]
    output.show(
        {"problems": rows},
        json_output,
        "\n".join(str(problem) for problem in problems) or "no errors",
    )
    if problems:
        raise typer.Exit(EXIT_INVALID)


@config_app.command("push")
def config_push(
    base: Annotated[pathlib.Path, typer.Argument(help="The base file.")],
    overlays: Annotated[
        list[pathlib.Path] | None,
        typer.Argument(help="Overlays, named after their data centres."),
    ] = None,
    if_version: Annotated[
        int | None,
        typer.Option(
            help="Version on which the change is based; default: the "
            "version in force on the daemon."
        ),
    ] = None,
    api: options.ApiOption = options.DEFAULT_API,
    token: options.TokenOption = "",
    json_output: options.JsonOption = False,
) -> None:
    """Put a new configuration in force in all data centres."""
    client = client_module.ApiClient(api, token)
    bundle = read_bundle(base, overlays or [])
    if if_version is None:
        if_version = client.get("/v1/configuration")["version"]
    body = {
        "push": secrets.token_hex(8),
        "if_version": if_version,
        "base": bundle.base,
        "overlays": bundle.overlays,
    }
    result = client.wait_for_result(client.post("/v1/configuration", body))
    document = output.wait_until_in_force(client, result["version"])
    in_force = document["in_force"]
    text = (
        f"version {result['version']} accepted; in force on "
        f"{in_force['confirmed']} of {in_force['daemons']} daemons"
    )
    if in_force["behind"]:
        text += "; not yet on " + ", ".join(in_force["behind"])
    output.show({**result, "in_force": in_force}, json_output, text)


@config_app.command("show")
def config_show(
    api: options.ApiOption = options.DEFAULT_API,
    token: options.TokenOption = "",
    json_output: options.JsonOption = False,
) -> None:
    """Show the configuration in force and the daemons that lack it."""
    document = client_module.ApiClient(api, token).get("/v1/configuration")
    output.show(document, json_output, output.describe_config(document))


@config_app.command("history")
def config_history(
    api: options.ApiOption = options.DEFAULT_API,
    token: options.TokenOption = "",
    json_output: options.JsonOption = False,
) -> None:
    """Show who pushed which version and when."""
    client = client_module.ApiClient(api, token)
    result = client.wait_for_result(client.get("/v1/configuration/history"))
    lines = [
        f"{row['version']:>6}  {output.format_time(row['at'])}  "
        f"{row['operator']}  {row['digest'][:12]}"
        for row in result["history"]
    ]
    output.show(result, json_output, "\n".join(lines))


@data_centre_app.command("out")
def data_centre_out(
    name: str,
    force: Annotated[
        bool,
        typer.Option(
            "--force",
            help="Proceed even if the remaining data centres may lack "
            "capacity.",
        ),
    ] = False,
    api: options.ApiOption = options.DEFAULT_API,
    token: options.TokenOption = "",
    json_output: options.JsonOption = False,
) -> None:
    """Send no new requests to a data centre."""
    _set_data_centre(
        name, core_const.DataCentreState.OUT, force, api, token, json_output
    )


@data_centre_app.command("in")
def data_centre_in(
    name: str,
    api: options.ApiOption = options.DEFAULT_API,
    token: options.TokenOption = "",
    json_output: options.JsonOption = False,
) -> None:
    """Send requests to a data centre again."""
    state = core_const.DataCentreState.IN_SERVICE
    _set_data_centre(name, state, False, api, token, json_output)


@data_centre_app.command("status")
def data_centre_status(
    api: options.ApiOption = options.DEFAULT_API,
    token: options.TokenOption = "",
    json_output: options.JsonOption = False,
) -> None:
    """Show the state of each data centre."""
    document = client_module.ApiClient(api, token).get("/v1/data-centres")
    lines = [
        f"{row['name']:<24} {row['state']:<12} "
        f"{output.format_time(row['since'])}"
        for row in document["data_centres"]
    ]
    output.show(document, json_output, "\n".join(lines))


@held_app.command("list")
def held_list(
    api: options.ApiOption = options.DEFAULT_API,
    token: options.TokenOption = "",
    json_output: options.JsonOption = False,
) -> None:
    """Show requests that are suspected of crashing backend servers."""
    document = client_module.ApiClient(api, token).get("/v1/held")
    lines = [
        f"{row['fingerprint']}  {row['crashes']} crashes  {row['route']}"
        for row in document["held"]
    ]
    output.show(document, json_output, "\n".join(lines) or "none")


@held_app.command("release")
def held_release(
    fingerprint: str,
    api: options.ApiOption = options.DEFAULT_API,
    token: options.TokenOption = "",
    json_output: options.JsonOption = False,
) -> None:
    """Accept requests with this fingerprint again."""
    client = client_module.ApiClient(api, token)
    document = client.delete(f"/v1/held/{fingerprint}")
    output.show(document, json_output, f"released {fingerprint}")


@app.command()
def hosts(
    api: options.ApiOption = options.DEFAULT_API,
    token: options.TokenOption = "",
    json_output: options.JsonOption = False,
) -> None:
    """Show daemons and backend servers with their routing state."""
    document = client_module.ApiClient(api, token).get("/v1/hosts")
    output.show(document, json_output, output.describe_hosts(document))


@app.command()
def timeline(
    since: Annotated[
        float, typer.Option(help="Seconds to look back; 0: all.")
    ] = 0.0,
    kind: Annotated[str, typer.Option(help="Only events of this kind.")] = "",
    request: Annotated[
        str, typer.Option(help="Only events about this request or name.")
    ] = "",
    api: options.ApiOption = options.DEFAULT_API,
    token: options.TokenOption = "",
    json_output: options.JsonOption = False,
) -> None:
    """Show the events of all daemons in order of time."""
    client = client_module.ApiClient(api, token)
    events, missing = output.collect_events(client, token, since, kind)
    if request:
        events = [
            event
            for event in events
            if request in (event["subject"], event["detail"])
        ]
    lines = [output.describe_event(event) for event in events]
    lines.extend(f"(no answer from {name})" for name in missing)
    document = {"events": events, "missing": missing}
    output.show(document, json_output, "\n".join(lines))


@app.command()
def replay(
    traces: Annotated[
        list[pathlib.Path],
        typer.Argument(help="Trace files with one JSON document per line."),
    ],
    json_output: options.JsonOption = False,
) -> None:
    """Replay recorded messages and compare the outcomes with the trace."""
    results = {}
    lines = []
    for path in traces:
        differences = replay_module.TraceReplayer().run(read_trace(path))
        results[str(path)] = [
            attrs.asdict(difference) for difference in differences
        ]
        lines.append(f"{path}: {'differs' if differences else 'as stated'}")
        lines.extend(
            f"  line {difference.number}: stated {difference.stated}, "
            f"found {difference.found}"
            for difference in differences
        )
    output.show(results, json_output, "\n".join(lines))
    if any(results.values()):
        raise typer.Exit(EXIT_ERROR)


@app.command()
def reference() -> None:
    """Print the reference page of settings and configuration."""
    print(reference_module.render(), end="")


def check_files(files: list[pathlib.Path]) -> list[exceptions.Problem]:
    """Return all errors of settings files, or of a base file and overlays."""
    try:
        if config.CONF_SERVICES in _read_top_level(files[0]):
            config.check_bundle(read_bundle(files[0], files[1:]))
            return []
    except exceptions.InvalidDocument as error:
        return error.problems
    problems = []
    for file in files:
        try:
            settings.load(file)
        except exceptions.InvalidDocument as error:
            problems.extend(error.problems)
    return problems


def read_bundle(
    base: pathlib.Path, overlays: list[pathlib.Path]
) -> config.Bundle:
    """Read a base file and its overlays, named after their data centres."""
    jsonc.read(base)
    texts = {}
    for path in overlays:
        name = path.name.partition(".")[0]
        texts[name] = jsonc.read_text(path)
    return config.Bundle(jsonc.read_text(base), texts)


def read_trace(path: pathlib.Path) -> list[Any]:
    """Return the steps of a trace, or raise InvalidDocument."""
    steps = []
    problems = []
    for number, line in enumerate(jsonc.read_text(path).splitlines(), 1):
        try:
            if line:
                steps.append(json.loads(line))
        except ValueError as error:
            place = f"line {number}"
            problems.append(
                exceptions.Problem(str(path), place, f"not JSON: {error}")
            )
    if problems:
        raise exceptions.InvalidDocument(problems)
    return steps


def main() -> None:
    """Run a command and exit with the status of the error, if any."""
    try:
        app()
    except exceptions.InvalidDocument as error:
        output.exit_with_error(error, EXIT_INVALID)
    except client_module.ApiUnreachable as error:
        output.exit_with_error(error, EXIT_UNREACHABLE)
    except client_module.ApiError as error:
        output.exit_with_error(error, _exit_status(error))
    except exceptions.TarragonliftError as error:
        output.exit_with_error(error, EXIT_ERROR)


def _set_data_centre(
    name: str,
    state: core_const.DataCentreState,
    force: bool,
    api: str,
    token: str,
    json_output: bool,
) -> None:
    """Change the state of a data centre and print the result."""
    client = client_module.ApiClient(api, token)
    versions = {
        row["name"]: row["version"]
        for row in client.get("/v1/data-centres")["data_centres"]
    }
    body = {
        "state": state.value,
        "if_version": versions.get(name, 0),
        "force": force,
    }
    document = client.wait_for_result(
        client.put(f"/v1/data-centres/{name}", body)
    )
    in_force = document["in_force"]
    text = (
        f"{name}: {document['state']}; in force on {in_force['confirmed']} of "
        f"{in_force['daemons']} daemons"
    )
    if in_force["behind"]:
        text += "; not yet on " + ", ".join(in_force["behind"])
    if not in_force["in_table"]:
        text += "; not yet in the platform's table"
    output.show(document, json_output, text)


def _read_top_level(path: pathlib.Path) -> Any:
    """Read a document; return an empty dictionary unless it is an object."""
    document = jsonc.read(path)
    return document if isinstance(document, dict) else {}


def _exit_status(error: client_module.ApiError) -> int:
    """Return the exit status for an error response of the API."""
    name = error.document.get("error")
    if name == exceptions.InvalidDocument.__name__:
        return EXIT_INVALID
    if name == exceptions.ConfigurationConflict.__name__:
        return EXIT_CONFLICT
    return EXIT_ERROR
