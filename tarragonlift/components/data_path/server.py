"""The data path of a daemon, between callers and backend servers."""

from __future__ import annotations

from collections import abc
import time

import xxhash

from tarragonlift.components import claims as claims_module
from tarragonlift.components.data_path import caller
from tarragonlift.components.data_path import callers
from tarragonlift.components.data_path import client
from tarragonlift.components.data_path import connections
from tarragonlift.components.data_path import const
from tarragonlift.components.data_path import exchange as exchange_module
from tarragonlift.components.data_path import internal_responses
from tarragonlift.components.data_path import messages
from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.metrics import recorder
from tarragonlift import const as product_const
from tarragonlift.core import actions
from tarragonlift.core import balancer as balancer_module
from tarragonlift.core import call as call_module
from tarragonlift.core import const as core_const
from tarragonlift.core import models
from tarragonlift import exceptions

QUEUE_CHECK_INTERVAL_S = 0.05
# Timeout in seconds of a request whose own has passed while it waited behind
# others of its connection; 0 would stand for the service's default.
MIN_TIMEOUT_S = 0.001
DEADLINE_FIELD = product_const.HEADER_DEADLINE.lower().encode()
INTERNAL_PATH_PREFIX = product_const.PATH_PREFIX_INTERNAL.encode()

Exchange = exchange_module.Exchange


class DataPath(
    exchange_module.ExchangeOwner,
    caller.RequestAcceptor,
    claims_module.Exchanges,
):
    """Accepts requests from callers and relays them to backend servers."""

    def __init__(
        self,
        poller: poller_module.DataPoller,
        balancer: balancer_module.Balancer,
        metrics: recorder.Recorder,
        internal_pages: internal_responses.InternalPages,
    ) -> None:
        """Initialize the data path; ``listen`` starts to accept callers."""
        self._poller = poller
        self._balancer = balancer
        self._metrics = metrics
        self._internal_pages = internal_pages
        self._callers = callers.CallerSet(poller, self)
        self._exchanges: dict[call_module.Call, Exchange] = {}
        self._connections = connections.ConnectionPool(
            poller, self._on_server_closed
        )
        self._scheduled_services: set[str] = set()
        self._is_stopping = False
        self.on_claims: abc.Callable[[], None] = _do_nothing

    @property
    def in_progress(self) -> int:
        """Return the number of requests in progress."""
        return len(self._exchanges)

    @property
    def is_busy(self) -> bool:
        """Return whether any caller still waits for a response."""
        return bool(self._exchanges) or self._callers.is_busy

    @property
    def is_stopping(self) -> bool:
        """Return whether callers are asked to use another daemon."""
        return self._is_stopping

    @property
    def address(self) -> models.Address | None:
        """Return the listening address, None before ``listen``."""
        return self._callers.address

    def listen(self, address: models.Address) -> models.Address:
        """Start accepting callers and return the listening address."""
        listen_address = self._callers.listen(address)
        now = time.monotonic()
        self._poller.timers.call_at(now + const.SWEEP_INTERVAL_S, self._sweep)
        self._check_queues(now)
        return listen_address

    def stop_accepting(self) -> None:
        """Close the listener and idle connections; finish open requests."""
        self._is_stopping = True
        self._callers.stop_accepting()

    def set_stopping(self) -> None:
        """Ask callers to use another daemon after their current request."""
        self._is_stopping = True

    def close(self) -> None:
        """Close all connections."""
        self._callers.close()
        self._connections.close()

    def exchange_of(self, call: call_module.Call) -> Exchange | None:
        """Return the exchange of a call that is in progress."""
        return self._exchanges.get(call)

    def recheck_calls(self, calls: list[call_module.Call]) -> None:
        """Let the exchanges of changed calls check whether they are done."""
        for call in calls:
            exchange = self._exchanges.get(call)
            if exchange is not None:
                exchange.run([])

    def accept(
        self,
        connection: caller.CallerConnection,
        head: caller.RequestHead,
    ) -> caller.RequestListener:
        """Accept a request and return its listener."""
        now = time.monotonic()
        request_id = self._balancer.new_request_id()
        if head.target.startswith(INTERNAL_PATH_PREFIX):
            return internal_responses.InternalPageRequest(
                connection, head, self._internal_pages
            )
        self._metrics.count("calls")
        try:
            call = self._balancer.open_call(
                _summarize_request(head, request_id, now), now
            )
        except exceptions.Refusal as refusal:
            self._metrics.count(f"refused.{refusal.code}")
            return internal_responses.RefusedRequest(
                connection, head, refusal, request_id
            )
        exchange = Exchange(self, connection, head, call)
        self._exchanges[call] = exchange
        self._poller.call_soon(lambda: exchange.start(now))
        return exchange

    def refuse(
        self,
        connection: caller.CallerConnection,
        refusal: exceptions.Refusal,
    ) -> None:
        """Send a refusal for an invalid request."""
        self._metrics.count(f"refused.{refusal.code}")
        request_id = self._balancer.new_request_id()
        connection.write(
            messages.format_refusal(refusal, request_id, close=True)
        )

    def on_closed(self, connection: caller.CallerConnection) -> None:
        """Remove a caller's connection."""
        self._callers.forget(connection)

    def acquire_probe_connection(
        self, address: models.Address
    ) -> client.ClientConnection | None:
        """Return a connection to a backend server for a probe."""
        return self._connections.acquire(address)

    def acquire_connection(
        self, attempt: actions.Attempt
    ) -> client.ClientConnection | None:
        """Return a connection to the attempt's backend server."""
        self._metrics.count("attempts")
        return self._connections.acquire(attempt.backend.instance.address)

    def release_connection(self, connection: client.ClientConnection) -> None:
        """Return a connection to the pool, or close it."""
        self._connections.release_connection(connection)

    def on_server_headers(
        self, attempt: actions.Attempt, head: client.ResponseHead
    ) -> None:
        """Update the server's state from its response header fields."""
        start_id = head.get(exchange_module.SERVER_START)
        load = head.get(exchange_module.SERVER_LOAD)
        self._balancer.servers.on_headers(
            attempt.backend,
            start_id.decode("latin-1") if start_id else "",
            _parse_number(load),
            time.monotonic(),
        )

    def on_failure(
        self, attempt: actions.Attempt, failure: core_const.AttemptFailure
    ) -> None:
        """Update the server's state after a failed attempt."""
        self._metrics.count(f"attempts.{failure.value}")
        self._balancer.servers.on_failure(
            attempt.backend, failure, time.time()
        )

    def carry_out(self, exchange: Exchange, action: actions.Action) -> None:
        """Carry out an action that affects more than this exchange."""
        if isinstance(action, actions.WakeAt):
            self._poller.timers.call_at(
                action.when, lambda now: self._wake(exchange, now)
            )
        elif isinstance(action, actions.Claim):
            self._balancer.claims.claim(exchange.call, time.time())
            self.on_claims()
        elif isinstance(action, actions.Release):
            self._balancer.claims.release(exchange.call)
            self.on_claims()
        elif isinstance(action, actions.Record):
            answer = exchange.make_recorded_answer()
            self._balancer.claims.record(exchange.call, answer, time.time())
            self.on_claims()
        elif isinstance(action, actions.Evict):
            victim = self._exchanges.get(action.call)
            if victim is not None:
                victim.run(action.call.on_evicted())
        elif isinstance(action, actions.Note):
            self._balancer.apply_note(action, time.time())

    def on_capacity_available(self, exchange: Exchange) -> None:
        """Schedule the queue of the exchange's service."""
        name = exchange.call.request.service.name
        if (
            not len(exchange.call.pool.queue)
            or name in self._scheduled_services
        ):
            return
        self._scheduled_services.add(name)
        self._poller.call_soon(lambda: self._serve_queue(name))

    def on_done(self, exchange: Exchange) -> None:
        """Remove a finished exchange."""
        self._exchanges.pop(exchange.call, None)

    def _wake(self, exchange: Exchange, now: float) -> None:
        """Wake the exchange if its call is still in progress."""
        if exchange.call in self._exchanges:
            exchange.wake(now)

    def _serve_queue(self, name: str) -> None:
        """Send queued requests while a backend server can accept one."""
        self._scheduled_services.discard(name)
        pool = self._balancer.pools.get(name)
        now = time.monotonic()
        while pool is not None and len(pool.queue) and pool.choose(now):
            call = pool.queue.pop()
            if call is None:
                return
            exchange = self._exchanges.get(call)
            if exchange is not None:
                exchange.run(call.on_dequeued(now))

    def _check_queues(self, now: float) -> None:
        """Serve all queues periodically.

        A server can become usable without the end of a request.
        """
        self._poller.timers.call_at(
            now + QUEUE_CHECK_INTERVAL_S, self._check_queues
        )
        for name, pool in list(self._balancer.pools.items()):
            if len(pool.queue):
                self._serve_queue(name)

    def _sweep(self, now: float) -> None:
        """Check all timeouts and close expired connections."""
        self._poller.timers.call_at(now + const.SWEEP_INTERVAL_S, self._sweep)
        self._callers.check_timeouts(now)
        for exchange in list(self._exchanges.values()):
            exchange.check_stalled(now)
        monitored = {
            backend.instance.address
            for pool in self._balancer.pools.values()
            for backend in pool.backends
            if backend.is_usable
            and backend.share
            and backend.warmth is core_const.Warmth.WARM
        }
        self._connections.sweep(now, monitored)

    def _on_server_closed(self, address: models.Address) -> None:
        """Handle a server that closed its last idle connection."""
        self._balancer.servers.on_connections_closed(address, time.time())


