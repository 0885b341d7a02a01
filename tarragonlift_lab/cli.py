"""The lab's command line."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys
from typing import Annotated

import attrs
import typer

from tarragonlift.core import routing
from tarragonlift.helpers import jsonc
from tarragonlift_lab import bench as bench_module
from tarragonlift_lab import demo as demo_module
from tarragonlift_lab import faults as faults_module
from tarragonlift_lab import faults_report
from tarragonlift_lab import http
from tarragonlift_lab import leaving_play
from tarragonlift_lab import loops as loops_module
from tarragonlift_lab import platform as platform_module
from tarragonlift_lab import plots
from tarragonlift_lab import server as server_module
from tarragonlift_lab import slopes as slopes_module

FLEET_SIZES = (18, 312)

app = typer.Typer(
    no_args_is_help=True,
    help="Stand-ins, load and experiments.",
    add_completion=False,
)

ReadyOption = Annotated[
    pathlib.Path | None,
    typer.Option(help="File that gets the addresses."),
]


@app.command()
def platform(port: int = 0, ready_file: ReadyOption = None) -> None:
    """Run the stand-in for the platform's services."""

    async def serve() -> None:
        server = await platform_module.serve(port)
        _write_addresses(ready_file, {"address": server.address})
        await asyncio.Event().wait()

    asyncio.run(serve())


@app.command()
def servers(
    name: str = "server",
    count: int = 1,
    seed: int = 1,
    slots: int = 6,
    mean_ms: float = 5.0,
    sigma: float = 0.5,
    cold_bears: int = 2,
    warm_after: int = 40,
    line: int = 200,
    stall_every_s: float = 0.0,
    stall_ms_least: float = 5.0,
    stall_ms_most: float = 200.0,
    load_lag_s: float = 0.5,
    starts_warm: bool = False,
    ready_file: ReadyOption = None,
) -> None:
    """Run stand-in backend servers, all in one process."""
    model = server_module.ServerModel(
        slots=slots,
        mean_ms=mean_ms,
        sigma=sigma,
        cold_capacity=cold_bears,
        warm_after=warm_after,
        max_queue_length=line,
        stall_every_s=stall_every_s,
        min_stall_ms=stall_ms_least,
        max_stall_ms=stall_ms_most,
        load_lag_s=load_lag_s,
        starts_warm=starts_warm,
    )

    async def serve() -> None:
        addresses = []
        for number in range(count):
            server_name = f"{name}-{number}"
            backend = server_module.BackendServer(
                server_name, model, seed * 1000 + number
            )
            server = await http.serve(backend.handle)
            addresses.append(server.address)
        _write_addresses(ready_file, {"addresses": addresses})
        await asyncio.Event().wait()

    asyncio.run(serve())


@app.command()
def demo(
    seconds: Annotated[float, typer.Option(help="How long to load.")] = 20.0,
    json_file: Annotated[
        pathlib.Path | None, typer.Option("--json", help="File for figures.")
    ] = None,
    rate: Annotated[float, typer.Option(help="Calls a second.")] = 200.0,
    seed: int = 1,
    plot: Annotated[
        pathlib.Path | None, typer.Option(help="PNG file of the service.")
    ] = None,
) -> None:
    """Run the whole path: platform, servers, daemons, load and faults."""
    report = demo_module.run(seconds, rate, seed)
    print(demo_module.format_report(report))
    if json_file is not None:
        json_file.write_text(json.dumps(report.figures, indent=2))
    if plot is not None:
        plots.plot_data_centre_move(report.service_by_second, plot)
    if report.violations:
        raise typer.Exit(1)


