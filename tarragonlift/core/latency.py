"""Latency estimates that adapt to recent values."""

from __future__ import annotations

import math

LEARNING_RATE = 0.05
MIN_LATENCY_S = 0.0005


class QuantileTracker:
    """Estimates a quantile of a stream of values in constant space.

    Stochastic approximation (Robbins and Monro, 1951) on the logarithm of
    the value: a value above the estimate raises it and one below lowers it,
    with step sizes that balance at the target quantile.
    """

    def __init__(self, quantile: float, initial: float) -> None:
        """Initialize the tracker of a quantile (0 to 1)."""
        self._estimate = initial
        self._increase_factor = math.exp(LEARNING_RATE * quantile)
        self._decrease_factor = math.exp(-LEARNING_RATE * (1.0 - quantile))

    @property
    def estimate(self) -> float:
        """Return the estimate in the unit of the values."""
        return self._estimate

    def add(self, value: float) -> None:
        """Update the estimate with one value."""
        if value > self._estimate:
            self._estimate *= self._increase_factor
        elif self._estimate > MIN_LATENCY_S:
            self._estimate *= self._decrease_factor


class DecayingMean:
    """A mean in which older values count less.

    The weight of earlier values halves every half-life, so that a server
    that got no requests for a while is not judged by old values: ``mean_at``
    decays towards the initial estimate; ``mean`` changes only with new values.
    """

    def __init__(self, half_life_s: float, initial: float) -> None:
        """Initialize the mean with an initial estimate."""
        self._half_life_s = half_life_s
        self._initial = initial
        self._mean = initial
        self._updated_at = -math.inf

    @property
    def mean(self) -> float:
        """Return the mean in the unit of the values."""
        return self._mean

    def mean_at(self, now: float) -> float:
        """Return the mean, decayed towards the initial estimate by its age."""
        weight = 0.5 ** (max(0.0, now - self._updated_at) / self._half_life_s)
        return self._initial + weight * (self._mean - self._initial)

    def add(self, value: float, now: float) -> None:
        """Update the mean with one value."""
        age = now - self._updated_at
        weight = 0.9 * 0.5 ** (age / self._half_life_s)
        self._mean += (1.0 - weight) * (value - self._mean)
        self._updated_at = now
