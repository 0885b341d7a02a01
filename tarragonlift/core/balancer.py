"""Everything that one daemon decides, in one place."""

from __future__ import annotations

from collections import abc
import random
from typing import Any

import attrs

from tarragonlift.core import actions
from tarragonlift.core import call as call_module
from tarragonlift.core import claims
from tarragonlift.core import const
from tarragonlift.core import crash_tracker
from tarragonlift.core import membership
from tarragonlift.core import models
from tarragonlift.core import pool as pool_module
from tarragonlift.core import probe_leases
from tarragonlift.core import replica
from tarragonlift.core import routing
from tarragonlift.core import servers
from tarragonlift.core import timeline
from tarragonlift.core import warming
from tarragonlift import exceptions

SERVERS_RANKED_A_TICK = 1
RANK_OUT = 1


@attrs.frozen
class Identity:
    """Who this daemon is."""

    daemon: str
    data_centre: str
    address: str
    admin_address: str


class Balancer:
    """The state of one daemon and its decisions.

    Times are seconds of a monotonic clock, except ``wall_time``.
    """

    def __init__(
        self,
        identity: Identity,
        rng: random.Random,
        epoch: int,
        policy: str = routing.POLICY_LEAST_IN_FLIGHT,
    ) -> None:
        """Start without configuration: no request is taken yet.

        ``epoch`` must grow from one start of the daemon to the next, for
        example the wall clock in milliseconds.
        """
        self._identity = identity
        self._rng = rng
        self._policy = policy
        self._configuration: models.Configuration | None = None
        self._version = 0
        self._pools: dict[str, pool_module.ServicePool] = {}
        self._instances: tuple[models.Instance, ...] = ()
        self._members: tuple[list[str], list[str]] = ([], [])
        self._number = 0
        self._has_settled = False
        self._leaving = False
        self.replica = replica.Replica(identity.daemon, epoch)
        self.membership = membership.Membership(identity.daemon, epoch)
        self.warming_leases = warming.WarmingLeases(
            identity.daemon, self.membership
        )
        self.servers = servers.ServerStateTracker(
            identity.daemon, self.replica, self._pools, self.note
        )
        self.claims = claims.ClaimManager(identity.daemon)
        self.timeline = timeline.Timeline(identity.daemon)
        self.probe_leases = probe_leases.ProbeLeaseManager(identity.daemon)
        self.crash_tracker = crash_tracker.CrashTracker(
            identity.daemon, self.replica
        )

    @property
    def identity(self) -> Identity:
        """Return who this daemon is."""
        return self._identity

    @property
    def has_settled(self) -> bool:
        """Return whether this daemon has found its place once."""
        return self._has_settled

    def set_addresses(self, address: str, admin_address: str) -> None:
        """Take the addresses that the kernel gave."""
        self._identity = attrs.evolve(
            self._identity, address=address, admin_address=admin_address
        )

    @property
    def configuration(self) -> models.Configuration | None:
        """Return the configuration in force here."""
        return self._configuration

    @property
    def version(self) -> int:
        """Return the version of the configuration in force; 0: none."""
        return self._version

    @property
    def pools(self) -> abc.Mapping[str, pool_module.ServicePool]:
        """Return the pools by the name of their service."""
        return self._pools

    @property
    def instances(self) -> tuple[models.Instance, ...]:
        """Return the platform's list of backend servers."""
        return self._instances

    def note(
        self, kind: str, subject: str, detail: str, wall_time: float
    ) -> timeline.Event:
        """Put an event on the time line."""
        return self.timeline.add(kind, subject, detail, wall_time)

    def apply_configuration(
        self,
        version: int,
        configuration: models.Configuration,
        wall_time: float,
    ) -> bool:
        """Follow a configuration; never one that is not newer."""
        if version <= self._version:
            return False
        self._version = version
        self._configuration = configuration
        names = {service.name for service in configuration.services}
        for name in list(self._pools):
            if name not in names:
                del self._pools[name]
        for service in configuration.services:
            self._configure_pool(service)
        self._refresh()
        self.probe_leases.set_services(
            {one.name: one.probes for one in configuration.services}
        )
        self._tell_applied()
        kind = const.EVENT_CONFIGURATION_ADOPTED
        self.note(kind, str(version), "", wall_time)
        return True

    def set_instances(self, instances: abc.Iterable[models.Instance]) -> None:
        """Follow the platform's list of hosts."""
        self._instances = tuple(instances)
        self._refresh()

    def tick(self, now: float) -> list[warming.LoanMessage]:
        """Do what is due several times a second; return loan messages."""
        self.membership.tick(now)
        self._follow_members(now)
        self._has_settled |= self.warming_leases.is_settled(now)
        self.warming_leases.refresh(self.servers.all(), now)
        messages: list[warming.LoanMessage] = []
        for pool in self._pools.values():
            for one in pool.servers_to_warm(now):
                want = self.warming_leases.request_loan(one, now)
                if want is not None:
                    messages.append(want)
            pool.continue_dividing(SERVERS_RANKED_A_TICK)
        for key in self.warming_leases.borrowed_keys:
            one = self.servers.find(key)
            given_back = one and self.warming_leases.next_return(one, now)
            if given_back is not None:
                messages.append(given_back)
        return messages

    def leave(self) -> None:
        """Give up every duty, since this daemon is being stopped."""
        self._leaving = True
        self._refresh()

    def next_gossip_round(self, now: float) -> replica.GossipRound:
        """Return the next message of gossip."""
        return replica.GossipRound(
            self._identity.daemon,
            self.membership.next_heartbeats(now),
            self.replica.next_items(),
        )

    def merge_gossip_round(
        self, message: replica.GossipRound, now: float
    ) -> list[replica.Item]:
        """Take a message of gossip; return the items that changed."""
        self.membership.on_heartbeats(message.heartbeats, now)
        return self.replica.merge(message.items)

    def on_loan_message(
        self, message: warming.LoanMessage, now: float
    ) -> warming.LoanGrant | None:
        """Take a message about a warming duty; return the answer."""
        one = self.servers.find(message.server)
        if isinstance(message, warming.LoanRequest):
            return self.warming_leases.on_loan_request(message, one, now)
        if isinstance(message, warming.LoanGrant):
            self.warming_leases.on_loan_grant(message, one, now)
        else:
            self.warming_leases.on_loan_return(message, one)
        return None

    def loan_target(self, message: warming.LoanMessage) -> str:
        """Return the daemon that a loan message is for."""
        one = self.servers.find(message.server)
        return self.warming_leases.warmer_of(one) if one is not None else ""

    def on_member_rows(
        self, versions: abc.Mapping[str, int], now: float
    ) -> None:
        """Take the daemons' rows in the table."""
        for name in self.membership.on_rows(versions, now):
            self.replica.drop(replica.KIND_MEMBER, name)
            self.replica.drop(replica.KIND_APPLIED, name)

    def open_call(
        self,
        head: RequestSummary,
        now: float,
    ) -> call_module.Call:
        """Return the call for a request, or raise a Refusal."""
        configuration = self._configuration
        if configuration is None or self.membership.is_isolated(now):
            raise exceptions.Stopping(const.Outcome.NOT_RUN)
        service = configuration.service_for(head.host, head.path)
        if service is None:
            raise exceptions.NoSuchService(const.Outcome.NOT_RUN)
        rule = service.rule_for(head.method, head.path)
        key = ""
        if rule.run is const.Run.ONCE:
            key = head.field(rule.key_header)
            if not key:
                raise exceptions.KeyMissing(const.Outcome.NOT_RUN)
        caller = head.peer
        if service.caller_header:
            caller = head.field(service.caller_header) or caller
        request = models.Request(
            request_id=head.request_id,
            service=service,
            run=rule.run,
            key=key,
            method=head.method,
            path=head.path,
            caller=caller,
            received_at=now,
            deadline_at=now + (head.timeout_s or service.deadline_s),
            fingerprint=head.fingerprint,
        )
        if len(self.crash_tracker) and self.crash_tracker.is_held(request):
            raise exceptions.CrashSuspected(const.Outcome.NOT_RUN)
        pool = self._pools[service.name]
        return call_module.Call(request, pool, self.crash_tracker)

    def new_request_id(self) -> str:
        """Return an identifier that no other request has."""
        self._number += 1
        return f"{self._identity.daemon}-{self._number:x}"

    def set_data_centre(
        self,
        name: str,
        state: const.DataCentreState,
        if_version: int,
        wall_time: float,
    ) -> replica.Item:
        """Take a data centre out of service or back, and tell the others.

        ``if_version`` is the version that the operator saw. A command that
        was held up thus never undoes one that was given later.
        """
        known = self.replica.get(replica.KIND_DATA_CENTRE, name)
        if known is not None and known.version > if_version:
            if known.value["state"] == state.value:
                return known
            raise exceptions.DataCentreConflict(
                f"{name} is {known.value['state']} since version "
                f"{known.version}; look at it, then try again"
            )
        rank = RANK_OUT if state is const.DataCentreState.OUT else 0
        value = {"state": state.value, "at": round(wall_time, 3)}
        kind = replica.KIND_DATA_CENTRE
        item = self.replica.put(kind, name, value, rank, if_version)
        self.follow_replica(wall_time)
        return item

    def check_capacity_without(self, name: str) -> None:
        """Raise CapacityShort where the rest can't carry the work.

        For each service, the limits of the backend servers that remain must
        hold the requests that are in flight now from this daemon.
        """
        out = self.data_centres_out() | {name}
        for service, pool in sorted(self._pools.items()):
            usable = [
                one
                for one in pool.backends
                if one.instance.data_centre not in out
                and not (one.leaving or one.listed_leaving)
            ]
            load = sum(one.in_flight for one in pool.backends)
            if not usable or load > sum(one.share for one in usable):
                raise exceptions.CapacityShort(
                    f"without {name}, service {service} has "
                    f"{len(usable)} backend servers; use --force if meant"
                )

    def data_centres_out(self) -> set[str]:
        """Return the data centres that get no new work."""
        out = const.DataCentreState.OUT.value
        return {
            item.name
            for item in self.replica.items(replica.KIND_DATA_CENTRE)
            if item.value.get("state") == out
        }

    def follow_replica(self, wall_time: float) -> list[replica.Item]:
        """Act on what other daemons told; return what changed."""
        changed = self.replica.take_changes()
        for item in changed:
            if item.kind == replica.KIND_DATA_CENTRE:
                self._refresh()
                self._tell_applied()
                state = str(item.value.get("state"))
                kind = const.EVENT_DATA_CENTRE
                self.note(kind, item.name, state, wall_time)
            elif item.kind == replica.KIND_BACKEND:
                self.servers.apply_item(item)
            elif item.kind == replica.KIND_HELD:
                self.crash_tracker.refresh()
            elif item.kind == replica.KIND_MEMBER:
                self._follow_member(item)
                self._refresh()
        return changed

    def apply_note(
        self, action: actions.Note, wall_time: float
    ) -> timeline.Event:
        """Put a decision's event on the time line."""
        if action.kind == const.EVENT_BACKEND_WARM:
            self.servers.on_warm(action.subject)
        return self.note(action.kind, action.subject, action.detail, wall_time)

    def report(self, now: float) -> list[dict[str, Any]]:
        """Return what the router thinks of each backend server."""
        return [
            {
                "service": name,
                "address": one.key,
                "data_centre": one.instance.data_centre,
                "warmth": one.warmth.value,
                "leaving": one.leaving or one.listed_leaving,
                "data_centre_out": one.data_centre_out,
                "start": one.start_id,
                "in_flight": one.in_flight,
                "started": one.started,
                "share": one.share,
                "warmer": self.warming_leases.warmer_of(one),
                "latency_ms": round(one.latency_mean.mean * 1000, 2),
                "set_aside": one.set_aside_until > now,
            }
            for name, pool in sorted(self._pools.items())
            for one in pool.backends
        ]

    def confirmed_by(self, name: str, version: int, now: float) -> set[str]:
        """Return the live daemons that follow a data centre's state."""
        confirmed = set()
        for daemon in self.membership.alive_daemons(now):
            item = self.replica.get(replica.KIND_APPLIED, daemon)
            known = item.value["data_centres"] if item is not None else {}
            if known.get(name, 0) >= version:
                confirmed.add(daemon)
        return confirmed

    def _tell_applied(self) -> None:
        """Tell the others what is in force here."""
        states = self.replica.items(replica.KIND_DATA_CENTRE)
        value = {
            "version": self._version,
            "data_centres": {item.name: item.version for item in states},
        }
        kind = replica.KIND_APPLIED
        self.replica.put(kind, self._identity.daemon, value)

    def _configure_pool(self, service: models.Service) -> None:
        """Create or change the pool of a service."""
        pool = self._pools.get(service.name)
        if pool is not None:
            pool.configure(service)
            return
        policy = routing.create_policy(self._policy, self._rng)
        pool = pool_module.ServicePool(
            service, self._identity.data_centre, policy
        )
        pool.set_isolation_check(self.membership.is_isolated)
        self._pools[service.name] = pool

    def _refresh(self) -> None:
        """Bring the pools in line with hosts, members and data centres."""
        out = self.data_centres_out()
        self.warming_leases.set_members(
            self._member_places(), self.membership.ticked_at
        )
        for name, pool in self._pools.items():
            pool.set_instances(
                one for one in self._instances if one.service == name
            )
            pool.divide_limits(
                self._identity.daemon, self.membership.known_daemons
            )
            pool.set_data_centres_out(out)
        for item in self.replica.items(replica.KIND_BACKEND):
            self.servers.apply_item(item)

    def _follow_members(self, now: float) -> None:
        """Follow who is alive and who counts."""
        members = (
            self.membership.alive_daemons(now),
            self.membership.known_daemons,
        )
        if members == self._members:
            return
        self._members = members
        self._refresh()

    def _member_places(self) -> dict[str, str]:
        """Return the live daemons with their data centres."""
        own = self._identity.daemon
        places = {} if self._leaving else {own: self._identity.data_centre}
        for name in self._members[0]:
            if name == own:
                continue
            item = self.replica.get(replica.KIND_MEMBER, name)
            if item is not None:
                places[name] = str(item.value["data_centre"])
        return places

    def _follow_member(self, item: replica.Item) -> None:
        """Follow that a daemon came or leaves."""
        if item.name == self._identity.daemon:
            return
        if item.value.get("leaving"):
            self.membership.on_leave(item.name)
        else:
            self.membership.on_rejoin(item.name)


@attrs.define
class RequestSummary:
    """What the core needs of the head of a request."""

    request_id: str
    method: str
    host: str
    path: str
    peer: str
    timeout_s: float
    fingerprint: str
    fields: abc.Mapping[bytes, bytes]

    def field(self, name: str) -> str:
        """Return the value of a header field, or an empty string."""
        value = self.fields.get(name.lower().encode(), b"")
        return value.decode("latin-1")
