"""Finds the route of a request and chooses one of its services."""

from __future__ import annotations

from collections import abc
import random

from tarragonlift.core.fleet import models


class RouteTable:
    """The routes of one configuration."""

    def __init__(
        self, routes: abc.Iterable[models.Route], rng: random.Random
    ) -> None:
        """Initialize the index by host name, with the longest prefix first."""
        self._by_host: dict[str, list[models.Route]] = {}
        self._credits: dict[str, dict[str, float]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
            self._credits[route.name] = {
                target.service: rng.random() * target.weight
                for target in route.targets
            }
        for candidates in self._by_host.values():
            candidates.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> models.Route | None:
        """Return the route with the longest matching prefix, if any."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def choose_service(self, route: models.Route) -> str:
        """Return the next service by the weights of the route.

        Smooth weighted round robin: in any sequence of requests each service
        is at most one request away from its share.
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
    """Return the names of routes with top priority at any service."""
    priorities: dict[str, int] = {}
    all_routes = list(routes)
    for route in all_routes:
        for target in route.targets:
            priority = priorities.get(target.service, route.priority)
            priorities[target.service] = min(priority, route.priority)
    return frozenset(
        route.name
        for route in all_routes
        if any(
            route.priority <= priorities[target.service]
            for target in route.targets
        )
    )
