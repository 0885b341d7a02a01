"""Abstract base classes for what the core needs from outside."""

from __future__ import annotations

import abc
from collections import abc as collections_abc
from typing import Any

import attrs

from tarragonlift.core import models
from tarragonlift import exceptions


@attrs.frozen
class Operation:
    """Conditional write of a row that has ``if_version`` (0: no row)."""

    key: str
    value: dict[str, Any] | None
    if_version: int


@attrs.frozen
class Row:
    """Row of the table; version 0 means that it does not exist."""

    key: str
    version: int
    value: dict[str, Any] | None


RowCallback = collections_abc.Callable[[Row | exceptions.PlatformError], None]
RowsCallback = collections_abc.Callable[
    [list[Row] | exceptions.PlatformError], None
]
BytesCallback = collections_abc.Callable[
    [bytes | None | exceptions.PlatformError], None
]
StoredCallback = collections_abc.Callable[
    [exceptions.PlatformError | None], None
]
HostsCallback = collections_abc.Callable[
    [list[models.Instance] | None | exceptions.PlatformError], None
]


class Loop(abc.ABC):
    """Clocks and timers of a process."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the monotonic clock in seconds."""

    @abc.abstractmethod
    def wall_time(self) -> float:
        """Return the wall clock in seconds."""

    @abc.abstractmethod
    def call_at(
        self,
        when: float,
        function: collections_abc.Callable[[float], None],
    ) -> None:
        """Call the function with the time, at or after ``when``."""


class Table(abc.ABC):
    """Table of the platform with versioned rows."""

    @abc.abstractmethod
    def transact(
        self,
        operations: collections_abc.Iterable[Operation],
        callback: RowsCallback,
    ) -> None:
        """Apply all writes or none; the callback gets conflicting rows."""

    @abc.abstractmethod
    def read(self, key: str, callback: RowCallback) -> None:
        """Read a row; version 0 means that it does not exist."""

    @abc.abstractmethod
    def scan(self, prefix: str, callback: RowsCallback) -> None:
        """Read all rows whose key starts with the prefix."""


class ObjectStore(abc.ABC):
    """Object store of the platform that stores bytes by name."""

    @abc.abstractmethod
    def put(self, name: str, data: bytes, callback: StoredCallback) -> None:
        """Store bytes; the callback gets None or the error."""

    @abc.abstractmethod
    def get(self, name: str, callback: BytesCallback) -> None:
        """Read bytes; the callback gets None if the object does not exist."""


class HostList(abc.ABC):
    """List of backend servers of the platform, which may be outdated."""

    @abc.abstractmethod
    def read(self, callback: HostsCallback) -> None:
        """Read the list; the callback gets None if it did not change."""


class Peers(abc.ABC):
    """Access to the other daemons for state that gossip does not carry."""

    @abc.abstractmethod
    def fetch_document(
        self, digest: str, callback: collections_abc.Callable[[bytes], None]
    ) -> None:
        """Request the bytes of a configuration from a peer."""

    @abc.abstractmethod
    def keep_document(self, digest: str, data: bytes) -> None:
        """Keep the bytes of a configuration for requests of peers."""

    @abc.abstractmethod
    def add_seeds(
        self, seeds: collections_abc.Iterable[models.Address]
    ) -> None:
        """Add addresses of other daemons."""

    @abc.abstractmethod
    def spread_changes(self) -> None:
        """Send recent changes to a few peers after a short delay."""
