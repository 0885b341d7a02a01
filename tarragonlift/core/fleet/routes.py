"""Finds the route of a request and the service that takes it."""

from __future__ import annotations

from collections import abc
import random

from tarragonlift.core.fleet import models


class RouteTable:
    """The routes of one configuration."""

    def __init__(
        self, routes: abc.Iterable[models.Route], rng: random.Random
    ) -> None:
        """Index the routes by host name, the longest prefix first."""
        self._by_host: dict[str, list[models.Route]] = {}
        self._credits: dict[str, dict[str, float]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
            self._credits[route.name] = {
                target.service: rng.random() * target.weight
                for target in route.targets
            }
        for found in self._by_host.values():
            found.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> models.Route | None:
        """Return the route with the longest prefix of the path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def choose_service(self, route: models.Route) -> str:
        """Return the service whose turn it is by the weights.

        Smooth weighted round robin: over any stretch each service is at
        most one request away from its share.
        """
        if len(route.targets) == 1:
            return route.targets[0].service
        credits = self._credits[route.name]
        total = 0.0
        for target in route.targets:
            credits[target.service] += target.weight
            total += target.weight
        chosen = max(credits, key=lambda name: credits[name])
        credits[chosen] -= total
        return chosen


def find_urgent_routes(routes: abc.Iterable[models.Route]) -> frozenset[str]:
    """Return the routes of the highest rank at any of their services."""
    ranks: dict[str, int] = {}
    known = list(routes)
    for route in known:
        for target in route.targets:
            rank = ranks.get(target.service, route.priority)
            ranks[target.service] = min(rank, route.priority)
    return frozenset(
        route.name
        for route in known
        if any(
            route.priority <= ranks[target.service] for target in route.targets
        )
    )
