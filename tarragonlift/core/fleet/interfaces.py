"""Interface to the platform's store."""

from __future__ import annotations

import abc
from collections import abc as collections_abc

import attrs

from tarragonlift.core.fleet import members
from tarragonlift.core.fleet import models
from tarragonlift import exceptions


@attrs.frozen
class OperatorUpdate:
    """Operators' changes up to a version of the store.

    ``configuration`` is None if there is no new one. ``out_of_service`` maps
    data centres to whether they get no new requests (True) or may get them
    again (False); a ``complete`` update names all that are out of service.
    ``document`` holds the bytes of the configuration as operators wrote it.
    """

    store_version: int
    configuration: models.FleetConfiguration | None
    out_of_service: dict[str, bool]
    complete: bool = False
    document: bytes = b""


@attrs.frozen
class ServerList:
    """List of servers at a version of the store."""

    store_version: int
    servers: tuple[models.ListedServer, ...]


@attrs.frozen
class MemberRow:
    """A daemon's row with the wall clock time of its writing."""

    member: members.Member
    written_at: float


Failure = exceptions.PlatformError
OperatorsCallback = collections_abc.Callable[[OperatorUpdate | Failure], None]
ServersCallback = collections_abc.Callable[[ServerList | Failure], None]
MembersCallback = collections_abc.Callable[[list[MemberRow] | Failure], None]
WrittenCallback = collections_abc.Callable[[Failure | None], None]
# Ends a call whose answer is not needed any more.
Cancel = collections_abc.Callable[[], None]


class FleetStore(abc.ABC):
    """Access to the configuration, the servers and the daemons' rows."""

    @abc.abstractmethod
    def read_operators(self, callback: OperatorsCallback) -> None:
        """Read the whole state written by operators."""

    @abc.abstractmethod
    def await_operators(
        self, after: int, wait_s: float, callback: OperatorsCallback
    ) -> Cancel:
        """Wait for operators' changes after a version of the store.

        A wait of 0 seconds returns at once what has changed. Fails with
        PlatformHistoryLost if the store no longer has the changes. Returns a
        function that ends the call without an answer.
        """

    @abc.abstractmethod
    def decode_configuration(
        self, document: bytes
    ) -> models.FleetConfiguration | None:
        """Decode the configuration written by operators.

        Returns None and writes a log line if it is malformed.
        """

    @abc.abstractmethod
    def read_servers(
        self, timeout_s: float, callback: ServersCallback
    ) -> None:
        """Read the list of servers."""

    @abc.abstractmethod
    def read_members(self, callback: MembersCallback) -> None:
        """Read the rows of the daemons."""

    @abc.abstractmethod
    def write_member(self, row: MemberRow, callback: WrittenCallback) -> None:
        """Write this daemon's row."""
