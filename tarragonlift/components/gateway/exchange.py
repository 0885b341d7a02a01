"""One routed request and its response: carries out the core's decisions."""

from __future__ import annotations

from collections import abc
import math
import time

import xxhash

from tarragonlift.components.data_path import byte_limits
from tarragonlift.components.data_path import caller
from tarragonlift.components.data_path import client
from tarragonlift.components.data_path import messages
from tarragonlift.components.data_path import relay
from tarragonlift.components.gateway import attempt_run
from tarragonlift.components.gateway import const
from tarragonlift.components.gateway import exchange_owner
from tarragonlift.components.gateway import heads
from tarragonlift.components import logs
from tarragonlift.core import actions
from tarragonlift.core import const as core_const
from tarragonlift.core.fleet import delivery as delivery_module
from tarragonlift import exceptions

Failure = core_const.AttemptFailure
Verdict = delivery_module.Verdict
_NOT_RUN = core_const.Outcome.NOT_RUN


class Exchange(
    relay.Relay[attempt_run.AttemptRun], attempt_run.RoutedAttemptListener
):
    """Relays bytes between a caller and the servers of one request."""

    def __init__(
        self,
        owner: exchange_owner.ExchangeOwner,
        connection: caller.CallerConnection,
        head: caller.RequestHead,
        delivery: delivery_module.Delivery,
    ) -> None:
        """Initialize the exchange; it starts with ``on_body_complete``.

        A body that is too long to buffer starts it earlier.
        """
        super().__init__(connection, head, owner.release_connection)
        self._owner = owner
        self._delivery = delivery
        self._request_prefix = heads.format_request_prefix(
            head, owner.dialect.rewritten_fields
        )
        self._completed_runs: dict[actions.Attempt, attempt_run.AttemptRun] = (
            {}
        )
        self._is_body_complete = False
        self._is_started = False

    @property
    def delivery(self) -> delivery_module.Delivery:
        """Return the delivery, which decides about the request."""
        return self._delivery

    @property
    def has_caller(self) -> bool:
        """Return whether the caller still waits for its response."""
        return self._connection is not None

    @property
    def body_bytes(self) -> int:
        """Return how many bytes of the request's body were received."""
        return self._body_bytes

    @property
    def buffered_body(self) -> bytes:
        """Return the buffered part of the request's body."""
        return b"".join(self._body)

    def is_own_response(
        self, head: client.ResponseHead, is_reused: bool
    ) -> bool:
        """Return whether a response belongs to this request."""
        request_id = self._delivery.request.request_id
        dialect = self._owner.dialect
        is_own = dialect.is_response_to(head, request_id, is_reused)
        if not is_own:
            self._owner.note(self, "foreign_response", status=head.status)
        return is_own

    def on_response_head(self, run: attempt_run.AttemptRun) -> None:
        """Report the rate limit, leaving and pause that the server states.

        Another server at the same address says nothing about this one, and a
        refusal without a limit does not end one.
        """
        assert run.head is not None  # noqa: S101 - set before this call
        dialect = self._owner.dialect
        verdict = dialect.classify_response(run.head)
        per_s = dialect.rate_limit(run.head)
        is_signed = verdict in (Verdict.SUCCESS, Verdict.FAILURE)
        if verdict is Verdict.MISPLACED:
            return
        self._owner.on_server_head(run.attempt.backend, run.head)
        if per_s == math.inf and not is_signed:
            return
        self._owner.on_rate_limit(run.attempt.backend, per_s)

    def decide(
        self, step: abc.Callable[[float], list[actions.Action]], now: float
    ) -> None:
        """Run a step of the delivery and carry out its actions.

        A step that fails ends the request, so that the caller does not wait.
        """
        try:
            action_list = step(now)
        except Exception as error:
            request_id = self._delivery.request.request_id
            logs.log_error(error, request=request_id)
            action_list = self._delivery.on_error(now)
        self.run(action_list)

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
            else:
                self._owner.carry_out(self, action)
        if self._delivery.phase is delivery_module.Phase.DONE:
            if not self._runs:
                self._owner.on_done(self)

    def close_overdue_attempts(self, now: float) -> None:
        """Close attempts that nobody waits for any longer.

        A response that is being streamed ends with the caller's deadline. An
        attempt that is not idempotent may run on for a while after its caller
        got the final answer; its server stops then as well.
        """
        request = self._delivery.request
        overrun_at = request.give_up_at + const.ATTEMPT_OVERRUN_TIMEOUT_S
        for run in list(self._runs.values()):
            ends_at = request.deadline_at if run.is_streaming else overrun_at
            if now >= ends_at:
                run.connection.abandon()
                self.on_run_failed(run, Failure.OVERDUE)

    def on_body(self, data: bytes) -> None:
        """Receive a part of the request's body."""
        self._body_bytes += len(data)
        connection = self._connection
        if connection is None:
            return
        if self._body_bytes > connection.limits.body_bytes:
            self.on_body_refused(exceptions.BodyTooLarge(_NOT_RUN))
            return
        if self._delivery.replayable:
            self._body.append(data)
        for run in self._runs.values():
            self._send_body(run, data)
        if self._body_bytes > const.MAX_BUFFERED_BODY_BYTES:
            self._stop_buffering()

    def on_body_complete(self) -> None:
        """Start the delivery, and complete the body of running attempts."""
        self._is_body_complete = True
        self._start()
        for run in self._runs.values():
            self._end_body(run)

    def on_body_refused(self, refusal: exceptions.Refusal) -> None:
        """Refuse the request and stop its attempts."""
        if self._runs:
            # A part was sent, so a status that states "not run" would be
            # wrong.
            refusal = exceptions.BackendFailed(core_const.Outcome.UNKNOWN)
        self._refuse(refusal)
        self.decide(self._delivery.on_body_broken, time.monotonic())

    def on_process_ending(self, now: float) -> None:
        """Answer the caller; a response that is being streamed ends early."""
        self.decide(self._delivery.on_process_ending, now)

    def on_writable(self) -> None:
        """Resume reading responses."""
        for run in self._runs.values():
            run.connection.resume_reading()

    def on_caller_gone(self) -> None:
        """Stop the delivery, as far as its route allows."""
        self._connection = None
        if self._delivery.phase is not delivery_module.Phase.DONE:
            self._owner.note(self, "caller_gone")
        for run in list(self._runs.values()):
            if run.is_streaming:
                self._owner.note(self, "caller_gone", streaming=True)
                self._abandon_attempt(run.attempt)
        if self._is_body_complete:
            self.decide(self._delivery.on_caller_gone, time.monotonic())
        else:
            self.decide(self._delivery.on_body_broken, time.monotonic())

    def get_max_body_bytes(self, run: attempt_run.AttemptRun) -> float:
        """Return the limit of a body that is not streamed to the caller."""
        if run.is_streaming:
            return math.inf
        if self._connection is None:
            return byte_limits.MAX_UNCLAIMED_BODY_BYTES
        return byte_limits.MAX_FAILURE_BODY_BYTES

    def on_response_body(
        self, run: attempt_run.AttemptRun, data: bytes
    ) -> None:
        """Buffer a part of a response's body or stream it to the caller.

        Without a caller, the body is discarded.
        """
        if run.is_streaming:
            self._stream_response(run, data)
            return
        if self._connection is None:
            return
        run.body.append(data)
        if run.body_bytes > const.MAX_BUFFERED_RESPONSE_BYTES:
            self._begin_streaming(run)

    def on_response_complete(self, run: attempt_run.AttemptRun) -> None:
        """Release the connection and process the complete response."""
        self._runs.pop(run.attempt, None)
        self._release_attempt_connection(run)
        if run.is_streaming:
            self._end_streaming(run)
            return
        assert run.head is not None  # noqa: S101 - complete responses have one
        self._completed_runs[run.attempt] = run
        self._on_classified_response(
            run, self._owner.dialect.classify_response(run.head)
        )

    def on_run_failed(
        self, run: attempt_run.AttemptRun, failure: Failure
    ) -> None:
        """Report an attempt whose connection ended before its response."""
        if self._runs.pop(run.attempt, None) is None:
            return
        limit = run.connection.exceeded_limit
        facts = {"limit": limit.value} if limit is not None else {}
        self._owner.note(
            self,
            "attempt_failed",
            server=run.attempt.backend.server_id,
            failure=failure.value,
            after_ms=_to_ms(time.monotonic() - run.attempt.started_at),
            **facts,
        )
        if run.is_streaming:
            self._abort_caller_connection()
        self.decide(
            lambda now: self._delivery.on_failed(run.attempt, failure, now),
            time.monotonic(),
        )

    def _start(self) -> None:
        """Start the delivery; the body is complete or too long to buffer."""
        if self._is_started or self._has_responded:
            return
        self._is_started = True
        self._delivery.body_bytes = self._body_bytes
        self._delivery.fingerprint = self._fingerprint()
        self.decide(self._delivery.start, time.monotonic())

    def _fingerprint(self) -> str:
        """Return a hash that identifies repetitions of the request.

        Of a long body, the part that is always received by now is used.
        """
        digest = xxhash.xxh64(self._head.method)
        digest.update(self._head.fields.get(b"host", b""))
        digest.update(self._head.target)
        digest.update(self.buffered_body[: const.MAX_BUFFERED_BODY_BYTES])
        return digest.hexdigest()

    def _stop_buffering(self) -> None:
        """Stream a long body as it arrives; it can't be sent again."""
        if not self._delivery.replayable:
            return
        self._start()
        if self._runs or self._has_responded:
            self._delivery.replayable = False
            self._body = []
        elif self._connection is not None:
            self._connection.pause_reading()

    def _on_classified_response(
        self, run: attempt_run.AttemptRun, verdict: Verdict
    ) -> None:
        """Report the response's verdict to the delivery."""
        now = time.monotonic()
        head = run.head
        assert head is not None  # noqa: S101 - a verdict needs a head
        server = run.attempt.backend
        if verdict is not Verdict.MISPLACED:
            self._report_response(run)
        load = self._owner.dialect.load_report(head)
        if load is not None and verdict is Verdict.SUCCESS:
            server.update_load(load, now)
        if verdict is not Verdict.SUCCESS:
            self._owner.note(
                self,
                "answer_not_success",
                server=server.server_id,
                status=head.status,
                verdict=verdict.value,
                after_ms=_to_ms(now - run.attempt.started_at),
            )
        is_delimited = head.is_framed or self._is_head
        self.decide(
            lambda now: self._delivery.on_answer(
                run.attempt, verdict, now, is_delimited
            ),
            now,
        )

    def _report_response(self, run: attempt_run.AttemptRun) -> None:
        """Report that the attempt's server has answered."""
        attempt = run.attempt
        self._owner.on_server_response(
            attempt.backend, run.connection, attempt.started_at
        )

    def _send(self, attempt: actions.Attempt) -> None:
        """Send the request with the part of its body received so far."""
        now = time.monotonic()
        has_request_id = bool(self._delivery.request.request_id)
        may_reuse = has_request_id and not attempt.is_repeat
        connection = self._owner.acquire_connection(attempt, may_reuse)
        if connection is None:
            failure = Failure.CONNECT_FAILED
            self.decide(
                lambda now: self._delivery.on_failed(attempt, failure, now),
                now,
            )
            return
        run = attempt_run.AttemptRun(self, attempt, connection)
        self._runs[attempt] = run
        request = self._delivery.request
        length = self._body_bytes if self._is_body_complete else None
        data = [
            self._request_prefix,
            self._owner.dialect.server_request_fields(
                attempt.backend.server_id, request.give_up_at - now
            ),
            heads.format_body_framing_fields(self._head, length),
            b"\r\n",
        ]
        if self._body:
            data.append(self._frame_body(self.buffered_body))
        run.body_sent = self._is_body_complete
        connection.send_request(b"".join(data), run, self._is_head)
        if not self._is_body_complete and self._connection is not None:
            self._delivery.replayable = False
            self._body = []
            self._connection.resume_reading()

    def _end_body(self, run: attempt_run.AttemptRun) -> None:
        """Send the end of the body."""
        if not run.body_sent and self._head.chunked:
            run.connection.write(messages.LAST_CHUNK)
        run.body_sent = True

    def _frame_body(self, data: bytes) -> bytes:
        """Return a part of the body as it is framed for a server."""
        if self._head.chunked and not self._is_body_complete:
            return messages.encode_chunk(data)
        return data

    def _relay(self, attempt: actions.Attempt) -> None:
        """Send a complete response to the caller."""
        run = self._completed_runs.pop(attempt)
        connection = self._connection
        if connection is None or run.head is None:
            return
        body = b"" if self._is_head else b"".join(run.body)
        self._log_answered(run)
        self._write_response_head(run, len(body))
        connection.write(body)
        self._finish_response()

    def _write_response_head(
        self, run: attempt_run.AttemptRun, length: int | None
    ) -> None:
        """Write the head of a server's response to the caller."""
        connection = self._connection
        assert connection is not None  # noqa: S101 - checked by callers
        assert run.head is not None  # noqa: S101 - checked by callers
        self._has_responded = True
        close = self._owner.is_stopping
        if close:
            connection.close_after_response()
        connection.write(
            heads.format_response_head(run.head, length, self._is_head, close)
        )

    def _begin_streaming(self, run: attempt_run.AttemptRun) -> None:
        """Start streaming a long response to the caller."""
        assert run.head is not None  # noqa: S101 - a body follows a head
        verdict = self._owner.dialect.classify_response(run.head)
        if verdict is not Verdict.SUCCESS or self._connection is None:
            return
        run.is_streaming = True
        self._log_answered(run)
        self._write_response_head(run, None)
        self.decide(
            lambda now: self._delivery.on_stream_begun(run.attempt, now),
            time.monotonic(),
        )
        data, run.body = b"".join(run.body), []
        self._stream_response(run, data)

    def _stream_response(
        self, run: attempt_run.AttemptRun, data: bytes
    ) -> None:
        """Write a part of a streamed response."""
        connection = self._connection
        if connection is None or run.head is None:
            return
        chunked = run.head.content_length is None
        connection.write(messages.encode_chunk(data) if chunked else data)
        if connection.is_congested:
            run.connection.pause_reading()

    def _end_streaming(self, run: attempt_run.AttemptRun) -> None:
        """Write the end of a streamed response."""
        is_delimited = run.head is not None and run.head.is_framed
        self._delivery.on_stream_ended(time.monotonic(), is_delimited)
        self._report_response(run)
        connection = self._connection
        if connection is not None and run.head is not None:
            if run.head.content_length is None:
                connection.write(messages.LAST_CHUNK)
            self._finish_response()
        self.run([])

    def _refuse(self, refusal: exceptions.Refusal) -> None:
        """Send a refusal to the caller."""
        connection = self._connection
        if connection is None or self._has_responded:
            return
        self._has_responded = True
        request = self._delivery.request
        close = self._owner.is_stopping or not connection.is_body_complete
        if close:
            connection.close_after_response()
        fields = self._owner.refusal_fields(self, refusal)
        self._owner.note(
            self,
            "refused",
            error=refusal.code,
            status=refusal.status,
            outcome=refusal.outcome.value,
            sent=self._delivery.sent,
            after_ms=_to_ms(time.monotonic() - request.received_at),
        )
        connection.write(
            messages.format_refusal(
                refusal, request.request_id, self._is_head, close, fields
            )
        )
        self._finish_response()

    def _log_answered(self, run: attempt_run.AttemptRun) -> None:
        """Log the response that the caller receives."""
        now = time.monotonic()
        received_at = self._delivery.request.received_at
        self._owner.note(
            self,
            "answered",
            server=run.attempt.backend.server_id,
            status=run.head.status if run.head else 0,
            sent=self._delivery.sent,
            server_ms=_to_ms(now - run.attempt.started_at),
            after_ms=_to_ms(now - received_at),
        )


def _to_ms(seconds: float) -> float:
    """Return seconds as milliseconds for a log line."""
    return round(seconds * 1000, 1)
