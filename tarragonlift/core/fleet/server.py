"""A daemon's state of one listed backend server."""

from __future__ import annotations

import math

import attrs
import xxhash

from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import models
from tarragonlift.core.fleet import rate_limit as rate_limit_module
from tarragonlift.core import latency


@attrs.define
class InFlight:
    """A request that was sent but not yet answered."""

    sent_at: float
    expected_s: float


def _new_latency_ratio() -> latency.DecayingMean:
    """Return the mean ratio of observed to expected latency, first 1.0."""
    return latency.DecayingMean(const.LATENCY_RATIO_HALF_LIFE_S, 1.0)


def _new_failure_share() -> latency.DecayingMean:
    """Return the mean share of failed requests."""
    return latency.DecayingMean(const.FAILURE_HALF_LIFE_S, 0.0)


@attrs.define(eq=False)
class FleetServer:
    """One backend server; times are monotonic clock values."""

    entry: models.ListedServer
    in_flight: dict[object, InFlight] = attrs.field(factory=dict)
    load: models.LoadReport | None = None
    reported_at: float = -math.inf
    healthy: bool = True
    cold_until: float = -math.inf
    # Time at which this daemon's next request to a paced server is due.
    next_send_at: float = -math.inf
    avoid_until: float = -math.inf
    rate_limit: rate_limit_module.RateLimit = rate_limit_module.RateLimit()
    # True if another server answers at the listed address.
    is_misplaced: bool = False
    # True once the server is no longer listed.
    is_gone: bool = False
    # When the server first said in an answer that it leaves.
    said_leaving_at: float = math.inf
    # Until when the server asked this daemon to send nothing.
    paused_until: float = -math.inf
    # Until when it is avoided since another daemon was asked for a pause, and
    # when that was told last, by this daemon or to it.
    pause_told_until: float = -math.inf
    pause_told_at: float = -math.inf
    # Most requests at once after a pause, doubled by each answer; 0: no limit.
    reentry_limit: int = 0
    mean_latency_ratio: latency.DecayingMean = attrs.field(
        factory=_new_latency_ratio
    )
    failure_share: latency.DecayingMean = attrs.field(
        factory=_new_failure_share
    )
    _rank_key: int | None = None

    @property
    def server_id(self) -> str:
        """Return the identifier of the server's process."""
        return self.entry.server_id

    @property
    def is_leaving(self) -> bool:
        """Return whether its entry or an answer says that it leaves.

        Neither is taken back before another process starts.
        """
        return self.entry.leaving or self.said_leaving_at < math.inf

    def record_leaving(self, now: float) -> bool:
        """Record an answer that says so; return whether it is the first."""
        is_first = self.said_leaving_at == math.inf
        self.said_leaving_at = min(self.said_leaving_at, now)
        return is_first

    def record_pause(self, until: float) -> None:
        """Record that the server wants nothing up to a time."""
        self.paused_until = max(self.paused_until, until)
        self.reentry_limit = 1

    def record_told_pause(self, left_s: float, now: float) -> None:
        """Avoid the server since another daemon was asked for a pause.

        It asked one daemon alone, so that this one may still use it if the
        others are worse, and after ``MAX_TOLD_PAUSE_S`` in any case.
        """
        until = now + min(left_s, const.MAX_TOLD_PAUSE_S)
        self.pause_told_until = max(self.pause_told_until, until)
        self.pause_told_at = now

    def is_avoided(self, now: float) -> bool:
        """Return whether others are to be preferred for now."""
        return now < max(self.avoid_until, self.pause_told_until)

    def takes_requests(self, now: float) -> bool:
        """Return whether no pause, nor the return from one, forbids it."""
        if now < self.paused_until:
            return False
        return not self.reentry_limit or (
            len(self.in_flight) < self.reentry_limit
        )

    @property
    def start(self) -> models.ServerStart:
        """Return which process of the server this is."""
        return models.ServerStart(self.server_id, self.entry.started_ms)

    @property
    def slots(self) -> int:
        """Return how many requests the server runs in parallel."""
        return max(1, self.load.slots if self.load else self.entry.slots)

    def rank_key(self, daemon: str) -> int:
        """Return the server's sort key for this daemon."""
        if self._rank_key is None:
            text = f"{daemon} {self.server_id}"
            self._rank_key = xxhash.xxh64_intdigest(text)
        return self._rank_key

    @property
    def has_free_slot(self) -> bool:
        """Return whether a request would start without queuing."""
        return self.pending_requests() < self.slots

    def report_age(self, now: float) -> float:
        """Return the age of the last load report in seconds."""
        return now - self.reported_at

    def is_fresh(self, now: float) -> bool:
        """Return whether the last report is recent enough to choose by."""
        return self.report_age(now) <= const.MAX_REPORT_AGE_S

    def is_cold(self, now: float) -> bool:
        """Return whether the server is limited to its cold rate."""
        return now < self.cold_until

    def update_health(self, health: models.Health, now: float) -> None:
        """Update the state from the answer to a health check."""
        if health.server_id != self.server_id:
            self.is_misplaced = True
            return
        self.is_misplaced = False
        self.healthy = health.healthy
        self.set_cold_for(health.cold_for_s, now)
        self.update_load(health.load, now)

    def update_load(self, load: models.LoadReport | None, now: float) -> None:
        """Update the load from a report."""
        self.load = load or models.LoadReport(0, 0, self.entry.slots)
        self.reported_at = now

    def set_cold_for(self, seconds: float, now: float) -> None:
        """Set the remaining cold time reported by the server."""
        self.cold_until = now + seconds if seconds > 0 else -math.inf

    def pending_requests(self) -> int:
        """Return the reported requests plus those sent since then."""
        load = self.load
        if load is None:
            return len(self.in_flight)
        sent_since = sum(
            1
            for request in self.in_flight.values()
            if request.sent_at >= self.reported_at
        )
        return load.running + load.waiting + sent_since

    def slowdown(self, now: float) -> float:
        """Return the slowdown, closer to the default for older reports."""
        if self.load is None:
            return const.UNKNOWN_SLOWDOWN
        age = max(0.0, self.report_age(now))
        certainty = 0.5 ** (age / const.REPORT_HALF_LIFE_S)
        unknown = const.UNKNOWN_SLOWDOWN
        return unknown + certainty * (self.load.slowdown - unknown)

    def latency_ratio(self, now: float) -> float:
        """Return observed by expected latency, including pending requests."""
        ratio = max(0.5, self.mean_latency_ratio.mean_at(now))
        for request in self.in_flight.values():
            pending = (now - request.sent_at) / max(request.expected_s, 1e-3)
            ratio = max(ratio, min(pending, 10.0))
        return ratio

    def expected_s(self, service_time_s: float, now: float) -> float:
        """Return the expected latency in seconds of a request sent now."""
        slowdown = self.slowdown(now) * self.latency_ratio(now)
        pending = self.pending_requests()
        share = (pending + 1) / self.slots
        crowded = max(0.0, min(share, 1.0) - const.CROWDED_SHARE)
        slowdown *= 1.0 + const.CROWDED_SLOWDOWN * crowded
        queued = max(0, pending + 1 - self.slots)
        rounds = queued / self.slots
        return service_time_s * slowdown * (1.0 + rounds)

    def begin(self, attempt: object, expected_s: float, now: float) -> None:
        """Record a request that is sent to the server."""
        self.in_flight[attempt] = InFlight(now, expected_s)

    def finish(self, attempt: object) -> InFlight | None:
        """Remove a request that ended."""
        return self.in_flight.pop(attempt, None)

    def record_answer(self, request: InFlight, now: float) -> None:
        """Update latency ratio and failure share from an answer."""
        self.reentry_limit *= 2
        if self.reentry_limit > self.slots:
            self.reentry_limit = 0
        ratio = (now - request.sent_at) / max(request.expected_s, 1e-3)
        self.mean_latency_ratio.add(min(ratio, 10.0), now)
        self.failure_share.add(0.0, now)

    def record_unanswered(self, attempt: object, now: float) -> None:
        """Update the latency ratio from a request that is overdue."""
        request = self.in_flight.get(attempt)
        if request is None:
            return
        ratio = (now - request.sent_at) / max(request.expected_s, 1e-3)
        if ratio > 1.0:
            self.mean_latency_ratio.add(min(ratio, 10.0), now)

    def record_failure(self, now: float) -> None:
        """Record a failure and avoid the server for a while."""
        self.failure_share.add(1.0, now)
        self.avoid_until = now + const.AVOID_AFTER_FAILURE_S
        self.reported_at = -math.inf
