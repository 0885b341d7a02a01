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
from tarragonlift.components.gateway import news as news_module
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
        turns: operator_watch.OperatorWatch,
    ) -> None:
        """Wait for changes where it is this daemon's turn."""
        self._access = store_access
        self._loop = store_access.loop
        self._store = store_access.store
        self._fleet = store_access.fleet
        self._watch = turns
        self._dependency = dependency.Dependency("operators", store_access.rng)
        self._document = b""
        self._reading = False
        self._waiting = False
        # A whole reading is due: changes may have been missed or forgotten.
        self._is_whole_due = True
        self._retry_at = -math.inf
        self._told_at = -math.inf
        self._doubted: models.OperatorState | None = None
        self.tell: abc.Callable[[news_module.OperatorNotice], None] = _ignore

    def start(self, now: float) -> None:
        """Follow from now on."""
        # Who waits already is heard of soon.
        self._watch.on_heartbeat(now)
        self.tick(now)

    def tick(self, now: float) -> None:
        """Read or wait where it is due; send heartbeats while waiting."""
        if (
            self._waiting
            and now - self._told_at >= self._watch.heartbeat_interval_s
        ):
            self._tell(b"", now)
        if self._reading or now < self._retry_at:
            return
        if self._is_whole_due:
            self._read()
        elif not self._waiting and self._watch.is_due(now):
            self._await()

    def take_notice(self, notice: news_module.OperatorNotice) -> None:
        """Take what a daemon of this data centre tells."""
        now = self._loop.now()
        self._watch.on_heartbeat(now)
        if notice.document and self._fleet.is_behind(notice.state):
            self._take_document(notice)
        self.take_state(notice.state)
        if self._fleet.version and not self._fleet.is_behind(notice.state):
            # Who waits has read the whole: this daemon knows the same.
            self._is_whole_due = False
            self._dependency.succeed(now)

    def take_state(self, state: models.OperatorState) -> None:
        """Read soon where another daemon knows more, unless told before."""
        if not self._fleet.is_behind(state):
            self._fleet.record_unchanged(state)
            return
        if self._doubted is not None:
            return
        self._doubted = state
        when = self._loop.now() + const.DOUBT_S
        self._loop.call_at(when, self._end_doubt)

    def _end_doubt(self, now: float) -> None:
        """Read where what another daemon knows did not come by itself."""
        state, self._doubted = self._doubted, None
        if state is None or not self._fleet.is_behind(state):
            return
        self._is_whole_due = True
        self.tick(now)

    def _read(self) -> None:
        """Read all that operators wrote."""
        self._reading = True
        self._access.count_call()
        self._store.read_operators(self._on_read)

    def _on_read(self, news: interfaces.OperatorUpdate | Failure) -> None:
        """Take a whole reading."""
        now = self._loop.now()
        self._reading = False
        if isinstance(news, Failure):
            self._on_failure(news, now)
            return
        self._is_whole_due = False
        self._dependency.succeed(now)
        self._take_news(news)
        self.tick(now)

    def _await(self) -> None:
        """Wait for what operators write next."""
        self._waiting = True
        self._access.count_call()
        after = self._fleet.operators.store_version
        self._store.await_operators(after, const.WAIT_S, self._on_awaited)

    def _on_awaited(self, news: interfaces.OperatorUpdate | Failure) -> None:
        """Take what operators wrote, and tell it."""
        now = self._loop.now()
        self._waiting = False
        if isinstance(news, Failure):
            self._on_failure(news, now)
            return
        self._dependency.succeed(now)
        if self._take_news(news):
            self._tell(self._document, now)
        self.tick(now)

    def _on_failure(self, failure: Failure, now: float) -> None:
        """Read the whole again after a pause."""
        self._is_whole_due = True
        daemons = len(self._fleet.members)
        self._retry_at = self._dependency.fail(failure, now, daemons)

    def _take_document(self, notice: news_module.OperatorNotice) -> None:
        """Take the words of operators from another daemon."""
        state = notice.state
        configuration = None
        if state.configuration > self._fleet.version:
            configuration = self._store.decode_configuration(notice.document)
            if configuration is None:
                return
        out = dict.fromkeys(state.out_of_service, True)
        self._take_news(
            interfaces.OperatorUpdate(
                state.store_version,
                configuration,
                out,
                complete=True,
                document=notice.document,
            )
        )

    def _take_news(self, news: interfaces.OperatorUpdate) -> bool:
        """Put what operators wrote in force; return whether it is news."""
        adopted, moved = self._fleet.apply_operators(news)
        if adopted:
            self._document = news.document
            logs.log_belief(
                "configuration",
                version=self._fleet.version,
                store_version=news.store_version,
            )
        if moved:
            logs.log_belief(
                "data_centres_out",
                out=sorted(self._fleet.registry.out_of_service),
                store_version=news.store_version,
            )
        return adopted or moved

    def _tell(self, document: bytes, now: float) -> None:
        """Tell the daemons of this data centre what is known here."""
        self._told_at = now
        state = self._fleet.operators
        self.tell(news_module.OperatorNotice(state, document))


def _ignore(notice: news_module.OperatorNotice) -> None:
    """Tell nobody."""
