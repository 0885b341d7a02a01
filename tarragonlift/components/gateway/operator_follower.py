"""Follows operators' changes: configuration and data centres out of service.

A few daemons of each data centre wait for changes at the store and send them
to the others there, which read the store themselves if they miss one.
"""

from __future__ import annotations

from collections import abc
import math

from tarragonlift.components.gateway import access
from tarragonlift.components.gateway import const
from tarragonlift.components.gateway import dependency
from tarragonlift.components.gateway import peer_messages
from tarragonlift.components import logs
from tarragonlift.core.fleet import const as fleet_const
from tarragonlift.core.fleet import interfaces
from tarragonlift.core.fleet import models
from tarragonlift.core.fleet import operator_watch
from tarragonlift.core.fleet import outage_watch
from tarragonlift.core.fleet import registry
from tarragonlift import exceptions

Failure = exceptions.PlatformError


class OperatorFollower:
    """Keeps a fleet in sync with what operators write."""

    def __init__(
        self,
        store_access: access.StoreAccess,
        watch: operator_watch.OperatorWatch,
    ) -> None:
        """Initialize the follower; ``watch`` decides when it waits."""
        self._access = store_access
        self._loop = store_access.loop
        self._store = store_access.store
        self._fleet = store_access.fleet
        self._watch = watch
        self._dependency = dependency.Dependency("operators", store_access.rng)
        self._document = b""
        self._is_reading = False
        self._is_checking = False
        self._open_call = operator_watch.OpenCall()
        self._cancel_wait: interfaces.Cancel = _do_nothing
        # When the store last told some daemon all changes up to then.
        self.confirmed_at = -math.inf
        self._read_at = -math.inf
        self.outage = outage_watch.OutageWatch(self._fleet.members)
        # A full read is due when changes may have been missed or are no longer
        # kept by the store.
        self._is_full_read_due = True
        self._retry_at = -math.inf
        self._sent_at = -math.inf
        self._pending_state: models.OperatorState | None = None
        self.send: abc.Callable[[peer_messages.OperatorNotice], None] = _ignore
        self.send_to_relays: abc.Callable[
            [peer_messages.OperatorNotice], None
        ] = _ignore
        self.on_store_reached: abc.Callable[[float], None] = _ignore_time

    def start(self, now: float) -> None:
        """Start following with a full read."""
        # Daemons that already wait are expected to send a heartbeat soon.
        self._watch.on_heartbeat(now)
        self.tick(now)

    def tick(self, now: float, may_read_all: bool = True) -> None:
        """Start a due read or wait; send heartbeats while waiting.

        ``may_read_all`` is False while the store is known to be away.
        """
        if self._open_call.is_replaced(now):
            self._stop_waiting()
            logs.log_status("silent_call", name="operators")
        if (
            self._open_call.is_open
            and now - self._sent_at >= self._watch.heartbeat_interval_s
        ):
            self._send_notice(b"", now)
        if self._is_reading or now < self._retry_at:
            return
        if self._is_full_read_due:
            if may_read_all and self._may_try(now):
                self._read_all()
        elif not self._open_call.is_open and self._watch.is_due(now):
            if self._may_try(now):
                self._wait_for_changes()

    @property
    def is_full_read_due(self) -> bool:
        """Return whether operators' changes may have been missed."""
        return self._is_full_read_due

    def is_store_lost(self, now: float) -> bool:
        """Return whether the last call failed or a read has no answer yet."""
        is_slow = now - self._read_at > fleet_const.SLOW_READ_S
        return self._dependency.is_lost or (self._is_reading and is_slow)

    def make_complete_notice(self) -> peer_messages.OperatorNotice:
        """Return the known state with its document."""
        return peer_messages.OperatorNotice(
            self._fleet.operators, self._document
        )

    def _may_try(self, now: float) -> bool:
        """Return whether to call the store although others failed."""
        is_known = self._fleet.operators.store_version > 0
        return not is_known or self.outage.may_try(now)

    def read_again(self, now: float) -> None:
        """Start a full read now, after a pause of the process."""
        self._is_full_read_due = True
        self._is_reading = False
        self._retry_at = now
        self._open_call.on_call_failed()
        self.tick(now)

    def on_list_failed(self) -> None:
        """Doubt the open call, as this daemon's read of the list failed."""
        self._open_call.on_call_failed()

    def on_list_read(self, now: float, leads: bool) -> None:
        """Check for changes if due, as this daemon has just read the list.

        ``leads`` is False if another daemon does so as well.
        """
        self._open_call.on_call_answered(now)
        if not leads:
            return
        is_due = now - self.confirmed_at >= self._watch.check_interval_s
        if is_due and not (
            self._is_checking or self._is_reading or self._is_full_read_due
        ):
            self._check_for_changes()

    def on_notice(self, notice: peer_messages.OperatorNotice) -> None:
        """Apply a notice of a daemon of this data centre."""
        now = self._loop.now()
        self._watch.on_heartbeat(now)
        if notice.document and self._fleet.is_behind(notice.state):
            self._apply_document(notice)
        self.on_peer_state(notice.state)
        is_known = self._fleet.operators.store_version > 0
        if is_known and not self._fleet.is_behind(notice.state):
            # A daemon that waits has made a full read; this one has the same
            # state and needs none.
            self._is_full_read_due = False
            self._dependency.record_success(now)

    def on_peer_state(
        self, state: models.OperatorState, age_s: float = math.inf
    ) -> None:
        """Schedule a full read if another daemon knows a newer state.

        ``age_s`` is the time in seconds since the store told that daemon all
        changes.
        """
        if not self._fleet.is_behind(state):
            self._fleet.record_unchanged(state)
            confirmed_at = self._loop.now() - age_s
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
            return
        if self._pending_state is not None:
            return
        self._pending_state = state
        when = self._loop.now() + self._watch.catch_up_delay_s
        self._loop.call_at(when, self._catch_up)

    def _catch_up(self, now: float) -> None:
        """Read the store if the newer state has not arrived by itself."""
        state, self._pending_state = self._pending_state, None
        if state is None or not self._fleet.is_behind(state):
            return
        self._is_full_read_due = True
        self.tick(now)

    def _read_all(self) -> None:
        """Start a full read of what operators wrote."""
        self._is_reading = True
        self._read_at = self._loop.now()
        self._access.count_call()
        self._store.read_operators(self._on_read)

    def _on_read(self, update: interfaces.OperatorUpdate | Failure) -> None:
        """Apply the result of a full read."""
        now = self._loop.now()
        self._is_reading = False
        if isinstance(update, Failure):
            self._on_failure(update, now)
            return
        self._is_full_read_due = False
        self._on_answer(now)
        if self._apply_update(update) and self._watch.is_due(now):
            self._send_notice(self._document, now)
        self._fleet.registry.confirm(registry.Source.OPERATORS)
        self.tick(now)

    def _wait_for_changes(self) -> None:
        """Start a call that returns with the operators' next change."""
        self._open_call.open()
        self._access.count_call()
        after = self._fleet.operators.store_version
        self._cancel_wait = self._store.await_operators(
            after, const.MAX_CHANGES_WAIT_S, self._on_changes
        )

    def _stop_waiting(self) -> None:
        """End the open call without an answer."""
        self._open_call.close()
        self._cancel_wait()

    def _on_changes(self, update: interfaces.OperatorUpdate | Failure) -> None:
        """Apply the operators' change and send it to the data centre."""
        now = self._loop.now()
        self._open_call.close()
        if isinstance(update, Failure):
            self._on_failure(update, now)
            return
        self._on_answer(now)
        if self._apply_update(update):
            self._send_notice(self._document, now)
        self.tick(now)

    def _check_for_changes(self) -> None:
        """Ask for what changed without waiting for it."""
        self._is_checking = True
        self._access.count_call()
        after = self._fleet.operators.store_version
        self._store.await_operators(after, 0.0, self._on_checked)

    def _on_checked(self, update: interfaces.OperatorUpdate | Failure) -> None:
        """Apply changes that no open call has delivered, and tell all."""
        now = self._loop.now()
        self._is_checking = False
        if isinstance(update, Failure):
            self._open_call.on_call_failed()
            if isinstance(update, exceptions.PlatformHistoryLost):
                self._is_full_read_due = True
            return
        self._on_answer(now)
        if self._apply_update(update):
            self._send_notice(self._document, now)
            state = self._fleet.operators
            self.send_to_relays(peer_messages.OperatorNotice(state))

    def _on_answer(self, now: float) -> None:
        """Record that the store told this daemon all changes."""
        self._dependency.record_success(now)
        self.confirmed_at = now
        self.on_store_reached(now)
        self._open_call.on_call_answered(now)

    def _on_failure(self, failure: Failure, now: float) -> None:
        """Schedule a full read after a delay."""
        self._is_full_read_due = True
        daemons = len(self._fleet.members)
        self._retry_at = self._dependency.record_failure(failure, now, daemons)

    def _apply_document(self, notice: peer_messages.OperatorNotice) -> None:
        """Apply a state and configuration received from another daemon."""
        state = notice.state
        configuration = None
        if state.configuration > self._fleet.version:
            configuration = self._store.decode_configuration(notice.document)
            if configuration is None:
                return
        out = dict.fromkeys(state.out_of_service, True)
        self._apply_update(
            interfaces.OperatorUpdate(
                state.store_version,
                configuration,
                out,
                complete=True,
                document=notice.document,
            )
        )

    def _apply_update(self, update: interfaces.OperatorUpdate) -> bool:
        """Apply the operators' update; return whether it changed anything."""
        configuration_changed, out_changed = self._fleet.apply_operators(
            update
        )
        if configuration_changed:
            self._document = update.document
            logs.log_status(
                "configuration",
                version=self._fleet.version,
                store_version=update.store_version,
            )
        if out_changed:
            logs.log_status(
                "data_centres_out",
                out=sorted(self._fleet.registry.out_of_service),
                store_version=update.store_version,
            )
        is_changed = configuration_changed or out_changed
        if is_changed:
            self._open_call.on_change_known(self._loop.now())
        return is_changed

    def _send_notice(self, document: bytes, now: float) -> None:
        """Send the known state to the daemons of this data centre."""
        self._sent_at = now
        state = self._fleet.operators
        self.send(peer_messages.OperatorNotice(state, document))


def _do_nothing() -> None:
    """End no call; used until there is one."""


def _ignore_time(when: float) -> None:
    """Ignore the time; used until a callback is set."""


def _ignore(notice: peer_messages.OperatorNotice) -> None:
    """Drop the notice; used until a sender is set."""
