"""Makes this daemon known to the others through a few seed daemons.

Each daemon reports itself to the seed daemons of its settings, which answer
with all daemons that they know. The store's rows are used by the seeds, and by
daemons that no seed answers.
"""

from __future__ import annotations

from collections import abc
import math

from tarragonlift.components.gateway import access
from tarragonlift.components.gateway import const
from tarragonlift.components.gateway import member_rows
from tarragonlift.components.gateway import peer_messages
from tarragonlift.components import logs
from tarragonlift.core.fleet import const as fleet_const
from tarragonlift.core.fleet import members as members_module
from tarragonlift.core import models

SendTo = abc.Callable[[models.Address, peer_messages.Message], None]


class Joining:
    """Joins the other daemons, and answers those that join."""

    def __init__(
        self,
        store_access: access.StoreAccess,
        rows: member_rows.MemberRows,
        seeds: abc.Iterable[models.Address],
        is_first_start: bool = False,
    ) -> None:
        """Initialize with the peer addresses of the seed daemons.

        If the whole system starts for the first time, the seeds know all
        daemons only after a while.
        """
        self._loop = store_access.loop
        self._fleet = store_access.fleet
        self._rng = store_access.rng
        self._rows = rows
        own = self._fleet.members.own.address
        all_seeds = tuple(seeds)
        self._seeds = tuple(seed for seed in all_seeds if seed != own)
        self.is_seed = own in all_seeds
        self._is_first_start = is_first_start
        self._knows_all = not is_first_start
        self._answered_at = -math.inf
        self._round_ends_at = -math.inf
        self._knows_reports_at = math.inf
        self._next_seed = self._rng.randrange(max(1, len(self._seeds)))
        self._is_stopped = False
        self.send_to: SendTo = _ignore

    @property
    def has_seeds(self) -> bool:
        """Return whether there are other daemons to join."""
        return bool(self._seeds)

    def start(self, now: float) -> None:
        """Join the seeds; a seed or a daemon without seeds uses the rows."""
        self._knows_reports_at = now + const.REPORTS_COMPLETE_AFTER_S
        if self.is_seed or not self._seeds:
            self._rows.start(now)
        if not self._seeds:
            return
        self._begin_round(now)
        delay = const.FIRST_MEMBERS_READ_DELAY_S
        if self._is_first_start:
            # Seeds that start late miss the first reports.
            for number in range(1, const.FIRST_START_REPORTS):
                self._loop.call_at(now + number * delay, self._begin_round)
            delay = fleet_const.SETTLE_TIME_S - delay
        delay += const.FIRST_MEMBERS_READ_DELAY_S * self._rng.random()
        self._loop.call_at(now + delay, self._begin_regular_round)

    def stop(self) -> None:
        """Stop renewing this daemon's membership."""
        self._is_stopped = True
        self._rows.stop()

    def on_join(self, notice: peer_messages.JoinNotice) -> None:
        """Add a daemon, and answer with the others unless it knows them.

        A seed that has just started has not had all reports; until then it
        names what other seeds name as well.
        """
        now = self._loop.now()
        members = self._fleet.members
        if self._fleet.join_member(notice.member, now):
            logs.log_status(
                "members", count=len(members), told_by=notice.member.daemon
            )
        is_starting = now < self._knows_reports_at
        named = members.all if is_starting else members.reported
        digest = members_module.compute_digest(named)
        is_known = notice.digest in (None, digest)
        known = None if is_known else tuple(named)
        answer = peer_messages.MemberList(members.own.daemon, digest, known)
        self.send_to(notice.member.address, answer)

    def on_member_list(self, answer: peer_messages.MemberList) -> None:
        """Apply what a seed knows."""
        self._answered_at = self._loop.now()
        self._fleet.members.record_contact(answer.sender, self._answered_at)
        if answer.members is None:
            return
        if self._fleet.set_members(answer.members, answer.sender):
            count = len(self._fleet.members)
            logs.log_status("members", count=count, told_by=answer.sender)

    def _begin_regular_round(self, now: float) -> None:
        """Join again, and schedule the next time."""
        if self._is_stopped:
            return
        interval = const.JOIN_INTERVAL_S * (0.9 + 0.2 * self._rng.random())
        self._loop.call_at(now + interval, self._begin_regular_round)
        if self._fleet.drop_silent_members(now - const.MEMBER_EXPIRY_S):
            logs.log_status("members", count=len(self._fleet.members))
        self._knows_all = True
        self._begin_round(now)

    def _begin_round(self, now: float) -> None:
        """Report to the seeds until one of them answers."""
        self._round_ends_at = now + const.JOIN_TIMEOUT_S
        self._report(now, now)

    def _report(self, now: float, began_at: float) -> None:
        """Report to all seeds; use the store's rows if none answers in time.

        Only one of them is asked for the daemons that it knows.
        """
        if self._answered_at >= began_at and now > began_at:
            return
        if now >= self._round_ends_at:
            self._rows.start(now, read_delay_s=0.0)
            return
        members = self._fleet.members
        self._next_seed = (self._next_seed + 1) % len(self._seeds)
        known = members_module.compute_digest(members.all)
        for number, seed in enumerate(self._seeds):
            is_asked = self._knows_all and number == self._next_seed
            digest = known if is_asked else None
            self.send_to(seed, peer_messages.JoinNotice(members.own, digest))
        self._loop.call_at(
            now + const.JOIN_RETRY_S, lambda then: self._report(then, began_at)
        )


def _ignore(address: models.Address, message: peer_messages.Message) -> None:
    """Drop the message; used until a sender is set."""
