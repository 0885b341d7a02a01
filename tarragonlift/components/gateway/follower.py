"""Follows the platform's store: operators, servers and daemons.

The store may be down, slow, silent or refuse this daemon. What was read last
stays in force meanwhile.
"""

from __future__ import annotations

from collections import abc
import functools
import math
import random

from tarragonlift.components.gateway import const
from tarragonlift.components import logs
from tarragonlift.components.metrics import recorder
from tarragonlift.core import doors as core_doors
from tarragonlift.core.fleet import const as fleet_const
from tarragonlift.core.fleet import doors
from tarragonlift.core.fleet import fleet as fleet_module
from tarragonlift.core.fleet import list_view
from tarragonlift.core.fleet import turns
from tarragonlift import exceptions

Failure = exceptions.PlatformError


class Dependency:
    """Logs when the store is lost and regained, for one kind of reading."""

    def __init__(self, name: str, retry_most_s: float) -> None:
        """Begin as not lost; pauses grow up to ``retry_most_s`` seconds."""
        self._name = name
        self._lost_at: float | None = None
        self._retry_most_s = retry_most_s
        self._retry_s = const.RETRY_S

    @property
    def lost(self) -> bool:
        """Return whether the last reading failed."""
        return self._lost_at is not None

    def fail(self, error: Failure, now: float) -> float:
        """Note a failed reading; return the pause before the next."""
        if self._lost_at is None:
            self._lost_at = now
            logs.log_belief(
                "dependency",
                name=self._name,
                lost=True,
                error=type(error).__name__,
            )
        pause = self._retry_s
        self._retry_s = min(2.0 * pause, self._retry_most_s)
        return pause

    def succeed(self, now: float) -> bool:
        """Note a reading; return whether it is the first after failures."""
        if self._lost_at is None:
            return False
        lost_s = round(now - self._lost_at, 3)
        self._lost_at = None
        self._retry_s = const.RETRY_S
        logs.log_belief(
            "dependency", name=self._name, lost=False, after_s=lost_s
        )
        return True


