"""Fuzz tests of the datagrams from other daemons."""

from __future__ import annotations

import contextlib
import tracemalloc
import zlib

import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from tarragonlift.components.data_path import byte_limits
from tarragonlift.components.gateway import crash_follower
from tarragonlift.components.gateway import pause_follower
from tarragonlift.components.gateway import peer_codec
from tarragonlift.components.gateway import peer_messages
from tarragonlift.components.gateway import rate_limit_follower
from tarragonlift.core.fleet import list_view
from tarragonlift import exceptions
from tarragonlift_lab import fleet_state
from tests.core.fleet import common


def pack(items: list[object]) -> bytes:
    """Return the items compressed, as daemons send them."""
    return zlib.compress(msgpack.packb(items))


SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(1 << 63), (1 << 64) - 1),
    strategies.floats(),
    strategies.text(max_size=8),
    strategies.binary(max_size=8),
)
VALUES = strategies.recursive(
    SCALARS, lambda inner: strategies.lists(inner, max_size=8), max_leaves=20
)
STATE = strategies.one_of(VALUES, strategies.just([1, 1, ["a"]]))
MEMBER = strategies.one_of(
    VALUES, strategies.just(["d", "here", "127.0.0.1:1"])
)
CHANGE = strategies.one_of(
    VALUES,
    strategies.tuples(
        *[SCALARS] * 2, strategies.just("127.0.0.1:1"), *[SCALARS] * 5
    ).map(list),
)
PACKED_CHANGES = strategies.one_of(
    VALUES, strategies.lists(CHANGE, max_size=4).map(pack)
)
PACKED_MEMBERS = strategies.one_of(
    VALUES, strategies.lists(MEMBER, max_size=4).map(pack)
)
LIMIT = strategies.one_of(
    VALUES,
    strategies.tuples(strategies.just("a"), *[SCALARS] * 4).map(list),
    strategies.tuples(
        strategies.just("a"),
        strategies.just(1),
        SCALARS,
        strategies.floats(),
        strategies.booleans(),
    ).map(list),
)
PACKED_LIMITS = strategies.one_of(
    VALUES, strategies.lists(LIMIT, max_size=4).map(pack)
)
END = strategies.one_of(
    VALUES,
    strategies.tuples(strategies.just("a"), SCALARS, strategies.floats()).map(
        list
    ),
)
PACKED_ENDS = strategies.one_of(
    VALUES, strategies.lists(END, max_size=4).map(pack)
)
SUSPECT = strategies.one_of(
    VALUES,
    strategies.tuples(
        strategies.just("print"), strategies.lists(END, max_size=4), SCALARS
    ).map(list),
)
PACKED_SUSPECTS = strategies.one_of(
    VALUES, strategies.lists(SUSPECT, max_size=4).map(pack)
)
MESSAGES = strategies.one_of(
    VALUES,
    strategies.tuples(
        strategies.just("crash"), PACKED_SUSPECTS, PACKED_ENDS, SCALARS
    ).map(list),
    strategies.tuples(strategies.just("held"), MEMBER, PACKED_SUSPECTS).map(
        list
    ),
    strategies.tuples(strategies.just("operators"), STATE, VALUES).map(list),
    strategies.tuples(
        strategies.just("list"),
        MEMBER,
        SCALARS,
        SCALARS,
        PACKED_CHANGES,
        STATE,
        SCALARS,
        SCALARS,
        SCALARS,
        SCALARS,
        SCALARS,
    ).map(list),
    strategies.tuples(strategies.just("join"), MEMBER, SCALARS).map(list),
    strategies.tuples(
        strategies.just("members"), SCALARS, SCALARS, PACKED_MEMBERS
    ).map(list),
    strategies.tuples(strategies.just("state"), MEMBER).map(list),
    strategies.tuples(
        strategies.just("rate-limits"), PACKED_LIMITS, SCALARS
    ).map(list),
    strategies.tuples(strategies.just("pauses"), PACKED_ENDS, SCALARS).map(
        list
    ),
    strategies.tuples(strategies.just("outage")).map(list),
    strategies.tuples(strategies.just("pending")).map(list),
)


class TestDatagrams:
    """Datagrams of any content."""

    @hypothesis.settings(max_examples=800, deadline=None)
    @hypothesis.given(MESSAGES)
    def test_any_message_is_decoded_or_refused(self, data: object) -> None:
        """Raise nothing but PeerError; what is decoded can be applied."""
        received = msgpack.unpackb(msgpack.packb(data), strict_map_key=False)
        try:
            message = peer_codec.decode(received)
        except exceptions.PeerError:
            return
        fleet = common.make_fleet(common.make_entry("a"))
        if isinstance(message, list_view.ListUpdate):
            view = list_view.ListView()
            view.apply(message)
            fleet.add_member(message.member)
            fleet.is_behind(message.operators)
        elif isinstance(message, peer_messages.OperatorNotice):
            fleet.is_behind(message.state)
        elif isinstance(message, peer_messages.MemberList):
            fleet.set_members(message.members or (), message.sender)
        elif isinstance(
            message, peer_messages.JoinNotice | peer_messages.StateRequest
        ):
            fleet.join_member(message.member, common.NOW)
        elif isinstance(message, peer_messages.RateLimitNotice):
            limits = rate_limit_follower.RateLimitFollower(
                fleet_state.Clock(), fleet.registry
            )
            limits.on_notice(message)
            limits.tick(common.NOW)
        elif isinstance(message, peer_messages.PauseNotice):
            pauses = pause_follower.PauseFollower(
                fleet_state.Clock(), fleet.registry
            )
            pauses.on_notice(message)
            pauses.make_notices()
        elif isinstance(
            message, peer_messages.CrashNotice | peer_messages.HeldRequests
        ):
            crashes = crash_follower.CrashFollower(
                fleet_state.Clock(), fleet.crash_tracker, fleet.members
            )
            if isinstance(message, peer_messages.HeldRequests):
                crashes.on_held_requests(message)
            else:
                crashes.on_notice(message)
            crashes.tick(common.NOW)
            fleet.crash_tracker.held_digest(common.NOW)

    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_bytes_are_refused_or_decoded(self, data: bytes) -> None:
        """Raise nothing but PeerError."""
        with contextlib.suppress(exceptions.PeerError):
            peer_codec.parse(data)

    def test_compressed_document_is_bounded(self) -> None:
        """Refuse a document that is larger than the limit once expanded."""
        document = zlib.compress(b"\0" * (200 << 20))
        message = [peer_codec.TYPE_OPERATORS, [1, 1, []], document]
        tracemalloc.start()
        try:
            with pytest.raises(exceptions.PeerError):
                peer_codec.decode(message)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert peak < 4 * byte_limits.MAX_PEER_DOCUMENT_BYTES
