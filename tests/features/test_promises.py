"""Steps of the scenarios that check the promises."""

from __future__ import annotations

import attrs
import pytest_bdd
from pytest_bdd import parsers

from tarragonlift_lab import faults
from tarragonlift_lab import injectors
from tarragonlift_lab import promises

pytest_bdd.scenarios("promises.feature")


@attrs.define
class Site:
    """Parameters of the plan that a scenario runs."""

    seed: int
    injections: list[tuple[str, str]] = attrs.field(factory=list)


@pytest_bdd.given(
    parsers.parse("the site with seed {seed:d}"), target_fixture="site_plan"
)
def make_site(seed: int) -> Site:
    """Return the parameters of a plan without faults."""
    return Site(seed)


@pytest_bdd.when(parsers.parse("{fault} happens at the step {step}"))
def add_fault(site_plan: Site, fault: str, step: str) -> None:
    """Add a fault at a step to the plan."""
    assert fault in injectors.INJECTORS
    assert step in faults.STEPS
    site_plan.injections.append((step, fault))


@pytest_bdd.then(parsers.parse("{promise}"))
def check_promise(site_plan: Site, promise: str) -> None:
    """Run the plan and check that the promise holds."""
    assert promise in promises.PROMISES
    plan = faults.Plan(site_plan.seed, tuple(site_plan.injections))
    trial = faults.Trial(plan)
    violations = [
        violation for violation in trial.run() if violation.promise == promise
    ]
    assert violations == []
    injected = [text for _, text in trial.events if "fault" in text]
    assert len(injected) == len(site_plan.injections)
