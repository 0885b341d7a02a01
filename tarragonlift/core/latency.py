"""Estimates of latency that age by themselves."""

from __future__ import annotations

import math

LEARNING_RATE = 0.05
LATENCY_LEAST_S = 0.0005


class QuantileTracker:
    """Follows a quantile of a stream of values in constant space.

    Stochastic approximation (Robbins and Monro, 1951) on the logarithm of
    the value: a value above the estimate raises it, one below lowers it, in
    proportions that balance at the wanted quantile.
    """

    def __init__(self, quantile: float, start: float) -> None:
        """Follow the quantile (0 to 1) from a starting estimate."""
        self._estimate = start
        self._raise = math.exp(LEARNING_RATE * quantile)
        self._lower = math.exp(-LEARNING_RATE * (1.0 - quantile))

    @property
    def estimate(self) -> float:
        """Return the estimate, in the unit of the values."""
        return self._estimate

    def add(self, value: float) -> None:
        """Take one value into account."""
        if value > self._estimate:
            self._estimate *= self._raise
        elif self._estimate > LATENCY_LEAST_S:
            self._estimate *= self._lower


class DecayingMean:
    """A mean of latencies in which older values count less.

    The weight of what was known halves every half life, so that a server
    that was not asked for a while is forgotten rather than condemned.
    """

    def __init__(self, half_life_s: float, start: float) -> None:
        """Start from a guess."""
        self._half_life_s = half_life_s
        self._start = start
        self._mean = start
        self._updated_at = -math.inf

    @property
    def mean(self) -> float:
        """Return the mean in seconds."""
        return self._mean

    def mean_at(self, now: float) -> float:
        """Return the mean, nearer to the first guess the older it is."""
        kept = 0.5 ** (max(0.0, now - self._updated_at) / self._half_life_s)
        return self._start + kept * (self._mean - self._start)

    def add(self, value: float, now: float) -> None:
        """Take one value into account."""
        age = now - self._updated_at
        kept = 0.9 * 0.5 ** (age / self._half_life_s)
        self._mean += (1.0 - kept) * (value - self._mean)
        self._updated_at = now
