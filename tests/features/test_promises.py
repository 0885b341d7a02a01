"""Steps of the scenarios for what must always hold."""

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
    """The plan that a scenario builds."""

    seed: int
    injections: list[tuple[str, str]] = attrs.field(factory=list)


@pytest_bdd.given(
    parsers.parse("the site with seed {seed:d}"), target_fixture="site_plan"
)
def make_site(seed: int) -> Site:
    """Return a plan without faults."""
    return Site(seed)


@pytest_bdd.when(parsers.parse("{fault} happens at the step {step}"))
def add_fault(site_plan: Site, fault: str, step: str) -> None:
    """Add a fault."""
    assert fault in injectors.INJECTORS
    assert step in faults.STEPS
    site_plan.injections.append((step, fault))


@pytest_bdd.then(parsers.parse("{promise}"))
def check_promise(site_plan: Site, promise: str) -> None:
    """Run the plan and look at the promise."""
    assert promise in promises.PROMISES
    plan = faults.Plan(site_plan.seed, tuple(site_plan.injections))
    trial = faults.Trial(plan)
    broken = [one for one in trial.run() if one.promise == promise]
    assert broken == []
    happened = [text for _, text in trial.events if "fault" in text]
    assert len(happened) == len(site_plan.injections)
