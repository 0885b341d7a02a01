"""Cases: a caller asks a human operator to look at a failed request.

A case is taken over at once, whatever the platform does, and written as soon
as it can be: its text to the object store, then a row that operators list.
Callers take turns, and each may have a few cases waiting, so that a flood of
one caller holds up nobody else.
"""

from __future__ import annotations

from collections import abc
import secrets
from typing import Any

import attrs
import orjson

from tarragonlift.components.cases import const
from tarragonlift.core import balancer as balancer_module
from tarragonlift.core import const as core_const
from tarragonlift.core import fair_queue
from tarragonlift.core import interfaces
from tarragonlift import exceptions


@attrs.frozen
class Case:
    """One request for help."""

    case_id: str
    request_id: str
    caller: str
    text: str
    at: float

    def to_document(self) -> dict[str, Any]:
        """Return the case as plain data."""
        return {
            "case": self.case_id,
            "request": self.request_id,
            "caller": self.caller,
            "text": self.text,
            "at": self.at,
        }


class CaseManager:
    """Takes cases from callers and shows them to operators."""

    def __init__(
        self,
        loop: interfaces.Loop,
        balancer: balancer_module.Balancer,
        table: interfaces.Table,
        objects: interfaces.ObjectStore,
    ) -> None:
        """Start without cases."""
        self._loop = loop
        self._balancer = balancer
        self._table = table
        self._objects = objects
        self._waiting: fair_queue.FairQueue[Case] = fair_queue.FairQueue(
            const.MAX_WAITING
        )
        self._counts: dict[str, int] = {}
        self._writing: Case | None = None

    @property
    def pending_count(self) -> int:
        """Return how many cases are not written yet."""
        return len(self._waiting) + (1 if self._writing else 0)

    def open_case(self, caller: str, request_id: str, text: str) -> Case:
        """Take a case, or raise Overloaded where too many wait."""
        count = self._counts.get(caller, 0)
        full = len(self._waiting) >= const.MAX_WAITING
        if full or count >= const.MAX_WAITING_PER_CALLER:
            raise exceptions.Overloaded(core_const.Outcome.NOT_RUN)
        wall_time = self._loop.wall_time()
        case = Case(
            secrets.token_hex(6),
            request_id,
            caller,
            text[: const.MAX_TEXT_BYTES],
            round(wall_time, 3),
        )
        self._counts[caller] = count + 1
        self._waiting.push(caller, case)
        kind = core_const.EVENT_CASE_OPENED
        self._balancer.note(kind, case.case_id, request_id, wall_time)
        self._next()
        return case

    def read_rows(self, callback: interfaces.RowsCallback) -> None:
        """Read the rows of all cases."""
        self._table.scan(const.ROW_PREFIX, callback)

    def read_case(
        self, case_id: str, callback: interfaces.BytesCallback
    ) -> None:
        """Read the text of a case."""
        self._objects.get(const.OBJECT_PREFIX + case_id, callback)

    def set_state(
        self,
        case_id: str,
        state: str,
        operator: str,
        callback: abc.Callable[
            [dict[str, Any] | exceptions.TarragonliftError], None
        ],
    ) -> None:
        """Take or close a case in the name of an operator."""
        key = const.ROW_PREFIX + case_id

        def read(row: interfaces.Row | exceptions.PlatformError) -> None:
            if isinstance(row, exceptions.PlatformError):
                callback(row)
                return
            if row.value is None:
                callback(exceptions.UnknownName("no case has this number"))
                return
            value = {**row.value, "state": state, "operator": operator}
            operation = interfaces.Operation(key, value, row.version)

            def written(
                result: list[interfaces.Row] | exceptions.PlatformError,
            ) -> None:
                if isinstance(result, exceptions.PlatformError):
                    callback(result)
                elif result:
                    callback(exceptions.CaseConflict(case_id))
                else:
                    callback({"case": case_id, **value})

            self._table.transact([operation], written)

        self._table.read(key, read)

    def _next(self) -> None:
        """Write the next case, one at a time."""
        if self._writing is not None:
            return
        case = self._waiting.pop()
        if case is None:
            return
        self._writing = case
        self._write(case)

    def _write(self, case: Case) -> None:
        """Write the text of a case."""

        def stored(error: exceptions.PlatformError | None) -> None:
            if error is not None:
                self._retry(case)
            else:
                self._write_row(case)

        name = const.OBJECT_PREFIX + case.case_id
        self._objects.put(name, orjson.dumps(case.to_document()), stored)

    def _write_row(self, case: Case) -> None:
        """Write the row that operators list."""
        value = {
            "state": const.STATE_OPEN,
            "operator": "",
            "request": case.request_id,
            "caller": case.caller,
            "at": case.at,
        }
        key = const.ROW_PREFIX + case.case_id

        def written(
            result: list[interfaces.Row] | exceptions.PlatformError,
        ) -> None:
            if isinstance(result, exceptions.PlatformError):
                self._retry(case)
                return
            # A row in the way is this case's own, written before its answer
            # was lost.
            self._written(case)

        self._table.transact([interfaces.Operation(key, value, 0)], written)

    def _retry(self, case: Case) -> None:
        """Write again after a while."""
        when = self._loop.now() + const.RETRY_INTERVAL_S
        self._loop.call_at(when, lambda now: self._write(case))

    def _written(self, case: Case) -> None:
        """Go on with the next case."""
        self._writing = None
        left = self._counts.get(case.caller, 1) - 1
        if left > 0:
            self._counts[case.caller] = left
        else:
            self._counts.pop(case.caller, None)
        self._next()


def create_case_manager(
    loop: interfaces.Loop,
    balancer: balancer_module.Balancer,
    table: interfaces.Table,
    objects: interfaces.ObjectStore,
) -> CaseManager:
    """Return a keeper without cases."""
    return CaseManager(loop, balancer, table, objects)
