"""The faults that a trial can inject, each a function."""

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

PAUSE_SECONDS = 8.0
STORE_DOWN_SECONDS = 6.0
CUT_SECONDS = 8.0
SERVER_DOWN_SECONDS = 0.3
RESENDS_MOST = 3

Injector = abc.Callable[
    ["faults.Trial", "node_module.Node | None", "node_module.Exchange | None"],
    None,
]


def _target(
    trial: faults.Trial, exchange: node_module.Exchange | None
) -> simulation_module.FakeServer:
    """Return the server of the exchange, or some server."""
    if exchange is not None and exchange.jobs:
        return next(iter(exchange.jobs.values()))[0]
    servers = list(trial.network.servers.values())
    return trial.simulation.rng.choice(servers)


def list_leaving(trial: faults.Trial) -> None:
    """Let the platform's list tell which servers leave, after its lag."""
    trial.platform.set_hosts(
        [
            attrs.evolve(
                one.instance,
                leaving=one.draining_since <= trial.simulation.now,
            )
            for one in trial.network.servers.values()
        ]
    )


def _slow_server(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The server is slow for some seconds."""
    _target(trial, exchange).slow_until = trial.simulation.now + 3.0


def _drain(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The server starts to leave, and refuses new work."""
    server = _target(trial, exchange)
    server.draining_since = min(server.draining_since, trial.simulation.now)
    list_leaving(trial)


def _leave_silently(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The server starts to leave; only the list of hosts tells."""
    server = _target(trial, exchange)
    server.refuses_when_draining = False
    server.draining_since = min(server.draining_since, trial.simulation.now)
    list_leaving(trial)


def _fail_fast(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The server refuses everything for a while."""
    _target(trial, exchange).fails_fast_until = trial.simulation.now + 2.0


def _turn_cold(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The server is cold again without notice.

    It is not freshly started any more: nothing tells a daemon before the
    first slow answer, so the check of fresh servers does not count it.
    """
    server = _target(trial, exchange)
    server.served = 0
    server.fresh = False


def _crash(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The server crashes and starts anew."""
    server = _target(trial, exchange)
    trial.simulation.call_later(
        0.0, functools.partial(server.restart, SERVER_DOWN_SECONDS)
    )


def _late(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The server's next answers come late."""
    _target(trial, exchange).late_answers += 2


def _cut_answer(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The server's next answers are cut short."""
    _target(trial, exchange).cuts_answers += 2


def _store_down(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The store is down for a while."""
    found = trial.platform.faults
    found.down = True
    trial.simulation.call_later(
        STORE_DOWN_SECONDS, lambda: setattr(found, "down", False)
    )
    trial.list_back_at = trial.simulation.now + STORE_DOWN_SECONDS


def _store_slow(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The store is slow for a while, beyond every timeout."""
    found = trial.platform.faults
    found.slow_seconds = 1.5
    trial.simulation.call_later(
        STORE_DOWN_SECONDS, lambda: setattr(found, "slow_seconds", 0.0)
    )
    trial.list_back_at = trial.simulation.now + STORE_DOWN_SECONDS


def _lose_answers(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The answers to the next writes are lost."""
    trial.platform.faults.lose_answers += 3


def _pause(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The daemon is paused."""
    victim = node or trial.nodes[0]
    victim.process.paused_until = trial.simulation.now + PAUSE_SECONDS
    trial.unreachable.add(victim.name)


def _kill(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The daemon is killed."""
    if len(trial.live_nodes()) > 1:
        victim = node or trial.nodes[0]
        trial.killed.add(victim.name)
        victim.kill()


def _replace(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The daemon is killed, and a new one takes its name."""
    victim = node or trial.nodes[0]
    trial.killed.add(victim.name)
    victim.kill()
    place = victim.balancer.identity.data_centre
    trial.simulation.call_later(
        1.0, functools.partial(trial.add_node, victim.name, place)
    )


def _cut_peers(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The daemon and its peers do not reach one another for a while."""
    victim = node or trial.nodes[0]
    trial.network.cut.add(victim.name)
    trial.cut_off.add(victim.name)
    trial.simulation.call_later(
        CUT_SECONDS, lambda: trial.network.cut.discard(victim.name)
    )


def _isolate(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The daemon reaches neither its peers nor the store for a while."""
    victim = node or trial.nodes[0]
    _cut_peers(trial, victim, exchange)
    trial.platform.cut.add(victim.process)
    trial.unreachable.add(victim.name)
    trial.simulation.call_later(
        CUT_SECONDS, lambda: trial.platform.cut.discard(victim.process)
    )


def _hosts_lag(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The list of hosts lags more."""
    trial.platform.faults.hosts_lag_seconds = 2.5


def _race(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """Two more operators push at once."""
    trial.push(3)
    trial.push(4)


def _caller_gone(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The caller closes its connection."""
    if exchange is not None and exchange.caller is not None:
        caller = exchange.caller
        trial.simulation.call_later(0.0, exchange.caller_gone)
        trial.simulation.call_later(
            0.0, lambda: caller.end(trial.simulation.now)
        )


def _resend(trial: faults.Trial, node: Any, exchange: Any) -> None:
    """The caller sends the same request again, to any daemon."""
    if exchange is not None and exchange.call.request.run is const.Run.ONCE:
        trial.call(True, exchange.call.request.key, RESENDS_MOST)


INJECTORS: dict[str, Injector] = {
    "server-slow": _slow_server,
    "server-drains": _drain,
    "server-leaves-silently": _leave_silently,
    "server-fails-fast": _fail_fast,
    "server-turns-cold": _turn_cold,
    "server-crashes": _crash,
    "answer-late": _late,
    "answer-cut": _cut_answer,
    "store-down": _store_down,
    "store-slow": _store_slow,
    "store-answers-lost": _lose_answers,
    "daemon-paused": _pause,
    "daemon-killed": _kill,
    "daemon-replaced": _replace,
    "peers-cut": _cut_peers,
    "daemon-isolated": _isolate,
    "hosts-lag": _hosts_lag,
    "operators-race": _race,
    "caller-gone": _caller_gone,
    "caller-resends": _resend,
}
