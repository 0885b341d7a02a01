"""Data models of the core: configuration, requests and instances."""

from __future__ import annotations

import attrs

from tarragonlift.core import const

MAX_OCTET = 255
MAX_PORT = 65535


@attrs.frozen
class Address:
    """The IP address and port on which a process listens."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Return the address for a ``host:port`` string."""
        host, _, port = text.rpartition(":")
        return cls(host, int(port))

    @classmethod
    def parse_ipv4(cls, text: str) -> Address:
        """Return the address for an ``IPv4:port`` string.

        Raises ValueError for anything else, such as a host name, whose lookup
        would block.
        """
        address = cls.parse(text)
        parts = address.host.split(".")
        is_ipv4 = (
            len(parts) == 4
            and address.host.isascii()
            and all(
                part.isdecimal() and int(part) <= MAX_OCTET for part in parts
            )
        )
        if not is_ipv4 or not 0 <= address.port <= MAX_PORT:
            raise ValueError(f"{text!r} is not IPv4:port")
        return address

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"


@attrs.frozen
class Rule:
    """Declares matching requests as idempotent or as run once."""

    methods: frozenset[str]
    path_prefix: str
    run: const.Run
    key_header: str

    def matches(self, method: str, path: str) -> bool:
        """Return whether the rule applies to a request."""
        if self.methods and method not in self.methods:
            return False
        return path.startswith(self.path_prefix)


@attrs.frozen
class Service:
    """A service configured by operators, with its limits and rules."""

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
        """Return the first matching rule, or HTTP's default for the method."""
        for rule in self.rules:
            if rule.matches(method, path):
                return rule
        if method in IDEMPOTENT_METHODS:
            return IDEMPOTENT_RULE
        return ONCE_RULE


@attrs.frozen
class Configuration:
    """The base configuration with the overlay of one data centre."""

    services: tuple[Service, ...]
    data_centres: tuple[str, ...]

    def service(self, name: str) -> Service | None:
        """Return the service with this name, or None."""
        for service in self.services:
            if service.name == name:
                return service
        return None

    def service_for(self, host: str, path: str) -> Service | None:
        """Return the service with the longest path prefix, or None."""
        best: Service | None = None
        for service in self.services:
            if service.hosts and host not in service.hosts:
                continue
            if not path.startswith(service.path_prefix):
                continue
            if best is None or len(service.path_prefix) > len(
                best.path_prefix
            ):
                best = service
        return best


@attrs.frozen
class Instance:
    """A backend server in the platform's list of hosts."""

    service: str
    address: Address
    data_centre: str
    leaving: bool = False


@attrs.frozen
class Request:
    """The properties of a request that decisions depend on."""

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
    """The answer to a request that ran once, recorded for resends."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | None


IDEMPOTENT_METHODS = frozenset(
    ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE")
)
IDEMPOTENT_RULE = Rule(frozenset(), "/", const.Run.IDEMPOTENT, "")
ONCE_RULE = Rule(frozenset(), "/", const.Run.ONCE, "Idempotency-Key")
