"""Tracks requests that may crash the servers that run them.

Load: a request that ends each server that begins to run it, whatever part of
its answer was sent by then, among sound requests that servers broke off when
they ended for reasons of their own. What tells them apart is how many starts
of servers ended with a request. Each end counts once, and only until the
server is seen to run on. Daemons report ends to one another, so that a
request is held back at all of them after a few ends in total. An answer
clears the request; now and then one daemon lets a request that is held back
through, as its servers may have ended for other reasons.
"""

from __future__ import annotations

import collections
from collections import abc
import math

import attrs
import xxhash

from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import members as members_module
from tarragonlift.core.fleet import models
from tarragonlift.core.fleet import registry as registry_module
from tarragonlift.core.fleet import server as server_module
from tarragonlift.core import rendezvous

FleetServer = server_module.FleetServer
ServerStart = models.ServerStart
Ends = abc.Mapping[ServerStart, float]


@attrs.frozen
class Suspect:
    """What a daemon knows of one request, for the other daemons.

    ``ends`` holds the time at which each server ended. An answer that ended
    the suspicion came at ``answered_at``.
    """

    fingerprint: str
    ends: Ends
    answered_at: float = -math.inf


@attrs.define
class _Account:
    """The starts of servers that ended while they ran a request."""

    ends: dict[ServerStart, float] = attrs.field(factory=dict)
    answered_at: float = -math.inf
    # Time at which a request was let through although it is held back.
    trial_at: float = -math.inf

    @property
    def last_end_at(self) -> float:
        """Return when the last server ended."""
        return max(self.ends.values(), default=-math.inf)


