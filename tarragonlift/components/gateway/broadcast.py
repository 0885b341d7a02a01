"""Sends notices to all daemons, and passes on those for a relay."""

from __future__ import annotations

from collections import abc

import attrs

from tarragonlift.components.gateway import peer_messages

Send = abc.Callable[[peer_messages.Message], None]
Notice = (
    peer_messages.CrashNotice
    | peer_messages.PauseNotice
    | peer_messages.RateLimitNotice
)


class Broadcaster:
    """Base of what daemons tell all others; set the senders first."""

    def __init__(self) -> None:
        """Initialize without senders."""
        self.send_to_data_centre: Send = _drop
        self.send_to_relays: Send = _drop

    def _broadcast(self, notice: Notice) -> None:
        """Send a notice to this data centre, and to relays of the others."""
        self.send_to_data_centre(notice)
        self.send_to_relays(attrs.evolve(notice, for_relay=True))

    def _pass_on(self, notice: Notice) -> None:
        """Send a notice on to this data centre if it came for a relay."""
        if notice.for_relay:
            self.send_to_data_centre(attrs.evolve(notice, for_relay=False))


def _drop(message: peer_messages.Message) -> None:
    """Drop a message; used until a sender is set."""
