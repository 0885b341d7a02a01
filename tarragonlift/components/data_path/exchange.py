"""One request and its response: carries out the core's decisions."""

from __future__ import annotations

import abc
import math
import time

from tarragonlift.components import claims as claims_module
from tarragonlift.components.data_path import attempt_run
from tarragonlift.components.data_path import byte_limits
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
SERVER_REQUEST = product_const.HEADER_REQUEST.lower().encode()
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
    """Interface of the data path to its exchanges."""

    @property
    @abc.abstractmethod
    def is_stopping(self) -> bool:
        """Return whether callers are asked to use another daemon."""

    @abc.abstractmethod
    def acquire_connection(
        self, attempt: actions.Attempt
    ) -> client.ClientConnection | None:
        """Return a connection to the attempt's backend server."""

    @abc.abstractmethod
    def release_connection(self, connection: client.ClientConnection) -> None:
        """Take back the connection of a complete response."""

    @abc.abstractmethod
    def on_server_headers(
        self, attempt: actions.Attempt, head: client.ResponseHead
    ) -> None:
        """Update the server's state from its response header fields."""

    @abc.abstractmethod
    def on_failure(self, attempt: actions.Attempt, failure: Failure) -> None:
        """Update the server's state after a failed attempt."""

    @abc.abstractmethod
    def carry_out(self, exchange: Exchange, action: actions.Action) -> None:
        """Carry out an action that affects more than this exchange."""

    @abc.abstractmethod
    def on_capacity_available(self, exchange: Exchange) -> None:
        """Handle a backend server that may accept a queued request."""

    @abc.abstractmethod
    def on_done(self, exchange: Exchange) -> None:
        """Remove a finished exchange."""


class AttemptRun(attempt_run.AttemptRun):
    """One attempt whose response is streamed to the caller."""

    def __init__(
        self,
        exchange: Exchange,
        attempt: actions.Attempt,
        connection: client.ClientConnection,
    ) -> None:
        """Initialize the run of an attempt on the connection."""
        super().__init__(exchange, attempt, connection)
        self.is_relaying = False
        self.server_refusal: Failure | None = None
        self._exchange = exchange

    def is_expected_response(self, head: client.ResponseHead) -> bool:
        """Skip responses that state another request's identifier."""
        request_id = head.get(SERVER_REQUEST)
        if request_id is None:
            return True
        own_id = self._exchange.call.request.request_id
        return request_id.decode("latin-1") == own_id

    def on_head(self, head: client.ResponseHead) -> None:
        """Store the response head and pass it to the exchange."""
        super().on_head(head)
        self._exchange.on_response_head(self, head)

    def on_body(self, data: bytes) -> None:
        """Pass on a part of the body, unless the server refused."""
        if self.server_refusal is None:
            super().on_body(data)

    def on_failed(self, sent: bool, malformed: bool) -> None:
        """Report the server's refusal, or else why the attempt failed."""
        if self.server_refusal is not None:
            self._exchange.on_run_failed(self, self.server_refusal)
            return
        super().on_failed(sent, malformed)


