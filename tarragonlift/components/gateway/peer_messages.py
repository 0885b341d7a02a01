"""Datagrams between daemons: the store's state, crashes and rate limits.

UDP has no connection that could break unnoticed. Datagrams may be lost: a
daemon that misses one reads the platform's list itself.
"""

from __future__ import annotations

from collections import abc
import math
import socket
from typing import Any
from typing import TypeVar
import zlib

import attrs
import msgpack

from tarragonlift.components.data_path import byte_limits
from tarragonlift.components.data_path import const as path_const
from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.core.fleet import list_view
from tarragonlift.core.fleet import members as members_module
from tarragonlift.core.fleet import models
from tarragonlift.core.fleet import rate_limit
from tarragonlift.core import models as core_models
from tarragonlift import exceptions

TYPE_LIST = "list"
TYPE_CRASH = "crash"
TYPE_HELD = "held"
TYPE_OPERATORS = "operators"
TYPE_JOIN = "join"
TYPE_MEMBERS = "members"
TYPE_STATE = "state"
TYPE_PENDING = "pending"
TYPE_OUTAGE = "outage"
TYPE_RATE_LIMITS = "rate-limits"
# Maximum size of a datagram in bytes; UDP carries at most 65,507.
MAX_DATAGRAM_BYTES = 60_000
# Maximum size in bytes of a compressed configuration in a datagram. Sending it
# to 30 daemons takes 0.4 s of a 5 Mbit/s link; receivers read a larger one
# from the store.
MAX_DOCUMENT_BYTES = 8192
# The same for a message to a single daemon.
MAX_REPLY_DOCUMENT_BYTES = 48_000
MAX_READS_PER_EVENT = 64

T = TypeVar("T")


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
)


class PeerSocket(poller_module.SocketHandler):
    """Sends messages to the other daemons and receives theirs."""

    def __init__(
        self,
        poller: poller_module.DataPoller,
        members: members_module.Members,
        on_message: abc.Callable[[Message], None],
        on_error: abc.Callable[[BaseException], None],
    ) -> None:
        """Initialize the socket; ``listen`` binds it."""
        self._poller = poller
        self._members = members
        self._on_message = on_message
        self._on_error = on_error
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)

    def listen(self, address: core_models.Address) -> core_models.Address:
        """Bind, start receiving and return the bound address."""
        self._sock.bind((address.host, address.port))
        self._poller.attach(self._sock.fileno(), path_const.MASK_READ, self)
        host, port = self._sock.getsockname()[:2]
        return core_models.Address(host, port)

    def send_to_relays(self, message: Message) -> None:
        """Send the message to daemons that pass it on elsewhere."""
        self._send(message, self._members.relays)

    def send_to_data_centre(self, message: Message) -> None:
        """Send the message to the other daemons of this data centre."""
        self._send(message, self._members.local_others)

    def send_to(self, address: core_models.Address, message: Message) -> None:
        """Send the message to one daemon."""
        data = msgpack.packb(encode(message, MAX_REPLY_DOCUMENT_BYTES))
        self._send_data(data, [address])

    def _send(
        self, message: Message, members: abc.Iterable[members_module.Member]
    ) -> None:
        """Send the message to these daemons."""
        data = msgpack.packb(encode(message))
        self._send_data(data, [member.address for member in members])

    def _send_data(
        self, data: bytes, addresses: abc.Iterable[core_models.Address]
    ) -> None:
        """Send a datagram to each address."""
        if len(data) > MAX_DATAGRAM_BYTES:
            # The receivers notice by the next digest that they have to read.
            return
        for address in addresses:
            try:
                self._sock.sendto(data, (address.host, address.port))
            except OSError as error:
                self._on_error(error)

    def on_ready(self, mask: int) -> None:
        """Receive and dispatch the pending datagrams."""
        for _ in range(MAX_READS_PER_EVENT):
            try:
                data = self._sock.recv(1 << 16)
            except BlockingIOError:
                return
            except OSError as error:
                # An ICMP error for an earlier datagram: its target has no
                # daemon.
                self._on_error(error)
                return
            try:
                message = parse(data)
            except exceptions.PeerError as error:
                self._on_error(error)
                continue
            self._on_message(message)

    def close(self) -> None:
        """Stop receiving and close the socket."""
        if self._sock.fileno() >= 0:
            self._poller.detach(self._sock.fileno())
            self._sock.close()


