"""Accepts callers' requests and forwards them to a listed fleet's servers."""

from __future__ import annotations

from collections import abc
import math
import time

from tarragonlift.components.data_path import caller
from tarragonlift.components.data_path import callers
from tarragonlift.components.data_path import client
from tarragonlift.components.data_path import connections
from tarragonlift.components.data_path import internal_responses
from tarragonlift.components.data_path import messages
from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.gateway import const
from tarragonlift.components.gateway import dialect as dialect_module
from tarragonlift.components.gateway import exchange as exchange_module
from tarragonlift.components.gateway import exchange_owner
from tarragonlift.components.gateway import prober as prober_module
from tarragonlift.components import logs
from tarragonlift.components.metrics import recorder
from tarragonlift.core import actions
from tarragonlift.core import const as core_const
from tarragonlift.core.fleet import delivery as delivery_module
from tarragonlift.core.fleet import fleet as fleet_module
from tarragonlift.core.fleet import refusals
from tarragonlift.core.fleet import server as server_module
from tarragonlift.core import models
from tarragonlift import exceptions

Exchange = exchange_module.Exchange
# Takes the server, its limit per second and whether a health check stated it;
# returns whether the limit changed.
RateLimitCallback = abc.Callable[
    [server_module.FleetServer, float, bool], bool
]
PauseCallback = abc.Callable[[server_module.FleetServer], None]


