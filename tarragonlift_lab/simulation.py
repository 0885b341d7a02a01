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

NETWORK_SECONDS = 0.0005
STORE_SECONDS = 0.002
STORE_TIMEOUT_SECONDS = 1.0
EPOCH = 1_700_000_000.0

Callback = abc.Callable[[], None]


class Simulation:
    """The clock, the events to come and the source of chance."""

    def __init__(self, seed: int) -> None:
        """Start at time 0."""
        self.now = 0.0
        self.rng = random.Random(seed)
        self._events: list[tuple[float, int, Callback]] = []
        self._counter = itertools.count()

    def call_at(self, when: float, function: Callback) -> None:
        """Call the function at this time."""
        when = max(when, self.now)
        heapq.heappush(self._events, (when, next(self._counter), function))

    def call_later(self, seconds: float, function: Callback) -> None:
        """Call the function after some time."""
        self.call_at(self.now + seconds, function)

    def run_until(self, end: float) -> None:
        """Let everything happen up to this time."""
        while self._events and self._events[0][0] <= end:
            when, _, function = heapq.heappop(self._events)
            self.now = when
            function()
        self.now = end


class Process(interfaces.Loop):
    """The loop of one daemon; it can be paused or killed."""

    def __init__(self, simulation: Simulation) -> None:
        """Run."""
        self._simulation = simulation
        self.paused_until = 0.0
        self.killed = False

    def now(self) -> float:
        """Return the monotonic clock."""
        return self._simulation.now

    def wall_time(self) -> float:
        """Return the wall clock."""
        return EPOCH + self._simulation.now

    def call_at(
        self, when: float, function: abc.Callable[[float], None]
    ) -> None:
        """Call the function with the time, unless the process is dead."""
        self._simulation.call_at(when, lambda: self.deliver_timer(function))

    def deliver_timer(self, function: abc.Callable[[float], None]) -> None:
        """Run a timer, later where the process is paused."""
        self.deliver(lambda: function(self._simulation.now))

    def deliver(self, function: Callback) -> None:
        """Run something in the process, later where it is paused."""
        if self.killed:
            return
        if self.paused_until > self._simulation.now:
            self._simulation.call_at(
                self.paused_until, lambda: self.deliver(function)
            )
            return
        function()


@attrs.define
class PlatformFaults:
    """What goes wrong with the store now."""

    down: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0
    hosts_lag_seconds: float = 1.0


class FakePlatform:
    """Rows, objects and hosts of one platform."""

    def __init__(self, simulation: Simulation) -> None:
        """Start empty."""
        self.simulation = simulation
        self.rows: dict[str, interfaces.Row] = {}
        self.objects: dict[str, bytes] = {}
        self.hosts: list[models.Instance] = []
        self.faults = PlatformFaults()
        self.cut: set[Process] = set()
        self.writes = 0
        self.reads = 0

    def set_hosts(self, hosts: list[models.Instance]) -> None:
        """Publish a list of hosts after its lag."""

        def publish() -> None:
            self.hosts = hosts

        self.simulation.call_later(self.faults.hosts_lag_seconds, publish)

    def ask(
        self,
        process: Process,
        work: abc.Callable[[], Any],
        callback: abc.Callable[[Any], None],
        is_write: bool,
    ) -> None:
        """Do the work on the platform's side and answer the process."""
        if self.faults.down or process in self.cut:
            error = exceptions.PlatformUnavailable()
            self._answer(process, STORE_SECONDS, callback, error)
            return
        delay = STORE_SECONDS + self.faults.slow_seconds
        if delay > STORE_TIMEOUT_SECONDS:
            lost = exceptions.PlatformAnswerLost()
            self._answer(process, STORE_TIMEOUT_SECONDS, callback, lost)
            self.simulation.call_later(delay, work)
            return

        def arrive() -> None:
            result = work()
            if is_write and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                lost = exceptions.PlatformAnswerLost()
                self._answer(process, STORE_TIMEOUT_SECONDS, callback, lost)
                return
            self._answer(process, STORE_SECONDS / 2, callback, result)

        self.simulation.call_later(delay / 2, arrive)

    def _answer(
        self,
        process: Process,
        delay: float,
        callback: abc.Callable[[Any], None],
        result: Any,
    ) -> None:
        """Bring an answer to the process."""
        self.simulation.call_later(
            delay, lambda: process.deliver(lambda: callback(result))
        )


