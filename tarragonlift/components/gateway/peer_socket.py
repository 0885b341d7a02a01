"""Datagrams between daemons.

UDP has no connection that could break unnoticed. Datagrams may be lost: a
daemon that misses one reads the platform's list itself.
"""

from __future__ import annotations

from collections import abc
import socket

import msgpack

from tarragonlift.components.data_path import const as path_const
from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.gateway import peer_codec
from tarragonlift.components.gateway import peer_messages
from tarragonlift.core.fleet import members as members_module
from tarragonlift.core import models as core_models
from tarragonlift import exceptions

# Maximum size of a datagram in bytes; UDP carries at most 65,507.
MAX_DATAGRAM_BYTES = 60_000
MAX_READS_PER_EVENT = 64


class PeerSocket(poller_module.SocketHandler):
    """Sends messages to the other daemons and receives theirs."""

    def __init__(
        self,
        poller: poller_module.DataPoller,
        members: members_module.Members,
        on_message: abc.Callable[[peer_messages.Message], None],
        on_error: abc.Callable[[BaseException], None],
    ) -> None:
        """Initialize the socket; ``listen`` binds it."""
        self._poller = poller
        self._members = members
        self._on_message = on_message
        self._on_error = on_error
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)

    def listen(self, address: core_models.Address) -> core_models.Address:
        """Bind, start receiving and return the bound address."""
        self._sock.bind((address.host, address.port))
        self._poller.attach(self._sock.fileno(), path_const.MASK_READ, self)
        host, port = self._sock.getsockname()[:2]
        return core_models.Address(host, port)

    def send_to_relays(self, message: peer_messages.Message) -> None:
        """Send the message to daemons that pass it on elsewhere."""
        self._send(message, self._members.relays)

    def send_to_data_centre(self, message: peer_messages.Message) -> None:
        """Send the message to the other daemons of this data centre."""
        self._send(message, self._members.local_others)

    def send_to(
        self, address: core_models.Address, message: peer_messages.Message
    ) -> None:
        """Send the message to one daemon."""
        data = msgpack.packb(
            peer_codec.encode(message, peer_codec.MAX_REPLY_DOCUMENT_BYTES)
        )
        self._send_data(data, [address])

    def _send(
        self,
        message: peer_messages.Message,
        members: abc.Iterable[members_module.Member],
    ) -> None:
        """Send the message to these daemons."""
        data = msgpack.packb(peer_codec.encode(message))
        self._send_data(data, [member.address for member in members])

    def _send_data(
        self, data: bytes, addresses: abc.Iterable[core_models.Address]
    ) -> None:
        """Send a datagram to each address."""
        if len(data) > MAX_DATAGRAM_BYTES:
            # The receivers notice by the next digest that they have to read.
            return
        for address in addresses:
            try:
                self._sock.sendto(data, (address.host, address.port))
            except OSError as error:
                self._on_error(error)

    def on_ready(self, mask: int) -> None:
        """Receive and dispatch the pending datagrams."""
        for _ in range(MAX_READS_PER_EVENT):
            try:
                data = self._sock.recv(1 << 16)
            except BlockingIOError:
                return
            except OSError as error:
                # An ICMP error for an earlier datagram: its target has no
                # daemon.
                self._on_error(error)
                return
            try:
                message = peer_codec.parse(data)
            except exceptions.PeerError as error:
                self._on_error(error)
                continue
            self._on_message(message)

    def close(self) -> None:
        """Stop receiving and close the socket."""
        if self._sock.fileno() >= 0:
            self._poller.detach(self._sock.fileno())
            self._sock.close()
