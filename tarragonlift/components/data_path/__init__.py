"""The data path: requests from callers to backend servers and back."""

from __future__ import annotations

from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.data_path import server
from tarragonlift.components.metrics import recorder
from tarragonlift.core import balancer as balancer_module


def create_data_path(
    poller: poller_module.DataPoller,
    balancer: balancer_module.Balancer,
    metrics: recorder.Recorder,
    own_pages: server.OwnPages,
) -> server.DataPath:
    """Return a data path that does not listen yet."""
    return server.DataPath(poller, balancer, metrics, own_pages)
