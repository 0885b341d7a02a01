"""The promises that a soak run must keep, as callers and servers saw it."""

from __future__ import annotations

from collections import abc
import math

from tests.platform import standin
from tests.soak import records as records_module

# Time in seconds after which a leaving server may get no more requests:
# ``drain`` in the settings of the stand-ins.
DRAIN_TIMEOUT_S = 2.0
# Allowed lag in seconds of stand-ins and callers on a busy machine.
ALLOWED_LAG_S = 2.0
# Timeout in seconds of the stand-ins' routes, and what the rules add to it.
ROUTE_TIMEOUT_S = 1.5 + 0.5
# Time in seconds without disruptions after which time limits apply to a
# daemon: ``contact`` of the users' rules.
CONTACT_TIMEOUT_S = 3.0
# Bound on the requests that a limited server gets in some seconds, and the
# time after a daemon's first response with the limit from which it counts:
# LIMIT of the users' rules.
LIMIT_WINDOW_S = 4.0
MAX_LIMIT_RATIO = 1.5
MAX_LIMIT_EXTRA = 5
LIMIT_TOLD_AFTER_S = 0.5
# Time in seconds after a server turned a request away from which its pause
# counts, and the requests that it may get until the end: BUDGET of the users'
# rules.
PAUSE_GRACE_S = 0.5
MAX_IN_PAUSE = 2
# Statuses which promise that the request did not run and never will.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# Share of the requests after all faults that must be served: at least the
# quarter of the users' rule on recovery.
MIN_FINAL_SERVED_SHARE = 0.25

Records = records_module.Records
SentRequest = records_module.SentRequest


