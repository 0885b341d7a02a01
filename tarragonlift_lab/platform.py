"""A stand-in for the platform's table, object store and host list."""

from __future__ import annotations

import asyncio
from typing import Any
import urllib.parse

import attrs
import orjson

from tarragonlift_lab import http

Request = http.Request
Response = http.Response


@attrs.define
class Faults:
    """Injected faults, set by name over ``/.control``."""

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    hosts_lag_s: float = 0.0


class PlatformServer:
    """Versioned table rows, named objects and the list of hosts."""

    def __init__(self) -> None:
        """Initialize the platform without rows, objects and hosts."""
        self._rows: dict[str, tuple[int, Any]] = {}
        self._objects: dict[str, bytes] = {}
        self._hosts: list[dict[str, str]] = []
        self._hosts_version = 0
        self.faults = Faults()
        self.request_counts = {"writes": 0, "reads": 0}

    async def handle(self, request: Request) -> Response:
        """Handle a request and apply the injected faults.

        A lost answer is dropped after its write has taken effect.
        """
        path = urllib.parse.unquote(request.path)
        if path == "/.control":
            return self._apply_control(request)
        if self.faults.down:
            raise http.DropConnection()
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        response = self._dispatch(path, request)
        if request.method != "GET" and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise http.DropConnection()
        return response

    def _dispatch(self, path: str, request: Request) -> Response:
        """Dispatch a request by its path."""
        kind = "reads" if request.method == "GET" else "writes"
        self.request_counts[kind] += 1
        if path == "/table/transact":
            return self._transact(orjson.loads(request.body))
        if path.startswith("/table/row/"):
            return _make_json_response(
                self._read_row(path.removeprefix("/table/row/"))
            )
        if path.startswith("/table/rows/"):
            return self._list_rows(path.removeprefix("/table/rows/"))
        if path.startswith("/objects/"):
            return self._handle_object(path, request)
        if path == "/hosts":
            return self._list_hosts(request)
        return Response(404)

    def _transact(self, document: dict[str, Any]) -> Response:
        """Apply all writes of a transaction, or none on a conflict."""
        operations = document["operations"]
        conflicts = [
            self._read_row(operation["key"])
            for operation in operations
            if self._rows.get(operation["key"], (0, None))[0]
            != operation["if_version"]
        ]
        if conflicts:
            return _make_json_response({"conflicts": conflicts}, 409)
        for operation in operations:
            if operation["value"] is None:
                self._rows.pop(operation["key"], None)
            else:
                version = operation["if_version"] + 1
                self._rows[operation["key"]] = (version, operation["value"])
        return _make_json_response({"ok": True})

    def _read_row(self, key: str) -> dict[str, Any]:
        """Return a row as a document; version 0 if it does not exist."""
        version, value = self._rows.get(key, (0, None))
        return {"key": key, "version": version, "value": value}

    def _list_rows(self, prefix: str) -> Response:
        """Return all rows whose key begins with the prefix."""
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return _make_json_response(
            {"rows": [self._read_row(key) for key in keys]}
        )

    def _handle_object(self, path: str, request: Request) -> Response:
        """Read or write an object."""
        if request.method == "PUT":
            self._objects[path] = request.body
            return Response(201)
        body = self._objects.get(path)
        if body is None:
            return Response(404)
        return Response(body=body)

    def _list_hosts(self, request: Request) -> Response:
        """Return the list of hosts, or 304 if it is unchanged."""
        etag = f'"{self._hosts_version}"'
        if request.headers.get("if-none-match") == etag:
            return Response(304, {"ETag": etag})
        response = _make_json_response({"hosts": self._hosts})
        response.headers["ETag"] = etag
        return response

    def _apply_control(self, request: Request) -> Response:
        """Set faults and hosts; return the request and row counts."""
        document = orjson.loads(request.body) if request.body else {}
        for name, value in document.get("faults", {}).items():
            setattr(self.faults, name, value)
        if "hosts" in document:
            loop = asyncio.get_running_loop()
            delay_s = self.faults.hosts_lag_s
            loop.call_later(delay_s, self._set_hosts, document["hosts"])
        return _make_json_response(
            {"counts": self.request_counts, "rows": len(self._rows)}
        )

    def _set_hosts(self, hosts: list[dict[str, str]]) -> None:
        """Publish a new version of the list of hosts."""
        self._hosts = hosts
        self._hosts_version += 1


def _make_json_response(document: Any, status: int = 200) -> Response:
    """Return a JSON response."""
    headers = {"Content-Type": "application/json"}
    return Response(status, headers, orjson.dumps(document))


async def serve(port: int = 0) -> http.RunningServer:
    """Start a server for a new platform."""
    return await http.serve(PlatformServer().handle, port)
