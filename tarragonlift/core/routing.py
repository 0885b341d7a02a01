"""Routing policies: the default least-in-flight and four baselines."""

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

MAX_USUAL_MISSED_ANSWERS = 2.0
SET_ASIDE_PENALTY = 8.0
WARMING_BONUS = 0.45

Backend = backend_module.Backend
Candidates = collections_abc.Sequence[Backend]


class RoutingPolicy(abc.ABC):
    """Chooses among backend servers that have free capacity."""

    prefers_own_data_centre = False

    @abc.abstractmethod
    def choose(self, candidates: Candidates, now: float) -> Backend:
        """Return one of the candidates, which must not be empty."""


class RandomPolicy(RoutingPolicy):
    """Chooses a backend server at random."""

    def __init__(self, rng: random.Random) -> None:
        """Initialize the policy with a random number generator."""
        self._rng = rng

    def choose(self, candidates: Candidates, now: float) -> Backend:
        """Return a random candidate."""
        return self._rng.choice(candidates)


class RoundRobinPolicy(RoutingPolicy):
    """Chooses the backend servers in round robin."""

    def __init__(self) -> None:
        """Initialize the round-robin counter."""
        self._next_index = 0

    def choose(self, candidates: Candidates, now: float) -> Backend:
        """Return the next candidate."""
        self._next_index += 1
        return candidates[self._next_index % len(candidates)]


class LeastReportedPolicy(RoutingPolicy):
    """Chooses the backend server with the lowest reported load."""

    def __init__(self, rng: random.Random) -> None:
        """Initialize the policy with a generator that breaks ties."""
        self._rng = rng

    def choose(self, candidates: Candidates, now: float) -> Backend:
        """Return the candidate with the lowest last reported load."""
        return min(
            candidates,
            key=lambda server: (server.reported_load, self._rng.random()),
        )


class TwoChoicesPolicy(RoutingPolicy):
    """Chooses the less busy of two random servers (Mitzenmacher, 2001)."""

    def __init__(self, rng: random.Random) -> None:
        """Initialize the policy with a random number generator."""
        self._rng = rng

    def choose(self, candidates: Candidates, now: float) -> Backend:
        """Return the one with fewer requests in flight from this daemon."""
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._rng.sample(candidates, 2)
        return first if first.in_flight <= second.in_flight else second


class LeastInFlightPolicy(RoutingPolicy):
    """Chooses the server with the fewest requests in flight.

    Only requests of this daemon count, and its own data centre is preferred.
    A backend server that misses more answers than expected for its requests
    in flight is scored as busier; ties go to the lower latency.
    """

    prefers_own_data_centre = True

    def __init__(self, rng: random.Random) -> None:
        """Initialize the policy with a generator that breaks ties."""
        self._rng = rng

    def choose(self, candidates: Candidates, now: float) -> Backend:
        """Return the candidate with the lowest score."""
        best = candidates[0]
        best_score = float("inf")
        start = int(self._rng.random() * len(candidates))
        for index in range(len(candidates)):
            server = candidates[index - start]
            score = self._score(server, now)
            if score < best_score:
                best = server
                best_score = score
        return best

    def _score(self, server: Backend, now: float) -> float:
        """Return the score of a backend server; higher means busier."""
        score = server.in_flight + min(server.latency_mean.mean, 1.0)
        score += max(
            0.0, server.missed_answers(now) - MAX_USUAL_MISSED_ANSWERS
        )
        if server.set_aside_until > now:
            score += SET_ASIDE_PENALTY
        if server.warmth is not const.Warmth.WARM:
            # An idle server that is warming up comes first, and among several
            # the one closest to warm, so that all daemons can use it soon.
            score -= WARMING_BONUS * (1 + server.successes / server.warm_after)
        return score


def create_policy(name: str, rng: random.Random) -> RoutingPolicy:
    """Return the policy with this name; the default for an unknown one."""
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
