"""Encodes messages between daemons for msgpack, and decodes them."""

from __future__ import annotations

from collections import abc
import math
from typing import Any
from typing import TypeVar
import zlib

import msgpack

from tarragonlift.components.data_path import byte_limits
from tarragonlift.components.gateway import peer_messages
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
TYPE_PAUSES = "pauses"
# Maximum size in bytes of a compressed configuration in a datagram. Sending it
# to 30 daemons takes 0.4 s of a 5 Mbit/s link; receivers read a larger one
# from the store.
MAX_DOCUMENT_BYTES = 8192
# The same for a message to a single daemon.
MAX_REPLY_DOCUMENT_BYTES = 48_000

T = TypeVar("T")


def encode(
    message: peer_messages.Message,
    max_document_bytes: int = MAX_DOCUMENT_BYTES,
) -> list[Any]:
    """Return the message as plain data for msgpack.

    A compressed configuration above ``max_document_bytes`` is left out.
    """
    if isinstance(message, peer_messages.CrashNotice):
        return [
            TYPE_CRASH,
            _pack(map(_encode_suspect, message.suspects)),
            _pack(map(_encode_start_age, message.survivors)),
            message.for_relay,
        ]
    if isinstance(message, peer_messages.HeldRequests):
        suspects = _pack(map(_encode_suspect, message.suspects))
        return [TYPE_HELD, _encode_member(message.member), suspects]
    if isinstance(message, peer_messages.OperatorNotice):
        document = zlib.compress(message.document)
        if len(document) > max_document_bytes:
            document = zlib.compress(b"")
        return [TYPE_OPERATORS, _encode_state(message.state), document]
    if isinstance(message, peer_messages.JoinNotice):
        return [TYPE_JOIN, _encode_member(message.member), message.digest]
    if isinstance(message, peer_messages.MemberList):
        known = message.members
        return [
            TYPE_MEMBERS,
            message.sender,
            message.digest,
            None if known is None else _pack(map(_encode_member, known)),
        ]
    if isinstance(message, peer_messages.StateRequest):
        return [TYPE_STATE, _encode_member(message.member)]
    if isinstance(message, peer_messages.StatePending):
        return [TYPE_PENDING]
    if isinstance(message, peer_messages.OutageNotice):
        return [TYPE_OUTAGE]
    if isinstance(message, peer_messages.RateLimitNotice):
        limits = _pack(map(_encode_limit, message.limits))
        return [TYPE_RATE_LIMITS, limits, message.for_relay]
    if isinstance(message, peer_messages.PauseNotice):
        pauses = _pack(map(_encode_pause, message.pauses))
        return [TYPE_PAUSES, pauses, message.for_relay]
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


def parse(data: bytes) -> peer_messages.Message:
    """Return the message in a datagram; raises PeerError if it is invalid."""
    try:
        return decode(msgpack.unpackb(data))
    except (ValueError, msgpack.UnpackException) as error:
        raise exceptions.PeerError(str(error)) from error


def decode(data: Any) -> peer_messages.Message:
    """Return the message that the data encodes.

    Raises PeerError if the type or a field is not valid.
    """
    try:
        kind, *fields = data
        if kind == TYPE_CRASH:
            suspects, survivors, for_relay = fields
            return peer_messages.CrashNotice(
                tuple(_decode_suspect(*item) for item in _unpack(suspects)),
                tuple(_decode_start_age(*item) for item in _unpack(survivors)),
                _require(for_relay, bool),
            )
        if kind == TYPE_HELD:
            member, suspects = fields
            return peer_messages.HeldRequests(
                _decode_member(member),
                tuple(_decode_suspect(*item) for item in _unpack(suspects)),
            )
        if kind == TYPE_LIST:
            return _decode_list_update(*fields)
        if kind == TYPE_JOIN:
            member, digest = fields
            if digest is not None:
                _require(digest, int)
            return peer_messages.JoinNotice(_decode_member(member), digest)
        if kind == TYPE_MEMBERS:
            return _decode_member_list(*fields)
        if kind == TYPE_STATE:
            (member,) = fields
            return peer_messages.StateRequest(_decode_member(member))
        if kind == TYPE_PENDING:
            () = fields
            return peer_messages.StatePending()
        if kind == TYPE_OUTAGE:
            () = fields
            return peer_messages.OutageNotice()
        if kind == TYPE_RATE_LIMITS:
            limits, for_relay = fields
            return peer_messages.RateLimitNotice(
                tuple(_decode_limit(*limit) for limit in _unpack(limits)),
                _require(for_relay, bool),
            )
        if kind == TYPE_PAUSES:
            pauses, for_relay = fields
            return peer_messages.PauseNotice(
                tuple(_decode_pause(*pause) for pause in _unpack(pauses)),
                _require(for_relay, bool),
            )
        if kind == TYPE_OPERATORS:
            state, document = fields
            return peer_messages.OperatorNotice(
                _decode_state(state), _decompress(document)
            )
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


def _decode_member_list(
    sender: Any, digest: Any, known: Any
) -> peer_messages.MemberList:
    """Return the list of daemons that the fields encode."""
    members = None
    if known is not None:
        members = tuple(_decode_member(member) for member in _unpack(known))
    return peer_messages.MemberList(
        _require(sender, str), _require(digest, int), members
    )


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


def _encode_suspect(suspect: peer_messages.StatedSuspect) -> list[Any]:
    """Return the suspected request as plain data."""
    return [
        suspect.fingerprint,
        [_encode_start_age(end) for end in suspect.ends],
        _encode_age(suspect.answered_age_s),
    ]


def _decode_suspect(
    fingerprint: Any, ends: Any, answered_age_s: Any
) -> peer_messages.StatedSuspect:
    """Return the suspected request that the fields encode."""
    return peer_messages.StatedSuspect(
        _require(fingerprint, str),
        tuple(_decode_start_age(*end) for end in _require(ends, list)),
        _decode_age(answered_age_s),
    )


def _encode_start_age(item: peer_messages.StartAge) -> list[Any]:
    """Return the start of a server with its age as plain data."""
    return [item.start.server_id, item.start.started_ms, item.age_s]


def _decode_start_age(
    server_id: Any, started_ms: Any, age_s: Any
) -> peer_messages.StartAge:
    """Return the start of a server that the fields encode."""
    start = _decode_start(server_id, started_ms)
    return peer_messages.StartAge(start, _decode_number(age_s))


def _encode_pause(item: peer_messages.StatedPause) -> list[Any]:
    """Return the pause of a server as plain data."""
    return [item.start.server_id, item.start.started_ms, item.left_s]


def _decode_pause(
    server_id: Any, started_ms: Any, left_s: Any
) -> peer_messages.StatedPause:
    """Return the pause of a server that the fields encode."""
    start = _decode_start(server_id, started_ms)
    return peer_messages.StatedPause(start, _decode_number(left_s))


def _decode_start(server_id: Any, started_ms: Any) -> models.ServerStart:
    """Return the process of a server that the fields encode."""
    return models.ServerStart(
        _require(server_id, str), _require(started_ms, int)
    )


def _encode_limit(limit: peer_messages.StatedLimit) -> list[Any]:
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
) -> peer_messages.StatedLimit:
    """Return the limit that the fields encode."""
    return peer_messages.StatedLimit(
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
