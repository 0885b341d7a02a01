"""The doors of the core: what is outside, as abstract base classes."""

from __future__ import annotations

import abc
from collections import abc as collections_abc
from typing import Any

import attrs

from tarragonlift.core import models
from tarragonlift import exceptions


@attrs.frozen
class Operation:
    """One conditional write: the row's version must be this (0: no row)."""

    key: str
    value: dict[str, Any] | None
    if_version: int


@attrs.frozen
class Row:
    """A row of the table; version 0 means that there is none."""

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
    """The clocks and timers of a process."""

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
    """The platform's table: rows with versions."""

    @abc.abstractmethod
    def transact(
        self,
        operations: collections_abc.Iterable[Operation],
        callback: RowsCallback,
    ) -> None:
        """Do all writes or none; the callback gets rows in the way."""

    @abc.abstractmethod
    def read(self, key: str, callback: RowCallback) -> None:
        """Read one row; version 0 means that there is none."""

    @abc.abstractmethod
    def scan(self, prefix: str, callback: RowsCallback) -> None:
        """Read all rows whose key begins with the prefix."""


class ObjectStore(abc.ABC):
    """The platform's object store: bytes under names."""

    @abc.abstractmethod
    def put(self, name: str, data: bytes, callback: StoredCallback) -> None:
        """Store bytes; the callback gets None or the error."""

    @abc.abstractmethod
    def get(self, name: str, callback: BytesCallback) -> None:
        """Read bytes; the callback gets None where there is no object."""


class HostList(abc.ABC):
    """The platform's list of backend servers, which lags."""

    @abc.abstractmethod
    def read(self, callback: HostsCallback) -> None:
        """Read the list; the callback gets None where nothing changed."""


class Peers(abc.ABC):
    """The other daemons, as far as state beyond gossip goes."""

    @abc.abstractmethod
    def fetch_document(
        self, digest: str, callback: collections_abc.Callable[[bytes], None]
    ) -> None:
        """Ask a peer for the bytes of a configuration."""

    @abc.abstractmethod
    def keep_document(self, digest: str, data: bytes) -> None:
        """Have the bytes of a configuration at hand for peers."""

    @abc.abstractmethod
    def set_seeds(
        self, seeds: collections_abc.Iterable[models.Address]
    ) -> None:
        """Know also these addresses."""

    @abc.abstractmethod
    def spread_changes(self) -> None:
        """Tell news to a few peers soon."""
