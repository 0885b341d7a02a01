"""Replaying recorded messages against the core.

A trace is a list of steps. Each step has a time, an event and what the core
must answer with. The first step, ``site``, describes servers and service.
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


@attrs.frozen
class Difference:
    """A step whose outcome is not the stated one."""

    number: int
    stated: list[str]
    found: list[str]


class TraceReplayer:
    """A core that is driven by the steps of a trace."""

    def __init__(self) -> None:
        """Wait for the step that describes the site."""
        self._balancer = _create_balancer()
        self._calls: dict[str, call_module.Call] = {}
        self._attempts: dict[str, list[actions.Attempt]] = {}
        self._start = -SETTLE_TIME_S
        self._events: dict[str, abc.Callable[[Step, float], list[str]]] = {
            "site": self._site,
            "request": self._request,
            "claim": self._claim,
            "head": self._head,
            "complete": self._complete,
            "failed": self._failed,
            "released": self._released,
            "gone": self._gone,
            "wake": self._wake,
            "data-centre": self._data_centre,
            "drains": self._drains,
            "connections-lost": self._connections_lost,
            "configuration": self._configuration,
            "seat-rows": self._seat_rows,
            "seat-written": self._seat_written,
            "probe": self._probe,
        }

    def run(self, steps: abc.Iterable[Step]) -> list[Difference]:
        """Return every step whose outcome is not the stated one."""
        differences = []
        for number, step in enumerate(steps, start=1):
            now = float(step["at"])
            self._tick_until(now)
            found = self._events[step["event"]](step, now)
            stated = list(step.get("expect", found))
            if found != stated:
                differences.append(Difference(number, stated, found))
        return differences

    def _tick_until(self, now: float) -> None:
        """Let the core look at the clock as a daemon does."""
        while self._start < now:
            self._balancer.tick(self._start)
            self._start += 0.1
        self._balancer.tick(now)

    def _site(self, step: Step, now: float) -> list[str]:
        """Describe the configuration and the servers."""
        bundle = config.Bundle(step["configuration"], {})
        configuration = config.build(bundle, "")
        self._balancer.apply_configuration(1, configuration, now)
        instances = [
            models.Instance(
                one["service"],
                models.Address.parse(one["address"]),
                one["data_centre"],
            )
            for one in step["servers"]
        ]
        self._balancer.set_instances(instances)
        for pool in self._balancer.pools.values():
            for one in pool.backends:
                if step.get("warm", True):
                    one.start_id = "start"
                    pool.set_warm(one)
        return []

    def _request(self, step: Step, now: float) -> list[str]:
        """A request arrives."""
        facts = balancer_module.RequestSummary(
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
            call = self._balancer.open_call(facts, now)
        except exceptions.Refusal as refusal:
            return [_refused(refusal)]
        self._calls[step["call"]] = call
        return self._take(step, call.start(now))

    def _claim(self, step: Step, now: float) -> list[str]:
        """The table answers a claim."""
        state = call_module.ClaimState(step["state"])
        answer = None
        if "body" in step:
            body = step["body"].encode()
            answer = models.RecordedAnswer(200, (), body)
        call = self._calls[step["call"]]
        return self._take(step, call.on_claim(state, answer, now))

    def _head(self, step: Step, now: float) -> list[str]:
        """The head of an answer arrives."""
        attempt = self._attempt(step)
        if "start" in step:
            self._balancer.servers.on_headers(
                attempt.backend, step["start"], 0.0, now
            )
        call = self._calls[step["call"]]
        return self._take(step, call.on_answer_head(attempt, now))

    def _complete(self, step: Step, now: float) -> list[str]:
        """The end of an answer arrives."""
        call = self._calls[step["call"]]
        wanted = call.on_answer_complete(self._attempt(step), now)
        return self._take(step, wanted)

    def _failed(self, step: Step, now: float) -> list[str]:
        """An attempt fails."""
        attempt = self._attempt(step)
        failure = const.AttemptFailure(step["failure"])
        self._balancer.servers.on_failure(attempt.backend, failure, now)
        call = self._calls[step["call"]]
        wanted = call.on_attempt_failed(attempt, failure, now)
        return self._take(step, wanted)

    def _released(self, step: Step, now: float) -> list[str]:
        """A claim was given back, or could not be."""
        call = self._calls[step["call"]]
        return self._take(step, call.on_released(step["given_back"]))

    def _gone(self, step: Step, now: float) -> list[str]:
        """The caller closes its connection."""
        return self._take(step, self._calls[step["call"]].on_caller_gone())

    def _wake(self, step: Step, now: float) -> list[str]:
        """A timer of the call is due."""
        return self._take(step, self._calls[step["call"]].on_wake(now))

    def _data_centre(self, step: Step, now: float) -> list[str]:
        """An operator moves a data centre."""
        state = const.DataCentreState(step["state"])
        try:
            self._balancer.set_data_centre(
                step["name"], state, step["if_version"], now
            )
        except exceptions.DataCentreConflict:
            return ["conflict"]
        return []

    def _drains(self, step: Step, now: float) -> list[str]:
        """The list of hosts tells that a server leaves."""
        self._balancer.set_instances(
            attrs.evolve(one, leaving=str(one.address) == step["server"])
            for one in self._balancer.instances
        )
        return []

    def _connections_lost(self, step: Step, now: float) -> list[str]:
        """A server closed its connections."""
        address = models.Address.parse(step["server"])
        self._balancer.servers.on_connections_closed(address, now)
        return []

    def _configuration(self, step: Step, now: float) -> list[str]:
        """A version of the configuration arrives."""
        configuration = self._balancer.configuration
        assert configuration is not None  # noqa: S101 - 'site' comes first
        self._balancer.apply_configuration(step["version"], configuration, now)
        return [f"version {self._balancer.version}"]

    def _seat_rows(self, step: Step, now: float) -> list[str]:
        """The rows of seats are read."""
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
        return [f"write {one.key}" for one in writes]

    def _seat_written(self, step: Step, now: float) -> list[str]:
        """The table answers the write of a seat, or the answer is lost."""
        key = probe_leases.LEASE_KEY_PREFIX + step["seat"]
        if step.get("lost"):
            self._balancer.probe_leases.on_answer_lost(key)
        else:
            self._balancer.probe_leases.on_write_result(key, [], now)
        return []

    def _probe(self, step: Step, now: float) -> list[str]:
        """A probe is due."""
        key = probe_leases.LEASE_KEY_PREFIX + step["seat"]
        allowed = self._balancer.probe_leases.acquire_probe(key, now)
        return ["probe" if allowed else "no probe"]

    def _attempt(self, step: Step) -> actions.Attempt:
        """Return the attempt that a step is about."""
        return self._attempts[step["call"]][int(step.get("attempt", 1)) - 1]

    def _take(self, step: Step, wanted: list[actions.Action]) -> list[str]:
        """Return what a call asks for, in words; keep its attempts."""
        words = []
        for action in wanted:
            if isinstance(action, actions.Send):
                known = self._attempts.setdefault(step["call"], [])
                known.append(action.attempt)
                place = action.attempt.backend.instance.data_centre
                words.append(f"send {place}")
            elif isinstance(action, actions.Refuse):
                words.append(_refused(action.refusal))
            elif isinstance(action, actions.Replay):
                body = action.answer.body or b""
                words.append(f"replay {body.decode()}")
            elif not isinstance(action, (actions.WakeAt, actions.Note)):
                words.append(type(action).__name__.lower())
        return words


def _create_balancer() -> balancer_module.Balancer:
    """Return the core of a daemon that is alone."""
    identity = balancer_module.Identity("replay", "one", "replay:1", "")
    return balancer_module.Balancer(identity, random.Random(1), EPOCH)


def _refused(refusal: exceptions.Refusal) -> str:
    """Return a refusal in words."""
    return f"refuse {refusal.code} {refusal.outcome.value}"