class Gateway(exchange_owner.ExchangeOwner, caller.RequestAcceptor):
    """Accepts requests and runs one exchange for each."""

    def __init__(
        self,
        poller: poller_module.DataPoller,
        fleet: fleet_module.Fleet,
        dialect: dialect_module.Dialect,
        metrics: recorder.Recorder,
    ) -> None:
        """Initialize the gateway; ``listen`` opens the listener."""
        self.dialect = dialect
        self._poller = poller
        self._fleet = fleet
        self._metrics = metrics
        self._callers = callers.CallerSet(poller, self, lambda: fleet.limits)
        self._exchanges: set[Exchange] = set()
        self._pool = connections.ConnectionPool(poller, _ignore)
        self._prober = prober_module.Prober(
            poller,
            self._pool,
            fleet.registry,
            dialect,
            metrics,
            self._on_health_rate_limit,
            self.on_server_response,
            self.on_server_head,
        )
        self._stopping_since: float | None = None
        self._accept_until = float("inf")
        self.on_rate_limit_stated: RateLimitCallback = _ignore_rate_limit
        self.on_pause_stated: PauseCallback = _ignore_pause

    @property
    def is_stopping(self) -> bool:
        """Return whether callers are asked to use another daemon."""
        return self._stopping_since is not None

    @property
    def in_progress(self) -> int:
        """Return how many callers wait for their response."""
        return sum(1 for exchange in self._exchanges if exchange.has_caller)

    @property
    def is_busy(self) -> bool:
        """Return whether a request or response is in progress."""
        return bool(self._exchanges) or self._callers.is_busy

    def listen(self, address: models.Address) -> models.Address:
        """Start accepting callers and return the bound address."""
        bound_address = self._callers.listen(address)
        self._sweep(time.monotonic())
        return bound_address

    def begin_stop(self, now: float, ends_at: float) -> None:
        """Ask callers to use another daemon; accept requests for a while.

        Requests that would not be answered before ``ends_at`` are refused.
        """
        self._stopping_since = now
        self._fleet.begin_stop(ends_at)
        self._accept_until = now + const.STOP_ACCEPT_S

    def close_listener(self) -> None:
        """Accept no more connections than are established already."""
        self._callers.close_listener()

    def close_idle(self) -> None:
        """Close idle caller connections."""
        self._callers.close_idle()

    def refuse_rest(self, now: float) -> None:
        """Answer all callers whose servers have not answered."""
        for exchange in list(self._exchanges):
            exchange.on_process_ending(now)

    def set_probe_rate(self, rate: float) -> None:
        """Limit probes to all servers together to this rate per second."""
        self._prober.set_rate(rate)

    def check_server(self, server: server_module.FleetServer) -> None:
        """Send a health check that no request waits for."""
        self._prober.probe(server, lambda: None)

    def close(self) -> None:
        """Close all connections."""
        self._callers.close()
        self._pool.close()

    def accept(
        self,
        connection: caller.CallerConnection,
        head: caller.RequestHead,
    ) -> caller.RequestListener:
        """Return the listener that handles the request."""
        now = time.monotonic()
        connection.limits = self._fleet.limits
        request_id = self.dialect.request_id(head)
        self._metrics.count("requests")
        try:
            delivery = self._open_delivery(head, request_id, now)
        except exceptions.Refusal as refusal:
            return self._refuse_request(connection, head, refusal, request_id)
        if head.expects_continue:
            connection.write(messages.CONTINUE)
        exchange = Exchange(self, connection, head, delivery)
        self._exchanges.add(exchange)
        return exchange

    def refuse(
        self,
        connection: caller.CallerConnection,
        refusal: exceptions.Refusal,
    ) -> None:
        """Send a refusal for a request that could not be parsed."""
        self._metrics.count(f"refused.{refusal.code}")
        logs.log_request("unreadable", "", error=refusal.code)
        connection.write(messages.format_refusal(refusal, "", close=True))

    def on_closed(self, connection: caller.CallerConnection) -> None:
        """Remove a closed caller connection."""
        self._callers.forget(connection)

    def on_not_read(self, head: caller.RequestHead) -> None:
        """Log a request behind a response that closed its connection."""
        self._metrics.count("requests.not_read")
        logs.log_request(
            "not_read", self.dialect.request_id(head), sent=0, ahead=True
        )

    def acquire_connection(
        self, attempt: actions.Attempt, may_reuse: bool
    ) -> client.ClientConnection | None:
        """Return a recently used connection to the server or a new one."""
        self._metrics.count("attempts")
        answered_since = time.monotonic() - const.MAX_REUSE_IDLE_S
        if not may_reuse:
            answered_since = math.inf
        address = attempt.backend.entry.address
        return self._pool.acquire(address, answered_since)

    def release_connection(self, connection: client.ClientConnection) -> None:
        """Return a connection to the pool, which keeps or closes it."""
        self._pool.release_connection(connection)

    def carry_out(self, exchange: Exchange, action: actions.Action) -> None:
        """Carry out an action that affects more than this exchange."""
        if isinstance(action, actions.WakeAt):
            self._poller.call_at(
                action.when, lambda now: self._wake(exchange, now)
            )
        elif isinstance(action, actions.PauseUntil):
            self._poller.call_at(
                action.when, lambda now: self._end_pause(exchange, now)
            )
        elif isinstance(action, delivery_module.Probe):
            self._probe_servers(exchange, action)

    def on_server_response(
        self,
        server: server_module.FleetServer,
        connection: client.ClientConnection,
        sent_at: float,
    ) -> None:
        """Record that the server's process runs."""
        self._fleet.crash_tracker.record_alive(
            server, connection.established_at, sent_at
        )

    def on_rate_limit(
        self, server: server_module.FleetServer, per_s: float | None
    ) -> None:
        """Record the rate limit stated in a response to a request."""
        self._record_rate_limit(server, per_s, in_health=False)

    def on_server_head(
        self, server: server_module.FleetServer, head: client.ResponseHead
    ) -> None:
        """Send nothing to a server that leaves or asks for a pause."""
        if self.dialect.says_leaving(head):
            self._record_leaving(server)
        self._record_pause(server, self.dialect.pause_s(head))

    def note(self, exchange: Exchange, decision: str, **facts: object) -> None:
        """Log a decision about the request and count it."""
        delivery = exchange.delivery
        request = delivery.request
        choice = delivery.last_choice
        self._metrics.count(f"requests.{decision}")
        if "limit" in facts:
            self._metrics.count(f"limits_exceeded.{facts['limit']}")
        if choice is not None:
            facts["expected_ms"] = round(choice.expected_s * 1000)
        if decision == "answered":
            seconds = time.monotonic() - request.received_at
            self._metrics.observe("request_seconds", seconds)
        logs.log_request(
            decision,
            request.request_id,
            route=request.route.name,
            service=request.service,
            version=request.version,
            list_version=self._fleet.registry.version,
            **facts,
        )

    def refusal_fields(
        self, exchange: Exchange, refusal: exceptions.Refusal
    ) -> dict[str, object]:
        """Return the header fields of a refusal to this request."""
        request = exchange.delivery.request
        now = time.monotonic()
        time_left_s = request.deadline_at - now
        retry_after_s = refusals.retry_after_s(refusal, time_left_s)
        return self.dialect.refusal_fields(request.request_id, retry_after_s)

    def on_done(self, exchange: Exchange) -> None:
        """Remove a finished exchange."""
        self._exchanges.discard(exchange)

    def _on_health_rate_limit(
        self, server: server_module.FleetServer, per_s: float | None
    ) -> None:
        """Record the rate limit stated in a response to a health check."""
        self._record_rate_limit(server, per_s, in_health=True)

    def _record_rate_limit(
        self,
        server: server_module.FleetServer,
        per_s: float | None,
        in_health: bool,
    ) -> None:
        """Record a stated rate limit and count its changes."""
        if per_s is None:
            self._metrics.count("rate_limits.malformed")
            return
        if self.on_rate_limit_stated(server, per_s, in_health):
            is_limited = server.rate_limit.is_limited
            state = "stated" if is_limited else "ended"
            self._metrics.count(f"rate_limits.{state}")

    def _record_leaving(self, server: server_module.FleetServer) -> None:
        """Record that a server says that it leaves."""
        if server.record_leaving(time.monotonic()):
            self._metrics.count("leaving_stated")
            logs.log_status("server", server=server.server_id, leaving=True)

    def _record_pause(
        self, server: server_module.FleetServer, seconds: float | None
    ) -> None:
        """Record the pause that a server asks for; None if malformed."""
        if seconds is None:
            self._metrics.count("pauses.malformed")
        elif seconds > 0.0:
            now = time.monotonic()
            self._fleet.registry.record_pause(server, seconds, now)
            self.on_pause_stated(server)
            self._metrics.count("pauses.stated")
            logs.log_status(
                "server",
                server=server.server_id,
                pause_s=round(server.paused_until - now, 3),
            )

    def _open_delivery(
        self, head: caller.RequestHead, request_id: str, now: float
    ) -> delivery_module.Delivery:
        """Return the delivery of a request, or raise a Refusal."""
        if now > self._accept_until:
            raise exceptions.Stopping(core_const.Outcome.NOT_RUN)
        if head.content_length > self._fleet.limits.body_bytes:
            raise exceptions.BodyTooLarge(core_const.Outcome.NOT_RUN)
        host = head.fields.get(b"host", b"").decode("latin-1").lower()
        target = head.target.decode("latin-1")
        time_left_s = self.dialect.time_left_s(head)
        if time_left_s is None:
            time_left_s = const.DEFAULT_DEADLINE_S
        request_head = fleet_module.RequestHead(
            request_id,
            host.partition(":")[0],
            target.partition("?")[0],
            max(0.0, time_left_s - const.RESPONSE_RESERVE_S),
            now - head.received_at,
        )
        return self._fleet.open_delivery(request_head, now)

    def _refuse_request(
        self,
        connection: caller.CallerConnection,
        head: caller.RequestHead,
        refusal: exceptions.Refusal,
        request_id: str,
    ) -> caller.RequestListener:
        """Refuse a request on its head alone."""
        self._metrics.count(f"refused.{refusal.code}")
        logs.log_request(
            "refused",
            request_id,
            error=refusal.code,
            status=refusal.status,
            outcome=refusal.outcome.value,
            target=head.target.decode("latin-1")[:80],
            version=self._fleet.version,
        )
        if self.is_stopping:
            connection.close_after_response()
        time_left_s = self.dialect.time_left_s(head) or 0.0
        fields = self.dialect.refusal_fields(
            request_id, refusals.retry_after_s(refusal, time_left_s)
        )
        return internal_responses.RefusedRequest(
            connection, head, refusal, request_id, fields
        )

    def _probe_servers(
        self, exchange: Exchange, action: delivery_module.Probe
    ) -> None:
        """Probe the servers; resume when all have answered or on timeout."""
        probe_round = _ProbeRound(len(action.servers))

        def resume() -> None:
            if not probe_round.is_ended:
                probe_round.is_ended = True
                exchange.decide(
                    exchange.delivery.on_probes_done, time.monotonic()
                )

        def on_probed() -> None:
            probe_round.pending -= 1
            if not probe_round.pending:
                resume()

        for server in action.servers:
            self._prober.probe(server, on_probed)
        when = time.monotonic() + const.PROBE_WAIT_TIMEOUT_S
        self._poller.call_at(when, lambda now: resume())

    def _wake(self, exchange: Exchange, now: float) -> None:
        """Wake a delivery if it is still in progress."""
        if exchange in self._exchanges:
            exchange.decide(exchange.delivery.on_wake, now)

    def _end_pause(self, exchange: Exchange, now: float) -> None:
        """Let a delivery look for a server with capacity again."""
        if exchange in self._exchanges:
            exchange.decide(exchange.delivery.on_pause_over, now)

    def _sweep(self, now: float) -> None:
        """Check timeouts of callers, exchanges and pooled connections."""
        self._poller.call_at(now + const.SWEEP_INTERVAL_S, self._sweep)
        self._callers.check_timeouts(now)
        for exchange in list(self._exchanges):
            exchange.close_overdue_attempts(now)
        self._pool.sweep(now, set())


class _ProbeRound:
    """A round of probes that a request waits for."""

    def __init__(self, pending: int) -> None:
        """Initialize the round with this many pending probes."""
        self.pending = pending
        self.is_ended = False


def _ignore(subject: object) -> None:
    """Ignore the argument; used until a callback is set."""


def _ignore_pause(server: server_module.FleetServer) -> None:
    """Ignore a pause; used until a callback is set."""


def _ignore_rate_limit(
    server: server_module.FleetServer, per_s: float, in_health: bool
) -> bool:
    """Ignore a rate limit; used until a callback is set."""
    return False