def encode(
    message: Message, max_document_bytes: int = MAX_DOCUMENT_BYTES
) -> list[Any]:
    """Return the message as plain data for msgpack.

    A compressed configuration above ``max_document_bytes`` is left out.
    """
    if isinstance(message, CrashNotice):
        return [
            TYPE_CRASH,
            _pack(map(_encode_suspect, message.suspects)),
            _pack(map(_encode_start_age, message.survivors)),
            message.for_relay,
        ]
    if isinstance(message, HeldRequests):
        suspects = _pack(map(_encode_suspect, message.suspects))
        return [TYPE_HELD, _encode_member(message.member), suspects]
    if isinstance(message, OperatorNotice):
        document = zlib.compress(message.document)
        if len(document) > max_document_bytes:
            document = zlib.compress(b"")
        return [TYPE_OPERATORS, _encode_state(message.state), document]
    if isinstance(message, JoinNotice):
        return [TYPE_JOIN, _encode_member(message.member), message.digest]
    if isinstance(message, MemberList):
        known = message.members
        return [
            TYPE_MEMBERS,
            message.sender,
            message.digest,
            None if known is None else _pack(map(_encode_member, known)),
        ]
    if isinstance(message, StateRequest):
        return [TYPE_STATE, _encode_member(message.member)]
    if isinstance(message, StatePending):
        return [TYPE_PENDING]
    if isinstance(message, OutageNotice):
        return [TYPE_OUTAGE]
    if isinstance(message, RateLimitNotice):
        limits = _pack(map(_encode_limit, message.limits))
        return [TYPE_RATE_LIMITS, limits, message.for_relay]
    return [
        TYPE_LIST,
        _encode_member(message.member),
        message.store_version,
        message.digest,
        _pack(map(_encode_change, message.changes)),
        _encode_state(message.operators),
        message.complete,
        message.age_s,
        message.for_relay,
        _encode_age(message.operators_age_s),
        message.held_digest,
    ]


def parse(data: bytes) -> Message:
    """Return the message in a datagram; raises PeerError if it is invalid."""
    try:
        return decode(msgpack.unpackb(data))
    except (ValueError, msgpack.UnpackException) as error:
        raise exceptions.PeerError(str(error)) from error


def decode(data: Any) -> Message:
    """Return the message that the data encodes.

    Raises PeerError if the type or a field is not valid.
    """
    try:
        kind, *fields = data
        if kind == TYPE_CRASH:
            suspects, survivors, for_relay = fields
            return CrashNotice(
                tuple(_decode_suspect(*item) for item in _unpack(suspects)),
                tuple(_decode_start_age(*item) for item in _unpack(survivors)),
                _require(for_relay, bool),
            )
        if kind == TYPE_HELD:
            member, suspects = fields
            return HeldRequests(
                _decode_member(member),
                tuple(_decode_suspect(*item) for item in _unpack(suspects)),
            )
        if kind == TYPE_LIST:
            return _decode_list_update(*fields)
        if kind == TYPE_JOIN:
            member, digest = fields
            if digest is not None:
                _require(digest, int)
            return JoinNotice(_decode_member(member), digest)
        if kind == TYPE_MEMBERS:
            return _decode_member_list(*fields)
        if kind == TYPE_STATE:
            (member,) = fields
            return StateRequest(_decode_member(member))
        if kind == TYPE_PENDING:
            () = fields
            return StatePending()
        if kind == TYPE_OUTAGE:
            () = fields
            return OutageNotice()
        if kind == TYPE_RATE_LIMITS:
            limits, for_relay = fields
            return RateLimitNotice(
                tuple(_decode_limit(*limit) for limit in _unpack(limits)),
                _require(for_relay, bool),
            )
        if kind == TYPE_OPERATORS:
            state, document = fields
            return OperatorNotice(_decode_state(state), _decompress(document))
    except (TypeError, ValueError, zlib.error) as error:
        raise exceptions.PeerError(str(error)) from error
    raise exceptions.PeerError(f"message type {kind!r} is not known")


def _decode_list_update(
    member: Any,
    version: Any,
    digest: Any,
    changes: Any,
    state: Any,
    complete: Any,
    age_s: Any,
    for_relay: Any,
    operators_age_s: Any,
    held_digest: Any,
) -> list_view.ListUpdate:
    """Return the update of the server list that the fields encode."""
    return list_view.ListUpdate(
        _decode_member(member),
        _require(version, int),
        _require(digest, int),
        tuple(_decode_change(change) for change in _unpack(changes)),
        _decode_state(state),
        _require(complete, bool),
        _decode_number(age_s),
        _require(for_relay, bool),
        _decode_age(operators_age_s),
        _require(held_digest, int),
    )


def _decode_member_list(sender: Any, digest: Any, known: Any) -> MemberList:
    """Return the list of daemons that the fields encode."""
    members = None
    if known is not None:
        members = tuple(_decode_member(member) for member in _unpack(known))
    return MemberList(_require(sender, str), _require(digest, int), members)


def _pack(items: abc.Iterable[list[Any]]) -> bytes:
    """Return the items compressed."""
    return zlib.compress(msgpack.packb(list(items)))


def _unpack(data: Any) -> list[Any]:
    """Return the items that were packed."""
    return _require(msgpack.unpackb(_decompress(data)), list)


def _encode_member(member: members_module.Member) -> list[Any]:
    """Return the daemon as plain data."""
    return [member.daemon, member.data_centre, str(member.address)]


