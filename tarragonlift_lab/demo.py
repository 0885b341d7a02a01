"""The whole path under load, with a data-centre move and a graceful stop."""

from __future__ import annotations

import asyncio
import collections
import json
import pathlib
import signal
import tempfile
import time
from typing import Any

import attrs

from tarragonlift.cli import client as api_client
from tarragonlift.cli import output
from tarragonlift_lab import http
from tarragonlift_lab import load as load_module
from tarragonlift_lab import processes as processes_module

DATA_CENTRES = ("plovdiv", "haskovo")
SERVERS_PER_DATA_CENTRE = {"ordering": 3, "photos": 1}
DAEMONS = 3
OUT_AFTER_SHARE = 0.3
BACK_AFTER_SHARE = 0.55
STOP_AFTER_SHARE = 0.7
OUT_GRACE_S = 2.0
IN_FORCE_S = 7.0
STOP_WAIT_S = 20.0
READY_WAIT_S = 10.0

BASE = """// What every site shares.
{
  "data_centres": ["plovdiv", "haskovo"],
  "services": {
    "ordering": {
      "path_prefix": "/",
      "limit": 12,
      "slots": 6,
      "cold_limit": 2,
      "warm_after": 60,
      "caller_header": "Caller",
      "queue_length": 256,
      // Orders run once; everything else may be sent again.
      "rules": [
        {"methods": ["POST"], "path_prefix": "/orders", "run": "once"}
      ]
    },
    "photos": {
      "path_prefix": "/photos",
      "limit": 12,
      "cold_limit": 2,
      "warm_after": 60,
      "deadline_ms": 30000
    }
  }
}
"""
OVERLAYS = {
    "haskovo": '{"services": {"ordering": {"queue_length": 512}}}\n',
}


@attrs.define
class Report:
    """The figures of a demo, and which promises fell."""

    figures: dict[str, Any]
    broken: list[str]
    errors: dict[str, int]
    service: dict[str, Any]


@attrs.define
class Site:
    """All processes of the demo."""

    processes: processes_module.Processes
    platform: str
    servers: dict[tuple[str, str], list[str]]
    daemons: list[processes_module.Process]
    reference: list[str]

    def api(self, number: int = 0) -> api_client.ApiClient:
        """Return a client of a daemon's administration API."""
        address = self.daemons[number].addresses["admin"]
        return api_client.ApiClient(address, processes_module.TOKEN)

    def all_servers(self) -> list[str]:
        """Return the addresses of all backend servers."""
        return [one for group in self.servers.values() for one in group]

    def entry_addresses(self) -> list[str]:
        """Return where callers connect."""
        return [one.addresses["listen"] for one in self.daemons]


def run(seconds: float, rate: float, seed: int) -> Report:
    """Run the demo and return its report."""
    # A supervisor's SIGTERM ends the processes too.
    signal.signal(signal.SIGTERM, _interrupt)
    with tempfile.TemporaryDirectory(prefix="tarragonlift-") as folder:
        started = processes_module.Processes(pathlib.Path(folder))
        try:
            site = start_site(started, seed)
            return asyncio.run(_trial(site, seconds, rate, seed))
        finally:
            started.end_all()


def start_site(
    started: processes_module.Processes, seed: int, **changes: Any
) -> Site:
    """Start platform, backend servers and daemons."""
    platform = started.start_lab("platform", "platform")
    address = platform.addresses["address"]
    servers = {}
    for place in DATA_CENTRES:
        for service, count in SERVERS_PER_DATA_CENTRE.items():
            name = f"{service}-{place}"
            process = started.start_lab(
                name,
                "servers",
                *("--name", name, "--count", str(count)),
                *("--seed", str(seed + len(servers))),
            )
            servers[place, service] = process.addresses["addresses"]
    daemons: list[processes_module.Process] = []
    for number in range(DAEMONS):
        place = DATA_CENTRES[number % len(DATA_CENTRES)]
        peers = [one.addresses["peer"] for one in daemons]
        daemons.append(
            started.start_daemon(
                f"entry-{number}", place, address, peers, **changes
            )
        )
    # Servers of their own for the direct calls that serve as comparison.
    reference = started.start_lab(
        "reference",
        "servers",
        *("--name", "reference", "--starts-warm"),
        *("--count", str(SERVERS_PER_DATA_CENTRE["ordering"])),
    )
    return Site(
        started, address, servers, daemons, reference.addresses["addresses"]
    )


