"""Models of routes, services and listed servers."""

from __future__ import annotations

from collections import abc
import math

import attrs

from tarragonlift.core.fleet import const
from tarragonlift.core import models

Address = models.Address


@attrs.frozen
class Target:
    """A service that receives a share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Routing of the requests for one host name and path prefix.

    ``timeout_s`` is the longest time until the caller gets an answer;
    ``target_latency_s`` is the latency up to which an answer has full value.
    A smaller ``priority`` is more urgent.
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
    """Operators' settings for a service's backend servers.

    A cold server accepts ``cold_rate`` requests per second from all daemons
    together.
    """

    name: str
    health_path: str = "/health"
    cold_rate: float = 1.0


@attrs.frozen
class CallerLimits:
    """Limits of the size and duration of a caller's request."""

    head_bytes: int = 32768
    body_bytes: int = 1 << 30
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@attrs.frozen
class FleetConfiguration:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: abc.Mapping[str, FleetService]
    limits: CallerLimits = CallerLimits()


@attrs.frozen
class OperatorState:
    """Operators' changes known to a daemon up to a version of the store.

    ``configuration`` is its version; ``out_of_service`` names the data
    centres that get no new requests, sorted.
    """

    store_version: int
    configuration: int
    out_of_service: tuple[str, ...]


@attrs.frozen
class ServerStart:
    """One process of a server, from its start to its end."""

    server_id: str
    started_ms: int


@attrs.frozen
class ListedServer:
    """One entry of the platform's list of backend servers.

    ``started_ms`` is the wall clock time at the server's start in
    milliseconds. It distinguishes a restarted process from an earlier one
    with the same identifier.
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
    """A server's report of its load.

    ``slowdown`` is the current duration of work on its machine relative to
    the usual one, 1.0.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0

    @property
    def is_plausible(self) -> bool:
        """Return whether a server may send such figures.

        Decisions add, multiply and divide them, so that they have bounds.
        """
        counts = (self.running, self.waiting, self.slots)
        return (
            all(0 <= count <= const.MAX_LOAD_COUNT for count in counts)
            and const.MIN_SLOWDOWN <= self.slowdown <= const.MAX_SLOWDOWN
        )


@attrs.frozen
class Health:
    """Answer of a server to a health check.

    ``rate_limit`` is the number of requests per second that the server takes
    from all daemons together; None if it was malformed.
    """

    server_id: str
    healthy: bool
    load: LoadReport | None = None
    cold_for_s: float = 0.0
    rate_limit: float | None = math.inf


@attrs.frozen
class RoutedRequest:
    """One request with its route; times are monotonic clock values."""

    request_id: str
    route: Route
    service: str
    version: int
    received_at: float
    deadline_at: float
    # Seconds since the caller's first attempt if this is a retry.
    elapsed_s: float = 0.0
    # True if no other route of the service is more urgent.
    is_urgent: bool = True

    @property
    def give_up_at(self) -> float:
        """Return the latest time of the final answer to the caller."""
        return min(self.deadline_at, self.received_at + self.route.timeout_s)

    @property
    def target_answer_at(self) -> float:
        """Return the time up to which an answer has full value."""
        return self.received_at + self.route.target_latency_s - self.elapsed_s
