"""Compare routing policies with real processes under load."""

from __future__ import annotations

import asyncio
import json
import pathlib
import tempfile
from typing import Any

import attrs

from tarragonlift.core import routing
from tarragonlift_lab import demo
from tarragonlift_lab import load as load_module
from tarragonlift_lab import processes as processes_module

DATA_CENTRES = ("one", "two", "three")
# Duration of the warm-up at half the load.
WARM_UP_S = 2.0
# Label of the direct calls, which give the lowest possible latency.
LABEL_FLOOR = "floor"
QUANTILES = (("p50", 50.0), ("p99", 99.0), ("p999", 99.9))


@attrs.frozen
class Case:
    """One trial: a policy, a load and the simulated site.

    Work and stall times are four times those of the users' servers (10 ms of
    work, stalls of 5 to 200 ms every 2 s), so that one machine can generate
    the load.
    """

    policy: str = routing.POLICY_LEAST_IN_FLIGHT
    load: float = 0.7
    seconds: float = 10.0
    seed: int = 1
    daemons: int = 6
    servers: int = 12
    slots: int = 4
    mean_ms: float = 40.0
    stall_every_s: float = 8.0
    stall_ms_least: float = 20.0
    stall_ms_most: float = 800.0
    orders: float = 0.2
    uploads: float = 0.0
    hedge_share: float = 0.05
    limit: int = 18
    queue_length: int = 64
    deadline_ms: int = 0
    flood_share: float = 0.0

    @property
    def capacity(self) -> float:
        """Return the calls per second that all servers can handle."""
        return self.servers * self.slots / (self.mean_ms / 1000)

    @property
    def is_baseline(self) -> bool:
        """Return whether the policy is a baseline of the comparison."""
        return self.policy != routing.POLICY_LEAST_IN_FLIGHT


def run_case(case: Case) -> dict[str, Any]:
    """Run one trial and return its figures."""
    with tempfile.TemporaryDirectory(prefix="tarragonlift-") as folder:
        trial_processes = processes_module.TrialProcesses(pathlib.Path(folder))
        try:
            site = start_site(trial_processes, case)
            return asyncio.run(_run_load(site, case))
        finally:
            trial_processes.kill_all()


def start_site(
    trial_processes: processes_module.TrialProcesses, case: Case
) -> demo.Site:
    """Start the platform, servers and daemons for a case."""
    platform = trial_processes.start_lab_process("platform", "platform")
    address = platform.addresses["address"]
    servers = {}
    for number, data_centre in enumerate(DATA_CENTRES):
        server_process = _start_servers(
            trial_processes,
            data_centre,
            case,
            case.servers // len(DATA_CENTRES),
            number,
        )
        servers[data_centre, "ordering"] = server_process.addresses[
            "addresses"
        ]
    daemons: list[processes_module.Process] = []
    for number in range(case.daemons):
        peers = [daemon.addresses["peer"] for daemon in daemons[:3]]
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        daemons.append(
            trial_processes.start_daemon(
                f"entry-{number}",
                data_centre,
                address,
                peers,
                policy=case.policy,
            )
        )
    case_without_stalls = attrs.evolve(case, stall_every_s=0.0)
    reference = _start_servers(
        trial_processes, "reference", case_without_stalls, 4, 9
    )
    return demo.Site(
        trial_processes,
        address,
        servers,
        daemons,
        reference.addresses["addresses"],
    )


def make_base_configuration(case: Case) -> str:
    """Return the base file of the configuration for a case."""
    service = {
        "path_prefix": "/",
        "limit": 1000 if case.is_baseline else case.limit,
        "slots": case.slots,
        "cold_limit": 2,
        "warm_after": 1,
        "hedge_share": 0.0 if case.is_baseline else case.hedge_share,
        "queue_length": case.queue_length,
        "caller_header": "Caller",
        "rules": [
            {"methods": ["POST"], "path_prefix": "/orders", "run": "once"}
        ],
    }
    document = {
        "data_centres": list(DATA_CENTRES),
        "services": {"ordering": service},
    }
    return json.dumps(document)


async def prepare_site(site: demo.Site, base: str) -> None:
    """Publish hosts and configuration; wait until the daemons are ready."""
    await demo.publish_hosts(site)
    await demo.push_configuration(site, base, {})
    await demo.wait_ready(site)


async def _run_load(site: demo.Site, case: Case) -> dict[str, Any]:
    """Warm up the site, then run the load and return its figures."""
    await prepare_site(site, make_base_configuration(case))
    rate = case.load * case.capacity
    profile = load_module.LoadProfile(
        rate=rate,
        order_share=case.orders,
        upload_share=case.uploads,
        direct_share=0.05,
        deadline_ms=case.deadline_ms,
        flood_share=case.flood_share,
    )
    warm_up_generator = load_module.LoadGenerator(
        attrs.evolve(profile, rate=rate / 2, direct_share=0.0),
        site.entry_addresses(),
        [],
        case.seed + 1,
    )
    await warm_up_generator.run(WARM_UP_S)
    before = _read_counters(site)
    generator = load_module.LoadGenerator(
        profile, site.entry_addresses(), site.reference, case.seed
    )
    result = await generator.run(case.seconds)
    after = _read_counters(site)
    return _summarize(case, result, before, after)


