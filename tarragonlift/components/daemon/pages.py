"""The paths that tarragonlift itself answers to callers."""

from __future__ import annotations

from collections import abc

import orjson

from tarragonlift.components.data_path import caller
from tarragonlift.components.data_path import server
from tarragonlift import const

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503


class Pages(server.OwnPages):
    """Tells whether the daemon lives and takes callers."""

    def __init__(self, is_ready: abc.Callable[[], bool]) -> None:
        """Ask this function whether callers should come."""
        self._is_ready = is_ready

    def answer(
        self, head: caller.RequestHead, body: bytes
    ) -> tuple[int, bytes]:
        """Return the status and a JSON body."""
        path = head.target.partition(b"?")[0].decode("latin-1")
        if path == const.PATH_LIVE:
            return STATUS_OK, orjson.dumps({"live": True})
        if path == const.PATH_READY:
            ready = self._is_ready()
            status = STATUS_OK if ready else STATUS_UNAVAILABLE
            return status, orjson.dumps({"ready": ready})
        return STATUS_NOT_FOUND, orjson.dumps({"error": "NoSuchPage"})
