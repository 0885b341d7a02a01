"""What a run of the soak keeps for its checks."""

from __future__ import annotations

import math
import time

import attrs

STORE = "store"
# Spans in which the machine of the run gave its processes too little time.
MACHINE = "machine"


@attrs.define
class Sent:
    """One request and what its caller got; status 0: no whole answer."""

    request_id: str
    path: str
    idempotent: bool
    daemon: str
    at: float
    # The whole request was written to the connection.
    written: bool = False
    # Any byte of an answer came.
    answered: bool = False
    # When the caller had its answer or saw the connection end.
    ended_at: float = math.inf
    status: int = 0
    body: bytes = b""
    # Sent after all faults had ended.
    final: bool = False


@attrs.define
class Harm:
    """A span in which a daemon, a server's link or the store is harmed."""

    subject: str
    began_at: float
    ended_at: float = math.inf


@attrs.define
class Records:
    """Requests, harms and planned work of a run, by the monotonic clock."""

    sent: list[Sent] = attrs.field(factory=list)
    harms: list[Harm] = attrs.field(factory=list)
    # When a server's leaving was written to the store.
    left_at: dict[str, float] = attrs.field(factory=dict)
    # Daemons that still ran long after they were asked to stop.
    outlived: list[str] = attrs.field(factory=list)
    # Successes that came on a connection with no request waiting.
    unasked: list[str] = attrs.field(factory=list)

    def begin_harm(self, subject: str) -> Harm:
        """Note that a harm begins now; it lasts until it is ended."""
        harm = Harm(subject, time.monotonic())
        self.harms.append(harm)
        return harm

    def is_calm(self, subject: str, since: float, until: float) -> bool:
        """Return whether nothing harmed a subject in a span."""
        return not any(
            one.subject == subject
            and one.began_at <= until
            and one.ended_at >= since
            for one in self.harms
        )


def end_harm(harm: Harm) -> None:
    """Note that a harm ends now."""
    harm.ended_at = time.monotonic()
