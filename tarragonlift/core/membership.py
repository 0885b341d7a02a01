"""Which daemons there are, which are alive, and what may rest on that.

Views of different daemons differ for a while. Two rules keep that harmless:

- A duty that one daemon alone may have is used only while more than half of
  the known daemons were heard lately, and only after this daemon was first
  in line for a while. Who is cut off or was paused loses it before anybody
  else takes it over.
- A daemon counts in the division of limits until it told that it leaves, or
  until the platform's table confirms that it is gone.
"""

from __future__ import annotations

from collections import abc
import math

import attrs

ALIVE_TIMEOUT_S = 5.0
MAJORITY_TIMEOUT_S = 3.5
SETTLE_TIME_S = 3.0
PAUSE_THRESHOLD_S = 1.0
RESUME_TIME_S = 0.5
ISOLATION_TIMEOUT_S = 3.0
GONE_TIMEOUT_S = 60.0
MAX_HEARTBEATS = 32
# Up to this many daemons the times above hold; they grow with the number.
SCALE_BASE_MEMBERS = 12


@attrs.define
class _Member:
    """What is known of the life of one daemon."""

    heartbeat: int = -1
    heard_at: float = -math.inf
    row_version: int = -1
    row_changed_at: float = -math.inf


class Membership:
    """This daemon's view of all daemons."""

    def __init__(self, daemon: str, first_heartbeat: int) -> None:
        """Know this daemon alone.

        ``first_heartbeat`` must grow from one start of the daemon to the next.
        """
        self._daemon = daemon
        self._heartbeat = first_heartbeat
        self._members: dict[str, _Member] = {daemon: _Member()}
        self._left: dict[str, int] = {}
        self._ticked_at = -math.inf
        self._store_at = -math.inf
        # When another daemon was heard last, whichever it was.
        self._heard_at = -math.inf
        self._steady_since = math.inf

    @property
    def known_daemons(self) -> list[str]:
        """Return all daemons that count, alive or not, by name."""
        return sorted(self._members)

    @property
    def ticked_at(self) -> float:
        """Return when this process last looked at the clock."""
        return self._ticked_at

    @property
    def scale(self) -> float:
        """Return by how much news takes longer than among few daemons."""
        return max(1.0, len(self._members) / SCALE_BASE_MEMBERS)

    @property
    def settle_time_s(self) -> float:
        """Return how long a daemon waits before it relies on its view."""
        return SETTLE_TIME_S * self.scale

    def tick(self, now: float) -> None:
        """Note that this process runs; a gap means that it was paused."""
        if now - self._ticked_at > PAUSE_THRESHOLD_S:
            self._steady_since = now
        self._ticked_at = now
        own = self._members[self._daemon]
        own.heartbeat = self._heartbeat
        own.heard_at = now

    def is_settled(self, now: float) -> bool:
        """Return whether this process ran for a while without a pause."""
        if now - self._ticked_at > PAUSE_THRESHOLD_S:
            return False
        return now - self._steady_since >= self.settle_time_s

    def next_heartbeats(self, now: float) -> dict[str, int]:
        """Count a heartbeat; return the newest ones for a message."""
        self._heartbeat += 1
        self._members[self._daemon].heartbeat = self._heartbeat
        fresh = sorted(
            (
                (member.heard_at, name, member.heartbeat)
                for name, member in self._members.items()
                if now - member.heard_at <= ALIVE_TIMEOUT_S * self.scale
            ),
            reverse=True,
        )
        heartbeats = {
            name: heartbeat for _, name, heartbeat in fresh[:MAX_HEARTBEATS]
        }
        heartbeats[self._daemon] = self._heartbeat
        return heartbeats

    def on_heartbeats(
        self, heartbeats: abc.Mapping[str, int], now: float
    ) -> None:
        """Take the heartbeats of a message."""
        resuming = self._is_resuming(now)
        for name, heartbeat in heartbeats.items():
            if name == self._daemon or heartbeat <= self._left.get(name, -1):
                continue
            member = self._members.setdefault(name, _Member())
            if heartbeat > member.heartbeat:
                member.heartbeat = heartbeat
                if not resuming:
                    member.heard_at = now
                    self._heard_at = now

    def on_leave(self, name: str) -> None:
        """Take that a daemon has told that it leaves."""
        member = self._members.get(name)
        if member is None or name == self._daemon:
            return
        del self._members[name]
        self._left[name] = member.heartbeat + int(GONE_TIMEOUT_S * 1000)

    def on_rejoin(self, name: str) -> None:
        """Take that a daemon that left was started again."""
        self._left.pop(name, None)

    def on_rows(
        self, versions: abc.Mapping[str, int], now: float
    ) -> list[str]:
        """Take the daemons' rows in the table; return who is gone.

        A row that changed shows life. A daemon that was silent for long and
        whose row is missing or unchanged for as long is gone.
        """
        for name, version in versions.items():
            member = self._members.setdefault(name, _Member())
            if version != member.row_version:
                member.row_version = version
                member.row_changed_at = now
        return self._forget_gone(now)

    def alive_daemons(self, now: float) -> list[str]:
        """Return the daemons heard of lately, by name."""
        limit = ALIVE_TIMEOUT_S * self.scale
        return sorted(
            name
            for name, member in self._members.items()
            if name == self._daemon or now - member.heard_at <= limit
        )

    def has_majority(self, now: float) -> bool:
        """Return whether more than half of the daemons were heard lately."""
        limit = MAJORITY_TIMEOUT_S * self.scale
        fresh = sum(
            1
            for name, member in self._members.items()
            if name == self._daemon or now - member.heard_at <= limit
        )
        return 2 * fresh > len(self._members)

    def on_table_answer(self, now: float) -> None:
        """Note that the platform's table was reached."""
        if not self._is_resuming(now):
            self._store_at = now

    def is_isolated(self, now: float) -> bool:
        """Return whether neither a daemon nor the table was heard lately.

        Such a daemon can't know which data centres are out. The same holds
        for a moment after a pause, until what came meanwhile was read.
        """
        if len(self._members) == 1:
            return False
        if self._is_resuming(now):
            return True
        heard_at = max(self._heard_at, self._store_at)
        return now - heard_at > ISOLATION_TIMEOUT_S

    def _is_resuming(self, now: float) -> bool:
        """Return whether this process was paused until just now.

        What it reads in that moment may have waited for long and shows
        nothing of the present.
        """
        if now - self._ticked_at > PAUSE_THRESHOLD_S:
            self.tick(now)
        return now - self._steady_since < RESUME_TIME_S

    def _forget_gone(self, now: float) -> list[str]:
        """Drop the daemons that are gone; return their names."""
        gone = [
            name
            for name, member in self._members.items()
            if name != self._daemon
            and now - member.heard_at > GONE_TIMEOUT_S
            and now - member.row_changed_at > GONE_TIMEOUT_S
        ]
        for name in gone:
            del self._members[name]
        return gone