class FakeTable(interfaces.Table):
    """The table as one process sees it."""

    def __init__(self, platform: FakePlatform, process: Process) -> None:
        """Ask the platform in the name of the process."""
        self._platform = platform
        self._process = process

    def transact(
        self,
        operations: abc.Iterable[interfaces.Operation],
        callback: interfaces.RowsCallback,
    ) -> None:
        """Do all writes or none."""
        wanted = tuple(operations)
        platform = self._platform

        def work() -> list[interfaces.Row]:
            platform.writes += 1
            conflicts = [
                self._row(one.key)
                for one in wanted
                if self._row(one.key).version != one.if_version
            ]
            if conflicts:
                return conflicts
            for one in wanted:
                if one.value is None:
                    platform.rows.pop(one.key, None)
                else:
                    row = interfaces.Row(
                        one.key, one.if_version + 1, one.value
                    )
                    platform.rows[one.key] = row
            return []

        platform.ask(self._process, work, callback, is_write=True)

    def read(self, key: str, callback: interfaces.RowCallback) -> None:
        """Read one row."""

        def work() -> interfaces.Row:
            self._platform.reads += 1
            return self._row(key)

        self._platform.ask(self._process, work, callback, is_write=False)

    def scan(self, prefix: str, callback: interfaces.RowsCallback) -> None:
        """Read all rows whose key begins with the prefix."""

        def work() -> list[interfaces.Row]:
            self._platform.reads += 1
            rows = self._platform.rows
            keys = sorted(key for key in rows if key.startswith(prefix))
            return [rows[key] for key in keys]

        self._platform.ask(self._process, work, callback, is_write=False)

    def _row(self, key: str) -> interfaces.Row:
        """Return a row, also where there is none."""
        return self._platform.rows.get(key, interfaces.Row(key, 0, None))


class FakeObjects(interfaces.ObjectStore):
    """The object store as one process sees it."""

    def __init__(self, platform: FakePlatform, process: Process) -> None:
        """Ask the platform in the name of the process."""
        self._platform = platform
        self._process = process

    def put(
        self, name: str, data: bytes, callback: interfaces.StoredCallback
    ) -> None:
        """Store bytes."""

        def work() -> None:
            self._platform.objects[name] = data

        self._platform.ask(self._process, work, callback, is_write=True)

    def get(self, name: str, callback: interfaces.BytesCallback) -> None:
        """Read bytes."""

        def work() -> bytes | None:
            return self._platform.objects.get(name)

        self._platform.ask(self._process, work, callback, is_write=False)


class FakeHosts(interfaces.HostList):
    """The list of hosts as one process sees it."""

    def __init__(self, platform: FakePlatform, process: Process) -> None:
        """Ask the platform in the name of the process."""
        self._platform = platform
        self._process = process

    def read(self, callback: interfaces.HostsCallback) -> None:
        """Read the list."""

        def work() -> list[models.Instance]:
            return list(self._platform.hosts)

        self._platform.ask(self._process, work, callback, is_write=False)


@attrs.define(eq=False)
class Job:
    """A request on a backend server."""

    nonce: str
    key: str
    done: abc.Callable[[str, str], None]
    state: str = "waiting"


@attrs.define
class ServerModel:
    """How a fake backend server behaves."""

    slots: int = 6
    mean_seconds: float = 0.01
    sigma: float = 0.5
    cold_bears: int = 2
    warm_after: int = 40
    stall_every_seconds: float = 0.0
    stall_least: float = 0.005
    stall_most: float = 0.2


