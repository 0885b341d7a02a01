"""Promises of the load balancer, checked after a trial."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from tarragonlift.core import probe_leases

if TYPE_CHECKING:
    from collections import abc

    from tarragonlift_lab import faults

# Delay until a server or data centre that leaves gets no more requests.
MAX_EFFECT_DELAY_S = 5.0
# Delay until an accepted configuration is in force.
MAX_CONFIG_DELAY_S = 7.0

PROBE_RATE = "measuring within its budget"
COLD_LIMIT = "no more than a cold server can bear"
OUT_OF_SERVICE = "no new work for a data centre that is out"
OWN_ANSWER = "own and whole answers"
NOT_RUN = "not-run is true"
AT_MOST_ONCE = "at most once"
LEAVING = "no new work for a leaving server"
GRACEFUL_STOP = "a graceful stop cuts nothing"
CONFIGURATION = "configuration in force and never back"

PROMISES = (
    PROBE_RATE,
    COLD_LIMIT,
    OUT_OF_SERVICE,
    OWN_ANSWER,
    NOT_RUN,
    AT_MOST_ONCE,
    LEAVING,
    GRACEFUL_STOP,
    CONFIGURATION,
)


@attrs.frozen
class Violation:
    """Violated promise with the details that were observed."""

    promise: str
    details: str


def check(trial: faults.Trial) -> list[Violation]:
    """Return the violations of all promises in a trial."""
    violations: list[Violation] = []
    for promise, checker in CHECKS:
        violations.extend(
            Violation(promise, details) for details in checker(trial)
        )
    return violations


def _check_probe_rate(trial: faults.Trial) -> abc.Iterator[str]:
    """Yield probes that share a lease and are closer than the interval."""
    probes: dict[str, list[float]] = {}
    for node in trial.nodes:
        for key, at in node.probes:
            probes.setdefault(key, []).append(at)
    for key, times in probes.items():
        times.sort()
        for first, second in zip(times, times[1:], strict=False):
            if second - first < probe_leases.PROBE_INTERVAL_S - 1e-6:
                yield f"{key}: probes at {first:.2f} and {second:.2f}"


def _check_cold_limit(trial: faults.Trial) -> abc.Iterator[str]:
    """Yield fresh servers that got requests beyond their capacity."""
    for name, server in trial.network.servers.items():
        if server.overload_count:
            yield f"{name}: {server.overload_count} requests over capacity"


def _check_out_of_service(trial: faults.Trial) -> abc.Iterator[str]:
    """Yield late requests to a data centre that is out of service."""
    for data_centre, out_since, back_since in trial.out_periods:
        for name, server in trial.network.servers.items():
            if server.instance.data_centre != data_centre:
                continue
            for at in server.received_at:
                if out_since + MAX_EFFECT_DELAY_S < at < back_since:
                    yield (
                        f"{name}: request at {at:.2f}, "
                        f"out at {out_since:.2f}"
                    )


def _check_own_answer(trial: faults.Trial) -> abc.Iterator[str]:
    """Yield complete responses that belong to another request."""
    keys = {sender.nonce: sender.key for sender in trial.callers}
    for caller in trial.callers:
        if not caller.is_complete:
            continue
        nonce = caller.answer.rpartition(" ")[2]
        same_key = caller.key and keys.get(nonce) == caller.key
        if nonce != caller.nonce and not same_key:
            yield f"{caller.nonce} got {caller.answer!r}"


def _check_not_run(trial: faults.Trial) -> abc.Iterator[str]:
    """Yield requests with the outcome not-run that did run."""
    for caller in trial.callers:
        if caller.outcome != "not-run":
            continue
        for name, server in trial.network.servers.items():
            if caller.nonce in server.ran_nonces:
                yield f"{caller.nonce} ran on {name}"


def _check_at_most_once(trial: faults.Trial) -> abc.Iterator[str]:
    """Yield keys that ran more than once."""
    run_counts: dict[str, int] = {}
    for server in trial.network.servers.values():
        for key, count in server.run_counts.items():
            run_counts[key] = run_counts.get(key, 0) + count
    for key, count in run_counts.items():
        if count > 1:
            yield f"{key} ran {count} times"


def _check_leaving(trial: faults.Trial) -> abc.Iterator[str]:
    """Yield late requests to a leaving server.

    Only the list of hosts shows that a server leaves if it still accepts
    requests. The time then counts from when the list could be read.
    """
    for name, server in trial.network.servers.items():
        visible_at = server.draining_since
        if not server.refuses_when_draining:
            visible_at = max(visible_at, trial.list_available_at)
        for at in server.received_at:
            if at > visible_at + MAX_EFFECT_DELAY_S:
                draining_since = server.draining_since
                yield (
                    f"{name}: request at {at:.2f}, "
                    f"leaving at {draining_since:.2f}"
                )


def _check_graceful_stop(trial: faults.Trial) -> abc.Iterator[str]:
    """Yield requests that a daemon cut or left open when it stopped."""
    for node in trial.nodes:
        if not node.is_leaving or node.name in trial.killed:
            continue
        for caller in trial.callers:
            if (
                caller.node is node
                and caller.is_cut_short
                and caller.is_complete is False
            ):
                if caller.ended_at in node.graceful_stop_times:
                    yield f"{caller.nonce} cut by {node.name}"
        for exchange in node.exchanges.values():
            if exchange.caller is not None:
                yield f"{exchange.nonce} is still open on {node.name}"


def _check_configuration(trial: faults.Trial) -> abc.Iterator[str]:
    """Yield versions that went back or did not reach a daemon."""
    for node in trial.nodes:
        if sorted(set(node.versions)) != node.versions:
            yield f"{node.name} applied the versions {node.versions}"
    newest = max(
        (version for version, _ in trial.accepted_versions), default=0
    )
    for node in trial.live_nodes():
        if node.balancer.version < newest:
            yield (
                f"{node.name} is at version {node.balancer.version} "
                f"of {newest}"
            )
    for version, accepted_at in trial.accepted_versions:
        yield from _check_in_force(trial, version, accepted_at)


def _check_in_force(
    trial: faults.Trial, version: int, accepted_at: float
) -> abc.Iterator[str]:
    """Yield reachable daemons on which a version was not in force in time."""
    for node in trial.live_nodes():
        if node.name in trial.unreachable or node.started_at > accepted_at:
            continue
        if node.name in trial.peer_isolated and trial.list_available_at:
            # A daemon that is isolated from its peers during a store outage
            # cannot get the version, and accepts no requests meanwhile.
            continue
        applied_times = [
            at
            for applied_version, at in node.applied
            if applied_version >= version
        ]
        if (
            not applied_times
            or applied_times[0] > accepted_at + MAX_CONFIG_DELAY_S
        ):
            yield f"{node.name}: version {version} not in force in time"


CHECKS = (
    (PROBE_RATE, _check_probe_rate),
    (COLD_LIMIT, _check_cold_limit),
    (OUT_OF_SERVICE, _check_out_of_service),
    (OWN_ANSWER, _check_own_answer),
    (NOT_RUN, _check_not_run),
    (AT_MOST_ONCE, _check_at_most_once),
    (LEAVING, _check_leaving),
    (GRACEFUL_STOP, _check_graceful_stop),
    (CONFIGURATION, _check_configuration),
)
