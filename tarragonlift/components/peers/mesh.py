"""Gossip with the other daemons over a few connections."""

from __future__ import annotations

from collections import abc
import random
import socket
import time

from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.data_path import stream
from tarragonlift.components.peers import const
from tarragonlift.components.peers import link
from tarragonlift.components.peers import models
from tarragonlift.core import balancer as balancer_module
from tarragonlift.core import budget
from tarragonlift.core import hlc
from tarragonlift.core import interfaces
from tarragonlift.core import models as core_models
from tarragonlift.core import replica
from tarragonlift.core import rotation
from tarragonlift.core import warming

Address = core_models.Address


class Mesh(interfaces.Peers):
    """Sends the state of this daemon to others and merges theirs."""

    def __init__(
        self,
        poller: poller_module.DataPoller,
        balancer: balancer_module.Balancer,
        seeds: abc.Sequence[Address],
        keys: abc.Callable[[], abc.Sequence[bytes]],
        rng: random.Random,
    ) -> None:
        """Initialize the mesh with the addresses of seed daemons."""
        self._poller = poller
        self._balancer = balancer
        self._seeds = list(seeds)
        self._keys = keys
        self._rng = rng
        self._rotation: rotation.Rotation[Address] = rotation.Rotation(rng)
        self._listener: stream.Listener | None = None
        self._links: dict[Address, link.PeerLink] = {}
        self._accepted: set[link.PeerLink] = set()
        self._fetching: dict[str, abc.Callable[[bytes], None]] = {}
        self._changes_due = False
        self._change_budget = budget.RateBudget(
            const.MAX_CHANGE_MESSAGES_PER_S, const.MAX_CHANGE_BURST
        )
        self.own_address: Address | None = None
        self._documents: dict[str, bytes] = {}
        self.on_changes: abc.Callable[[], None] = _do_nothing
        self._closed_bytes = 0

    @property
    def bytes_sent(self) -> int:
        """Return the number of bytes sent to other daemons."""
        links = [*self._links.values(), *self._accepted]
        return self._closed_bytes + sum(
            peer_link.bytes_sent for peer_link in links
        )

    def listen(self, address: Address) -> Address:
        """Listen for other daemons and start gossip; return the address."""
        self._listener = stream.Listener(
            self._poller, address, self._on_accept
        )
        self.own_address = self._listener.address
        self._tick(time.monotonic())
        return self.own_address

    def add_seeds(self, seeds: abc.Iterable[Address]) -> None:
        """Add the addresses of daemons from the platform's table."""
        self._seeds.extend(seed for seed in seeds if seed not in self._seeds)

    def fetch_document(
        self, digest: str, callback: abc.Callable[[bytes], None]
    ) -> None:
        """Request the bytes of a configuration from a peer."""
        target = self._choose_peer()
        if target is None:
            return
        self._fetching[digest] = callback
        self._send_to(target, models.Fetch(digest))

    def send_loan(self, message: warming.LoanMessage) -> None:
        """Send a message about the loan of a warming lease to its daemon."""
        name = self._balancer.loan_target(message)
        item = self._balancer.replica.get(replica.KIND_MEMBER, name)
        if item is not None and name != self._balancer.identity.daemon:
            address = Address.parse(item.value["address"])
            self._send_to(address, message)

    def keep_document(self, digest: str, data: bytes) -> None:
        """Keep the bytes of a configuration for requests of peers."""
        self._documents = {digest: data}

    def spread_changes(self) -> None:
        """Schedule sending recent changes to a few peers."""
        if self._changes_due:
            return
        self._changes_due = True
        when = self._change_budget.reserve(time.monotonic())
        when += const.CHANGE_DELAY_S
        self._poller.timers.call_at(when, self._send_changes)

    def close(self) -> None:
        """Close the listener and all connections."""
        if self._listener is not None:
            self._listener.close()
        for peer_link in [*self._links.values(), *self._accepted]:
            peer_link.close()

    def _tick(self, now: float) -> None:
        """Send a gossip round to one peer and schedule the next."""
        self._poller.timers.call_at(now + const.GOSSIP_INTERVAL_S, self._tick)
        message = self._next_gossip(now)
        target = self._choose_peer()
        if target is not None:
            self._send_to(target, message)

    def _send_changes(self, now: float) -> None:
        """Send recent changes to a few peers."""
        self._changes_due = False
        replica_ = self._balancer.replica
        if not replica_.has_hot_items:
            return
        message = self._next_gossip(now)
        for target in self._choose_peers(const.CHANGE_FANOUT):
            self._send_to(target, message)

    def _next_gossip(self, now: float) -> models.GossipMessage:
        """Return the message of the next gossip round."""
        stamp = self._balancer.timeline.clock.tick(time.time())
        gossip_round = self._balancer.next_gossip_round(now)
        return models.GossipMessage(gossip_round, stamp.wall_ms, stamp.counter)

    def _known_addresses(self) -> list[Address]:
        """Return the sorted addresses of other daemons that may be alive."""
        addresses = set(self._seeds)
        alive = set(self._balancer.membership.alive_daemons(time.monotonic()))
        for item in self._balancer.replica.items(replica.KIND_MEMBER):
            if item.name in alive:
                addresses.add(Address.parse(item.value["address"]))
        addresses.discard(self.own_address or Address("", 0))
        return sorted(addresses, key=str)

    def _choose_peer(self) -> Address | None:
        """Return the address of the next peer, None if there is none."""
        return self._rotation.next(self._known_addresses())

    def _choose_peers(self, count: int) -> list[Address]:
        """Return the addresses of a few random peers."""
        addresses = self._known_addresses()
        return self._rng.sample(addresses, min(count, len(addresses)))

    def _send_to(self, address: Address, message: models.Message) -> None:
        """Send a message to a peer, connecting first if necessary."""
        existing = self._links.get(address)
        if existing is not None and not existing.is_closed:
            if existing.is_verified or not isinstance(
                message, models.GossipMessage
            ):
                existing.send(message)
            return
        sock = stream.connect(address)
        if sock is None:
            return
        new_link = self._create_link(sock, connecting=True)
        self._links[address] = new_link
        new_link.send(message)

    def _create_link(
        self, sock: socket.socket, connecting: bool
    ) -> link.PeerLink:
        """Return a peer connection on the socket."""
        return link.PeerLink(
            self._poller,
            sock,
            self._balancer.identity.daemon,
            self._keys(),
            self._on_message,
            self._on_closed,
            connecting,
        )

    def _on_accept(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Accept the connection of another daemon."""
        self._accepted.add(self._create_link(sock, connecting=False))

    def _on_closed(self, peer_link: link.PeerLink) -> None:
        """Remove a closed connection."""
        self._closed_bytes += peer_link.bytes_sent
        self._accepted.discard(peer_link)
        for address, existing in list(self._links.items()):
            if existing is peer_link:
                del self._links[address]

    def _on_message(
        self, sender: link.PeerLink, message: models.Message
    ) -> None:
        """Process a message of a verified peer."""
        if isinstance(message, models.GossipMessage):
            self._on_gossip(message)
        elif isinstance(message, models.Fetch):
            data = self._documents.get(message.digest, b"")
            sender.send(models.Document(message.digest, data))
        elif isinstance(message, models.Document):
            callback = self._fetching.pop(message.digest, None)
            if callback is not None and message.data:
                callback(message.data)
        elif isinstance(message, warming.LoanMessage):
            now = time.monotonic()
            reply = self._balancer.on_loan_message(message, now)
            if reply is not None:
                sender.send(reply)

    def _on_gossip(self, message: models.GossipMessage) -> None:
        """Merge a gossip round and report changes."""
        now = time.monotonic()
        stamp = hlc.Stamp(message.wall_ms, message.counter)
        self._balancer.timeline.clock.observe(stamp, time.time())
        changed = self._balancer.merge_gossip_round(message.round, now)
        if changed:
            self.on_changes()


def _do_nothing() -> None:
    """Ignore changes until a handler is set."""
