"""Messages between daemons and their encoding."""

from __future__ import annotations

from typing import Any

import attrs

from tarragonlift.components.peers import const
from tarragonlift.core import replica
from tarragonlift.core import warming
from tarragonlift import exceptions


@attrs.frozen
class Hello:
    """First message of each side with its name and a nonce."""

    daemon: str
    nonce: bytes


@attrs.frozen
class Proof:
    """Proves that the sender holds the shared key."""

    digest: bytes


@attrs.frozen
class GossipMessage:
    """Gossip round with the sender's hybrid logical clock."""

    round: replica.GossipRound
    wall_ms: int
    counter: int


@attrs.frozen
class Fetch:
    """Requests the bytes of a configuration by their digest."""

    digest: str


@attrs.frozen
class Document:
    """Bytes of a configuration; empty if the sender does not have them."""

    digest: str
    data: bytes


Message = (
    Hello | Proof | GossipMessage | Fetch | Document | warming.LoanMessage
)

# Messages that are encoded as their type and their fields in order.
MESSAGE_TYPES: dict[str, type[Any]] = {
    const.TYPE_HELLO: Hello,
    const.TYPE_PROOF: Proof,
    const.TYPE_FETCH: Fetch,
    const.TYPE_DOCUMENT: Document,
    const.TYPE_LOAN_REQUEST: warming.LoanRequest,
    const.TYPE_LOAN_GRANT: warming.LoanGrant,
    const.TYPE_LOAN_RETURN: warming.LoanReturn,
}
MESSAGE_TYPE_NAMES = {kind: name for name, kind in MESSAGE_TYPES.items()}


def encode(message: Message) -> list[Any]:
    """Return the message as plain data for msgpack."""
    if not isinstance(message, GossipMessage):
        name = MESSAGE_TYPE_NAMES[type(message)]
        return [name, *attrs.astuple(message, recurse=False)]
    items = [
        [
            item.kind,
            item.name,
            item.version,
            item.rank,
            item.origin,
            item.value,
        ]
        for item in message.round.items
    ]
    return [
        const.TYPE_ROUND,
        message.round.sender,
        message.round.heartbeats,
        items,
        message.wall_ms,
        message.counter,
    ]


def decode(data: Any) -> Message:
    """Return the message from plain data, or raise PeerError."""
    try:
        kind, *rest = data
        message_type = MESSAGE_TYPES.get(kind)
        if message_type is not None:
            message: Message = message_type(*rest)
            return message
        if kind == const.TYPE_ROUND:
            sender, heartbeats, items, wall_ms, counter = rest
            received = tuple(replica.Item(*item) for item in items)
            gossip_round = replica.GossipRound(
                sender, dict(heartbeats), received
            )
            return GossipMessage(gossip_round, wall_ms, counter)
    except (TypeError, ValueError) as error:
        raise exceptions.PeerError(str(error)) from error
    raise exceptions.PeerError(f"message type {kind!r} is not known")
