"""Clients of the platform's table, object store and list of hosts."""

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
    """Table of versioned rows with conditional transactions."""

    def __init__(self, platform: client.PlatformClient) -> None:
        """Initialize the service with its HTTP client."""
        self._platform = platform

    def transact(
        self,
        operations: abc.Iterable[Operation],
        callback: interfaces.RowsCallback,
    ) -> None:
        """Apply all writes or none; the callback gets conflicting rows."""
        document = {
            "operations": [
                {
                    "key": operation.key,
                    "value": operation.value,
                    "if_version": operation.if_version,
                }
                for operation in operations
            ]
        }

        def on_response(result: client.Result) -> None:
            if isinstance(result, exceptions.PlatformError):
                callback(result)
            elif result.status == const.STATUS_OK:
                callback([])
            elif result.status == const.STATUS_CONFLICT:
                rows = orjson.loads(result.body)["conflicts"]
                callback([_parse_row(row) for row in rows])
            else:
                callback(_make_write_error(result.status))

        body = orjson.dumps(document)
        self._platform.request("POST", const.PATH_TRANSACT, body, on_response)

    def read(self, key: str, callback: interfaces.RowCallback) -> None:
        """Read a row; version 0 means that it does not exist."""

        def on_response(result: client.Result) -> None:
            if isinstance(result, exceptions.PlatformError):
                callback(result)
            elif result.status == const.STATUS_OK:
                callback(_parse_row(orjson.loads(result.body)))
            else:
                callback(exceptions.PlatformRefused())

        path = const.PATH_ROW + urllib.parse.quote(key, safe="")
        self._platform.request("GET", path, b"", on_response)

    def scan(self, prefix: str, callback: interfaces.RowsCallback) -> None:
        """Read all rows whose key starts with the prefix."""

        def on_response(result: client.Result) -> None:
            if isinstance(result, exceptions.PlatformError):
                callback(result)
            elif result.status == const.STATUS_OK:
                rows = orjson.loads(result.body)["rows"]
                callback([_parse_row(row) for row in rows])
            else:
                callback(exceptions.PlatformRefused())

        path = const.PATH_ROWS + urllib.parse.quote(prefix, safe="")
        self._platform.request("GET", path, b"", on_response)


class ObjectStore(interfaces.ObjectStore):
    """Object store that stores bytes by name."""

    def __init__(self, platform: client.PlatformClient) -> None:
        """Initialize the service with its HTTP client."""
        self._platform = platform

    def put(
        self,
        name: str,
        data: bytes,
        callback: interfaces.StoredCallback,
    ) -> None:
        """Store bytes; the callback gets None or the error."""

        def on_response(result: client.Result) -> None:
            if isinstance(result, exceptions.PlatformError):
                callback(result)
            elif result.status in (const.STATUS_OK, const.STATUS_CREATED):
                callback(None)
            else:
                callback(exceptions.PlatformRefused())

        path = const.PATH_OBJECT + urllib.parse.quote(name)
        self._platform.request("PUT", path, data, on_response)

    def get(self, name: str, callback: interfaces.BytesCallback) -> None:
        """Read bytes; the callback gets None if the object does not exist."""

        def on_response(result: client.Result) -> None:
            if isinstance(result, exceptions.PlatformError):
                callback(result)
            elif result.status == const.STATUS_OK:
                callback(result.body)
            elif result.status == const.STATUS_NOT_FOUND:
                callback(None)
            else:
                callback(exceptions.PlatformRefused())

        path = const.PATH_OBJECT + urllib.parse.quote(name)
        self._platform.request("GET", path, b"", on_response)


class HostList(interfaces.HostList):
    """List of live and leaving backend servers."""

    def __init__(self, platform: client.PlatformClient) -> None:
        """Initialize the service with its HTTP client."""
        self._platform = platform
        self._etag = ""

    def read(self, callback: interfaces.HostsCallback) -> None:
        """Read the list; the callback gets None if it did not change."""

        def on_response(result: client.Result) -> None:
            if isinstance(result, exceptions.PlatformError):
                callback(result)
            elif result.status == const.STATUS_NOT_MODIFIED:
                callback(None)
            elif result.status == const.STATUS_OK:
                self._etag = result.etag
                hosts = orjson.loads(result.body)["hosts"]
                callback([_parse_instance(host) for host in hosts])
            else:
                callback(exceptions.PlatformRefused())

        self._platform.request(
            "GET", const.PATH_HOSTS, b"", on_response, self._etag
        )


def _make_write_error(status: int) -> exceptions.PlatformError:
    """Return the error for a status that is neither success nor conflict.

    A 5xx status is a lost answer: the write may have taken effect before it.
    """
    if status >= 500:
        return exceptions.PlatformAnswerLost()
    return exceptions.PlatformRefused()


def _parse_row(document: dict[str, Any]) -> Row:
    """Return the row in a JSON document."""
    return Row(document["key"], document["version"], document["value"])


def _parse_instance(document: dict[str, Any]) -> models.Instance:
    """Return the backend server in a JSON document."""
    return models.Instance(
        service=document["service"],
        address=models.Address.parse(document["address"]),
        data_centre=document["data_centre"],
        leaving=document.get("state") == "leaving",
    )
