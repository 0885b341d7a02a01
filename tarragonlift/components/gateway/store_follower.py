"""Follows the platform's store: operators, servers and daemons.

The store may be down, slow, unresponsive or refuse this daemon. The state that
was read last stays in force meanwhile.
"""

from __future__ import annotations

from collections import abc
import math

import attrs

from tarragonlift.components.gateway import access
from tarragonlift.components.gateway import const
from tarragonlift.components.gateway import crash_follower
from tarragonlift.components.gateway import dependency
from tarragonlift.components.gateway import joining
from tarragonlift.components.gateway import member_rows
from tarragonlift.components.gateway import operator_follower
from tarragonlift.components.gateway import pause_follower
from tarragonlift.components.gateway import peer_messages
from tarragonlift.components.gateway import rate_limit_follower
from tarragonlift.components import logs
from tarragonlift.core.fleet import const as fleet_const
from tarragonlift.core.fleet import interfaces
from tarragonlift.core.fleet import list_view
from tarragonlift.core.fleet import members as members_module
from tarragonlift.core.fleet import operator_watch
from tarragonlift.core.fleet import outage_watch
from tarragonlift.core.fleet import read_schedule
from tarragonlift.core.fleet import registry
from tarragonlift.core.fleet import start_plan
from tarragonlift.core import models
from tarragonlift import exceptions

Failure = exceptions.PlatformError
Send = abc.Callable[[peer_messages.Message], None]


