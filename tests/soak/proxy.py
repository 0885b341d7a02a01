"""A loopback proxy that injects faults into the connections through it."""

from __future__ import annotations

import asyncio
import contextlib

from tests.platform import standin

UPSTREAM = "up"
DOWNSTREAM = "down"
READ_BYTES = 65536
BLOCKED_POLL_INTERVAL_S = 0.02


class Proxy(standin.Server):
    """Forwards bytes between its callers and one target address."""

    def __init__(self, target: str) -> None:
        """Initialize a proxy without faults."""
        self.target = target
        self.delay_s = 0.0
        # Directions in which bytes are held back, as on a link that drops
        # all packets.
        self.blocked: frozenset[str] = frozenset()
        self._writers: set[asyncio.StreamWriter] = set()

    async def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect a caller with the target until one of them closes."""
        host, _, port = self.target.rpartition(":")
        try:
            target_streams = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_streams[1]}
        try:
            await asyncio.gather(
                self._forward(UPSTREAM, reader, target_streams[1]),
                self._forward(DOWNSTREAM, target_streams[0], writer),
            )
        except asyncio.CancelledError:
            # The stand-ins are closing: forward nothing more.
            writer.transport.abort()
        finally:
            self._writers -= {writer, target_streams[1]}

    async def _forward(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward the bytes of one direction, then its close or reset."""
        try:
            while data := await reader.read(READ_BYTES):
                await self._wait_for_link(direction)
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
            return
        await self._wait_for_link(direction)
        with contextlib.suppress(OSError):
            writer.close()

    async def _wait_for_link(self, direction: str) -> None:
        """Wait for the link's delay and while the direction is blocked."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        while direction in self.blocked:
            await asyncio.sleep(BLOCKED_POLL_INTERVAL_S)
