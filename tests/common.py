"""Helpers shared by several tests."""

from __future__ import annotations

import random
from typing import Any

import attrs

from tarragonlift.core import balancer as balancer_module
from tarragonlift.core import const
from tarragonlift.core import models
from tarragonlift.core import pool as pool_module
from tarragonlift.core import routing

SERVICE = models.Service(
    name="ordering",
    hosts=frozenset(),
    path_prefix="/",
    limit=12,
    slots=6,
    cold_limit=2,
    warm_after=4,
    deadline_s=10.0,
    retry_share=0.1,
    hedge_share=0.05,
    replay_bytes=65536,
    body_bytes=1 << 20,
    queue_length=4,
    caller_header="Caller",
    crash_limit=3,
    probes=1,
    rules=(
        models.Rule(
            frozenset(("POST",)), "/", const.Run.ONCE, "Idempotency-Key"
        ),
    ),
)
CONFIGURATION = models.Configuration((SERVICE,), ("plovdiv", "haskovo"))


def make_instances(
    count: int, data_centre: str = "plovdiv", first_port: int = 1000
) -> list[models.Instance]:
    """Return backend servers of the service with consecutive ports."""
    return [
        models.Instance(
            "ordering",
            models.Address("127.0.0.1", first_port + number),
            data_centre,
        )
        for number in range(count)
    ]


def make_pool(count: int = 3, **changes: Any) -> pool_module.ServicePool:
    """Return a pool whose backend servers are all warm."""
    service = attrs.evolve(SERVICE, **changes)
    policy = routing.create_policy(
        routing.POLICY_LEAST_IN_FLIGHT, random.Random(1)
    )
    pool = pool_module.ServicePool(service, "plovdiv", policy)
    pool.set_instances(make_instances(count))
    pool.divide_limits("entry-0", ["entry-0"])
    for backend in pool.backends:
        backend.warmth = const.Warmth.WARM
    return pool


def make_balancer(
    name: str = "entry-0", data_centre: str = "plovdiv", seed: int = 1
) -> balancer_module.Balancer:
    """Return a configured balancer with three backend servers."""
    identity = balancer_module.Identity(
        name, data_centre, f"{name}:1", f"{name}:2"
    )
    balancer = balancer_module.Balancer(identity, random.Random(seed), 1)
    balancer.apply_configuration(1, CONFIGURATION, 0.0)
    balancer.set_instances(make_instances(3))
    return balancer


def make_request(
    run: const.Run = const.Run.IDEMPOTENT,
    request_id: str = "r1",
    key: str = "",
    caller: str = "stall",
    deadline_at: float = 10.0,
    service: models.Service = SERVICE,
) -> models.Request:
    """Return a request received at time 0."""
    return models.Request(
        request_id=request_id,
        service=service,
        run=run,
        key=key or request_id,
        method="GET",
        path="/stock",
        caller=caller,
        received_at=0.0,
        deadline_at=deadline_at,
        fingerprint="print",
    )
