"""One request and its answer: carries out what the core decides."""

from __future__ import annotations

import abc
import time

from tarragonlift.components import claims as claims_module
from tarragonlift.components.data_path import attempt_run
from tarragonlift.components.data_path import caller
from tarragonlift.components.data_path import client
from tarragonlift.components.data_path import const
from tarragonlift.components.data_path import messages
from tarragonlift.components.data_path import relay
from tarragonlift import const as product_const
from tarragonlift.core import actions
from tarragonlift.core import call as call_module
from tarragonlift.core import const as core_const
from tarragonlift.core import models
from tarragonlift import exceptions

SERVER_START = product_const.HEADER_SERVER_START.lower().encode()
SERVER_LOAD = product_const.HEADER_SERVER_LOAD.lower().encode()
SERVER_STATE = product_const.HEADER_SERVER_STATE.lower().encode()
STATE_FAILURES = {
    product_const.SERVER_STATE_DRAINING.encode(): (
        core_const.AttemptFailure.DRAINING
    ),
    product_const.SERVER_STATE_SHED.encode(): core_const.AttemptFailure.SHED,
}
STATUS_UNAVAILABLE = 503

Failure = core_const.AttemptFailure


class ExchangeOwner(abc.ABC):
    """What an exchange needs of the data path."""

    @property
    @abc.abstractmethod
    def is_stopping(self) -> bool:
        """Return whether callers are asked to go elsewhere."""

    @abc.abstractmethod
    def acquire_connection(
        self, attempt: actions.Attempt
    ) -> client.ClientConnection | None:
        """Return a connection to the attempt's backend server."""

    @abc.abstractmethod
    def release_connection(self, connection: client.ClientConnection) -> None:
        """Keep or close a connection whose answer was whole."""

    @abc.abstractmethod
    def on_server_headers(
        self, attempt: actions.Attempt, head: client.ResponseHead
    ) -> None:
        """Learn from what the backend server says of itself."""

    @abc.abstractmethod
    def on_failure(self, attempt: actions.Attempt, failure: Failure) -> None:
        """Learn from a failure of the backend server."""

    @abc.abstractmethod
    def carry_out(self, exchange: Exchange, action: actions.Action) -> None:
        """Do what concerns more than this exchange."""

    @abc.abstractmethod
    def on_capacity_available(self, exchange: Exchange) -> None:
        """A backend server may have room for a request that waits."""

    @abc.abstractmethod
    def on_done(self, exchange: Exchange) -> None:
        """Forget the exchange."""


class AttemptRun(attempt_run.AttemptRun):
    """One attempt whose answer is passed on while it comes."""

    def __init__(
        self,
        exchange: Exchange,
        attempt: actions.Attempt,
        connection: client.ClientConnection,
    ) -> None:
        """Run the attempt on the connection."""
        super().__init__(exchange, attempt, connection)
        self.relaying = False
        self.refused: Failure | None = None
        self._exchange = exchange

    def on_head(self, head: client.ResponseHead) -> None:
        """Take the head of the answer."""
        super().on_head(head)
        self._exchange.on_response_head(self, head)

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        if self.refused is None:
            super().on_body(data)

    def on_failed(self, sent: bool, malformed: bool) -> None:
        """The connection ended first."""
        if self.refused is not None:
            self._exchange.on_run_failed(self, self.refused)
            return
        super().on_failed(sent, malformed)


