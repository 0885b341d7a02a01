"""Sends the requests of the claim manager to the platform's table."""

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
    """Request in progress."""

    @abc.abstractmethod
    def run(self, action_list: list[actions.Action]) -> None:
        """Execute the actions of the call."""


class Exchanges(abc.ABC):
    """Requests in progress in this process."""

    on_claims: collections_abc.Callable[[], None]

    @abc.abstractmethod
    def exchange_of(self, call: call_module.Call) -> Exchange | None:
        """Return the exchange of a call, None if it is not in progress."""


class ClaimWriter:
    """Writes claims, answers and releases and notifies their calls."""

    def __init__(
        self,
        loop: interfaces.Loop,
        balancer: balancer_module.Balancer,
        table: interfaces.Table,
        exchanges: Exchanges,
    ) -> None:
        """Initialize the writer for the claims of these exchanges."""
        self._loop = loop
        self._balancer = balancer
        self._claims = balancer.claims
        self._table = table
        self._exchanges = exchanges
        exchanges.on_claims = self.send_requests

    def send_requests(self) -> None:
        """Send the requests that the claim manager has for the table."""
        for request in self._claims.next_requests(self._loop.now()):
            if isinstance(request, claims.TransactRequest):
                self._transact(request)
            else:
                self._read(request)

    def _transact(self, request: claims.TransactRequest) -> None:
        """Send a transaction to the table."""

        def on_result(
            result: list[claims.Row] | exceptions.PlatformError,
        ) -> None:
            now = self._loop.now()
            if isinstance(result, exceptions.PlatformError):
                self._on_failed(request.number, result, now)
                return
            outcomes = self._claims.on_transaction_result(
                request.number, result, now
            )
            self._notify_calls(outcomes, now)

        self._table.transact(request.operations, on_result)

    def _read(self, request: claims.ReadRequest) -> None:
        """Read a row of the table."""

        def on_row(result: claims.Row | exceptions.PlatformError) -> None:
            now = self._loop.now()
            if isinstance(result, exceptions.PlatformError):
                self._on_failed(request.number, result, now)
                return
            self._notify_calls(
                self._claims.on_read_result(request.number, result, now), now
            )

        self._table.read(request.key, on_row)

    def _on_failed(
        self, number: int, error: exceptions.PlatformError, now: float
    ) -> None:
        """Report to the manager whether a failed write may have happened."""
        if isinstance(error, exceptions.PlatformAnswerLost):
            self._notify_calls(self._claims.on_answer_lost(number, now), now)
        else:
            self._notify_calls(self._claims.on_not_sent(number, now), now)

    def _notify_calls(
        self, outcomes: list[claims.ClaimOutcome], now: float
    ) -> None:
        """Pass the outcomes to their calls, then send further requests."""
        for outcome in outcomes:
            exchange = self._exchanges.exchange_of(outcome.call)
            if exchange is None:
                self._release_ended_call(outcome)
                continue
            if isinstance(outcome, claims.ClaimResult):
                exchange.run(
                    outcome.call.on_claim(outcome.state, outcome.answer, now)
                )
            else:
                exchange.run(outcome.call.on_released(outcome.is_released))
        self.send_requests()

    def _release_ended_call(self, outcome: claims.ClaimOutcome) -> None:
        """Release the claim of a call that is no longer in progress."""
        if isinstance(outcome, claims.ClaimResult):
            if outcome.state is claims.ClaimState.CLAIMED:
                self._claims.release(outcome.call)


def create_claim_writer(
    loop: interfaces.Loop,
    balancer: balancer_module.Balancer,
    table: interfaces.Table,
    exchanges: Exchanges,
) -> ClaimWriter:
    """Return a writer that serves the exchanges."""
    return ClaimWriter(loop, balancer, table, exchanges)
