"""Timeline of one daemon: a bounded ring buffer of events."""

from __future__ import annotations

import collections

import attrs

from tarragonlift.core import hlc

MAX_EVENTS = 4096


@attrs.frozen
class Event:
    """Event with its hybrid logical timestamp."""

    stamp: hlc.Stamp
    daemon: str
    kind: str
    subject: str
    detail: str

    def to_document(self) -> dict[str, object]:
        """Return the event as plain data."""
        return {
            "wall_ms": self.stamp.wall_ms,
            "counter": self.stamp.counter,
            "daemon": self.daemon,
            "kind": self.kind,
            "subject": self.subject,
            "detail": self.detail,
        }


class Timeline:
    """Keeps the most recent events of one daemon."""

    def __init__(self, daemon: str, length: int = MAX_EVENTS) -> None:
        """Initialize an empty timeline."""
        self._daemon = daemon
        self._events: collections.deque[Event] = collections.deque(
            maxlen=length
        )
        self.clock = hlc.HybridClock()

    def add(
        self, kind: str, subject: str, detail: str, wall_time: float
    ) -> Event:
        """Append an event and return it."""
        stamp = self.clock.tick(wall_time)
        event = Event(stamp, self._daemon, kind, subject, detail)
        self._events.append(event)
        return event

    def events(
        self, since_ms: int = 0, kind: str = "", subject: str = ""
    ) -> list[Event]:
        """Return the matching events, oldest first."""
        return [
            event
            for event in self._events
            if event.stamp.wall_ms >= since_ms
            and (not kind or event.kind == kind)
            and (not subject or subject in (event.subject, event.detail))
        ]
