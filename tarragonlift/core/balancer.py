"""The decision logic of one daemon."""

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

SERVERS_RANKED_PER_TICK = 1
RANK_OUT = 1


@attrs.frozen
class Identity:
    """The name, data centre and addresses of this daemon."""

    daemon: str
    data_centre: str
    address: str
    admin_address: str


class Balancer:
    """Holds the state of one daemon and makes its decisions.

    Times are seconds of a monotonic clock, except ``wall_time``.
    """

    def __init__(
        self,
        identity: Identity,
        rng: random.Random,
        epoch: int,
        policy: str = routing.POLICY_LEAST_IN_FLIGHT,
    ) -> None:
        """Initialize the balancer without a configuration.

        Requests are refused until a configuration is applied. ``epoch`` must
        grow from one start of the daemon to the next, for example the wall
        clock in milliseconds.
        """
        self._identity = identity
        self._rng = rng
        self._policy = policy
        self._configuration: models.Configuration | None = None
        self._version = 0
        self._pools: dict[str, pool_module.ServicePool] = {}
        self._instances: tuple[models.Instance, ...] = ()
        self._members: tuple[list[str], list[str]] = ([], [])
        self._last_request_number = 0
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
        """Return the identity of this daemon."""
        return self._identity

    @property
    def has_settled(self) -> bool:
        """Return whether the membership and leases have ever settled."""
        return self._has_settled

    def set_addresses(self, address: str, admin_address: str) -> None:
        """Set the addresses that the listening sockets are bound to."""
        self._identity = attrs.evolve(
            self._identity, address=address, admin_address=admin_address
        )

    @property
    def configuration(self) -> models.Configuration | None:
        """Return the configuration in force on this daemon, or None."""
        return self._configuration

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 for none."""
        return self._version

    @property
    def pools(self) -> abc.Mapping[str, pool_module.ServicePool]:
        """Return the pools by service name."""
        return self._pools

    @property
    def instances(self) -> tuple[models.Instance, ...]:
        """Return the platform's list of backend servers."""
        return self._instances

    def note(
        self, kind: str, subject: str, detail: str, wall_time: float
    ) -> timeline.Event:
        """Add an event to the timeline."""
        return self.timeline.add(kind, subject, detail, wall_time)

    def apply_configuration(
        self,
        version: int,
        configuration: models.Configuration,
        wall_time: float,
    ) -> bool:
        """Apply a configuration if its version is newer; return whether."""
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
            {item.name: item.probes for item in configuration.services}
        )
        self._publish_applied()
        kind = const.EVENT_CONFIGURATION_ADOPTED
        self.note(kind, str(version), "", wall_time)
        return True

    def set_instances(self, instances: abc.Iterable[models.Instance]) -> None:
        """Set the backend servers from the platform's list of hosts."""
        self._instances = tuple(instances)
        self._refresh()

    def tick(self, now: float) -> list[warming.LoanMessage]:
        """Run the periodic work; return the loan messages to send.

        It is called several times a second.
        """
        self.membership.tick(now)
        self._update_members(now)
        self._has_settled |= self.warming_leases.is_settled(now)
        self.warming_leases.refresh(self.servers.all(), now)
        messages: list[warming.LoanMessage] = []
        for pool in self._pools.values():
            for server in pool.servers_to_warm(now):
                loan_request = self.warming_leases.request_loan(server, now)
                if loan_request is not None:
                    messages.append(loan_request)
            pool.continue_dividing(SERVERS_RANKED_PER_TICK)
        for key in self.warming_leases.borrowed_keys:
            server = self.servers.find(key)
            loan_return = server and self.warming_leases.next_return(
                server, now
            )
            if loan_return is not None:
                messages.append(loan_return)
        return messages

    def leave(self) -> None:
        """Give up all warming leases because this daemon is stopping."""
        self._leaving = True
        self._refresh()

    def next_gossip_round(self, now: float) -> replica.GossipRound:
        """Return the next gossip message."""
        return replica.GossipRound(
            self._identity.daemon,
            self.membership.next_heartbeats(now),
            self.replica.next_items(),
        )

    def merge_gossip_round(
        self, message: replica.GossipRound, now: float
    ) -> list[replica.Item]:
        """Merge a gossip message and return the items that changed."""
        self.membership.on_heartbeats(message.heartbeats, now)
        return self.replica.merge(message.items)

    def on_loan_message(
        self, message: warming.LoanMessage, now: float
    ) -> warming.LoanGrant | None:
        """Handle a message about a warming lease and return the reply."""
        server = self.servers.find(message.server)
        if isinstance(message, warming.LoanRequest):
            return self.warming_leases.on_loan_request(message, server, now)
        if isinstance(message, warming.LoanGrant):
            self.warming_leases.on_loan_grant(message, server, now)
        else:
            self.warming_leases.on_loan_return(message, server)
        return None

    def loan_target(self, message: warming.LoanMessage) -> str:
        """Return the daemon that a loan message must be sent to."""
        server = self.servers.find(message.server)
        return (
            self.warming_leases.warmer_of(server) if server is not None else ""
        )

    def on_member_rows(
        self, versions: abc.Mapping[str, int], now: float
    ) -> None:
        """Update the members from the daemons' rows in the table."""
        for name in self.membership.on_rows(versions, now):
            self.replica.drop(replica.KIND_MEMBER, name)
            self.replica.drop(replica.KIND_APPLIED, name)

    def open_call(
        self,
        summary: RequestSummary,
        now: float,
    ) -> call_module.Call:
        """Return the call for a request; raise Refusal if it is refused."""
        configuration = self._configuration
        if configuration is None or self.membership.is_isolated(now):
            raise exceptions.Stopping(const.Outcome.NOT_RUN)
        service = configuration.service_for(summary.host, summary.path)
        if service is None:
            raise exceptions.NoSuchService(const.Outcome.NOT_RUN)
        rule = service.rule_for(summary.method, summary.path)
        key = ""
        if rule.run is const.Run.ONCE:
            key = summary.field(rule.key_header)
            if not key:
                raise exceptions.KeyMissing(const.Outcome.NOT_RUN)
        caller = summary.peer
        if service.caller_header:
            caller = summary.field(service.caller_header) or caller
        request = models.Request(
            request_id=summary.request_id,
            service=service,
            run=rule.run,
            key=key,
            method=summary.method,
            path=summary.path,
            caller=caller,
            received_at=now,
            deadline_at=now + (summary.timeout_s or service.deadline_s),
            fingerprint=summary.fingerprint,
        )
        if len(self.crash_tracker) and self.crash_tracker.is_held(request):
            raise exceptions.CrashSuspected(const.Outcome.NOT_RUN)
        pool = self._pools[service.name]
        return call_module.Call(request, pool, self.crash_tracker)

    def new_request_id(self) -> str:
        """Return a unique request ID."""
        self._last_request_number += 1
        return f"{self._identity.daemon}-{self._last_request_number:x}"

    def set_data_centre(
        self,
        name: str,
        state: const.DataCentreState,
        if_version: int,
        wall_time: float,
    ) -> replica.Item:
        """Take a data centre out of or back into service and publish this.

        ``if_version`` is the version that the operator saw, so that a delayed
        command never undoes a later one. Raises DataCentreConflict.
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
        """Raise CapacityShort if the remaining servers lack capacity.

        For each service, this daemon's shares of the remaining backend
        servers must cover its requests that are in flight now.
        """
        out = self.data_centres_out() | {name}
        for service, pool in sorted(self._pools.items()):
            usable = [
                server
                for server in pool.backends
                if server.instance.data_centre not in out
                and not (server.leaving or server.listed_leaving)
            ]
            load = sum(server.in_flight for server in pool.backends)
            if not usable or load > sum(server.share for server in usable):
                raise exceptions.CapacityShort(
                    f"without {name}, service {service} has "
                    f"{len(usable)} backend servers; use --force if meant"
                )

    def data_centres_out(self) -> set[str]:
        """Return the data centres that get no new requests."""
        out = const.DataCentreState.OUT.value
        return {
            item.name
            for item in self.replica.items(replica.KIND_DATA_CENTRE)
            if item.value.get("state") == out
        }

    def follow_replica(self, wall_time: float) -> list[replica.Item]:
        """Apply and return the items that changed in the replica."""
        changed = self.replica.pop_changes()
        for item in changed:
            if item.kind == replica.KIND_DATA_CENTRE:
                self._refresh()
                self._publish_applied()
                state = str(item.value.get("state"))
                kind = const.EVENT_DATA_CENTRE
                self.note(kind, item.name, state, wall_time)
            elif item.kind == replica.KIND_BACKEND:
                self.servers.apply_item(item)
            elif item.kind == replica.KIND_HELD:
                self.crash_tracker.refresh()
            elif item.kind == replica.KIND_MEMBER:
                self._update_member(item)
                self._refresh()
        return changed

    def apply_note(
        self, action: actions.Note, wall_time: float
    ) -> timeline.Event:
        """Add an event of a call; publish a server that became warm."""
        if action.kind == const.EVENT_BACKEND_WARM:
            self.servers.on_warm(action.subject)
        return self.note(action.kind, action.subject, action.detail, wall_time)

    def report(self, now: float) -> list[dict[str, Any]]:
        """Return the routing state of each backend server."""
        return [
            {
                "service": name,
                "address": server.key,
                "data_centre": server.instance.data_centre,
                "warmth": server.warmth.value,
                "leaving": server.leaving or server.listed_leaving,
                "data_centre_out": server.data_centre_out,
                "start": server.start_id,
                "in_flight": server.in_flight,
                "started": server.started,
                "share": server.share,
                "warmer": self.warming_leases.warmer_of(server),
                "latency_ms": round(server.latency_mean.mean * 1000, 2),
                "set_aside": server.set_aside_until > now,
            }
            for name, pool in sorted(self._pools.items())
            for server in pool.backends
        ]

    def confirmed_by(self, name: str, version: int, now: float) -> set[str]:
        """Return the live daemons that announced this version of a state."""
        confirmed = set()
        for daemon in self.membership.alive_daemons(now):
            item = self.replica.get(replica.KIND_APPLIED, daemon)
            known = item.value["data_centres"] if item is not None else {}
            if known.get(name, 0) >= version:
                confirmed.add(daemon)
        return confirmed

    def _publish_applied(self) -> None:
        """Publish the versions that are in force on this daemon."""
        states = self.replica.items(replica.KIND_DATA_CENTRE)
        value = {
            "version": self._version,
            "data_centres": {item.name: item.version for item in states},
        }
        kind = replica.KIND_APPLIED
        self.replica.put(kind, self._identity.daemon, value)

    def _configure_pool(self, service: models.Service) -> None:
        """Create or update the pool of a service."""
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
        """Update the pools after hosts, members or data centres changed."""
        out = self.data_centres_out()
        self.warming_leases.set_members(
            self._member_data_centres(), self.membership.ticked_at
        )
        for name, pool in self._pools.items():
            pool.set_instances(
                instance
                for instance in self._instances
                if instance.service == name
            )
            pool.divide_limits(
                self._identity.daemon, self.membership.known_daemons
            )
            pool.set_data_centres_out(out)
        for item in self.replica.items(replica.KIND_BACKEND):
            self.servers.apply_item(item)

    def _update_members(self, now: float) -> None:
        """Refresh the pools if the known or alive daemons changed."""
        members = (
            self.membership.alive_daemons(now),
            self.membership.known_daemons,
        )
        if members == self._members:
            return
        self._members = members
        self._refresh()

    def _member_data_centres(self) -> dict[str, str]:
        """Return the data centre of each live daemon."""
        own = self._identity.daemon
        data_centres = (
            {} if self._leaving else {own: self._identity.data_centre}
        )
        for name in self._members[0]:
            if name == own:
                continue
            item = self.replica.get(replica.KIND_MEMBER, name)
            if item is not None:
                data_centres[name] = str(item.value["data_centre"])
        return data_centres

    def _update_member(self, item: replica.Item) -> None:
        """Update the membership after a daemon joined or left."""
        if item.name == self._identity.daemon:
            return
        if item.value.get("leaving"):
            self.membership.on_leave(item.name)
        else:
            self.membership.on_rejoin(item.name)


@attrs.define
class RequestSummary:
    """The parts of a request head that the core needs."""

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
