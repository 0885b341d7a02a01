"""Simulated platform and backend servers in virtual time.

A simulation holds a platform, backend servers and the cores of some daemons.
All time is virtual and all random numbers come from one seed, so a run can be
repeated.
"""

from __future__ import annotations

from collections import abc
import heapq
import itertools
import math
import random
from typing import Any

import attrs

from tarragonlift.core import interfaces
from tarragonlift.core import models
from tarragonlift import exceptions

NETWORK_DELAY_S = 0.0005
STORE_DELAY_S = 0.002
STORE_TIMEOUT_S = 1.0
START_WALL_TIME_S = 1_700_000_000.0

Callback = abc.Callable[[], None]


class Simulation:
    """Virtual clock with scheduled events and a seeded random generator."""

    def __init__(self, seed: int) -> None:
        """Initialize the clock at time 0 and the random generator."""
        self.now = 0.0
        self.rng = random.Random(seed)
        self._events: list[tuple[float, int, Callback]] = []
        self._counter = itertools.count()

    def call_at(self, when: float, function: Callback) -> None:
        """Call the function at a virtual time, or now if it is in the past."""
        when = max(when, self.now)
        heapq.heappush(self._events, (when, next(self._counter), function))

    def call_later(self, delay_s: float, function: Callback) -> None:
        """Call the function after a delay in seconds."""
        self.call_at(self.now + delay_s, function)

    def run_until(self, end: float) -> None:
        """Process all events up to and including this time."""
        while self._events and self._events[0][0] <= end:
            when, _, function = heapq.heappop(self._events)
            self.now = when
            function()
        self.now = end


class Process(interfaces.Loop):
    """Event loop of one daemon, which can be paused or killed."""

    def __init__(self, simulation: Simulation) -> None:
        """Initialize a process that is running."""
        self._simulation = simulation
        self.paused_until = 0.0
        self.is_killed = False

    def now(self) -> float:
        """Return the monotonic clock in seconds."""
        return self._simulation.now

    def wall_time(self) -> float:
        """Return the wall clock in seconds."""
        return START_WALL_TIME_S + self._simulation.now

    def call_at(
        self, when: float, function: abc.Callable[[float], None]
    ) -> None:
        """Call the function with the time unless the process is killed."""
        self._simulation.call_at(when, lambda: self.deliver_timer(function))

    def deliver_timer(self, function: abc.Callable[[float], None]) -> None:
        """Run a timer, or postpone it until a paused process resumes."""
        self.deliver(lambda: function(self._simulation.now))

    def deliver(self, function: Callback) -> None:
        """Run a function in the process, or postpone it until it resumes."""
        if self.is_killed:
            return
        if self.paused_until > self._simulation.now:
            self._simulation.call_at(
                self.paused_until, lambda: self.deliver(function)
            )
            return
        function()


@attrs.define
class PlatformFaults:
    """Current faults of the platform."""

    down: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0
    hosts_lag_s: float = 1.0


class FakePlatform:
    """Fake platform with a table, an object store and a list of hosts."""

    def __init__(self, simulation: Simulation) -> None:
        """Initialize a platform without rows, objects and hosts."""
        self.simulation = simulation
        self.rows: dict[str, interfaces.Row] = {}
        self.objects: dict[str, bytes] = {}
        self.hosts: list[models.Instance] = []
        self.faults = PlatformFaults()
        self.isolated_processes: set[Process] = set()
        self.write_count = 0
        self.read_count = 0

    def set_hosts(self, hosts: list[models.Instance]) -> None:
        """Publish a list of hosts after the lag of the list."""

        def publish() -> None:
            self.hosts = hosts

        self.simulation.call_later(self.faults.hosts_lag_s, publish)

    def submit(
        self,
        process: Process,
        work: abc.Callable[[], Any],
        callback: abc.Callable[[Any], None],
        is_write: bool,
    ) -> None:
        """Run the work on the platform and send its result to the process."""
        if self.faults.down or process in self.isolated_processes:
            error = exceptions.PlatformUnavailable()
            self._respond(process, STORE_DELAY_S, callback, error)
            return
        delay = STORE_DELAY_S + self.faults.slow_seconds
        if delay > STORE_TIMEOUT_S:
            answer_lost = exceptions.PlatformAnswerLost()
            self._respond(process, STORE_TIMEOUT_S, callback, answer_lost)
            self.simulation.call_later(delay, work)
            return

        def on_arrival() -> None:
            result = work()
            if is_write and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                answer_lost = exceptions.PlatformAnswerLost()
                self._respond(process, STORE_TIMEOUT_S, callback, answer_lost)
                return
            self._respond(process, STORE_DELAY_S / 2, callback, result)

        self.simulation.call_later(delay / 2, on_arrival)

    def _respond(
        self,
        process: Process,
        delay: float,
        callback: abc.Callable[[Any], None],
        result: Any,
    ) -> None:
        """Deliver a result to the process after a delay."""
        self.simulation.call_later(
            delay, lambda: process.deliver(lambda: callback(result))
        )


