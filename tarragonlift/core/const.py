"""Constants and enumerations of the core."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """What is known of whether a request ran."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Run(enum.Enum):
    """How often a request may run."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class DataCentreState(enum.Enum):
    """Whether a data centre receives new work."""

    IN_SERVICE = "in-service"
    OUT = "out"


class Warmth(enum.Enum):
    """How much a backend server has shown that it can carry."""

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"


class AttemptFailure(enum.Enum):
    """Why one attempt at a backend server failed."""

    CONNECT_FAILED = "connect-failed"
    SHED = "shed"
    DRAINING = "draining"
    BROKEN_BEFORE_ANSWER = "broken-before-answer"
    BROKEN_IN_ANSWER = "broken-in-answer"
    BAD_ANSWER = "bad-answer"


# Failures after which the backend server certainly did not run the request.
FAILURES_NOT_RUN = frozenset(
    (
        AttemptFailure.CONNECT_FAILED,
        AttemptFailure.SHED,
        AttemptFailure.DRAINING,
    )
)

MAX_ATTEMPTS = 4
HEDGES_MOST = 2
SET_ASIDE_SECONDS = 1.0
CLAIM_POLL_SECONDS = 0.2

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