class FakeServer:
    """A backend server with slots, a cold start and faults."""

    def __init__(
        self,
        simulation: Simulation,
        instance: models.Instance,
        model: ServerModel,
        warm: bool = False,
    ) -> None:
        """Start."""
        self.simulation = simulation
        self.instance = instance
        self.model = model
        self.starts = 0
        self.served = model.warm_after if warm else 0
        self.jobs: list[Job] = []
        self.running = 0
        self.draining_since = math.inf
        self.refuses_when_draining = True
        self.down_until = 0.0
        self.slow_until = 0.0
        self.stalled_until = 0.0
        self.next_stall = self._stall_gap()
        self.cuts_answers = 0
        self.late_answers = 0
        self.fails_fast_until = 0.0
        self.runs: dict[str, int] = {}
        self.ran: set[str] = set()
        self.received: list[float] = []
        self.overloads = 0
        self.fresh = not warm
        self.listeners: list[abc.Callable[[], None]] = []

    @property
    def start_id(self) -> str:
        """Return the identifier of this start."""
        return f"{self.instance.address}#{self.starts}"

    @property
    def bears(self) -> int:
        """Return how many requests at once it bears now."""
        model = self.model
        if self.served >= model.warm_after:
            return 10**6
        extra = (model.slots - model.cold_bears) * self.served
        return model.cold_bears + extra // model.warm_after

    def restart(self, down_seconds: float) -> None:
        """Drop all connections and start anew, cold."""
        jobs, self.jobs = self.jobs, []
        self.running = 0
        for job in jobs:
            job.state = "dropped"
            job.done("broken", "")
        self.starts += 1
        self.served = 0
        self.fresh = True
        self.down_until = self.simulation.now + down_seconds
        for listener in list(self.listeners):
            listener()

    def receive(self, job: Job) -> None:
        """Take a request; ``job.done`` gets how it ended."""
        now = self.simulation.now
        if now < self.down_until:
            job.done("refused-connection", "")
            return
        self.received.append(now)
        if now >= self.draining_since and self.refuses_when_draining:
            job.done("draining", self.start_id)
            return
        if now < self.fails_fast_until:
            job.done("shed", self.start_id)
            return
        self.jobs.append(job)
        if self.fresh and len(self.jobs) > self.bears:
            self.overloads += 1
        self._start_jobs()

    def cancel(self, job: Job) -> None:
        """The connection of a request was closed."""
        if job in self.jobs:
            if job.state == "running":
                self.running -= 1
            self.jobs.remove(job)
            job.state = "dropped"
            self._start_jobs()

    def _start_jobs(self) -> None:
        """Run requests that wait, as far as there are slots."""
        for job in self.jobs:
            if self.running >= self.model.slots:
                return
            if job.state == "waiting":
                self._run(job)

    def _run(self, job: Job) -> None:
        """Run one request."""
        job.state = "running"
        self.running += 1
        self.ran.add(job.nonce)
        if job.key:
            self.runs[job.key] = self.runs.get(job.key, 0) + 1
        starts = self.starts
        self.simulation.call_later(
            self._seconds(), lambda: self._finish(job, starts)
        )

    def _finish(self, job: Job, starts: int) -> None:
        """End a request, unless it was dropped or a stall holds it up."""
        if starts != self.starts or job.state != "running":
            return
        end = self._stall_end(self.simulation.now)
        if end > self.simulation.now:
            self.simulation.call_at(end, lambda: self._finish(job, starts))
            return
        self.running -= 1
        self.jobs.remove(job)
        self.served += 1
        if self.served >= self.model.warm_after:
            self.fresh = False
        job.state = "done"
        if self.cuts_answers > 0:
            self.cuts_answers -= 1
            job.done("cut", self.start_id)
        elif self.late_answers > 0:
            self.late_answers -= 1
            start_id = self.start_id
            self.simulation.call_later(20.0, lambda: job.done("ok", start_id))
        else:
            job.done("ok", self.start_id)
        self._start_jobs()

    def _seconds(self) -> float:
        """Return how long a request takes."""
        model = self.model
        mu = math.log(model.mean_seconds) - model.sigma**2 / 2
        seconds = self.simulation.rng.lognormvariate(mu, model.sigma)
        if self.simulation.now < self.slow_until:
            seconds += 0.5
        return seconds

    def _stall_gap(self) -> float:
        """Return when the next stall begins."""
        every = self.model.stall_every_seconds
        if not every:
            return math.inf
        return self.simulation.now + self.simulation.rng.expovariate(1 / every)

    def _stall_end(self, now: float) -> float:
        """Return until when a stall holds up what would end now."""
        while self.next_stall <= now:
            least, most = self.model.stall_least, self.model.stall_most
            length = self.simulation.rng.uniform(least, most)
            self.stalled_until = self.next_stall + length
            every = self.model.stall_every_seconds
            gap = self.simulation.rng.expovariate(1 / every)
            self.next_stall = self.stalled_until + gap
        return self.stalled_until