class FakeTable(interfaces.Table):
    """Table of the platform, accessed by one process."""

    def __init__(self, platform: FakePlatform, process: Process) -> None:
        """Initialize the access of the process to the platform."""
        self._platform = platform
        self._process = process

    def transact(
        self,
        operations: abc.Iterable[interfaces.Operation],
        callback: interfaces.RowsCallback,
    ) -> None:
        """Apply all writes or none; the callback gets conflicting rows."""
        writes = tuple(operations)
        platform = self._platform

        def work() -> list[interfaces.Row]:
            platform.write_count += 1
            conflicts = [
                self._row(write.key)
                for write in writes
                if self._row(write.key).version != write.if_version
            ]
            if conflicts:
                return conflicts
            for write in writes:
                if write.value is None:
                    platform.rows.pop(write.key, None)
                else:
                    row = interfaces.Row(
                        write.key, write.if_version + 1, write.value
                    )
                    platform.rows[write.key] = row
            return []

        platform.submit(self._process, work, callback, is_write=True)

    def read(self, key: str, callback: interfaces.RowCallback) -> None:
        """Read a row; version 0 means that it does not exist."""

        def work() -> interfaces.Row:
            self._platform.read_count += 1
            return self._row(key)

        self._platform.submit(self._process, work, callback, is_write=False)

    def scan(self, prefix: str, callback: interfaces.RowsCallback) -> None:
        """Read all rows whose key starts with the prefix."""

        def work() -> list[interfaces.Row]:
            self._platform.read_count += 1
            rows = self._platform.rows
            keys = sorted(key for key in rows if key.startswith(prefix))
            return [rows[key] for key in keys]

        self._platform.submit(self._process, work, callback, is_write=False)

    def _row(self, key: str) -> interfaces.Row:
        """Return a row, with version 0 if it does not exist."""
        return self._platform.rows.get(key, interfaces.Row(key, 0, None))


class FakeObjects(interfaces.ObjectStore):
    """Object store of the platform, accessed by one process."""

    def __init__(self, platform: FakePlatform, process: Process) -> None:
        """Initialize the access of the process to the platform."""
        self._platform = platform
        self._process = process

    def put(
        self, name: str, data: bytes, callback: interfaces.StoredCallback
    ) -> None:
        """Store bytes under a name."""

        def work() -> None:
            self._platform.objects[name] = data

        self._platform.submit(self._process, work, callback, is_write=True)

    def get(self, name: str, callback: interfaces.BytesCallback) -> None:
        """Read bytes; the callback gets None if the object does not exist."""

        def work() -> bytes | None:
            return self._platform.objects.get(name)

        self._platform.submit(self._process, work, callback, is_write=False)


class FakeHosts(interfaces.HostList):
    """List of hosts of the platform, accessed by one process."""

    def __init__(self, platform: FakePlatform, process: Process) -> None:
        """Initialize the access of the process to the platform."""
        self._platform = platform
        self._process = process

    def read(self, callback: interfaces.HostsCallback) -> None:
        """Read the list of hosts."""

        def work() -> list[models.Instance]:
            return list(self._platform.hosts)

        self._platform.submit(self._process, work, callback, is_write=False)


@attrs.define(eq=False)
class Job:
    """Request on a backend server.

    ``on_done`` gets the result and the start ID of the server.
    """

    nonce: str
    key: str
    on_done: abc.Callable[[str, str], None]
    state: str = "waiting"


@attrs.define
class ServerModel:
    """Parameters of a fake backend server.

    Service times have a log-normal distribution with the shape ``sigma``. The
    capacity of a cold server grows from ``cold_limit`` to ``slots`` over its
    first ``warm_after`` requests. Stalls start at exponentially distributed
    intervals; a mean interval of 0 means no stalls.
    """

    slots: int = 6
    mean_service_time_s: float = 0.01
    sigma: float = 0.5
    cold_limit: int = 2
    warm_after: int = 40
    mean_stall_interval_s: float = 0.0
    min_stall_s: float = 0.005
    max_stall_s: float = 0.2


