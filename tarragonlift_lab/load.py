"""Open-loop load: calls are sent at their times, whatever comes back.

Latency counts from the time at which a call was due, so that a slow answer
does not hide the calls behind it (coordinated omission).
"""

from __future__ import annotations

import asyncio
from collections import abc
import hashlib
import random
import time

import attrs
from hdrh import histogram

from tarragonlift_lab import http

KIND_LOOKUP = "lookup"
KIND_ORDER = "order"
KIND_UPLOAD = "upload"
FLOOD = "flood"

HISTOGRAM_MOST_US = 60_000_000
PART_BYTES = 65536


def new_histogram() -> histogram.HdrHistogram:
    """Return a histogram of microseconds."""
    return histogram.HdrHistogram(1, HISTOGRAM_MOST_US, 3)


@attrs.define
class Mix:
    """What is sent: calls a second, and the share of each kind."""

    rate: float = 200.0
    orders: float = 0.2
    uploads: float = 0.01
    upload_bytes: int = 3_000_000
    answer_bytes: int = 200
    direct_share: float = 0.0
    timeout_s: float = 20.0
    deadline_ms: int = 0
    callers: int = 20
    # Share of the calls that one caller sends, beside all others.
    flood_share: float = 0.0


@attrs.define
class Result:
    """What came of the calls."""

    calls: int = 0
    failed: int = 0
    cut: int = 0
    mismatched: int = 0
    refused: int = 0
    late: int = 0
    small_calls: int = 0
    small_failed: int = 0
    refused_latency: list[float] = attrs.field(factory=list)
    acknowledged: dict[str, list[object]] = attrs.field(factory=dict)
    keys: list[str] = attrs.field(factory=list)
    errors: dict[str, int] = attrs.field(factory=dict)
    latency: dict[str, histogram.HdrHistogram] = attrs.field(factory=dict)
    seconds: dict[int, list[float]] = attrs.field(factory=dict)
    failures_at: dict[int, int] = attrs.field(factory=dict)
    told_not_run: list[str] = attrs.field(factory=list)

    def add_latency(self, name: str, seconds: float) -> None:
        """Keep a latency under a name."""
        if name not in self.latency:
            self.latency[name] = new_histogram()
        self.latency[name].record_value(max(1, int(seconds * 1e6)))

    def add_error(self, name: str) -> None:
        """Count a failed call."""
        self.failed += 1
        self.errors[name] = self.errors.get(name, 0) + 1

    def quantile_ms(self, name: str, percent: float) -> float:
        """Return a quantile in ms, 0 where there are no values."""
        if name not in self.latency:
            return 0.0
        return float(
            self.latency[name].get_value_at_percentile(percent) / 1000
        )


