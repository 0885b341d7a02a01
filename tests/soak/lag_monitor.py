"""Detects when the machine of a run is short of processor time."""

from __future__ import annotations

import asyncio
import time

from tests.soak import records as records_module

CHECK_INTERVAL_S = 0.05
# Delay of a wake-up beyond which the event loop counts as short of processor
# time. The checks allow a whole request a lag of a few seconds, and a request
# takes about ten such waits.
MAX_WAKE_UP_DELAY_S = 0.2


class LagMonitor:
    """Records when the event loop of callers, servers and links lags."""

    def __init__(self, records: records_module.Records) -> None:
        """Initialize the monitor with the records that it adds to."""
        self._records = records
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start monitoring the running event loop."""
        self._task = asyncio.create_task(self._monitor())

    async def stop(self) -> None:
        """Stop monitoring the event loop."""
        if self._task is not None:
            self._task.cancel()

    async def _monitor(self) -> None:
        """Compare the due and the actual times of short sleeps."""
        while True:
            due_at = time.monotonic() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.record_wake_up(due_at, time.monotonic())

    def record_wake_up(self, due_at: float, woke_at: float) -> None:
        """Record a disruption of the machine if a wake-up came too late."""
        if woke_at - due_at > MAX_WAKE_UP_DELAY_S:
            disruption = records_module.Disruption(
                records_module.MACHINE, due_at, woke_at
            )
            self._records.disruptions.append(disruption)
