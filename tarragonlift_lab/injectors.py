"""Faults that a trial can inject, with a function for each."""

from __future__ import annotations

from collections import abc
import functools
from typing import Any
from typing import TYPE_CHECKING

import attrs

from tarragonlift.core import const
from tarragonlift_lab import node as node_module
from tarragonlift_lab import simulation as simulation_module

if TYPE_CHECKING:
    from tarragonlift_lab import faults

PAUSE_DURATION_S = 8.0
STORE_OUTAGE_S = 6.0
ISOLATION_S = 8.0
SERVER_DOWNTIME_S = 0.3
MAX_RESENDS = 3

Injector = abc.Callable[
    ["faults.Trial", "node_module.Node | None", "node_module.Exchange | None"],
    None,
]


def _select_server(
    trial: faults.Trial, exchange: node_module.Exchange | None
) -> simulation_module.FakeServer:
    """Return the server of the exchange, or a random server."""
    if exchange is not None and exchange.jobs:
        return next(iter(exchange.jobs.values()))[0]
    servers = list(trial.network.servers.values())
    return trial.simulation.rng.choice(servers)


def publish_leaving_servers(trial: faults.Trial) -> None:
    """Publish a list of hosts that marks the servers that are leaving."""
    trial.platform.set_hosts(
        [
            attrs.evolve(
                server.instance,
                leaving=server.draining_since <= trial.simulation.now,
            )
            for server in trial.network.servers.values()
        ]
    )


def _slow_server(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Slow a server down for 3 seconds."""
    _select_server(trial, exchange).slow_until = trial.simulation.now + 3.0


def _drain_server(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Drain a server, which refuses new requests from now on."""
    server = _select_server(trial, exchange)
    server.draining_since = min(server.draining_since, trial.simulation.now)
    publish_leaving_servers(trial)


def _drain_server_silently(
    trial: faults.Trial, node: Any, exchange: Any
) -> None:
    """Drain a server that accepts requests; only the host list shows it."""
    server = _select_server(trial, exchange)
    server.refuses_when_draining = False
    server.draining_since = min(server.draining_since, trial.simulation.now)
    publish_leaving_servers(trial)


def _shed_requests(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Let a server shed all requests for 2 seconds."""
    _select_server(trial, exchange).shedding_until = trial.simulation.now + 2.0


def _make_server_cold(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Make a server cold again without a restart.

    Daemons cannot know it before the first slow response, so the server does
    not count as fresh in the check of the cold limit.
    """
    server = _select_server(trial, exchange)
    server.served_count = 0
    server.is_fresh = False


def _crash_server(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Crash a server, which then restarts."""
    server = _select_server(trial, exchange)
    trial.simulation.call_later(
        0.0, functools.partial(server.restart, SERVER_DOWNTIME_S)
    )


def _delay_answers(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Delay the next two responses of a server."""
    _select_server(trial, exchange).answers_to_delay += 2


def _cut_answers(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Cut the next two responses of a server short."""
    _select_server(trial, exchange).answers_to_cut += 2


def _stop_store(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Make the store unavailable for the time of an outage."""
    platform_faults = trial.platform.faults
    platform_faults.down = True
    trial.simulation.call_later(
        STORE_OUTAGE_S, lambda: setattr(platform_faults, "down", False)
    )
    trial.list_available_at = trial.simulation.now + STORE_OUTAGE_S


def _slow_store(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Delay responses of the store beyond the timeout during an outage."""
    platform_faults = trial.platform.faults
    platform_faults.slow_seconds = 1.5
    trial.simulation.call_later(
        STORE_OUTAGE_S, lambda: setattr(platform_faults, "slow_seconds", 0.0)
    )
    trial.list_available_at = trial.simulation.now + STORE_OUTAGE_S


def _lose_answers(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Lose the responses to the next three writes."""
    trial.platform.faults.lose_answers += 3


def _pause_daemon(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Pause a daemon."""
    victim = node or trial.nodes[0]
    victim.process.paused_until = trial.simulation.now + PAUSE_DURATION_S
    trial.unreachable.add(victim.name)


def _kill_daemon(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Kill a daemon unless it is the last one."""
    if len(trial.live_nodes()) > 1:
        victim = node or trial.nodes[0]
        trial.killed.add(victim.name)
        victim.kill()


def _replace_daemon(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Kill a daemon and start a new one under the same name."""
    victim = node or trial.nodes[0]
    trial.killed.add(victim.name)
    victim.kill()
    data_centre = victim.balancer.identity.data_centre
    trial.simulation.call_later(
        1.0, functools.partial(trial.add_node, victim.name, data_centre)
    )


def _isolate_from_peers(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Isolate a daemon from its peers for a while."""
    victim = node or trial.nodes[0]
    trial.network.isolated_nodes.add(victim.name)
    trial.peer_isolated.add(victim.name)
    trial.simulation.call_later(
        ISOLATION_S, lambda: trial.network.isolated_nodes.discard(victim.name)
    )


def _isolate_daemon(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Isolate a daemon from its peers and the store for a while."""
    victim = node or trial.nodes[0]
    _isolate_from_peers(trial, victim, exchange)
    trial.platform.isolated_processes.add(victim.process)
    trial.unreachable.add(victim.name)
    trial.simulation.call_later(
        ISOLATION_S,
        lambda: trial.platform.isolated_processes.discard(victim.process),
    )


def _delay_host_list(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Increase the lag of the list of hosts."""
    trial.platform.faults.hosts_lag_s = 2.5


def _push_concurrently(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Let two more operators push configurations concurrently."""
    trial.push_configuration(3)
    trial.push_configuration(4)


def _disconnect_caller(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Close the connection of the caller."""
    if exchange is not None and exchange.caller is not None:
        caller = exchange.caller
        trial.simulation.call_later(0.0, exchange.disconnect_caller)
        trial.simulation.call_later(
            0.0, lambda: caller.finish(trial.simulation.now)
        )


def _resend_request(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Send the request again to a random daemon."""
    if exchange is not None and exchange.call.request.run is const.Run.ONCE:
        trial.send_request(True, exchange.call.request.key, MAX_RESENDS)


INJECTORS: dict[str, Injector] = {
    "server-slow": _slow_server,
    "server-drains": _drain_server,
    "server-leaves-silently": _drain_server_silently,
    "server-fails-fast": _shed_requests,
    "server-turns-cold": _make_server_cold,
    "server-crashes": _crash_server,
    "answer-late": _delay_answers,
    "answer-cut": _cut_answers,
    "store-down": _stop_store,
    "store-slow": _slow_store,
    "store-answers-lost": _lose_answers,
    "daemon-paused": _pause_daemon,
    "daemon-killed": _kill_daemon,
    "daemon-replaced": _replace_daemon,
    "peers-cut": _isolate_from_peers,
    "daemon-isolated": _isolate_daemon,
    "hosts-lag": _delay_host_list,
    "operators-race": _push_concurrently,
    "caller-gone": _disconnect_caller,
    "caller-resends": _resend_request,
}
