"""Memory, time and message size of each mechanism at several sizes."""

from __future__ import annotations

from collections import abc
import gc
import json
import random
import time
import tracemalloc
from typing import Any

import attrs
import msgpack
import numpy

from tarragonlift.components.peers import models as peer_models
from tarragonlift import config
from tarragonlift.core import balancer as balancer_module
from tarragonlift.core import call as call_module
from tarragonlift.core import claims
from tarragonlift.core import const
from tarragonlift.core import models
from tarragonlift.core import probe_leases
from tarragonlift.core import replica
from tarragonlift.core import timeline

INSTANCE_COUNTS = (10, 100, 1000)
SERVICE_COUNTS = (1, 10, 40)
PEER_COUNTS = (3, 30, 100)
EPOCH_MS = 1_700_000_000_000


@attrs.frozen
class Point:
    """One measurement of a mechanism at one size."""

    name: str
    size: int
    microseconds: float
    kilobytes: float
    wire_bytes: int = 0


@attrs.frozen
class Fit:
    """A linear fit of the points with one name."""

    name: str
    microseconds_base: float
    microseconds_each: float
    kilobytes_base: float
    kilobytes_each: float
    wire_bytes_each: float


def measure() -> list[Point]:
    """Measure every mechanism at all its sizes."""
    points: list[Point] = []
    for count in INSTANCE_COUNTS:
        points.append(_measure_call(count))
        points.append(_measure_membership_change(count))
        points.append(_measure_tick(count))
    for count in SERVICE_COUNTS:
        points.append(_measure_configuration(count))
        points.append(_measure_probe_leases(count))
    for count in PEER_COUNTS:
        points.extend(_measure_gossip(count))
    for count in INSTANCE_COUNTS:
        points.append(_measure_claims(count))
        points.append(_measure_timeline(count))
        points.append(_measure_crash_tracker(count))
    return points


def fit_lines(points: abc.Sequence[Point]) -> list[Fit]:
    """Return a least-squares line for each name."""
    fits = []
    for name in dict.fromkeys(point.name for point in points):
        name_points = [point for point in points if point.name == name]
        sizes = [point.size for point in name_points]
        each_us, base_us = numpy.polyfit(
            sizes, [point.microseconds for point in name_points], 1
        )
        each_kb, base_kb = numpy.polyfit(
            sizes, [point.kilobytes for point in name_points], 1
        )
        each_wire, _ = numpy.polyfit(
            sizes, [point.wire_bytes for point in name_points], 1
        )
        values = (base_us, each_us, base_kb, each_kb, each_wire)
        fits.append(Fit(name, *(round(float(value), 4) for value in values)))
    return fits


def format_tables(points: abc.Sequence[Point], fits: abc.Sequence[Fit]) -> str:
    """Format points and fits as Markdown tables."""
    lines = ["| what | size | us | KB | bytes on the wire |"]
    lines.append("|---|---|---|---|---|")
    for point in points:
        lines.append(
            f"| {point.name} | {point.size} | {point.microseconds:.1f} | "
            f"{point.kilobytes:.1f} | {point.wire_bytes} |"
        )
    lines += ["", "| what | us = a + b n | KB = a + b n | bytes each |"]
    lines.append("|---|---|---|---|")
    for line in fits:
        lines.append(
            f"| {line.name} | {line.microseconds_base:.1f} + "
            f"{line.microseconds_each:.4f} n | {line.kilobytes_base:.1f} + "
            f"{line.kilobytes_each:.4f} n | {line.wire_bytes_each:.1f} |"
        )
    return "\n".join(lines)


def _measure_time_us(function: abc.Callable[[], Any], repeats: int) -> float:
    """Return the time per call in us, the minimum of three rounds."""
    best_s = float("inf")
    for _ in range(3):
        started_at = time.perf_counter()
        for _ in range(repeats):
            function()
        best_s = min(best_s, (time.perf_counter() - started_at) / repeats)
    return best_s * 1e6


