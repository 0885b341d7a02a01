"""Keeps the states of data centres in the table as well as in gossip.

Gossip carries a change within a second, also while the table is away. The
table keeps it for the time when every daemon is replaced at once.
"""

from __future__ import annotations

from collections import abc

import attrs
from tarragonlift.core import balancer as balancer_module
from tarragonlift.core import interfaces
from tarragonlift.core import replica

from tarragonlift import exceptions

ROW_PREFIX = "data-centre/"
SYNC_INTERVAL_S = 2.0
CONFIRM_TIMEOUT_S = 5.0
CONFIRM_POLL_INTERVAL_S = 0.05
ADVICE_NOT_CONFIRMED = (
    "only the daemon that was asked knows of the change; ask another daemon"
)


@attrs.frozen
class Confirmation:
    """Where a change of a data centre's state is in force."""

    confirmed: tuple[str, ...]
    missing: tuple[str, ...]
    in_table: bool


ConfirmCallback = abc.Callable[[Confirmation | exceptions.NotConfirmed], None]


class DataCentreSynchronizer:
    """Brings table and gossip to the same states."""

    def __init__(
        self,
        loop: interfaces.Loop,
        balancer: balancer_module.Balancer,
        table: interfaces.Table,
        on_changes: abc.Callable[[], None],
    ) -> None:
        """Do nothing before ``start``."""
        self._loop = loop
        self._balancer = balancer
        self._table = table
        self._on_changes = on_changes
        self._in_table: dict[str, int] = {}
        self.is_synced = False

    def start(self) -> None:
        """Keep both alike from now on."""
        self._tick(self._loop.now())

    def sync(self) -> None:
        """Read the table, then write what it does not know."""

        def done(
            rows: list[interfaces.Row] | exceptions.PlatformError,
        ) -> None:
            if isinstance(rows, exceptions.PlatformError):
                return
            self._balancer.membership.on_table_answer(self._loop.now())
            self.is_synced = True
            self._merge(rows)
            self._write_newer(rows)

        self._table.scan(ROW_PREFIX, done)

    def confirm(self, item: replica.Item, callback: ConfirmCallback) -> None:
        """Tell when a change is in force everywhere, or after a while where.

        A change that only this daemon knows is not confirmed: it may be cut
        off, and the operator should ask another daemon.
        """
        until = self._loop.now() + CONFIRM_TIMEOUT_S

        def look(now: float) -> None:
            found = self._confirmation(item, now)
            known = len(self._balancer.membership.known_daemons)
            is_kept = found.in_table or len(found.confirmed) > 1 or known == 1
            if is_kept and (not found.missing or now >= until):
                callback(found)
            elif now < until:
                self._loop.call_at(now + CONFIRM_POLL_INTERVAL_S, look)
            else:
                callback(exceptions.NotConfirmed(ADVICE_NOT_CONFIRMED))

        look(self._loop.now())

    def _confirmation(self, item: replica.Item, now: float) -> Confirmation:
        """Return where a state is in force now."""
        balancer = self._balancer
        alive = set(balancer.membership.alive_daemons(now))
        confirmed = balancer.confirmed_by(item.name, item.version, now)
        return Confirmation(
            tuple(sorted(confirmed)),
            tuple(sorted(alive - confirmed)),
            self._in_table.get(item.name, 0) >= item.version,
        )

    def _tick(self, now: float) -> None:
        """Synchronise once in a while."""
        self._loop.call_at(now + SYNC_INTERVAL_S, self._tick)
        self.sync()

    def _merge(self, rows: list[interfaces.Row]) -> None:
        """Take what the table knows."""
        items = [_item(row) for row in rows]
        self._in_table = {item.name: item.version for item in items}
        if self._balancer.replica.merge(items):
            self._on_changes()

    def _write_newer(self, rows: list[interfaces.Row]) -> None:
        """Write the states that the table does not have yet."""
        known = {row.key: row for row in rows}
        for item in self._balancer.replica.items(replica.KIND_DATA_CENTRE):
            key = ROW_PREFIX + item.name
            row = known.get(key)
            if row is not None and _item(row).precedence >= item.precedence:
                continue
            value = {
                **item.value,
                "version": item.version,
                "rank": item.rank,
                "origin": item.origin,
            }
            version = row.version if row is not None else 0
            operation = interfaces.Operation(key, value, version)
            self._table.transact([operation], _ignore)


def _item(row: interfaces.Row) -> replica.Item:
    """Return the item that a row stands for."""
    value = dict(row.value or {})
    version = value.pop("version", 0)
    rank = value.pop("rank", 0)
    origin = value.pop("origin", "")
    name = row.key.removeprefix(ROW_PREFIX)
    kind = replica.KIND_DATA_CENTRE
    return replica.Item(kind, name, version, rank, origin, value)


def _ignore(result: object) -> None:
    """Leave a failed write to the next synchronisation."""
