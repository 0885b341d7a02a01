"""Tells other daemons on which requests servers ended, and hears of others'.

A notice holds all that is known of a request and is sent twice, so that a
lost datagram is made up for. Notices go to the daemons of the data centre and
to relays elsewhere; times travel as ages.
"""

from __future__ import annotations

from collections import abc

import attrs

from tarragonlift.components.gateway import const
from tarragonlift.components.gateway import peer_messages
from tarragonlift.components import logs
from tarragonlift.core.fleet import crashes
from tarragonlift.core import interfaces

Send = abc.Callable[[peer_messages.Message], None]


class CrashFollower:
    """Keeps a daemon's crash tracker in step with those of the others."""

    def __init__(
        self, loop: interfaces.Loop, tracker: crashes.CrashTracker
    ) -> None:
        """Initialize the follower; set the senders next."""
        self._loop = loop
        self._tracker = tracker
        self.send_to_data_centre: Send = _drop
        self.send_to_relays: Send = _drop

    def tick(self, now: float) -> None:
        """Tell the others what this daemon has seen since the last tick."""
        suspects = self._tracker.take_changed()
        survivors = self._tracker.take_survivors()
        if not suspects and not survivors:
            return
        for suspect in suspects:
            _log(suspect, told=False)
        self._announce(suspects, survivors, now)
        self._loop.call_at(
            now + const.CRASH_NOTICE_REPEAT_S,
            lambda then: self._announce(suspects, survivors, then),
        )

    def on_notice(self, notice: peer_messages.CrashNotice) -> None:
        """Apply what another daemon knows."""
        if notice.for_relay:
            self.send_to_data_centre(attrs.evolve(notice, for_relay=False))
        now = self._loop.now()
        for stated in notice.suspects:
            suspect = _decode_suspect(stated, now)
            if self._tracker.apply(suspect):
                _log(suspect, told=True)
        for survivor in notice.survivors:
            self._tracker.apply_alive(survivor.start, now - survivor.age_s)

    def _announce(
        self,
        suspects: list[crashes.Suspect],
        survivors: crashes.Ends,
        now: float,
    ) -> None:
        """Send notices to all other daemons, each a datagram."""
        for notice in make_notices(suspects, survivors, now):
            self.send_to_data_centre(notice)
            self.send_to_relays(attrs.evolve(notice, for_relay=True))


def make_notices(
    suspects: abc.Sequence[crashes.Suspect],
    survivors: crashes.Ends,
    now: float,
) -> list[peer_messages.CrashNotice]:
    """Return notices that fit into a datagram each."""
    stated = [
        peer_messages.StatedSuspect(
            suspect.fingerprint,
            _encode_ends(suspect.ends, now),
            now - suspect.answered_at,
        )
        for suspect in suspects
    ]
    size = const.MAX_NOTICE_SUSPECTS
    notices = [
        peer_messages.CrashNotice(tuple(stated[start : start + size]))
        for start in range(0, len(stated), size)
    ] or [peer_messages.CrashNotice()]
    notices[0] = attrs.evolve(
        notices[0], survivors=_encode_ends(survivors, now)
    )
    return notices


def _encode_ends(
    ends: crashes.Ends, now: float
) -> tuple[peer_messages.StartAge, ...]:
    """Return starts of servers with the age of what is known of them."""
    return tuple(
        peer_messages.StartAge(start, max(0.0, now - at))
        for start, at in ends.items()
    )


def _decode_suspect(
    stated: peer_messages.StatedSuspect, now: float
) -> crashes.Suspect:
    """Return what another daemon states of a request."""
    ends = {end.start: now - end.age_s for end in stated.ends}
    answered_at = now - stated.answered_age_s
    return crashes.Suspect(stated.fingerprint, ends, answered_at)


def _log(suspect: crashes.Suspect, told: bool) -> None:
    """Log on how many starts of servers a request is suspected."""
    logs.log_status(
        "crash",
        fingerprint=suspect.fingerprint,
        ends=len(suspect.ends),
        servers=sorted(start.server_id for start in suspect.ends),
        told=told,
    )


def _drop(message: peer_messages.Message) -> None:
    """Drop a message; used until a sender is set."""