class PromiseChecker:
    """Checks the records of a run against the promises."""

    def __init__(
        self, records: Records, servers: abc.Sequence[standin.BackendServer]
    ) -> None:
        """Initialize the checker with the records and servers of a run."""
        self._records = records
        self._servers = servers
        self._executions: dict[str, list[standin.Execution]] = {}
        for server in servers:
            for execution in server.executions:
                self._executions.setdefault(execution.request_id, []).append(
                    execution
                )

    def check(self) -> list[str]:
        """Return every broken promise with the request that shows it."""
        broken = [
            *self._records.late_exits,
            *self._records.unsolicited_successes,
        ]
        broken.extend(self._check_unrequested_executions())
        for request in self._records.requests:
            broken.extend(self._check_request(request))
        for limit in self._records.stated_limits:
            broken.extend(self._check_rate_limit(limit))
        for server_id, leaves_at in self._records.leaves_at.items():
            broken.extend(self._check_leaving(server_id, leaves_at))
        broken.extend(self._check_pauses())
        broken.extend(self._check_recovery())
        return broken

    def _check_leaving(
        self, server_id: str, leaves_at: float
    ) -> abc.Iterator[str]:
        """Check that who passed on that a server leaves stops using it."""
        runs = [
            (request, execution)
            for request in self._records.requests
            for execution in self._executions.get(request.request_id, ())
            if execution.server_id == server_id
            and execution.started_at >= leaves_at
        ]
        told = [
            (request.daemon, request.ended_at)
            for request, execution in runs
            if request.status == 200
            and request.body.startswith(f"{server_id} ".encode())
        ]
        for request, execution in runs:
            for daemon, told_at in told:
                if (
                    daemon == request.daemon
                    and request.sent_at > told_at + DRAIN_TIMEOUT_S
                    and self._records.is_same_process(
                        daemon, told_at, execution.started_at
                    )
                ):
                    late_s = request.sent_at - told_at
                    yield (
                        f"{request.request_id} by {daemon} at {server_id},"
                        f" {late_s:.1f} s after an answer that it leaves"
                    )
                    break

    def _check_pauses(self) -> abc.Iterator[str]:
        """Check that daemons keep the pauses that servers asked them for."""
        daemons = {
            request.request_id: request.daemon
            for request in self._records.requests
        }
        by_pair: dict[tuple[str, str], list[standin.Arrival]] = {}
        for server in self._servers:
            for arrival in server.received:
                daemon = daemons.get(arrival.request_id, "")
                pair = (daemon, arrival.server_id)
                by_pair.setdefault(pair, []).append(arrival)
        for (daemon, server_id), arrivals in by_pair.items():
            for asked in arrivals:
                if asked.paused_until is None:
                    continue
                count = sum(
                    asked.at + PAUSE_GRACE_S < arrival.at < asked.paused_until
                    and self._is_bound_by_pause(
                        daemon, server_id, asked.at, arrival.at
                    )
                    for arrival in arrivals
                )
                if count > MAX_IN_PAUSE:
                    yield (
                        f"{server_id} got {count} requests from {daemon} in"
                        " its pause"
                    )
                    break

    def _is_bound_by_pause(
        self, daemon: str, server_id: str, asked_at: float, until: float
    ) -> bool:
        """Return whether a pause that a server asked for binds a daemon.

        A link that holds requests up delivers several at once.
        """
        subjects = (server_id, records_module.MACHINE)
        return self._records.is_same_process(daemon, asked_at, until) and all(
            self._records.is_undisturbed(
                subject, asked_at - CONTACT_TIMEOUT_S, until
            )
            for subject in subjects
        )

    def _check_rate_limit(
        self, limit: records_module.StatedLimit
    ) -> abc.Iterator[str]:
        """Check that daemons that know a limit keep to it together."""
        daemons = {
            request.request_id: request.daemon
            for request in self._records.requests
        }
        runs = sorted(
            (execution.started_at, daemons.get(request_id, ""))
            for request_id, executions in self._executions.items()
            for execution in executions
            if execution.server_id == limit.server_id
            and limit.began_at <= execution.started_at <= limit.ended_at
        )
        counted = [
            started_at
            for started_at, daemon in runs
            if started_at >= limit.began_at + CONTACT_TIMEOUT_S
            and self._is_bound_by_limit(limit, started_at, daemon, runs)
        ]
        max_count = MAX_LIMIT_RATIO * limit.per_s * LIMIT_WINDOW_S
        max_count += MAX_LIMIT_EXTRA
        for started_at in counted:
            count = sum(
                started_at <= other <= started_at + LIMIT_WINDOW_S
                for other in counted
            )
            if count > max_count:
                yield (
                    f"{limit.server_id} stated {limit.per_s} and got {count}"
                    f" requests in {LIMIT_WINDOW_S} s"
                )
                return

    def _is_bound_by_limit(
        self,
        limit: records_module.StatedLimit,
        started_at: float,
        daemon: str,
        runs: abc.Sequence[tuple[float, str]],
    ) -> bool:
        """Return whether a request counts against a server's limit.

        Its daemon must have had a response with the limit before, and must
        not have been restarted or disturbed since; a link that holds requests
        up delivers several at once.
        """
        link_since = started_at - CONTACT_TIMEOUT_S
        if not self._records.is_undisturbed(
            limit.server_id, link_since, started_at
        ):
            return False
        told_before = started_at - LIMIT_TOLD_AFTER_S - ALLOWED_LAG_S
        return any(
            told_at <= told_before
            and other == daemon
            and self._records.is_same_process(daemon, told_at, started_at)
            for told_at, other in runs
        )

    def _check_request(self, request: SentRequest) -> abc.Iterator[str]:
        """Check the promises about a single request."""
        executions = self._executions.get(request.request_id, [])
        if not request.is_idempotent and len(executions) > 1:
            yield f"{request.request_id} ran {len(executions)} times"
        if (
            request.status in NOT_EXECUTED_STATUSES
            and executions
            and not request.is_idempotent
        ):
            yield f"{request.request_id} ran; told {request.status}"
        if request.status == 200 and not is_matching_response(request):
            yield f"{request.request_id} got {request.body!r}"
        for execution in executions:
            yield from self._check_removed_server(request, execution)
        yield from self._check_response_time(request)
        yield from self._check_lost_response(request, executions)

    def _check_unrequested_executions(self) -> abc.Iterator[str]:
        """Check that servers ran only requests sent to their service."""
        sent_ids = {request.request_id for request in self._records.requests}
        for request_id in self._executions.keys() - sent_ids:
            yield f"{request_id} ran and nobody sent it"
        for request_id, executions in self._executions.items():
            for execution in executions:
                if execution.service != standin.SERVICE:
                    yield (
                        f"{request_id} ran at {execution.server_id},"
                        " not its own"
                    )

    def _check_removed_server(
        self, request: SentRequest, execution: standin.Execution
    ) -> abc.Iterator[str]:
        """Check that a server got no request long after its removal."""
        removed_at = self._records.removed_at.get(execution.server_id)
        if (
            removed_at is None
            or execution.started_at
            <= removed_at + DRAIN_TIMEOUT_S + ALLOWED_LAG_S
        ):
            return
        since = min(removed_at, request.sent_at) - CONTACT_TIMEOUT_S
        if self._is_time_bound(request.daemon, since, execution.started_at):
            yield (
                f"{request.request_id} by {request.daemon}"
                f" at {execution.server_id},"
                f" {execution.started_at - removed_at:.1f} s after it left"
            )

    def _check_response_time(self, request: SentRequest) -> abc.Iterator[str]:
        """Check that a request ended in time for its route's timeout."""
        if not request.is_written:
            return
        held_s = request.ended_at - request.sent_at
        latest = request.sent_at + ROUTE_TIMEOUT_S + ALLOWED_LAG_S
        if held_s <= ROUTE_TIMEOUT_S + ALLOWED_LAG_S:
            return
        if self._is_time_bound(
            request.daemon, request.sent_at - CONTACT_TIMEOUT_S, latest
        ):
            yield f"{request.request_id} was held by {request.daemon}"

    def _check_lost_response(
        self,
        request: SentRequest,
        executions: abc.Sequence[standin.Execution],
    ) -> abc.Iterator[str]:
        """Check that a request that ran gets a response.

        Only a server that aborted the connection and a disrupted link excuse
        a missing response: a graceful stop, a new configuration and an
        unavailable store don't.
        """
        if request.status or request.has_response_bytes or not executions:
            return
        until = request.ended_at
        if until == math.inf:
            return
        since = request.sent_at - CONTACT_TIMEOUT_S
        if not self._records.is_undisturbed(request.daemon, since, until):
            return
        for execution in executions:
            if execution.is_aborted:
                return
            if not self._records.is_undisturbed(
                execution.server_id, since, until
            ):
                return
        yield (f"{request.request_id} ran and {request.daemon} gave no answer")

    def _check_recovery(self) -> abc.Iterator[str]:
        """Check that requests are served again after all faults ended."""
        final = [
            request for request in self._records.requests if request.is_final
        ]
        served = sum(1 for request in final if request.status == 200)
        if served < MIN_FINAL_SERVED_SHARE * len(final) or not served:
            yield f"{served} of {len(final)} were served after all faults"

    def _is_time_bound(self, daemon: str, since: float, until: float) -> bool:
        """Return whether time limits apply to a daemon in a time span.

        They apply while the daemon, the store and the machine had no
        disruption.
        """
        subjects = (daemon, records_module.STORE, records_module.MACHINE)
        return all(
            self._records.is_undisturbed(subject, since, until)
            for subject in subjects
        )


def is_matching_response(request: SentRequest) -> bool:
    """Return whether a success is complete and belongs to the request."""
    return request.body.endswith(f" {request.path}".encode())
