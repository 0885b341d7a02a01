"""Keeps this daemon at the latest configuration and pushes new ones.

The head row of the table holds the version in force and the digest of its
text, which is in the object store. A push moves the head from version n to
n+1 by compare-and-set. Daemons poll the head and learn of versions by gossip.
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
    """Push that is not in the head row yet."""

    push_id: str
    bundle: config.Bundle
    digest: str
    operator: str
    if_version: int
    callback: PushCallback
    attempts: int = 0
    may_be_written: bool = False


class ConfigurationManager:
    """Polls the head of the configuration and pushes new versions."""

    def __init__(
        self,
        loop: interfaces.Loop,
        balancer: balancer_module.Balancer,
        table: interfaces.Table,
        objects: interfaces.ObjectStore,
        peers: interfaces.Peers,
    ) -> None:
        """Initialize the manager, which is idle until ``start``."""
        self._loop = loop
        self._balancer = balancer
        self._table = table
        self._objects = objects
        self._peers = peers
        self._bundle: config.Bundle | None = None
        self._digest = ""
        self._learned = 0
        self.on_applied: abc.Callable[[], None] = _do_nothing

    @property
    def bundle(self) -> config.Bundle | None:
        """Return the texts of the configuration in force on this daemon."""
        return self._bundle

    @property
    def digest(self) -> str:
        """Return the digest of the texts in force on this daemon."""
        return self._digest

    def start(self) -> None:
        """Start polling the head."""
        self._poll_head(self._loop.now())

    def push(
        self,
        push_id: str,
        bundle: config.Bundle,
        operator: str,
        if_version: int,
        callback: PushCallback,
    ) -> None:
        """Validate and store a configuration, then move the head to it."""
        try:
            config.check_bundle(bundle)
        except exceptions.InvalidDocument as error:
            callback(error)
            return
        data = bundle.encode()
        digest = compute_digest(data)
        push = _Push(push_id, bundle, digest, operator, if_version, callback)

        def on_stored(error: exceptions.PlatformError | None) -> None:
            if error is not None:
                callback(error)
                return
            self._move_head(push)

        self._objects.put(const.OBJECT_PREFIX + digest, data, on_stored)

    def read_history(self, callback: interfaces.RowsCallback) -> None:
        """Read the history of pushes from the table."""
        self._table.scan(const.HISTORY_PREFIX, callback)

    def fetch_bundle(
        self, digest: str, callback: interfaces.BytesCallback
    ) -> None:
        """Read an earlier configuration by its digest."""
        self._objects.get(const.OBJECT_PREFIX + digest, callback)

    def follow_replica(self) -> None:
        """Apply the version announced by another daemon, if it is newer."""
        item = self._balancer.replica.get(
            replica.KIND_CONFIGURATION, HEAD_NAME
        )
        if item is not None:
            self._fetch_newer(item.value["version"], item.value["digest"])

    def _poll_head(self, now: float) -> None:
        """Read the head periodically."""
        when = now + const.POLL_INTERVAL_S
        self._loop.call_at(when, self._poll_head)

        def on_head(row: interfaces.Row | exceptions.PlatformError) -> None:
            if isinstance(row, exceptions.PlatformError):
                self.follow_replica()
            elif row.value is not None:
                self._fetch_newer(row.version, row.value["digest"])

        self._table.read(const.HEAD_KEY, on_head)

    def _fetch_newer(self, version: int, digest: str) -> None:
        """Fetch and apply a version newer than the one in force here."""
        if version <= self._balancer.version:
            return

        def on_object(
            data: bytes | None | exceptions.PlatformError,
        ) -> None:
            if isinstance(data, bytes):
                self._apply(version, digest, data)
            else:
                self._peers.fetch_document(digest, on_peer_document)

        def on_peer_document(data: bytes) -> None:
            self._apply(version, digest, data)

        self._objects.get(const.OBJECT_PREFIX + digest, on_object)

    def _apply(self, version: int, digest: str, data: bytes) -> None:
        """Put a version in force on this daemon."""
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
        self._announce(version, digest)
        self.on_applied()

    def _announce(self, version: int, digest: str) -> None:
        """Announce the version to the other daemons unless gossip has it."""
        kind = replica.KIND_CONFIGURATION
        item = self._balancer.replica.get(kind, HEAD_NAME)
        if item is None or item.value["version"] < version:
            value = {"version": version, "digest": digest}
            announcement = replica.Item(kind, HEAD_NAME, version, 0, "", value)
            self._balancer.replica.merge([announcement])
        self._peers.spread_changes()

    def _move_head(self, push: _Push) -> None:
        """Move the head from version n to n+1.

        The transaction is conditional, so it is safe to retry after a lost
        answer: the retry then conflicts with the rows of this push.
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

        def on_transaction_result(
            result: list[interfaces.Row] | exceptions.PlatformError,
        ) -> None:
            if isinstance(result, exceptions.PlatformError):
                self._retry(push, result)
            elif not result or _has_push(result, history_key, push):
                self._on_pushed(push, version)
            else:
                push.callback(_make_conflict(result))

        self._table.transact([head, history], on_transaction_result)

    def _retry(self, push: _Push, error: exceptions.PlatformError) -> None:
        """Retry after an error of the table, up to a number of attempts."""
        push.attempts += 1
        if isinstance(error, exceptions.PlatformAnswerLost):
            push.may_be_written = True
        if push.attempts > const.MAX_PUSH_ATTEMPTS:
            answer_lost = exceptions.PlatformAnswerLost()
            push.callback(answer_lost if push.may_be_written else error)
            return
        when = self._loop.now() + const.RETRY_INTERVAL_S
        self._loop.call_at(when, lambda now: self._move_head(push))

    def _on_pushed(self, push: _Push, version: int) -> None:
        """Record the push, apply its configuration and report success."""
        kind = core_const.EVENT_CONFIGURATION_PUSHED
        detail = f"{push.operator} {push.push_id}"
        self._balancer.note(kind, str(version), detail, self._loop.wall_time())
        self._apply(version, push.digest, push.bundle.encode())
        push.callback(version)


def compute_digest(data: bytes) -> str:
    """Return the digest under which a configuration is stored."""
    return hashlib.sha256(data).hexdigest()


def _has_push(
    rows: abc.Iterable[interfaces.Row], key: str, push: _Push
) -> bool:
    """Return whether the push wrote the row with this key."""
    for row in rows:
        if row.key == key and row.value is not None:
            return bool(row.value.get("push") == push.push_id)
    return False


def _make_conflict(
    rows: abc.Iterable[interfaces.Row],
) -> exceptions.ConfigurationConflict:
    """Return the error with the version and operator that won."""
    newest = max(rows, key=lambda row: (row.key == const.HEAD_KEY))
    operator = (newest.value or {}).get("operator", "nobody")
    return exceptions.ConfigurationConflict(newest.version, operator)


def _do_nothing() -> None:
    """Ignore a new configuration until a handler is set."""
