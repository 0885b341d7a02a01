"""Tests of the fault matrix and of the detection by its checks."""

from __future__ import annotations

from typing import Any

import pytest

from tarragonlift.core import backend
from tarragonlift.core import balancer
from tarragonlift.core import call
from tarragonlift.core import claims
from tarragonlift.core import const
from tarragonlift.core import probe_leases
from tarragonlift.core import warming
from tarragonlift_lab import faults
from tarragonlift_lab import injectors
from tarragonlift_lab import node
from tarragonlift_lab import promises

SEED = 1


def find_broken_promises(
    *injections: tuple[str, str], seed: int = SEED
) -> set[str]:
    """Return the promises that are violated with these faults."""
    plan = faults.Plan(seed, injections)
    return {violation.promise for violation in faults.run_plan(plan)}


class TestMatrix:
    """Each fault at each step, one per run."""

    def test_without_faults(self) -> None:
        """The scenario without faults violates no promise."""
        assert find_broken_promises() == set()

    @pytest.mark.parametrize("step", faults.STEPS)
    def test_every_fault(self, step: str) -> None:
        """No fault at this step violates a promise."""
        broken = {
            fault: violated
            for fault in injectors.INJECTORS
            if (violated := find_broken_promises((step, fault)))
        }
        assert broken == {}

    def test_same_seed_same_run(self) -> None:
        """Two runs of a plan have the same events and end times."""
        plan = faults.Plan(7, (("send", "daemon-killed"),))
        first, second = faults.Trial(plan), faults.Trial(plan)
        first.run()
        second.run()
        assert first.events == second.events
        ends = [
            [caller.ended_at for caller in trial.callers]
            for trial in (first, second)
        ]
        assert ends[0] == ends[1]


class TestOutPeriod:
    """Time in which no request may reach a data centre out of service."""

    def test_ends_at_the_first_command(self) -> None:
        """A retry of the operator's command does not move the end."""
        trial = faults.Trial(faults.Plan(SEED, (("back", "daemon-isolated"),)))
        commanded_at = []
        switch = trial.switch_data_centre

        def record_time(data_centre: str, is_out: bool) -> None:
            commanded_at.append(trial.simulation.now)
            switch(data_centre, is_out)

        trial.switch_data_centre = record_time  # type: ignore[method-assign]
        trial.run()
        ((_, _, ends_at),) = trial.out_periods
        assert ends_at == commanded_at[-1]


class TestPastFailures:
    """Plans that violated a promise in earlier versions."""

    @pytest.mark.parametrize(
        ("seed", "injections"),
        [
            (2, (("out", "daemon-paused"),)),
            (2, (("drain", "daemon-paused"),)),
            (215, (("spread", "store-down"),)),
            (319, (("push", "server-turns-cold"),)),
            (360, (("choose", "answer-cut"),)),
            (483, (("warm", "peers-cut"), ("accept", "daemon-killed"))),
            (254, (("connect", "daemon-killed"), ("push", "peers-cut"))),
            (5163, (("answer", "daemon-killed"), ("accept", "peers-cut"))),
            (5036, (("warm", "daemon-paused"), ("out", "daemon-isolated"))),
            (1004, (("warm", "store-slow"), ("send", "peers-cut"))),
            (13, (("out", "daemon-isolated"),)),
            (
                918273,
                (("push", "caller-resends"), ("back", "daemon-isolated")),
            ),
        ],
    )
    def test_breaks_no_promise(
        self, seed: int, injections: tuple[tuple[str, str], ...]
    ) -> None:
        """The plan violates no promise."""
        assert find_broken_promises(*injections, seed=seed) == set()


class TestChecks:
    """Each check detects a fault in the code of the balancer."""

    def test_probe_rate(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Probes are sent without a lease."""
        monkeypatch.setattr(
            probe_leases.ProbeLeaseManager, "acquire_probe", lambda *args: True
        )
        assert promises.PROBE_RATE in find_broken_promises()

    def test_cold_limit(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """All daemons warm all servers."""

        def refresh(
            self: warming.WarmingLeases, backends: Any, now: float
        ) -> None:
            for server in backends:
                server.warm_until = now + 1.0

        monkeypatch.setattr(warming.WarmingLeases, "refresh", refresh)
        assert promises.COLD_LIMIT in find_broken_promises()

    def test_out_of_service(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The balancer ignores that a data centre is out of service."""
        monkeypatch.setattr(
            balancer.Balancer, "data_centres_out", lambda self: set()
        )
        assert promises.OUT_OF_SERVICE in find_broken_promises()

    def test_own_answer(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """All keys share one row."""
        monkeypatch.setattr(claims, "row_key", lambda request: "claim/x")
        monkeypatch.setattr(
            claims.ClaimManager,
            "_evaluate_row",
            _ignore_fingerprint(claims.ClaimManager._evaluate_row),
        )
        assert promises.OWN_ANSWER in find_broken_promises()

    def test_not_run(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The outcome is not-run for requests that may have run."""
        monkeypatch.setattr(
            call.Call,
            "_outcome_so_far",
            lambda self: const.Outcome.NOT_RUN,
        )
        fault = ("wait", "server-crashes")
        broken = set()
        for seed in range(SEED, SEED + 5):
            broken |= find_broken_promises(fault, seed=seed)
        assert promises.NOT_RUN in broken

    def test_at_most_once(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A request that may have run is retried."""
        monkeypatch.setattr(call.Call, "_can_retry", lambda *args: True)
        fault = ("wait", "server-crashes")
        broken = set()
        for seed in range(SEED, SEED + 5):
            broken |= find_broken_promises(fault, seed=seed)
        assert promises.AT_MOST_ONCE in broken

    def test_leaving(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The balancer ignores that a server is leaving."""
        monkeypatch.setattr(backend.Backend, "is_usable", True)
        assert promises.LEAVING in find_broken_promises()

    def test_graceful_stop(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The process stops with requests in progress."""

        def leave(self: node.Node) -> None:
            self.is_leaving = True
            self.process.call_at(
                self.process.now() + 0.001, lambda now: self.kill()
            )

        monkeypatch.setattr(node.Node, "leave", leave)
        fault = ("out", "server-slow")
        broken = set()
        for seed in range(SEED, SEED + 10):
            broken |= find_broken_promises(fault, seed=seed)
        assert promises.GRACEFUL_STOP in broken

    def test_configuration(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A daemon applies only the first version."""
        apply_configuration = balancer.Balancer.apply_configuration

        def apply_first_version(
            self: balancer.Balancer, version: int, *args: Any
        ) -> bool:
            return version == 1 and apply_configuration(self, version, *args)

        monkeypatch.setattr(
            balancer.Balancer, "apply_configuration", apply_first_version
        )
        assert promises.CONFIGURATION in find_broken_promises()


def _ignore_fingerprint(evaluate_row: Any) -> Any:
    """Return an evaluation that takes each row for the same request."""

    def evaluate(self: Any, claimed_call: Any, row: Any) -> Any:
        value = {
            **(row.value or {}),
            "print": claimed_call.request.fingerprint,
        }
        return evaluate_row(
            self, claimed_call, type(row)(row.key, row.version, value)
        )

    return evaluate
