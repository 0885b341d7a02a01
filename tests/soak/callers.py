"""Callers that send requests to the daemons on persistent connections."""

from __future__ import annotations

import asyncio
import random
import time

from tarragonlift_lab import http
from tests.soak import records as records_module

# Time in seconds that a caller waits for a response: longer than the checks
# allow a daemon to hold a request.
CALLER_TIMEOUT_S = 4.5
# Share of the responses after which a caller closes its connection.
CLOSE_SHARE = 0.1
MAX_PAUSE_S = 0.05
BODY = b"x" * 2000
# Remaining time in milliseconds that a caller states in its requests: longer
# than the timeouts of the routes.
DEADLINE_MS = 2000

SentRequest = records_module.SentRequest


class CallerPool:
    """Concurrent callers of a set of daemons."""

    def __init__(
        self, records: records_module.Records, addresses: dict[str, str]
    ) -> None:
        """Initialize the pool with the addresses by daemon name."""
        self._records = records
        self._addresses = addresses
        self._last_number = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.stop_at = 0.0

    async def start(self, count: int, seed: float) -> None:
        """Start callers that send requests until ``stop_at``."""
        for number in range(count):
            rng = random.Random(f"{seed}/{number}")
            task = asyncio.create_task(self._run_caller(rng))
            self._tasks.append(task)

    async def wait_until_finished(self) -> None:
        """Wait until every caller has finished its last request."""
        await asyncio.gather(*self._tasks)

    async def send_final_requests(self, count: int) -> None:
        """Send the final requests to each daemon, one at a time."""
        for name in self._addresses:
            rng = random.Random(name)
            for _ in range(count):
                request = self._create_request(rng, name)
                request.is_final = True
                connection = await self._send_request(None, request)
                if connection is not None:
                    self._close_connection(connection, name)

    async def _run_caller(self, rng: random.Random) -> None:
        """Send requests one at a time, reusing the connection."""
        connection: http.ClientProtocol | None = None
        name = ""
        while time.monotonic() < self.stop_at:
            if connection is None:
                name = rng.choice(list(self._addresses))
            request = self._create_request(rng, name)
            connection = await self._send_request(connection, request)
            if connection is not None and rng.random() < CLOSE_SHARE:
                self._close_connection(connection, name)
                connection = None
            await asyncio.sleep(rng.uniform(0.0, MAX_PAUSE_S))
        if connection is not None:
            self._close_connection(connection, name)

    async def _send_request(
        self, connection: http.ClientProtocol | None, request: SentRequest
    ) -> http.ClientProtocol | None:
        """Send a request and return the connection if it is reusable."""
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                if connection is None:
                    address = self._addresses[request.daemon]
                    connection = await http.connect(address)
                await exchange(connection, request)
        except TimeoutError:
            # The caller gives up without having seen an end of the request.
            pass
        except OSError:
            request.ended_at = time.monotonic()
        else:
            request.ended_at = time.monotonic()
        if connection is None:
            return None
        if request.status and connection.is_reusable:
            return connection
        self._close_connection(connection, request.daemon)
        return None

    def _close_connection(
        self, connection: http.ClientProtocol, name: str
    ) -> None:
        """Close a connection and record its unsolicited successes."""
        connection.close()
        if connection.unsolicited_successes:
            text = (
                f"{name} sent {connection.unsolicited_successes}"
                " successes unasked"
            )
            self._records.unsolicited_successes.append(text)

    def _create_request(self, rng: random.Random, daemon: str) -> SentRequest:
        """Create and record the next request to a daemon."""
        self._last_number += 1
        kind = rng.choice(("look", "look", "order", "upload"))
        request = SentRequest(
            f"r-{self._last_number}",
            f"/{kind}/{self._last_number}",
            kind == "look",
            daemon,
            time.monotonic(),
        )
        self._records.requests.append(request)
        return request


async def exchange(
    connection: http.ClientProtocol, request: SentRequest
) -> None:
    """Send a request and record its response."""
    body = b"" if request.is_idempotent else BODY
    method = "GET" if request.is_idempotent else "POST"
    headers = {
        "X-Request-Id": request.request_id,
        "X-Request-Deadline": str(DEADLINE_MS),
    }
    data = http.encode_request(
        method, request.path, "shop.example", headers, body
    )
    request.is_written = True
    response = await connection.request(data)
    request.has_response_bytes = bool(response.status)
    if response.is_complete:
        request.status = response.status
        request.body = response.body
