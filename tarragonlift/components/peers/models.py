"""Messages between daemons and their form on the wire."""

from __future__ import annotations

from typing import Any

import attrs

from tarragonlift.components.peers import const
from tarragonlift.core import replica
from tarragonlift.core import warming
from tarragonlift import exceptions


@attrs.frozen
class Hello:
    """First message of each side: its name and a number used once."""

    daemon: str
    nonce: bytes


@attrs.frozen
class Proof:
    """Shows that the sender holds the shared key."""

    digest: bytes


@attrs.frozen
class GossipMessage:
    """A round of gossip, with the sender's clock."""

    round: replica.GossipRound
    wall_ms: int
    counter: int


@attrs.frozen
class Fetch:
    """Asks for the bytes of a configuration by their digest."""

    digest: str


@attrs.frozen
class Document:
    """The bytes of a configuration; empty where they are not at hand."""

    digest: str
    data: bytes


Message = (
    Hello | Proof | GossipMessage | Fetch | Document | warming.LoanMessage
)

# Messages whose fields go on the wire as they are, in their order.
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
        [one.kind, one.name, one.version, one.rank, one.origin, one.value]
        for one in message.round.items
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
    """Return the message, or raise PeerError."""
    try:
        kind, *rest = data
        plain = MESSAGE_TYPES.get(kind)
        if plain is not None:
            message: Message = plain(*rest)
            return message
        if kind == const.TYPE_ROUND:
            sender, beats, items, wall_ms, counter = rest
            taken = tuple(replica.Item(*item) for item in items)
            heard = replica.GossipRound(sender, dict(beats), taken)
            return GossipMessage(heard, wall_ms, counter)
    except (TypeError, ValueError) as error:
        raise exceptions.PeerError(str(error)) from error
    raise exceptions.PeerError(f"message type {kind!r} is not known")
