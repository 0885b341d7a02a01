"""Callers of a whole fleet, in virtual time.

Subclasses let servers answer the requests and health checks. The decisions
about each request are the product's own.
"""

from __future__ import annotations

import abc
from collections import abc as collections_abc

from tarragonlift.core import actions
from tarragonlift.core import const
from tarragonlift.core.fleet import delivery as delivery_module
from tarragonlift.core.fleet import fleet as fleet_module
from tarragonlift.core.fleet import server as server_module
from tarragonlift.core import models as core_models
from tarragonlift import exceptions
from tarragonlift_lab import fleet_state

Daemon = fleet_state.Daemon
Delivery = delivery_module.Delivery
DEADLINE_S = 4.0
ROUND_TRIP_S = 0.002


class FleetLoadPlay(fleet_state.FleetSimulation, abc.ABC):
    """A fleet with callers."""

    def __init__(
        self,
        daemons: int,
        data_centres: int,
        servers: int,
        seed: int,
        extra_calls: fleet_module.ExtraCalls = fleet_module.ExtraCalls(),
    ) -> None:
        """Initialize a fleet whose callers send nothing yet."""
        super().__init__(
            daemons, data_centres, servers, seed, extra_calls=extra_calls
        )
        # Requests by outcome; those refused by the time limit, or after they
        # may have run, are counted again as failed.
        self.outcomes = {"answered": 0, "refused": 0, "failed": 0}
        # Seconds after which each answer came.
        self.answer_times: list[float] = []
        self._requests = 0

    def begin_load(self, per_daemon: float) -> None:
        """Send requests to each daemon at this mean rate per second."""
        for member in self._members:
            self._schedule_request(member.address, per_daemon)

    @abc.abstractmethod
    def _run(
        self, daemon: Daemon, delivery: Delivery, attempt: actions.Attempt
    ) -> None:
        """Let a server run a request, and answer it later."""

    @abc.abstractmethod
    def _probe(
        self, daemon: Daemon, server: server_module.FleetServer, now: float
    ) -> None:
        """Answer a health check."""

    def _schedule_request(
        self, address: core_models.Address, rate: float
    ) -> None:
        """Schedule the next request to the daemon at an address."""
        delay_s = self.rng.expovariate(rate)

        def arrive(now: float) -> None:
            self._schedule_request(address, rate)
            daemon = self.daemons.get(address)
            if daemon is not None and daemon.is_alive:
                self._begin(daemon, now)

        self.clock.call_at(self.clock.now() + delay_s, arrive)

    def _begin(self, daemon: Daemon, now: float) -> None:
        """Begin the delivery of a request."""
        self._requests += 1
        request_id = f"r-{self._requests}"
        head = fleet_module.RequestHead(
            request_id, fleet_state.HOST, "/1", DEADLINE_S
        )
        try:
            delivery = daemon.fleet.open_delivery(head, now)
        except exceptions.Refusal:
            self.outcomes["refused"] += 1
            return
        delivery.fingerprint = request_id
        self._carry_out(daemon, delivery, delivery.start(now))

    def _carry_out(
        self,
        daemon: Daemon,
        delivery: Delivery,
        action_list: list[actions.Action],
    ) -> None:
        """Carry out the actions of a delivery."""

        def later(
            when: float,
            method: collections_abc.Callable[[float], list[actions.Action]],
        ) -> None:
            daemon.loop.call_at(
                when,
                lambda now: self._carry_out(daemon, delivery, method(now)),
            )

        for action in action_list:
            if isinstance(action, actions.Send):
                self._run(daemon, delivery, action.attempt)
            elif isinstance(action, actions.Relay):
                self.outcomes["answered"] += 1
                since = delivery.request.received_at
                self.answer_times.append(self.clock.now() - since)
            elif isinstance(action, actions.Refuse):
                self.outcomes["refused"] += 1
                if action.refusal.outcome is not const.Outcome.NOT_RUN:
                    self.outcomes["failed"] += 1
            elif isinstance(action, actions.WakeAt):
                later(action.when, delivery.on_wake)
            elif isinstance(action, actions.PauseUntil):
                later(action.when, delivery.on_pause_over)
            elif isinstance(action, delivery_module.Probe):
                now = self.clock.now()
                for server in action.servers:
                    self._probe(daemon, server, now)
                later(now + ROUND_TRIP_S, delivery.on_probes_done)
