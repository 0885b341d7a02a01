"""State and processor time of each mechanism at several sizes, with fits."""

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

INSTANCES = (10, 100, 1000)
SERVICES = (1, 10, 40)
PEERS = (3, 30, 100)
EPOCH = 1_700_000_000_000


@attrs.frozen
class Point:
    """One measurement: what was measured, at which size."""

    name: str
    size: int
    microseconds: float
    kilobytes: float
    wire_bytes: int = 0


@attrs.frozen
class Fit:
    """A line through the points of one name."""

    name: str
    microseconds_base: float
    microseconds_each: float
    kilobytes_base: float
    kilobytes_each: float
    wire_bytes_each: float


def measure() -> list[Point]:
    """Return all points."""
    points: list[Point] = []
    for count in INSTANCES:
        points.append(_routing(count))
        points.append(_membership_change(count))
        points.append(_duties_tick(count))
    for count in SERVICES:
        points.append(_configuration(count))
        points.append(_seats(count))
    for count in PEERS:
        points.extend(_gossip(count))
    for count in INSTANCES:
        points.append(_claims(count))
        points.append(_events(count))
        points.append(_suspects(count))
    return points


def fit(points: abc.Sequence[Point]) -> list[Fit]:
    """Return a line for each name."""
    fits = []
    for name in dict.fromkeys(point.name for point in points):
        own = [point for point in points if point.name == name]
        sizes = [point.size for point in own]
        each_us, base_us = numpy.polyfit(
            sizes, [point.microseconds for point in own], 1
        )
        each_kb, base_kb = numpy.polyfit(
            sizes, [point.kilobytes for point in own], 1
        )
        each_wire, _ = numpy.polyfit(
            sizes, [point.wire_bytes for point in own], 1
        )
        values = (base_us, each_us, base_kb, each_kb, each_wire)
        fits.append(Fit(name, *(round(float(value), 4) for value in values)))
    return fits


