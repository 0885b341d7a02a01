"""Requests that seem to crash the servers that run them.

A request is suspected when a connection dies with it in flight. Daemons tell
one another each such crash, so that a request which comes again elsewhere is
held back after a few crashes in all. An answer clears the request.
"""

from __future__ import annotations

import collections

import attrs

from tarragonlift.core.fleet import const


@attrs.define
class _Suspect:
    """The crashes of one request."""

    crashes: int = 0
    seen_at: float = 0.0


class CrashTracker:
    """Counts crashes by the fingerprint of the request."""

    def __init__(self) -> None:
        """Suspect nothing."""
        self._suspects: collections.OrderedDict[str, _Suspect] = (
            collections.OrderedDict()
        )

    def record_crash(self, fingerprint: str, now: float) -> int:
        """Count a crash; return the crashes in all."""
        suspect = self._suspects.pop(fingerprint, None) or _Suspect()
        if now - suspect.seen_at > const.SUSPECT_TTL_S:
            suspect.crashes = 0
        suspect.crashes += 1
        suspect.seen_at = now
        self._suspects[fingerprint] = suspect
        while len(self._suspects) > const.MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect.crashes

    def clear(self, fingerprint: str) -> bool:
        """Forget a request that was answered; return whether it was known."""
        return self._suspects.pop(fingerprint, None) is not None

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Return whether the request must not be sent."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or now - suspect.seen_at > const.SUSPECT_TTL_S:
            return False
        return suspect.crashes >= const.MAX_CRASHES
