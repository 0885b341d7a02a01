"""Claims in the platform's table: a request that runs once, at most once.

A claim is inserted before anything is sent and never expires: no other daemon
ever runs a request whose claim holder may have sent it. Claims, records and
releases that come up while a transaction is under way go out together in the
next one (group commit).
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
    """Ask the table for all of these writes or none."""

    number: int
    operations: tuple[Operation, ...]


@attrs.frozen
class ReadRequest:
    """Ask the table for one row."""

    number: int
    key: str


@attrs.frozen
class ClaimResult:
    """What a call is to be told."""

    call: call_module.Call
    state: ClaimState
    answer: models.RecordedAnswer | None = None


@attrs.frozen
class ReleaseResult:
    """A call's claim was given back, or could not be."""

    call: call_module.Call
    given_back: bool


@attrs.define(eq=False)
class _PendingWrite:
    """One write that waits for a transaction."""

    operation: Operation
    call: call_module.Call | None
    is_release: bool = False


ClaimOutcome = ClaimResult | ReleaseResult


class ClaimManager:
    """Decides what to ask the table and what its answers mean."""

    def __init__(self, daemon: str) -> None:
        """Write claims in the name of this daemon."""
        self._daemon = daemon
        self._waiting: collections.deque[_PendingWrite] = collections.deque()
        self._transaction: tuple[int, list[_PendingWrite]] | None = None
        self._reads: dict[int, tuple[str, list[_PendingWrite]]] = {}
        self._to_read: collections.deque[tuple[str, list[_PendingWrite]]] = (
            collections.deque()
        )
        self._versions: dict[str, int] = {}
        self._orphans: dict[str, tuple[str, float]] = {}
        self._number = 0
        self.transactions = 0
        self.operations = 0

    @property
    def is_busy(self) -> bool:
        """Return whether anything waits for the table."""
        return bool(self._waiting or self._transaction or self._reads)

    @property
    def orphan_count(self) -> int:
        """Return how many claims wait to be given back."""
        return len(self._orphans)

    def claim(self, one: call_module.Call, wall_time: float) -> None:
        """Ask for the claim of a call."""
        request = one.request
        value = {
            "attempt": request.request_id,
            "daemon": self._daemon,
            "state": ROW_CLAIMED,
            "print": request.fingerprint,
            "at": round(wall_time, 3),
        }
        operation = Operation(row_key(request), value, 0)
        self._waiting.append(_PendingWrite(operation, one))

    def record(
        self,
        one: call_module.Call,
        answer: models.RecordedAnswer,
        wall_time: float,
    ) -> None:
        """Keep the whole answer of a call whose claim this daemon holds."""
        key = row_key(one.request)
        version = self._versions.pop(key, 1)
        value = {
            "attempt": one.request.request_id,
            "daemon": self._daemon,
            "state": ROW_DONE,
            "print": one.request.fingerprint,
            "at": round(wall_time, 3),
            "answer": encode_answer(answer),
        }
        self._waiting.append(
            _PendingWrite(Operation(key, value, version), None)
        )

    def release(self, one: call_module.Call) -> None:
        """Give back the claim of a call that certainly did not run."""
        key = row_key(one.request)
        version = self._versions.pop(key, 1)
        work = _PendingWrite(
            Operation(key, None, version), one, is_release=True
        )
        self._waiting.append(work)

    def next_requests(self, now: float) -> list[TransactRequest | ReadRequest]:
        """Return what to ask the table now."""
        result: list[TransactRequest | ReadRequest] = []
        self._retry_orphans(now)
        while self._to_read:
            key, works = self._to_read.popleft()
            self._number += 1
            self._reads[self._number] = (key, works)
            result.append(ReadRequest(self._number, key))
        if self._transaction is None and self._waiting:
            result.append(self._begin())
        return result

    def on_transaction_result(
        self, number: int, conflicts: abc.Sequence[Row], now: float
    ) -> list[ClaimOutcome]:
        """Take the table's answer: done, or these rows stood in the way."""
        works = self._take(number)
        if not conflicts:
            return [told for work in works for told in self._done(work)]
        rows = {row.key: row for row in conflicts}
        told: list[ClaimOutcome] = []
        again: list[_PendingWrite] = []
        for work in works:
            row = rows.get(work.operation.key)
            if row is None:
                again.append(work)
                continue
            told.extend(self._conflicted(work, row))
        self._waiting.extendleft(reversed(again))
        return told

    def on_read_result(
        self, number: int, row: Row, now: float
    ) -> list[ClaimOutcome]:
        """Take a row that was read back to settle what happened."""
        key, works = self._reads.pop(number)
        told: list[ClaimOutcome] = []
        for work in works:
            told.extend(self._settle(work, row, now))
        if not works:
            self._settle_orphan(key, row)
        return told

    def on_answer_lost(self, number: int, now: float) -> list[ClaimOutcome]:
        """The answer was lost: the write may or may not have happened."""
        if number in self._reads:
            return self._read_failed(number, now)
        for work in self._take(number):
            self._to_read.append((work.operation.key, [work]))
        return []

    def on_not_sent(self, number: int, now: float) -> list[ClaimOutcome]:
        """The table was not reached: nothing was written."""
        if number in self._reads:
            return self._read_failed(number, now)
        told: list[ClaimOutcome] = []
        for work in self._take(number):
            told.extend(self._not_written(work, now))
        return told

    def _begin(self) -> TransactRequest:
        """Put what waits into one transaction, each key once."""
        works: list[_PendingWrite] = []
        left: list[_PendingWrite] = []
        keys: set[str] = set()
        while self._waiting and len(works) < MAX_BATCH_SIZE:
            work = self._waiting.popleft()
            if work.operation.key in keys:
                left.append(work)
                continue
            keys.add(work.operation.key)
            works.append(work)
        self._waiting.extendleft(reversed(left))
        self._number += 1
        self._transaction = (self._number, works)
        self.transactions += 1
        self.operations += len(works)
        return TransactRequest(self._number, tuple(w.operation for w in works))

    def _take(self, number: int) -> list[_PendingWrite]:
        """Return the work of the transaction that ended."""
        if self._transaction is None or self._transaction[0] != number:
            return []
        works = self._transaction[1]
        self._transaction = None
        return works

    def _done(self, work: _PendingWrite) -> list[ClaimOutcome]:
        """A write happened."""
        if work.call is None:
            return []
        if work.is_release:
            return [ReleaseResult(work.call, True)]
        self._versions[work.operation.key] = 1
        return [ClaimResult(work.call, ClaimState.CLAIMED)]

    def _conflicted(self, work: _PendingWrite, row: Row) -> list[ClaimOutcome]:
        """Another row stood in the way of a write."""
        if work.call is None:
            return []
        if work.is_release:
            return [ReleaseResult(work.call, row.version == 0)]
        return [self._evaluate_row(work.call, row)]

    def _evaluate_row(self, one: call_module.Call, row: Row) -> ClaimResult:
        """Return what the row of a key means for a call."""
        value = row.value or {}
        if value.get("attempt") == one.request.request_id:
            self._versions[row.key] = row.version
            return ClaimResult(one, ClaimState.CLAIMED)
        if value.get("print") != one.request.fingerprint:
            return ClaimResult(one, ClaimState.KEY_REUSED)
        if value.get("state") == ROW_DONE:
            answer = decode_answer(value["answer"])
            return ClaimResult(one, ClaimState.ANSWERED, answer)
        return ClaimResult(one, ClaimState.IN_PROGRESS)

    def _settle(
        self, work: _PendingWrite, row: Row, now: float
    ) -> list[ClaimOutcome]:
        """Decide by the row whether a write with a lost answer happened."""
        if work.call is None:
            wanted = (work.operation.value or {}).get("state")
            if (row.value or {}).get("state") != wanted:
                self._waiting.append(work)
            return []
        if work.is_release:
            if row.version == 0:
                return [ReleaseResult(work.call, True)]
            self._waiting.append(work)
            return []
        if row.version == 0:
            self._add_orphan(work, now)
            return [ClaimResult(work.call, ClaimState.NOT_CLAIMED)]
        return [self._evaluate_row(work.call, row)]

    def _read_failed(self, number: int, now: float) -> list[ClaimOutcome]:
        """The row could not be read back; the truth stays open."""
        key, works = self._reads.pop(number)
        told: list[ClaimOutcome] = []
        for work in works:
            if work.call is None:
                self._waiting.append(work)
                continue
            self._add_orphan(work, now)
            if work.is_release:
                told.append(ReleaseResult(work.call, False))
            else:
                told.append(ClaimResult(work.call, ClaimState.UNKNOWN))
        return told

    def _not_written(
        self, work: _PendingWrite, now: float
    ) -> list[ClaimOutcome]:
        """A write certainly did not happen."""
        if work.call is None:
            self._waiting.append(work)
            return []
        if work.is_release:
            self._add_orphan(work, now)
            return [ReleaseResult(work.call, False)]
        return [ClaimResult(work.call, ClaimState.NOT_CLAIMED)]

    def _add_orphan(self, work: _PendingWrite, now: float) -> None:
        """Remember a claim of ours that was never sent, to give it back."""
        if work.call is None or len(self._orphans) >= MAX_ORPHANS:
            return
        attempt = work.call.request.request_id
        due = now + ORPHAN_RETRY_INTERVAL_S
        self._orphans[work.operation.key] = (attempt, due)

    def _retry_orphans(self, now: float) -> None:
        """Look again at claims that could not be given back."""
        for key, (attempt, due) in list(self._orphans.items()):
            if now >= due:
                self._orphans[key] = (attempt, now + ORPHAN_RETRY_INTERVAL_S)
                self._to_read.append((key, []))

    def _settle_orphan(self, key: str, row: Row) -> None:
        """Give back the claim if it is ours, forget it otherwise."""
        orphan = self._orphans.get(key)
        if orphan is None:
            return
        value = row.value or {}
        ours = value.get("attempt") == orphan[0]
        if ours and value.get("state") == ROW_CLAIMED:
            operation = Operation(key, None, row.version)
            self._waiting.append(_PendingWrite(operation, None))
            return
        del self._orphans[key]


def row_key(request: models.Request) -> str:
    """Return the table's key for the claim of a request."""
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
    """Return the answer from its document."""
    body = document["body"]
    return models.RecordedAnswer(
        status=document["status"],
        headers=tuple(
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in document["headers"]
        ),
        body=None if body is None else base64.b64decode(body),
    )
