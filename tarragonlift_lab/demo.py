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
DAEMON_COUNT = 3
OUT_AFTER_SHARE = 0.3
BACK_AFTER_SHARE = 0.55
STOP_AFTER_SHARE = 0.7
MAX_OUT_DELAY_S = 2.0
MAX_CONFIG_DELAY_S = 7.0
STOP_TIMEOUT_S = 20.0
READY_TIMEOUT_S = 10.0

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
    violations: list[str]
    errors: dict[str, int]
    service_by_second: dict[str, Any]


@attrs.define
class Site:
    """All processes of the demo."""

    processes: processes_module.TrialProcesses
    platform: str
    servers: dict[tuple[str, str], list[str]]
    daemons: list[processes_module.Process]
    reference: list[str]

    def create_api_client(self, number: int = 0) -> api_client.ApiClient:
        """Return a client of a daemon's administration API."""
        address = self.daemons[number].addresses["admin"]
        return api_client.ApiClient(address, processes_module.API_TOKEN)

    def server_addresses(self) -> list[str]:
        """Return the addresses of all backend servers."""
        return [one for group in self.servers.values() for one in group]

    def entry_addresses(self) -> list[str]:
        """Return where callers connect."""
        return [one.addresses["listen"] for one in self.daemons]


def run(seconds: float, rate: float, seed: int) -> Report:
    """Run the demo and return its report."""
    # A supervisor's SIGTERM ends the processes too.
    signal.signal(signal.SIGTERM, _on_terminate)
    with tempfile.TemporaryDirectory(prefix="tarragonlift-") as folder:
        trial_processes = processes_module.TrialProcesses(pathlib.Path(folder))
        try:
            site = start_site(trial_processes, seed)
            return asyncio.run(_run_trial(site, seconds, rate, seed))
        finally:
            trial_processes.kill_all()


def start_site(
    trial_processes: processes_module.TrialProcesses, seed: int, **changes: Any
) -> Site:
    """Start platform, backend servers and daemons."""
    platform = trial_processes.start_lab_process("platform", "platform")
    address = platform.addresses["address"]
    servers = {}
    for data_centre in DATA_CENTRES:
        for service, count in SERVERS_PER_DATA_CENTRE.items():
            name = f"{service}-{data_centre}"
            process = trial_processes.start_lab_process(
                name,
                "servers",
                *("--name", name, "--count", str(count)),
                *("--seed", str(seed + len(servers))),
            )
            servers[data_centre, service] = process.addresses["addresses"]
    daemons: list[processes_module.Process] = []
    for number in range(DAEMON_COUNT):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        peers = [one.addresses["peer"] for one in daemons]
        daemons.append(
            trial_processes.start_daemon(
                f"entry-{number}", data_centre, address, peers, **changes
            )
        )
    # Servers of their own for the direct calls that serve as comparison.
    reference = trial_processes.start_lab_process(
        "reference",
        "servers",
        *("--name", "reference", "--starts-warm"),
        *("--count", str(SERVERS_PER_DATA_CENTRE["ordering"])),
    )
    return Site(
        trial_processes,
        address,
        servers,
        daemons,
        reference.addresses["addresses"],
    )


async def send_control(
    address: str, document: dict[str, Any]
) -> dict[str, Any]:
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
            "data_centre": data_centre,
            "address": address,
            "state": "live",
        }
        for (data_centre, service), group in site.servers.items()
        for address in group
    ]
    await send_control(site.platform, {"hosts": hosts})


async def push_configuration(
    site: Site,
    base: str = BASE,
    overlays: dict[str, str] = OVERLAYS,
) -> int:
    """Push base and overlays through one daemon; return the version."""
    api = site.create_api_client()
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
    give_up_at = time.monotonic() + READY_TIMEOUT_S
    for address in site.entry_addresses():
        while (await client.request(address, data)).status != 200:
            if time.monotonic() > give_up_at:
                raise processes_module.NotReady(address)
            await asyncio.sleep(0.05)
    client.close()


