"""Clients of the platform's table, object store and list of hosts."""

from __future__ import annotations

import attrs

from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.platform import client
from tarragonlift.components.platform import store
from tarragonlift.core import models


@attrs.frozen
class Platform:
    """Services of the platform and their HTTP clients."""

    table: store.Table
    objects: store.ObjectStore
    hosts: store.HostList
    clients: tuple[client.PlatformClient, ...]


def create_platform(
    poller: poller_module.DataPoller,
    table: models.Address,
    objects: models.Address,
    hosts: models.Address,
) -> Platform:
    """Return the services; those at one address share a client."""
    clients = {
        address: client.PlatformClient(poller, address)
        for address in (table, objects, hosts)
    }
    return Platform(
        store.Table(clients[table]),
        store.ObjectStore(clients[objects]),
        store.HostList(clients[hosts]),
        tuple(clients.values()),
    )
