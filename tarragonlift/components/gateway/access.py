"""What a follower needs to read the store on behalf of its fleet."""

from __future__ import annotations

import random

import attrs

from tarragonlift.components.metrics import recorder
from tarragonlift.core.fleet import fleet as fleet_module
from tarragonlift.core.fleet import interfaces
from tarragonlift.core import interfaces as core_interfaces


@attrs.frozen
class StoreAccess:
    """The store, the fleet that is kept in line with it, and the clock."""

    loop: core_interfaces.Loop
    store: interfaces.FleetStore
    fleet: fleet_module.Fleet
    metrics: recorder.Recorder
    rng: random.Random

    def count_call(self) -> None:
        """Count a call to the store that is about to be made."""
        self.metrics.count("store_calls")
