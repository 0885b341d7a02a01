"""Keeps this daemon at the newest configuration and accepts new ones.

The head row of the table names the version in force and the digest of its
text, which lies in the object store. A push moves the head from version n to
n+1 by compare-and-set. Daemons follow the head and one another.
"""

from __future__ import annotations

from collections import abc
import hashlib
from typing import Any

import attrs

from tarragonlift.components.configuration import const
from tarragonlift import config
from tarragonlift.core import balancer as balancer_module
from tarragonlift.core import const as core_const
from tarragonlift.core import interfaces
from tarragonlift.core import replica
from tarragonlift import exceptions

HEAD_NAME = "head"
PushResult = int | exceptions.TarragonliftError
PushCallback = abc.Callable[[PushResult], None]


@attrs.define
class _Push:
    """A push on its way into the head row."""

    push_id: str
    bundle: config.Bundle
    digest: str
    operator: str
    if_version: int
    callback: PushCallback
    attempts: int = 0
    maybe_written: bool = False


class ConfigurationManager:
    """Follows the head of the configuration; pushes new versions."""

    def __init__(
        self,
        loop: interfaces.Loop,
        balancer: balancer_module.Balancer,
        table: interfaces.Table,
        objects: interfaces.ObjectStore,
        peers: interfaces.Peers,
    ) -> None:
        """Follow nothing before ``start``."""
        self._loop = loop
        self._balancer = balancer
        self._table = table
        self._objects = objects
        self._peers = peers
        self._bundle: config.Bundle | None = None
        self._digest = ""
        self._learned = 0
        self.on_applied: abc.Callable[[], None] = _nothing

    @property
    def bundle(self) -> config.Bundle | None:
        """Return the texts of the configuration in force here."""
        return self._bundle

    @property
    def digest(self) -> str:
        """Return the digest of the texts in force here."""
        return self._digest

    def start(self) -> None:
        """Follow the head from now on."""
        self._poll_head(self._loop.now())

    def push(
        self,
        push_id: str,
        bundle: config.Bundle,
        operator: str,
        if_version: int,
        callback: PushCallback,
    ) -> None:
        """Check and store a configuration, then move the head to it."""
        try:
            config.check_bundle(bundle)
        except exceptions.InvalidDocument as error:
            callback(error)
            return
        data = bundle.encode()
        digest = compute_digest(data)
        push = _Push(push_id, bundle, digest, operator, if_version, callback)

        def stored(error: exceptions.PlatformError | None) -> None:
            if error is not None:
                callback(error)
                return
            self._move_head(push)

        self._objects.put(const.OBJECT_PREFIX + digest, data, stored)

    def read_history(self, callback: interfaces.RowsCallback) -> None:
        """Read the history of pushes."""
        self._table.scan(const.HISTORY_PREFIX, callback)

    def fetch_bundle(
        self, digest: str, callback: interfaces.BytesCallback
    ) -> None:
        """Read an old configuration by its digest."""
        self._objects.get(const.OBJECT_PREFIX + digest, callback)

    def follow_replica(self) -> None:
        """Go to the version that another daemon told of."""
        item = self._balancer.replica.get(
            replica.KIND_CONFIGURATION, HEAD_NAME
        )
        if item is not None:
            self._follow(item.value["version"], item.value["digest"])

    def _poll_head(self, now: float) -> None:
        """Read the head once in a while."""
        when = now + const.POLL_INTERVAL_S
        self._loop.call_at(when, self._poll_head)

        def done(row: interfaces.Row | exceptions.PlatformError) -> None:
            if isinstance(row, exceptions.PlatformError):
                self.follow_replica()
            elif row.value is not None:
                self._follow(row.version, row.value["digest"])

        self._table.read(const.HEAD_KEY, done)

    def _follow(self, version: int, digest: str) -> None:
        """Fetch and adopt a version that is newer than ours."""
        if version <= self._balancer.version:
            return

        def from_store(
            data: bytes | None | exceptions.PlatformError,
        ) -> None:
            if isinstance(data, bytes):
                self._adopt(version, digest, data)
            else:
                self._peers.fetch_document(digest, from_peer)

        def from_peer(data: bytes) -> None:
            self._adopt(version, digest, data)

        self._objects.get(const.OBJECT_PREFIX + digest, from_store)

    def _adopt(self, version: int, digest: str, data: bytes) -> None:
        """Put a version in force here."""
        if compute_digest(data) != digest or version <= self._balancer.version:
            return
        bundle = config.Bundle.decode(data)
        identity = self._balancer.identity
        configuration = config.build(bundle, identity.data_centre)
        if not self._balancer.apply_configuration(
            version, configuration, self._loop.wall_time()
        ):
            return
        self._bundle = bundle
        self._digest = digest
        self._peers.keep_document(digest, data)
        self._tell(version, digest)
        self.on_applied()

    def _tell(self, version: int, digest: str) -> None:
        """Tell the others of the version, unless they know it."""
        kind = replica.KIND_CONFIGURATION
        item = self._balancer.replica.get(kind, HEAD_NAME)
        if item is None or item.value["version"] < version:
            value = {"version": version, "digest": digest}
            told = replica.Item(kind, HEAD_NAME, version, 0, "", value)
            self._balancer.replica.merge([told])
        self._peers.spread_changes()

    def _move_head(self, push: _Push) -> None:
        """Move the head from version n to n+1.

        The transaction is conditional, so sending it again after a lost
        answer is safe: its own rows then stand in the way.
        """
        version = push.if_version + 1
        value: dict[str, Any] = {
            "digest": push.digest,
            "push": push.push_id,
            "operator": push.operator,
            "at": round(self._loop.wall_time(), 3),
        }
        head = interfaces.Operation(const.HEAD_KEY, value, push.if_version)
        history_key = f"{const.HISTORY_PREFIX}{version:08d}"
        history = interfaces.Operation(history_key, value, 0)

        def done(
            result: list[interfaces.Row] | exceptions.PlatformError,
        ) -> None:
            if isinstance(result, exceptions.PlatformError):
                self._retry(push, result)
            elif not result or _has_push(result, history_key, push):
                self._pushed(push, version)
            else:
                push.callback(_conflict(result))

        self._table.transact([head, history], done)

    def _retry(self, push: _Push, error: exceptions.PlatformError) -> None:
        """Try again while the store is away, for a while."""
        push.attempts += 1
        if isinstance(error, exceptions.PlatformAnswerLost):
            push.maybe_written = True
        if push.attempts > const.MAX_PUSH_ATTEMPTS:
            lost = exceptions.PlatformAnswerLost()
            push.callback(lost if push.maybe_written else error)
            return
        when = self._loop.now() + const.RETRY_INTERVAL_S
        self._loop.call_at(when, lambda now: self._move_head(push))

    def _pushed(self, push: _Push, version: int) -> None:
        """The push is accepted."""
        kind = core_const.EVENT_CONFIGURATION_PUSHED
        detail = f"{push.operator} {push.push_id}"
        self._balancer.note(kind, str(version), detail, self._loop.wall_time())
        self._adopt(version, push.digest, push.bundle.encode())
        push.callback(version)


def compute_digest(data: bytes) -> str:
    """Return the digest under which a configuration is stored."""
    return hashlib.sha256(data).hexdigest()


def _has_push(
    rows: abc.Iterable[interfaces.Row], key: str, push: _Push
) -> bool:
    """Return whether the row of this key was written by the push."""
    for row in rows:
        if row.key == key and row.value is not None:
            return bool(row.value.get("push") == push.push_id)
    return False


def _conflict(
    rows: abc.Iterable[interfaces.Row],
) -> exceptions.ConfigurationConflict:
    """Return who was first."""
    newest = max(rows, key=lambda row: (row.key == const.HEAD_KEY))
    operator = (newest.value or {}).get("operator", "nobody")
    return exceptions.ConfigurationConflict(newest.version, operator)


def _nothing() -> None:
    """Do nothing."""
