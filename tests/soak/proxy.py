"""A proxy on loopback that harms what passes through it."""

from __future__ import annotations

import asyncio
import contextlib

from tests.platform import standin

UP = "up"
DOWN = "down"
READ_BYTES = 65536
# How often a held direction looks whether it may go on, in seconds.
HELD_POLL_S = 0.02


class Proxy(standin.Server):
    """Passes bytes on between its callers and one address."""

    def __init__(self, target: str) -> None:
        """Harm nothing until told to."""
        self.target = target
        self.delay_s = 0.0
        # Directions in which bytes wait, as behind a link that loses all.
        self.held: frozenset[str] = frozenset()
        self._writers: set[asyncio.StreamWriter] = set()

    async def reset(self) -> None:
        """Reset every connection that is open now."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect a caller with the target until one of them closes."""
        host, _, port = self.target.rpartition(":")
        try:
            far = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far[1]}
        try:
            await asyncio.gather(
                self._pump(UP, reader, far[1]),
                self._pump(DOWN, far[0], writer),
            )
        except asyncio.CancelledError:
            # The stand-ins end: nothing is passed on any more.
            writer.transport.abort()
        finally:
            self._writers -= {writer, far[1]}

    async def _pump(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Pass bytes on in one direction, and how they end."""
        try:
            while data := await reader.read(READ_BYTES):
                await self._wait(direction)
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
            return
        await self._wait(direction)
        with contextlib.suppress(OSError):
            writer.close()

    async def _wait(self, direction: str) -> None:
        """Wait as long as the link is slow or loses everything."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        while direction in self.held:
            await asyncio.sleep(HELD_POLL_S)
