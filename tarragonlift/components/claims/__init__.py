"""Carries the claim book's questions to the platform's table."""

from __future__ import annotations

import time

from tarragonlift.components.data_path import server
from tarragonlift.components.platform import store
from tarragonlift.core import balancer as balancer_module
from tarragonlift.core import claims
from tarragonlift import exceptions


class ClaimWriter:
    """Sends claims, records and releases; tells the calls what came of it."""

    def __init__(
        self,
        balancer: balancer_module.Balancer,
        table: store.Table,
        data_path: server.DataPath,
    ) -> None:
        """Serve the claims of this data path."""
        self._balancer = balancer
        self._book = balancer.claims
        self._table = table
        self._data_path = data_path
        data_path.on_claims = self.kick

    def kick(self) -> None:
        """Ask the table what the claim book wants to know now."""
        for request in self._book.next_requests(time.monotonic()):
            if isinstance(request, claims.Transact):
                self._transact(request)
            else:
                self._read(request)

    def _transact(self, request: claims.Transact) -> None:
        """Send one transaction."""

        def done(result: list[claims.Row] | exceptions.PlatformError) -> None:
            now = time.monotonic()
            if isinstance(result, exceptions.PlatformError):
                self._failed(request.number, result, now)
                return
            told = self._book.on_transacted(request.number, result, now)
            self._tell(told, now)

        self._table.transact(request.operations, done)

    def _read(self, request: claims.Read) -> None:
        """Read one row back."""

        def done(result: claims.Row | exceptions.PlatformError) -> None:
            now = time.monotonic()
            if isinstance(result, exceptions.PlatformError):
                self._failed(request.number, result, now)
                return
            self._tell(self._book.on_read(request.number, result, now), now)

        self._table.read(request.key, done)

    def _failed(
        self, number: int, error: exceptions.PlatformError, now: float
    ) -> None:
        """Tell the book whether a write may have happened."""
        if isinstance(error, exceptions.PlatformAnswerLost):
            self._tell(self._book.on_lost(number, now), now)
        else:
            self._tell(self._book.on_not_sent(number, now), now)

    def _tell(self, told: list[claims.Told], now: float) -> None:
        """Tell calls what the table said, then go on."""
        for one in told:
            exchange = self._data_path.exchange_of(one.call)
            if exchange is None:
                self._tell_forgotten(one)
                continue
            if isinstance(one, claims.Verdict):
                exchange.run(one.call.on_claim(one.state, one.answer, now))
            else:
                exchange.run(one.call.on_released(one.given_back))
        self.kick()

    def _tell_forgotten(self, one: claims.Told) -> None:
        """Give back the claim of a call that is not in progress any more."""
        if isinstance(one, claims.Verdict):
            if one.state is claims.ClaimState.CLAIMED:
                self._book.release(one.call)


def create_claim_writer(
    balancer: balancer_module.Balancer,
    table: store.Table,
    data_path: server.DataPath,
) -> ClaimWriter:
    """Return a writer that is joined with the data path."""
    return ClaimWriter(balancer, table, data_path)