def _measure_memory_kb(build: abc.Callable[[], Any]) -> tuple[Any, float]:
    """Return the built object and its memory in KiB."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return result, (after - before) / 1024


def _make_document(services: int) -> dict[str, Any]:
    """Return a configuration document with this number of services."""
    return {
        "data_centres": ["a", "b", "c", "d", "e"],
        "services": {
            f"s{number}": {
                "path_prefix": f"/s{number}",
                "rules": [{"methods": ["POST"], "run": "once"}],
            }
            for number in range(services)
        },
    }


def _make_instances(count: int, services: int) -> list[models.Instance]:
    """Return instances spread over services and data centres."""
    return [
        models.Instance(
            f"s{number % services}",
            models.Address(f"10.0.{number // 250}.{number % 250}", 80),
            "abcde"[number // services % 5],
        )
        for number in range(count)
    ]


def _make_balancer(
    instances: int, services: int = 38
) -> balancer_module.Balancer:
    """Return a balancer whose backend servers are all warm."""
    identity = balancer_module.Identity("d0", "a", "d0:1", "d0:2")
    balancer = balancer_module.Balancer(identity, random.Random(1), EPOCH_MS)
    services = min(services, instances)
    bundle = config.Bundle(json.dumps(_make_document(services)), {})
    balancer.apply_configuration(1, config.build(bundle, "a"), 0.0)
    balancer.set_instances(_make_instances(instances, services))
    for pool in balancer.pools.values():
        for backend in pool.backends:
            backend.start_id = "start"
            pool.set_warm(backend)
            backend.share = 4
    return balancer


def _measure_call(instances: int) -> Point:
    """Measure a call from server selection to its complete response."""
    balancer, kilobytes = _measure_memory_kb(lambda: _make_balancer(instances))
    pool = balancer.pools["s0"]
    service = pool.service
    numbers = iter(range(10**9))

    def run_call() -> None:
        request = models.Request(
            f"r{next(numbers)}",
            service,
            const.Run.IDEMPOTENT,
            "",
            "GET",
            "/s0/x",
            "caller",
            0.0,
            10.0,
        )
        call = call_module.Call(request, pool)
        attempt = call.start(1.0)[0].attempt  # type: ignore[attr-defined]
        call.on_answer_head(attempt, 1.01)
        call.on_answer_complete(attempt, 1.01)

    return Point("call", instances, _measure_time_us(run_call, 300), kilobytes)


def _measure_membership_change(instances: int) -> Point:
    """Measure dividing the limits again when a daemon joins or leaves."""
    balancer = _make_balancer(instances)
    members = {f"d{number}": 1 for number in range(100)}
    balancer.membership.on_heartbeats(members, 0.0)
    pools = list(balancer.pools.values())
    known = balancer.membership.known_daemons

    def work() -> None:
        for pool in pools:
            pool.divide_limits("d0", known)
            pool.continue_dividing(instances)

    return Point("members changed", instances, _measure_time_us(work, 2), 0.0)


def _measure_tick(instances: int) -> Point:
    """Measure the balancer's tick, which runs ten times a second."""
    balancer = _make_balancer(instances)
    balancer.tick(0.0)
    time_us = _measure_time_us(lambda: balancer.tick(0.05), 5)
    return Point("tick", instances, time_us, 0.0)


def _measure_configuration(services: int) -> Point:
    """Measure validating and building a configuration."""
    text = json.dumps(_make_document(services))
    bundle = config.Bundle(text, {})
    _, kilobytes = _measure_memory_kb(lambda: config.build(bundle, "a"))
    time_us = _measure_time_us(lambda: config.build(bundle, "a"), 2)
    size = len(bundle.encode())
    return Point("configuration", services, time_us, kilobytes, size)


def _measure_probe_leases(services: int) -> Point:
    """Measure the probe leases of all services."""
    names = {f"s{number}": 1 for number in range(services)}

    def build() -> probe_leases.ProbeLeaseManager:
        lease_manager = probe_leases.ProbeLeaseManager("d0")
        lease_manager.set_services(names)
        return lease_manager

    lease_manager, kilobytes = _measure_memory_kb(build)
    lease_manager.on_rows([], 0.0)
    time_us = _measure_time_us(lambda: lease_manager.next_writes(1.0), 100)
    return Point("seats", services, time_us, kilobytes)


