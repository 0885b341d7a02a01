"""Connection between two daemons, authenticated by a shared key.

Both sides send a nonce and answer the other's with a keyed digest over both
nonces and the name of the sender (HMAC, RFC 2104). Several keys may be valid
at a time, so that a key can be replaced without a restart: the first key
signs, and each of them verifies.
"""

from __future__ import annotations

from collections import abc
import hashlib
import hmac
import secrets
import socket
from typing import Any

import msgpack

from tarragonlift.components.data_path import poller as poller_module
from tarragonlift.components.data_path import stream
from tarragonlift.components.peers import const
from tarragonlift.components.peers import models
from tarragonlift import exceptions

# Errors of a message that is not encoded as a peer of this version does.
_MALFORMED = (
    exceptions.PeerError,
    msgpack.UnpackException,
    ValueError,
    TypeError,
    AttributeError,
)


class PeerLink(stream.Stream):
    """Sends and receives messages after both sides proved the key."""

    def __init__(
        self,
        poller: poller_module.DataPoller,
        sock: socket.socket,
        daemon: str,
        keys: abc.Sequence[bytes],
        on_message: abc.Callable[[PeerLink, models.Message], None],
        on_closed: abc.Callable[[PeerLink], None],
        connecting: bool,
    ) -> None:
        """Initialize the connection and send the hello message."""
        super().__init__(poller, sock, connecting)
        self._daemon = daemon
        self._keys = keys
        self._on_message = on_message
        self._on_closed = on_closed
        self._nonce = secrets.token_bytes(const.NONCE_BYTES)
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=const.MAX_MESSAGE_BYTES
        )
        self._peer: models.Hello | None = None
        self._verified = False
        self._queued: list[models.Message] = []
        self.bytes_sent = 0
        self._send_now(models.Hello(daemon, self._nonce))

    @property
    def peer(self) -> str:
        """Return the name of the other daemon, empty before its hello."""
        return self._peer.daemon if self._peer else ""

    @property
    def is_verified(self) -> bool:
        """Return whether the other side has proved the key."""
        return self._verified

    def send(self, message: models.Message) -> None:
        """Send a message, or queue it until the other side is verified."""
        if self._verified:
            self._send_now(message)
        else:
            self._queued.append(message)

    def on_data(self, data: bytes) -> None:
        """Decode and process the received messages."""
        try:
            self._unpacker.feed(data)
            for document in self._unpacker:
                self._process(models.decode(document))
                if self._closed:
                    return
        except _MALFORMED:
            self._fail()

    def on_end(self) -> None:
        """Report that the connection was closed."""
        self._on_closed(self)

    def _process(self, message: models.Message) -> None:
        """Process one message."""
        if isinstance(message, models.Hello):
            self._peer = message
            digest = self._digest(
                self._keys[0], message.nonce, self._nonce, self._daemon
            )
            self._send_now(models.Proof(digest))
        elif isinstance(message, models.Proof):
            self._verify(message)
        elif self._verified:
            self._on_message(self, message)
        else:
            raise exceptions.PeerNotAuthenticated()

    def _verify(self, proof: models.Proof) -> None:
        """Check the proof of the other side against every valid key."""
        if self._peer is None or self._peer.nonce == self._nonce:
            raise exceptions.PeerNotAuthenticated()
        for key in self._keys:
            digest = self._digest(
                key, self._nonce, self._peer.nonce, self._peer.daemon
            )
            if hmac.compare_digest(digest, proof.digest):
                self._verified = True
                break
        else:
            raise exceptions.PeerNotAuthenticated()
        queued, self._queued = self._queued, []
        for message in queued:
            self._send_now(message)

    def _send_now(self, message: models.Message) -> None:
        """Encode and write a message."""
        data = msgpack.packb(models.encode(message))
        self.bytes_sent += len(data)
        self.write(data)

    @staticmethod
    def _digest(
        key: bytes, challenge: bytes, nonce: bytes, daemon: str
    ) -> bytes:
        """Return the keyed digest over both nonces and the prover's name."""
        data: Any = challenge + nonce + daemon.encode()
        return hmac.new(key, data, hashlib.sha256).digest()
