"""Membership and liveness of the daemons.

Daemons may have different views for a while. Two rules make that safe:

- A lease that only one daemon may hold is used only while heartbeats of more
  than half of the known daemons are recent, and only after this daemon has
  ranked first for a while. An isolated or paused daemon loses the lease
  before another daemon takes it over.
- A daemon counts in the division of limits until it announces that it
  leaves, or until the platform's table confirms that it is gone.
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
# Number of daemons up to which the times above hold; they grow beyond it.
SCALE_BASE_MEMBERS = 12


@attrs.define
class _Member:
    """Last heartbeat and table row of one daemon."""

    heartbeat: int = -1
    heartbeat_at: float = -math.inf
    row_version: int = -1
    row_changed_at: float = -math.inf


class Membership:
    """View that one daemon has of all daemons."""

    def __init__(self, daemon: str, first_heartbeat: int) -> None:
        """Initialize the view with this daemon only.

        ``first_heartbeat`` must increase with every start of the daemon.
        """
        self._daemon = daemon
        self._heartbeat = first_heartbeat
        self._members: dict[str, _Member] = {daemon: _Member()}
        self._left_heartbeats: dict[str, int] = {}
        self._ticked_at = -math.inf
        self._table_reached_at = -math.inf
        # Time of the last heartbeat of any other daemon.
        self._heartbeat_at = -math.inf
        self._steady_since = math.inf

    @property
    def known_daemons(self) -> list[str]:
        """Return the sorted names of all members, alive or not."""
        return sorted(self._members)

    @property
    def ticked_at(self) -> float:
        """Return the time of the last tick of this process."""
        return self._ticked_at

    @property
    def scale(self) -> float:
        """Return the factor by which gossip is slower in large groups."""
        return max(1.0, len(self._members) / SCALE_BASE_MEMBERS)

    @property
    def settle_time_s(self) -> float:
        """Return the seconds a daemon waits before it uses its view."""
        return SETTLE_TIME_S * self.scale

    def tick(self, now: float) -> None:
        """Record that this process runs; a gap means that it was paused."""
        if now - self._ticked_at > PAUSE_THRESHOLD_S:
            self._steady_since = now
        self._ticked_at = now
        own = self._members[self._daemon]
        own.heartbeat = self._heartbeat
        own.heartbeat_at = now

    def is_settled(self, now: float) -> bool:
        """Return whether this process has run long enough without a pause."""
        if now - self._ticked_at > PAUSE_THRESHOLD_S:
            return False
        return now - self._steady_since >= self.settle_time_s

    def next_heartbeats(self, now: float) -> dict[str, int]:
        """Increment the own heartbeat; return the most recent ones to send."""
        self._heartbeat += 1
        self._members[self._daemon].heartbeat = self._heartbeat
        recent = sorted(
            (
                (member.heartbeat_at, name, member.heartbeat)
                for name, member in self._members.items()
                if now - member.heartbeat_at <= ALIVE_TIMEOUT_S * self.scale
            ),
            reverse=True,
        )
        heartbeats = {
            name: heartbeat for _, name, heartbeat in recent[:MAX_HEARTBEATS]
        }
        heartbeats[self._daemon] = self._heartbeat
        return heartbeats

    def on_heartbeats(
        self, heartbeats: abc.Mapping[str, int], now: float
    ) -> None:
        """Process the heartbeats of a message."""
        resuming = self._is_resuming(now)
        for name, heartbeat in heartbeats.items():
            if name == self._daemon or heartbeat <= self._left_heartbeats.get(
                name, -1
            ):
                continue
            member = self._members.setdefault(name, _Member())
            if heartbeat > member.heartbeat:
                member.heartbeat = heartbeat
                if not resuming:
                    member.heartbeat_at = now
                    self._heartbeat_at = now

    def on_leave(self, name: str) -> None:
        """Remove a daemon that announced that it leaves."""
        member = self._members.get(name)
        if member is None or name == self._daemon:
            return
        del self._members[name]
        self._left_heartbeats[name] = member.heartbeat + int(
            GONE_TIMEOUT_S * 1000
        )

    def on_rejoin(self, name: str) -> None:
        """Accept heartbeats again of a daemon that left and restarted."""
        self._left_heartbeats.pop(name, None)

    def on_rows(
        self, versions: abc.Mapping[str, int], now: float
    ) -> list[str]:
        """Process the daemons' rows; return the names of those that are gone.

        A changed row shows that its daemon is alive. A daemon is gone after it
        has sent no heartbeat for long and its row was missing or unchanged for
        as long.
        """
        for name, version in versions.items():
            member = self._members.setdefault(name, _Member())
            if version != member.row_version:
                member.row_version = version
                member.row_changed_at = now
        return self._forget_gone(now)

    def alive_daemons(self, now: float) -> list[str]:
        """Return the sorted names of the daemons with a recent heartbeat."""
        limit = ALIVE_TIMEOUT_S * self.scale
        return sorted(
            name
            for name, member in self._members.items()
            if name == self._daemon or now - member.heartbeat_at <= limit
        )

    def has_majority(self, now: float) -> bool:
        """Return whether a majority of the daemons sent heartbeats lately."""
        limit = MAJORITY_TIMEOUT_S * self.scale
        recent_count = sum(
            1
            for name, member in self._members.items()
            if name == self._daemon or now - member.heartbeat_at <= limit
        )
        return 2 * recent_count > len(self._members)

    def on_table_answer(self, now: float) -> None:
        """Record that the platform's table was reached."""
        if not self._is_resuming(now):
            self._table_reached_at = now

    def is_isolated(self, now: float) -> bool:
        """Return whether neither a daemon nor the table was reached lately.

        An isolated daemon can't know which data centres are out of service.
        Neither can a daemon that resumes after a pause, until it has read the
        messages that arrived meanwhile.
        """
        if len(self._members) == 1:
            return False
        if self._is_resuming(now):
            return True
        reached_at = max(self._heartbeat_at, self._table_reached_at)
        return now - reached_at > ISOLATION_TIMEOUT_S

    def _is_resuming(self, now: float) -> bool:
        """Return whether this process has just resumed after a pause.

        Messages read at that moment may be old, so they do not show that their
        senders are alive.
        """
        if now - self._ticked_at > PAUSE_THRESHOLD_S:
            self.tick(now)
        return now - self._steady_since < RESUME_TIME_S

    def _forget_gone(self, now: float) -> list[str]:
        """Remove the daemons that are gone; return their names."""
        gone = [
            name
            for name, member in self._members.items()
            if name != self._daemon
            and now - member.heartbeat_at > GONE_TIMEOUT_S
            and now - member.row_changed_at > GONE_TIMEOUT_S
        ]
        for name in gone:
            del self._members[name]
        return gone
