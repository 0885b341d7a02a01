"""Callers of a soak's daemons, which keep their connections."""

from __future__ import annotations

import asyncio
import random
import time

from tests.soak import records as records_module

# How long a caller waits for an answer, in seconds: beyond what the checks
# allow a daemon to hold a request.
PATIENCE_S = 4.5
CLOSE_SHARE = 0.1
PAUSE_MOST_S = 0.05
BODY = b"x" * 2000

Sent = records_module.Sent
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


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
                streams = await self._ask(None, sent)
                if streams is not None:
                    streams[1].close()

    async def _call_on(self, rng: random.Random) -> None:
        """Send one request after the other, on kept connections."""
        streams: Streams | None = None
        name = ""
        while time.monotonic() < self.until:
            if streams is None:
                name = rng.choice(list(self._addresses))
            sent = self._new_request(rng, name)
            streams = await self._ask(streams, sent)
            if streams is not None and rng.random() < CLOSE_SHARE:
                streams[1].close()
                streams = None
            await asyncio.sleep(rng.uniform(0.0, PAUSE_MOST_S))
        if streams is not None:
            streams[1].close()

    async def _ask(
        self, streams: Streams | None, sent: Sent
    ) -> Streams | None:
        """Send a request; return the connection if it can be used again."""
        try:
            async with asyncio.timeout(PATIENCE_S):
                if streams is None:
                    address = self._addresses[sent.daemon]
                    host, _, port = address.rpartition(":")
                    streams = await asyncio.open_connection(host, int(port))
                keeps = await exchange(streams, sent)
        except (OSError, EOFError, TimeoutError) as error:
            if not isinstance(error, TimeoutError):
                sent.ended_at = time.monotonic()
            if streams is not None:
                streams[1].close()
            return None
        sent.ended_at = time.monotonic()
        if not keeps:
            streams[1].close()
            return None
        return streams

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


async def exchange(streams: Streams, sent: Sent) -> bool:
    """Send a request, read its answer; return whether more may follow."""
    reader, writer = streams
    body = b"" if sent.idempotent else BODY
    method = "GET" if sent.idempotent else "POST"
    head = (
        f"{method} {sent.path} HTTP/1.1\r\nHost: shop.example\r\n"
        f"X-Request-Id: {sent.request_id}\r\nX-Request-Deadline: 2000\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    await writer.drain()
    sent.written = True
    first = await reader.readexactly(1)
    sent.answered = True
    text = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    fields = {}
    for line in text.rstrip("\r\n").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    if "content-length" in fields:
        sent.body = await reader.readexactly(int(fields["content-length"]))
    else:
        sent.body = await read_chunks(reader)
    sent.status = int(text.split(" ")[1])
    return fields.get("connection", "").lower() != "close"


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return the body of an answer whose length was not known at first."""
    body = b""
    while length := int(await reader.readline(), 16):
        body += await reader.readexactly(length)
        await reader.readline()
    await reader.readline()
    return body
