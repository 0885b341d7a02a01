"""A short soak with fixed seeds, and tests that its checks can fail."""

from __future__ import annotations

import os
import pathlib

import attrs
import pytest

from tarragonlift_lab import http
from tests.platform import standin
from tests.soak import callers as callers_module
from tests.soak import lag_monitor
from tests.soak import promises
from tests.soak import records as records_module
from tests.soak import soak

# Seeds that failed once, each with a line on the cause.
REGRESSION_SEEDS: tuple[int, ...] = ()
DEFAULT_SEEDS = (1, 2)
# For longer runs: SOAK_SEEDS=100-149 SOAK_SECONDS=12 SOAK_DAEMONS=6
# script/test ...
ENV_SEEDS = "SOAK_SEEDS"
ENV_DURATION = "SOAK_SECONDS"
ENV_DAEMON_COUNT = "SOAK_DAEMONS"


def get_seeds() -> list[int]:
    """Return the fixed seeds and those of the environment."""
    first, _, last = os.environ.get(ENV_SEEDS, "").partition("-")
    more = range(int(first), int(last) + 1) if first else ()
    return [*REGRESSION_SEEDS, *DEFAULT_SEEDS, *more]


def get_size() -> soak.SoakSize:
    """Return the size of the runs, as set in the environment."""
    return soak.SoakSize(
        duration_s=float(os.environ.get(ENV_DURATION, "6")),
        daemon_count=int(os.environ.get(ENV_DAEMON_COUNT, "3")),
    )


class TestSoak:
    """Promises under injected faults."""

    @pytest.mark.parametrize("seed", get_seeds())
    def test_promises_hold(self, tmp_path: pathlib.Path, seed: int) -> None:
        """Run a seed and find no broken promise."""
        assert soak.Soak(tmp_path, seed, get_size()).run() == []