def _start_servers(
    trial_processes: processes_module.TrialProcesses,
    name: str,
    case: Case,
    count: int,
    seed: int,
) -> processes_module.Process:
    """Start several stand-in servers in one process."""
    return trial_processes.start_lab_process(
        name,
        "servers",
        *("--name", name, "--count", str(count), "--starts-warm"),
        *("--seed", str(case.seed * 100 + seed)),
        *("--slots", str(case.slots), "--mean-ms", str(case.mean_ms)),
        *("--stall-every-s", str(case.stall_every_s)),
        *("--stall-ms-least", str(case.stall_ms_least)),
        *("--stall-ms-most", str(case.stall_ms_most)),
    )


def _read_counters(site: demo.Site) -> dict[str, float]:
    """Read the counters and processor time summed over all daemons."""
    totals: dict[str, float] = {"cpu": 0.0}
    for number, daemon in enumerate(site.daemons):
        totals["cpu"] += daemon.read_cpu_time_s()
        document = site.create_api_client(number).get("/v1/daemon")
        totals["control"] = (
            totals.get("control", 0.0) + document["control_bytes_sent"]
        )
        for name, value in document["counters"].items():
            totals[name] = totals.get(name, 0.0) + value
        claims = document["claims"]
        for name in ("transactions", "operations"):
            totals[name] = totals.get(name, 0.0) + claims[name]
    return totals


def _summarize(
    case: Case,
    result: load_module.LoadResult,
    before: dict[str, float],
    after: dict[str, float],
) -> dict[str, Any]:
    """Return the figures of a trial."""
    increases = {
        name: value - before.get(name, 0.0) for name, value in after.items()
    }
    call_count = max(1.0, increases.get("calls", 0.0))
    names = {"lookup": "lookup", "order": "order", LABEL_FLOOR: "direct"}
    return {
        "policy": case.policy,
        "load": case.load,
        "calls": result.calls,
        "failed": result.failed,
        "errors": result.errors,
        "goodput": _compute_goodput(case, result),
        "late": result.late,
        "refused_not_run": result.refused,
        "refused_p50_ms": _compute_median_ms(result.refused_latencies_s),
        "small_calls": result.regular_calls,
        "small_failed": result.regular_failed,
        "extra_attempts": round(
            increases.get("attempts", 0.0) / call_count - 1.0, 4
        ),
        "cpu_us_per_call": round(increases["cpu"] / call_count * 1e6),
        "table_writes_per_order": _compute_share(
            increases.get("transactions", 0.0),
            increases.get("operations", 0.0) / 2,
        ),
        "control_bytes_s_per_daemon": round(
            increases.get("control", 0.0) / case.seconds / case.daemons
        ),
        "latency_ms": {
            name: {
                label: round(result.quantile_ms(kind, percent), 2)
                for label, percent in QUANTILES
            }
            for name, kind in names.items()
        },
    }


def _compute_goodput(case: Case, result: load_module.LoadResult) -> float:
    """Return the good responses through daemons as a share of the capacity.

    Calls queued when the load ends are answered until their deadline, so the
    measured time includes one deadline.
    """
    direct_latencies = result.latency_histograms.get("direct")
    good_calls = result.calls - result.failed - result.late
    if direct_latencies is not None:
        good_calls -= direct_latencies.get_total_count()
    total_s = case.seconds + case.deadline_ms / 1000
    return round(good_calls / total_s / case.capacity, 3)


def _compute_median_ms(values: list[float]) -> float:
    """Return the median of values in seconds as ms, 0 if there are none."""
    if not values:
        return 0.0
    return round(sorted(values)[len(values) // 2] * 1000, 1)


def _compute_share(part: float, whole: float) -> float:
    """Return the part as a share, 0 if the whole is 0."""
    return round(part / whole, 3) if whole else 0.0


def format_table(results: list[dict[str, Any]]) -> str:
    """Format a Markdown table with ratios to two choices and to the floor."""
    lines = [
        "| load | policy | lookup p50 / p99 / p99.9 ms | order p99 ms | "
        "p99, p99.9 to two choices | p99, p99.9 to the floor | order p99 to "
        "two choices | extra attempts | failed |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    baseline = {
        result["load"]: result["latency_ms"]
        for result in results
        if result["policy"] == routing.POLICY_TWO_CHOICES
    }
    lines.extend(
        _format_row(result, baseline.get(result["load"])) for result in results
    )
    return "\n".join(lines)


def _format_row(
    result: dict[str, Any], baseline: dict[str, Any] | None
) -> str:
    """Format the row of one trial."""
    latency = result["latency_ms"]
    lookup = latency["lookup"]
    cells = [
        f"{result['load']:.0%}",
        result["policy"],
        f"{lookup['p50']} / {lookup['p99']} / {lookup['p999']}",
        f"{latency['order']['p99']}",
        _format_ratios(
            lookup, baseline and baseline["lookup"], ("p99", "p999")
        ),
        _format_ratios(lookup, latency[LABEL_FLOOR], ("p99", "p999")),
        _format_ratios(
            latency["order"], baseline and baseline["order"], ("p99",)
        ),
        f"{result['extra_attempts']:.1%}",
        str(result["failed"]),
    ]
    return "| " + " | ".join(cells) + " |"


def _format_ratios(
    values: dict[str, float],
    baseline: dict[str, float] | None,
    labels: tuple[str, ...],
) -> str:
    """Format values as ratios to a baseline, "-" without one."""
    if not baseline:
        return "-"
    return ", ".join(
        f"{values[label] / baseline[label]:.2f}" if baseline[label] else "-"
        for label in labels
    )
