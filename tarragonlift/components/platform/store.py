"""The platform's table, object store and list of hosts."""

from __future__ import annotations

from collections import abc
from typing import Any
import urllib.parse

import orjson

from tarragonlift.components.platform import client
from tarragonlift.components.platform import const
from tarragonlift.core import interfaces
from tarragonlift.core import models
from tarragonlift import exceptions

Row = interfaces.Row
Operation = interfaces.Operation


class Table(interfaces.Table):
    """Rows with versions, changed by transactions with conditions."""

    def __init__(self, platform: client.PlatformClient) -> None:
        """Talk through this client."""
        self._platform = platform

    def transact(
        self,
        operations: abc.Iterable[Operation],
        callback: interfaces.RowsCallback,
    ) -> None:
        """Do all writes or none; the callback gets rows in the way."""
        document = {
            "operations": [
                {
                    "key": one.key,
                    "value": one.value,
                    "if_version": one.if_version,
                }
                for one in operations
            ]
        }

        def done(result: client.Result) -> None:
            if isinstance(result, exceptions.PlatformError):
                callback(result)
            elif result.status == const.STATUS_OK:
                callback([])
            elif result.status == const.STATUS_CONFLICT:
                rows = orjson.loads(result.body)["conflicts"]
                callback([_row(row) for row in rows])
            else:
                callback(_write_refused(result.status))

        body = orjson.dumps(document)
        self._platform.request("POST", const.PATH_TRANSACT, body, done)

    def read(self, key: str, callback: interfaces.RowCallback) -> None:
        """Read one row; version 0 means that there is none."""

        def done(result: client.Result) -> None:
            if isinstance(result, exceptions.PlatformError):
                callback(result)
            elif result.status == const.STATUS_OK:
                callback(_row(orjson.loads(result.body)))
            else:
                callback(exceptions.PlatformRefused())

        path = const.PATH_ROW + urllib.parse.quote(key, safe="")
        self._platform.request("GET", path, b"", done)

    def scan(self, prefix: str, callback: interfaces.RowsCallback) -> None:
        """Read all rows whose key begins with the prefix."""

        def done(result: client.Result) -> None:
            if isinstance(result, exceptions.PlatformError):
                callback(result)
            elif result.status == const.STATUS_OK:
                rows = orjson.loads(result.body)["rows"]
                callback([_row(row) for row in rows])
            else:
                callback(exceptions.PlatformRefused())

        path = const.PATH_ROWS + urllib.parse.quote(prefix, safe="")
        self._platform.request("GET", path, b"", done)


class ObjectStore(interfaces.ObjectStore):
    """Bytes under names."""

    def __init__(self, platform: client.PlatformClient) -> None:
        """Talk through this client."""
        self._platform = platform

    def put(
        self,
        name: str,
        data: bytes,
        callback: interfaces.StoredCallback,
    ) -> None:
        """Store bytes; the callback gets None or the error."""

        def done(result: client.Result) -> None:
            if isinstance(result, exceptions.PlatformError):
                callback(result)
            elif result.status in (const.STATUS_OK, const.STATUS_CREATED):
                callback(None)
            else:
                callback(exceptions.PlatformRefused())

        path = const.PATH_OBJECT + urllib.parse.quote(name)
        self._platform.request("PUT", path, data, done)

    def get(self, name: str, callback: interfaces.BytesCallback) -> None:
        """Read bytes; the callback gets None where there is no object."""

        def done(result: client.Result) -> None:
            if isinstance(result, exceptions.PlatformError):
                callback(result)
            elif result.status == const.STATUS_OK:
                callback(result.body)
            elif result.status == const.STATUS_NOT_FOUND:
                callback(None)
            else:
                callback(exceptions.PlatformRefused())

        path = const.PATH_OBJECT + urllib.parse.quote(name)
        self._platform.request("GET", path, b"", done)


class HostList(interfaces.HostList):
    """The platform's list of live and leaving backend servers."""

    def __init__(self, platform: client.PlatformClient) -> None:
        """Talk through this client."""
        self._platform = platform
        self._etag = ""

    def read(self, callback: interfaces.HostsCallback) -> None:
        """Read the list; the callback gets None where nothing changed."""

        def done(result: client.Result) -> None:
            if isinstance(result, exceptions.PlatformError):
                callback(result)
            elif result.status == const.STATUS_NOT_MODIFIED:
                callback(None)
            elif result.status == const.STATUS_OK:
                self._etag = result.etag
                hosts = orjson.loads(result.body)["hosts"]
                callback([_instance(host) for host in hosts])
            else:
                callback(exceptions.PlatformRefused())

        self._platform.request("GET", const.PATH_HOSTS, b"", done, self._etag)


def _write_refused(status: int) -> exceptions.PlatformError:
    """Return the error for a status that is neither yes nor no.

    A server's error may come after the write took effect.
    """
    if status >= 500:
        return exceptions.PlatformAnswerLost()
    return exceptions.PlatformRefused()


def _row(document: dict[str, Any]) -> Row:
    """Return a row from its document."""
    return Row(document["key"], document["version"], document["value"])


def _instance(document: dict[str, Any]) -> models.Instance:
    """Return a backend server from its document."""
    return models.Instance(
        service=document["service"],
        address=models.Address.parse(document["address"]),
        data_centre=document["data_centre"],
        leaving=document.get("state") == "leaving",
    )
