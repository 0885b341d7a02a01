"""Writes log lines without blocking the event loop."""

from __future__ import annotations

import collections
import os
from typing import Any

import orjson

MAX_QUEUED_LINES = 2000
MAX_WRITE_BYTES = 65536


class LogWriter:
    """A bounded queue of log lines for a file descriptor.

    Lines are dropped and counted while the queue is full. The count is logged
    once the queue is empty again.
    """

    def __init__(self, fileno: int) -> None:
        """Initialize the writer and make the descriptor non-blocking."""
        os.set_blocking(fileno, False)
        self._fileno = fileno
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self._dropped = 0
        self.dropped_total = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue an eliot message, or drop it if the queue is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped += 1
            self.dropped_total += 1
            return
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        line = orjson.dumps(message, default=str)
        self._lines.append(line + b"\n")

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        if self._dropped and not self._lines:
            note = {"message_type": "logs_dropped", "lines": self._dropped}
            self._lines.append(orjson.dumps(note) + b"\n")
            self._dropped = 0
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._dequeue()
            try:
                written = os.write(self._fileno, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader of the logs is gone; the lines count as dropped.
                self.dropped_total += 1 + len(self._lines)
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _dequeue(self) -> bytes:
        """Remove and return queued lines, about ``MAX_WRITE_BYTES`` long."""
        lines = []
        size = 0
        while self._lines and size < MAX_WRITE_BYTES:
            line = self._lines.popleft()
            lines.append(line)
            size += len(line)
        return b"".join(lines)
