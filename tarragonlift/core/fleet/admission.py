"""Decides whether a request is sent, waits for capacity or is refused.

Load: bursts and retry storms beyond what the servers can run, with some of
the servers much slower than usual. A request that would probably be answered
late is sent only to a free slot: in a server's queue it would delay requests
that can still be in time. Whoever finds no room waits for a small part of the
target latency, since a busy server finishes a request every few milliseconds,
and is then refused at once, while the caller has time to come again.
"""

from __future__ import annotations

from tarragonlift.core.fleet import chooser as chooser_module
from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import models
from tarragonlift.core.fleet import registry as registry_module


class Admission:
    """Admits one request to the servers chosen for it."""

    def __init__(
        self,
        request: models.RoutedRequest,
        chooser: chooser_module.Chooser,
        registry: registry_module.Registry,
    ) -> None:
        """Initialize the admission of a request."""
        self._request = request
        self._chooser = chooser
        self._registry = registry

    def is_admitted(self, choice: chooser_module.Choice, now: float) -> bool:
        """Return whether the request may be sent to the chosen server."""
        is_late = now + choice.expected_s > self._request.give_up_at
        if choice.server.has_free_slot:
            # A first answer shows how long requests of the route take.
            return not is_late or not self._is_service_time_known
        if is_late:
            return False
        time_left_s = self._request.target_answer_at - now
        probability = self._chooser.late_probability(
            choice.expected_s, time_left_s
        )
        return probability <= self._max_late_probability

    def may_wait(self, since: float, now: float) -> bool:
        """Return whether to search again after a pause.

        ``since`` is the time at which the search began. After a pause of the
        process, requests wait until the servers are known again.
        """
        max_wait_s = (
            const.MAX_WAIT_SHARE * self._request.route.target_latency_s
        )
        next_search_at = now + const.WAIT_INTERVAL_S
        if next_search_at - since <= max_wait_s:
            return True
        return self._registry.is_held(now)

    @property
    def _is_service_time_known(self) -> bool:
        """Return whether the expected time rests on an answer."""
        return self._chooser.service_times.is_known(self._request.route)

    @property
    def _max_late_probability(self) -> float:
        """Return the late probability up to which the request may queue."""
        if self._request.is_urgent:
            return const.MAX_LATE_PROBABILITY_URGENT
        return const.MAX_LATE_PROBABILITY_OTHERS