def _measure_gossip(peers: int) -> list[Point]:
    """Measure encoding and merging a gossip round, and its size."""

    def build() -> balancer_module.Balancer:
        balancer = _make_balancer(10, 1)
        names = [f"entry-{number:03d}" for number in range(peers)]
        balancer.membership.on_heartbeats(dict.fromkeys(names, EPOCH_MS), 0.0)
        for name in names:
            value = {
                "address": "10.0.0.1:7000",
                "admin": "10.0.0.1:9080",
                "data_centre": "a",
                "leaving": False,
            }
            item = replica.Item(
                replica.KIND_MEMBER, name, EPOCH_MS, 0, name, value
            )
            applied = replica.Item(
                replica.KIND_APPLIED, name, EPOCH_MS, 0, name, {"version": 1}
            )
            balancer.replica.merge([item, applied])
        for _ in range(replica.HOT_ROUNDS):
            balancer.replica.next_items()
        return balancer

    balancer, kilobytes = _measure_memory_kb(build)

    def encode_round() -> bytes:
        message = peer_models.GossipMessage(
            balancer.next_gossip_round(1.0), EPOCH_MS, 0
        )
        data: bytes = msgpack.packb(peer_models.encode(message))
        return data

    size = len(encode_round())
    encode_point = Point(
        "round made",
        peers,
        _measure_time_us(encode_round, 50),
        kilobytes,
        size,
    )
    data = encode_round()

    def merge_round() -> None:
        message = peer_models.decode(msgpack.unpackb(data))
        if isinstance(message, peer_models.GossipMessage):
            balancer.merge_gossip_round(message.round, 1.0)

    merge_point = Point(
        "round taken", peers, _measure_time_us(merge_round, 50), 0.0, size
    )
    return [encode_point, merge_point]


def _measure_claims(count: int) -> Point:
    """Measure claims with their transactions and recorded answers."""
    balancer = _make_balancer(10, 1)
    pool = balancer.pools["s0"]
    answer = models.RecordedAnswer(200, (), b"x" * 200)

    def make(number: int) -> call_module.Call:
        request = models.Request(
            f"r{number}",
            pool.service,
            const.Run.ONCE,
            f"k{number}",
            "POST",
            "/s0",
            "caller",
            0.0,
            10.0,
        )
        return call_module.Call(request, pool)

    calls = [make(number) for number in range(count)]
    claim_manager = claims.ClaimManager("d0")

    def work() -> None:
        for call in calls:
            claim_manager.claim(call, 0.0)
        _complete_transactions(claim_manager)
        for call in calls:
            claim_manager.record(call, answer, 0.0)
        _complete_transactions(claim_manager)

    return Point("claims", count, _measure_time_us(work, 1), 0.0)


def _complete_transactions(claim_manager: claims.ClaimManager) -> None:
    """Report success for every pending transaction."""
    while True:
        requests = claim_manager.next_requests(0.0)
        if not requests:
            return
        for request in requests:
            claim_manager.on_transaction_result(request.number, [], 0.0)


def _measure_timeline(count: int) -> Point:
    """Measure adding events to the timeline."""

    def build() -> timeline.Timeline:
        events = timeline.Timeline("d0")
        for number in range(count):
            events.add("attempt-failed", f"request-{number}", "detail", 1.0)
        return events

    events, kilobytes = _measure_memory_kb(build)
    time_us = _measure_time_us(
        lambda: events.add("kind", "subject", "detail", 1.0), 200
    )
    return Point("time line", count, time_us, kilobytes)


def _measure_crash_tracker(count: int) -> Point:
    """Measure looking up requests suspected of crashing servers."""

    def build() -> balancer_module.Balancer:
        balancer = _make_balancer(10, 1)
        for number in range(min(count, 100)):
            balancer.crash_tracker.record_crash(f"f{number}", "GET /x")
        return balancer

    balancer, kilobytes = _measure_memory_kb(build)
    time_us = _measure_time_us(
        lambda: balancer.crash_tracker.crash_count("f1"), 200
    )
    return Point("suspects", min(count, 100), time_us, kilobytes)