def _summarize_request(
    head: caller.RequestHead, request_id: str, now: float
) -> balancer_module.RequestSummary:
    """Return the summary of the request head for the core.

    The time that the request waited behind others of its connection is taken
    off its timeout.
    """
    target = head.target.decode("latin-1")
    method = head.method.decode("latin-1")
    timeout_ms = _parse_number(head.fields.get(DEADLINE_FIELD))
    timeout_s = timeout_ms / product_const.MILLISECONDS_PER_SECOND
    if timeout_s > 0.0:
        timeout_s = max(MIN_TIMEOUT_S, timeout_s - (now - head.received_at))
    host = head.fields.get(b"host", b"").decode("latin-1").lower()
    return balancer_module.RequestSummary(
        request_id=request_id,
        method=method,
        host=host.partition(":")[0],
        path=target.partition("?")[0],
        peer=head.peer,
        timeout_s=max(0.0, timeout_s),
        fingerprint=xxhash.xxh64_hexdigest(
            f"{method} {target} {head.content_length}"
        ),
        fields=head.fields,
    )


def _parse_number(value: bytes | None) -> float:
    """Return the number in a header field, 0 if it is missing or invalid."""
    try:
        return float(value) if value else 0.0
    except ValueError:
        return 0.0


def create_data_path(
    poller: poller_module.DataPoller,
    balancer: balancer_module.Balancer,
    metrics: recorder.Recorder,
    internal_pages: internal_responses.InternalPages,
) -> DataPath:
    """Return a data path that is not listening yet."""
    return DataPath(poller, balancer, metrics, internal_pages)


def _do_nothing() -> None:
    """Do nothing; used until a callback is set."""
