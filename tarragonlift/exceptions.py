"""The tree of errors. Every failure has a type of its own."""

from __future__ import annotations

import attrs

from tarragonlift.core import const


class TarragonliftError(Exception):
    """Base of all errors of this project."""


@attrs.frozen
class Problem:
    """One fault found in a file, with its place and what to do about it."""

    file: str
    place: str
    advice: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        return f"{self.file}: {self.place or '(top level)'}: {self.advice}"


class InvalidDocument(TarragonliftError):
    """A settings or configuration file has errors; lists all of them."""

    def __init__(self, problems: list[Problem]) -> None:
        """Keep the problems."""
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class ConfigurationConflict(TarragonliftError):
    """Another operator changed the configuration first."""

    def __init__(self, version: int, operator: str) -> None:
        """Keep the version that won and the name of its operator."""
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
    """Base of failures of the platform's store or host list."""


class PlatformUnavailable(PlatformError):
    """The platform could not be reached; nothing was written."""


class PlatformAnswerLost(PlatformError):
    """The platform was asked and gave no answer; a write may have happened."""


class PlatformRefused(PlatformError):
    """The platform answered with an error."""


class PlatformHistoryLost(PlatformError):
    """The changes since the version asked for are not kept any more."""


class PeerError(TarragonliftError):
    """Base of failures between daemons."""


class PeerNotAuthenticated(PeerError):
    """A peer could not prove that it holds the shared key."""


class Refusal(TarragonliftError):
    """Base of answers that tarragonlift itself gives to a caller."""

    status = 503
    advice = "Send the request again."

    def __init__(self, outcome: const.Outcome) -> None:
        """Keep what is known of whether the request ran."""
        super().__init__(self.advice)
        self.outcome = outcome

    @property
    def code(self) -> str:
        """Return the name of the error as callers see it."""
        return type(self).__name__


class NoSuchService(Refusal):
    """No service answers to this host name and path."""

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


class Overloaded(Refusal):
    """The queue of the service is full or the caller's share is used up."""

    advice = "The service is at its limit; send the request again later."


class DeadlinePassed(Refusal):
    """The deadline of the request passed."""

    status = 504
    advice = "The request ran out of time; see the outcome."


class BackendFailed(Refusal):
    """The backend server failed while it had the request."""

    status = 502
    advice = "The backend server failed; see the outcome before a resend."


class KeyMissing(Refusal):
    """A request that must run once carries no idempotency key."""

    status = 400
    advice = "Add an Idempotency-Key header with a value of your own."


class KeyReused(Refusal):
    """The idempotency key was used before with a different request."""

    status = 422
    advice = "This Idempotency-Key belongs to another request; use a new one."


class ClaimUnknown(Refusal):
    """An earlier attempt with this key may have run and left no answer."""

    status = 409
    advice = "An earlier attempt may have run; ask for help with its key."


class AnswerNotKept(Refusal):
    """The request ran; its answer was too large to keep."""

    status = 409
    advice = "The request ran before; its answer was too large to keep."


class StoreUnavailable(Refusal):
    """The platform's table cannot take a claim now."""

    advice = "Requests that run once can't be accepted now; send it again."


class CrashSuspected(Refusal):
    """Requests like this one crashed several backend servers."""

    status = 503
    advice = "Requests like this one are held back; ask for help."


class Stopping(Refusal):
    """This daemon takes no new work."""

    advice = "This host takes no new work; send the request again."


class BadRequest(Refusal):
    """The request breaks the rules of HTTP/1.1."""

    status = 400
    advice = "The request is not valid HTTP/1.1."


class HeadTooLarge(Refusal):
    """The head of the request is larger than allowed."""

    status = 431
    advice = "Send fewer or shorter header fields."


class BodyTooLarge(Refusal):
    """The body of the request is larger than allowed."""

    status = 413
    advice = "The body is larger than the service allows."


class SenderTooSlow(Refusal):
    """The caller did not send its request in time."""

    status = 408
    advice = "The request did not arrive in time; send it again."


class VersionNotSupported(Refusal):
    """The caller does not speak HTTP/1.1."""

    status = 505
    advice = "Use HTTP/1.1: only it shows whether an answer is whole."