class Follower:
    """Keeps a fleet in line with the store."""

    def __init__(
        self,
        loop: core_doors.Loop,
        store: doors.FleetStore,
        fleet: fleet_module.Fleet,
        metrics: recorder.Recorder,
        known_within_s: float,
        rng: random.Random,
    ) -> None:
        """Know the leaving of a server within ``known_within_s`` seconds."""
        self._loop = loop
        self._store = store
        self._fleet = fleet
        self._metrics = metrics
        self._turns = turns.ReadingTurns(fleet.members)
        self.set_known_within(known_within_s)
        self._view = list_view.ListView()
        self._reading = False
        self._retry_at = -math.inf
        self._lapsed_until = -math.inf
        self._reread_at = -math.inf
        self._rng = rng
        self._operators = Dependency("operators", const.RETRY_MOST_S)
        self._servers = Dependency("servers", const.RETRY_MOST_S / 2)
        self._members = Dependency("members", const.RETRY_MOST_S)
        self._stopped = False
        self.tell: abc.Callable[[list_view.ListNews], None] = _ignore

    def set_known_within(self, seconds: float) -> None:
        """Know the leaving of a server within this time from now on."""
        self._longest_s = seconds * const.LIST_SHARE
        self._turns.set_longest(self._longest_s)

    def start(self) -> None:
        """Follow from now on."""
        now = self._loop.now()
        self._read_operators(now)
        self.tick(now)
        self._write_member(now)
        for wait in const.MEMBERS_EARLY_S:
            spread = self._rng.random() * wait
            self._loop.call_at(now + wait + spread, self._read_members)

    def stop(self) -> None:
        """Write nothing more."""
        self._stopped = True

    def tick(self, now: float) -> None:
        """Read the list where it is this daemon's turn."""
        if self._reading or now < self._retry_at:
            return
        if now >= self._turns.due_at:
            self._read_servers(now)

    def take_list_news(self, news: list_view.ListNews) -> None:
        """Take another daemon's reading of the list."""
        now = self._loop.now()
        if not self._fleet.agrees(news.configuration, news.out):
            self._reread_operators(now)
        if news.store_version < self._fleet.registry.version:
            return
        if news.lapsed_for_s > 0:
            self._keep_lapsed(now, news.lapsed_for_s)
        if self._view.apply(news):
            self._turns.on_known(now)
            self._follow_list(news.store_version, now)

    def _reread_operators(self, now: float) -> None:
        """Read all that operators wrote: another daemon knows more."""
        if now < self._reread_at:
            return
        self._reread_at = now + const.REREAD_S
        self._metrics.count("store_calls")
        self._store.read_operators(self._on_reread)

    def _read_operators(self, now: float) -> None:
        """Read all that operators wrote, then wait for changes."""
        self._metrics.count("store_calls")
        self._store.read_operators(self._on_operators)

    def _await_operators(self, after: int) -> None:
        """Wait for what operators write next."""
        self._metrics.count("store_calls")
        callback = functools.partial(self._on_operators, after=after)
        self._store.await_operators(after, const.WAIT_S, callback)

    def _on_operators(
        self, news: doors.OperatorNews | Failure, after: int = 0
    ) -> None:
        """Take what operators wrote."""
        now = self._loop.now()
        if isinstance(news, Failure):
            pause = self._operators.fail(news, now)
            when = now + pause * (0.5 + self._rng.random())
            # A whole reading: changes may have been missed or forgotten.
            self._loop.call_at(when, self._read_operators)
            return
        self._operators.succeed(now)
        self._take_news(news)
        self._await_operators(max(after, news.store_version))

    def _on_reread(self, news: doors.OperatorNews | Failure) -> None:
        """Take a reading beside the wait for changes."""
        if not isinstance(news, Failure):
            self._take_news(news)

    def _take_news(self, news: doors.OperatorNews) -> None:
        """Put what operators wrote in force."""
        adopted, moved = self._fleet.take_news(news)
        if adopted:
            logs.log_belief(
                "configuration",
                version=self._fleet.version,
                store_version=news.store_version,
            )
        if moved:
            logs.log_belief(
                "data_centres_out",
                out=sorted(self._fleet.registry.out),
                store_version=news.store_version,
            )

    def _read_servers(self, now: float) -> None:
        """Read the list of servers."""
        self._reading = True
        self._metrics.count("store_calls")
        timeout = self._longest_s * const.LIST_TIMEOUT_SHARE
        self._store.read_servers(timeout, self._on_servers)

    def _on_servers(self, found: doors.ServerList | Failure) -> None:
        """Take the list of servers, and tell the other daemons."""
        now = self._loop.now()
        self._reading = False
        if isinstance(found, Failure):
            pause = self._servers.fail(found, now)
            self._retry_at = now + pause * (0.5 + self._rng.random())
            return
        if self._servers.succeed(now):
            self._keep_lapsed(now, fleet_const.LAPSED_KEPT_S)
        if found.store_version < self._fleet.registry.version:
            self._retry_at = now + const.RETRY_S
            return
        changes = self._view.replace(found.servers)
        self._turns.on_known(now)
        self._follow_list(found.store_version, now)
        self.tell(
            list_view.ListNews(
                self._fleet.members.own.daemon,
                found.store_version,
                self._view.digest,
                changes,
                max(0.0, self._lapsed_until - now),
                self._fleet.version,
                tuple(sorted(self._fleet.registry.out)),
            )
        )

    def _keep_lapsed(self, now: float, seconds: float) -> None:
        """Keep missing entries for a while: the list was away."""
        self._lapsed_until = max(self._lapsed_until, now + seconds)
        self._fleet.registry.keep_lapsed(self._lapsed_until)

    def _follow_list(self, store_version: int, now: float) -> None:
        """Follow the newest reading."""
        changes = self._fleet.registry.set_list(
            store_version, self._view.entries, now
        )
        for change in changes:
            logs.log_belief(
                "server_list",
                server=change.server_id,
                change=change.kind,
                detail=change.detail,
                list_version=store_version,
            )

    def _write_member(self, now: float) -> None:
        """Write this daemon's row, now and once in a while."""
        if self._stopped:
            return
        when = now + const.MEMBERS_S * (0.9 + 0.2 * self._rng.random())
        self._loop.call_at(when, self._write_member)
        self._metrics.count("store_calls")
        row = doors.MemberRow(self._fleet.members.own, self._loop.wall_time())
        self._store.write_member(row, self._on_written)
        self._loop.call_at(when + 1.0, self._read_members)

    def _on_written(self, failure: Failure | None) -> None:
        """Try again where the row was perhaps not written."""
        if failure is not None:
            now = self._loop.now()
            self._members.fail(failure, now)

    def _read_members(self, now: float) -> None:
        """Read the rows of all daemons."""
        self._metrics.count("store_calls")
        self._store.read_members(self._on_members)

    def _on_members(self, rows: list[doors.MemberRow] | Failure) -> None:
        """Take the rows of all daemons."""
        now = self._loop.now()
        if isinstance(rows, Failure):
            pause = self._members.fail(rows, now)
            self._loop.call_at(now + pause, self._read_members)
            return
        self._members.succeed(now)
        wall_time = self._loop.wall_time()
        if self._fleet.set_members(rows, wall_time, const.MEMBER_VOID_S):
            logs.log_belief("members", count=len(self._fleet.members))


def _ignore(news: list_view.ListNews) -> None:
    """Tell nobody."""
