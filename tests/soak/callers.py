"""Callers of a soak's daemons, which keep their connections."""

from __future__ import annotations

import asyncio
import random
import time

from tarragonlift_lab import http
from tests.soak import records as records_module

# How long a caller waits for an answer, in seconds: beyond what the checks
# allow a daemon to hold a request.
PATIENCE_S = 4.5
CLOSE_SHARE = 0.1
PAUSE_MOST_S = 0.05
BODY = b"x" * 2000
# The time that a caller says it has, in milliseconds: beyond the routes'.
LEFT_MS = 2000

Sent = records_module.Sent


class Callers:
    """Send requests to daemons by their addresses."""

    def __init__(
        self, records: records_module.Records, addresses: dict[str, str]
    ) -> None:
        """Keep what is sent in the records."""
        self._records = records
        self._addresses = addresses
        self._number = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.until = 0.0

    async def begin(self, count: int, seed: float) -> None:
        """Let callers send until the time in ``until``."""
        for number in range(count):
            rng = random.Random(f"{seed}/{number}")
            task = asyncio.create_task(self._call_on(rng))
            self._tasks.append(task)

    async def finish(self) -> None:
        """Wait until every caller has its last answer."""
        await asyncio.gather(*self._tasks)

    async def ask_all(self, count: int) -> None:
        """Send some last requests to each daemon, one after the other."""
        for name in self._addresses:
            rng = random.Random(name)
            for _ in range(count):
                sent = self._new_request(rng, name)
                sent.final = True
                connection = await self._ask(None, sent)
                if connection is not None:
                    self._leave(connection, name)

    async def _call_on(self, rng: random.Random) -> None:
        """Send one request after the other, on kept connections."""
        connection: http.ClientProtocol | None = None
        name = ""
        while time.monotonic() < self.until:
            if connection is None:
                name = rng.choice(list(self._addresses))
            sent = self._new_request(rng, name)
            connection = await self._ask(connection, sent)
            if connection is not None and rng.random() < CLOSE_SHARE:
                self._leave(connection, name)
                connection = None
            await asyncio.sleep(rng.uniform(0.0, PAUSE_MOST_S))
        if connection is not None:
            self._leave(connection, name)

    async def _ask(
        self, connection: http.ClientProtocol | None, sent: Sent
    ) -> http.ClientProtocol | None:
        """Send a request; return the connection if it can be used again."""
        try:
            async with asyncio.timeout(PATIENCE_S):
                if connection is None:
                    address = self._addresses[sent.daemon]
                    connection = await http.connect(address)
                await exchange(connection, sent)
        except TimeoutError:
            # The caller gives up: no end of the request was seen.
            pass
        except OSError:
            sent.ended_at = time.monotonic()
        else:
            sent.ended_at = time.monotonic()
        if connection is None:
            return None
        if sent.status and connection.is_reusable:
            return connection
        self._leave(connection, sent.daemon)
        return None

    def _leave(self, connection: http.ClientProtocol, name: str) -> None:
        """Close a connection; keep what came on it unasked."""
        connection.close()
        if connection.unsolicited_successes:
            text = f"{name} sent {connection.unasked} successes unasked"
            self._records.unasked.append(text)

    def _new_request(self, rng: random.Random, daemon: str) -> Sent:
        """Return the next request."""
        self._number += 1
        kind = rng.choice(("look", "look", "order", "upload"))
        sent = Sent(
            f"r-{self._number}",
            f"/{kind}/{self._number}",
            kind == "look",
            daemon,
            time.monotonic(),
        )
        self._records.sent.append(sent)
        return sent


async def exchange(connection: http.ClientProtocol, sent: Sent) -> None:
    """Send a request and keep what comes of its answer."""
    body = b"" if sent.idempotent else BODY
    method = "GET" if sent.idempotent else "POST"
    headers = {
        "X-Request-Id": sent.request_id,
        "X-Request-Deadline": str(LEFT_MS),
    }
    data = http.encode_request(
        method, sent.path, "shop.example", headers, body
    )
    sent.written = True
    answer = await connection.request(data)
    sent.answered = bool(answer.status)
    if answer.is_complete:
        sent.status = answer.status
        sent.body = answer.body