class FakeServer:
    """Fake backend server with slots, a cold start and faults."""

    def __init__(
        self,
        simulation: Simulation,
        instance: models.Instance,
        model: ServerModel,
        warm: bool = False,
    ) -> None:
        """Initialize a server that is cold unless ``warm`` is set."""
        self.simulation = simulation
        self.instance = instance
        self.model = model
        self.start_count = 0
        self.served_count = model.warm_after if warm else 0
        self.jobs: list[Job] = []
        self.running_count = 0
        self.draining_since = math.inf
        self.refuses_when_draining = True
        self.down_until = 0.0
        self.slow_until = 0.0
        self.stalled_until = 0.0
        self.next_stall_at = self._draw_next_stall()
        self.answers_to_cut = 0
        self.answers_to_delay = 0
        self.shedding_until = 0.0
        self.run_counts: dict[str, int] = {}
        self.ran_nonces: set[str] = set()
        self.received_at: list[float] = []
        self.overload_count = 0
        self.is_fresh = not warm
        self.restart_listeners: list[abc.Callable[[], None]] = []

    @property
    def start_id(self) -> str:
        """Return the ID of the current start."""
        return f"{self.instance.address}#{self.start_count}"

    @property
    def capacity(self) -> int:
        """Return how many concurrent requests are allowed now."""
        model = self.model
        if self.served_count >= model.warm_after:
            return 10**6
        extra = (model.slots - model.cold_limit) * self.served_count
        return model.cold_limit + extra // model.warm_after

    def restart(self, downtime_s: float) -> None:
        """Drop all connections and restart cold after a downtime."""
        jobs, self.jobs = self.jobs, []
        self.running_count = 0
        for job in jobs:
            job.state = "dropped"
            job.on_done("broken", "")
        self.start_count += 1
        self.served_count = 0
        self.is_fresh = True
        self.down_until = self.simulation.now + downtime_s
        for listener in list(self.restart_listeners):
            listener()

    def receive(self, job: Job) -> None:
        """Process a request; ``job.on_done`` gets its result."""
        now = self.simulation.now
        if now < self.down_until:
            job.on_done("refused-connection", "")
            return
        self.received_at.append(now)
        if now >= self.draining_since and self.refuses_when_draining:
            job.on_done("draining", self.start_id)
            return
        if now < self.shedding_until:
            job.on_done("shed", self.start_id)
            return
        self.jobs.append(job)
        if self.is_fresh and len(self.jobs) > self.capacity:
            self.overload_count += 1
        self._start_jobs()

    def cancel(self, job: Job) -> None:
        """Cancel a request whose connection was closed."""
        if job in self.jobs:
            if job.state == "running":
                self.running_count -= 1
            self.jobs.remove(job)
            job.state = "dropped"
            self._start_jobs()

    def _start_jobs(self) -> None:
        """Start waiting requests while there are free slots."""
        for job in self.jobs:
            if self.running_count >= self.model.slots:
                return
            if job.state == "waiting":
                self._run_job(job)

    def _run_job(self, job: Job) -> None:
        """Start a request and schedule its end."""
        job.state = "running"
        self.running_count += 1
        self.ran_nonces.add(job.nonce)
        if job.key:
            self.run_counts[job.key] = self.run_counts.get(job.key, 0) + 1
        start_count = self.start_count
        self.simulation.call_later(
            self._draw_service_time(),
            lambda: self._finish_job(job, start_count),
        )

    def _finish_job(self, job: Job, start_count: int) -> None:
        """Finish a request, after the end of a stall if there is one."""
        if start_count != self.start_count or job.state != "running":
            return
        end = self._get_stall_end(self.simulation.now)
        if end > self.simulation.now:
            self.simulation.call_at(
                end, lambda: self._finish_job(job, start_count)
            )
            return
        self.running_count -= 1
        self.jobs.remove(job)
        self.served_count += 1
        if self.served_count >= self.model.warm_after:
            self.is_fresh = False
        job.state = "done"
        if self.answers_to_cut > 0:
            self.answers_to_cut -= 1
            job.on_done("cut", self.start_id)
        elif self.answers_to_delay > 0:
            self.answers_to_delay -= 1
            start_id = self.start_id
            self.simulation.call_later(
                20.0, lambda: job.on_done("ok", start_id)
            )
        else:
            job.on_done("ok", self.start_id)
        self._start_jobs()

    def _draw_service_time(self) -> float:
        """Return a random service time in seconds."""
        model = self.model
        mu = math.log(model.mean_service_time_s) - model.sigma**2 / 2
        duration_s = self.simulation.rng.lognormvariate(mu, model.sigma)
        if self.simulation.now < self.slow_until:
            duration_s += 0.5
        return duration_s

    def _draw_next_stall(self) -> float:
        """Return the random start time of the next stall."""
        mean_interval_s = self.model.mean_stall_interval_s
        if not mean_interval_s:
            return math.inf
        return self.simulation.now + self.simulation.rng.expovariate(
            1 / mean_interval_s
        )

    def _get_stall_end(self, now: float) -> float:
        """Return the end of the last stall that started until ``now``."""
        while self.next_stall_at <= now:
            shortest_s, longest_s = (
                self.model.min_stall_s,
                self.model.max_stall_s,
            )
            duration_s = self.simulation.rng.uniform(shortest_s, longest_s)
            self.stalled_until = self.next_stall_at + duration_s
            mean_interval_s = self.model.mean_stall_interval_s
            delay_s = self.simulation.rng.expovariate(1 / mean_interval_s)
            self.next_stall_at = self.stalled_until + delay_s
        return self.stalled_until
