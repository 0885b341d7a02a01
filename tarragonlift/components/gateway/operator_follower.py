"""Follows what operators write: the configuration, and what is out.

A few daemons of each data centre wait for changes at the store and tell the
others there, who read by themselves where they miss something.
"""

from __future__ import annotations

from collections import abc
import math

from tarragonlift.components.gateway import access
from tarragonlift.components.gateway import const
from tarragonlift.components.gateway import dependency
from tarragonlift.components.gateway import peer_messages
from tarragonlift.components import logs
from tarragonlift.core.fleet import interfaces
from tarragonlift.core.fleet import models
from tarragonlift.core.fleet import operator_watch
from tarragonlift import exceptions

Failure = exceptions.PlatformError


class OperatorFollower:
    """Keeps a fleet in line with operators."""

    def __init__(
        self,
        store_access: access.StoreAccess,
        watch: operator_watch.OperatorWatch,
    ) -> None:
        """Wait for changes where it is this daemon's turn."""
        self._access = store_access
        self._loop = store_access.loop
        self._store = store_access.store
        self._fleet = store_access.fleet
        self._watch = watch
        self._dependency = dependency.Dependency("operators", store_access.rng)
        self._document = b""
        self._is_reading = False
        self._is_waiting = False
        # A whole reading is due: changes may have been missed or forgotten.
        self._is_full_read_due = True
        self._retry_at = -math.inf
        self._sent_at = -math.inf
        self._pending_state: models.OperatorState | None = None
        self.send: abc.Callable[[peer_messages.OperatorNotice], None] = _ignore

    def start(self, now: float) -> None:
        """Follow from now on."""
        # Who waits already is heard of soon.
        self._watch.on_heartbeat(now)
        self.tick(now)

    def tick(self, now: float) -> None:
        """Read or wait where it is due; send heartbeats while waiting."""
        if (
            self._is_waiting
            and now - self._sent_at >= self._watch.heartbeat_interval_s
        ):
            self._send_notice(b"", now)
        if self._is_reading or now < self._retry_at:
            return
        if self._is_full_read_due:
            self._read()
        elif not self._is_waiting and self._watch.is_due(now):
            self._wait_for_changes()

    def on_notice(self, notice: peer_messages.OperatorNotice) -> None:
        """Take what a daemon of this data centre tells."""
        now = self._loop.now()
        self._watch.on_heartbeat(now)
        if notice.document and self._fleet.is_behind(notice.state):
            self._apply_document(notice)
        self.on_peer_state(notice.state)
        if self._fleet.version and not self._fleet.is_behind(notice.state):
            # Who waits has read the whole: this daemon knows the same.
            self._is_full_read_due = False
            self._dependency.record_success(now)

    def on_peer_state(self, state: models.OperatorState) -> None:
        """Read soon where another daemon knows more, unless told before."""
        if not self._fleet.is_behind(state):
            self._fleet.record_unchanged(state)
            return
        if self._pending_state is not None:
            return
        self._pending_state = state
        when = self._loop.now() + const.CATCH_UP_DELAY_S
        self._loop.call_at(when, self._catch_up)

    def _catch_up(self, now: float) -> None:
        """Read where what another daemon knows did not come by itself."""
        state, self._pending_state = self._pending_state, None
        if state is None or not self._fleet.is_behind(state):
            return
        self._is_full_read_due = True
        self.tick(now)

    def _read(self) -> None:
        """Read all that operators wrote."""
        self._is_reading = True
        self._access.count_call()
        self._store.read_operators(self._on_read)

    def _on_read(self, news: interfaces.OperatorUpdate | Failure) -> None:
        """Take a whole reading."""
        now = self._loop.now()
        self._is_reading = False
        if isinstance(news, Failure):
            self._on_failure(news, now)
            return
        self._is_full_read_due = False
        self._dependency.record_success(now)
        self._apply_news(news)
        self.tick(now)

    def _wait_for_changes(self) -> None:
        """Wait for what operators write next."""
        self._is_waiting = True
        self._access.count_call()
        after = self._fleet.operators.store_version
        self._store.await_operators(
            after, const.MAX_CHANGES_WAIT_S, self._on_changes
        )

    def _on_changes(self, news: interfaces.OperatorUpdate | Failure) -> None:
        """Take what operators wrote, and tell it."""
        now = self._loop.now()
        self._is_waiting = False
        if isinstance(news, Failure):
            self._on_failure(news, now)
            return
        self._dependency.record_success(now)
        if self._apply_news(news):
            self._send_notice(self._document, now)
        self.tick(now)

    def _on_failure(self, failure: Failure, now: float) -> None:
        """Read the whole again after a pause."""
        self._is_full_read_due = True
        daemons = len(self._fleet.members)
        self._retry_at = self._dependency.record_failure(failure, now, daemons)

    def _apply_document(self, notice: peer_messages.OperatorNotice) -> None:
        """Take the words of operators from another daemon."""
        state = notice.state
        configuration = None
        if state.configuration > self._fleet.version:
            configuration = self._store.decode_configuration(notice.document)
            if configuration is None:
                return
        out = dict.fromkeys(state.out_of_service, True)
        self._apply_news(
            interfaces.OperatorUpdate(
                state.store_version,
                configuration,
                out,
                complete=True,
                document=notice.document,
            )
        )

    def _apply_news(self, news: interfaces.OperatorUpdate) -> bool:
        """Put what operators wrote in force; return whether it is news."""
        adopted, out_changed = self._fleet.apply_operators(news)
        if adopted:
            self._document = news.document
            logs.log_status(
                "configuration",
                version=self._fleet.version,
                store_version=news.store_version,
            )
        if out_changed:
            logs.log_status(
                "data_centres_out",
                out=sorted(self._fleet.registry.out_of_service),
                store_version=news.store_version,
            )
        return adopted or out_changed

    def _send_notice(self, document: bytes, now: float) -> None:
        """Tell the daemons of this data centre what is known here."""
        self._sent_at = now
        state = self._fleet.operators
        self.send(peer_messages.OperatorNotice(state, document))


def _ignore(notice: peer_messages.OperatorNotice) -> None:
    """Tell nobody."""
