"""Tests of following operators through the store and peer messages."""

from __future__ import annotations

from collections import abc
import random

import attrs

from tarragonlift.components.gateway import access
from tarragonlift.components.gateway import const
from tarragonlift.components.gateway import operator_follower
from tarragonlift.components.gateway import peer_messages
from tarragonlift.components import metrics
from tarragonlift.core.fleet import interfaces
from tarragonlift.core.fleet import models
from tarragonlift.core.fleet import operator_watch
from tarragonlift.core import interfaces as core_interfaces
from tarragonlift import exceptions
from tests.core.fleet import common

MAX_DELAY_S = 2.0


class Loop(core_interfaces.Loop):
    """A loop whose clock is advanced by the test."""

    def __init__(self) -> None:
        """Initialize the clock without timers."""
        self.time = common.NOW
        self.timers: list[tuple[float, abc.Callable[[float], None]]] = []

    def now(self) -> float:
        """Return the current time."""
        return self.time

    def wall_time(self) -> float:
        """Return the current time."""
        return self.time

    def call_at(
        self, when: float, function: abc.Callable[[float], None]
    ) -> None:
        """Keep a timer."""
        self.timers.append((when, function))


@attrs.define
class Store(interfaces.FleetStore):
    """A store whose calls are answered by the test."""

    calls: list[str] = attrs.field(factory=list)
    callbacks: list[interfaces.OperatorsCallback] = attrs.field(factory=list)

    def read_operators(self, callback: interfaces.OperatorsCallback) -> None:
        """Keep the callback."""
        self.calls.append("read")
        self.callbacks.append(callback)

    def await_operators(
        self, after: int, wait_s: float, callback: interfaces.OperatorsCallback
    ) -> interfaces.Cancel:
        """Keep the callback."""
        self.calls.append(f"await {after}" if wait_s else f"check {after}")
        self.callbacks.append(callback)
        return lambda: self.callbacks.remove(callback)

    def decode_configuration(
        self, document: bytes
    ) -> models.FleetConfiguration | None:
        """Return a configuration whose version is the document."""
        return common.make_configuration(int(document)) if document else None

    def read_servers(
        self, timeout_s: float, callback: interfaces.ServersCallback
    ) -> None:
        """Not used here."""

    def read_members(self, callback: interfaces.MembersCallback) -> None:
        """Not used here."""

    def write_member(
        self, row: interfaces.MemberRow, callback: interfaces.WrittenCallback
    ) -> None:
        """Not used here."""


class FollowerBench:
    """A daemon that follows operators among ten in its data centre."""

    def __init__(self, waits: bool) -> None:
        """Choose a daemon that waits for changes, or one that does not."""
        self.loop = Loop()
        self.store = Store()
        names = [f"d-{number}" for number in range(10)]
        rows = [
            interfaces.MemberRow(common.make_member(name), common.NOW)
            for name in names
        ]
        for name in names:
            self.fleet = common.make_fleet(name=name)
            self.fleet.set_member_rows(rows, common.NOW, 60.0)
            watch = operator_watch.OperatorWatch(self.fleet.members)
            watch.set_max_delay(MAX_DELAY_S)
            watch.on_heartbeat(common.NOW)
            if watch.is_due(common.NOW) == waits:
                break
        self.watch = watch
        self.sent_notices: list[peer_messages.OperatorNotice] = []
        store_access = access.StoreAccess(
            self.loop,
            self.store,
            self.fleet,
            metrics.create_recorder(None),
            random.Random(1),
        )
        self.follower = operator_follower.OperatorFollower(store_access, watch)
        self.follower.send = self.sent_notices.append
        self.follower.start(common.NOW)
        self.answer(interfaces.OperatorUpdate(5, None, {}, complete=True))

    def answer(
        self, result: operator_follower.Failure | interfaces.OperatorUpdate
    ) -> None:
        """Answer the oldest call."""
        self.store.callbacks.pop(0)(result)

    def pass_time(self, seconds: float) -> None:
        """Advance the clock in ticks and run due timers."""
        end = self.loop.time + seconds
        while self.loop.time < end:
            self.loop.time += 0.05
            due = [
                timer
                for timer in self.loop.timers
                if timer[0] <= self.loop.time
            ]
            for timer in due:
                self.loop.timers.remove(timer)
                timer[1](self.loop.time)
            self.follower.tick(self.loop.time)

    def receive(
        self, store_version: int, version: int, document: bytes
    ) -> None:
        """Receive a notice of a daemon that waits."""
        state = models.OperatorState(store_version, version, ())
        self.follower.on_notice(peer_messages.OperatorNotice(state, document))


