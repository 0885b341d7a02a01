"""Messages between daemons: the store's state, and what servers did."""

from __future__ import annotations

import math

import attrs

from tarragonlift.core.fleet import list_view
from tarragonlift.core.fleet import members as members_module
from tarragonlift.core.fleet import models


@attrs.frozen
class StartAge:
    """A start of a server; ``age_s`` is how long ago it ended, or was seen."""

    start: models.ServerStart
    age_s: float


@attrs.frozen
class StatedSuspect:
    """A request with the starts of servers that ended while they ran it.

    ``answered_age_s`` is the time in seconds since an answer ended the
    suspicion, infinite without one.
    """

    fingerprint: str
    ends: tuple[StartAge, ...]
    answered_age_s: float = math.inf


@attrs.frozen
class CrashNotice:
    """Notice of suspected requests, and of servers that were seen to run on.

    A notice ``for_relay`` is passed on to the receiver's data centre.
    """

    suspects: tuple[StatedSuspect, ...] = ()
    survivors: tuple[StartAge, ...] = ()
    for_relay: bool = False


@attrs.frozen
class HeldRequests:
    """All requests that the sender holds back, for a daemon with others.

    The receiver answers with those that are missing.
    """

    member: members_module.Member
    suspects: tuple[StatedSuspect, ...]


@attrs.frozen
class OperatorNotice:
    """Notice of the operator state known to a daemon that waits for changes.

    ``document`` holds the bytes of the configuration if the state has just
    changed, and is empty in a heartbeat.
    """

    state: models.OperatorState
    document: bytes = b""


@attrs.frozen
class JoinNotice:
    """Report of a daemon, with the digest of the daemons that it knows.

    ``digest`` is None if it asks for no list of daemons.
    """

    member: members_module.Member
    digest: int | None


@attrs.frozen
class MemberList:
    """Answer to a report: all daemons that the sender knows.

    ``members`` is None if the digests were equal or no list was asked for.
    """

    sender: str
    digest: int
    members: tuple[members_module.Member, ...] | None


@attrs.frozen
class StateRequest:
    """Request for the list of servers and the operators' state."""

    member: members_module.Member


@attrs.frozen
class StatePending:
    """Answer to a request for the state: the sender is reading the store."""


@attrs.frozen
class OutageNotice:
    """Notice that the sender tries to reach the store without success."""


@attrs.frozen
class StatedLimit:
    """A limit that a server stated to some daemon.

    ``per_s`` is in requests per second, infinite if the limit has ended;
    ``age_s`` is the time in seconds since the server's response.
    """

    server_id: str
    started_ms: int
    per_s: float
    age_s: float
    in_health: bool


@attrs.frozen
class RateLimitNotice:
    """Notice of the limits that servers state."""

    limits: tuple[StatedLimit, ...]
    for_relay: bool = False


@attrs.frozen
class StatedPause:
    """A pause that a server asked some daemon for, with the seconds left."""

    start: models.ServerStart
    left_s: float


@attrs.frozen
class PauseNotice:
    """Notice of the pauses that servers asked the sender for."""

    pauses: tuple[StatedPause, ...]
    for_relay: bool = False


Message = (
    list_view.ListUpdate
    | CrashNotice
    | HeldRequests
    | OperatorNotice
    | JoinNotice
    | MemberList
    | StateRequest
    | StatePending
    | OutageNotice
    | RateLimitNotice
    | PauseNotice
)