@app.command()
def bench(
    policy: Annotated[
        list[str] | None,
        typer.Option(help="Routing policy; may be given several times."),
    ] = None,
    load: Annotated[
        list[float] | None,
        typer.Option(help="Share of the capacity; may be given again."),
    ] = None,
    seconds: float = 10.0,
    seed: int = 1,
    experiment: Annotated[
        pathlib.Path | None,
        typer.Option(help="JSON with comments: a list of cases."),
    ] = None,
    json_file: Annotated[
        pathlib.Path | None, typer.Option("--json", help="File for figures.")
    ] = None,
    plot: Annotated[
        pathlib.Path | None, typer.Option(help="PNG file for a plot.")
    ] = None,
) -> None:
    """Measure routing policies against one another."""
    cases = _make_cases(experiment, policy, load, seconds, seed)
    results = []
    for case in cases:
        results.append(bench_module.run_case(case))
        print(json.dumps(results[-1]), file=sys.stderr, flush=True)
    print(bench_module.format_table(results))
    if json_file is not None:
        json_file.write_text(json.dumps(results, indent=2))
    if plot is not None:
        plots.plot_policies(results, plot)


@app.command()
def faults(
    pairs: Annotated[
        bool, typer.Option("--pairs", help="Two faults at a time.")
    ] = False,
    seed: int = 1,
    count: Annotated[int, typer.Option(help="How many pairs.")] = 200,
    json_file: Annotated[
        pathlib.Path | None, typer.Option("--json", help="File for results.")
    ] = None,
) -> None:
    """Run the fault matrix and print which promises held."""
    plans = faults_module.make_single_plans(seed)
    if pairs:
        plans = faults_module.make_pair_plans(seed, count)
    report = faults_report.run(plans)
    print(faults_report.describe(report))
    if json_file is not None:
        json_file.write_text(json.dumps(report.to_document(), indent=2))
    if report.failures:
        raise typer.Exit(1)


@app.command()
def slopes(
    json_file: Annotated[
        pathlib.Path | None, typer.Option("--json", help="File for points.")
    ] = None,
) -> None:
    """Measure state and time of each mechanism at several sizes."""
    points = slopes_module.measure()
    fits = slopes_module.fit_lines(points)
    print(slopes_module.format_tables(points, fits))
    if json_file is not None:
        document = {
            "points": [attrs.asdict(point) for point in points],
            "fits": [attrs.asdict(line) for line in fits],
        }
        json_file.write_text(json.dumps(document, indent=2))


@app.command()
def leaving(
    daemons: Annotated[
        list[int] | None,
        typer.Option(help="Size of the fleet; may be given several times."),
    ] = None,
    seed: int = 1,
) -> None:
    """Play servers that leave or ask for pauses, in virtual time."""
    print(leaving_play.format_table(seed, daemons or FLEET_SIZES))


@app.command("loop-server")
def loop_server(
    kind: Annotated[str, typer.Option()], ready_file: ReadyOption = None
) -> None:
    """Serve a small answer in one of four ways."""
    loops_module.serve(
        kind,
        lambda address: _write_addresses(ready_file, {"address": address}),
    )


@app.command()
def loops() -> None:
    """Measure four ways to serve a small answer."""
    for kind, (median, tail) in loops_module.measure().items():
        print(f"| {kind} | {median} | {tail} |")


def _make_cases(
    experiment: pathlib.Path | None,
    policies: list[str] | None,
    loads: list[float] | None,
    seconds: float,
    seed: int,
) -> list[bench_module.Case]:
    """Return the cases of an experiment file, or else of the options."""
    if experiment is not None:
        return [
            bench_module.Case(**values) for values in jsonc.read(experiment)
        ]
    return [
        bench_module.Case(
            policy=policy, load=share, seconds=seconds, seed=seed
        )
        for share in loads or [0.7]
        for policy in policies or routing.POLICIES
    ]


def _write_addresses(
    path: pathlib.Path | None, document: dict[str, object]
) -> None:
    """Write the addresses atomically to a file, or print them."""
    text = json.dumps(document)
    if path is None:
        print(text, flush=True)
        return
    partial = path.with_suffix(".partial")
    partial.write_text(text, encoding="utf-8")
    partial.replace(path)


def main() -> None:
    """Run a command."""
    app()
