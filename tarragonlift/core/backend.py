"""What a daemon knows of one backend server."""

from __future__ import annotations

import math

import attrs

from tarragonlift.core import const
from tarragonlift.core import latency
from tarragonlift.core import models

LATENCY_HALF_LIFE_S = 1.0
LATENCY_START_S = 0.01


@attrs.define(eq=False)
class Backend:
    """One backend server as this daemon sees it.

    ``share`` is how many requests at once this daemon may put on it; the
    shares of all daemons add up to at most the limit of the service. A cold
    server gets work only from the daemon that has the duty to warm it, before
    ``warm_until``: ``cold_limit`` requests at once at first, growing with each
    success up to ``slots``. ``warm_start_id`` is the start that was shown to
    be warm: where only the connections were lost, one answer of the same
    start is enough.
    """

    instance: models.Instance
    share: int = 1
    slots: int = 1
    cold_limit: int = 1
    warm_after: int = 1
    in_flight: int = 0
    started: int = 0
    warmth: const.Warmth = const.Warmth.COLD
    start_id: str = ""
    warm_start_id: str = ""
    leaving: bool = False
    listed_leaving: bool = False
    data_centre_out: bool = False
    warm_until: float = -math.inf
    answer_timeout_s: float = 10.0
    successes: int = 0
    resets: int = 0
    set_aside_until: float = 0.0
    answered_at: float = -math.inf
    busy_since: float = -math.inf
    reported_load: float = 0.0
    reported_at: float = 0.0
    sent_at: dict[object, float] = attrs.field(factory=dict)
    latency_mean: latency.DecayingMean = attrs.field(
        factory=lambda: latency.DecayingMean(
            LATENCY_HALF_LIFE_S, LATENCY_START_S
        )
    )

    @property
    def key(self) -> str:
        """Return the name under which daemons speak of this server."""
        return str(self.instance.address)

    @property
    def is_usable(self) -> bool:
        """Return whether the server may get new work at all."""
        return not (
            self.leaving or self.listed_leaving or self.data_centre_out
        )

    def room(self, now: float) -> int:
        """Return how many more requests this daemon may send to it now."""
        if not self.is_usable:
            return 0
        return self._allowed(now) - self.in_flight

    def silence(self, now: float) -> float:
        """Return how long no answer came, in usual gaps between answers.

        With n requests in flight and a mean latency m, answers come every
        m / n seconds from a server that works.
        """
        if not self.in_flight:
            return 0.0
        quiet = now - max(self.answered_at, self.busy_since)
        return quiet * self.in_flight / self.latency_mean.mean

    def _allowed(self, now: float) -> int:
        """Return the requests at once that its warmth allows."""
        if self.warmth is const.Warmth.WARM:
            return self.share
        if now >= self.warm_until:
            return 0
        step = (self.slots - self.cold_limit) * self.successes
        return self.cold_limit + step // self.warm_after
