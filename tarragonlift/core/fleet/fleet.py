"""Everything that one daemon decides about a listed fleet, in one place."""

from __future__ import annotations

import random

import attrs

from tarragonlift.core import budget
from tarragonlift.core import const as core_const
from tarragonlift.core.fleet import chooser
from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import crashes
from tarragonlift.core.fleet import delivery
from tarragonlift.core.fleet import interfaces
from tarragonlift.core.fleet import members as members_module
from tarragonlift.core.fleet import models
from tarragonlift.core.fleet import registry
from tarragonlift.core.fleet import routes
from tarragonlift import exceptions

_NOT_RUN = core_const.Outcome.NOT_RUN


@attrs.frozen
class ExtraCalls:
    """How many extra calls all daemons together may make.

    In a window, a share of the requests and a fixed number beside.
    """

    share: float = 0.1
    slack: float = 20.0


@attrs.frozen
class RequestHead:
    """What the core needs of the head of a request."""

    request_id: str
    host: str
    path: str
    time_left_s: float


class Fleet:
    """The state of one daemon; times are of the monotonic clock."""

    def __init__(
        self,
        own: members_module.Member,
        extra_calls: ExtraCalls,
        crossing_loss_per_kib: float,
        rng: random.Random,
    ) -> None:
        """Start without configuration: no request is taken yet."""
        self._rng = rng
        self._extra_calls = extra_calls
        self._configuration: models.FleetConfiguration | None = None
        self._routes = routes.RouteTable((), rng)
        self._longest: dict[str, float] = {}
        self._urgent: frozenset[str] = frozenset()
        self._operators_version = 0
        self.members = members_module.Members(own)
        self.registry = registry.Registry(self.members)
        self.crash_tracker = crashes.CrashTracker()
        self._budgets: dict[str, budget.ExtraCallBudget] = {}
        self._context = delivery.Context(
            self.registry,
            chooser.Chooser(self.registry, own, crossing_loss_per_kib, rng),
            self.crash_tracker,
            self._budgets,
        )

    @property
    def configuration(self) -> models.FleetConfiguration | None:
        """Return the configuration in force here."""
        return self._configuration

    @property
    def version(self) -> int:
        """Return the version of the configuration in force; 0: none."""
        known = self._configuration
        return known.version if known is not None else 0

    @property
    def limits(self) -> models.CallerLimits:
        """Return what callers may send."""
        known = self._configuration
        return known.limits if known else models.CallerLimits()

    @property
    def is_ready(self) -> bool:
        """Return whether configuration and servers are known."""
        return self._configuration is not None and self.registry.is_loaded

    def apply_configuration(
        self, configuration: models.FleetConfiguration
    ) -> bool:
        """Follow a configuration; never one that is not newer."""
        if configuration.version <= self.version:
            return False
        self._configuration = configuration
        self._routes = routes.RouteTable(configuration.routes, self._rng)
        self._longest = {}
        self._urgent = routes.find_urgent_routes(configuration.routes)
        self.registry.set_services(configuration.services)
        names = set(configuration.services)
        for route in configuration.routes:
            names.update(target.service for target in route.targets)
        for name in names - set(self._budgets):
            self._budgets[name] = self._new_budget()
        return True

    def apply_operators(
        self, news: interfaces.OperatorUpdate
    ) -> tuple[bool, bool]:
        """Follow operators; return whether configuration or places changed.

        A reading that is older than what is known changes nothing.
        """
        if news.store_version < self._operators_version:
            return False, False
        self._operators_version = news.store_version
        adopted = False
        if news.configuration is not None:
            adopted = self.apply_configuration(news.configuration)
        out = set() if news.complete else set(self.registry.out_of_service)
        for name, is_out in news.out_of_service.items():
            if is_out:
                out.add(name)
            else:
                out.discard(name)
        return adopted, self.registry.set_out_of_service(out)

    def set_extra_calls(self, extra_calls: ExtraCalls) -> None:
        """Allow other numbers of extra calls from now on."""
        self._extra_calls = extra_calls
        for one in self._budgets.values():
            one.set_share(extra_calls.share * const.EXTRA_CALL_SHARE)
        self._share_budgets()

    def probe_rate(self, probes_per_s: float) -> float:
        """Return this daemon's part of the probes that all may send.

        ``probes_per_s`` is the most for each server and second, from all
        daemons together.
        """
        servers = len(self.registry.servers)
        used = probes_per_s * const.PROBE_RATE_SHARE
        return used * servers / len(self.members)

    @property
    def operators(self) -> models.OperatorState:
        """Return what is known here of operators' words."""
        out = tuple(sorted(self.registry.out_of_service))
        return models.OperatorState(self._operators_version, self.version, out)

    def is_behind(self, state: models.OperatorState) -> bool:
        """Return whether a daemon that told this knows more of operators."""
        if state.store_version <= self._operators_version:
            return False
        same_out = (
            frozenset(state.out_of_service) == self.registry.out_of_service
        )
        return state.configuration > self.version or not same_out

    def record_unchanged(self, state: models.OperatorState) -> None:
        """Take that nothing changed up to where another one knows the same."""
        known = self.operators
        if attrs.evolve(state, store_version=known.store_version) == known:
            newest = max(known.store_version, state.store_version)
            self._operators_version = newest

    def set_members(
        self, rows: list[interfaces.MemberRow], wall_time: float, void_s: float
    ) -> bool:
        """Follow the daemons' rows; return whether the members changed."""
        found = [
            row.member
            for row in rows
            if abs(wall_time - row.written_at) <= void_s
        ]
        changed = self.members.set_members(found)
        if changed:
            self._share_budgets()
        return changed

    def add_member(self, member: members_module.Member) -> bool:
        """Know a daemon that told something; return whether it is news."""
        changed = self.members.add(member)
        if changed:
            self._share_budgets()
        return changed

    def open_delivery(
        self, head: RequestHead, now: float
    ) -> delivery.Delivery:
        """Return the delivery of a request, or raise a Refusal."""
        if not self.is_ready:
            raise exceptions.NoConfiguration(_NOT_RUN)
        route = self._routes.find(head.host, head.path)
        if route is None:
            raise exceptions.NoRoute(_NOT_RUN)
        request = models.RoutedRequest(
            request_id=head.request_id,
            route=route,
            service=self._routes.choose_service(route),
            version=self.version,
            received_at=now,
            deadline_at=now + head.time_left_s,
            elapsed_s=self._elapsed_s(route, head.time_left_s),
            is_urgent=route.name in self._urgent,
        )
        return delivery.Delivery(request, self._context)

    def _elapsed_s(self, route: models.Route, left_s: float) -> float:
        """Return how long ago the caller sent first.

        Callers of a route begin with the same time; who has less of it now
        was refused or failed before.
        """
        longest = max(left_s, self._longest.get(route.name, 0.0))
        self._longest[route.name] = longest
        elapsed = longest - left_s
        return elapsed if elapsed > const.MIN_ELAPSED_S else 0.0

    @property
    def _budget_most(self) -> float:
        """Return this daemon's part of the fixed number of extra calls."""
        part = self._extra_calls.slack / len(self.members)
        return max(1.0, part * const.EXTRA_CALL_SHARE)

    def _share_budgets(self) -> None:
        """Divide the extra calls by the number of daemons anew."""
        for one in self._budgets.values():
            one.set_capacity(self._budget_most)

    def _new_budget(self) -> budget.ExtraCallBudget:
        """Return the budget of a service."""
        share = self._extra_calls.share * const.EXTRA_CALL_SHARE
        return budget.ExtraCallBudget(share, self._budget_most, 1.0)
