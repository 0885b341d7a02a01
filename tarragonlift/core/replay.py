"""Replay of recorded messages against the core.

A trace is a list of steps. Each step has a time, an event and the expected
outcome. The first step, ``site``, describes the servers and the service.
"""

from __future__ import annotations

from collections import abc
import random
from typing import Any

import attrs

from tarragonlift import config
from tarragonlift.core import actions
from tarragonlift.core import balancer as balancer_module
from tarragonlift.core import call as call_module
from tarragonlift.core import const
from tarragonlift.core import interfaces
from tarragonlift.core import models
from tarragonlift.core import probe_leases
from tarragonlift import exceptions

Step = abc.Mapping[str, Any]
EPOCH = 1_700_000_000_000
SETTLE_TIME_S = 10.0


# The attributes are the keys of the JSON output of the replay command.
@attrs.frozen
class Difference:
    """Step whose outcome differs from the expected one."""

    number: int
    stated: list[str]
    found: list[str]


class TraceReplayer:
    """Drives a core by the steps of a trace."""

    def __init__(self) -> None:
        """Initialize the core, before the step that describes the site."""
        self._balancer = _create_balancer()
        self._calls: dict[str, call_module.Call] = {}
        self._attempts: dict[str, list[actions.Attempt]] = {}
        self._next_tick_at = -SETTLE_TIME_S
        self._events: dict[str, abc.Callable[[Step, float], list[str]]] = {
            "site": self._on_site,
            "request": self._on_request,
            "claim": self._on_claim,
            "head": self._on_head,
            "complete": self._on_complete,
            "failed": self._on_failed,
            "released": self._on_released,
            "gone": self._on_gone,
            "wake": self._on_wake,
            "data-centre": self._on_data_centre,
            "drains": self._on_drains,
            "connections-lost": self._on_connections_lost,
            "configuration": self._on_configuration,
            "seat-rows": self._on_lease_rows,
            "seat-written": self._on_lease_written,
            "probe": self._on_probe,
        }

    def run(self, steps: abc.Iterable[Step]) -> list[Difference]:
        """Return the steps whose outcome differs from the expected one."""
        differences = []
        for number, step in enumerate(steps, start=1):
            now = float(step["at"])
            self._tick_until(now)
            outcome = self._events[step["event"]](step, now)
            expected = list(step.get("expect", outcome))
            if outcome != expected:
                differences.append(Difference(number, expected, outcome))
        return differences

    def _tick_until(self, now: float) -> None:
        """Tick the core every 0.1 s up to the time, as a daemon does."""
        while self._next_tick_at < now:
            self._balancer.tick(self._next_tick_at)
            self._next_tick_at += 0.1
        self._balancer.tick(now)

    def _on_site(self, step: Step, now: float) -> list[str]:
        """Set up the configuration and the servers."""
        bundle = config.Bundle(step["configuration"], {})
        configuration = config.build(bundle, "")
        self._balancer.apply_configuration(1, configuration, now)
        instances = [
            models.Instance(
                server["service"],
                models.Address.parse(server["address"]),
                server["data_centre"],
            )
            for server in step["servers"]
        ]
        self._balancer.set_instances(instances)
        for pool in self._balancer.pools.values():
            for backend in pool.backends:
                if step.get("warm", True):
                    backend.start_id = "start"
                    pool.set_warm(backend)
        return []

    def _on_request(self, step: Step, now: float) -> list[str]:
        """Start the call of a request."""
        summary = balancer_module.RequestSummary(
            request_id=step["call"],
            method=step.get("method", "GET"),
            host="",
            path=step.get("path", "/"),
            peer=step.get("caller", "caller"),
            timeout_s=float(step.get("timeout_s", 10.0)),
            fingerprint=step.get("path", "/"),
            fields={b"idempotency-key": step.get("key", "").encode()},
        )
        try:
            call = self._balancer.open_call(summary, now)
        except exceptions.Refusal as refusal:
            return [_format_refusal(refusal)]
        self._calls[step["call"]] = call
        return self._describe_actions(step, call.start(now))

    def _on_claim(self, step: Step, now: float) -> list[str]:
        """Pass the result of a claim to its call."""
        state = call_module.ClaimState(step["state"])
        answer = None
        if "body" in step:
            body = step["body"].encode()
            answer = models.RecordedAnswer(200, (), body)
        call = self._calls[step["call"]]
        return self._describe_actions(step, call.on_claim(state, answer, now))

    def _on_head(self, step: Step, now: float) -> list[str]:
        """Pass the head of an answer to its call."""
        attempt = self._get_attempt(step)
        if "start" in step:
            self._balancer.servers.on_headers(
                attempt.backend, step["start"], 0.0, now
            )
        call = self._calls[step["call"]]
        return self._describe_actions(step, call.on_answer_head(attempt, now))

    def _on_complete(self, step: Step, now: float) -> list[str]:
        """Pass the end of an answer to its call."""
        call = self._calls[step["call"]]
        call_actions = call.on_answer_complete(self._get_attempt(step), now)
        return self._describe_actions(step, call_actions)

    def _on_failed(self, step: Step, now: float) -> list[str]:
        """Fail an attempt."""
        attempt = self._get_attempt(step)
        failure = const.AttemptFailure(step["failure"])
        self._balancer.servers.on_failure(attempt.backend, failure, now)
        call = self._calls[step["call"]]
        call_actions = call.on_attempt_failed(attempt, failure, now)
        return self._describe_actions(step, call_actions)

    def _on_released(self, step: Step, now: float) -> list[str]:
        """Pass the result of releasing a claim to its call."""
        call = self._calls[step["call"]]
        return self._describe_actions(
            step, call.on_released(step["given_back"])
        )

    def _on_gone(self, step: Step, now: float) -> list[str]:
        """Close the caller's connection."""
        return self._describe_actions(
            step, self._calls[step["call"]].on_caller_gone()
        )

    def _on_wake(self, step: Step, now: float) -> list[str]:
        """Fire a timer of the call."""
        return self._describe_actions(
            step, self._calls[step["call"]].on_wake(now)
        )

    def _on_data_centre(self, step: Step, now: float) -> list[str]:
        """Set the state of a data centre as an operator."""
        state = const.DataCentreState(step["state"])
        try:
            self._balancer.set_data_centre(
                step["name"], state, step["if_version"], now
            )
        except exceptions.DataCentreConflict:
            return ["conflict"]
        return []

    def _on_drains(self, step: Step, now: float) -> list[str]:
        """Mark a server as leaving in the list of hosts."""
        self._balancer.set_instances(
            attrs.evolve(
                instance, leaving=str(instance.address) == step["server"]
            )
            for instance in self._balancer.instances
        )
        return []

    def _on_connections_lost(self, step: Step, now: float) -> list[str]:
        """Close the connections of a server."""
        address = models.Address.parse(step["server"])
        self._balancer.servers.on_connections_closed(address, now)
        return []

    def _on_configuration(self, step: Step, now: float) -> list[str]:
        """Apply a version of the configuration."""
        configuration = self._balancer.configuration
        assert configuration is not None  # noqa: S101 - 'site' comes first
        self._balancer.apply_configuration(step["version"], configuration, now)
        return [f"version {self._balancer.version}"]

    def _on_lease_rows(self, step: Step, now: float) -> list[str]:
        """Pass the rows of the probe leases; return the due writes."""
        rows = [
            interfaces.Row(
                probe_leases.LEASE_KEY_PREFIX + key,
                version,
                {"holder": "other"},
            )
            for key, version in step["versions"].items()
        ]
        self._balancer.probe_leases.on_rows(rows, now)
        writes = self._balancer.probe_leases.next_writes(now)
        return [f"write {write.key}" for write in writes]

    def _on_lease_written(self, step: Step, now: float) -> list[str]:
        """Pass the result of a lease write, or the loss of that result."""
        key = probe_leases.LEASE_KEY_PREFIX + step["seat"]
        if step.get("lost"):
            self._balancer.probe_leases.on_answer_lost(key)
        else:
            self._balancer.probe_leases.on_write_result(key, [], now)
        return []

    def _on_probe(self, step: Step, now: float) -> list[str]:
        """Return whether a due probe is allowed."""
        key = probe_leases.LEASE_KEY_PREFIX + step["seat"]
        allowed = self._balancer.probe_leases.acquire_probe(key, now)
        return ["probe" if allowed else "no probe"]

    def _get_attempt(self, step: Step) -> actions.Attempt:
        """Return the attempt that a step refers to."""
        return self._attempts[step["call"]][int(step.get("attempt", 1)) - 1]

    def _describe_actions(
        self, step: Step, call_actions: list[actions.Action]
    ) -> list[str]:
        """Return the actions of a call as text; record its attempts."""
        lines = []
        for action in call_actions:
            if isinstance(action, actions.Send):
                attempts = self._attempts.setdefault(step["call"], [])
                attempts.append(action.attempt)
                data_centre = action.attempt.backend.instance.data_centre
                lines.append(f"send {data_centre}")
            elif isinstance(action, actions.Refuse):
                lines.append(_format_refusal(action.refusal))
            elif isinstance(action, actions.Replay):
                body = action.answer.body or b""
                lines.append(f"replay {body.decode()}")
            elif not isinstance(action, (actions.WakeAt, actions.Note)):
                lines.append(type(action).__name__.lower())
        return lines


def _create_balancer() -> balancer_module.Balancer:
    """Return the core of a single daemon."""
    identity = balancer_module.Identity("replay", "one", "replay:1", "")
    return balancer_module.Balancer(identity, random.Random(1), EPOCH)


def _format_refusal(refusal: exceptions.Refusal) -> str:
    """Return a refusal as text."""
    return f"refuse {refusal.code} {refusal.outcome.value}"
