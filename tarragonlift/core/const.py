"""Constants and enumerations of the core."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """Whether a request is known to have run on a backend server."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Run(enum.Enum):
    """Whether a request may run repeatedly or only once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class DataCentreState(enum.Enum):
    """Whether a data centre receives new requests."""

    IN_SERVICE = "in-service"
    OUT = "out"


class Warmth(enum.Enum):
    """Warm-up state of a backend server."""

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"


class AttemptFailure(enum.Enum):
    """Why an attempt to send a request to a backend server failed."""

    CONNECT_FAILED = "connect-failed"
    SHED = "shed"
    DRAINING = "draining"
    BROKEN_BEFORE_ANSWER = "broken-before-answer"
    BROKEN_IN_ANSWER = "broken-in-answer"
    BAD_ANSWER = "bad-answer"
    OVERDUE = "overdue"


# Failures after which the request certainly did not run.
FAILURES_NOT_RUN = frozenset(
    (
        AttemptFailure.CONNECT_FAILED,
        AttemptFailure.SHED,
        AttemptFailure.DRAINING,
    )
)

# Failures after which the server may have ended while it ran the request.
FAILURES_BROKEN = frozenset(
    (
        AttemptFailure.BROKEN_BEFORE_ANSWER,
        AttemptFailure.BROKEN_IN_ANSWER,
    )
)

MAX_ATTEMPTS = 4
MAX_HEDGES = 2
SET_ASIDE_S = 1.0
CLAIM_POLL_INTERVAL_S = 0.2

EVENT_ATTEMPT_FAILED = "attempt-failed"
EVENT_BACKEND_COLD = "backend-cold"
EVENT_BACKEND_GONE = "backend-gone"
EVENT_BACKEND_LISTED = "backend-listed"
EVENT_BACKEND_LEAVING = "backend-leaving"
EVENT_BACKEND_WARM = "backend-warm"
EVENT_CASE_OPENED = "case-opened"
EVENT_CLAIM_UNKNOWN = "claim-unknown"
EVENT_CONFIGURATION_ADOPTED = "configuration-adopted"
EVENT_CONFIGURATION_PUSHED = "configuration-pushed"
EVENT_DATA_CENTRE = "data-centre"
EVENT_REQUEST_HELD = "request-held"
EVENT_REQUEST_REFUSED = "request-refused"
EVENT_STARTED = "started"
EVENT_STOPPING = "stopping"
