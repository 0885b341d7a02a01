"""Structured logging with eliot."""

from __future__ import annotations

import sys
import traceback
from typing import Any
from typing import TextIO

import eliot

from tarragonlift.components.logs import writer
from tarragonlift.core import timeline

FILENO_STANDARD_OUTPUT = 1

MESSAGE_ACTION = "tarragonlift:action"
MESSAGE_ERROR = "tarragonlift:error"
MESSAGE_BELIEF = "tarragonlift:belief"
MESSAGE_EVENT = "tarragonlift:event"
MESSAGE_REQUEST = "tarragonlift:request"


def setup_logs(stream: TextIO | None = None) -> None:
    """Write logs to the stream, one JSON document per line."""
    eliot.to_file(stream or sys.stderr)


def setup_nonblocking_logs(
    fileno: int = FILENO_STANDARD_OUTPUT,
) -> writer.LogWriter:
    """Write logs to a file descriptor without blocking; return the writer."""
    log_writer = writer.LogWriter(fileno)
    eliot.add_destinations(log_writer)
    return log_writer


def log_request(decision: str, request: str, **facts: Any) -> None:
    """Log a decision about a request."""
    eliot.log_message(
        MESSAGE_REQUEST, decision=decision, request=request, **facts
    )


def log_status(about: str, **facts: Any) -> None:
    """Log a change in the state that this process assumes."""
    eliot.log_message(MESSAGE_BELIEF, about=about, **facts)


def log_event(event: timeline.Event) -> None:
    """Log an event of the timeline."""
    eliot.log_message(MESSAGE_EVENT, **event.to_document())


def log_error(error: BaseException, **fields: Any) -> None:
    """Log an error with its type, message and innermost source line."""
    frames = traceback.extract_tb(error.__traceback__)[-1:]
    eliot.log_message(
        MESSAGE_ERROR,
        error=type(error).__name__,
        reason=str(error),
        place=[f"{frame.filename}:{frame.lineno}" for frame in frames],
        **fields,
    )


def log_action(operator: str, method: str, path: str) -> None:
    """Log a change made by an operator."""
    eliot.log_message(
        MESSAGE_ACTION, operator=operator, method=method, path=path
    )
