"""The platform's store as the fleet's followers need it."""

from __future__ import annotations

import abc
from collections import abc as collections_abc

import attrs

from tarragonlift.core.fleet import members
from tarragonlift.core.fleet import models
from tarragonlift import exceptions


@attrs.frozen
class OperatorUpdate:
    """What operators wrote, up to a version of the store.

    ``configuration`` None: no new one. ``out`` names data centres that get
    no new work (True) or may get it again (False); a whole reading
    (``complete``) names all that are out. ``document`` holds the bytes of
    the configuration as operators wrote it.
    """

    store_version: int
    configuration: models.FleetConfiguration | None
    out_of_service: dict[str, bool]
    complete: bool = False
    document: bytes = b""


@attrs.frozen
class ServerList:
    """The list of servers at a version of the store."""

    store_version: int
    servers: tuple[models.ListedServer, ...]


@attrs.frozen
class MemberRow:
    """The row of a daemon, with the wall clock at its writing."""

    member: members.Member
    written_at: float


Failure = exceptions.PlatformError
OperatorsCallback = collections_abc.Callable[[OperatorUpdate | Failure], None]
ServersCallback = collections_abc.Callable[[ServerList | Failure], None]
MembersCallback = collections_abc.Callable[[list[MemberRow] | Failure], None]
WrittenCallback = collections_abc.Callable[[Failure | None], None]


class FleetStore(abc.ABC):
    """Reads configuration and servers, and the rows of the daemons."""

    @abc.abstractmethod
    def read_operators(self, callback: OperatorsCallback) -> None:
        """Read all that operators wrote."""

    @abc.abstractmethod
    def await_operators(
        self, after: int, wait_s: float, callback: OperatorsCallback
    ) -> None:
        """Get what operators write after a version, as soon as they do.

        Fails with PlatformHistoryLost where the changes are not kept.
        """

    @abc.abstractmethod
    def decode_configuration(
        self, document: bytes
    ) -> models.FleetConfiguration | None:
        """Return the configuration in the bytes that operators wrote.

        None, with a log line, where they can't be read.
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
