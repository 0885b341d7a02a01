"""All daemons miss a manifest after the store turned each of them away once.

The store does not answer one daemon at a time, for a few seconds, while it
serves the others and operators. Manifests change meanwhile. When the store has
served everybody for longer than ``contact``, one more manifest moves a route
to another service.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stage as stage_module  # noqa: E402

CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
TURNED_AWAY_S = 3.5
# From the end of the last disruption to the manifest that is judged.
CALM_S = CONTACT_S + 1.5
WATCHED_S = 12.0
REQUESTS_PER_S = 30


async def play(stage: stage_module.Stage, has_trouble: bool) -> bool:
    """Play the day; return whether the rule was broken."""
    _push_manifest(stage, 7, "orders")
    await stage.start(instances_per_zone=2)
    for zone in stage.ZONES:
        await stage.add_instance(f"i-{zone}-new", zone, "orders-new")
    sent: dict[str, float] = {}
    results: dict[str, int] = {}
    load = asyncio.ensure_future(_send_load(stage, sent, results))
    await asyncio.sleep(4.0)
    _push_manifest(stage, 9, "orders")
    await asyncio.sleep(1.0)
    for number, daemon in enumerate(stage.daemons):
        if has_trouble:
            stage.record.write(f"store turns {daemon.name} away")
            stage.links[daemon.name].is_turned_away = True
        await asyncio.sleep(TURNED_AWAY_S / 2)
        _push_manifest(stage, 12 + 2 * number, "orders")
        await asyncio.sleep(TURNED_AWAY_S / 2)
        if has_trouble:
            stage.links[daemon.name].is_turned_away = False
            stage.record.write(f"store serves {daemon.name} again")
        await asyncio.sleep(0.5)
    await asyncio.sleep(CALM_S)
    moved_at = time.monotonic()
    _push_manifest(stage, 21, "orders-new")
    await asyncio.sleep(WATCHED_S)
    load.cancel()
    await asyncio.sleep(0.1)
    late = 0
    latest = 0.0
    for instance in stage.instances:
        if instance.service != "orders":
            continue
        for _, request_id in instance.arrivals:
            late_s = sent[request_id] - moved_at - CONFIG_APPLY_S
            if late_s > 0.0:
                late += 1
                latest = max(latest, late_s)
                stage.record.write(
                    f"late by {late_s:.3f} s: {request_id} ran at "
                    f"{instance.name} of the old service"
                )
    judged = sum(1 for at in sent.values() if at > moved_at + CONFIG_APPLY_S)
    text = (
        f"{late} of {judged} requests sent later than configApply ran at the "
        f"old service, the last {latest:.1f} s later"
    )
    stage.record.write(text)
    print(text)
    return late > 0


def _push_manifest(stage, version, service) -> None:
    """Write a manifest; the store acknowledges it at once."""
    stage.record.write(f"manifest {version}: /check/ goes to {service}")
    document = stage_module.manifest(
        version,
        {"r-check": stage_module.route("/check/", "idempotent", service)},
        {
            "orders": stage_module.service(),
            "orders-new": stage_module.service(),
        },
    )
    stage.store.put("op", "config", document)


async def _send_load(stage, sent, results) -> None:
    """Send requests to the daemons in turn."""
    tasks = set()
    number = 0
    while True:
        number += 1
        daemon = stage.daemons[number % len(stage.daemons)]
        task = asyncio.ensure_future(_send_one(stage, daemon, sent, results))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1.0 / REQUESTS_PER_S)


async def _send_one(stage, daemon, sent, results) -> None:
    """Send one request and record its time and status."""
    sent_at = time.monotonic()
    sent[stage.upcoming_id] = sent_at
    request_id, status, _ = await stage_module.send_request(
        stage, daemon, "/check/a", deadline_ms=2500
    )
    results[request_id] = status


if __name__ == "__main__":
    sys.exit(stage_module.run_case(FOLDER, play))
