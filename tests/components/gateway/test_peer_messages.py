"""Tests of the datagrams between daemons."""

from __future__ import annotations

import math

import msgpack
import pytest

from tarragonlift.components.gateway import peer_codec
from tarragonlift.components.gateway import peer_messages
from tarragonlift.core.fleet import list_view
from tarragonlift.core.fleet import models
from tarragonlift import exceptions
from tests.core.fleet import common


class TestMessages:
    """Messages survive encoding and decoding."""

    @pytest.mark.parametrize(
        "message",
        [
            peer_messages.CrashNotice(
                (
                    peer_messages.StatedSuspect(
                        "print",
                        (
                            peer_messages.StartAge(
                                models.ServerStart("a", 7), 0.5
                            ),
                        ),
                    ),
                    peer_messages.StatedSuspect("other", (), 0.25),
                ),
                (peer_messages.StartAge(models.ServerStart("b", 8), 1.5),),
                for_relay=True,
            ),
            peer_messages.HeldRequests(
                common.make_member("d"),
                (peer_messages.StatedSuspect("print", ()),),
            ),
            list_view.ListUpdate(
                common.make_member("d"),
                7,
                1 << 63,
                (
                    list_view.ListChange("a", common.make_entry("a")),
                    list_view.ListChange("b", None),
                ),
                models.OperatorState(9, 4, ("here",)),
                operators_age_s=1.5,
                held_digest=1 << 63,
            ),
            peer_messages.OperatorNotice(
                models.OperatorState(9, 4, ("here",))
            ),
            peer_messages.OperatorNotice(
                models.OperatorState(9, 4, ()), b"{}"
            ),
            peer_messages.JoinNotice(common.make_member("d"), 1 << 63),
            peer_messages.JoinNotice(common.make_member("d"), None),
            peer_messages.MemberList(
                "s", 5, (common.make_member("d"), common.make_member("e"))
            ),
            peer_messages.MemberList("s", 5, None),
            peer_messages.StateRequest(common.make_member("d")),
            peer_messages.StatePending(),
            peer_messages.OutageNotice(),
            peer_messages.PauseNotice(
                (peer_messages.StatedPause(models.ServerStart("a", 7), 2.5),),
                for_relay=True,
            ),
            peer_messages.RateLimitNotice(
                (
                    peer_messages.StatedLimit("a", 1, 0.4, 0.25, True),
                    peer_messages.StatedLimit("b", 2, math.inf, 0.0, False),
                ),
                for_relay=True,
            ),
        ],
    )
    def test_round_trip(self, message: peer_messages.Message) -> None:
        """Decode what was encoded."""
        data = msgpack.packb(peer_codec.encode(message))
        assert peer_codec.decode(msgpack.unpackb(data)) == message

    @pytest.mark.parametrize(
        "data",
        [
            None,
            [],
            ["other"],
            ["list", 1],
            ["crash"],
            ["operators", [1, 1, []], b"x"],
            [
                "rate-limits",
                peer_codec._pack([["a", 1, 1e308, 0.0, True]]),
                False,
            ],
            7,
        ],
    )
    def test_unknown_data_is_an_error(self, data: object) -> None:
        """Raise PeerError for data of no known message."""
        with pytest.raises(exceptions.PeerError):
            peer_codec.decode(data)