class TestWaiting:
    """A daemon that waits for changes at the store."""

    def test_waits_after_full_read(self) -> None:
        """Wait for changes after the version of the full read."""
        assert FollowerBench(True).store.calls == ["read", "await 5"]

    def test_sends_heartbeats_while_waiting(self) -> None:
        """Send heartbeats without a document."""
        bench = FollowerBench(True)
        bench.pass_time(MAX_DELAY_S)
        assert len(bench.sent_notices) >= 4
        assert all(not notice.document for notice in bench.sent_notices)

    def test_sends_changes_at_once(self) -> None:
        """Send the bytes of a new configuration."""
        bench = FollowerBench(True)
        configuration = common.make_configuration(8)
        bench.answer(
            interfaces.OperatorUpdate(7, configuration, {}, document=b"8")
        )
        assert bench.sent_notices[-1] == peer_messages.OperatorNotice(
            models.OperatorState(7, 8, ()), b"8"
        )
        assert bench.store.calls[-1] == "await 7"

    def test_stops_heartbeats_when_store_fails(self) -> None:
        """Stop heartbeats so that another daemon waits; read all again."""
        bench = FollowerBench(True)
        bench.answer(exceptions.PlatformUnavailable())
        bench.sent_notices.clear()
        bench.pass_time(const.MIN_RETRY_INTERVAL_S * 2)
        assert bench.sent_notices == []
        assert bench.store.calls[-1] == "read"


class TestNotified:
    """A daemon that relies on notices of others."""

    def test_makes_no_call_during_heartbeats(self) -> None:
        """Make no call while heartbeats arrive."""
        bench = FollowerBench(False)
        for _ in range(10):
            bench.receive(6, 1, b"")
            bench.pass_time(0.4)
        assert bench.store.calls == ["read"]

    def test_applies_configuration_without_call(self) -> None:
        """Apply the bytes of a configuration from a notice."""
        bench = FollowerBench(False)
        bench.receive(7, 8, b"8")
        bench.pass_time(0.3)
        assert bench.fleet.version == 8
        assert bench.store.calls == ["read"]

    def test_reads_missed_change(self) -> None:
        """Read the store if a heartbeat states a newer version."""
        bench = FollowerBench(False)
        bench.receive(7, 8, b"")
        bench.pass_time(bench.watch.catch_up_delay_s + 0.1)
        assert bench.store.calls == ["read", "read"]
        configuration = common.make_configuration(8)
        bench.answer(
            interfaces.OperatorUpdate(7, configuration, {}, complete=True)
        )
        assert bench.fleet.version == 8

    def test_late_document_avoids_read(self) -> None:
        """Make no read if the document follows the heartbeat shortly."""
        bench = FollowerBench(False)
        bench.receive(7, 8, b"")
        bench.receive(7, 8, b"8")
        bench.pass_time(0.5)
        assert bench.store.calls == ["read"]

    def test_undecodable_document_causes_read(self) -> None:
        """Read the store if the document of a notice can't be decoded."""
        bench = FollowerBench(False)
        bench.store.decode_configuration = (  # type: ignore[method-assign]
            lambda document: None
        )
        bench.receive(7, 8, b"broken")
        bench.pass_time(bench.watch.catch_up_delay_s + 0.1)
        assert bench.store.calls == ["read", "read"]

    def test_waits_without_heartbeats(self) -> None:
        """Wait at the store in time if no heartbeat arrives."""
        bench = FollowerBench(False)
        bench.pass_time(MAX_DELAY_S * 0.8)
        assert bench.store.calls == ["read", "await 5"]

    def test_notice_avoids_read_after_failure(self) -> None:
        """Make no retry after a notice states the same version."""
        bench = FollowerBench(False)
        bench.pass_time(MAX_DELAY_S * 0.8)
        bench.answer(exceptions.PlatformUnavailable())
        calls = list(bench.store.calls)
        bench.receive(6, 1, b"")
        bench.pass_time(0.5)
        assert bench.store.calls == calls

    def test_data_centres_out_of_service_are_followed(self) -> None:
        """Follow a data centre that goes out of service and comes back."""
        bench = FollowerBench(False)
        state = models.OperatorState(7, 1, (common.REMOTE_DATA_CENTRE,))
        bench.follower.on_notice(peer_messages.OperatorNotice(state, b"1"))
        assert bench.fleet.registry.out_of_service == {
            common.REMOTE_DATA_CENTRE
        }
        bench.receive(8, 1, b"1")
        assert bench.fleet.registry.out_of_service == frozenset()
