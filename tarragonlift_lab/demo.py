"""An end-to-end run under load: data-centre move and graceful stop."""

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
# Shares of the run after which a data centre is taken out of service and put
# back, and after which a daemon is stopped.
OUT_AFTER_SHARE = 0.3
BACK_AFTER_SHARE = 0.55
STOP_AFTER_SHARE = 0.7
# Time after which a data centre out of service may get no new requests.
MAX_OUT_DELAY_S = 2.0
# Time in which a pushed configuration must be in force on every daemon.
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
    """The figures of a demo and the promises that were broken."""

    figures: dict[str, Any]
    violations: list[str]
    errors: dict[str, int]
    service_by_second: dict[str, Any]


@attrs.define
class Site:
    """All processes of a simulated site."""

    processes: processes_module.TrialProcesses
    platform: str
    servers: dict[tuple[str, str], list[str]]
    daemons: list[processes_module.Process]
    reference: list[str]

    def create_api_client(self, number: int = 0) -> api_client.ApiClient:
        """Create a client of a daemon's administration API."""
        address = self.daemons[number].addresses["admin"]
        return api_client.ApiClient(address, processes_module.API_TOKEN)

    def server_addresses(self) -> list[str]:
        """Return the addresses of all backend servers."""
        return [
            address
            for addresses in self.servers.values()
            for address in addresses
        ]

    def entry_addresses(self) -> list[str]:
        """Return the addresses on which the daemons accept callers."""
        return [daemon.addresses["listen"] for daemon in self.daemons]


def run(seconds: float, rate: float, seed: int) -> Report:
    """Run the demo and return its report."""
    # SIGTERM from a supervisor must also stop the child processes.
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
    """Start the platform, backend servers and daemons.

    ``changes`` override the settings of every daemon.
    """
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
        peers = [daemon.addresses["peer"] for daemon in daemons]
        daemons.append(
            trial_processes.start_daemon(
                f"entry-{number}", data_centre, address, peers, **changes
            )
        )
    # Direct calls, the reference for latency, have servers of their own.
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
    """Send a control document to a stand-in and return its state."""
    client = http.Client()
    data = http.encode_request(
        "POST", "/.control", body=json.dumps(document).encode()
    )
    answer = await client.request(address, data)
    client.close()
    state: dict[str, Any] = json.loads(answer.body)
    return state


async def publish_hosts(site: Site) -> None:
    """Publish all backend servers in the platform's list of hosts."""
    hosts = [
        {
            "service": service,
            "data_centre": data_centre,
            "address": address,
            "state": "live",
        }
        for (data_centre, service), addresses in site.servers.items()
        for address in addresses
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
    """Wait until every daemon is ready; raises NotReady on a timeout."""
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
    """Run the load with its events and return the report."""
    await publish_hosts(site)
    await push_configuration(site)
    await wait_ready(site)
    profile = load_module.LoadProfile(rate=rate, direct_share=0.2)
    generator = load_module.LoadGenerator(
        profile, site.entry_addresses(), site.reference, seed
    )
    running = asyncio.ensure_future(generator.run(seconds))
    measurements: dict[str, Any] = {}
    await _move_data_centre(site, seconds, measurements)
    measurements["config_in_force_s"] = await asyncio.to_thread(
        _push_again, site
    )
    await _stop_daemon(site, generator, seconds, measurements)
    result = await running
    measurements["errors_logged"] = site.processes.count_logged_errors()
    measurements["rss_mb"] = {
        daemon.name: round(daemon.read_memory_mb()["rss"], 1)
        for daemon in site.daemons
        if daemon.popen.poll() is None
    }
    ledgers = [
        await send_control(address, {}) for address in site.server_addresses()
    ]
    return _summarize(result, ledgers, measurements)


async def _move_data_centre(
    site: Site, seconds: float, measurements: dict[str, Any]
) -> None:
    """Take a data centre out of service and put it back."""
    name = DATA_CENTRES[1]
    await asyncio.sleep(seconds * OUT_AFTER_SHARE)
    out_at = time.time()
    path = f"/v1/data-centres/{name}"
    body = {"state": "out", "if_version": 0}
    await asyncio.to_thread(site.create_api_client().put, path, body)
    moved_servers = [
        address
        for (data_centre, _), addresses in site.servers.items()
        if data_centre == name
        for address in addresses
    ]
    last_request_at = out_at
    give_up_at = out_at + seconds * (BACK_AFTER_SHARE - OUT_AFTER_SHARE)
    while time.time() < give_up_at:
        if await asyncio.to_thread(_has_new_requests, site, moved_servers):
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
    """Push a change; return the seconds until all daemons apply it."""
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


def _has_new_requests(site: Site, addresses: list[str]) -> bool:
    """Return whether a daemon started new attempts on these servers."""
    has_new_requests = False
    for number in range(len(site.daemons)):
        document = site.create_api_client(number).get("/v1/hosts")
        for server in document["backend_servers"]:
            if server["address"] not in addresses:
                continue
            name = f"{number} {server['address']}"
            if server["started"] != _STARTED_COUNTS.get(
                name, server["started"]
            ):
                has_new_requests = True
            _STARTED_COUNTS[name] = server["started"]
    return has_new_requests


async def _stop_daemon(
    site: Site,
    generator: load_module.LoadGenerator,
    seconds: float,
    measurements: dict[str, Any],
) -> None:
    """Stop one daemon gracefully while it is loaded."""
    await asyncio.sleep(seconds * (STOP_AFTER_SHARE - BACK_AFTER_SHARE))
    daemon = site.daemons[-1]
    truncated_before = generator.result.truncated
    daemon.send_signal()
    # The front balancer sees that the daemon is not ready and moves callers
    # to the others.
    await asyncio.sleep(0.3)
    generator.entry_addresses = site.entry_addresses()[:-1]
    status = await asyncio.to_thread(daemon.wait, STOP_TIMEOUT_S)
    measurements["stop_status"] = status
    measurements["cut_by_shutdown"] = (
        generator.result.truncated - truncated_before
    )
    site.daemons.pop()


def _summarize(
    result: load_module.LoadResult,
    ledgers: list[dict[str, Any]],
    measurements: dict[str, Any],
) -> Report:
    """Return the figures and the promises that were broken."""
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
            for path, acknowledged in result.acknowledged_uploads.items()
            if uploads.get(path) != acknowledged
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
    """Return the 99th percentile of lookups in ms for each second."""
    p99_ms = []
    for second in sorted(result.lookup_latencies_by_second):
        values = sorted(result.lookup_latencies_by_second[second])
        p99_ms.append(round(values[int(len(values) * 0.99)] * 1000, 1))
    return p99_ms


def _compute_quantiles(
    result: load_module.LoadResult,
) -> dict[str, dict[str, float]]:
    """Return quantiles in ms for each kind of call."""
    return {
        name: {
            label: round(result.quantile_ms(name, percent), 3)
            for label, percent in (("p50", 50), ("p99", 99), ("p999", 99.9))
        }
        for name in sorted(result.latency_histograms)
    }


def format_report(report: Report) -> str:
    """Format the report as text."""
    lines = ["tarragonlift demo"]
    for name, value in report.figures.items():
        lines.append(f"  {name:<22} {value}")
    for name, count in sorted(report.errors.items()):
        lines.append(f"  error: {name:<15} {count}")
    if report.violations:
        lines.append("promises broken: " + ", ".join(report.violations))
    else:
        lines.append("every promise held")
    return "\n".join(lines)


def _on_terminate(number: int, frame: object) -> None:
    """Turn a signal into an exception, so that all processes are stopped."""
    raise KeyboardInterrupt
