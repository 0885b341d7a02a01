"""Open-loop load: calls are sent on schedule, independent of responses.

Latency is measured from the scheduled time of a call, so that a slow response
does not hide the delay of later calls (coordinated omission).
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
FLOOD_CALLER = "flood"

# Highest latency that a histogram can record.
MAX_LATENCY_US = 60_000_000
UPLOAD_PART_BYTES = 65536


def create_histogram() -> histogram.HdrHistogram:
    """Create a histogram of microseconds with 3 significant digits."""
    return histogram.HdrHistogram(1, MAX_LATENCY_US, 3)


@attrs.define
class LoadProfile:
    """The traffic to generate: calls per second and shares of each kind."""

    rate: float = 200.0
    order_share: float = 0.2
    upload_share: float = 0.01
    upload_bytes: int = 3_000_000
    response_bytes: int = 200
    direct_share: float = 0.0
    timeout_s: float = 20.0
    deadline_ms: int = 0
    caller_count: int = 20
    # Share of the calls that come from a single flooding caller.
    flood_share: float = 0.0


@attrs.define
class LoadResult:
    """The outcomes of all calls; ``regular`` excludes the flooding caller."""

    calls: int = 0
    failed: int = 0
    truncated: int = 0
    mismatched: int = 0
    refused: int = 0
    late: int = 0
    regular_calls: int = 0
    regular_failed: int = 0
    refused_latencies_s: list[float] = attrs.field(factory=list)
    acknowledged_uploads: dict[str, list[object]] = attrs.field(factory=dict)
    order_keys: list[str] = attrs.field(factory=list)
    errors: dict[str, int] = attrs.field(factory=dict)
    latency_histograms: dict[str, histogram.HdrHistogram] = attrs.field(
        factory=dict
    )
    lookup_latencies_by_second: dict[int, list[float]] = attrs.field(
        factory=dict
    )
    failures_by_second: dict[int, int] = attrs.field(factory=dict)
    reported_not_run: list[str] = attrs.field(factory=list)

    def record_latency(self, name: str, seconds: float) -> None:
        """Record a latency in the histogram of a name."""
        if name not in self.latency_histograms:
            self.latency_histograms[name] = create_histogram()
        self.latency_histograms[name].record_value(max(1, int(seconds * 1e6)))

    def record_error(self, name: str) -> None:
        """Count a failed call under the name of its error."""
        self.failed += 1
        self.errors[name] = self.errors.get(name, 0) + 1

    def quantile_ms(self, name: str, percent: float) -> float:
        """Return a quantile in ms, 0 if there are no values."""
        if name not in self.latency_histograms:
            return 0.0
        return float(
            self.latency_histograms[name].get_value_at_percentile(percent)
            / 1000
        )


class LoadGenerator:
    """Sends calls to entry daemons and, as a reference, to servers."""

    def __init__(
        self,
        profile: LoadProfile,
        entry_addresses: list[str],
        direct_addresses: list[str],
        seed: int,
    ) -> None:
        """Initialize the generator for these addresses."""
        self._profile = profile
        self.entry_addresses = entry_addresses
        self._direct_addresses = direct_addresses
        self._rng = random.Random(seed)
        self._client = http.Client()
        self._tasks: set[asyncio.Task[None]] = set()
        self._call_number = 0
        self._run_name = f"{seed}-{time.time_ns()}"
        self.result = LoadResult()
        self.started_at = 0.0

    async def run(self, seconds: float) -> LoadResult:
        """Send calls for this time, then wait for all responses."""
        first_due_at = time.perf_counter()
        self.started_at = time.time()
        due_at = first_due_at
        while due_at < first_due_at + seconds:
            delay_s = due_at - time.perf_counter()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            task = asyncio.ensure_future(
                self._send_call(due_at, due_at - first_due_at)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            due_at += self._rng.expovariate(self._profile.rate)
        while self._tasks:
            await asyncio.wait(list(self._tasks))
        self._client.close()
        return self.result

    async def _send_call(self, due_at: float, offset_s: float) -> None:
        """Send one call and evaluate its response."""
        self._call_number += 1
        self.result.calls += 1
        kind = self._choose_kind()
        is_direct = (
            kind == KIND_LOOKUP
            and bool(self._direct_addresses)
            and self._rng.random() < self._profile.direct_share
        )
        address = self._rng.choice(
            self._direct_addresses if is_direct else self.entry_addresses
        )
        nonce = f"{self._run_name}-{self._call_number}"
        caller = self._choose_caller()
        name = "direct" if is_direct else kind
        pending_response = self._send_request(kind, address, nonce, caller)
        is_good = await self._await_response(
            pending_response, due_at, offset_s, kind, name, nonce
        )
        if caller != FLOOD_CALLER:
            self.result.regular_calls += 1
            self.result.regular_failed += not is_good

    async def _await_response(
        self,
        pending_response: abc.Awaitable[http.ClientResponse],
        due_at: float,
        offset_s: float,
        kind: str,
        name: str,
        nonce: str,
    ) -> bool:
        """Record the outcome of a call; return whether it succeeded."""
        try:
            response = await asyncio.wait_for(
                pending_response, self._profile.timeout_s
            )
        except TimeoutError:
            self.result.record_error("no answer in time")
            self._record_failure(offset_s)
            return False
        elapsed_s = time.perf_counter() - due_at
        deadline_ms = self._profile.deadline_ms
        if response.status == 200 and 0 < deadline_ms < elapsed_s * 1000:
            self.result.late += 1
        if response.headers.get("tarragonlift-outcome") == "not-run":
            self.result.refused += 1
            self.result.refused_latencies_s.append(elapsed_s)
        if not self._check_response(kind, nonce, response):
            self._record_failure(offset_s)
            return False
        self.result.record_latency(name, elapsed_s)
        if name == KIND_LOOKUP:
            bucket = self.result.lookup_latencies_by_second.setdefault(
                int(offset_s), []
            )
            bucket.append(elapsed_s)
        return True

    def _record_failure(self, offset_s: float) -> None:
        """Count a failure in the second in which its call was due."""
        second = int(offset_s)
        failures = self.result.failures_by_second
        failures[second] = failures.get(second, 0) + 1

    def _choose_caller(self) -> str:
        """Draw the caller of the next call."""
        if self._rng.random() < self._profile.flood_share:
            return FLOOD_CALLER
        return f"caller-{self._rng.randrange(self._profile.caller_count)}"

    def _choose_kind(self) -> str:
        """Draw the kind of the next call."""
        value = self._rng.random()
        if value < self._profile.upload_share:
            return KIND_UPLOAD
        if value < self._profile.upload_share + self._profile.order_share:
            return KIND_ORDER
        return KIND_LOOKUP

    async def _send_request(
        self, kind: str, address: str, nonce: str, caller: str
    ) -> http.ClientResponse:
        """Send a request of this kind and return its response."""
        headers = {"Nonce": nonce, "Caller": caller}
        if self._profile.deadline_ms:
            headers["Request-Timeout-Ms"] = str(self._profile.deadline_ms)
        if kind == KIND_UPLOAD:
            return await self._send_upload(address, nonce, headers)
        if kind == KIND_ORDER:
            headers["Idempotency-Key"] = nonce
            self.result.order_keys.append(nonce)
            data = http.encode_request(
                "POST", "/orders/new", headers=headers, body=b"two sacks"
            )
            return await self._client.request(address, data)
        headers["Answer-Bytes"] = str(self._profile.response_bytes)
        if self._call_number % 3 == 0:
            headers["Answer-Chunked"] = "1"
        path = f"/stock/{self._call_number}"
        data = http.encode_request("GET", path, headers=headers)
        return await self._client.request(address, data)

    async def _send_upload(
        self, address: str, nonce: str, headers: dict[str, str]
    ) -> http.ClientResponse:
        """Send an upload in parts; keep the digest once acknowledged."""
        block = hashlib.sha256(nonce.encode()).digest() * (
            UPLOAD_PART_BYTES // 32
        )
        count = self._profile.upload_bytes // UPLOAD_PART_BYTES
        path = f"/photos/{nonce}"
        data = http.encode_request(
            "PUT", path, headers=headers, length=count * UPLOAD_PART_BYTES
        )
        response = await self._client.request(
            address, data, (block for _ in range(count))
        )
        if response.status == 200 and response.is_complete:
            digest = hashlib.sha256()
            for _ in range(count):
                digest.update(block)
            self.result.acknowledged_uploads[path] = [
                count * UPLOAD_PART_BYTES,
                digest.hexdigest(),
            ]
        return response

    def _check_response(
        self, kind: str, nonce: str, response: http.ClientResponse
    ) -> bool:
        """Return whether the response is correct; count each defect."""
        result = self.result
        if not response.status:
            result.record_error("connection ended")
            result.truncated += 1
            return False
        if not response.is_complete:
            result.record_error("answer cut short")
            result.truncated += 1
            return False
        if response.status != 200:
            name = response.headers.get("tarragonlift-error", "")
            result.record_error(f"{response.status} {name}")
            outcome = response.headers.get("tarragonlift-outcome")
            if outcome == "not-run" and kind == KIND_ORDER:
                result.reported_not_run.append(nonce)
            return False
        if f" {nonce} ".encode() not in response.body:
            result.mismatched += 1
            return False
        size = self._profile.response_bytes if kind == KIND_LOOKUP else 0
        if len(response.body.partition(b"\n")[2]) != size:
            result.mismatched += 1
            return False
        return True
