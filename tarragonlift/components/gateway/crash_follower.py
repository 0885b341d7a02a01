"""Tells other daemons on which requests servers ended, and hears of others'.

A notice holds all that is known of a request and is sent twice, so that a
lost datagram is made up for. Notices go to the daemons of the data centre and
to relays elsewhere; times travel as ages. Whoever tells a read of the list of
servers also tells a digest of what it holds back; daemons that hold back other
requests exchange them with it.
"""

from __future__ import annotations

from collections import abc
import math

import attrs

from tarragonlift.components.gateway import broadcast
from tarragonlift.components.gateway import const
from tarragonlift.components.gateway import peer_messages
from tarragonlift.components import logs
from tarragonlift.core.fleet import crashes
from tarragonlift.core.fleet import members as members_module
from tarragonlift.core import interfaces
from tarragonlift.core import models

SendTo = abc.Callable[[models.Address, peer_messages.Message], None]


class CrashFollower(broadcast.Broadcaster):
    """Keeps a daemon's crash tracker in step with those of the others."""

    def __init__(
        self,
        loop: interfaces.Loop,
        tracker: crashes.CrashTracker,
        members: members_module.Members,
    ) -> None:
        """Initialize the follower; set the senders next."""
        super().__init__()
        self._loop = loop
        self._tracker = tracker
        self._members = members
        self._compared_at = -math.inf
        self.send_to: SendTo = _drop_reply

    @property
    def held_digest(self) -> int:
        """Return a digest of the requests that are held back."""
        return self._tracker.held_digest(self._loop.now())

    def tick(self, now: float) -> None:
        """Tell the others what this daemon has seen since the last tick."""
        self._tracker.check_ends(now)
        suspects = self._tracker.take_changed()
        survivors = self._tracker.take_survivors()
        if not suspects and not survivors:
            return
        for suspect in suspects:
            _log(suspect, told=False)
        self._announce_twice(suspects, survivors, now)

    def on_notice(self, notice: peer_messages.CrashNotice) -> None:
        """Apply what another daemon knows."""
        self._pass_on(notice)
        now = self._loop.now()
        self._apply(notice.suspects, now)
        for survivor in notice.survivors:
            self._tracker.apply_alive(survivor.start, now - survivor.age_s)

    def on_held_digest(
        self, sender: members_module.Member, digest: int
    ) -> None:
        """Compare with the sender what both hold back, if it differs.

        A daemon that has started, was paused or was cut off learns so what it
        missed, and so does the sender.
        """
        now = self._loop.now()
        if now - self._compared_at < const.HELD_COMPARE_INTERVAL_S:
            return
        if digest == self._tracker.held_digest(now):
            return
        self._compared_at = now
        held = self._tracker.list_held(now)[: const.MAX_NOTICE_SUSPECTS]
        message = peer_messages.HeldRequests(
            self._members.own, _encode_suspects(held, now)
        )
        self.send_to(sender.address, message)

    def on_held_requests(self, message: peer_messages.HeldRequests) -> None:
        """Apply what the sender holds back, and answer with what it lacks.

        What is new here is told to all, as others may have missed it too.
        """
        now = self._loop.now()
        new = self._apply(message.suspects, now)
        if new:
            self._announce_twice(new, {}, now)
        known = {stated.fingerprint for stated in message.suspects}
        missing = [
            suspect
            for suspect in self._tracker.list_held(now)
            if suspect.fingerprint not in known
        ]
        if not missing:
            return
        for notice in make_notices(missing, {}, now):
            self.send_to(message.member.address, notice)

    def _apply(
        self, stated: abc.Iterable[peer_messages.StatedSuspect], now: float
    ) -> list[crashes.Suspect]:
        """Apply and log what another daemon states; return what is new."""
        new = []
        for item in stated:
            suspect = _decode_suspect(item, now)
            if self._tracker.apply(suspect):
                _log(suspect, told=True)
                new.append(suspect)
        return new

    def _announce_twice(
        self,
        suspects: list[crashes.Suspect],
        survivors: crashes.Ends,
        now: float,
    ) -> None:
        """Send notices now, and what is known a little later once more."""
        fingerprints = [suspect.fingerprint for suspect in suspects]

        def repeat(then: float) -> None:
            known = self._tracker.find_suspects(fingerprints)
            self._announce(known, survivors, then)

        self._announce(suspects, survivors, now)
        self._loop.call_at(now + const.CRASH_NOTICE_REPEAT_S, repeat)

    def _announce(
        self,
        suspects: list[crashes.Suspect],
        survivors: crashes.Ends,
        now: float,
    ) -> None:
        """Send notices to all other daemons, each a datagram."""
        for notice in make_notices(suspects, survivors, now):
            self._broadcast(notice)


def make_notices(
    suspects: abc.Sequence[crashes.Suspect],
    survivors: crashes.Ends,
    now: float,
) -> list[peer_messages.CrashNotice]:
    """Return notices that fit into a datagram each."""
    stated = _encode_suspects(suspects, now)
    size = const.MAX_NOTICE_SUSPECTS
    notices = [
        peer_messages.CrashNotice(stated[start : start + size])
        for start in range(0, len(stated), size)
    ] or [peer_messages.CrashNotice()]
    notices[0] = attrs.evolve(
        notices[0], survivors=_encode_ends(survivors, now)
    )
    return notices


def _encode_suspects(
    suspects: abc.Iterable[crashes.Suspect], now: float
) -> tuple[peer_messages.StatedSuspect, ...]:
    """Return suspected requests with ages in place of times."""
    return tuple(
        peer_messages.StatedSuspect(
            suspect.fingerprint,
            _encode_ends(suspect.ends, now),
            max(0.0, now - suspect.answered_at),
        )
        for suspect in suspects
    )


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


def _drop_reply(
    address: models.Address, message: peer_messages.Message
) -> None:
    """Drop a message; used until a sender is set."""
