"""Leases that let one daemon at a time send to a cold backend server.

The daemon that ranks first for a server (rendezvous hashing, daemons in the
server's own data centre first) holds the lease to warm it. A daemon with
waiting requests may borrow the lease for a short time. Leases and loans
expire on the holder's own monotonic clock and are checked whenever a server
is chosen, so that a daemon that was paused sends nothing on an expired lease.
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
    """Asks the warmer of a server to lend its lease."""

    server: str
    borrower: str


@attrs.frozen
class LoanGrant:
    """Lends the lease, counted from the time of the loan request."""

    server: str
    start_id: str
    successes: int


@attrs.frozen
class LoanReturn:
    """Returns a borrowed lease."""

    server: str
    borrower: str
    start_id: str
    successes: int


LoanMessage = LoanRequest | LoanGrant | LoanReturn


@attrs.define
class _Loan:
    """Lease that was lent to another daemon."""

    borrower: str
    until: float
    resets: int


class WarmingLeases:
    """Determines which cold servers one daemon may send to."""

    def __init__(
        self, daemon: str, membership: membership_module.Membership
    ) -> None:
        """Initialize the state without leases."""
        self._daemon = daemon
        self._membership = membership
        self._data_centres: abc.Mapping[str, str] = {}
        self._members_since = math.inf
        self._warmers: dict[str, str] = {}
        self._warmer_since: dict[str, float] = {}
        self._loans: dict[str, _Loan] = {}
        self._requested_at: dict[str, float] = {}
        self._resets_at_request: dict[str, int] = {}
        self._borrowed_until: dict[str, float] = {}

    def set_members(
        self, data_centres: abc.Mapping[str, str], now: float
    ) -> None:
        """Set the live daemons, by name with their data centres."""
        if data_centres != self._data_centres:
            self._data_centres = dict(data_centres)
            self._members_since = now
            self._warmers.clear()

    def is_settled(self, now: float) -> bool:
        """Return whether the members have been stable long enough."""
        settled_at = self._members_since + self._membership.settle_time_s
        return self._membership.is_settled(now) and now >= settled_at

    def warmer_of(self, backend: Backend) -> str:
        """Return the daemon that ranks first for a server."""
        warmer = self._warmers.get(backend.key)
        if warmer is None:
            warmer = self._find_warmer(backend)
            self._warmers[backend.key] = warmer
        return warmer

    def refresh(self, backends: abc.Iterable[Backend], now: float) -> None:
        """Renew the leases of the cold servers that this daemon warms."""
        is_stable = (
            self._membership.is_settled(now)
            and self._membership.has_majority(now)
            and self._has_all_data_centres(now)
        )
        for backend in backends:
            if backend.warmth is not const.Warmth.WARM:
                self._refresh_lease(backend, is_stable, now)

    def request_loan(self, backend: Backend, now: float) -> LoanRequest | None:
        """Return a rate-limited request for a loan, None if none is due."""
        if self.warmer_of(backend) == self._daemon or backend.warm_until > now:
            return None
        if (
            now - self._requested_at.get(backend.key, -math.inf)
            < LOAN_REQUEST_INTERVAL_S
        ):
            return None
        self._requested_at[backend.key] = now
        self._resets_at_request[backend.key] = backend.resets
        return LoanRequest(backend.key, self._daemon)

    def on_loan_request(
        self, message: LoanRequest, backend: Backend | None, now: float
    ) -> LoanGrant | None:
        """Lend a lease that this daemon holds and does not use."""
        if backend is None or backend.warmth is const.Warmth.WARM:
            return None
        if backend.warm_until <= now or backend.in_flight > 0:
            return None
        if self.warmer_of(backend) != self._daemon:
            return None
        backend.warm_until = -math.inf
        until = now + LOAN_DURATION_S + backend.answer_timeout_s
        self._loans[backend.key] = _Loan(
            message.borrower, until, backend.resets
        )
        return LoanGrant(backend.key, backend.start_id, backend.successes)

    def on_loan_grant(
        self, message: LoanGrant, backend: Backend | None, now: float
    ) -> bool:
        """Accept a loan, which counts from the time of its request."""
        requested_at = self._requested_at.get(message.server, -math.inf)
        until = requested_at + LOAN_DURATION_S
        if backend is None or until <= now:
            return False
        self._borrowed_until[backend.key] = until
        backend.warm_until = until
        if self._resets_at_request.get(backend.key) == backend.resets:
            _merge_progress(backend, message.start_id, message.successes)
        return True

    def next_return(self, backend: Backend, now: float) -> LoanReturn | None:
        """Return the message that gives back an expired loan."""
        until = self._borrowed_until.get(backend.key)
        if until is None or now < until or backend.in_flight > 0:
            return None
        del self._borrowed_until[backend.key]
        return LoanReturn(
            backend.key, self._daemon, backend.start_id, backend.successes
        )

    @property
    def borrowed_keys(self) -> list[str]:
        """Return the keys of the servers whose lease is borrowed."""
        return list(self._borrowed_until)

    def on_loan_return(
        self, message: LoanReturn, backend: Backend | None
    ) -> None:
        """Process the return of a loan."""
        loan = self._loans.get(message.server)
        if loan is None or loan.borrower != message.borrower:
            return
        del self._loans[message.server]
        if backend is None or backend.warmth is const.Warmth.WARM:
            return
        # Progress from before a loss of the connections is not valid any more.
        if loan.resets == backend.resets:
            _merge_progress(backend, message.start_id, message.successes)

    def _has_all_data_centres(self, now: float) -> bool:
        """Return whether the data centre of every live daemon is known."""
        others = set(self._membership.alive_daemons(now)) - {self._daemon}
        return others <= self._data_centres.keys()

    def _refresh_lease(
        self, backend: Backend, is_stable: bool, now: float
    ) -> None:
        """Renew the lease of one server if this daemon is its warmer."""
        if self.warmer_of(backend) != self._daemon or not is_stable:
            self._warmer_since[backend.key] = math.inf
            if backend.key not in self._borrowed_until:
                backend.warm_until = -math.inf
            return
        # For a new server, the time counts from the last change of the
        # members: this daemon would have ranked first for it since then.
        since = self._warmer_since.setdefault(backend.key, self._members_since)
        if since == math.inf:
            since = self._warmer_since[backend.key] = now
        is_settled = now - since >= self._membership.settle_time_s
        loan = self._loans.get(backend.key)
        if loan is not None and loan.until <= now:
            del self._loans[backend.key]
            loan = None
        if is_settled and loan is None:
            backend.warm_until = now + LEASE_DURATION_S
        else:
            backend.warm_until = -math.inf

    def _find_warmer(self, backend: Backend) -> str:
        """Return the member that ranks first for a server."""
        local_data_centre = backend.instance.data_centre
        members = [
            name
            for name, data_centre in self._data_centres.items()
            if data_centre == local_data_centre
        ] or list(self._data_centres)
        if not members:
            return self._daemon
        return rendezvous.find_owner(
            backend.key, rendezvous.hash_members(members)
        )


def _merge_progress(backend: Backend, start_id: str, successes: int) -> None:
    """Adopt the progress of another daemon for the same server start."""
    if not backend.start_id:
        backend.start_id = start_id
    if backend.start_id == start_id:
        backend.successes = max(backend.successes, successes)
