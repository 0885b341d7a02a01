"""Run real daemons under load with injected faults and check the promises.

A seed determines the plan of faults and requests. Promises are checked
against what callers and backend servers saw, never against what a daemon
reports.
"""

from __future__ import annotations

import pathlib
import random
import time

import attrs

from tests.platform import standin
from tests.soak import callers as callers_module
from tests.soak import injectors
from tests.soak import lag_monitor
from tests.soak import processes
from tests.soak import promises
from tests.soak import proxy as proxy_module
from tests.soak import records as records_module

# Ranges in seconds of the pause between two faults: with short pauses faults
# overlap, with long ones daemons recover in between.
FAULT_INTERVALS_S = ((0.05, 0.5), (0.2, 2.0), (1.0, 6.0))
# Time after the last fault within which service must be restored. It is
# shorter than ``recover`` of the users' rules.
RECOVERY_TIMEOUT_S = 3.0
FINAL_REQUESTS_PER_DAEMON = 4


@attrs.frozen
class SoakSize:
    """Duration of a run and the number of its processes and connections."""

    duration_s: float = 6.0
    daemon_count: int = 3
    server_count: int = 4
    caller_count: int = 12


class Soak:
    """One run of the soak test."""

    def __init__(
        self, folder: pathlib.Path, seed: int, size: SoakSize
    ) -> None:
        """Initialize the run of a seed and start the stand-ins."""
        self._rng = random.Random(seed)
        self._size = size
        self._seed = seed
        self._fault_interval_s = self._rng.choice(FAULT_INTERVALS_S)
        names = [f"i-{n}" for n in range(size.server_count)]
        self._stage = standin.Stage(folder, *names)
        self._records = records_module.Records()
        links = {
            server.server_id: self._add_server_link(server)
            for server in self._stage.servers
        }
        self._environment = injectors.SoakEnvironment(
            self._stage, [], links, self._records
        )

    def run(self) -> list[str]:
        """Execute the run and return the broken promises."""
        try:
            for number in range(self._size.daemon_count):
                self._add_daemon(f"entry-{number + 1}")
            time.sleep(RECOVERY_TIMEOUT_S)
            self._run_load_with_faults()
            checker = promises.PromiseChecker(
                self._records, self._stage.servers
            )
            return checker.check()
        finally:
            self.close()

    def close(self) -> None:
        """Kill all daemons and close the stand-ins."""
        for daemon in self._environment.daemons:
            processes.kill_process(daemon.process)
        self._stage.close()

    def _add_server_link(
        self, server: standin.BackendServer
    ) -> proxy_module.Proxy:
        """Start a proxy for a server and list the server at its address."""
        link = self._start_proxy(server.address)
        entry = server.make_entry(link.address)
        self._stage.store_put("servers", server.server_id, entry)
        return link

    def _start_proxy(self, target: str) -> proxy_module.Proxy:
        """Start a proxy to an address."""
        proxy = proxy_module.Proxy(target)
        self._stage.call(proxy.start)
        return proxy

    def _add_daemon(self, name: str) -> None:
        """Start a daemon with proxies to its callers and to the store."""
        store_link = self._start_proxy(self._stage.store.address)
        daemon = processes.Daemon(name, self._start_proxy(""), store_link)
        processes.start_daemon(self._stage, daemon)
        self._environment.daemons.append(daemon)

    def _run_load_with_faults(self) -> None:
        """Inject faults under load, then send the final requests."""
        daemons = self._environment.daemons
        addresses = {
            daemon.name: daemon.caller_link.address for daemon in daemons
        }
        load = callers_module.CallerPool(self._records, addresses)
        load.stop_at = time.monotonic() + self._size.duration_s
        monitor = lag_monitor.LagMonitor(self._records)
        self._stage.call(monitor.start)
        self._stage.call(
            lambda: load.start(self._size.caller_count, self._seed)
        )
        injector = injectors.FaultInjector(self._environment, self._rng)
        while time.monotonic() < load.stop_at:
            time.sleep(self._rng.uniform(*self._fault_interval_s))
            self._rng.choice(injector.faults)()
        injector.wait_until_ended()
        self._stage.call(load.wait_until_finished)
        time.sleep(RECOVERY_TIMEOUT_S)
        self._stage.call(
            lambda: load.send_final_requests(FINAL_REQUESTS_PER_DAEMON)
        )
        self._stage.call(monitor.stop)
