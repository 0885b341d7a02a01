"""Tests of the fault matrix, and proofs that its checks can fail."""

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


def broken_promises(
    *injections: tuple[str, str], seed: int = SEED
) -> set[str]:
    """Return the promises that fall under these faults."""
    plan = faults.Plan(seed, injections)
    return {one.promise for one in faults.run_plan(plan)}


class TestMatrix:
    """Every fault at every step, one at a time."""

    def test_without_faults(self) -> None:
        """The scenario itself breaks nothing."""
        assert broken_promises() == set()

    @pytest.mark.parametrize("step", faults.STEPS)
    def test_every_fault(self, step: str) -> None:
        """No promise falls, whatever happens at this step."""
        broken = {
            fault: found
            for fault in injectors.INJECTORS
            if (found := broken_promises((step, fault)))
        }
        assert broken == {}

    def test_same_seed_same_run(self) -> None:
        """A run can be repeated."""
        plan = faults.Plan(7, (("send", "daemon-killed"),))
        first, second = faults.Trial(plan), faults.Trial(plan)
        first.run()
        second.run()
        assert first.events == second.events
        ends = [[one.ended_at for one in t.callers] for t in (first, second)]
        assert ends[0] == ends[1]


class TestWindowOut:
    """The time in which no work may reach a data centre that is out."""

    def test_ends_where_the_operator_asks_first(self) -> None:
        """A second command of the same will doesn't move the end."""
        trial = faults.Trial(faults.Plan(SEED, (("back", "daemon-isolated"),)))
        asked_at = []
        move = trial.move

        def note(place: str, out: bool) -> None:
            asked_at.append(trial.simulation.now)
            move(place, out)

        trial.move = note  # type: ignore[method-assign]
        trial.run()
        ((_, _, ends_at),) = trial.out_at
        assert ends_at == asked_at[-1]


class TestFoundFailures:
    """Plans that once broke a promise."""

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
    def test_is_mended(
        self, seed: int, injections: tuple[tuple[str, str], ...]
    ) -> None:
        """The plan breaks nothing any more."""
        assert broken_promises(*injections, seed=seed) == set()


class TestChecks:
    """Each check notices a decision that was broken on purpose."""

    def test_measuring(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Probes without a seat."""
        monkeypatch.setattr(
            probe_leases.ProbeLeaseManager, "acquire_probe", lambda *args: True
        )
        assert promises.MEASURING in broken_promises()

    def test_cold(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Every daemon warms every server."""

        def refresh(
            self: warming.WarmingLeases, backends: Any, now: float
        ) -> None:
            for one in backends:
                one.warm_until = now + 1.0

        monkeypatch.setattr(warming.WarmingLeases, "refresh", refresh)
        assert promises.COLD in broken_promises()

    def test_out(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The state of data centres is not followed."""
        monkeypatch.setattr(
            balancer.Balancer, "data_centres_out", lambda self: set()
        )
        assert promises.OUT in broken_promises()

    def test_own(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """One row for all keys."""
        monkeypatch.setattr(claims, "row_key", lambda request: "claim/x")
        monkeypatch.setattr(
            claims.ClaimManager,
            "_evaluate_row",
            _verdict_without_fingerprint(claims.ClaimManager._evaluate_row),
        )
        assert promises.OWN in broken_promises()

    def test_not_run(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Not-run is told of what may have run."""
        monkeypatch.setattr(
            call.Call,
            "_outcome_so_far",
            lambda self: const.Outcome.NOT_RUN,
        )
        fault = ("wait", "server-crashes")
        found = set()
        for seed in range(SEED, SEED + 5):
            found |= broken_promises(fault, seed=seed)
        assert promises.NOT_RUN in found

    def test_once(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A request that may have run is sent again."""
        monkeypatch.setattr(call.Call, "_may_retry", lambda *args: True)
        fault = ("wait", "server-crashes")
        found = set()
        for seed in range(SEED, SEED + 5):
            found |= broken_promises(fault, seed=seed)
        assert promises.ONCE in found

    def test_leaving(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Nobody follows that a server leaves."""
        monkeypatch.setattr(backend.Backend, "is_usable", True)
        assert promises.LEAVING in broken_promises()

    def test_graceful(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The process ends with requests in progress."""

        def leave(self: node.Node) -> None:
            self.leaving = True
            self.process.call_at(
                self.process.now() + 0.001, lambda now: self.kill()
            )

        monkeypatch.setattr(node.Node, "leave", leave)
        fault = ("out", "server-slow")
        found = set()
        for seed in range(SEED, SEED + 10):
            found |= broken_promises(fault, seed=seed)
        assert promises.GRACEFUL in found

    def test_configuration(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A daemon stays at the first version."""
        adopt = balancer.Balancer.apply_configuration

        def adopt_first(
            self: balancer.Balancer, version: int, *args: Any
        ) -> bool:
            return version == 1 and adopt(self, version, *args)

        monkeypatch.setattr(
            balancer.Balancer, "apply_configuration", adopt_first
        )
        assert promises.CONFIGURATION in broken_promises()


def _verdict_without_fingerprint(verdict: Any) -> Any:
    """Return a verdict that takes every row for the same request."""

    def changed(self: Any, one: Any, row: Any) -> Any:
        value = {**(row.value or {}), "print": one.request.fingerprint}
        return verdict(self, one, type(row)(row.key, row.version, value))

    return changed