class StoreFollower:
    """Keeps a fleet in sync with the store by reads and peer messages."""

    def __init__(
        self,
        store_access: access.StoreAccess,
        seeds: abc.Iterable[models.Address] = (),
        is_first_start: bool = False,
    ) -> None:
        """Initialize; call ``set_max_delays`` and ``start`` next.

        ``seeds`` are the peer addresses of the seed daemons;
        ``is_first_start``: the whole system starts for the first time.
        """
        self._loop = store_access.loop
        self._fleet = store_access.fleet
        self._watch = operator_watch.OperatorWatch(store_access.fleet.members)
        self._operator_follower = operator_follower.OperatorFollower(
            store_access, self._watch
        )
        self._server_follower = ServerFollower(store_access)
        self._server_follower.on_store_reached = self._on_store_reached
        self._server_follower.on_read = self._operator_follower.on_list_read
        self._server_follower.on_read_failed = (
            self._operator_follower.on_list_failed
        )
        self._operator_follower.on_store_reached = self._on_store_reached
        self.rate_limits = rate_limit_follower.RateLimitFollower(
            self._loop, store_access.fleet.registry
        )
        self.pauses = pause_follower.PauseFollower(
            self._loop, store_access.fleet.registry
        )
        self.crashes = crash_follower.CrashFollower(
            self._loop,
            store_access.fleet.crash_tracker,
            store_access.fleet.members,
        )
        self._rows = member_rows.MemberRows(store_access)
        self._joining = joining.Joining(
            store_access, self._rows, seeds, is_first_start
        )
        self._start_plan = start_plan.StartPlan(
            store_access.fleet.members,
            self._joining.has_seeds,
            self._joining.is_seed,
            is_first_start,
        )
        self._asked_at = -math.inf
        self._outage_told_at = -math.inf
        self._pending: dict[str, members_module.Member] = {}
        self._send_to_data_centre: Send = _drop
        self._send_to_relays: Send = _drop

    def set_max_delays(
        self, max_drain_delay_s: float, max_config_delay_s: float
    ) -> None:
        """Set within how many seconds changes have to be known.

        ``max_drain_delay_s`` applies to servers that leave,
        ``max_config_delay_s`` to what operators write.
        """
        self._server_follower.set_max_drain_delay(max_drain_delay_s)
        self._watch.set_max_delay(max_config_delay_s)

    def set_senders(
        self,
        send_to_relays: abc.Callable[[peer_messages.Message], None],
        send_to_data_centre: abc.Callable[[peer_messages.Message], None],
        send_to: joining.SendTo,
    ) -> None:
        """Set how to message relays, this data centre, or one daemon.

        Relays are daemons of the other data centres that pass an update on.
        """
        self._send_to_relays = send_to_relays
        self._server_follower.send = self._send_update
        self._operator_follower.send = send_to_data_centre
        self._operator_follower.send_to_relays = send_to_relays
        self._send_to_data_centre = send_to_data_centre
        self._joining.send_to = send_to
        self.crashes.send_to = send_to
        for follower in (self.crashes, self.pauses, self.rate_limits):
            follower.send_to_data_centre = send_to_data_centre
            follower.send_to_relays = send_to_relays

    def start(self, now: float) -> None:
        """Start following the store."""
        self._start_plan.start(now)
        # Daemons that already wait are expected to send a heartbeat soon.
        self._watch.on_heartbeat(now)
        self._joining.start(now)
        self.tick(now)

    @property
    def list_read_at(self) -> float:
        """Return when the known list of servers was read from the store."""
        return self._server_follower.list_read_at

    def on_pause(self, now: float) -> None:
        """Read everything again before requests are sent after a pause."""
        hold_until = now + fleet_const.MAX_HOLD_AFTER_PAUSE_S
        self._fleet.registry.hold(hold_until)
        self._operator_follower.read_again(now)
        self._server_follower.read_again()

    def stop(self) -> None:
        """Stop telling the others about this daemon."""
        self._joining.stop()

    def tick(self, now: float) -> None:
        """Start the reads that are due; called at short intervals."""
        self.rate_limits.tick(now)
        self.pauses.tick(now)
        self.crashes.tick(now)
        if self._is_waiting_for_state(now):
            self._ask_for_state(now)
            return
        self._server_follower.tick(now)
        # In an outage, reads of the list alone find out when it ends.
        may_read_all = not self._server_follower.is_lost
        self._operator_follower.tick(now, may_read_all)
        self._tell_outage(now)
        if self._pending and not self._needs_state:
            pending, self._pending = self._pending, {}
            for member in pending.values():
                self._send_state(member)

    def on_message(self, message: peer_messages.Message) -> None:
        """Apply a message of another daemon."""
        if isinstance(message, peer_messages.OperatorNotice):
            self._on_operator_notice(message)
        elif isinstance(message, list_view.ListUpdate):
            if message.for_relay:
                update = attrs.evolve(message, for_relay=False)
                self._send_to_data_centre(update)
            self._rows.add(message.member)
            if not self._is_waiting_for_state(self._loop.now()):
                self._operator_follower.on_peer_state(
                    message.operators, message.operators_age_s
                )
            self._server_follower.on_list_update(message)
            self.crashes.on_held_digest(message.member, message.held_digest)
        elif isinstance(message, peer_messages.JoinNotice):
            self._joining.on_join(message)
        elif isinstance(message, peer_messages.MemberList):
            self._joining.on_member_list(message)
        elif isinstance(message, peer_messages.StateRequest):
            self._on_state_request(message.member)
        elif isinstance(message, peer_messages.StatePending):
            self._start_plan.on_pending(self._loop.now())
        elif isinstance(message, peer_messages.RateLimitNotice):
            self.rate_limits.on_notice(message)
        elif isinstance(message, peer_messages.PauseNotice):
            self.pauses.on_notice(message)
        elif isinstance(message, peer_messages.CrashNotice):
            self.crashes.on_notice(message)
        elif isinstance(message, peer_messages.HeldRequests):
            self.crashes.on_held_requests(message)
        elif isinstance(message, peer_messages.OutageNotice):
            now = self._loop.now()
            self._operator_follower.outage.on_notice(now)
            self._server_follower.outage.on_notice(now)

    @property
    def _needs_state(self) -> bool:
        """Return whether servers or operators' changes are not known yet."""
        return (
            not self._fleet.registry.is_loaded
            or self._operator_follower.is_full_read_due
        )

    def _on_store_reached(self, when: float) -> None:
        """Record that this or another daemon has reached the store."""
        self._operator_follower.outage.on_store_reached(when)
        self._server_follower.outage.on_store_reached(when)

    def _send_update(self, update: list_view.ListUpdate) -> None:
        """Send an update to all daemons, once to each other data centre."""
        age_s = self._loop.now() - self._operator_follower.confirmed_at
        update = attrs.evolve(
            update,
            operators_age_s=age_s,
            held_digest=self.crashes.held_digest,
        )
        self._send_to_data_centre(update)
        self._send_to_relays(attrs.evolve(update, for_relay=True))

    def _on_operator_notice(
        self, notice: peer_messages.OperatorNotice
    ) -> None:
        """Apply a notice; a heartbeat is no reason to read while starting."""
        now = self._loop.now()
        if notice.document or not self._is_waiting_for_state(now):
            self._operator_follower.on_notice(notice)
        else:
            self._watch.on_heartbeat(now)

    def _is_waiting_for_state(self, now: float) -> bool:
        """Return whether a neighbour is expected to send its state."""
        return self._needs_state and not self._start_plan.may_read(now)

    def _ask_for_state(self, now: float) -> None:
        """Ask neighbours for their state, again after a while."""
        if now - self._asked_at < const.STATE_REQUEST_INTERVAL_S:
            return
        request = peer_messages.StateRequest(self._fleet.members.own)
        for provider in self._start_plan.providers(now):
            self._asked_at = now
            self._joining.send_to(provider.address, request)

    def _on_state_request(self, member: members_module.Member) -> None:
        """Send what is known, or once the store was read."""
        if not self._needs_state:
            self._send_state(member)
        elif self._start_plan.may_read(self._loop.now()):
            self._pending[member.daemon] = member
            pending = peer_messages.StatePending()
            self._joining.send_to(member.address, pending)

    def _send_state(self, member: members_module.Member) -> None:
        """Send what is known to a daemon that starts, if it is recent."""
        now = self._loop.now()
        update = self._server_follower.make_complete_update(now)
        if update is None:
            return
        update = attrs.evolve(update, held_digest=self.crashes.held_digest)
        self._joining.send_to(member.address, update)
        notice = self._operator_follower.make_complete_notice()
        self._joining.send_to(member.address, notice)
        for limits in self.rate_limits.make_notices():
            self._joining.send_to(member.address, limits)
        for pauses in self.pauses.make_notices():
            self._joining.send_to(member.address, pauses)

    def _tell_outage(self, now: float) -> None:
        """Tell the data centre that the store does not answer this daemon."""
        is_lost = self._operator_follower.is_store_lost(now)
        if not is_lost and not self._server_follower.is_store_lost(now):
            return
        if not self._fleet.members.is_store_contact:
            return
        if now - self._outage_told_at >= fleet_const.OUTAGE_NOTICE_INTERVAL_S:
            self._outage_told_at = now
            self._send_to_data_centre(peer_messages.OutageNotice())