class TestChecks:
    """Detection of planted violations by each check."""

    def setup_method(self) -> None:
        """Record a run with one served order and no violation."""
        self.servers = [
            standin.BackendServer("i-0"),
            standin.BackendServer("i-1"),
        ]
        self.records = records_module.Records()
        self.request = records_module.SentRequest(
            "r-1", "/order/1", False, "entry-1", 100.0
        )
        self.request.is_written = self.request.has_response_bytes = (
            self.request.is_final
        ) = True
        self.request.status = 200
        self.request.body = b"i-0 /order/1"
        self.request.ended_at = 100.2
        self.records.requests.append(self.request)
        self.add_execution(0, 100.1)

    def add_execution(
        self, server: int, started_at: float, request_id: str = "r-1"
    ) -> None:
        """Record that a server ran the request."""
        name = f"i-{server}"
        execution = standin.Execution(
            request_id, name, standin.SERVICE, started_at
        )
        self.servers[server].executions.append(execution)

    def check(self) -> list[str]:
        """Return the broken promises."""
        return promises.PromiseChecker(self.records, self.servers).check()

    def add_disruption(self, subject: str) -> None:
        """Record a disruption shortly before the request."""
        self.records.disruptions.append(
            records_module.Disruption(subject, 98.0, 99.0)
        )

    def test_run_without_violation_passes(self) -> None:
        """Report nothing if no promise was broken."""
        assert self.check() == []

    def test_second_execution_is_reported(self) -> None:
        """Report an order that ran twice."""
        self.add_execution(1, 100.15)
        assert self.check()

    def test_false_refusal_is_reported(self) -> None:
        """Report a request that ran although its status says it didn't."""
        self.request.status = 503
        assert any("told 503" in text for text in self.check())

    def test_response_of_other_request_is_reported(self) -> None:
        """Report a request that got the response of another one."""
        self.request.body = b"i-0 /order/2"
        assert self.check()

    def test_unrequested_execution_is_reported(self) -> None:
        """Report a run of a request that no caller sent."""
        self.add_execution(0, 100.1, "r-2")
        assert self.check()

    def test_execution_at_other_service_is_reported(self) -> None:
        """Report a request run by the next service at the same address."""
        self.servers[0].executions[0].service = "other"
        assert self.check()

    def test_execution_after_removal_is_reported(self) -> None:
        """Report a request that ran long after its server's removal."""
        self.records.removed_at["i-0"] = 90.0
        assert self.check()
        self.add_disruption("entry-1")
        assert self.check() == []

    def test_store_disruption_excuses_late_removal(self) -> None:
        """Apply no time limit while the store was disrupted."""
        self.records.removed_at["i-0"] = 90.0
        self.add_disruption(records_module.STORE)
        assert self.check() == []

    def test_held_request_is_reported(self) -> None:
        """Report a request without a response long after its timeout."""
        self.request.ended_at = 106.0
        assert any("held" in text for text in self.check())
        self.add_disruption("entry-1")
        assert self.check() == []

    def test_machine_lag_excuses_only_time_limits(self) -> None:
        """Apply no time limit, but all other checks, while event loops lag."""
        self.request.ended_at = 106.0
        lag_monitor.LagMonitor(self.records).record_wake_up(99.0, 99.1)
        assert any("held" in text for text in self.check())
        lag_monitor.LagMonitor(self.records).record_wake_up(99.0, 99.5)
        assert self.check() == []
        self.add_execution(1, 100.15)
        assert self.check()

    def test_lost_response_is_reported(self) -> None:
        """Report a request that ran and whose connection ended silently."""
        self.request.status = 0
        self.request.has_response_bytes = False
        assert any("no answer" in text for text in self.check())
        self.servers[0].executions[0].is_aborted = True
        assert not any("no answer" in text for text in self.check())

    def test_late_exit_is_reported(self) -> None:
        """Report a daemon that ran on after its grace period."""
        self.records.late_exits.append("entry-1 ran on")
        assert self.check()

    def test_unsolicited_success_is_reported(self) -> None:
        """Report a success that came while no request waited."""
        connection = http.ClientProtocol()
        connection.data_received(
            b"HTTP/1.1 200 S\r\nContent-Length: 0\r\n\r\n"
        )
        callers = callers_module.CallerPool(self.records, {})
        callers._close_connection(connection, "entry-1")
        assert any("unasked" in text for text in self.check())

    def test_excess_over_a_stated_limit_is_reported(self) -> None:
        """Report a server that got more than it stated."""
        limit = records_module.StatedLimit("i-0", 0.5, 99.0)
        self.records.stated_limits.append(limit)
        for number in range(12):
            request = attrs.evolve(
                self.request, request_id=f"l-{number}", path="/look/1"
            )
            request.is_idempotent = True
            request.body = b"i-0 /look/1"
            self.records.requests.append(request)
            self.add_execution(0, 103.0 + number * 0.1, f"l-{number}")
        assert any("stated 0.5" in text for text in self.check())
        self.records.replaced_at.append(("entry-1", 102.0))
        assert self.check() == []

    def add_lookup(self, number: int, started_at: float) -> None:
        """Record a served lookup that the first server ran."""
        request = attrs.evolve(
            self.request,
            request_id=f"l-{number}",
            path="/look/1",
            sent_at=started_at,
            ended_at=started_at + 0.1,
        )
        request.is_idempotent = True
        request.body = b"i-0 /look/1"
        self.records.requests.append(request)
        self.add_execution(0, started_at, f"l-{number}")

    def test_use_of_leaving_server_is_reported(self) -> None:
        """Report a request long after an answer that its server leaves."""
        self.records.leaves_at["i-0"] = 100.0
        self.add_lookup(1, 102.1)
        assert self.check() == []
        self.add_lookup(2, 102.3)
        assert any("that it leaves" in text for text in self.check())
        self.records.replaced_at.append(("entry-1", 101.0))
        assert self.check() == []

    def test_use_in_a_pause_is_reported(self) -> None:
        """Report more requests in a pause than the rule allows."""
        server = self.servers[0]
        refused = standin.Arrival("r-1", "i-0", 100.0, 103.0)
        server.received.append(refused)
        for number, at in enumerate((100.4, 100.6, 102.9, 103.1)):
            self.add_lookup(number, at)
            server.received.append(standin.Arrival(f"l-{number}", "i-0", at))
        assert self.check() == []
        self.add_lookup(9, 101.0)
        server.received.append(standin.Arrival("l-9", "i-0", 101.0))
        assert any("in its pause" in text for text in self.check())
        self.add_disruption("i-0")
        assert self.check() == []

    def test_missing_recovery_is_reported(self) -> None:
        """Report that no request was served after all faults ended."""
        self.request.status = 502
        assert self.check()