class CrashTracker:
    """Counts, by request fingerprint, the starts of servers that ended."""

    def __init__(
        self,
        registry: registry_module.Registry,
        members: members_module.Members,
    ) -> None:
        """Initialize the tracker without suspected requests."""
        self._registry = registry
        self._members = members
        self._accounts: collections.OrderedDict[str, _Account] = (
            collections.OrderedDict()
        )
        # Fingerprints by the start of a server that is thought to have ended.
        self._by_start: dict[ServerStart, set[str]] = {}
        # Times of the latest answers to requests without an account.
        self._answers: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Requests whose connection this daemon closed, with the time, by the
        # server that may still run them.
        self._left: dict[FleetServer, dict[str, float]] = {}
        self._checked_version = 0
        # What the other daemons are to be told.
        self._changed: dict[str, None] = {}
        self._survivors: dict[ServerStart, float] = {}

    @property
    def suspects(self) -> list[Suspect]:
        """Return all suspected requests."""
        return self.find_suspects(
            fingerprint
            for fingerprint, account in self._accounts.items()
            if account.ends
        )

    def find_held(self, now: float) -> list[str]:
        """Return the fingerprints of the requests that are held back."""
        return [
            fingerprint
            for fingerprint in self._accounts
            if self.is_held(fingerprint, now)
        ]

    def list_held(self, now: float) -> list[Suspect]:
        """Return the requests that are held back."""
        return self.find_suspects(self.find_held(now))

    def held_digest(self, now: float) -> int:
        """Return a digest of the requests that are held back, 0 for none."""
        digest = 0
        for fingerprint in self.find_held(now):
            digest ^= xxhash.xxh64_intdigest(fingerprint)
        return digest

    def record_break(
        self, fingerprint: str, server: FleetServer, now: float
    ) -> None:
        """Record that a server broke off a request that it ran."""
        self._record_own_end(fingerprint, server.start, now)
        self.record_unreachable(server, now)

    def record_left(
        self, fingerprint: str, server: FleetServer, now: float
    ) -> None:
        """Record a request that a server may run on without a connection.

        It counts if the server ends within a while.
        """
        left = self._left.setdefault(server, {})
        left.pop(fingerprint, None)
        left[fingerprint] = now
        if len(left) > const.MAX_LEFT_REQUESTS:
            del left[next(iter(left))]

    def record_unreachable(self, server: FleetServer, now: float) -> None:
        """Record that a server may have ended with what was left there."""
        since = now - const.LEFT_REQUEST_TTL_S
        for fingerprint, left_at in self._left.pop(server, {}).items():
            if left_at >= since:
                self._record_own_end(fingerprint, server.start, now)

    def check_ends(self, now: float) -> None:
        """Find servers that the list names as new processes."""
        if self._registry.version == self._checked_version:
            return
        self._checked_version = self._registry.version
        since = now - const.LEFT_REQUEST_TTL_S
        for server, left in list(self._left.items()):
            is_back = self._registry.get(server.server_id) is not None
            if server.is_gone and is_back and not server.is_leaving:
                self.record_unreachable(server, now)
            elif server.is_gone or max(left.values()) < since:
                del self._left[server]

    def record_answer(self, fingerprint: str, now: float) -> None:
        """Record a complete answer, which clears the request."""
        account = self._accounts.get(fingerprint)
        if account is None:
            self._answers[fingerprint] = now
            self._answers.move_to_end(fingerprint)
            if len(self._answers) > const.MAX_REMEMBERED_ANSWERS:
                self._answers.popitem(last=False)
            return
        if account.ends:
            self._changed[fingerprint] = None
        self._clear(fingerprint, account)
        account.answered_at = max(account.answered_at, now)

    def record_alive(
        self, server: FleetServer, established_at: float, sent_at: float
    ) -> None:
        """Record an answer of a server to any request.

        An end of the server's process between the time at which the
        connection was established and the time at which the request was sent
        did not take place.
        """
        start = server.start
        before = established_at + const.MIN_SURVIVED_S
        for fingerprint in list(self._by_start.get(start, ())):
            ended_at = self._accounts[fingerprint].ends[start]
            if before < ended_at < sent_at:
                self._forget_end(fingerprint, start)
                self._survivors[start] = sent_at

    def is_held(self, fingerprint: str, now: float) -> bool:
        """Return whether the request is held back from all servers."""
        account = self._accounts.get(fingerprint)
        if account is None or len(account.ends) < const.MAX_CRASHES:
            return False
        self._drop_outdated(fingerprint, account, now)
        return len(account.ends) >= const.MAX_CRASHES

    def begin(self, fingerprint: str, now: float) -> bool:
        """Return whether a request may be sent; it may be a trial."""
        if not self.is_held(fingerprint, now):
            return True
        account = self._accounts[fingerprint]
        trials = len(account.ends) - const.MAX_CRASHES
        if trials >= const.MAX_CRASH_TRIALS:
            return False
        pause_s = const.CRASH_TRIAL_PAUSE_S * const.CRASH_TRIAL_FACTOR**trials
        last_at = max(account.last_end_at, account.trial_at)
        if now - last_at < pause_s or not self._is_trial_owner(fingerprint):
            return False
        account.trial_at = now
        return True

    def apply(self, suspect: Suspect) -> bool:
        """Apply what another daemon knows; return whether ends are new."""
        fingerprint = suspect.fingerprint
        if suspect.answered_at > -math.inf:
            account = self._accounts.get(fingerprint)
            if account is not None:
                account.answered_at = max(
                    account.answered_at, suspect.answered_at
                )
                self._drop_answered(fingerprint, account)
        is_new = [
            self._record_end(fingerprint, start, ended_at)
            for start, ended_at in suspect.ends.items()
        ]
        if suspect.ends and fingerprint in self._answers:
            # The others hold back a request that is answered here.
            self._add_account(fingerprint)
            self._changed[fingerprint] = None
        return any(is_new)

    def apply_alive(self, start: ServerStart, alive_at: float) -> None:
        """Apply another daemon's report that a server did not end."""
        for fingerprint in list(self._by_start.get(start, ())):
            if self._accounts[fingerprint].ends[start] < alive_at:
                self._forget_end(fingerprint, start)

    def take_changed(self) -> list[Suspect]:
        """Return, once, what changed by what this daemon saw itself."""
        changed, self._changed = self._changed, {}
        return self.find_suspects(changed)

    def find_suspects(self, fingerprints: abc.Iterable[str]) -> list[Suspect]:
        """Return what is known now of requests, as far as it is."""
        return [
            Suspect(fingerprint, dict(account.ends), account.answered_at)
            for fingerprint in fingerprints
            if (account := self._accounts.get(fingerprint)) is not None
        ]

    def take_survivors(self) -> dict[ServerStart, float]:
        """Return, once, the servers that were seen to run on, with times."""
        survivors, self._survivors = self._survivors, {}
        return survivors

    def _record_own_end(
        self, fingerprint: str, start: ServerStart, now: float
    ) -> None:
        """Count an end that this daemon saw, and tell the others if new."""
        if self._record_end(fingerprint, start, now):
            self._changed[fingerprint] = None

    def _record_end(
        self, fingerprint: str, start: ServerStart, ended_at: float
    ) -> bool:
        """Count the end of a server; return whether it is new."""
        answered_at = self._answers.get(fingerprint, -math.inf)
        account = self._accounts.get(fingerprint)
        if account is not None:
            answered_at = max(answered_at, account.answered_at)
        if ended_at - answered_at <= const.ANSWER_TTL_S:
            return False
        if account is None:
            account = self._add_account(fingerprint)
        if (
            start in account.ends
            or len(account.ends) >= const.MAX_COUNTED_ENDS
        ):
            return False
        account.ends[start] = ended_at
        self._by_start.setdefault(start, set()).add(fingerprint)
        self._accounts.move_to_end(fingerprint)
        return True

    def _add_account(self, fingerprint: str) -> _Account:
        """Add an account and remove the one that changed least recently."""
        account = _Account(
            answered_at=self._answers.pop(fingerprint, -math.inf)
        )
        self._accounts[fingerprint] = account
        if len(self._accounts) > const.MAX_SUSPECTED_REQUESTS:
            oldest = next(iter(self._accounts))
            self._clear(oldest, self._accounts[oldest])
            del self._accounts[oldest]
        return account

    def _clear(self, fingerprint: str, account: _Account) -> None:
        """Remove all ends of an account."""
        for start in list(account.ends):
            self._forget_end(fingerprint, start)

    def _forget_end(self, fingerprint: str, start: ServerStart) -> None:
        """Remove one end of a request's account."""
        self._accounts[fingerprint].ends.pop(start, None)
        fingerprints = self._by_start.get(start)
        if fingerprints is not None:
            fingerprints.discard(fingerprint)
            if not fingerprints:
                del self._by_start[start]

    def _drop_answered(self, fingerprint: str, account: _Account) -> None:
        """Remove the ends that an answer excuses."""
        latest = account.answered_at + const.ANSWER_TTL_S
        for start, ended_at in list(account.ends.items()):
            if ended_at <= latest:
                self._forget_end(fingerprint, start)

    def _drop_outdated(
        self, fingerprint: str, account: _Account, now: float
    ) -> None:
        """Remove ends that are long ago or that the list disproves."""
        if now - account.last_end_at > const.SUSPECT_TTL_S:
            self._clear(fingerprint, account)
        for start, ended_at in list(account.ends.items()):
            confirmed_at = ended_at + const.LIST_CONFIRMS_END_AFTER_S
            is_confirmable = start.started_ms > 0
            if (
                is_confirmable
                and self._registry.read_at >= confirmed_at
                and self._registry.lists_start(start)
            ):
                self._forget_end(fingerprint, start)

    def _is_trial_owner(self, fingerprint: str) -> bool:
        """Return whether this daemon lets a request through for all."""
        hashed = rendezvous.hash_members(self._members.names)
        owner = rendezvous.find_owner(fingerprint, hashed)
        return owner == self._members.own.daemon
