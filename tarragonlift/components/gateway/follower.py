"""Follows the platform's store: operators, servers and daemons.

The store may be down, slow, silent or refuse this daemon. What was read last
stays in force meanwhile.
"""

from __future__ import annotations

from collections import abc
import math

from tarragonlift.components.gateway import access
from tarragonlift.components.gateway import const
from tarragonlift.components.gateway import dependency
from tarragonlift.components.gateway import member_rows
from tarragonlift.components.gateway import news as news_module
from tarragonlift.components.gateway import operators
from tarragonlift.components import logs
from tarragonlift.core.fleet import const as fleet_const
from tarragonlift.core.fleet import interfaces
from tarragonlift.core.fleet import list_view
from tarragonlift.core.fleet import operator_watch
from tarragonlift.core.fleet import read_schedule
from tarragonlift import exceptions

Failure = exceptions.PlatformError


class Follower:
    """Keeps a fleet in line with the store, alone or told by others."""

    def __init__(self, store_access: access.StoreAccess) -> None:
        """Prepare; ``set_times`` and ``start`` begin."""
        self._watch = operator_watch.OperatorWatch(store_access.fleet.members)
        self._operators = operators.OperatorFollower(store_access, self._watch)
        self._servers = ServerFollower(store_access)
        self._members = member_rows.MemberRows(store_access)

    def set_times(self, known_within_s: float, configured_s: float) -> None:
        """Know changes within these times from now on.

        ``known_within_s``: that a server leaves; ``configured_s``: what
        operators write.
        """
        self._servers.set_known_within(known_within_s)
        self._watch.set_max_delay(configured_s)

    def set_tellers(
        self,
        to_all: abc.Callable[[news_module.Message], None],
        to_near: abc.Callable[[news_module.Message], None],
    ) -> None:
        """Tell other daemons: all, or those of the own data centre."""
        self._servers.tell = to_all
        self._operators.tell = to_near

    def start(self, now: float) -> None:
        """Follow from now on."""
        self._operators.start(now)
        self._servers.tick(now)
        self._members.start(now)

    def stop(self) -> None:
        """Write nothing more."""
        self._members.stop()

    def tick(self, now: float) -> None:
        """Read what is due, at short intervals."""
        self._operators.tick(now)
        self._servers.tick(now)

    def take(
        self, message: list_view.ListUpdate | news_module.OperatorNotice
    ) -> None:
        """Take what another daemon tells."""
        if isinstance(message, news_module.OperatorNotice):
            self._operators.take_notice(message)
            return
        self._members.learn(message.member)
        self._operators.take_state(message.operators)
        self._servers.take_news(message)


class ServerFollower:
    """Keeps a fleet in line with the list of servers."""

    def __init__(self, store_access: access.StoreAccess) -> None:
        """Prepare; the first reading is due at once."""
        self._access = store_access
        self._loop = store_access.loop
        self._store = store_access.store
        self._fleet = store_access.fleet
        self._turns = read_schedule.ReadSchedule(self._fleet.members)
        self._longest_s = 0.0
        self._view = list_view.ListView()
        self._reading = False
        self._retry_at = -math.inf
        self._lapsed_until = -math.inf
        self._dependency = dependency.Dependency("servers", store_access.rng)
        self.tell: abc.Callable[[list_view.ListUpdate], None] = _ignore

    def set_known_within(self, seconds: float) -> None:
        """Know the leaving of a server within this time from now on."""
        self._longest_s = seconds * const.LIST_SHARE
        self._turns.set_max_age(self._longest_s)

    def tick(self, now: float) -> None:
        """Read the list where it is this daemon's turn."""
        if self._reading or now < self._retry_at:
            return
        if now >= self._turns.due_at:
            self._read()

    def take_news(self, news: list_view.ListUpdate) -> None:
        """Take another daemon's reading of the list."""
        now = self._loop.now()
        if news.store_version < self._fleet.registry.version:
            return
        if news.missing_kept_for_s > 0:
            self._keep_lapsed(now, news.missing_kept_for_s)
        if self._view.apply(news):
            self._turns.on_read(now)
            self._follow_list(news.store_version, now)

    def _read(self) -> None:
        """Read the list of servers."""
        self._reading = True
        self._access.count_call()
        timeout = self._longest_s * const.LIST_TIMEOUT_SHARE
        self._store.read_servers(timeout, self._on_read)

    def _on_read(self, found: interfaces.ServerList | Failure) -> None:
        """Take the list of servers, and tell the other daemons."""
        now = self._loop.now()
        self._reading = False
        if isinstance(found, Failure):
            daemons = len(self._fleet.members)
            self._retry_at = self._dependency.fail(found, now, daemons)
            return
        if self._dependency.succeed(now):
            self._keep_lapsed(now, fleet_const.MISSING_KEPT_S)
        if found.store_version < self._fleet.registry.version:
            self._retry_at = now + const.RETRY_S
            return
        changes = self._view.replace(found.servers)
        self._turns.on_read(now)
        self._follow_list(found.store_version, now)
        self.tell(
            list_view.ListUpdate(
                self._fleet.members.own,
                found.store_version,
                self._view.digest,
                changes,
                max(0.0, self._lapsed_until - now),
                self._fleet.operators,
            )
        )

    def _keep_lapsed(self, now: float, seconds: float) -> None:
        """Keep missing entries for a while: the list was away."""
        self._lapsed_until = max(self._lapsed_until, now + seconds)
        self._fleet.registry.keep_missing(self._lapsed_until)

    def _follow_list(self, store_version: int, now: float) -> None:
        """Follow the newest reading."""
        changes = self._fleet.registry.set_entries(
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


def _ignore(news: list_view.ListUpdate) -> None:
    """Tell nobody."""
