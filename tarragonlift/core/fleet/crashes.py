"""Tracks requests that may crash the servers that run them.

A request is suspected when its connection breaks before an answer. Daemons
report each such crash to one another, so that a retry at any daemon is held
back after a few crashes in total. An answer clears the request.
"""

from __future__ import annotations

import collections

import attrs

from tarragonlift.core.fleet import const


@attrs.define
class _SuspectedRequest:
    """The crashes of one request."""

    crashes: int = 0
    last_crash_at: float = 0.0


class CrashTracker:
    """Counts crashes by request fingerprint."""

    def __init__(self) -> None:
        """Initialize the tracker without suspected requests."""
        self._suspects: collections.OrderedDict[str, _SuspectedRequest] = (
            collections.OrderedDict()
        )

    def record_crash(self, fingerprint: str, now: float) -> int:
        """Record a crash and return the number of crashes of the request."""
        suspect = self._suspects.pop(fingerprint, None) or _SuspectedRequest()
        if now - suspect.last_crash_at > const.SUSPECT_TTL_S:
            suspect.crashes = 0
        suspect.crashes += 1
        suspect.last_crash_at = now
        self._suspects[fingerprint] = suspect
        while len(self._suspects) > const.MAX_SUSPECTED_REQUESTS:
            self._suspects.popitem(last=False)
        return suspect.crashes

    def clear(self, fingerprint: str) -> bool:
        """Remove an answered request; return whether it was suspected."""
        return self._suspects.pop(fingerprint, None) is not None

    def is_held(self, fingerprint: str, now: float) -> bool:
        """Return whether the request is held back from all servers."""
        suspect = self._suspects.get(fingerprint)
        if (
            suspect is None
            or now - suspect.last_crash_at > const.SUSPECT_TTL_S
        ):
            return False
        return suspect.crashes >= const.MAX_CRASHES
