"""Access to the store on behalf of a fleet."""

from __future__ import annotations

import random

import attrs

from tarragonlift.components.metrics import recorder
from tarragonlift.core.fleet import fleet as fleet_module
from tarragonlift.core.fleet import interfaces
from tarragonlift.core import interfaces as core_interfaces


@attrs.frozen
class StoreAccess:
    """The store, the fleet that follows it, and their loop and metrics."""

    loop: core_interfaces.Loop
    store: interfaces.FleetStore
    fleet: fleet_module.Fleet
    metrics: recorder.Recorder
    rng: random.Random

    def count_call(self) -> None:
        """Count a call to the store; call it before each request."""
        self.metrics.count("store_calls")
