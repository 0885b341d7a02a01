"""How the commands show what they found."""

from __future__ import annotations

import datetime
import json
import sys
import time
from typing import Any
from typing import NoReturn

from tarragonlift.cli import client as client_module

IN_FORCE_SECONDS = 7.0
IN_FORCE_POLL_SECONDS = 0.1


def show(document: Any, json_output: bool, text: str) -> None:
    """Print a document as JSON or as text."""
    print(json.dumps(document, indent=2) if json_output else text)


def fail(error: Exception, status: int) -> NoReturn:
    """Print an error and end with the exit status."""
    print(error, file=sys.stderr)
    sys.exit(status)


def format_time(seconds: float | None) -> str:
    """Return a wall clock time as text."""
    if seconds is None:
        return "-"
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


def describe_config(document: dict[str, Any]) -> str:
    """Return the configuration as text."""
    force = document["in_force"]
    lines = [
        f"version {document['version']}, digest {document['digest'][:12]}",
        f"in force on {force['confirmed']} of {force['daemons']} daemons",
    ]
    if force["behind"]:
        lines.append("not yet on " + ", ".join(force["behind"]))
    lines.append("--- base")
    lines.append(document["base"] or "(none)")
    for name, text in sorted(document["overlays"].items()):
        lines.append(f"--- overlay {name}")
        lines.append(text)
    return "\n".join(lines)


def describe_hosts(document: dict[str, Any]) -> str:
    """Return daemons and backend servers as text."""
    lines = ["daemons:"]
    for one in document["daemons"]:
        state = "alive" if one["alive"] else "gone"
        lines.append(
            f"  {one['daemon']:<16} {one['data_centre']:<16} {state:<6} "
            f"version {one['version']}  api {one['admin']}"
        )
    lines.append("backend servers:")
    for one in document["backend_servers"]:
        states = [one["warmth"]]
        if one["warmth"] != "warm":
            states.append(f"warmed by {one['warmer']}")
        for key in ("leaving", "data_centre_out", "set_aside"):
            if one[key]:
                states.append(key.replace("_", " "))
        lines.append(
            f"  {one['service']:<12} {one['address']:<21} "
            f"{one['data_centre']:<16} {one['in_flight']:>3} of "
            f"{one['share']:<3} {one['latency_ms']:>8} ms  "
            + ", ".join(states)
        )
    return "\n".join(lines)


def describe_event(event: dict[str, Any]) -> str:
    """Return an event as a line."""
    return (
        f"{format_time(event['wall_ms'] / 1000)}+{event['counter']:<3} "
        f"{event['daemon']:<14} {event['kind']:<22} {event['subject']} "
        f"{event['detail']}"
    )


def wait_until_in_force(
    daemon: client_module.ApiClient, version: int
) -> dict[str, Any]:
    """Return the configuration once it is in force, or after a while."""
    until = time.monotonic() + IN_FORCE_SECONDS
    while True:
        document: dict[str, Any] = daemon.get("/v1/configuration")
        in_force = (
            document["version"] >= version
            and not document["in_force"]["behind"]
        )
        if in_force or time.monotonic() > until:
            return document
        time.sleep(IN_FORCE_POLL_SECONDS)


def collect_events(
    daemon: client_module.ApiClient, token: str, since: float, kind: str
) -> tuple[list[dict[str, Any]], list[str]]:
    """Return the events of all daemons in order, and who did not answer."""
    since_ms = int((time.time() - since) * 1000) if since else 0
    events: list[dict[str, Any]] = []
    missing = []
    for one in daemon.get("/v1/hosts")["daemons"]:
        peer = client_module.ApiClient(one["admin"], token)
        try:
            document = peer.get("/v1/timeline", since_ms=since_ms, kind=kind)
        except client_module.ApiUnreachable:
            missing.append(one["daemon"])
            continue
        events.extend(document["events"])
    events.sort(key=lambda one: (one["wall_ms"], one["counter"]))
    return events, missing
