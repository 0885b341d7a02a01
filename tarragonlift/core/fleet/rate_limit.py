"""Rates that all daemons together keep to at one server.

Load: a server in need states in its responses how many requests per second it
takes from all daemons together, and a cold server bears a certain rate. No
daemon sees what the others send. So the daemons that know each other agree on
a few owners of the server, without messages, and each owner sends its share
evenly spaced; the others send nothing.

Each owner follows the generic cell rate algorithm (ITU-T I.371): it sends
every K / rate seconds with K owners, and may catch up on what it had no
requests for. A window of T seconds holds at most rate * T + max(burst, K)
requests, also if all owners send at the same time.
"""

from __future__ import annotations

import functools
import math

import attrs

from tarragonlift.core.fleet import const


def is_plausible(per_s: float) -> bool:
    """Return whether a server may state this limit per second."""
    return 0.0 <= per_s <= const.MAX_RATE_LIMIT_PER_S


@attrs.frozen
class SharedRate:
    """A rate per second of all daemons, and the number of its owners.

    ``burst`` is the number of requests that all owners may send at once.
    """

    per_s: float
    owners: int
    burst: float = 0.0

    def interval_s(self, owners: int) -> float:
        """Return the seconds between two requests of one of the owners."""
        return owners / self.per_s

    def tolerance_s(self, owners: int) -> float:
        """Return how many seconds early one of the owners may send."""
        own_burst = max(1.0, self.burst / owners)
        return (own_burst - 1.0) * self.interval_s(owners)

    def meet(self, other: SharedRate) -> SharedRate:
        """Return a rate that keeps to both."""
        return SharedRate(
            min(self.per_s, other.per_s),
            min(self.owners, other.owners),
            min(self.burst, other.burst),
        )


@attrs.frozen
class RateLimit:
    """A server's limit in requests per second from all daemons together.

    An infinite rate stands for no limit. ``observed_at`` is the time at which
    the server stated it; ``in_health`` is True if responses to health checks
    state it as well.
    """

    per_s: float = math.inf
    observed_at: float = -math.inf
    in_health: bool = False

    @property
    def is_limited(self) -> bool:
        """Return whether the server takes a limited number of requests."""
        return self.per_s < math.inf

    @functools.cached_property
    def expires_at(self) -> float:
        """Return the time up to which the limit holds without a response.

        A server with a low limit answers seldom.
        """
        answers_s = const.RATE_LIMIT_TTL_ANSWERS / self._trial_per_s
        return self.observed_at + max(const.MIN_RATE_LIMIT_TTL_S, answers_s)

    @functools.cached_property
    def shared(self) -> SharedRate:
        """Return the limit as a rate of its owners."""
        burst = const.MIN_RATE_LIMIT_BURST + const.RATE_LIMIT_BURST_S * (
            self.per_s
        )
        return SharedRate(self._trial_per_s, int(burst), burst)

    def applies(self, now: float) -> bool:
        """Return whether the limit holds now."""
        return self.is_limited and now < self.expires_at

    def observe(self, per_s: float, in_health: bool, now: float) -> RateLimit:
        """Return the limit after a response that states ``per_s``.

        A health check that states no limit ends only a limit that health
        checks have stated.
        """
        if per_s < math.inf:
            is_in_health = in_health or self.in_health
            return RateLimit(per_s, now, is_in_health)
        if self.is_limited and in_health and not self.in_health:
            return self
        return RateLimit(observed_at=now)

    @property
    def _trial_per_s(self) -> float:
        """Return the rate at which requests find out whether it has ended."""
        return max(self.per_s, const.MIN_TRIAL_PER_S)
