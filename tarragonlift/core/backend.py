"""State that a daemon keeps for one backend server."""

from __future__ import annotations

import math

import attrs

from tarragonlift.core import const
from tarragonlift.core import latency
from tarragonlift.core import models

LATENCY_HALF_LIFE_S = 1.0
INITIAL_LATENCY_S = 0.01


@attrs.define(eq=False)
class Backend:
    """State of one backend server as seen by this daemon.

    ``share`` is the number of concurrent requests that this daemon may send
    to the server; the shares of all daemons add up to at most the limit of
    the service. A cold server gets requests only from the daemon that holds
    its warming lease, until ``warm_until``: at first ``cold_limit`` concurrent
    requests, growing with each success up to ``slots``. ``warm_start_id`` is
    the start ID for which the server became warm. If only the connections
    were lost, one answer with the same start ID makes the server warm again.
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
            LATENCY_HALF_LIFE_S, INITIAL_LATENCY_S
        )
    )

    @property
    def key(self) -> str:
        """Return the key that identifies this server in gossip."""
        return str(self.instance.address)

    @property
    def is_usable(self) -> bool:
        """Return whether the server may get new requests."""
        return not (
            self.leaving or self.listed_leaving or self.data_centre_out
        )

    def free_capacity(self, now: float) -> int:
        """Return how many more requests this daemon may send now."""
        if not self.is_usable:
            return 0
        return self._concurrency_limit(now) - self.in_flight

    def missed_answers(self, now: float) -> float:
        """Return how many answers were expected since the last one.

        With n requests in flight and a mean latency m, a healthy server
        answers every m / n seconds.
        """
        if not self.in_flight:
            return 0.0
        elapsed = now - max(self.answered_at, self.busy_since)
        return elapsed * self.in_flight / self.latency_mean.mean

    def _concurrency_limit(self, now: float) -> int:
        """Return the concurrent requests that the server's warmth allows."""
        if self.warmth is const.Warmth.WARM:
            return self.share
        if now >= self.warm_until:
            return 0
        increase = (self.slots - self.cold_limit) * self.successes
        return self.cold_limit + increase // self.warm_after
