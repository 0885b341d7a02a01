"""Carries the claim book's questions to the platform's table."""

from __future__ import annotations

import abc
from collections import abc as collections_abc


from tarragonlift.core import actions
from tarragonlift.core import balancer as balancer_module
from tarragonlift.core import call as call_module
from tarragonlift.core import claims
from tarragonlift.core import interfaces
from tarragonlift import exceptions


class Exchange(abc.ABC):
    """One request in progress."""

    @abc.abstractmethod
    def run(self, wanted: list[actions.Action]) -> None:
        """Carry out actions."""


class Exchanges(abc.ABC):
    """All requests in progress in this process."""

    on_claims: collections_abc.Callable[[], None]

    @abc.abstractmethod
    def exchange_of(self, one: call_module.Call) -> Exchange | None:
        """Return the exchange of a call that is in progress."""


class ClaimWriter:
    """Sends claims, records and releases; tells the calls what came of it."""

    def __init__(
        self,
        loop: interfaces.Loop,
        balancer: balancer_module.Balancer,
        table: interfaces.Table,
        exchanges: Exchanges,
    ) -> None:
        """Serve the claims of these exchanges."""
        self._loop = loop
        self._balancer = balancer
        self._book = balancer.claims
        self._table = table
        self._exchanges = exchanges
        exchanges.on_claims = self.send_requests

    def send_requests(self) -> None:
        """Ask the table what the claim book wants to know now."""
        for request in self._book.next_requests(self._loop.now()):
            if isinstance(request, claims.TransactRequest):
                self._transact(request)
            else:
                self._read(request)

    def _transact(self, request: claims.TransactRequest) -> None:
        """Send one transaction."""

        def done(result: list[claims.Row] | exceptions.PlatformError) -> None:
            now = self._loop.now()
            if isinstance(result, exceptions.PlatformError):
                self._failed(request.number, result, now)
                return
            told = self._book.on_transaction_result(
                request.number, result, now
            )
            self._tell(told, now)

        self._table.transact(request.operations, done)

    def _read(self, request: claims.ReadRequest) -> None:
        """Read one row back."""

        def done(result: claims.Row | exceptions.PlatformError) -> None:
            now = self._loop.now()
            if isinstance(result, exceptions.PlatformError):
                self._failed(request.number, result, now)
                return
            self._tell(
                self._book.on_read_result(request.number, result, now), now
            )

        self._table.read(request.key, done)

    def _failed(
        self, number: int, error: exceptions.PlatformError, now: float
    ) -> None:
        """Tell the book whether a write may have happened."""
        if isinstance(error, exceptions.PlatformAnswerLost):
            self._tell(self._book.on_answer_lost(number, now), now)
        else:
            self._tell(self._book.on_not_sent(number, now), now)

    def _tell(self, told: list[claims.ClaimOutcome], now: float) -> None:
        """Tell calls what the table said, then go on."""
        for one in told:
            exchange = self._exchanges.exchange_of(one.call)
            if exchange is None:
                self._tell_forgotten(one)
                continue
            if isinstance(one, claims.ClaimResult):
                exchange.run(one.call.on_claim(one.state, one.answer, now))
            else:
                exchange.run(one.call.on_released(one.given_back))
        self.send_requests()

    def _tell_forgotten(self, one: claims.ClaimOutcome) -> None:
        """Give back the claim of a call that is not in progress any more."""
        if isinstance(one, claims.ClaimResult):
            if one.state is claims.ClaimState.CLAIMED:
                self._book.release(one.call)


def create_claim_writer(
    loop: interfaces.Loop,
    balancer: balancer_module.Balancer,
    table: interfaces.Table,
    exchanges: Exchanges,
) -> ClaimWriter:
    """Return a writer that is joined with the exchanges."""
    return ClaimWriter(loop, balancer, table, exchanges)
