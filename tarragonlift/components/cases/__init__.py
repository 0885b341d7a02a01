"""Cases, in which a caller asks an operator to look at a failed request.

A case is accepted at once, even if the platform is unavailable, and written
as soon as possible: its text to the object store, then a row that operators
list. Callers are served in round robin and each may have a few cases waiting,
so that a flood of one caller does not delay the others.
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
    """Request of a caller for help by an operator."""

    case_id: str
    request_id: str
    caller: str
    text: str
    at: float

    def to_document(self) -> dict[str, Any]:
        """Return the case as a JSON document."""
        return {
            "case": self.case_id,
            "request": self.request_id,
            "caller": self.caller,
            "text": self.text,
            "at": self.at,
        }


class CaseManager:
    """Accepts cases of callers and manages them for operators."""

    def __init__(
        self,
        loop: interfaces.Loop,
        balancer: balancer_module.Balancer,
        table: interfaces.Table,
        objects: interfaces.ObjectStore,
    ) -> None:
        """Initialize the manager without cases."""
        self._loop = loop
        self._balancer = balancer
        self._table = table
        self._objects = objects
        self._waiting: fair_queue.FairQueue[Case] = fair_queue.FairQueue(
            const.MAX_WAITING
        )
        self._counts_by_caller: dict[str, int] = {}
        self._writing: Case | None = None

    @property
    def pending_count(self) -> int:
        """Return the number of cases that are not written yet."""
        return len(self._waiting) + (1 if self._writing else 0)

    def open_case(self, caller: str, request_id: str, text: str) -> Case:
        """Accept a case; raise Overloaded if too many are waiting."""
        count = self._counts_by_caller.get(caller, 0)
        is_full = len(self._waiting) >= const.MAX_WAITING
        if is_full or count >= const.MAX_WAITING_PER_CALLER:
            raise exceptions.Overloaded(core_const.Outcome.NOT_RUN)
        wall_time = self._loop.wall_time()
        case = Case(
            secrets.token_hex(6),
            request_id,
            caller,
            text[: const.MAX_TEXT_BYTES],
            round(wall_time, 3),
        )
        self._counts_by_caller[caller] = count + 1
        self._waiting.push(caller, case)
        kind = core_const.EVENT_CASE_OPENED
        self._balancer.note(kind, case.case_id, request_id, wall_time)
        self._write_next()
        return case

    def read_rows(self, callback: interfaces.RowsCallback) -> None:
        """Read the rows of all cases from the table."""
        self._table.scan(const.ROW_PREFIX, callback)

    def read_case(
        self, case_id: str, callback: interfaces.BytesCallback
    ) -> None:
        """Read the document of a case from the object store."""
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
        """Set the state of a case on behalf of an operator."""
        key = const.ROW_PREFIX + case_id

        def on_row(row: interfaces.Row | exceptions.PlatformError) -> None:
            if isinstance(row, exceptions.PlatformError):
                callback(row)
                return
            if row.value is None:
                callback(exceptions.UnknownName("no case has this number"))
                return
            value = {**row.value, "state": state, "operator": operator}
            operation = interfaces.Operation(key, value, row.version)

            def on_written(
                result: list[interfaces.Row] | exceptions.PlatformError,
            ) -> None:
                if isinstance(result, exceptions.PlatformError):
                    callback(result)
                elif result:
                    callback(exceptions.CaseConflict(case_id))
                else:
                    callback({"case": case_id, **value})

            self._table.transact([operation], on_written)

        self._table.read(key, on_row)

    def _write_next(self) -> None:
        """Write the next case unless another one is being written."""
        if self._writing is not None:
            return
        case = self._waiting.pop()
        if case is None:
            return
        self._writing = case
        self._write_object(case)

    def _write_object(self, case: Case) -> None:
        """Write the document of a case to the object store."""

        def on_stored(error: exceptions.PlatformError | None) -> None:
            if error is not None:
                self._retry(case)
            else:
                self._write_row(case)

        name = const.OBJECT_PREFIX + case.case_id
        self._objects.put(name, orjson.dumps(case.to_document()), on_stored)

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

        def on_written(
            result: list[interfaces.Row] | exceptions.PlatformError,
        ) -> None:
            if isinstance(result, exceptions.PlatformError):
                self._retry(case)
                return
            # A conflicting row is this case's own: it was written before but
            # the answer was lost.
            self._on_case_written(case)

        self._table.transact([interfaces.Operation(key, value, 0)], on_written)

    def _retry(self, case: Case) -> None:
        """Write the case again after the retry interval."""
        when = self._loop.now() + const.RETRY_INTERVAL_S
        self._loop.call_at(when, lambda now: self._write_object(case))

    def _on_case_written(self, case: Case) -> None:
        """Release the slot of the caller and write the next case."""
        self._writing = None
        remaining = self._counts_by_caller.get(case.caller, 1) - 1
        if remaining > 0:
            self._counts_by_caller[case.caller] = remaining
        else:
            self._counts_by_caller.pop(case.caller, None)
        self._write_next()


def create_case_manager(
    loop: interfaces.Loop,
    balancer: balancer_module.Balancer,
    table: interfaces.Table,
    objects: interfaces.ObjectStore,
) -> CaseManager:
    """Return a manager without cases."""
    return CaseManager(loop, balancer, table, objects)
