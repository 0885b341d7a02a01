"""Output of the commands, as JSON or as text."""

from __future__ import annotations

import datetime
import json
import sys
import time
from typing import Any
from typing import NoReturn

from tarragonlift.cli import client as client_module

IN_FORCE_TIMEOUT_S = 7.0
IN_FORCE_POLL_INTERVAL_S = 0.1


def show(document: Any, json_output: bool, text: str) -> None:
    """Print a document as JSON or as text."""
    print(json.dumps(document, indent=2) if json_output else text)


def exit_with_error(error: Exception, status: int) -> NoReturn:
    """Print an error to stderr and exit with the status."""
    print(error, file=sys.stderr)
    sys.exit(status)


def format_time(seconds: float | None) -> str:
    """Format a Unix time in seconds as UTC with milliseconds."""
    if seconds is None:
        return "-"
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


def describe_config(document: dict[str, Any]) -> str:
    """Format a configuration document as text."""
    in_force = document["in_force"]
    lines = [
        f"version {document['version']}, digest {document['digest'][:12]}",
        f"in force on {in_force['confirmed']} of "
        f"{in_force['daemons']} daemons",
    ]
    if in_force["behind"]:
        lines.append("not yet on " + ", ".join(in_force["behind"]))
    lines.append("--- base")
    lines.append(document["base"] or "(none)")
    for name, text in sorted(document["overlays"].items()):
        lines.append(f"--- overlay {name}")
        lines.append(text)
    return "\n".join(lines)


def describe_hosts(document: dict[str, Any]) -> str:
    """Format the lists of daemons and backend servers as text."""
    lines = ["daemons:"]
    for daemon in document["daemons"]:
        state = "alive" if daemon["alive"] else "gone"
        lines.append(
            f"  {daemon['daemon']:<16} {daemon['data_centre']:<16} "
            f"{state:<6} version {daemon['version']}  "
            f"api {daemon['admin']}"
        )
    lines.append("backend servers:")
    for server in document["backend_servers"]:
        states = [server["warmth"]]
        if server["warmth"] != "warm":
            states.append(f"warmed by {server['warmer']}")
        for key in ("leaving", "data_centre_out", "set_aside"):
            if server[key]:
                states.append(key.replace("_", " "))
        lines.append(
            f"  {server['service']:<12} {server['address']:<21} "
            f"{server['data_centre']:<16} {server['in_flight']:>3} of "
            f"{server['share']:<3} {server['latency_ms']:>8} ms  "
            + ", ".join(states)
        )
    return "\n".join(lines)


def describe_event(event: dict[str, Any]) -> str:
    """Format a timeline event as one line of text."""
    return (
        f"{format_time(event['wall_ms'] / 1000)}+{event['counter']:<3} "
        f"{event['daemon']:<14} {event['kind']:<22} {event['subject']} "
        f"{event['detail']}"
    )


def wait_until_in_force(
    client: client_module.ApiClient, version: int
) -> dict[str, Any]:
    """Poll until a version is in force on all live daemons.

    Returns the configuration document, also after ``IN_FORCE_TIMEOUT_S`` when
    some daemons still lack the version.
    """
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_S
    while True:
        document: dict[str, Any] = client.get("/v1/configuration")
        is_in_force = (
            document["version"] >= version
            and not document["in_force"]["behind"]
        )
        if is_in_force or time.monotonic() > deadline:
            return document
        time.sleep(IN_FORCE_POLL_INTERVAL_S)


def collect_events(
    client: client_module.ApiClient, token: str, since: float, kind: str
) -> tuple[list[dict[str, Any]], list[str]]:
    """Return the events of all daemons by time and the unreachable daemons."""
    since_ms = int((time.time() - since) * 1000) if since else 0
    events: list[dict[str, Any]] = []
    missing = []
    for daemon in client.get("/v1/hosts")["daemons"]:
        peer = client_module.ApiClient(daemon["admin"], token)
        try:
            document = peer.get("/v1/timeline", since_ms=since_ms, kind=kind)
        except client_module.ApiUnreachable:
            missing.append(daemon["daemon"])
            continue
        events.extend(document["events"])
    events.sort(key=lambda event: (event["wall_ms"], event["counter"]))
    return events, missing