async def control(address: str, document: dict[str, Any]) -> dict[str, Any]:
    """Change a stand-in and return what it tells."""
    client = http.Client()
    data = http.encode_request(
        "POST", "/.control", body=json.dumps(document).encode()
    )
    answer = await client.request(address, data)
    client.close()
    found: dict[str, Any] = json.loads(answer.body)
    return found


async def publish_hosts(site: Site) -> None:
    """Put all backend servers into the platform's list."""
    hosts = [
        {
            "service": service,
            "data_centre": place,
            "address": address,
            "state": "live",
        }
        for (place, service), group in site.servers.items()
        for address in group
    ]
    await control(site.platform, {"hosts": hosts})


async def push_configuration(
    site: Site,
    base: str = BASE,
    overlays: dict[str, str] = OVERLAYS,
) -> int:
    """Push base and overlays through one daemon; return the version."""
    api = site.api()
    body = {
        "push": "demo-push",
        "if_version": 0,
        "base": base,
        "overlays": overlays,
    }

    def push() -> dict[str, Any]:
        return api.wait_for_result(api.post("/v1/configuration", body))

    result = await asyncio.to_thread(push)
    return int(result["version"])


async def wait_ready(site: Site) -> None:
    """Wait until every daemon takes callers."""
    client = http.Client()
    data = http.encode_request("GET", "/.tarragonlift/ready")
    until = time.monotonic() + READY_WAIT_S
    for address in site.entry_addresses():
        while (await client.request(address, data)).status != 200:
            if time.monotonic() > until:
                raise processes_module.NotReady(address)
            await asyncio.sleep(0.05)
    client.close()


async def _trial(site: Site, seconds: float, rate: float, seed: int) -> Report:
    """Load the site while things happen."""
    await publish_hosts(site)
    await push_configuration(site)
    await wait_ready(site)
    mix = load_module.Mix(rate=rate, direct_share=0.2)
    load = load_module.Load(mix, site.entry_addresses(), site.reference, seed)
    running = asyncio.ensure_future(load.run(seconds))
    facts: dict[str, Any] = {}
    await _move_data_centre(site, seconds, facts)
    facts["config_in_force_s"] = await asyncio.to_thread(_push_again, site)
    await _stop_daemon(site, load, seconds, facts)
    result = await running
    facts["errors_logged"] = site.processes.errors_logged()
    facts["rss_mb"] = {
        one.name: round(one.memory_mb()["rss"], 1)
        for one in site.daemons
        if one.popen.poll() is None
    }
    ledgers = [await control(one, {}) for one in site.all_servers()]
    return _report(result, ledgers, facts)


async def _move_data_centre(
    site: Site, seconds: float, facts: dict[str, Any]
) -> None:
    """Take a data centre out and back."""
    name = DATA_CENTRES[1]
    await asyncio.sleep(seconds * OUT_AFTER_SHARE)
    out_at = time.time()
    path = f"/v1/data-centres/{name}"
    body = {"state": "out", "if_version": 0}
    await asyncio.to_thread(site.api().put, path, body)
    group = [
        address
        for (place, _), found in site.servers.items()
        if place == name
        for address in found
    ]
    last_seen = out_at
    until = out_at + seconds * (BACK_AFTER_SHARE - OUT_AFTER_SHARE)
    while time.time() < until:
        if await asyncio.to_thread(_has_new_work, site, group):
            last_seen = time.time()
        await asyncio.sleep(0.05)
    facts["new_work_after_out_s"] = round(last_seen - out_at, 3)
    facts["marks"] = {
        "out": seconds * OUT_AFTER_SHARE,
        "back": seconds * BACK_AFTER_SHARE,
        "stop": seconds * STOP_AFTER_SHARE,
    }
    body = {"state": "in-service", "if_version": 1}
    await asyncio.to_thread(site.api().put, path, body)


def _push_again(site: Site) -> float:
    """Push a change; return the seconds until it is in force everywhere."""
    api = site.api(1)
    body = {
        "push": "demo-push-again",
        "if_version": 1,
        "base": BASE.replace('"queue_length": 256', '"queue_length": 257'),
        "overlays": OVERLAYS,
    }
    started = time.monotonic()
    result = api.wait_for_result(api.post("/v1/configuration", body))
    output.wait_until_in_force(api, result["version"])
    return round(time.monotonic() - started, 3)


_ATTEMPTS: dict[str, int] = {}