class Exchange(relay.Relay[AttemptRun], claims_module.Exchange):
    """Moves bytes between a caller and the backend servers of one call."""

    def __init__(
        self,
        owner: ExchangeOwner,
        connection: caller.CallerConnection,
        head: caller.RequestHead,
        call: call_module.Call,
    ) -> None:
        """Prepare; ``start`` begins."""
        super().__init__(connection, head, owner.release_connection)
        self._owner = owner
        self._call = call
        request = call.request
        self._prefix = messages.format_request_prefix(head, request.request_id)
        self._kept = True
        self._recorded: list[bytes] = []
        self._recorded_bytes = 0
        self._answer_head = client.ResponseHead(0, [])
        call.body_complete = not head.has_body

    @property
    def call(self) -> call_module.Call:
        """Return the call whose decisions are carried out."""
        return self._call

    def start(self, now: float) -> None:
        """Begin."""
        self.run(self._call.start(now))

    def run(self, wanted: list[actions.Action]) -> None:
        """Carry out actions one after the other."""
        for action in wanted:
            if isinstance(action, actions.Send):
                self._send(action.attempt)
            elif isinstance(action, actions.Relay):
                self._relay(action.attempt)
            elif isinstance(action, actions.Refuse):
                self._refuse(action.refusal)
            elif isinstance(action, actions.Abandon):
                self._abandon_attempt(action.attempt)
            elif isinstance(action, actions.CutShort):
                self._abort_caller_connection()
            elif isinstance(action, actions.Replay):
                self._replay(action.answer)
            else:
                self._owner.carry_out(self, action)
        if self._call.phase is call_module.Phase.DONE and not self._runs:
            self._owner.on_done(self)

    def wake(self, now: float) -> None:
        """Let the core do what is due."""
        self.run(self._call.on_wake(now))

    def check_stalled(self, now: float) -> None:
        """Give up on a connection or an answer that does not come."""
        for run in list(self._runs.values()):
            waited = now - run.attempt.started_at
            if not run.connection.is_established:
                if waited > const.CONNECT_TIMEOUT_S:
                    run.connection.abandon()
                    run.on_failed(sent=False, malformed=False)
                continue
            quiet = now - run.connection.active_at
            if quiet > const.ANSWER_STALL_TIMEOUT_S:
                run.connection.abandon()
                run.on_failed(sent=True, malformed=False)

    def recorded_answer(self) -> models.RecordedAnswer:
        """Return the whole answer for the record."""
        head = self._answer_head
        body: bytes | None = b"".join(self._recorded)
        if self._recorded_bytes > const.RECORD_BYTES_MOST:
            body = None
        return models.RecordedAnswer(
            head.status,
            tuple(
                (name, value)
                for name, value in head.headers
                if name.lower() not in messages.FIELDS_NOT_RELAYED
            ),
            body,
        )

    def on_body(self, data: bytes) -> None:
        """Take a part of the request's body."""
        self._body_bytes += len(data)
        service = self._call.request.service
        if self._body_bytes > service.body_bytes:
            self.on_body_refused(exceptions.BodyTooLarge(_NOT_RUN))
            return
        if self._kept:
            self._body.append(data)
            self._limit_kept()
        for run in self._runs.values():
            self._send_body(run, data)

    def on_body_complete(self) -> None:
        """The request's body is whole."""
        self._call.on_body_complete(time.monotonic())
        for run in self._runs.values():
            self._end_body(run)

    def on_body_refused(self, refusal: exceptions.Refusal) -> None:
        """The rest of the body is not acceptable: nothing half-sent stays."""
        if self._runs:
            refusal.outcome = core_const.Outcome.UNKNOWN
        if any(run.relaying for run in self._runs.values()):
            self._abort_caller_connection()
        elif not self._has_responded:
            self._refuse(refusal)
        self.run(self._call.on_caller_gone())
        self._drop_unfinished()

    def on_writable(self) -> None:
        """The caller takes more of the answer."""
        for run in self._runs.values():
            if run.relaying:
                run.connection.resume_reading()

    def on_caller_gone(self) -> None:
        """The caller closed its connection."""
        self._connection = None
        self.run(self._call.on_caller_gone())
        self._drop_unfinished()

    def on_response_head(
        self, run: AttemptRun, head: client.ResponseHead
    ) -> None:
        """Take the head of an answer."""
        self._owner.on_server_headers(run.attempt, head)
        state = head.get(SERVER_STATE)
        if head.status == STATUS_UNAVAILABLE and state in STATE_FAILURES:
            run.refused = STATE_FAILURES[state]
            return
        if not head.is_framed and not self._is_head:
            run.connection.abandon()
            self.on_run_failed(run, Failure.BAD_ANSWER)
            return
        self.run(self._call.on_answer_head(run.attempt, time.monotonic()))

    def on_response_body(self, run: AttemptRun, data: bytes) -> None:
        """Take a part of an answer's body."""
        if self._call.request.run is core_const.Run.ONCE:
            self._recorded_bytes += len(data)
            if self._recorded_bytes <= const.RECORD_BYTES_MOST:
                self._recorded.append(data)
        if not run.relaying or self._connection is None:
            return
        head = run.head
        chunked = head is not None and head.chunked
        self._connection.write(
            messages.encode_chunk(data) if chunked else data
        )
        if self._connection is not None and self._connection.is_congested:
            run.connection.pause_reading()

    def on_response_complete(self, run: AttemptRun) -> None:
        """Take the end of an answer."""
        del self._runs[run.attempt]
        self._release_attempt_connection(run)
        if run.refused is not None:
            self._failed(run, run.refused)
            return
        if run.head is not None:
            self._answer_head = run.head
        wanted = self._call.on_answer_complete(run.attempt, time.monotonic())
        if run.relaying and self._connection is not None:
            if run.head is not None and run.head.chunked:
                if not self._is_head:
                    self._connection.write(messages.LAST_CHUNK)
            self._finish_response()
        self.run(wanted)
        self._owner.on_capacity_available(self)

    def on_run_failed(self, run: AttemptRun, failure: Failure) -> None:
        """The connection of an attempt ended before its answer."""
        if self._runs.pop(run.attempt, None) is not None:
            self._failed(run, failure)

    def _failed(self, run: AttemptRun, failure: Failure) -> None:
        """Let the core decide what follows a failure."""
        self._owner.on_failure(run.attempt, failure)
        now = time.monotonic()
        self.run(self._call.on_attempt_failed(run.attempt, failure, now))
        self._owner.on_capacity_available(self)

    def _send(self, attempt: actions.Attempt) -> None:
        """Send the request, with what has come of its body."""
        connection = self._owner.acquire_connection(attempt)
        if connection is None:
            self._owner.on_failure(attempt, Failure.CONNECT_FAILED)
            now = time.monotonic()
            failure = Failure.CONNECT_FAILED
            self.run(self._call.on_attempt_failed(attempt, failure, now))
            return
        run = AttemptRun(self, attempt, connection)
        self._runs[attempt] = run
        left = self._call.request.deadline_at - attempt.started_at
        data = self._prefix + messages.format_request_suffix(left)
        if self._body:
            data += self._frame_body(b"".join(self._body))
        if self._call.body_complete:
            run.body_sent = True
            if self._head.chunked:
                data += messages.LAST_CHUNK
        elif self._head.expects_continue and not self._body_bytes:
            if self._connection is not None:
                self._connection.write(messages.CONTINUE)
        connection.send_request(data, run, self._is_head)
        self._limit_kept()

    def _end_body(self, run: AttemptRun) -> None:
        """Send the end of the body."""
        run.body_sent = True
        if self._head.chunked:
            run.connection.write(messages.LAST_CHUNK)

    def _frame_body(self, data: bytes) -> bytes:
        """Return the data as it goes to a backend server."""
        return messages.encode_chunk(data) if self._head.chunked else data

    def _limit_kept(self) -> None:
        """Keep no more of the body than the service allows."""
        if not self._kept or self._connection is None:
            return
        if self._body_bytes <= self._call.request.service.replay_bytes:
            return
        if not self._runs:
            self._connection.pause_reading()
            return
        self._kept = False
        self._body = []
        self._call.replayable = False
        if not any(run.connection.is_congested for run in self._runs.values()):
            self._connection.resume_reading()

    def _relay(self, attempt: actions.Attempt) -> None:
        """Begin to pass the answer on."""
        run = self._runs[attempt]
        if run.head is None or self._connection is None:
            return
        run.relaying = True
        self._has_responded = True
        request_id = self._call.request.request_id
        close = self._owner.is_stopping
        if close:
            self._connection.close_after_response()
        self._connection.write(
            messages.format_response_head(run.head, request_id, close)
        )

    def _refuse(self, refusal: exceptions.Refusal) -> None:
        """Answer in tarragonlift's own name."""
        connection = self._connection
        if connection is None or self._has_responded:
            return
        self._has_responded = True
        request_id = self._call.request.request_id
        close = not connection.is_body_complete
        connection.write(
            messages.format_refusal(refusal, request_id, self._is_head, close)
        )
        detail = f"{refusal.code} {refusal.outcome.value}"
        kind = core_const.EVENT_REQUEST_REFUSED
        self._owner.carry_out(self, actions.Note(kind, request_id, detail))
        self._finish_response()

    def _replay(self, answer: models.RecordedAnswer) -> None:
        """Give the answer that was recorded."""
        if self._connection is None:
            return
        self._has_responded = True
        request_id = self._call.request.request_id
        self._connection.write(
            messages.format_recorded_response(answer, request_id)
        )
        self._finish_response()

    def _abandon_attempt(self, attempt: actions.Attempt) -> bool:
        """Close the connection of an attempt that is not wanted."""
        had_one = super()._abandon_attempt(attempt)
        if had_one:
            self._owner.on_capacity_available(self)
        return had_one

    def _drop_unfinished(self) -> None:
        """Close the connections of a request that was sent in part."""
        for run in list(self._runs.values()):
            if not run.body_sent:
                run.connection.abandon()
                run.on_failed(sent=True, malformed=False)


_NOT_RUN = core_const.Outcome.NOT_RUN