async def _run_trial(
    site: Site, seconds: float, rate: float, seed: int
) -> Report:
    """Load the site while things happen."""
    await publish_hosts(site)
    await push_configuration(site)
    await wait_ready(site)
    profile = load_module.LoadProfile(rate=rate, direct_share=0.2)
    load = load_module.LoadGenerator(
        profile, site.entry_addresses(), site.reference, seed
    )
    running = asyncio.ensure_future(load.run(seconds))
    measurements: dict[str, Any] = {}
    await _move_data_centre(site, seconds, measurements)
    measurements["config_in_force_s"] = await asyncio.to_thread(
        _push_again, site
    )
    await _stop_daemon(site, load, seconds, measurements)
    result = await running
    measurements["errors_logged"] = site.processes.count_logged_errors()
    measurements["rss_mb"] = {
        one.name: round(one.read_memory_mb()["rss"], 1)
        for one in site.daemons
        if one.popen.poll() is None
    }
    ledgers = [await send_control(one, {}) for one in site.server_addresses()]
    return _summarize(result, ledgers, measurements)


async def _move_data_centre(
    site: Site, seconds: float, measurements: dict[str, Any]
) -> None:
    """Take a data centre out and back."""
    name = DATA_CENTRES[1]
    await asyncio.sleep(seconds * OUT_AFTER_SHARE)
    out_at = time.time()
    path = f"/v1/data-centres/{name}"
    body = {"state": "out", "if_version": 0}
    await asyncio.to_thread(site.create_api_client().put, path, body)
    group = [
        address
        for (data_centre, _), found in site.servers.items()
        if data_centre == name
        for address in found
    ]
    last_request_at = out_at
    give_up_at = out_at + seconds * (BACK_AFTER_SHARE - OUT_AFTER_SHARE)
    while time.time() < give_up_at:
        if await asyncio.to_thread(_has_new_requests, site, group):
            last_request_at = time.time()
        await asyncio.sleep(0.05)
    measurements["new_work_after_out_s"] = round(last_request_at - out_at, 3)
    measurements["marks"] = {
        "out": seconds * OUT_AFTER_SHARE,
        "back": seconds * BACK_AFTER_SHARE,
        "stop": seconds * STOP_AFTER_SHARE,
    }
    body = {"state": "in-service", "if_version": 1}
    await asyncio.to_thread(site.create_api_client().put, path, body)


def _push_again(site: Site) -> float:
    """Push a change; return the seconds until it is in force everywhere."""
    api = site.create_api_client(1)
    body = {
        "push": "demo-push-again",
        "if_version": 1,
        "base": BASE.replace('"queue_length": 256', '"queue_length": 257'),
        "overlays": OVERLAYS,
    }
    started_at = time.monotonic()
    result = api.wait_for_result(api.post("/v1/configuration", body))
    output.wait_until_in_force(api, result["version"])
    return round(time.monotonic() - started_at, 3)


_STARTED_COUNTS: dict[str, int] = {}


def _has_new_requests(site: Site, group: list[str]) -> bool:
    """Return whether any daemon began work on these servers lately."""
    found = False
    for number in range(len(site.daemons)):
        document = site.create_api_client(number).get("/v1/hosts")
        for one in document["backend_servers"]:
            if one["address"] not in group:
                continue
            name = f"{number} {one['address']}"
            if one["started"] != _STARTED_COUNTS.get(name, one["started"]):
                found = True
            _STARTED_COUNTS[name] = one["started"]
    return found


