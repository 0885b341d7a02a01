"""What must always hold, checked on a trial that has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from tarragonlift.core import probe_leases

if TYPE_CHECKING:
    from collections import abc

    from tarragonlift_lab import faults

SECONDS_FEW = 5.0
SECONDS_IN_FORCE = 7.0

MEASURING = "measuring within its budget"
COLD = "no more than a cold server can bear"
OUT = "no new work for a data centre that is out"
OWN = "own and whole answers"
NOT_RUN = "not-run is true"
ONCE = "at most once"
LEAVING = "no new work for a leaving server"
GRACEFUL = "a graceful stop cuts nothing"
CONFIGURATION = "configuration in force and never back"

PROMISES = (
    MEASURING,
    COLD,
    OUT,
    OWN,
    NOT_RUN,
    ONCE,
    LEAVING,
    GRACEFUL,
    CONFIGURATION,
)


@attrs.frozen
class Broken:
    """A promise that fell, with what was seen."""

    promise: str
    seen: str


def check(trial: faults.Trial) -> list[Broken]:
    """Return every promise that fell in a trial."""
    broken: list[Broken] = []
    for promise, checker in CHECKS:
        broken.extend(Broken(promise, seen) for seen in checker(trial))
    return broken


def _measuring(trial: faults.Trial) -> abc.Iterator[str]:
    """At most one probe on each seat in each interval."""
    probes: dict[str, list[float]] = {}
    for node in trial.nodes:
        for key, at in node.probes:
            probes.setdefault(key, []).append(at)
    for key, times in probes.items():
        times.sort()
        for first, second in zip(times, times[1:], strict=False):
            if second - first < probe_leases.PROBE_INTERVAL_S - 1e-6:
                yield f"{key}: probes at {first:.2f} and {second:.2f}"


def _cold(trial: faults.Trial) -> abc.Iterator[str]:
    """No fresh server got more than it bears."""
    for name, server in trial.network.servers.items():
        if server.overloads:
            yield f"{name}: {server.overloads} times more than it bears"


def _out(trial: faults.Trial) -> abc.Iterator[str]:
    """No request reached a data centre that was out for a few seconds."""
    for place, out_at, back_at in trial.out_at:
        for name, server in trial.network.servers.items():
            if server.instance.data_centre != place:
                continue
            for at in server.received:
                if out_at + SECONDS_FEW < at < back_at:
                    yield f"{name}: work at {at:.2f}, out at {out_at:.2f}"


def _own(trial: faults.Trial) -> abc.Iterator[str]:
    """Every answer passed on as whole is the caller's own."""
    answers = {one.nonce: one.key for one in trial.callers}
    for caller in trial.callers:
        if not caller.whole:
            continue
        nonce = caller.answer.rpartition(" ")[2]
        same_key = caller.key and answers.get(nonce) == caller.key
        if nonce != caller.nonce and not same_key:
            yield f"{caller.nonce} got {caller.answer!r}"


def _not_run(trial: faults.Trial) -> abc.Iterator[str]:
    """What was told not to have run did not run."""
    for caller in trial.callers:
        if caller.outcome != "not-run":
            continue
        for name, server in trial.network.servers.items():
            if caller.nonce in server.ran:
                yield f"{caller.nonce} ran on {name}"


def _once(trial: faults.Trial) -> abc.Iterator[str]:
    """No key ran twice."""
    runs: dict[str, int] = {}
    for server in trial.network.servers.values():
        for key, count in server.runs.items():
            runs[key] = runs.get(key, 0) + count
    for key, count in runs.items():
        if count > 1:
            yield f"{key} ran {count} times"


def _leaving(trial: faults.Trial) -> abc.Iterator[str]:
    """No request reached a server that was leaving for a few seconds.

    A server that goes on taking work while it leaves is known by the
    platform's list alone: the seconds count from when that could be read.
    """
    for name, server in trial.network.servers.items():
        known_at = server.draining_since
        if not server.refuses_when_draining:
            known_at = max(known_at, trial.list_back_at)
        for at in server.received:
            if at > known_at + SECONDS_FEW:
                began = server.draining_since
                yield f"{name}: work at {at:.2f}, leaving at {began:.2f}"


def _graceful(trial: faults.Trial) -> abc.Iterator[str]:
    """Every request at a daemon that leaves got an answer."""
    for node in trial.nodes:
        if not node.leaving or node.name in trial.killed:
            continue
        for caller in trial.callers:
            if caller.node is node and caller.cut and caller.whole is False:
                if caller.ended_at in node.ended_by_leaving:
                    yield f"{caller.nonce} cut by {node.name}"
        for exchange in node.exchanges.values():
            if exchange.caller is not None:
                yield f"{exchange.nonce} hangs on {node.name}"


def _configuration(trial: faults.Trial) -> abc.Iterator[str]:
    """Versions only grow, and reach every daemon that can be reached."""
    for node in trial.nodes:
        if sorted(set(node.versions)) != node.versions:
            yield f"{node.name} went through {node.versions}"
    newest = max((version for version, _ in trial.accepted), default=0)
    for node in trial.live_nodes():
        if node.balancer.version < newest:
            yield f"{node.name} is at {node.balancer.version} of {newest}"
    for version, accepted_at in trial.accepted:
        yield from _in_force(trial, version, accepted_at)


def _in_force(
    trial: faults.Trial, version: int, accepted_at: float
) -> abc.Iterator[str]:
    """A version is in force soon at daemons that ran and were reachable."""
    for node in trial.live_nodes():
        if node.name in trial.unreachable or node.started_at > accepted_at:
            continue
        if node.name in trial.cut_off and trial.list_back_at:
            # Cut off from its peers while the store was away: it could not
            # learn of anything, and takes no work meanwhile.
            continue
        reached = [at for found, at in node.adopted if found >= version]
        if not reached or reached[0] > accepted_at + SECONDS_IN_FORCE:
            yield f"{node.name}: version {version} not in force in time"


CHECKS = (
    (MEASURING, _measuring),
    (COLD, _cold),
    (OUT, _out),
    (OWN, _own),
    (NOT_RUN, _not_run),
    (ONCE, _once),
    (LEAVING, _leaving),
    (GRACEFUL, _graceful),
    (CONFIGURATION, _configuration),
)