def table(points: abc.Sequence[Point], fits: abc.Sequence[Fit]) -> str:
    """Return points and fits as tables."""
    lines = ["| what | size | us | KB | bytes on the wire |"]
    lines.append("|---|---|---|---|---|")
    for one in points:
        lines.append(
            f"| {one.name} | {one.size} | {one.microseconds:.1f} | "
            f"{one.kilobytes:.1f} | {one.wire_bytes} |"
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


def _time_us(function: abc.Callable[[], Any], repeats: int) -> float:
    """Return the least microseconds of a call over three rounds."""
    best = float("inf")
    for _ in range(3):
        started = time.perf_counter()
        for _ in range(repeats):
            function()
        best = min(best, (time.perf_counter() - started) / repeats)
    return best * 1e6


def _kilobytes(build: abc.Callable[[], Any]) -> tuple[Any, float]:
    """Return what is built and the memory that it takes."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return built, (after - before) / 1024


def _document(services: int) -> dict[str, Any]:
    """Return a configuration of this many services."""
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


def _instances(count: int, services: int) -> list[models.Instance]:
    """Return instances spread over services and data centres."""
    return [
        models.Instance(
            f"s{number % services}",
            models.Address(f"10.0.{number // 250}.{number % 250}", 80),
            "abcde"[number // services % 5],
        )
        for number in range(count)
    ]


def _balancer(instances: int, services: int = 38) -> balancer_module.Balancer:
    """Return a balancer that knows warm servers."""
    identity = balancer_module.Identity("d0", "a", "d0:1", "d0:2")
    balancer = balancer_module.Balancer(identity, random.Random(1), EPOCH)
    services = min(services, instances)
    bundle = config.Bundle(json.dumps(_document(services)), {})
    balancer.apply_configuration(1, config.build(bundle, "a"), 0.0)
    balancer.set_instances(_instances(instances, services))
    for pool in balancer.pools.values():
        for one in pool.backends:
            one.start_id = "start"
            pool.set_warm(one)
            one.share = 4
    return balancer


def _routing(instances: int) -> Point:
    """Choosing a server and the life of a call."""
    balancer, kilobytes = _kilobytes(lambda: _balancer(instances))
    pool = balancer.pools["s0"]
    service = pool.service
    numbers = iter(range(10**9))

    def call() -> None:
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
        one = call_module.Call(request, pool)
        attempt = one.start(1.0)[0].attempt  # type: ignore[attr-defined]
        one.on_answer_head(attempt, 1.01)
        one.on_answer_complete(attempt, 1.01)

    return Point("call", instances, _time_us(call, 300), kilobytes)


def _membership_change(instances: int) -> Point:
    """Dividing limits anew when a daemon comes or goes."""
    balancer = _balancer(instances)
    members = {f"d{number}": 1 for number in range(100)}
    balancer.membership.on_heartbeats(members, 0.0)
    pools = list(balancer.pools.values())
    known = balancer.membership.known_daemons

    def work() -> None:
        for pool in pools:
            pool.divide_limits("d0", known)
            pool.continue_dividing(instances)

    return Point("members changed", instances, _time_us(work, 2), 0.0)


def _duties_tick(instances: int) -> Point:
    """What is done ten times a second."""
    balancer = _balancer(instances)
    balancer.tick(0.0)
    spent = _time_us(lambda: balancer.tick(0.05), 5)
    return Point("tick", instances, spent, 0.0)


def _configuration(services: int) -> Point:
    """Checking and adopting a configuration."""
    text = json.dumps(_document(services))
    bundle = config.Bundle(text, {})
    _, kilobytes = _kilobytes(lambda: config.build(bundle, "a"))
    spent = _time_us(lambda: config.build(bundle, "a"), 2)
    size = len(bundle.encode())
    return Point("configuration", services, spent, kilobytes, size)


def _seats(services: int) -> Point:
    """Looking after the seats of all services."""
    names = {f"s{number}": 1 for number in range(services)}

    def build() -> probe_leases.ProbeLeaseManager:
        keeper = probe_leases.ProbeLeaseManager("d0")
        keeper.set_services(names)
        return keeper

    keeper, kilobytes = _kilobytes(build)
    keeper.on_rows([], 0.0)
    spent = _time_us(lambda: keeper.next_writes(1.0), 100)
    return Point("seats", services, spent, kilobytes)


def _gossip(peers: int) -> list[Point]:
    """Making, encoding and taking a round, and its size."""

    def build() -> balancer_module.Balancer:
        balancer = _balancer(10, 1)
        names = [f"entry-{number:03d}" for number in range(peers)]
        balancer.membership.on_heartbeats(dict.fromkeys(names, EPOCH), 0.0)
        for name in names:
            value = {
                "address": "10.0.0.1:7000",
                "admin": "10.0.0.1:9080",
                "data_centre": "a",
                "leaving": False,
            }
            item = replica.Item(
                replica.KIND_MEMBER, name, EPOCH, 0, name, value
            )
            applied = replica.Item(
                replica.KIND_APPLIED, name, EPOCH, 0, name, {"version": 1}
            )
            balancer.replica.merge([item, applied])
        for _ in range(replica.HOT_ROUNDS):
            balancer.replica.next_items()
        return balancer

    balancer, kilobytes = _kilobytes(build)

    def make() -> bytes:
        message = peer_models.GossipMessage(
            balancer.next_gossip_round(1.0), EPOCH, 0
        )
        data: bytes = msgpack.packb(peer_models.encode(message))
        return data

    size = len(make())
    made = Point("round made", peers, _time_us(make, 50), kilobytes, size)
    data = make()

    def take() -> None:
        message = peer_models.decode(msgpack.unpackb(data))
        if isinstance(message, peer_models.GossipMessage):
            balancer.merge_gossip_round(message.round, 1.0)

    taken = Point("round taken", peers, _time_us(take, 50), 0.0, size)
    return [made, taken]


def _claims(count: int) -> Point:
    """A claim, its transaction and the record of its answer."""
    balancer = _balancer(10, 1)
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
    book = claims.ClaimManager("d0")

    def work() -> None:
        for one in calls:
            book.claim(one, 0.0)
        _finish(book)
        for one in calls:
            book.record(one, answer, 0.0)
        _finish(book)

    return Point("claims", count, _time_us(work, 1), 0.0)


def _finish(book: claims.ClaimManager) -> None:
    """Let every transaction of a book succeed."""
    while True:
        wanted = book.next_requests(0.0)
        if not wanted:
            return
        for request in wanted:
            book.on_transaction_result(request.number, [], 0.0)


def _events(count: int) -> Point:
    """Events on the time line."""

    def build() -> timeline.Timeline:
        ring = timeline.Timeline("d0")
        for number in range(count):
            ring.add("attempt-failed", f"request-{number}", "detail", 1.0)
        return ring

    ring, kilobytes = _kilobytes(build)
    spent = _time_us(lambda: ring.add("kind", "subject", "detail", 1.0), 200)
    return Point("time line", count, spent, kilobytes)


def _suspects(count: int) -> Point:
    """Requests suspected of crashing servers."""

    def build() -> balancer_module.Balancer:
        balancer = _balancer(10, 1)
        for number in range(min(count, 100)):
            balancer.crash_tracker.record_crash(f"f{number}", "GET /x")
        return balancer

    balancer, kilobytes = _kilobytes(build)
    spent = _time_us(lambda: balancer.crash_tracker.crash_count("f1"), 200)
    return Point("suspects", min(count, 100), spent, kilobytes)