async def _stop_daemon(
    site: Site,
    load: load_module.LoadGenerator,
    seconds: float,
    measurements: dict[str, Any],
) -> None:
    """Stop one daemon gracefully while it is loaded."""
    await asyncio.sleep(seconds * (STOP_AFTER_SHARE - BACK_AFTER_SHARE))
    stopped = site.daemons[-1]
    truncated_before = load.result.truncated
    stopped.send_signal()
    # The balancer in front sees 'not ready' and sends callers elsewhere.
    await asyncio.sleep(0.3)
    load.entry_addresses = site.entry_addresses()[:-1]
    status = await asyncio.to_thread(stopped.wait, STOP_TIMEOUT_S)
    measurements["stop_status"] = status
    measurements["cut_by_shutdown"] = load.result.truncated - truncated_before
    site.daemons.pop()


def _summarize(
    result: load_module.LoadResult,
    ledgers: list[dict[str, Any]],
    measurements: dict[str, Any],
) -> Report:
    """Return the figures and which promises fell."""
    runs: collections.Counter[str] = collections.Counter()
    uploads: dict[str, list[object]] = {}
    for ledger in ledgers:
        runs.update(ledger["runs"])
        uploads.update(ledger["uploads"])
    reported_not_run = set(result.reported_not_run)
    figures = {
        "calls": result.calls,
        "failed": result.failed,
        "mismatched": result.mismatched,
        "run_twice": sum(1 for count in runs.values() if count > 1),
        "told_not_run_but_ran": sum(
            1 for key in reported_not_run if runs[key]
        ),
        "uploads": len(result.acknowledged_uploads),
        "uploads_lost": sum(
            1
            for path, known in result.acknowledged_uploads.items()
            if uploads.get(path) != known
        ),
        "collapses": sum(ledger["collapses"] for ledger in ledgers),
        "latency_ms": _compute_quantiles(result),
        "lookup_p99_ms_by_second": _compute_p99_by_second(result),
        "added_latency_ms": {
            name: round(
                result.quantile_ms("lookup", percent)
                - result.quantile_ms("direct", percent),
                3,
            )
            for name, percent in (("p50", 50), ("p99", 99))
        },
        **{
            name: value
            for name, value in measurements.items()
            if name != "marks"
        },
    }
    zero_figures = (
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
    violations = [name for name in zero_figures if figures[name] != 0]
    if figures["config_in_force_s"] > MAX_CONFIG_DELAY_S:
        violations.append("config_in_force_s")
    if figures["new_work_after_out_s"] > MAX_OUT_DELAY_S:
        violations.append("new_work_after_out_s")
    service = {
        "second": sorted(result.lookup_latencies_by_second),
        "p99_ms": _compute_p99_by_second(result),
        "failed": [
            result.failures_by_second.get(second, 0)
            for second in sorted(result.lookup_latencies_by_second)
        ],
        "marks": measurements.pop("marks"),
    }
    return Report(figures, violations, result.errors, service)


def _compute_p99_by_second(result: load_module.LoadResult) -> list[float]:
    """Return the 99th percentile of lookups, second by second."""
    found = []
    for second in sorted(result.lookup_latencies_by_second):
        values = sorted(result.lookup_latencies_by_second[second])
        found.append(round(values[int(len(values) * 0.99)] * 1000, 1))
    return found


def _compute_quantiles(
    result: load_module.LoadResult,
) -> dict[str, dict[str, float]]:
    """Return quantiles for each kind of call."""
    return {
        name: {
            label: round(result.quantile_ms(name, percent), 3)
            for label, percent in (("p50", 50), ("p99", 99), ("p999", 99.9))
        }
        for name in sorted(result.latency_histograms)
    }


def format_report(report: Report) -> str:
    """Return the report as text."""
    lines = ["tarragonlift demo"]
    for name, value in report.figures.items():
        lines.append(f"  {name:<22} {value}")
    for name, count in sorted(report.errors.items()):
        lines.append(f"  error: {name:<15} {count}")
    if report.violations:
        lines.append("promises that fell: " + ", ".join(report.violations))
    else:
        lines.append("every promise held")
    return "\n".join(lines)


def _on_terminate(number: int, frame: object) -> None:
    """Turn a signal into an exception, so that everything is ended."""
    raise KeyboardInterrupt
