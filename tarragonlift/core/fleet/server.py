"""What a daemon knows of one backend server of the list."""

from __future__ import annotations

import math

import attrs
import xxhash

from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import models
from tarragonlift.core import latency


@attrs.define
class InFlight:
    """A request that was sent and not yet answered."""

    sent_at: float
    expected_s: float


def _speed() -> latency.DecayingMean:
    """Return the mean of observed by expected latency; 1.0 as expected."""
    return latency.DecayingMean(const.LATENCY_RATIO_HALF_LIFE_S, 1.0)


def _failures() -> latency.DecayingMean:
    """Return the mean share of failures."""
    return latency.DecayingMean(const.FAILURE_HALF_LIFE_S, 0.0)


@attrs.define(eq=False)
class FleetServer:
    """One backend server; times are of the monotonic clock."""

    entry: models.ListedServer
    in_flight: dict[object, InFlight] = attrs.field(factory=dict)
    load: models.LoadReport | None = None
    reported_at: float = -math.inf
    healthy: bool = True
    cold_until: float = -math.inf
    cold_next_at: float = -math.inf
    avoid_until: float = -math.inf
    is_misplaced: bool = False
    is_gone: bool = False
    speed: latency.DecayingMean = attrs.field(factory=_speed)
    failures: latency.DecayingMean = attrs.field(factory=_failures)
    _place: int | None = None

    @property
    def server_id(self) -> str:
        """Return the identifier of the process."""
        return self.entry.server_id

    @property
    def slots(self) -> int:
        """Return how many requests it runs at once."""
        return max(1, self.load.slots if self.load else self.entry.slots)

    def rank_key(self, daemon: str) -> int:
        """Return the server's place in the order of this daemon."""
        if self._place is None:
            text = f"{daemon} {self.server_id}"
            self._place = xxhash.xxh64_intdigest(text)
        return self._place

    @property
    def has_free_slot(self) -> bool:
        """Return whether a request would begin to run at once."""
        return self.pending_requests() < self.slots

    def report_age(self, now: float) -> float:
        """Return how many seconds old the last report is."""
        return now - self.reported_at

    def is_fresh(self, now: float) -> bool:
        """Return whether the last report may decide where to send."""
        return self.report_age(now) <= const.MAX_REPORT_AGE_S

    def is_cold(self, now: float) -> bool:
        """Return whether the server bears only its cold rate."""
        return now < self.cold_until

    def update_health(self, health: models.Health, now: float) -> None:
        """Learn from the answer to a health check."""
        if health.server_id != self.server_id:
            self.is_misplaced = True
            return
        self.is_misplaced = False
        self.healthy = health.healthy
        self.set_cold_for(health.cold_for_s, now)
        self.update_load(health.load, now)

    def update_load(self, load: models.LoadReport | None, now: float) -> None:
        """Learn from a load report."""
        self.load = load or models.LoadReport(0, 0, self.entry.slots)
        self.reported_at = now

    def set_cold_for(self, seconds: float, now: float) -> None:
        """Take how long the server says that it stays cold."""
        self.cold_until = now + seconds if seconds > 0 else -math.inf

    def pending_requests(self) -> int:
        """Return the requests that run or wait, with own ones since."""
        load = self.load
        if load is None:
            return len(self.in_flight)
        since = sum(
            1
            for one in self.in_flight.values()
            if one.sent_at >= self.reported_at
        )
        return load.running + load.waiting + since

    def slowdown(self, now: float) -> float:
        """Return how slow the machine is, less certain as reports age."""
        if self.load is None:
            return const.UNKNOWN_SLOWDOWN
        age = max(0.0, self.report_age(now))
        known = 0.5 ** (age / const.REPORT_HALF_LIFE_S)
        unknown = const.UNKNOWN_SLOWDOWN
        return unknown + known * (self.load.slowdown - unknown)

    def latency_ratio(self, now: float) -> float:
        """Return observed by expected latency, with what still waits."""
        ratio = max(0.5, self.speed.mean_at(now))
        for one in self.in_flight.values():
            waited = (now - one.sent_at) / max(one.expected_s, 1e-3)
            ratio = max(ratio, min(waited, 10.0))
        return ratio

    def expected_s(self, service_time_s: float, now: float) -> float:
        """Return the seconds until an answer to a request sent now."""
        slow = self.slowdown(now) * self.latency_ratio(now)
        busy = self.pending_requests()
        share = (busy + 1) / self.slots
        crowded = max(0.0, min(share, 1.0) - const.CROWDED_SHARE)
        slow *= 1.0 + const.CROWDED_SLOWDOWN * crowded
        ahead = max(0, busy + 1 - self.slots)
        turns = ahead / self.slots
        return service_time_s * slow * (1.0 + turns)

    def begin(self, attempt: object, expected_s: float, now: float) -> None:
        """Count a request that is sent."""
        self.in_flight[attempt] = InFlight(now, expected_s)

    def finish(self, attempt: object) -> InFlight | None:
        """Count a request that ended."""
        return self.in_flight.pop(attempt, None)

    def record_answer(self, one: InFlight, now: float) -> None:
        """Learn the server's own speed from an answer."""
        ratio = (now - one.sent_at) / max(one.expected_s, 1e-3)
        self.speed.add(min(ratio, 10.0), now)
        self.failures.add(0.0, now)

    def record_unanswered(self, attempt: object, now: float) -> None:
        """Learn from a request that should have been answered by now."""
        one = self.in_flight.get(attempt)
        if one is None:
            return
        ratio = (now - one.sent_at) / max(one.expected_s, 1e-3)
        if ratio > 1.0:
            self.speed.add(min(ratio, 10.0), now)

    def record_failure(self, now: float) -> None:
        """Avoid the server for a moment."""
        self.failures.add(1.0, now)
        self.avoid_until = now + const.AVOID_AFTER_FAILURE_S
        self.reported_at = -math.inf
