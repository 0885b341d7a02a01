"""Choosing a backend server. One policy of ours and four baselines."""

from __future__ import annotations

import abc
from collections import abc as collections_abc
import random

from tarragonlift.core import backend as backend_module
from tarragonlift.core import const

POLICY_LEAST_IN_FLIGHT = "least-in-flight"
POLICY_LEAST_REPORTED = "least-reported"
POLICY_RANDOM = "random"
POLICY_ROUND_ROBIN = "round-robin"
POLICY_TWO_CHOICES = "two-choices"

SILENCE_USUAL = 2.0
SET_ASIDE_PENALTY = 8.0
WARMING_BONUS = 0.45

Backend = backend_module.Backend
Candidates = collections_abc.Sequence[Backend]


class RoutingPolicy(abc.ABC):
    """Chooses among backend servers that have room."""

    prefers_own_data_centre = False

    @abc.abstractmethod
    def choose(self, candidates: Candidates, now: float) -> Backend:
        """Return one of the candidates; there is at least one."""


class RandomPolicy(RoutingPolicy):
    """Any backend server, by chance."""

    def __init__(self, rng: random.Random) -> None:
        """Draw from this source of chance."""
        self._rng = rng

    def choose(self, candidates: Candidates, now: float) -> Backend:
        """Return a random candidate."""
        return self._rng.choice(candidates)


class RoundRobinPolicy(RoutingPolicy):
    """One backend server after the other."""

    def __init__(self) -> None:
        """Start with the first."""
        self._turn = 0

    def choose(self, candidates: Candidates, now: float) -> Backend:
        """Return the next candidate."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class LeastReportedPolicy(RoutingPolicy):
    """The lowest load that the backend servers reported last."""

    def __init__(self, rng: random.Random) -> None:
        """Break ties by this source of chance."""
        self._rng = rng

    def choose(self, candidates: Candidates, now: float) -> Backend:
        """Return the candidate with the lowest report."""
        return min(
            candidates,
            key=lambda one: (one.reported_load, self._rng.random()),
        )


class TwoChoicesPolicy(RoutingPolicy):
    """The less busy of two random ones (Mitzenmacher, 2001)."""

    def __init__(self, rng: random.Random) -> None:
        """Draw from this source of chance."""
        self._rng = rng

    def choose(self, candidates: Candidates, now: float) -> Backend:
        """Return the candidate with fewer own requests in flight."""
        if len(candidates) == 1:
            return candidates[0]
        one, other = self._rng.sample(candidates, 2)
        return one if one.in_flight <= other.in_flight else other


class LeastInFlightPolicy(RoutingPolicy):
    """Fewest own requests in flight, own data centre first.

    A backend server that was silent for longer than its requests in flight
    explain counts as busier than it is; ties go to the lower latency.
    """

    prefers_own_data_centre = True

    def __init__(self, rng: random.Random) -> None:
        """Break ties by this source of chance."""
        self._rng = rng

    def choose(self, candidates: Candidates, now: float) -> Backend:
        """Return the candidate with the lowest score."""
        best = candidates[0]
        best_score = float("inf")
        start = int(self._rng.random() * len(candidates))
        for index in range(len(candidates)):
            one = candidates[index - start]
            score = self._score(one, now)
            if score < best_score:
                best = one
                best_score = score
        return best

    def _score(self, one: Backend, now: float) -> float:
        """Return how busy the backend server seems."""
        score = one.in_flight + min(one.latency_mean.mean, 1.0)
        score += max(0.0, one.silence(now) - SILENCE_USUAL)
        if one.set_aside_until > now:
            score += SET_ASIDE_PENALTY
        if one.warmth is not const.Warmth.WARM:
            # An idle server that is being warmed comes first, and of several
            # the one that is nearly warm, so that all can use it soon.
            score -= WARMING_BONUS * (1 + one.successes / one.warm_after)
        return score


def create_policy(name: str, rng: random.Random) -> RoutingPolicy:
    """Return the policy of this name."""
    if name == POLICY_RANDOM:
        return RandomPolicy(rng)
    if name == POLICY_ROUND_ROBIN:
        return RoundRobinPolicy()
    if name == POLICY_LEAST_REPORTED:
        return LeastReportedPolicy(rng)
    if name == POLICY_TWO_CHOICES:
        return TwoChoicesPolicy(rng)
    return LeastInFlightPolicy(rng)


POLICIES = (
    POLICY_LEAST_IN_FLIGHT,
    POLICY_LEAST_REPORTED,
    POLICY_RANDOM,
    POLICY_ROUND_ROBIN,
    POLICY_TWO_CHOICES,
)
