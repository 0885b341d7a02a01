"""What the decisions know of routes, services and listed servers."""

from __future__ import annotations

from collections import abc
import math

import attrs

from tarragonlift.core import models

Address = models.Address


@attrs.frozen
class Target:
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests for one host name and path prefix go, and how.

    ``timeout_s`` is the longest a request is kept waiting;
    ``target_latency_s`` is the latency within which its answer is worth most.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    targets: tuple[Target, ...]
    timeout_s: float = math.inf
    target_latency_s: float = 1.0
    priority: int = 0
    max_attempts: int = 1


@attrs.frozen
class FleetService:
    """What operators say of a service's backend servers.

    A cold server bears ``cold_rate`` requests a second, from all daemons
    together.
    """

    name: str
    health_path: str = "/health"
    cold_rate: float = 1.0


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may take."""

    head_bytes: int = 32768
    body_bytes: int = 1 << 30
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@attrs.frozen
class FleetConfiguration:
    """One version of what operators want."""

    version: int
    routes: tuple[Route, ...]
    services: abc.Mapping[str, FleetService]
    limits: CallerLimits = CallerLimits()


@attrs.frozen
class OperatorState:
    """What a daemon knows of operators' words, up to a store's version.

    ``configuration`` is a version; ``out`` names the data centres out of
    service, sorted.
    """

    store_version: int
    configuration: int
    out_of_service: tuple[str, ...]


@attrs.frozen
class ListedServer:
    """One backend server as the platform's list has it.

    ``started_ms`` is the wall clock at the server's start, so that a restart
    under the same identifier is told from the earlier process.
    """

    server_id: str
    service: str
    address: Address
    data_centre: str
    slots: int
    leaving: bool = False
    cold_for_s: float = 0.0
    started_ms: int = 0


@attrs.frozen
class LoadReport:
    """What a server says of its load.

    ``slowdown`` is how long work takes now on its machine, 1.0 as usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@attrs.frozen
class Health:
    """A server's answer to a health check."""

    server_id: str
    healthy: bool
    load: LoadReport | None = None
    cold_for_s: float = 0.0


@attrs.frozen
class RoutedRequest:
    """One request with its route; times are of the monotonic clock."""

    request_id: str
    route: Route
    service: str
    version: int
    received_at: float
    deadline_at: float
    # Seconds since the caller's first sending, where this is a later one.
    elapsed_s: float = 0.0
    # No route of the service has a higher rank.
    is_urgent: bool = True

    @property
    def give_up_at(self) -> float:
        """Return when the caller gets the final answer at the latest."""
        return min(self.deadline_at, self.received_at + self.route.timeout_s)

    @property
    def target_answer_at(self) -> float:
        """Return until when the answer is worth most."""
        return self.received_at + self.route.target_latency_s - self.elapsed_s
