"""A stand-in for a backend server: slots, cold start, drain, shed, faults.

A request needs one of a few slots; those that find none wait in line. A cold
server bears a few requests at once; each request served lets it bear more. A
cold server with more than it bears collapses: it is slow for a while and
sheds. Noisy neighbours stall it for 5 to 200 ms.
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

COLLAPSE_SECONDS = 1.0
COLLAPSE_SLOWDOWN = 10.0


@attrs.define
class Model:
    """How a backend server behaves."""

    slots: int = 6
    mean_ms: float = 5.0
    sigma: float = 0.5
    cold_bears: int = 2
    warm_after: int = 40
    line: int = 200
    stall_every_s: float = 0.0
    stall_ms_least: float = 5.0
    stall_ms_most: float = 200.0
    load_lag_s: float = 0.5
    starts_warm: bool = False


class BackendServer:
    """One stand-in server with its state and its ledger."""

    def __init__(self, name: str, model: Model, seed: int) -> None:
        """Start cold."""
        self._name = name
        self._model = model
        self._rng = random.Random(seed)
        self._free = model.slots
        self._line: list[asyncio.Future[None]] = []
        self._stall = (math.inf, math.inf)
        self._collapsed_until = 0.0
        self._reports: list[tuple[float, int]] = []
        self.start_id = ""
        self.in_flight = 0
        self.served = 0
        self.most_while_cold = 0
        self.most_in_flight = 0
        self.collapses = 0
        self.draining = False
        self.last_new_work = 0.0
        self.work_after_mark = 0
        self.marked_at = math.inf
        self.faults: dict[str, float] = {}
        self.runs: dict[str, int] = {}
        self.uploads: dict[str, list[Any]] = {}
        self.restart()

    @property
    def bears(self) -> int:
        """Return how many requests at once it bears now."""
        model = self._model
        if self.served >= model.warm_after:
            return model.line
        extra = (model.slots - model.cold_bears) * self.served
        return model.cold_bears + extra // model.warm_after

    @property
    def cold(self) -> bool:
        """Return whether it is not warm yet."""
        return self.served < self._model.warm_after

    def restart(self) -> None:
        """Take a new start identifier and become cold."""
        self.start_id = f"{self._name}-{self._rng.getrandbits(32):08x}"
        self.served = self._model.warm_after if self._model.starts_warm else 0
        self.draining = False

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        if request.path.startswith("/."):
            return self._own(request)
        now = time.time()
        self.last_new_work = now
        if now > self.marked_at:
            self.work_after_mark += 1
        if self.draining:
            return self._refuse("draining")
        if self.faults.get("crash"):
            raise http.Drop()
        self.in_flight += 1
        try:
            return await self._work(request)
        finally:
            self.in_flight -= 1

    async def _work(self, request: Request) -> Response:
        """Wait for a slot, take the time, and answer."""
        self._count()
        if len(self._line) >= self._model.line:
            return self._refuse("shed")
        if time.time() < self._collapsed_until and self.in_flight > 1:
            return self._refuse("shed")
        await self._enter()
        try:
            self._run(request)
            await self._take_time()
            if self.faults.get("die_in_work"):
                raise http.Drop()
        finally:
            self._leave()
        self.served += 1
        return self._answer(request)

    def _count(self) -> None:
        """Keep the most requests seen; collapse where it is too much."""
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        if not self.cold:
            return
        self.most_while_cold = max(self.most_while_cold, self.in_flight)
        if self.in_flight > self.bears:
            self.collapses += 1
            self.served = 0
            self._collapsed_until = time.time() + COLLAPSE_SECONDS

    async def _enter(self) -> None:
        """Take a slot."""
        if self._free > 0:
            self._free -= 1
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._line.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self._line:
                self._line.remove(turn)
            elif turn.done() and not turn.cancelled():
                self._leave()
            raise

    def _leave(self) -> None:
        """Give a slot to the next in line."""
        while self._line:
            turn = self._line.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self._free += 1

    async def _take_time(self) -> None:
        """Take the time of the work; a stall stops all work meanwhile."""
        left = self._seconds()
        while left > 0:
            now = time.time()
            start, end = self._next_stall(now)
            if start <= now:
                await asyncio.sleep(end - now)
                continue
            await asyncio.sleep(min(left, start - now))
            left -= time.time() - now

    def _next_stall(self, now: float) -> tuple[float, float]:
        """Return when the present or next stall begins and ends."""
        model = self._model
        if not model.stall_every_s:
            return math.inf, math.inf
        if self._stall[0] is math.inf or self._stall[1] <= now:
            start = now + self._rng.expovariate(1 / model.stall_every_s)
            least, most = model.stall_ms_least, model.stall_ms_most
            length = self._rng.uniform(least, most) / 1000
            self._stall = (start, start + length)
        return self._stall

    def _seconds(self) -> float:
        """Return how long the work takes."""
        model = self._model
        mu = math.log(model.mean_ms / 1000) - model.sigma**2 / 2
        seconds = self._rng.lognormvariate(mu, model.sigma)
        if time.time() < self._collapsed_until:
            seconds *= COLLAPSE_SLOWDOWN
        return seconds + self.faults.get("slow_ms", 0.0) / 1000

    def _run(self, request: Request) -> None:
        """Do what the request asks, and keep it in the ledger."""
        if request.path.startswith("/orders") and request.method == "POST":
            key = request.headers.get("idempotency-key", "")
            self.runs[key] = self.runs.get(key, 0) + 1
        elif request.path.startswith("/photos"):
            digest = request.digest.hexdigest()
            self.uploads[request.path] = [request.length, digest]

    def _answer(self, request: Request) -> Response:
        """Return the answer: it shows whose it is."""
        nonce = request.headers.get("nonce", "")
        size = int(request.headers.get("answer-bytes", "0"))
        body = f"{request.path} {nonce} {self._name}\n".encode()
        body += b"x" * size
        response = Response(200, self._headers(), body)
        response.chunked = request.headers.get("answer-chunked") == "1"
        if self.faults.get("cut_answers"):
            raise http.CutShort(response, len(body) // 2)
        return response

    def _refuse(self, state: str) -> Response:
        """Say that the request was not run."""
        headers = self._headers()
        headers["Server-State"] = state
        return Response(503, headers)

    def _headers(self) -> dict[str, str]:
        """Return what the server says of itself."""
        return {
            "Server-Start": self.start_id,
            "Server-Load": str(self._lagging_load()),
        }

    def _lagging_load(self) -> int:
        """Return the load as it was a while ago."""
        now = time.time()
        self._reports.append((now, self.in_flight))
        old = now - self._model.load_lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= old:
            self._reports.pop(0)
        return self._reports[0][1]

    def _own(self, request: Request) -> Response:
        """Answer control, ledger and load."""
        if request.path == "/.control":
            self._control(orjson.loads(request.body))
        if request.path == "/.load":
            document = {
                "start": self.start_id,
                "load": self._lagging_load(),
                "slots": self._model.slots,
            }
            return Response(body=orjson.dumps(document))
        ledger = {
            "name": self._name,
            "runs": self.runs,
            "uploads": self.uploads,
            "most_while_cold": self.most_while_cold,
            "most_in_flight": self.most_in_flight,
            "collapses": self.collapses,
            "served": self.served,
            "cold": self.cold,
            "last_new_work": self.last_new_work,
            "work_after_mark": self.work_after_mark,
        }
        return Response(body=orjson.dumps(ledger))

    def _control(self, document: dict[str, Any]) -> None:
        """Set faults and states."""
        self.faults.update(document.get("faults", {}))
        if "mark_in_s" in document:
            self.marked_at = time.time() + document["mark_in_s"]
        if document.get("drain"):
            self.draining = True
        if document.get("cold"):
            self.served = 0
        if document.get("restart"):
            self.restart()
        if document.get("reset_most"):
            self.most_while_cold = 0
            self.most_in_flight = 0
