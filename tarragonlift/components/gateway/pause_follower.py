"""Tells other daemons which servers asked for a pause, and hears of others'.

A server asks only the daemon that it turns away. The others would each spend
an extra call to be told the same; they avoid it instead, for a bounded time.
Notices go to the daemons of the data centre and to relays elsewhere. A lost
one costs its receiver a call; none is repeated.
"""

from __future__ import annotations

from collections import abc
import math

from tarragonlift.components.gateway import broadcast
from tarragonlift.components.gateway import peer_messages
from tarragonlift.components import logs
from tarragonlift.core.fleet import const
from tarragonlift.core.fleet import registry as registry_module
from tarragonlift.core.fleet import server as server_module
from tarragonlift.core import interfaces

FleetServer = server_module.FleetServer


class PauseFollower(broadcast.Broadcaster):
    """Announces pauses, few times a second, and applies those of others."""

    def __init__(
        self, loop: interfaces.Loop, registry: registry_module.Registry
    ) -> None:
        """Initialize the follower; set the senders next."""
        super().__init__()
        self._loop = loop
        self._registry = registry
        self._due: set[FleetServer] = set()
        self._announced_at = -math.inf

    def on_pause(self, server: FleetServer) -> None:
        """Tell of a pause that this daemon was asked for, unless just told."""
        now = self._loop.now()
        interval_s = const.SERVER_PAUSE_NOTICE_INTERVAL_S
        if now - server.pause_told_at < interval_s:
            return
        server.pause_told_at = now
        self._due.add(server)
        self.tick(now)

    def tick(self, now: float) -> None:
        """Announce what has waited."""
        if not self._due:
            return
        if now - self._announced_at < const.PAUSE_NOTICE_INTERVAL_S:
            return
        self._announced_at = now
        due, self._due = self._due, set()
        for notice in _make_notices(due, now):
            self._broadcast(notice)

    def on_notice(self, notice: peer_messages.PauseNotice) -> None:
        """Avoid the servers that asked another daemon for a pause."""
        self._pass_on(notice)
        now = self._loop.now()
        for pause in notice.pauses:
            server = self._registry.get(pause.start.server_id)
            if server is not None and server.start == pause.start:
                server.record_told_pause(pause.left_s, now)
                self._due.discard(server)
                logs.log_status(
                    "server",
                    server=server.server_id,
                    avoided_s=round(server.pause_told_until - now, 3),
                )

    def make_notices(self) -> list[peer_messages.PauseNotice]:
        """Return notices of all pauses known, for a daemon that starts."""
        return _make_notices(self._registry.servers, self._loop.now())


def _make_notices(
    servers: abc.Iterable[FleetServer], now: float
) -> list[peer_messages.PauseNotice]:
    """Return notices of the pauses of these servers, each a datagram."""
    pauses = [
        peer_messages.StatedPause(server.start, until - now)
        for server in servers
        if (until := max(server.paused_until, server.pause_told_until)) > now
    ]
    size = const.MAX_NOTICE_PAUSES
    return [
        peer_messages.PauseNotice(tuple(pauses[start : start + size]))
        for start in range(0, len(pauses), size)
    ]
