"""Metrics for statsd and Prometheus."""

from __future__ import annotations

import statsd

from tarragonlift.components.metrics import recorder
from tarragonlift.core import models

PREFIX = "tarragonlift"


def create_recorder(address: models.Address | None) -> recorder.Recorder:
    """Return a recorder that sends to the statsd address, if one is set."""
    if address is None:
        return recorder.Recorder(None)
    client = statsd.StatsClient(address.host, address.port, prefix=PREFIX)
    return recorder.Recorder(client)
