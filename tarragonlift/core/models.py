"""Data that the decisions share: configuration, requests and instances."""

from __future__ import annotations

import attrs

from tarragonlift.core import const


@attrs.frozen
class Address:
    """Where a process listens: an IP number and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Return the address written as ``host:port``."""
        host, _, port = text.rpartition(":")
        return cls(host, int(port))

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"


@attrs.frozen
class Rule:
    """Which requests of a service are idempotent or must run once."""

    methods: frozenset[str]
    path_prefix: str
    run: const.Run
    key_header: str

    def matches(self, method: str, path: str) -> bool:
        """Return whether the rule speaks about this request."""
        if self.methods and method not in self.methods:
            return False
        return path.startswith(self.path_prefix)


@attrs.frozen
class Service:
    """One service that operators create, with its limits and rules."""

    name: str
    hosts: frozenset[str]
    path_prefix: str
    limit: int
    slots: int
    cold_limit: int
    warm_after: int
    deadline_s: float
    retry_share: float
    hedge_share: float
    replay_bytes: int
    body_bytes: int
    queue_length: int
    caller_header: str
    crash_limit: int
    probes: int
    rules: tuple[Rule, ...]

    def rule_for(self, method: str, path: str) -> Rule:
        """Return the first rule that matches, or the default of HTTP."""
        for rule in self.rules:
            if rule.matches(method, path):
                return rule
        if method in METHODS_IDEMPOTENT:
            return RULE_IDEMPOTENT
        return RULE_ONCE


@attrs.frozen
class Configuration:
    """What one data centre's daemons follow: base with its overlay."""

    services: tuple[Service, ...]
    data_centres: tuple[str, ...]

    def service(self, name: str) -> Service | None:
        """Return the service of this name."""
        for service in self.services:
            if service.name == name:
                return service
        return None

    def service_for(self, host: str, path: str) -> Service | None:
        """Return the service with the longest prefix for host and path."""
        found: Service | None = None
        for service in self.services:
            if service.hosts and host not in service.hosts:
                continue
            if not path.startswith(service.path_prefix):
                continue
            if found is None or len(service.path_prefix) > len(
                found.path_prefix
            ):
                found = service
        return found


@attrs.frozen
class Instance:
    """One backend server in the platform's list of hosts."""

    service: str
    address: Address
    data_centre: str
    leaving: bool = False


@attrs.frozen
class Request:
    """What the decisions need to know of one request."""

    request_id: str
    service: Service
    run: const.Run
    key: str
    method: str
    path: str
    caller: str
    received_at: float
    deadline_at: float
    fingerprint: str = ""


@attrs.frozen
class RecordedAnswer:
    """The answer of a request that ran once, kept for resends."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | None


METHODS_IDEMPOTENT = frozenset(
    ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE")
)
RULE_IDEMPOTENT = Rule(frozenset(), "/", const.Run.IDEMPOTENT, "")
RULE_ONCE = Rule(frozenset(), "/", const.Run.ONCE, "Idempotency-Key")
