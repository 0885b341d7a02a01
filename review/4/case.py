"""A request that crashes servers reaches them again after daemons restart.

The request crashes each server that begins to run it and is repeated every
second, at one daemon after the other. After it is held back, all daemons are
stopped by SIGTERM and started again in turn.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stage as stage_module  # noqa: E402

CONTACT_S = 3.0
GRACE_S = 6.0
# Retries later than ``contact`` after the third crash that the rule allows.
MAX_RETRIES = 3
MAX_CRASHES = 3
POISON = "/order/poison"
POISON_INTERVAL_S = 1.0
# Time between the start of a daemon and the stop of the next one.
ROLL_GAP_S = 14.0
REQUESTS_PER_S = 30


async def play(stage: stage_module.Stage, has_trouble: bool) -> bool:
    """Play the day; return whether the rule was broken."""
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
    for instance in stage.instances:
        instance.poison_path = POISON
        instance.poison_after_s = 0.02
    results: dict[str, int] = {}
    poisons: list[tuple[float, str, stage_module.Daemon]] = []
    load = asyncio.ensure_future(_send_load(stage, results))
    await asyncio.sleep(4.0)
    poison = asyncio.ensure_future(_send_poison(stage, poisons))
    await asyncio.sleep(10.0)
    for daemon in list(stage.daemons):
        if has_trouble:
            daemon.signal(signal.SIGTERM)
            await daemon.wait_for_end(GRACE_S)
            daemon.start()
            await stage.wait_until_ready(10.0)
            await asyncio.sleep(ROLL_GAP_S)
        else:
            await asyncio.sleep(ROLL_GAP_S + GRACE_S)
    poison.cancel()
    load.cancel()
    await asyncio.sleep(0.1)
    return _judge(stage, poisons, results)


def _judge(stage, poisons, results) -> bool:
    """Return whether the request reached servers too often."""
    reached_at = {
        request_id: at
        for instance in stage.instances
        for at, request_id in instance.arrivals
    }
    crashed_at = sorted(
        reached_at[request_id]
        for _, request_id, _ in poisons
        if request_id in reached_at
    )
    counted = 0
    if len(crashed_at) >= MAX_CRASHES:
        held_from = crashed_at[MAX_CRASHES - 1] + CONTACT_S
        for sent_at, request_id, in_touch in poisons:
            at = reached_at.get(request_id)
            if at is not None and at > held_from and in_touch:
                counted += 1
                stage.record.write(f"counts: {request_id} reached a server")
    lost = sum(1 for status in results.values() if status in (0, 502))
    text = (
        f"{len(poisons)} repeats, {len(crashed_at)} reached a server, "
        f"{counted} count; "
        f"{lost} of {len(results)} other requests answered 502 or cut"
    )
    stage.record.write(text)
    print(text)
    return counted > MAX_RETRIES


async def _send_poison(stage, poisons) -> None:
    """Repeat the request at one daemon after the other."""
    number = 0
    while True:
        running = [daemon for daemon in stage.daemons if daemon.is_running]
        daemon = running[number % len(running)]
        number += 1
        sent_at = time.monotonic()
        in_touch = daemon.is_in_touch(sent_at) and not daemon.is_stopping
        request_id, _, _ = await stage_module.send_request(
            stage, daemon, POISON, "POST", b"order", deadline_ms=2500
        )
        poisons.append((sent_at, request_id, in_touch))
        await asyncio.sleep(POISON_INTERVAL_S)


async def _send_load(stage, results) -> None:
    """Send other requests to the running daemons in turn."""
    tasks = set()
    number = 0
    while True:
        number += 1
        running = [
            daemon
            for daemon in stage.daemons
            if daemon.is_running and not daemon.is_stopping
        ]
        daemon = running[number % len(running)]
        task = asyncio.ensure_future(_send_one(stage, daemon, number, results))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1.0 / REQUESTS_PER_S)


async def _send_one(stage, daemon, number, results) -> None:
    """Send one request and keep its status."""
    method, path = (
        ("POST", "/order/a") if number % 3 == 0 else ("GET", "/check/a")
    )
    request_id, status, _ = await stage_module.send_request(
        stage, daemon, path, method, deadline_ms=2500
    )
    results[request_id] = status


if __name__ == "__main__":
    sys.exit(stage_module.run_case(FOLDER, play))
