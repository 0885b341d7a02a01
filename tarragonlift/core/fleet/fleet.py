"""State and decisions of one daemon for a listed fleet."""

from __future__ import annotations

from collections import abc
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
from tarragonlift.core.fleet import stop_plan
from tarragonlift import exceptions

_NOT_RUN = core_const.Outcome.NOT_RUN


@attrs.frozen
class ExtraCalls:
    """Limit of the extra calls of all daemons together.

    Within a window it is a share of the requests plus a fixed number.
    """

    share: float = 0.1
    slack: float = 20.0


@attrs.frozen
class RequestHead:
    """Fields of a request's head that routing uses."""

    request_id: str
    host: str
    path: str
    time_left_s: float
    # Time in seconds that the request waited behind others of its connection.
    waited_s: float = 0.0


class Fleet:
    """State of one daemon; times are monotonic clock values."""

    def __init__(
        self,
        own: members_module.Member,
        extra_calls: ExtraCalls,
        crossing_loss_per_kib: float,
        rng: random.Random,
    ) -> None:
        """Initialize the fleet without configuration; it refuses requests."""
        self._rng = rng
        self._extra_calls = extra_calls
        self._configuration: models.FleetConfiguration | None = None
        self._routes = routes.RouteTable((), rng)
        self._max_time_left_s: dict[str, float] = {}
        self._urgent_routes: frozenset[str] = frozenset()
        self._operators_version = 0
        self.members = members_module.Members(own)
        self.registry = registry.Registry(self.members)
        self.crash_tracker = crashes.CrashTracker(self.registry, self.members)
        self._stop_plan = stop_plan.StopPlan()
        self._budgets: dict[str, budget.ExtraCallBudget] = {}
        self._context = delivery.Context(
            self.registry,
            chooser.Chooser(self.registry, own, crossing_loss_per_kib, rng),
            self.crash_tracker,
            self._stop_plan,
            self._budgets,
        )

    @property
    def configuration(self) -> models.FleetConfiguration | None:
        """Return the configuration in force."""
        return self._configuration

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 for none."""
        current = self._configuration
        return current.version if current is not None else 0

    @property
    def limits(self) -> models.CallerLimits:
        """Return the limits of callers' requests."""
        current = self._configuration
        return current.limits if current else models.CallerLimits()

    @property
    def is_ready(self) -> bool:
        """Return whether the configuration and the server list are known."""
        return self._configuration is not None and self.registry.is_loaded

    def apply_configuration(
        self, configuration: models.FleetConfiguration
    ) -> bool:
        """Apply a configuration if it is newer than the current one."""
        if configuration.version <= self.version:
            return False
        self._configuration = configuration
        self._routes = routes.RouteTable(configuration.routes, self._rng)
        self._max_time_left_s = {}
        self._urgent_routes = routes.find_urgent_routes(configuration.routes)
        self.registry.set_services(configuration.services)
        names = set(configuration.services)
        for route in configuration.routes:
            names.update(target.service for target in route.targets)
        for name in names - set(self._budgets):
            self._budgets[name] = self._new_budget()
        return True

    def apply_operators(
        self, update: interfaces.OperatorUpdate
    ) -> tuple[bool, bool]:
        """Apply operators' changes.

        Returns whether the configuration and whether the data centres out of
        service changed. An update older than the known one is ignored.
        """
        if update.store_version < self._operators_version:
            return False, False
        self._operators_version = update.store_version
        is_applied = False
        if update.configuration is not None:
            is_applied = self.apply_configuration(update.configuration)
        out_of_service = (
            set() if update.complete else set(self.registry.out_of_service)
        )
        for name, is_out in update.out_of_service.items():
            if is_out:
                out_of_service.add(name)
            else:
                out_of_service.discard(name)
        return is_applied, self.registry.set_out_of_service(out_of_service)

    def set_extra_calls(self, extra_calls: ExtraCalls) -> None:
        """Set a new limit of extra calls."""
        self._extra_calls = extra_calls
        for service_budget in self._budgets.values():
            service_budget.set_share(
                extra_calls.share * const.EXTRA_CALL_SHARE
            )
        self._share_budgets()

    def probe_rate(self, probes_per_s: float) -> float:
        """Return this daemon's share of the allowed probes per second.

        ``probes_per_s`` is the maximum for each server from all daemons
        together.
        """
        servers = len(self.registry.servers)
        usable_rate = probes_per_s * const.PROBE_RATE_SHARE
        return usable_rate * servers / len(self.members)

    @property
    def operators(self) -> models.OperatorState:
        """Return the operators' changes known to this daemon."""
        out = tuple(sorted(self.registry.out_of_service))
        return models.OperatorState(self._operators_version, self.version, out)

    def is_behind(self, state: models.OperatorState) -> bool:
        """Return whether another daemon's state has newer changes."""
        if state.store_version <= self._operators_version:
            return False
        is_same_out = (
            frozenset(state.out_of_service) == self.registry.out_of_service
        )
        return state.configuration > self.version or not is_same_out

    def record_unchanged(self, state: models.OperatorState) -> None:
        """Adopt another daemon's store version if the states are equal."""
        current = self.operators
        if attrs.evolve(state, store_version=current.store_version) == current:
            newest_version = max(current.store_version, state.store_version)
            self._operators_version = newest_version

    def set_members(
        self, members: abc.Iterable[members_module.Member], source: str
    ) -> bool:
        """Set the members that a source names; return whether they changed."""
        changed = self.members.set_members(members, source)
        if changed:
            self._share_budgets()
        return changed

    def join_member(self, member: members_module.Member, now: float) -> bool:
        """Add a daemon that reported itself; return whether it changed."""
        changed = self.members.join(member, now)
        if changed:
            self._share_budgets()
        return changed

    def drop_silent_members(self, before: float) -> bool:
        """Forget daemons not heard of since; return whether they changed."""
        changed = self.members.drop_silent(before)
        if changed:
            self._share_budgets()
        return changed

    def set_member_rows(
        self,
        rows: list[interfaces.MemberRow],
        wall_time: float,
        expiry_s: float,
    ) -> bool:
        """Set the members from the daemons' rows; return whether they changed.

        Rows whose time differs by more than ``expiry_s`` seconds are ignored.
        """
        daemons = [
            row.member
            for row in rows
            if abs(wall_time - row.written_at) <= expiry_s
        ]
        return self.set_members(daemons, members_module.SOURCE_ROWS)

    def add_member(self, member: members_module.Member) -> bool:
        """Add a daemon that sent a message; return whether it changed."""
        changed = self.members.add(member)
        if changed:
            self._share_budgets()
        return changed

    def begin_stop(self, ends_at: float) -> None:
        """Send only requests that are answered before ``ends_at``."""
        self._stop_plan.begin(ends_at)

    def open_delivery(
        self, head: RequestHead, now: float
    ) -> delivery.Delivery:
        """Create the delivery of a request, or raise a Refusal."""
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
            received_at=now - head.waited_s,
            deadline_at=now - head.waited_s + head.time_left_s,
            elapsed_s=self._elapsed_s(route, head.time_left_s),
            is_urgent=route.name in self._urgent_routes,
        )
        if not self._stop_plan.may_send(route, request.give_up_at, now):
            raise exceptions.Stopping(_NOT_RUN)
        return delivery.Delivery(request, self._context)

    def _elapsed_s(self, route: models.Route, time_left_s: float) -> float:
        """Return the seconds since the caller's first attempt.

        All callers of a route start with the same time; a caller with less
        time left was refused or failed before.
        """
        max_time_left_s = max(
            time_left_s, self._max_time_left_s.get(route.name, 0.0)
        )
        self._max_time_left_s[route.name] = max_time_left_s
        elapsed = max_time_left_s - time_left_s
        return elapsed if elapsed > const.MIN_ELAPSED_S else 0.0

    @property
    def _budget_capacity(self) -> float:
        """Return this daemon's share of the fixed number of extra calls."""
        share = self._extra_calls.slack / len(self.members)
        return max(1.0, share * const.EXTRA_CALL_SHARE)

    def _share_budgets(self) -> None:
        """Divide the extra calls by the current number of daemons."""
        for service_budget in self._budgets.values():
            service_budget.set_capacity(self._budget_capacity)

    def _new_budget(self) -> budget.ExtraCallBudget:
        """Create the extra call budget of a service."""
        share = self._extra_calls.share * const.EXTRA_CALL_SHARE
        return budget.ExtraCallBudget(share, self._budget_capacity, 1.0)