def _encode_state(state: models.OperatorState) -> list[Any]:
    """Return the operator state as plain data."""
    return [
        state.store_version,
        state.configuration,
        list(state.out_of_service),
    ]


def _decode_state(data: list[Any]) -> models.OperatorState:
    """Return the operator state that the data encodes."""
    store_version, configuration, out = data
    return models.OperatorState(
        _require(store_version, int),
        _require(configuration, int),
        tuple(_require(name, str) for name in out),
    )


def _decode_member(data: list[Any]) -> members_module.Member:
    """Return the daemon that the data encodes."""
    daemon, data_centre, address = data
    return members_module.Member(
        _require(daemon, str),
        _require(data_centre, str),
        core_models.Address.parse_ipv4(_require(address, str)),
    )


def _encode_change(change: list_view.ListChange) -> list[Any]:
    """Return the change as plain data; a removal is the id alone."""
    entry = change.entry
    if entry is None:
        return [change.server_id]
    return [
        entry.server_id,
        entry.service,
        str(entry.address),
        entry.data_centre,
        entry.slots,
        entry.leaving,
        entry.cold_for_s,
        entry.started_ms,
    ]


def _decode_change(data: list[Any]) -> list_view.ListChange:
    """Return the change that the data encodes."""
    server_id, *fields = data
    _require(server_id, str)
    if not fields:
        return list_view.ListChange(server_id, None)
    service, address, data_centre, slots, leaving, cold_for_s, started_ms = (
        fields
    )
    entry = models.ListedServer(
        server_id,
        _require(service, str),
        core_models.Address.parse_ipv4(_require(address, str)),
        _require(data_centre, str),
        _require(slots, int),
        _require(leaving, bool),
        _decode_number(cold_for_s),
        _require(started_ms, int),
    )
    return list_view.ListChange(server_id, entry)


def _encode_suspect(suspect: StatedSuspect) -> list[Any]:
    """Return the suspected request as plain data."""
    return [
        suspect.fingerprint,
        [_encode_start_age(end) for end in suspect.ends],
        _encode_age(suspect.answered_age_s),
    ]


def _decode_suspect(
    fingerprint: Any, ends: Any, answered_age_s: Any
) -> StatedSuspect:
    """Return the suspected request that the fields encode."""
    return StatedSuspect(
        _require(fingerprint, str),
        tuple(_decode_start_age(*end) for end in _require(ends, list)),
        _decode_age(answered_age_s),
    )


def _encode_start_age(item: StartAge) -> list[Any]:
    """Return the start of a server with its age as plain data."""
    return [item.start.server_id, item.start.started_ms, item.age_s]


def _decode_start_age(server_id: Any, started_ms: Any, age_s: Any) -> StartAge:
    """Return the start of a server that the fields encode."""
    start = models.ServerStart(
        _require(server_id, str), _require(started_ms, int)
    )
    return StartAge(start, _decode_number(age_s))


def _encode_limit(limit: StatedLimit) -> list[Any]:
    """Return the limit as plain data; None stands for none."""
    return [
        limit.server_id,
        limit.started_ms,
        None if limit.per_s == math.inf else limit.per_s,
        limit.age_s,
        limit.in_health,
    ]


def _decode_limit(
    server_id: Any, started_ms: Any, per_s: Any, age_s: Any, in_health: Any
) -> StatedLimit:
    """Return the limit that the fields encode."""
    return StatedLimit(
        _require(server_id, str),
        _require(started_ms, int),
        math.inf if per_s is None else _decode_rate_limit(per_s),
        _decode_number(age_s),
        _require(in_health, bool),
    )


def _decode_rate_limit(value: Any) -> float:
    """Return a limit per second; raise ValueError if it is not plausible."""
    per_s = float(value)
    if not rate_limit.is_plausible(per_s):
        raise ValueError(f"{value!r} is no rate limit")
    return per_s


def _require(value: Any, kind: type[T]) -> T:
    """Return the value if it has the type; raise TypeError if not."""
    if not isinstance(value, kind):
        raise TypeError(f"{value!r} is not of type {kind.__name__}")
    return value


def _decode_number(value: Any) -> float:
    """Return a finite number from zero up; raise ValueError if not."""
    number = float(value)
    if not 0.0 <= number < math.inf:
        raise ValueError(f"{value!r} is negative or not finite")
    return number


def _encode_age(seconds: float) -> float | None:
    """Return an age in seconds as plain data; None stands for infinity."""
    return None if seconds == math.inf else seconds


def _decode_age(value: Any) -> float:
    """Return the age in seconds that the value encodes."""
    return math.inf if value is None else _decode_number(value)


def _decompress(data: Any) -> bytes:
    """Return the expanded data; raise ValueError beyond the size limit."""
    decompressor = zlib.decompressobj()
    limit = byte_limits.MAX_PEER_DOCUMENT_BYTES
    document = decompressor.decompress(_require(data, bytes), limit)
    if not decompressor.eof:
        raise ValueError(f"document is incomplete or over {limit} bytes")
    return document
