"""Claims in the platform's table for requests that run at most once.

A claim row is inserted before the request is sent and never expires, so no
other daemon runs a request that the claim holder may have sent. Claims,
recorded answers and releases that arrive during a transaction are written
together in the next one (group commit).
"""

from __future__ import annotations

import base64
import collections
from typing import Any
from typing import TYPE_CHECKING

import attrs

from tarragonlift.core import call as call_module
from tarragonlift.core import interfaces
from tarragonlift.core import models

if TYPE_CHECKING:
    from collections import abc

CLAIM_PREFIX = "claim/"
ROW_CLAIMED = "claimed"
ROW_DONE = "done"
MAX_BATCH_SIZE = 64
ORPHAN_RETRY_INTERVAL_S = 1.0
MAX_ORPHANS = 10000

ClaimState = call_module.ClaimState
Operation = interfaces.Operation
Row = interfaces.Row


@attrs.frozen
class TransactRequest:
    """Asks the table to apply all of these writes or none."""

    number: int
    operations: tuple[Operation, ...]


@attrs.frozen
class ReadRequest:
    """Asks the table for one row."""

    number: int
    key: str


@attrs.frozen
class ClaimResult:
    """Result of a claim, for the call that asked for it."""

    call: call_module.Call
    state: ClaimState
    answer: models.RecordedAnswer | None = None


@attrs.frozen
class ReleaseResult:
    """Result of releasing the claim of a call."""

    call: call_module.Call
    is_released: bool


@attrs.define(eq=False)
class _PendingWrite:
    """Write that waits for a transaction."""

    operation: Operation
    call: call_module.Call | None
    is_release: bool = False


ClaimOutcome = ClaimResult | ReleaseResult