class ServerFollower:
    """Keeps a fleet in sync with the list of servers."""

    def __init__(self, store_access: access.StoreAccess) -> None:
        """Initialize the follower with a read due at once."""
        self._access = store_access
        self._loop = store_access.loop
        self._store = store_access.store
        self._fleet = store_access.fleet
        self._schedule = read_schedule.ReadSchedule(self._fleet.members)
        self._max_list_age_s = 0.0
        self._list_view = list_view.ListView()
        self._is_reading = False
        self._read_at = -math.inf
        self._retry_at = -math.inf
        self.outage = outage_watch.OutageWatch(self._fleet.members)
        self._dependency = dependency.Dependency("servers", store_access.rng)
        self.send: abc.Callable[[list_view.ListUpdate], None] = _ignore
        self.on_store_reached: abc.Callable[[float], None] = _ignore_time
        # Takes the time, and whether no daemon before this one reads the list.
        self.on_read: abc.Callable[[float, bool], None] = _ignore_read
        self.on_read_failed: abc.Callable[[], None] = _do_nothing

    def set_max_drain_delay(self, seconds: float) -> None:
        """Set within how many seconds a leaving server has to be known."""
        self._max_list_age_s = seconds * const.LIST_INTERVAL_SHARE
        self._schedule.set_max_age(self._max_list_age_s)

    def tick(self, now: float) -> None:
        """Read the list if it is due at this daemon."""
        if self._is_reading or now < self._retry_at:
            return
        if now >= self._schedule.due_at and self._may_try(now):
            self._read()

    @property
    def list_read_at(self) -> float:
        """Return when the known list was read from the store."""
        return self._schedule.last_read_at

    @property
    def is_lost(self) -> bool:
        """Return whether the last read failed."""
        return self._dependency.is_lost

    def is_store_lost(self, now: float) -> bool:
        """Return whether the last read failed or has no answer yet."""
        is_slow = now - self._read_at > fleet_const.SLOW_READ_S
        return self._dependency.is_lost or (self._is_reading and is_slow)

    def make_complete_update(self, now: float) -> list_view.ListUpdate | None:
        """Return the whole list for a daemon that starts; None if outdated."""
        age_s = now - self._schedule.last_read_at
        max_age_s = self._max_list_age_s * const.MAX_SHARED_LIST_AGE_SHARE
        if not self._fleet.registry.is_loaded or age_s > max_age_s:
            return None
        changes = tuple(
            list_view.ListChange(entry.server_id, entry)
            for entry in self._list_view.entries
        )
        update = self._make_update(changes)
        return attrs.evolve(update, complete=True, age_s=age_s)

    def read_again(self) -> None:
        """Start a read now; an answer that is under way may be too old."""
        self._schedule.on_pause()
        self._read()

    def on_list_update(self, update: list_view.ListUpdate) -> None:
        """Apply another daemon's read of the list."""
        now = self._loop.now()
        if update.store_version < self._fleet.registry.version:
            return
        if self._list_view.apply(update):
            self._on_list_known(now - update.age_s)
            if not update.complete:
                self._schedule.on_peer_read(update.member.daemon, now)
            self._dependency.record_success(now)
            self.on_store_reached(now - update.age_s)
            self._apply_list(update.store_version, now)

    def _read(self) -> None:
        """Start a read of the list of servers."""
        self._is_reading = True
        self._read_at = self._loop.now()
        self._access.count_call()
        timeout = self._max_list_age_s * const.LIST_TIMEOUT_SHARE
        self._store.read_servers(timeout, self._on_read)

    def _on_read(self, result: interfaces.ServerList | Failure) -> None:
        """Apply the list of servers and send it to the other daemons."""
        now = self._loop.now()
        self._is_reading = False
        if isinstance(result, Failure):
            self.on_read_failed()
            daemons = len(self._fleet.members)
            self._retry_at = self._dependency.record_failure(
                result, now, daemons
            )
            return
        self._dependency.record_success(now)
        if result.store_version < self._fleet.registry.version:
            self._retry_at = now + const.MIN_RETRY_INTERVAL_S
            return
        is_first_read = not self._fleet.registry.is_loaded
        self.on_store_reached(now)
        changes = self._list_view.replace(result.servers)
        if is_first_read:
            # The others know the list; its digest tells them that it is
            # still the same.
            changes = ()
        self._on_list_known(now)
        self._apply_list(result.store_version, now)
        self._fleet.registry.confirm(registry.Source.SERVERS)
        self.send(self._make_update(changes))
        self.on_read(now, self._schedule.leads(now))

    def _may_try(self, now: float) -> bool:
        """Return whether to read although others may try without success."""
        return not self._fleet.registry.is_loaded or self.outage.may_try(now)

    def _make_update(
        self, changes: tuple[list_view.ListChange, ...]
    ) -> list_view.ListUpdate:
        """Return an update of the list with these changes."""
        return list_view.ListUpdate(
            self._fleet.members.own,
            self._fleet.registry.version,
            self._list_view.digest,
            changes,
            self._fleet.operators,
        )

    def _on_list_known(self, read_at: float) -> None:
        """Record a read, and keep missing entries if it ends an outage."""
        if self._schedule.ends_outage(read_at):
            logs.log_status("list_outage", ended=True)
            self._fleet.registry.keep_missing(
                read_at + fleet_const.MISSING_KEPT_S
            )
        self._schedule.on_read(read_at)

    def _apply_list(self, store_version: int, now: float) -> None:
        """Apply the newest list to the registry and log the changes."""
        self._fleet.registry.read_at = self._schedule.last_read_at
        changes = self._fleet.registry.set_entries(
            store_version, self._list_view.entries, now
        )
        for change in changes:
            logs.log_status(
                "server_list",
                server=change.server_id,
                change=change.kind,
                detail=change.detail,
                list_version=store_version,
            )


def _drop(message: peer_messages.Message) -> None:
    """Drop the message; used until a sender is set."""


def _do_nothing() -> None:
    """Do nothing; used until a callback is set."""


def _ignore_read(now: float, leads: bool) -> None:
    """Ignore a read; used until a callback is set."""


def _ignore_time(when: float) -> None:
    """Ignore the time; used until a callback is set."""


def _ignore(update: list_view.ListUpdate) -> None:
    """Drop the message; used until a sender is set."""
