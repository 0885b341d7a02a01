"""Who may send to a cold backend server: one daemon at a time.

The daemon that comes first for a server (rendezvous hashing, the server's own
data centre first) has the duty to warm it. A daemon whose requests wait may
borrow the duty for a moment. Duties and loans are leases on the holder's own
monotonic clock, checked each time a server is chosen, so that a daemon that
was paused sends nothing on a lease that lapsed.
"""

from __future__ import annotations

from collections import abc
import math

import attrs

from tarragonlift.core import backend as backend_module
from tarragonlift.core import const
from tarragonlift.core import membership as membership_module
from tarragonlift.core import rendezvous

LEASE_DURATION_S = 0.5
LOAN_DURATION_S = 1.0
LOAN_REQUEST_INTERVAL_S = 0.2

Backend = backend_module.Backend


@attrs.frozen
class LoanRequest:
    """Asks the warmer of a server to lend the duty."""

    server: str
    borrower: str


@attrs.frozen
class LoanGrant:
    """Lends the duty, counted from when the borrower asked."""

    server: str
    start_id: str
    successes: int


@attrs.frozen
class LoanReturn:
    """Gives a borrowed duty back."""

    server: str
    borrower: str
    start_id: str
    successes: int


LoanMessage = LoanRequest | LoanGrant | LoanReturn


@attrs.define
class _Loan:
    """A duty that was lent."""

    borrower: str
    until: float
    resets: int


class WarmingLeases:
    """Decides for one daemon which cold servers it may send to."""

    def __init__(
        self, daemon: str, membership: membership_module.Membership
    ) -> None:
        """Hold no duty yet."""
        self._daemon = daemon
        self._membership = membership
        self._places: abc.Mapping[str, str] = {}
        self._places_since = math.inf
        self._first: dict[str, str] = {}
        self._first_since: dict[str, float] = {}
        self._lent: dict[str, _Loan] = {}
        self._asked_at: dict[str, float] = {}
        self._asked_resets: dict[str, int] = {}
        self._borrowed: dict[str, float] = {}

    def set_members(self, places: abc.Mapping[str, str], now: float) -> None:
        """Follow the live daemons, by name with their data centres."""
        if places != self._places:
            self._places = dict(places)
            self._places_since = now
            self._first.clear()

    def is_settled(self, now: float) -> bool:
        """Return whether the members did not change for a while."""
        settled_at = self._places_since + self._membership.settle_time_s
        return self._membership.is_settled(now) and now >= settled_at

    def warmer_of(self, one: Backend) -> str:
        """Return the daemon that comes first for a server."""
        first = self._first.get(one.key)
        if first is None:
            first = self._rank(one)
            self._first[one.key] = first
        return first

    def refresh(self, backends: abc.Iterable[Backend], now: float) -> None:
        """Renew the leases of the duties that this daemon has."""
        steady = (
            self._membership.is_settled(now)
            and self._membership.has_majority(now)
            and self._knows_places(now)
        )
        for one in backends:
            if one.warmth is not const.Warmth.WARM:
                self._refresh_one(one, steady, now)

    def request_loan(self, one: Backend, now: float) -> LoanRequest | None:
        """Return a message that asks for a duty, not too often."""
        if self.warmer_of(one) == self._daemon or one.warm_until > now:
            return None
        if (
            now - self._asked_at.get(one.key, -math.inf)
            < LOAN_REQUEST_INTERVAL_S
        ):
            return None
        self._asked_at[one.key] = now
        self._asked_resets[one.key] = one.resets
        return LoanRequest(one.key, self._daemon)

    def on_loan_request(
        self, message: LoanRequest, one: Backend | None, now: float
    ) -> LoanGrant | None:
        """Lend a duty that this daemon has and does not use."""
        if one is None or one.warmth is const.Warmth.WARM:
            return None
        if one.warm_until <= now or one.in_flight > 0:
            return None
        if self.warmer_of(one) != self._daemon:
            return None
        one.warm_until = -math.inf
        until = now + LOAN_DURATION_S + one.answer_timeout_s
        self._lent[one.key] = _Loan(message.borrower, until, one.resets)
        return LoanGrant(one.key, one.start_id, one.successes)

    def on_loan_grant(
        self, message: LoanGrant, one: Backend | None, now: float
    ) -> bool:
        """Take a duty that was lent; it counts from when it was asked."""
        asked_at = self._asked_at.get(message.server, -math.inf)
        until = asked_at + LOAN_DURATION_S
        if one is None or until <= now:
            return False
        self._borrowed[one.key] = until
        one.warm_until = until
        if self._asked_resets.get(one.key) == one.resets:
            _take_progress(one, message.start_id, message.successes)
        return True

    def next_return(self, one: Backend, now: float) -> LoanReturn | None:
        """Return the message that gives back a loan which is used up."""
        until = self._borrowed.get(one.key)
        if until is None or now < until or one.in_flight > 0:
            return None
        del self._borrowed[one.key]
        return LoanReturn(one.key, self._daemon, one.start_id, one.successes)

    @property
    def borrowed_keys(self) -> list[str]:
        """Return the servers whose duty is borrowed."""
        return list(self._borrowed)

    def on_loan_return(self, message: LoanReturn, one: Backend | None) -> None:
        """Take a duty back."""
        loan = self._lent.get(message.server)
        if loan is None or loan.borrower != message.borrower:
            return
        del self._lent[message.server]
        if one is None or one.warmth is const.Warmth.WARM:
            return
        # What was learned before the connections were lost counts no more.
        if loan.resets == one.resets:
            _take_progress(one, message.start_id, message.successes)

    def _knows_places(self, now: float) -> bool:
        """Return whether the data centre of every live daemon is known."""
        others = set(self._membership.alive_daemons(now)) - {self._daemon}
        return others <= self._places.keys()

    def _refresh_one(self, one: Backend, steady: bool, now: float) -> None:
        """Renew the lease of one duty, if this daemon has it."""
        if self.warmer_of(one) != self._daemon or not steady:
            self._first_since[one.key] = math.inf
            if one.key not in self._borrowed:
                one.warm_until = -math.inf
            return
        # A server that is new has the first in line that it would have had
        # since the members changed last.
        since = self._first_since.setdefault(one.key, self._places_since)
        if since == math.inf:
            since = self._first_since[one.key] = now
        settled = now - since >= self._membership.settle_time_s
        loan = self._lent.get(one.key)
        if loan is not None and loan.until <= now:
            del self._lent[one.key]
            loan = None
        if settled and loan is None:
            one.warm_until = now + LEASE_DURATION_S
        else:
            one.warm_until = -math.inf

    def _rank(self, one: Backend) -> str:
        """Return the first of the members for a server."""
        near = one.instance.data_centre
        members = [
            name for name, place in self._places.items() if place == near
        ] or list(self._places)
        if not members:
            return self._daemon
        return rendezvous.find_owner(one.key, rendezvous.hash_members(members))


def _take_progress(one: Backend, start_id: str, successes: int) -> None:
    """Take over how far another daemon has warmed the same start."""
    if not one.start_id:
        one.start_id = start_id
    if one.start_id == start_id:
        one.successes = max(one.successes, successes)
