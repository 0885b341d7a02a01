"""Writes log lines without ever blocking the loop."""

from __future__ import annotations

import collections
import os
from typing import Any

import orjson

LINES_MOST = 2000
WRITE_BYTES_MOST = 65536


class LogWriter:
    """A bounded queue of lines before a file descriptor.

    Lines that find the queue full are dropped and counted; the count is
    logged once there is room again.
    """

    def __init__(self, fileno: int) -> None:
        """Write to this descriptor, made non-blocking."""
        os.set_blocking(fileno, False)
        self._fileno = fileno
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b""
        self._dropped = 0
        self.dropped_total = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Take a message of eliot."""
        if len(self._lines) >= LINES_MOST:
            self._dropped += 1
            self.dropped_total += 1
            return
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        line = orjson.dumps(message, default=str)
        self._lines.append(line + b"\n")

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        if self._dropped and not self._lines:
            note = {"message_type": "logs_dropped", "lines": self._dropped}
            self._lines.append(orjson.dumps(note) + b"\n")
            self._dropped = 0
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._take()
            try:
                written = os.write(self._fileno, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the logs any more: the lines count as dropped.
                self.dropped_total += 1 + len(self._lines)
                self._lines.clear()
                self._rest = b""
                return
            self._rest = self._rest[written:]

    def _take(self) -> bytes:
        """Return some lines joined."""
        taken = []
        size = 0
        while self._lines and size < WRITE_BYTES_MOST:
            line = self._lines.popleft()
            taken.append(line)
            size += len(line)
        return b"".join(taken)
