"""Helpers that build a small fleet for tests."""

from __future__ import annotations

import random

from tarragonlift.core import actions
from tarragonlift.core.fleet import delivery as delivery_module
from tarragonlift.core.fleet import fleet as fleet_module
from tarragonlift.core.fleet import interfaces
from tarragonlift.core.fleet import members
from tarragonlift.core.fleet import models
from tarragonlift.core import models as core_models

LOCAL_DATA_CENTRE = "plovdiv"
REMOTE_DATA_CENTRE = "stara"
NOW = 100.0


def make_entry(
    server_id: str,
    data_centre: str = LOCAL_DATA_CENTRE,
    leaving: bool = False,
    cold_for_s: float = 0.0,
    started_ms: int = 1,
    service: str = "orders",
) -> models.ListedServer:
    """Create an entry of the server list."""
    port = 1000 + sum(server_id.encode())
    return models.ListedServer(
        server_id=server_id,
        service=service,
        address=core_models.Address("127.0.0.1", port),
        data_centre=data_centre,
        slots=6,
        leaving=leaving,
        cold_for_s=cold_for_s,
        started_ms=started_ms,
    )


def make_route(idempotent: bool = True, **changes: object) -> models.Route:
    """Create a route to the service ``orders``."""
    fields: dict[str, object] = {
        "name": "lookups" if idempotent else "orders",
        "host": "shop.example",
        "prefix": "/lookup/" if idempotent else "/order/",
        "idempotent": idempotent,
        "targets": (models.Target("orders", 1.0),),
        "timeout_s": 1.0,
        "target_latency_s": 0.25,
        "max_attempts": 2,
    }
    fields.update(changes)
    return models.Route(**fields)  # type: ignore[arg-type]


def make_configuration(
    version: int = 1, *routes: models.Route
) -> models.FleetConfiguration:
    """Create a configuration with one service."""
    return models.FleetConfiguration(
        version,
        routes or (make_route(), make_route(idempotent=False)),
        {"orders": models.FleetService("orders", cold_rate=18.0)},
    )


def make_member(
    name: str, data_centre: str = LOCAL_DATA_CENTRE
) -> members.Member:
    """Create a daemon's member entry."""
    port = 2000 + sum(name.encode())
    return members.Member(
        name, data_centre, core_models.Address("127.0.0.1", port)
    )


def make_fleet(
    *entries: models.ListedServer, name: str = "daemon-1"
) -> fleet_module.Fleet:
    """Create a fleet with a configuration and the given servers."""
    fleet = fleet_module.Fleet(
        make_member(name),
        fleet_module.ExtraCalls(0.2, 62.0),
        0.05,
        random.Random(1),
    )
    fleet.apply_operators(
        interfaces.OperatorUpdate(1, make_configuration(), {}, True)
    )
    fleet.registry.set_entries(1, entries, NOW)
    return fleet


def report_load(
    fleet: fleet_module.Fleet,
    server_id: str,
    running: int = 0,
    slowdown: float = 1.0,
    now: float = NOW,
    waiting: int = 0,
) -> None:
    """Set the load that a server reports at a time."""
    server = fleet.registry.get(server_id)
    assert server is not None
    load = models.LoadReport(running, waiting, 6, slowdown)
    server.update_health(models.Health(server_id, True, load), now)


def open_delivery(
    fleet: fleet_module.Fleet,
    path: str = "/lookup/1",
    time_left_s: float = 2.0,
    now: float = NOW,
) -> delivery_module.Delivery:
    """Create the delivery of a request."""
    head = fleet_module.RequestHead("r-1", "shop.example", path, time_left_s)
    delivery = fleet.open_delivery(head, now)
    delivery.fingerprint = "print"
    return delivery


def filter_actions(
    result: list[actions.Action], kind: type[actions.Action]
) -> list[actions.Action]:
    """Return the actions of one class."""
    return [action for action in result if isinstance(action, kind)]


def get_attempt(result: list[actions.Action]) -> actions.Attempt:
    """Return the attempt of the only Send action."""
    (action,) = filter_actions(result, actions.Send)
    assert isinstance(action, actions.Send)
    return action.attempt


def get_refusal(result: list[actions.Action]) -> actions.Refuse:
    """Return the only Refuse action."""
    (action,) = filter_actions(result, actions.Refuse)
    assert isinstance(action, actions.Refuse)
    return action
