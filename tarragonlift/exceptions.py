"""Exceptions of tarragonlift; each kind of failure has its own class."""

from __future__ import annotations

import attrs

from tarragonlift.core import const


class TarragonliftError(Exception):
    """Base class of all errors raised by tarragonlift."""


@attrs.frozen
class Problem:
    """An error in a file, with its position and a suggested correction."""

    file: str
    place: str
    advice: str

    def __str__(self) -> str:
        """Return the problem as a single line of text."""
        return f"{self.file}: {self.place or '(top level)'}: {self.advice}"


class InvalidDocument(TarragonliftError):
    """A settings or configuration file has errors; lists all of them."""

    def __init__(self, problems: list[Problem]) -> None:
        """Initialize the error with all problems of the document."""
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class ConfigurationConflict(TarragonliftError):
    """Another operator changed the configuration first."""

    def __init__(self, version: int, operator: str) -> None:
        """Initialize the error with the accepted version and its operator."""
        super().__init__(
            f"version {version} by {operator} came first; look at it with "
            "'tarragonlift config show', then push again"
        )
        self.version = version
        self.operator = operator


class DataCentreConflict(TarragonliftError):
    """Another operator changed the data centre's state first."""


class CapacityShort(TarragonliftError):
    """The data centres that remain could not carry the work."""


class NotConfirmed(TarragonliftError):
    """No other daemon and not the table have taken a change yet."""


class UnknownName(TarragonliftError):
    """A data centre, service or other thing is not in the configuration."""


class CaseConflict(TarragonliftError):
    """Another operator changed the case first."""


class NotAuthorized(TarragonliftError):
    """The operator's token is missing, wrong or lacks the role."""


class PlatformError(TarragonliftError):
    """Base class of failures of the platform's store or host list."""


class PlatformUnavailable(PlatformError):
    """The platform could not be reached; nothing was written."""


class PlatformAnswerLost(PlatformError):
    """The platform was asked and gave no answer; a write may have happened."""


class PlatformRefused(PlatformError):
    """The platform answered with an error."""


class PlatformHistoryLost(PlatformError):
    """The platform no longer keeps the changes since the given version."""


class PeerError(TarragonliftError):
    """Base class of failures between daemons."""


class PeerNotAuthenticated(PeerError):
    """A peer did not prove that it holds the shared key."""


class Refusal(TarragonliftError):
    """Base class of error responses that tarragonlift sends to a caller."""

    status = 503
    advice = "Send the request again."

    def __init__(self, outcome: const.Outcome) -> None:
        """Initialize the error with what is known about the execution."""
        super().__init__(self.advice)
        self.outcome = outcome

    @property
    def code(self) -> str:
        """Return the name of the error that is sent to the caller."""
        return type(self).__name__


class NoSuchService(Refusal):
    """No service is configured for this host name and path."""

    status = 404
    advice = "No service has this host name and path; check the address."


class NoRoute(Refusal):
    """No route of the configuration in force matches the request."""

    status = 404
    advice = "No route has this host name and path; check the address."


class NoConfiguration(Refusal):
    """This daemon has not read a configuration yet."""

    advice = "This host is starting; send the request again."


class NoBackendServer(Refusal):
    """No backend server of the service can take the request."""

    advice = "No backend server can take the request now; send it again."

    def __init__(
        self, outcome: const.Outcome, available_in_s: float = 0.0
    ) -> None:
        """Initialize the error; seconds until a server is known to be free."""
        super().__init__(outcome)
        self.available_in_s = available_in_s


class Overloaded(Refusal):
    """The queue of the service is full or the caller has used its share."""

    advice = "The service is at its limit; send the request again later."


class DeadlinePassed(Refusal):
    """The deadline of the request passed."""

    status = 504
    advice = "The request ran out of time; see the outcome."


class BackendFailed(Refusal):
    """The backend server failed while it processed the request."""

    status = 502
    advice = "The backend server failed; see the outcome before a resend."


class KeyMissing(Refusal):
    """A request that must run at most once has no idempotency key."""

    status = 400
    advice = "Add an Idempotency-Key header with a value of your own."


class KeyReused(Refusal):
    """The idempotency key was used before for a different request."""

    status = 422
    advice = "This Idempotency-Key belongs to another request; use a new one."


class ClaimUnknown(Refusal):
    """An earlier attempt with this key may have run but left no result."""

    status = 409
    advice = "An earlier attempt may have run; ask for help with its key."


class AnswerNotKept(Refusal):
    """The request ran; its response was too large to store."""

    status = 409
    advice = "The request ran before; its answer was too large to keep."


class StoreUnavailable(Refusal):
    """The platform's table cannot store a claim at present."""

    advice = "Requests that run once can't be accepted now; send it again."


class CrashSuspected(Refusal):
    """Requests like this one crashed several backend servers."""

    status = 503
    advice = "Requests like this one are held back; ask for help."


class Stopping(Refusal):
    """This daemon accepts no new requests."""

    advice = "This host takes no new work; send the request again."


class BadRequest(Refusal):
    """The request is not valid HTTP/1.1."""

    status = 400
    advice = "The request is not valid HTTP/1.1."


class HeadTooLarge(Refusal):
    """The head of the request exceeds the size limit."""

    status = 431
    advice = "Send fewer or shorter header fields."


class BodyTooLarge(Refusal):
    """The body of the request exceeds the size limit."""

    status = 413
    advice = "The body is larger than the service allows."


class SenderTooSlow(Refusal):
    """The caller did not send its request in time."""

    status = 408
    advice = "The request did not arrive in time; send it again."


class VersionNotSupported(Refusal):
    """The request uses a version of HTTP other than 1.1."""

    status = 505
    advice = "Use HTTP/1.1: only it shows whether an answer is whole."