class Exchange(relay.Relay[AttemptRun], claims_module.Exchange):
    """Relays bytes between a caller and the backend servers of one call."""

    def __init__(
        self,
        owner: ExchangeOwner,
        connection: caller.CallerConnection,
        head: caller.RequestHead,
        call: call_module.Call,
    ) -> None:
        """Initialize the exchange; ``start`` sends the request."""
        super().__init__(connection, head, owner.release_connection)
        self._owner = owner
        self._call = call
        request = call.request
        self._request_prefix = messages.format_request_prefix(
            head, request.request_id
        )
        self._is_body_kept = True
        self._recorded_body: list[bytes] = []
        self._recorded_bytes = 0
        self._response_head = client.ResponseHead(0, [])
        call.body_complete = not head.has_body

    @property
    def call(self) -> call_module.Call:
        """Return the call that makes the decisions for this request."""
        return self._call

    def start(self, now: float) -> None:
        """Start the call."""
        self.run(self._call.start(now))

    def run(self, action_list: list[actions.Action]) -> None:
        """Carry out the actions in order."""
        for action in action_list:
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
        """Carry out the actions of the call that are due."""
        self.run(self._call.on_wake(now))

    def check_stalled(self, now: float) -> None:
        """Fail attempts whose connect or response has timed out."""
        for run in list(self._runs.values()):
            connecting_s = now - run.attempt.started_at
            if not run.connection.is_established:
                if connecting_s > const.CONNECT_TIMEOUT_S:
                    run.connection.abandon()
                    run.on_failed(sent=False, malformed=False)
                continue
            stalled_s = now - run.connection.active_at
            if stalled_s > const.RESPONSE_STALL_TIMEOUT_S:
                run.connection.abandon()
                run.on_failed(sent=True, malformed=False)

    def make_recorded_answer(self) -> models.RecordedAnswer:
        """Return the response to record for the request's resends.

        The body is None if it exceeds ``MAX_RECORDED_BODY_BYTES``.
        """
        head = self._response_head
        body: bytes | None = b"".join(self._recorded_body)
        if self._recorded_bytes > const.MAX_RECORDED_BODY_BYTES:
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
        """Forward a part of the request body and keep it for a retry."""
        self._body_bytes += len(data)
        service = self._call.request.service
        if self._body_bytes > service.body_bytes:
            self.on_body_refused(exceptions.BodyTooLarge(_NOT_RUN))
            return
        if self._is_body_kept:
            self._body.append(data)
            self._limit_kept_body()
        for run in self._runs.values():
            self._send_body(run, data)

    def on_body_complete(self) -> None:
        """Complete the request body on all attempts."""
        self._call.on_body_complete(time.monotonic())
        for run in self._runs.values():
            self._end_body(run)

    def on_body_refused(self, refusal: exceptions.Refusal) -> None:
        """Refuse the request and drop attempts that got only a part of it."""
        if self._runs:
            refusal.outcome = core_const.Outcome.UNKNOWN
        if any(run.is_relaying for run in self._runs.values()):
            self._abort_caller_connection()
        elif not self._has_responded:
            self._refuse(refusal)
        self.run(self._call.on_caller_gone())
        self._drop_incomplete_attempts()

    def on_writable(self) -> None:
        """Resume reading the response that is relayed to the caller."""
        for run in self._runs.values():
            if run.is_relaying:
                run.connection.resume_reading()

    def on_caller_gone(self) -> None:
        """Detach the caller and drop attempts with an incomplete body."""
        self._connection = None
        self.run(self._call.on_caller_gone())
        self._drop_incomplete_attempts()

    def on_response_head(
        self, run: AttemptRun, head: client.ResponseHead
    ) -> None:
        """Handle a response head: a refusal, an invalid or a usable one."""
        self._owner.on_server_headers(run.attempt, head)
        state = head.get(SERVER_STATE)
        if head.status == STATUS_UNAVAILABLE and state in STATE_FAILURES:
            run.server_refusal = STATE_FAILURES[state]
            return
        if not head.is_framed and not self._is_head:
            run.connection.abandon()
            self.on_run_failed(run, Failure.BAD_ANSWER)
            return
        self.run(self._call.on_answer_head(run.attempt, time.monotonic()))

    def get_max_body_bytes(self, run: AttemptRun) -> float:
        """Return the limit of a body that no caller takes."""
        if self._connection is None:
            return byte_limits.MAX_UNCLAIMED_BODY_BYTES
        return math.inf

    def on_response_body(self, run: AttemptRun, data: bytes) -> None:
        """Record a part of the response body and relay it to the caller."""
        if self._call.request.run is core_const.Run.ONCE:
            self._recorded_bytes += len(data)
            if self._recorded_bytes <= const.MAX_RECORDED_BODY_BYTES:
                self._recorded_body.append(data)
        if not run.is_relaying or self._connection is None:
            return
        head = run.head
        chunked = head is not None and head.chunked
        self._connection.write(
            messages.encode_chunk(data) if chunked else data
        )
        if self._connection is not None and self._connection.is_congested:
            run.connection.pause_reading()

    def on_response_complete(self, run: AttemptRun) -> None:
        """Handle the end of a response."""
        del self._runs[run.attempt]
        self._release_attempt_connection(run)
        if run.server_refusal is not None:
            self._handle_failure(run, run.server_refusal)
            return
        if run.head is not None:
            self._response_head = run.head
        result = self._call.on_answer_complete(run.attempt, time.monotonic())
        if run.is_relaying and self._connection is not None:
            if run.head is not None and run.head.chunked:
                if not self._is_head:
                    self._connection.write(messages.LAST_CHUNK)
            self._finish_response()
        self.run(result)
        self._owner.on_capacity_available(self)

    def on_run_failed(self, run: AttemptRun, failure: Failure) -> None:
        """Handle a connection that ended before the response did."""
        if self._runs.pop(run.attempt, None) is not None:
            self._handle_failure(run, failure)

    def _handle_failure(self, run: AttemptRun, failure: Failure) -> None:
        """Let the core decide how to continue after a failed attempt."""
        self._owner.on_failure(run.attempt, failure)
        now = time.monotonic()
        self.run(self._call.on_attempt_failed(run.attempt, failure, now))
        self._owner.on_capacity_available(self)

    def _send(self, attempt: actions.Attempt) -> None:
        """Send the request with the part of its body received so far."""
        connection = self._owner.acquire_connection(attempt)
        if connection is None:
            self._owner.on_failure(attempt, Failure.CONNECT_FAILED)
            now = time.monotonic()
            failure = Failure.CONNECT_FAILED
            self.run(self._call.on_attempt_failed(attempt, failure, now))
            return
        run = AttemptRun(self, attempt, connection)
        self._runs[attempt] = run
        time_left_s = self._call.request.deadline_at - attempt.started_at
        data = self._request_prefix + messages.format_request_suffix(
            time_left_s
        )
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
        self._limit_kept_body()

    def _end_body(self, run: AttemptRun) -> None:
        """Send the end of the request body."""
        run.body_sent = True
        if self._head.chunked:
            run.connection.write(messages.LAST_CHUNK)

    def _frame_body(self, data: bytes) -> bytes:
        """Return a part of the request body in its transfer coding."""
        return messages.encode_chunk(data) if self._head.chunked else data

    def _limit_kept_body(self) -> None:
        """Stop keeping a body that exceeds the service's replay limit.

        Without an attempt, reading pauses instead.
        """
        if not self._is_body_kept or self._connection is None:
            return
        if self._body_bytes <= self._call.request.service.replay_bytes:
            return
        if not self._runs:
            self._connection.pause_reading()
            return
        self._is_body_kept = False
        self._body = []
        self._call.replayable = False
        if not any(run.connection.is_congested for run in self._runs.values()):
            self._connection.resume_reading()

    def _relay(self, attempt: actions.Attempt) -> None:
        """Start relaying the response of an attempt to the caller."""
        run = self._runs[attempt]
        if run.head is None or self._connection is None:
            return
        run.is_relaying = True
        self._has_responded = True
        request_id = self._call.request.request_id
        close = self._owner.is_stopping
        if close:
            self._connection.close_after_response()
        self._connection.write(
            messages.format_response_head(run.head, request_id, close)
        )

    def _refuse(self, refusal: exceptions.Refusal) -> None:
        """Send a refusal to the caller and finish the response."""
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
        """Send a recorded response to the caller."""
        if self._connection is None:
            return
        self._has_responded = True
        request_id = self._call.request.request_id
        self._connection.write(
            messages.format_recorded_response(answer, request_id)
        )
        self._finish_response()

    def _abandon_attempt(self, attempt: actions.Attempt) -> bool:
        """Close the attempt's connection; return whether it had one."""
        had_connection = super()._abandon_attempt(attempt)
        if had_connection:
            self._owner.on_capacity_available(self)
        return had_connection

    def _drop_incomplete_attempts(self) -> None:
        """Fail the attempts whose request body was not sent completely."""
        for run in list(self._runs.values()):
            if not run.body_sent:
                run.connection.abandon()
                run.on_failed(sent=True, malformed=False)


_NOT_RUN = core_const.Outcome.NOT_RUN
