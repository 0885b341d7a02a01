"""A leaving server gets requests after a daemon's path to the store was cut.

Each round cuts the path between the store and the daemon that has read the
list of servers last. When it heals, the entry of a server elsewhere is
removed. The other daemons were in touch with the store all the while.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stage as stage_module  # noqa: E402

DRAIN_S = 2.0
CONTACT_S = 3.0
# A leaving server serves for ``drain`` and a little longer, then it exits.
EXIT_AFTER_S = DRAIN_S + 0.6
# Durations of the cuts in seconds; the site's largest one is 5.5.
CUTS_S = (1.0, 1.3, 1.6, 1.9, 2.2, 2.5, 1.1, 1.4, 1.7, 2.0)
REQUESTS_PER_S = 60


async def play(stage: stage_module.Stage, has_trouble: bool) -> bool:
    """Play all rounds; return whether the rule was broken."""
    last_reader = {}

    def watch_reads(name):
        def on_call(path, table):
            if path == "/v1/rows-get" and table == "servers":
                last_reader["name"] = name

        return on_call

    stage.store.put(
        "op",
        "config",
        stage_module.manifest(
            7,
            {
                "r-check": stage_module.route("/check/", "idempotent"),
                "r-order": stage_module.route("/order/", "non_idempotent"),
            },
            {"orders": stage_module.service()},
        ),
    )
    await stage.start(instances_per_zone=2)
    for name, link in stage.links.items():
        link.on_call = watch_reads(name)
    sent: dict[str, stage_module.Daemon] = {}
    results: dict[str, int] = {}
    cut_until: dict[str, float] = {}
    load = asyncio.ensure_future(_send_load(stage, sent, results))
    await asyncio.sleep(4.0)
    late_total = 0
    for number, cut_s in enumerate(CUTS_S):
        reader = last_reader.get("name", stage.daemons[0].name)
        if has_trouble:
            stage.record.write(f"cut {reader} from the store for {cut_s} s")
            stage.links[reader].cut()
        await asyncio.sleep(cut_s)
        if has_trouble:
            stage.links[reader].heal()
            stage.record.write(f"healed {reader}")
            cut_until[reader] = time.monotonic()
        zone = next(d.zone for d in stage.daemons if d.name != reader)
        leaver = next(i for i in stage.instances if i.zone == zone and i.is_up)
        leaver.remove_entry()
        removed_at = time.monotonic()
        stage.record.write(f"entry of {leaver.name} removed")
        await asyncio.sleep(EXIT_AFTER_S)
        leaver.end()
        stage.record.write(f"server {leaver.name} exits")
        late = [
            (at, request_id)
            for at, request_id in leaver.arrivals
            if at > removed_at + DRAIN_S
            and sent[request_id].name != reader
            and at - cut_until.get(sent[request_id].name, -1e9) >= CONTACT_S
        ]
        for at, request_id in late:
            stage.record.write(
                f"late by {at - removed_at - DRAIN_S:.3f} s: {request_id} "
                f"from {sent[request_id].name} reached {leaver.name}"
            )
        late_total += len(late)
        await stage.add_instance(f"i-{zone}-n{number}", zone)
        await asyncio.sleep(4.0)
    load.cancel()
    await asyncio.sleep(0.1)
    lost = sum(1 for status in results.values() if status in (0, 502))
    text = (
        f"{late_total} late requests; "
        f"{lost} of {len(results)} answered 502 or cut"
    )
    stage.record.write(text)
    print(text)
    return late_total > 0


async def _send_load(stage, sent, results) -> None:
    """Send requests to all daemons in turn."""
    tasks = set()
    number = 0
    while True:
        number += 1
        daemon = stage.daemons[number % len(stage.daemons)]
        task = asyncio.ensure_future(
            _send_one(stage, daemon, number, sent, results)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1.0 / REQUESTS_PER_S)


async def _send_one(stage, daemon, number, sent, results) -> None:
    """Send one request and record its daemon and status."""
    method, path = (
        ("POST", "/order/a") if number % 3 == 0 else ("GET", "/check/a")
    )
    sent[stage.upcoming_id] = daemon
    request_id, status, _ = await stage_module.send_request(
        stage, daemon, path, method, deadline_ms=2500
    )
    results[request_id] = status


if __name__ == "__main__":
    sys.exit(stage_module.run_case(FOLDER, play))
