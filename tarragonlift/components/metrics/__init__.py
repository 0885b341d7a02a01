"""Metrics by statsd."""

from __future__ import annotations

import statsd

from tarragonlift.components.metrics import recorder
from tarragonlift.core import models

PREFIX = "tarragonlift"


def create_recorder(address: models.Address | None) -> recorder.Recorder:
    """Return a recorder that sends to this address, if there is one."""
    if address is None:
        return recorder.Recorder(None)
    client = statsd.StatsClient(address.host, address.port, prefix=PREFIX)
    return recorder.Recorder(client)