def _has_new_work(site: Site, group: list[str]) -> bool:
    """Return whether any daemon began work on these servers lately."""
    found = False
    for number in range(len(site.daemons)):
        document = site.api(number).get("/v1/hosts")
        for one in document["backend_servers"]:
            if one["address"] not in group:
                continue
            name = f"{number} {one['address']}"
            if one["started"] != _ATTEMPTS.get(name, one["started"]):
                found = True
            _ATTEMPTS[name] = one["started"]
    return found


async def _stop_daemon(
    site: Site,
    load: load_module.Load,
    seconds: float,
    facts: dict[str, Any],
) -> None:
    """Stop one daemon gracefully while it is loaded."""
    await asyncio.sleep(seconds * (STOP_AFTER_SHARE - BACK_AFTER_SHARE))
    stopped = site.daemons[-1]
    cut_before = load.result.cut
    stopped.stop()
    # The balancer in front sees 'not ready' and sends callers elsewhere.
    await asyncio.sleep(0.3)
    load.entry_addresses = site.entry_addresses()[:-1]
    status = await asyncio.to_thread(stopped.wait, STOP_WAIT_S)
    facts["stop_status"] = status
    facts["cut_by_shutdown"] = load.result.cut - cut_before
    site.daemons.pop()


def _report(
    result: load_module.Result,
    ledgers: list[dict[str, Any]],
    facts: dict[str, Any],
) -> Report:
    """Return the figures and which promises fell."""
    runs: collections.Counter[str] = collections.Counter()
    uploads: dict[str, list[object]] = {}
    for ledger in ledgers:
        runs.update(ledger["runs"])
        uploads.update(ledger["uploads"])
    told = set(result.told_not_run)
    figures = {
        "calls": result.calls,
        "failed": result.failed,
        "mismatched": result.mismatched,
        "run_twice": sum(1 for count in runs.values() if count > 1),
        "told_not_run_but_ran": sum(1 for key in told if runs[key]),
        "uploads": len(result.acknowledged),
        "uploads_lost": sum(
            1
            for path, known in result.acknowledged.items()
            if uploads.get(path) != known
        ),
        "collapses": sum(ledger["collapses"] for ledger in ledgers),
        "latency_ms": _latencies(result),
        "lookup_p99_ms_by_second": _by_second(result),
        "added_latency_ms": {
            name: round(
                result.quantile_ms("lookup", percent)
                - result.quantile_ms("direct", percent),
                3,
            )
            for name, percent in (("p50", 50), ("p99", 99))
        },
        **{name: value for name, value in facts.items() if name != "marks"},
    }
    zero = (
        "failed",
        "mismatched",
        "run_twice",
        "told_not_run_but_ran",
        "uploads_lost",
        "cut_by_shutdown",
        "collapses",
        "errors_logged",
        "stop_status",
    )
    broken = [name for name in zero if figures[name] != 0]
    if figures["config_in_force_s"] > IN_FORCE_S:
        broken.append("config_in_force_s")
    if figures["new_work_after_out_s"] > OUT_GRACE_S:
        broken.append("new_work_after_out_s")
    service = {
        "second": sorted(result.seconds),
        "p99_ms": _by_second(result),
        "failed": [
            result.failures_at.get(second, 0)
            for second in sorted(result.seconds)
        ],
        "marks": facts.pop("marks"),
    }
    return Report(figures, broken, result.errors, service)


def _by_second(result: load_module.Result) -> list[float]:
    """Return the 99th percentile of lookups, second by second."""
    found = []
    for second in sorted(result.seconds):
        values = sorted(result.seconds[second])
        found.append(round(values[int(len(values) * 0.99)] * 1000, 1))
    return found


def _latencies(result: load_module.Result) -> dict[str, dict[str, float]]:
    """Return quantiles for each kind of call."""
    return {
        name: {
            label: round(result.quantile_ms(name, percent), 3)
            for label, percent in (("p50", 50), ("p99", 99), ("p999", 99.9))
        }
        for name in sorted(result.latency)
    }


def describe(report: Report) -> str:
    """Return the report as text."""
    lines = ["tarragonlift demo"]
    for name, value in report.figures.items():
        lines.append(f"  {name:<22} {value}")
    for name, count in sorted(report.errors.items()):
        lines.append(f"  error: {name:<15} {count}")
    if report.broken:
        lines.append("promises that fell: " + ", ".join(report.broken))
    else:
        lines.append("every promise held")
    return "\n".join(lines)


def _interrupt(number: int, frame: object) -> None:
    """Turn a signal into an exception, so that everything is ended."""
    raise KeyboardInterrupt
