"""Polls the platform's list of hosts and the rows of the daemons."""

from __future__ import annotations

from collections import abc

from tarragonlift.core import balancer as balancer_module
from tarragonlift.core import interfaces
from tarragonlift.core import models
from tarragonlift.core import replica
from tarragonlift import exceptions

HOST_LIST_INTERVAL_S = 1.0
ROW_INTERVAL_S = 10.0
ROW_STALE_TIMEOUT_S = 120.0
ROW_PREFIX = "daemon/"


class HostListWatcher:
    """Polls the list of hosts and announces this daemon."""

    def __init__(
        self,
        loop: interfaces.Loop,
        balancer: balancer_module.Balancer,
        hosts: interfaces.HostList,
        table: interfaces.Table,
        peers: interfaces.Peers,
    ) -> None:
        """Initialize the watcher, which is idle until ``start``."""
        self._loop = loop
        self._balancer = balancer
        self._hosts = hosts
        self._table = table
        self._peers = peers
        self._row_version = 0
        self._leaving = False
        self.has_listed_hosts = False

    def start(self) -> None:
        """Announce this daemon and start polling."""
        self._announce()
        now = self._loop.now()
        self._read_hosts(now)
        self._refresh_row(now)

    def leave(self) -> None:
        """Announce that this daemon leaves and delete its row."""
        self._leaving = True
        self._balancer.leave()
        self._announce()
        self._peers.spread_changes()
        operation = interfaces.Operation(self._key, None, self._row_version)
        self._table.transact([operation], _ignore)

    @property
    def _key(self) -> str:
        """Return the key of this daemon's row."""
        return ROW_PREFIX + self._balancer.identity.daemon

    def _announce(self) -> None:
        """Publish the addresses and the state of this daemon."""
        identity = self._balancer.identity
        value = {
            "address": identity.address,
            "admin": identity.admin_address,
            "data_centre": identity.data_centre,
            "leaving": self._leaving,
        }
        self._balancer.replica.put(replica.KIND_MEMBER, identity.daemon, value)

    def check_own_item(self) -> None:
        """Announce again if gossip has an earlier start of this daemon."""
        name = self._balancer.identity.daemon
        item = self._balancer.replica.get(replica.KIND_MEMBER, name)
        identity = self._balancer.identity
        if item is not None and item.value["address"] != identity.address:
            self._announce()

    def _read_hosts(self, now: float) -> None:
        """Read the list of hosts periodically."""
        when = now + HOST_LIST_INTERVAL_S
        self._loop.call_at(when, self._read_hosts)

        def on_hosts(
            result: list[models.Instance] | None | exceptions.PlatformError,
        ) -> None:
            if isinstance(result, list):
                self.has_listed_hosts = bool(result)
                self._balancer.set_instances(result)

        self._hosts.read(on_hosts)

    def _refresh_row(self, now: float) -> None:
        """Refresh this daemon's row and read the other ones periodically."""
        self._loop.call_at(now + ROW_INTERVAL_S, self._refresh_row)

        def on_rows(
            rows: list[interfaces.Row] | exceptions.PlatformError,
        ) -> None:
            if not isinstance(rows, exceptions.PlatformError):
                self._process_rows(rows)

        self._table.scan(ROW_PREFIX, on_rows)

    def _process_rows(self, rows: abc.Iterable[interfaces.Row]) -> None:
        """Process the daemons' rows, then write the own row."""
        wall_time = self._loop.wall_time()
        rows = list(rows)
        versions = {
            row.key.removeprefix(ROW_PREFIX): row.version for row in rows
        }
        self._balancer.on_member_rows(versions, self._loop.now())
        seeds = []
        self._row_version = 0
        for row in rows:
            value = row.value or {}
            if row.key == self._key:
                self._row_version = row.version
            elif wall_time - value.get("at", 0.0) > ROW_STALE_TIMEOUT_S:
                operation = interfaces.Operation(row.key, None, row.version)
                self._table.transact([operation], _ignore)
            else:
                seeds.append(models.Address.parse(value["address"]))
        self._peers.add_seeds(seeds)
        if not self._leaving:
            self._write_row(wall_time)

    def _write_row(self, wall_time: float) -> None:
        """Write this daemon's row."""
        value = {
            "address": self._balancer.identity.address,
            "at": round(wall_time, 3),
        }
        expected_version = self._row_version
        operation = interfaces.Operation(self._key, value, expected_version)

        def on_written(
            result: list[interfaces.Row] | exceptions.PlatformError,
        ) -> None:
            if result == []:
                self._row_version = expected_version + 1

        self._table.transact([operation], on_written)


def _ignore(result: object) -> None:
    """Ignore the result; a row that remains is deleted once it is stale."""
