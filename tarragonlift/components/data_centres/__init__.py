"""Synchronizes the states of data centres between table and gossip.

Gossip spreads a change within a second, even if the table is unavailable. The
table stores it in case all daemons are replaced at once.
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
    """Daemons on which a change of a data centre's state is in force."""

    confirmed: tuple[str, ...]
    missing: tuple[str, ...]
    in_table: bool


ConfirmCallback = abc.Callable[[Confirmation | exceptions.NotConfirmed], None]


class DataCentreSynchronizer:
    """Keeps table and gossip at the same states."""

    def __init__(
        self,
        loop: interfaces.Loop,
        balancer: balancer_module.Balancer,
        table: interfaces.Table,
        on_changes: abc.Callable[[], None],
    ) -> None:
        """Initialize the synchronizer, which is idle until ``start``."""
        self._loop = loop
        self._balancer = balancer
        self._table = table
        self._on_changes = on_changes
        self._table_versions: dict[str, int] = {}
        self.is_synced = False

    def start(self) -> None:
        """Start the periodic synchronization."""
        self._tick(self._loop.now())

    def sync(self) -> None:
        """Read the table, then write the states that are newer here."""

        def on_rows(
            rows: list[interfaces.Row] | exceptions.PlatformError,
        ) -> None:
            if isinstance(rows, exceptions.PlatformError):
                return
            self._balancer.membership.on_table_answer(self._loop.now())
            self.is_synced = True
            self._merge(rows)
            self._write_newer(rows)

        self._table.scan(ROW_PREFIX, on_rows)

    def confirm(self, item: replica.Item, callback: ConfirmCallback) -> None:
        """Report a change once it is in force everywhere or at the timeout.

        A change that is only on this daemon is not confirmed: the daemon may
        be isolated, and the operator should ask another one.
        """
        until = self._loop.now() + CONFIRM_TIMEOUT_S

        def check(now: float) -> None:
            confirmation = self._get_confirmation(item, now)
            member_count = len(self._balancer.membership.known_daemons)
            is_durable = (
                confirmation.in_table
                or len(confirmation.confirmed) > 1
                or member_count == 1
            )
            if is_durable and (not confirmation.missing or now >= until):
                callback(confirmation)
            elif now < until:
                self._loop.call_at(now + CONFIRM_POLL_INTERVAL_S, check)
            else:
                callback(exceptions.NotConfirmed(ADVICE_NOT_CONFIRMED))

        check(self._loop.now())

    def _get_confirmation(
        self, item: replica.Item, now: float
    ) -> Confirmation:
        """Return the daemons on which a state is in force now."""
        balancer = self._balancer
        alive = set(balancer.membership.alive_daemons(now))
        confirmed = balancer.confirmed_by(item.name, item.version, now)
        return Confirmation(
            tuple(sorted(confirmed)),
            tuple(sorted(alive - confirmed)),
            self._table_versions.get(item.name, 0) >= item.version,
        )

    def _tick(self, now: float) -> None:
        """Synchronize periodically."""
        self._loop.call_at(now + SYNC_INTERVAL_S, self._tick)
        self.sync()

    def _merge(self, rows: list[interfaces.Row]) -> None:
        """Merge the states of the table."""
        items = [_decode_row(row) for row in rows]
        self._table_versions = {item.name: item.version for item in items}
        if self._balancer.replica.merge(items):
            self._on_changes()

    def _write_newer(self, rows: list[interfaces.Row]) -> None:
        """Write the states that are newer than the rows of the table."""
        rows_by_key = {row.key: row for row in rows}
        for item in self._balancer.replica.items(replica.KIND_DATA_CENTRE):
            key = ROW_PREFIX + item.name
            row = rows_by_key.get(key)
            if (
                row is not None
                and _decode_row(row).precedence >= item.precedence
            ):
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


def _decode_row(row: interfaces.Row) -> replica.Item:
    """Return the replicated item of a row."""
    value = dict(row.value or {})
    version = value.pop("version", 0)
    rank = value.pop("rank", 0)
    origin = value.pop("origin", "")
    name = row.key.removeprefix(ROW_PREFIX)
    kind = replica.KIND_DATA_CENTRE
    return replica.Item(kind, name, version, rank, origin, value)


def _ignore(result: object) -> None:
    """Ignore the result; the next synchronization retries a failed write."""
