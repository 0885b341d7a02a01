"""What the decisions about one request ask the data path to do."""

from __future__ import annotations

import abc

import attrs

from tarragonlift.core import backend as backend_module
from tarragonlift.core.fleet import server as server_module
from tarragonlift.core import models
from tarragonlift import exceptions


@attrs.define(eq=False)
class Attempt:
    """One sending of a request to one backend server."""

    number: int
    backend: backend_module.Backend | server_module.FleetServer
    started_at: float


@attrs.frozen
class Action:
    """Base of everything that a decision asks for."""


class WaitingCall(abc.ABC):
    """A call that may wait for its turn in the queue of a service."""

    @abc.abstractmethod
    def on_dequeued(self, now: float) -> list[Action]:
        """Leave the queue: a backend server may have room."""

    @abc.abstractmethod
    def on_evicted(self) -> list[Action]:
        """Leave the queue: another caller has the better claim."""


@attrs.frozen
class Send(Action):
    """Send the request to the backend server of the attempt."""

    attempt: Attempt


@attrs.frozen
class Relay(Action):
    """Pass the answer of this attempt on to the caller."""

    attempt: Attempt


@attrs.frozen
class Abandon(Action):
    """Close the connection of this attempt; its answer is not wanted."""

    attempt: Attempt


@attrs.frozen
class Refuse(Action):
    """Give the caller an answer made by tarragonlift itself."""

    refusal: exceptions.Refusal


@attrs.frozen
class CutShort(Action):
    """Reset the caller's connection: the answer can't become whole."""


@attrs.frozen
class Replay(Action):
    """Give the caller the answer that was recorded earlier."""

    answer: models.RecordedAnswer


@attrs.frozen
class Evict(Action):
    """Tell another call that it gave way in the queue."""

    call: WaitingCall


@attrs.frozen
class Claim(Action):
    """Claim the key of a request that runs once."""


@attrs.frozen
class Release(Action):
    """Give the claim back: the request certainly did not run."""


@attrs.frozen
class Record(Action):
    """Record the whole answer of a request that runs once."""

    attempt: Attempt


@attrs.frozen
class WakeAt(Action):
    """Call ``on_wake`` at this time."""

    when: float


@attrs.frozen
class PauseUntil(Action):
    """Call ``on_pause_over`` at this time."""

    when: float


@attrs.frozen
class Note(Action):
    """Put an event on the time line."""

    kind: str
    subject: str
    detail: str
