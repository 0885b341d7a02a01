"""Connections between daemons for gossip and configuration documents."""

from __future__ import annotations

from collections import abc
import random

from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.peers import mesh
from tarragonlift.core import balancer as balancer_module
from tarragonlift.core import models as core_models


def create_mesh(
    poller: poller_module.DataPoller,
    balancer: balancer_module.Balancer,
    seeds: abc.Sequence[core_models.Address],
    keys: abc.Callable[[], abc.Sequence[bytes]],
    rng: random.Random,
) -> mesh.Mesh:
    """Return a mesh that does not listen yet."""
    return mesh.Mesh(poller, balancer, seeds, keys, rng)