class Load:
    """Sends calls to entry daemons and, for comparison, to servers."""

    def __init__(
        self,
        mix: Mix,
        entry_addresses: list[str],
        direct: list[str],
        seed: int,
    ) -> None:
        """Send to these addresses."""
        self._mix = mix
        self.entry_addresses = entry_addresses
        self._direct = direct
        self._rng = random.Random(seed)
        self._client = http.Client()
        self._tasks: set[asyncio.Task[None]] = set()
        self._number = 0
        self._run_name = f"{seed}-{time.time_ns()}"
        self.result = Result()
        self.started_at = 0.0

    async def run(self, seconds: float) -> Result:
        """Send calls for this long, then wait for the answers."""
        started = time.perf_counter()
        self.started_at = time.time()
        due = started
        while due < started + seconds:
            wait = due - time.perf_counter()
            if wait > 0:
                await asyncio.sleep(wait)
            task = asyncio.ensure_future(self._call(due, due - started))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            due += self._rng.expovariate(self._mix.rate)
        while self._tasks:
            await asyncio.wait(list(self._tasks))
        self._client.close()
        return self.result

    async def _call(self, due: float, offset: float) -> None:
        """Send one call and judge its answer."""
        self._number += 1
        self.result.calls += 1
        kind = self._kind()
        direct = (
            kind == KIND_LOOKUP
            and bool(self._direct)
            and self._rng.random() < self._mix.direct_share
        )
        address = self._rng.choice(
            self._direct if direct else self.entry_addresses
        )
        nonce = f"{self._run_name}-{self._number}"
        caller = self._caller()
        name = "direct" if direct else kind
        sending = self._send(kind, address, nonce, caller)
        good = await self._send_and_judge(
            sending, due, offset, kind, name, nonce
        )
        if caller != FLOOD:
            self.result.small_calls += 1
            self.result.small_failed += not good

    async def _send_and_judge(
        self,
        sending: abc.Awaitable[http.ClientResponse],
        due: float,
        offset: float,
        kind: str,
        name: str,
        nonce: str,
    ) -> bool:
        """Count what came of a call; return whether the answer is good."""
        try:
            answer = await asyncio.wait_for(sending, self._mix.timeout_s)
        except TimeoutError:
            self.result.add_error("no answer in time")
            self._failed_at(offset)
            return False
        elapsed = time.perf_counter() - due
        deadline_ms = self._mix.deadline_ms
        if answer.status == 200 and 0 < deadline_ms < elapsed * 1000:
            self.result.late += 1
        if answer.headers.get("tarragonlift-outcome") == "not-run":
            self.result.refused += 1
            self.result.refused_latency.append(elapsed)
        if not self._judge(kind, nonce, answer):
            self._failed_at(offset)
            return False
        self.result.add_latency(name, elapsed)
        if name == KIND_LOOKUP:
            bucket = self.result.seconds.setdefault(int(offset), [])
            bucket.append(elapsed)
        return True

    def _failed_at(self, offset: float) -> None:
        """Count a failure in its second."""
        second = int(offset)
        failures = self.result.failures_at
        failures[second] = failures.get(second, 0) + 1

    def _caller(self) -> str:
        """Return who sends the next call."""
        if self._rng.random() < self._mix.flood_share:
            return FLOOD
        return f"caller-{self._rng.randrange(self._mix.callers)}"

    def _kind(self) -> str:
        """Return the kind of the next call."""
        value = self._rng.random()
        if value < self._mix.uploads:
            return KIND_UPLOAD
        if value < self._mix.uploads + self._mix.orders:
            return KIND_ORDER
        return KIND_LOOKUP

    async def _send(
        self, kind: str, address: str, nonce: str, caller: str
    ) -> http.ClientResponse:
        """Send one call."""
        headers = {"Nonce": nonce, "Caller": caller}
        if self._mix.deadline_ms:
            headers["Request-Timeout-Ms"] = str(self._mix.deadline_ms)
        if kind == KIND_UPLOAD:
            return await self._upload(address, nonce, headers)
        if kind == KIND_ORDER:
            headers["Idempotency-Key"] = nonce
            self.result.keys.append(nonce)
            data = http.encode_request(
                "POST", "/orders/new", headers=headers, body=b"two sacks"
            )
            return await self._client.request(address, data)
        headers["Answer-Bytes"] = str(self._mix.answer_bytes)
        if self._number % 3 == 0:
            headers["Answer-Chunked"] = "1"
        path = f"/stock/{self._number}"
        data = http.encode_request("GET", path, headers=headers)
        return await self._client.request(address, data)

    async def _upload(
        self, address: str, nonce: str, headers: dict[str, str]
    ) -> http.ClientResponse:
        """Send an upload in parts."""
        block = hashlib.sha256(nonce.encode()).digest() * (PART_BYTES // 32)
        count = self._mix.upload_bytes // PART_BYTES
        path = f"/photos/{nonce}"
        data = http.encode_request(
            "PUT", path, headers=headers, length=count * PART_BYTES
        )
        answer = await self._client.request(
            address, data, (block for _ in range(count))
        )
        if answer.status == 200 and answer.is_complete:
            digest = hashlib.sha256()
            for _ in range(count):
                digest.update(block)
            self.result.acknowledged[path] = [
                count * PART_BYTES,
                digest.hexdigest(),
            ]
        return answer

    def _judge(
        self, kind: str, nonce: str, answer: http.ClientResponse
    ) -> bool:
        """Return whether the answer is good; count what is not."""
        result = self.result
        if not answer.status:
            result.add_error("connection ended")
            result.cut += 1
            return False
        if not answer.is_complete:
            result.add_error("answer cut short")
            result.cut += 1
            return False
        if answer.status != 200:
            name = answer.headers.get("tarragonlift-error", "")
            result.add_error(f"{answer.status} {name}")
            outcome = answer.headers.get("tarragonlift-outcome")
            if outcome == "not-run" and kind == KIND_ORDER:
                result.told_not_run.append(nonce)
            return False
        if f" {nonce} ".encode() not in answer.body:
            result.mismatched += 1
            return False
        size = self._mix.answer_bytes if kind == KIND_LOOKUP else 0
        if len(answer.body.partition(b"\n")[2]) != size:
            result.mismatched += 1
            return False
        return True
