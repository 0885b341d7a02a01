"""A stand-in for a backend server: slots, cold start, drain, shed, faults.

A request needs one of a few slots and is queued if none is free. A cold server
handles a few concurrent requests; its capacity grows with each request served.
Above that capacity a cold server collapses: it is slow for a while and sheds
load. Noisy neighbours stall it for 5 to 200 ms.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from typing import Any

import attrs
import orjson

from tarragonlift_lab import http

Request = http.Request
Response = http.Response

# Time after a collapse in which the server is slow and sheds load.
COLLAPSE_DURATION_S = 1.0
# Factor of the work time during a collapse.
COLLAPSE_SLOWDOWN = 10.0


@attrs.define
class ServerModel:
    """Parameters of the behaviour of a backend server."""

    slots: int = 6
    mean_ms: float = 5.0
    sigma: float = 0.5
    cold_capacity: int = 2
    warm_after: int = 40
    max_queue_length: int = 200
    stall_every_s: float = 0.0
    min_stall_ms: float = 5.0
    max_stall_ms: float = 200.0
    load_lag_s: float = 0.5
    starts_warm: bool = False


class BackendServer:
    """One stand-in server with its state and its record of work done."""

    def __init__(self, name: str, model: ServerModel, seed: int) -> None:
        """Initialize the server; it starts cold unless the model differs."""
        self._name = name
        self._model = model
        self._rng = random.Random(seed)
        self._free_slots = model.slots
        self._queue: list[asyncio.Future[None]] = []
        self._stall_window = (math.inf, math.inf)
        self._collapsed_until = 0.0
        self._load_samples: list[tuple[float, int]] = []
        self.start_id = ""
        self.in_flight = 0
        self.served = 0
        self.max_in_flight_cold = 0
        self.max_in_flight = 0
        self.collapses = 0
        self.is_draining = False
        self.last_request_at = 0.0
        self.requests_after_mark = 0
        self.mark_at = math.inf
        self.faults: dict[str, float] = {}
        self.runs: dict[str, int] = {}
        self.uploads: dict[str, list[Any]] = {}
        self.restart()

    @property
    def capacity(self) -> int:
        """Return how many concurrent requests it can handle now."""
        model = self._model
        if self.served >= model.warm_after:
            return model.max_queue_length
        extra = (model.slots - model.cold_capacity) * self.served
        return model.cold_capacity + extra // model.warm_after

    @property
    def is_cold(self) -> bool:
        """Return whether it has not served enough requests to be warm."""
        return self.served < self._model.warm_after

    def restart(self) -> None:
        """Restart with a new start identifier, cold unless the model differs.

        A restart also ends draining.
        """
        self.start_id = f"{self._name}-{self._rng.getrandbits(32):08x}"
        self.served = self._model.warm_after if self._model.starts_warm else 0
        self.is_draining = False

    async def handle(self, request: Request) -> Response:
        """Handle a request; paths that begin with ``/.`` control the lab."""
        if request.path.startswith("/."):
            return self._handle_internal(request)
        now = time.time()
        self.last_request_at = now
        if now > self.mark_at:
            self.requests_after_mark += 1
        if self.is_draining:
            return self._make_refusal("draining")
        if self.faults.get("crash"):
            raise http.DropConnection()
        self.in_flight += 1
        try:
            return await self._process(request)
        finally:
            self.in_flight -= 1

    async def _process(self, request: Request) -> Response:
        """Wait for a slot, simulate the work and respond, or shed."""
        self._record_in_flight()
        if len(self._queue) >= self._model.max_queue_length:
            return self._make_refusal("shed")
        if time.time() < self._collapsed_until and self.in_flight > 1:
            return self._make_refusal("shed")
        await self._acquire_slot()
        try:
            self._record_effect(request)
            await self._simulate_work()
            if self.faults.get("die_in_work"):
                raise http.DropConnection()
        finally:
            self._release_slot()
        self.served += 1
        return self._make_response(request)

    def _record_in_flight(self) -> None:
        """Record the peak concurrency; collapse above the cold capacity."""
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        if not self.is_cold:
            return
        self.max_in_flight_cold = max(self.max_in_flight_cold, self.in_flight)
        if self.in_flight > self.capacity:
            self.collapses += 1
            self.served = 0
            self._collapsed_until = time.time() + COLLAPSE_DURATION_S

    async def _acquire_slot(self) -> None:
        """Acquire a slot, queued in order of arrival.

        A slot that was handed over to a cancelled request is released.
        """
        if self._free_slots > 0:
            self._free_slots -= 1
            return
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._queue.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter in self._queue:
                self._queue.remove(waiter)
            elif waiter.done() and not waiter.cancelled():
                self._release_slot()
            raise

    def _release_slot(self) -> None:
        """Hand the slot to the first queued request, or free it."""
        while self._queue:
            waiter = self._queue.pop(0)
            if not waiter.done():
                waiter.set_result(None)
                return
        self._free_slots += 1

    async def _simulate_work(self) -> None:
        """Wait for the time of the work; a stall suspends all work."""
        remaining_s = self._draw_work_time_s()
        while remaining_s > 0:
            now = time.time()
            start, end = self._get_stall_window(now)
            if start <= now:
                await asyncio.sleep(end - now)
                continue
            await asyncio.sleep(min(remaining_s, start - now))
            remaining_s -= time.time() - now

    def _get_stall_window(self, now: float) -> tuple[float, float]:
        """Return the start and end of the current or next stall."""
        model = self._model
        if not model.stall_every_s:
            return math.inf, math.inf
        if self._stall_window[0] is math.inf or self._stall_window[1] <= now:
            start = now + self._rng.expovariate(1 / model.stall_every_s)
            min_ms, max_ms = model.min_stall_ms, model.max_stall_ms
            duration_s = self._rng.uniform(min_ms, max_ms) / 1000
            self._stall_window = (start, start + duration_s)
        return self._stall_window

    def _draw_work_time_s(self) -> float:
        """Draw the time of the work in seconds (log-normal)."""
        model = self._model
        mu = math.log(model.mean_ms / 1000) - model.sigma**2 / 2
        work_time_s = self._rng.lognormvariate(mu, model.sigma)
        if time.time() < self._collapsed_until:
            work_time_s *= COLLAPSE_SLOWDOWN
        return work_time_s + self.faults.get("slow_ms", 0.0) / 1000

    def _record_effect(self, request: Request) -> None:
        """Record the execution of an order or the digest of an upload."""
        if request.path.startswith("/orders") and request.method == "POST":
            key = request.headers.get("idempotency-key", "")
            self.runs[key] = self.runs.get(key, 0) + 1
        elif request.path.startswith("/photos"):
            digest = request.digest.hexdigest()
            self.uploads[request.path] = [request.length, digest]

    def _make_response(self, request: Request) -> Response:
        """Return a response that shows path, nonce and server name."""
        nonce = request.headers.get("nonce", "")
        size = int(request.headers.get("answer-bytes", "0"))
        body = f"{request.path} {nonce} {self._name}\n".encode()
        body += b"x" * size
        response = Response(200, self._make_status_headers(), body)
        response.chunked = request.headers.get("answer-chunked") == "1"
        if self.faults.get("cut_answers"):
            raise http.TruncateResponse(response, len(body) // 2)
        return response

    def _make_refusal(self, state: str) -> Response:
        """Return a response which says that the request was not run."""
        headers = self._make_status_headers()
        headers["Server-State"] = state
        return Response(503, headers)

    def _make_status_headers(self) -> dict[str, str]:
        """Return the header fields with the start identifier and load."""
        return {
            "Server-Start": self.start_id,
            "Server-Load": str(self._get_delayed_load()),
        }

    def _get_delayed_load(self) -> int:
        """Return the load as it was ``load_lag_s`` ago."""
        now = time.time()
        self._load_samples.append((now, self.in_flight))
        cutoff = now - self._model.load_lag_s
        while (
            len(self._load_samples) > 1 and self._load_samples[1][0] <= cutoff
        ):
            self._load_samples.pop(0)
        return self._load_samples[0][1]

    def _handle_internal(self, request: Request) -> Response:
        """Handle requests for control, record and load."""
        if request.path == "/.control":
            self._apply_control(orjson.loads(request.body))
        if request.path == "/.load":
            document = {
                "start": self.start_id,
                "load": self._get_delayed_load(),
                "slots": self._model.slots,
            }
            return Response(body=orjson.dumps(document))
        ledger = {
            "name": self._name,
            "runs": self.runs,
            "uploads": self.uploads,
            "most_while_cold": self.max_in_flight_cold,
            "most_in_flight": self.max_in_flight,
            "collapses": self.collapses,
            "served": self.served,
            "cold": self.is_cold,
            "last_new_work": self.last_request_at,
            "work_after_mark": self.requests_after_mark,
        }
        return Response(body=orjson.dumps(ledger))

    def _apply_control(self, document: dict[str, Any]) -> None:
        """Set faults and states from a control document."""
        self.faults.update(document.get("faults", {}))
        if "mark_in_s" in document:
            self.mark_at = time.time() + document["mark_in_s"]
        if document.get("drain"):
            self.is_draining = True
        if document.get("cold"):
            self.served = 0
        if document.get("restart"):
            self.restart()
        if document.get("reset_most"):
            self.max_in_flight_cold = 0
            self.max_in_flight = 0