class ClaimManager:
    """Decides which table requests to send and interprets their results."""

    def __init__(self, daemon: str) -> None:
        """Initialize the manager for the claims of one daemon."""
        self._daemon = daemon
        self._pending: collections.deque[_PendingWrite] = collections.deque()
        self._transaction: tuple[int, list[_PendingWrite]] | None = None
        self._reads: dict[int, tuple[str, list[_PendingWrite]]] = {}
        self._to_read: collections.deque[tuple[str, list[_PendingWrite]]] = (
            collections.deque()
        )
        self._versions: dict[str, int] = {}
        self._orphans: dict[str, tuple[str, float]] = {}
        self._last_number = 0
        self.transactions = 0
        self.operations = 0

    @property
    def is_busy(self) -> bool:
        """Return whether a write or a read is pending."""
        return bool(self._pending or self._transaction or self._reads)

    @property
    def orphan_count(self) -> int:
        """Return the number of claims that still have to be released."""
        return len(self._orphans)

    def claim(self, call: call_module.Call, wall_time: float) -> None:
        """Queue the claim of a call."""
        request = call.request
        value = {
            "attempt": request.request_id,
            "daemon": self._daemon,
            "state": ROW_CLAIMED,
            "print": request.fingerprint,
            "at": round(wall_time, 3),
        }
        operation = Operation(row_key(request), value, 0)
        self._pending.append(_PendingWrite(operation, call))

    def record(
        self,
        call: call_module.Call,
        answer: models.RecordedAnswer,
        wall_time: float,
    ) -> None:
        """Queue the complete answer of a call that this daemon claimed."""
        key = row_key(call.request)
        version = self._versions.pop(key, 1)
        value = {
            "attempt": call.request.request_id,
            "daemon": self._daemon,
            "state": ROW_DONE,
            "print": call.request.fingerprint,
            "at": round(wall_time, 3),
            "answer": encode_answer(answer),
        }
        self._pending.append(
            _PendingWrite(Operation(key, value, version), None)
        )

    def release(self, call: call_module.Call) -> None:
        """Queue the release of a claim whose request has not run."""
        key = row_key(call.request)
        version = self._versions.pop(key, 1)
        write = _PendingWrite(
            Operation(key, None, version), call, is_release=True
        )
        self._pending.append(write)

    def next_requests(self, now: float) -> list[TransactRequest | ReadRequest]:
        """Return the requests to send to the table now."""
        result: list[TransactRequest | ReadRequest] = []
        self._retry_orphans(now)
        while self._to_read:
            key, writes = self._to_read.popleft()
            self._last_number += 1
            self._reads[self._last_number] = (key, writes)
            result.append(ReadRequest(self._last_number, key))
        if self._transaction is None and self._pending:
            result.append(self._begin_transaction())
        return result

    def on_transaction_result(
        self, number: int, conflicts: abc.Sequence[Row], now: float
    ) -> list[ClaimOutcome]:
        """Process the result of a transaction.

        ``conflicts`` holds the rows whose version differs from the expected
        one; without conflicts the transaction was committed.
        """
        writes = self._pop_transaction(number)
        if not conflicts:
            return [
                outcome
                for write in writes
                for outcome in self._on_written(write)
            ]
        rows = {row.key: row for row in conflicts}
        outcomes: list[ClaimOutcome] = []
        retries: list[_PendingWrite] = []
        for write in writes:
            row = rows.get(write.operation.key)
            if row is None:
                retries.append(write)
                continue
            outcomes.extend(self._on_conflict(write, row))
        self._pending.extendleft(reversed(retries))
        return outcomes

    def on_read_result(
        self, number: int, row: Row, now: float
    ) -> list[ClaimOutcome]:
        """Resolve pending writes by a row that was read back."""
        key, writes = self._reads.pop(number)
        outcomes: list[ClaimOutcome] = []
        for write in writes:
            outcomes.extend(self._resolve(write, row, now))
        if not writes:
            self._resolve_orphan(key, row)
        return outcomes

    def on_answer_lost(self, number: int, now: float) -> list[ClaimOutcome]:
        """Process a lost answer: the write may or may not have happened."""
        if number in self._reads:
            return self._on_read_failed(number, now)
        for write in self._pop_transaction(number):
            self._to_read.append((write.operation.key, [write]))
        return []

    def on_not_sent(self, number: int, now: float) -> list[ClaimOutcome]:
        """Process a request that did not reach the table."""
        if number in self._reads:
            return self._on_read_failed(number, now)
        outcomes: list[ClaimOutcome] = []
        for write in self._pop_transaction(number):
            outcomes.extend(self._on_not_written(write, now))
        return outcomes

    def _begin_transaction(self) -> TransactRequest:
        """Start a transaction with the pending writes, each key once."""
        writes: list[_PendingWrite] = []
        deferred: list[_PendingWrite] = []
        keys: set[str] = set()
        while self._pending and len(writes) < MAX_BATCH_SIZE:
            write = self._pending.popleft()
            if write.operation.key in keys:
                deferred.append(write)
                continue
            keys.add(write.operation.key)
            writes.append(write)
        self._pending.extendleft(reversed(deferred))
        self._last_number += 1
        self._transaction = (self._last_number, writes)
        self.transactions += 1
        self.operations += len(writes)
        return TransactRequest(
            self._last_number, tuple(w.operation for w in writes)
        )

    def _pop_transaction(self, number: int) -> list[_PendingWrite]:
        """Remove and return the writes of the transaction that ended."""
        if self._transaction is None or self._transaction[0] != number:
            return []
        writes = self._transaction[1]
        self._transaction = None
        return writes

    def _on_written(self, write: _PendingWrite) -> list[ClaimOutcome]:
        """Return the outcome of a committed write."""
        if write.call is None:
            return []
        if write.is_release:
            return [ReleaseResult(write.call, True)]
        self._versions[write.operation.key] = 1
        return [ClaimResult(write.call, ClaimState.CLAIMED)]

    def _on_conflict(
        self, write: _PendingWrite, row: Row
    ) -> list[ClaimOutcome]:
        """Return the outcome of a write that conflicts with a row."""
        if write.call is None:
            return []
        if write.is_release:
            return [ReleaseResult(write.call, row.version == 0)]
        return [self._evaluate_row(write.call, row)]

    def _evaluate_row(self, call: call_module.Call, row: Row) -> ClaimResult:
        """Return the claim result of a call from the row of its key."""
        value = row.value or {}
        if value.get("attempt") == call.request.request_id:
            self._versions[row.key] = row.version
            return ClaimResult(call, ClaimState.CLAIMED)
        if value.get("print") != call.request.fingerprint:
            return ClaimResult(call, ClaimState.KEY_REUSED)
        if value.get("state") == ROW_DONE:
            answer = decode_answer(value["answer"])
            return ClaimResult(call, ClaimState.ANSWERED, answer)
        return ClaimResult(call, ClaimState.IN_PROGRESS)

    def _resolve(
        self, write: _PendingWrite, row: Row, now: float
    ) -> list[ClaimOutcome]:
        """Determine by the row whether a write of unknown result happened."""
        if write.call is None:
            expected_state = (write.operation.value or {}).get("state")
            if (row.value or {}).get("state") != expected_state:
                self._pending.append(write)
            return []
        if write.is_release:
            if row.version == 0:
                return [ReleaseResult(write.call, True)]
            self._pending.append(write)
            return []
        if row.version == 0:
            self._add_orphan(write, now)
            return [ClaimResult(write.call, ClaimState.NOT_CLAIMED)]
        return [self._evaluate_row(write.call, row)]

    def _on_read_failed(self, number: int, now: float) -> list[ClaimOutcome]:
        """Process a failed read, which leaves the state of the row unknown."""
        key, writes = self._reads.pop(number)
        outcomes: list[ClaimOutcome] = []
        for write in writes:
            if write.call is None:
                self._pending.append(write)
                continue
            self._add_orphan(write, now)
            if write.is_release:
                outcomes.append(ReleaseResult(write.call, False))
            else:
                outcomes.append(ClaimResult(write.call, ClaimState.UNKNOWN))
        return outcomes

    def _on_not_written(
        self, write: _PendingWrite, now: float
    ) -> list[ClaimOutcome]:
        """Return the outcome of a write that did not happen."""
        if write.call is None:
            self._pending.append(write)
            return []
        if write.is_release:
            self._add_orphan(write, now)
            return [ReleaseResult(write.call, False)]
        return [ClaimResult(write.call, ClaimState.NOT_CLAIMED)]

    def _add_orphan(self, write: _PendingWrite, now: float) -> None:
        """Record a claim to release, as its request was never sent."""
        if write.call is None or len(self._orphans) >= MAX_ORPHANS:
            return
        attempt = write.call.request.request_id
        due = now + ORPHAN_RETRY_INTERVAL_S
        self._orphans[write.operation.key] = (attempt, due)

    def _retry_orphans(self, now: float) -> None:
        """Read the rows of the claims that still have to be released."""
        for key, (attempt, due) in list(self._orphans.items()):
            if now >= due:
                self._orphans[key] = (attempt, now + ORPHAN_RETRY_INTERVAL_S)
                self._to_read.append((key, []))

    def _resolve_orphan(self, key: str, row: Row) -> None:
        """Release the claim if this daemon holds it, else drop the entry."""
        orphan = self._orphans.get(key)
        if orphan is None:
            return
        value = row.value or {}
        is_own = value.get("attempt") == orphan[0]
        if is_own and value.get("state") == ROW_CLAIMED:
            operation = Operation(key, None, row.version)
            self._pending.append(_PendingWrite(operation, None))
            return
        del self._orphans[key]


def row_key(request: models.Request) -> str:
    """Return the key of the claim row of a request."""
    return f"{CLAIM_PREFIX}{request.service.name}/{request.key}"


def encode_answer(answer: models.RecordedAnswer) -> dict[str, Any]:
    """Return the answer as a document for the table."""
    body = answer.body
    return {
        "status": answer.status,
        "headers": [
            [name.decode("latin-1"), value.decode("latin-1")]
            for name, value in answer.headers
        ],
        "body": None if body is None else base64.b64encode(body).decode(),
    }


def decode_answer(document: dict[str, Any]) -> models.RecordedAnswer:
    """Return the answer that a document describes."""
    body = document["body"]
    return models.RecordedAnswer(
        status=document["status"],
        headers=tuple(
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in document["headers"]
        ),
        body=None if body is None else base64.b64decode(body),
    )
