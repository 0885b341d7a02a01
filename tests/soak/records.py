"""Records of a soak run for the checks."""

from __future__ import annotations

import math
import time

import attrs

STORE = "store"
# Subject of disruptions in which the machine of the run gave its processes
# too little processor time.
MACHINE = "machine"


@attrs.define
class SentRequest:
    """A request and its response; status 0 means no complete response."""

    request_id: str
    path: str
    is_idempotent: bool
    daemon: str
    sent_at: float
    # The whole request was written to the connection.
    is_written: bool = False
    # Some bytes of a response were received.
    has_response_bytes: bool = False
    # When the caller had the response or saw the connection end.
    ended_at: float = math.inf
    status: int = 0
    body: bytes = b""
    # Sent after all faults had ended.
    is_final: bool = False


@attrs.define
class Disruption:
    """A time span in which a daemon, a server link or the store is faulty."""

    subject: str
    began_at: float
    ended_at: float = math.inf


@attrs.define
class StatedLimit:
    """A time span in which a server states a rate limit per second."""

    server_id: str
    per_s: float
    began_at: float
    ended_at: float = math.inf


@attrs.define
class Records:
    """Requests, disruptions and violations of a run, in monotonic time."""

    requests: list[SentRequest] = attrs.field(factory=list)
    disruptions: list[Disruption] = attrs.field(factory=list)
    # When the removal of a server was written to the store.
    removed_at: dict[str, float] = attrs.field(factory=dict)
    # When a server began to say in its answers that it leaves.
    leaves_at: dict[str, float] = attrs.field(factory=dict)
    stated_limits: list[StatedLimit] = attrs.field(factory=list)
    # When each daemon's process was replaced in a graceful stop.
    replaced_at: list[tuple[str, float]] = attrs.field(factory=list)
    # Daemons that still ran long after they were asked to stop.
    late_exits: list[str] = attrs.field(factory=list)
    # Successes that came on a connection with no request waiting.
    unsolicited_successes: list[str] = attrs.field(factory=list)

    def begin_disruption(self, subject: str) -> Disruption:
        """Record a disruption from now until ``end_disruption``."""
        disruption = Disruption(subject, time.monotonic())
        self.disruptions.append(disruption)
        return disruption

    def is_same_process(self, daemon: str, since: float, until: float) -> bool:
        """Return whether one process of a daemon ran in a time span."""
        return self.is_undisturbed(daemon, since, until) and not any(
            name == daemon and since <= replaced_at <= until
            for name, replaced_at in self.replaced_at
        )

    def is_undisturbed(self, subject: str, since: float, until: float) -> bool:
        """Return whether a subject had no disruption in a time span."""
        return not any(
            disruption.subject == subject
            and disruption.began_at <= until
            and disruption.ended_at >= since
            for disruption in self.disruptions
        )


def end_disruption(disruption: Disruption) -> None:
    """Record that a disruption ends now."""
    disruption.ended_at = time.monotonic()
