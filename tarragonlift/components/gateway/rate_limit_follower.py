"""Follows the rate limits that servers state, and tells other daemons.

A server states its limit to whoever asks it, but the owners of a limited
server are to know it, and all others to send nothing, before each of them has
tried. Notices go to the daemons of the data centre and to relays elsewhere;
they carry the age of the server's response, so that none of them is taken for
a newer one and a limit that no response confirms ends everywhere.
"""

from __future__ import annotations

from collections import abc
import math

from tarragonlift.components.gateway import broadcast
from tarragonlift.components.gateway import peer_messages
from tarragonlift.components import logs
from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import rate_limit
from tarragonlift.core.fleet import registry as registry_module
from tarragonlift.core.fleet import server as server_module
from tarragonlift.core import interfaces

FleetServer = server_module.FleetServer


class RateLimitFollower(broadcast.Broadcaster):
    """Records limits, announces them and checks whether they have ended."""

    def __init__(
        self, loop: interfaces.Loop, registry: registry_module.Registry
    ) -> None:
        """Initialize the follower; set the senders and ``check`` next."""
        super().__init__()
        self._loop = loop
        self._registry = registry
        # Servers with a limit, or whose end is still to be announced.
        self._limited: set[FleetServer] = set()
        # How many notices of a server are still to be sent.
        self._due_notices: dict[FleetServer, int] = {}
        self._announced_at: dict[FleetServer, float] = {}
        self._checked_at = -math.inf
        # Sends a health check to a server.
        self.check: abc.Callable[[FleetServer], None] = _ignore

    @property
    def limited_count(self) -> int:
        """Return how many servers have a limit now."""
        now = self._loop.now()
        return sum(server.rate_limit.applies(now) for server in self._limited)

    def on_response(
        self, server: FleetServer, per_s: float, in_health: bool
    ) -> bool:
        """Record the limit in a response; return whether it changed.

        ``per_s`` is in requests per second, infinite if none was stated.
        ``in_health`` is True for the response to a health check.
        """
        if per_s == math.inf and not server.rate_limit.is_limited:
            return False
        now = self._loop.now()
        limit = server.rate_limit.observe(per_s, in_health, now)
        changed = self._set(server, limit, in_health=in_health)
        announced_at = self._announced_at.get(server, -math.inf)
        renew_at = announced_at + const.RATE_LIMIT_NOTICE_INTERVAL_S
        if changed:
            self._due_notices[server] = const.RATE_LIMIT_CHANGE_NOTICES
        elif limit.is_limited and now >= renew_at:
            self._due_notices.setdefault(server, 1)
        self._announce(now)
        return changed

    def on_notice(self, notice: peer_messages.RateLimitNotice) -> None:
        """Apply what other daemons were told, unless it is known better."""
        self._pass_on(notice)
        now = self._loop.now()
        for stated in notice.limits:
            server = self._registry.get(stated.server_id)
            if server is None or server.entry.started_ms != stated.started_ms:
                continue
            limit = rate_limit.RateLimit(
                stated.per_s, now - stated.age_s, stated.in_health
            )
            if limit.observed_at > server.rate_limit.observed_at:
                self._set(server, limit, told=True)
                self._due_notices.pop(server, None)
                if server in self._limited:
                    self._announced_at[server] = now

    def make_notices(self) -> list[peer_messages.RateLimitNotice]:
        """Return notices of all limits, for a daemon that starts."""
        now = self._loop.now()
        return _make_notices(
            [
                server
                for server in self._limited
                if server.rate_limit.applies(now)
            ],
            now,
        )

    def tick(self, now: float) -> None:
        """Announce what has waited, drop old limits, check for ends."""
        if not self._limited:
            return
        self._announce(now)
        if now - self._checked_at < const.RATE_LIMIT_CHECK_INTERVAL_S:
            return
        self._checked_at = now
        for server in list(self._limited):
            if server.is_gone or not (
                server.rate_limit.applies(now) or server in self._due_notices
            ):
                self._forget(server)
            elif (
                server.rate_limit.in_health
                and server.takes_requests(now)
                and self._registry.is_first_owner(server, now)
            ):
                self.check(server)

    def _set(
        self,
        server: FleetServer,
        limit: rate_limit.RateLimit,
        **facts: object,
    ) -> bool:
        """Set and log a server's limit; return whether it changed."""
        if not self._registry.set_rate_limit(server, limit, self._loop.now()):
            return False
        self._limited.add(server)
        logs.log_status(
            "server",
            server=server.server_id,
            rate_limit=limit.per_s if limit.is_limited else None,
            **facts,
        )
        return True

    def _announce(self, now: float) -> None:
        """Tell the others of changes, not too often of the same server."""
        due = [
            server
            for server in self._due_notices
            if now - self._announced_at.get(server, -math.inf)
            >= const.MIN_RATE_LIMIT_NOTICE_INTERVAL_S
        ]
        if not due:
            return
        for server in due:
            self._announced_at[server] = now
            self._due_notices[server] -= 1
            if not self._due_notices[server]:
                del self._due_notices[server]
        for notice in _make_notices(due, now):
            self._broadcast(notice)

    def _forget(self, server: FleetServer) -> None:
        """Forget a server without a limit."""
        self._limited.discard(server)
        self._due_notices.pop(server, None)
        self._announced_at.pop(server, None)


def _make_notices(
    servers: list[FleetServer], now: float
) -> list[peer_messages.RateLimitNotice]:
    """Return notices of the limits of these servers, each a datagram."""
    limits = [
        peer_messages.StatedLimit(
            server.server_id,
            server.entry.started_ms,
            server.rate_limit.per_s,
            max(0.0, now - server.rate_limit.observed_at),
            server.rate_limit.in_health,
        )
        for server in servers
    ]
    size = const.MAX_NOTICE_RATE_LIMITS
    return [
        peer_messages.RateLimitNotice(tuple(limits[start : start + size]))
        for start in range(0, len(limits), size)
    ]


def _ignore(server: FleetServer) -> None:
    """Ignore the server; used until a check is set."""
