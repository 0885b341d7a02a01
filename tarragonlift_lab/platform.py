"""A stand-in for the platform: table, object store and list of hosts."""

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
    """What goes wrong; set over ``/.control``."""

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    hosts_lag_s: float = 0.0


class Platform:
    """Rows with versions, objects under names, and hosts."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[str, tuple[int, Any]] = {}
        self._objects: dict[str, bytes] = {}
        self._hosts: list[dict[str, str]] = []
        self._hosts_version = 0
        self.faults = Faults()
        self.counts = {"writes": 0, "reads": 0}

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        path = urllib.parse.unquote(request.path)
        if path == "/.control":
            return self._control(request)
        if self.faults.down:
            raise http.Drop()
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        response = self._serve(path, request)
        if request.method != "GET" and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise http.Drop()
        return response

    def _serve(self, path: str, request: Request) -> Response:
        """Do what the path says."""
        kind = "reads" if request.method == "GET" else "writes"
        self.counts[kind] += 1
        if path == "/table/transact":
            return self._transact(orjson.loads(request.body))
        if path.startswith("/table/row/"):
            return _json(self._row(path.removeprefix("/table/row/")))
        if path.startswith("/table/rows/"):
            return self._scan(path.removeprefix("/table/rows/"))
        if path.startswith("/objects/"):
            return self._object(path, request)
        if path == "/hosts":
            return self._list_hosts(request)
        return Response(404)

    def _transact(self, document: dict[str, Any]) -> Response:
        """Do all writes or none."""
        operations = document["operations"]
        conflicts = [
            self._row(one["key"])
            for one in operations
            if self._rows.get(one["key"], (0, None))[0] != one["if_version"]
        ]
        if conflicts:
            return _json({"conflicts": conflicts}, 409)
        for one in operations:
            if one["value"] is None:
                self._rows.pop(one["key"], None)
            else:
                version = one["if_version"] + 1
                self._rows[one["key"]] = (version, one["value"])
        return _json({"ok": True})

    def _row(self, key: str) -> dict[str, Any]:
        """Return a row as a document."""
        version, value = self._rows.get(key, (0, None))
        return {"key": key, "version": version, "value": value}

    def _scan(self, prefix: str) -> Response:
        """Return all rows whose key begins with the prefix."""
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return _json({"rows": [self._row(key) for key in keys]})

    def _object(self, path: str, request: Request) -> Response:
        """Read or write an object."""
        if request.method == "PUT":
            self._objects[path] = request.body
            return Response(201)
        data = self._objects.get(path)
        if data is None:
            return Response(404)
        return Response(body=data)

    def _list_hosts(self, request: Request) -> Response:
        """Return the list of hosts, or that it did not change."""
        etag = f'"{self._hosts_version}"'
        if request.headers.get("if-none-match") == etag:
            return Response(304, {"ETag": etag})
        response = _json({"hosts": self._hosts})
        response.headers["ETag"] = etag
        return response

    def _control(self, request: Request) -> Response:
        """Change faults and hosts; return the counts."""
        document = orjson.loads(request.body) if request.body else {}
        for name, value in document.get("faults", {}).items():
            setattr(self.faults, name, value)
        if "hosts" in document:
            loop = asyncio.get_running_loop()
            lag = self.faults.hosts_lag_s
            loop.call_later(lag, self._set_hosts, document["hosts"])
        return _json({"counts": self.counts, "rows": len(self._rows)})

    def _set_hosts(self, hosts: list[dict[str, str]]) -> None:
        """Publish a list of hosts."""
        self._hosts = hosts
        self._hosts_version += 1


def _json(document: Any, status: int = 200) -> Response:
    """Return a JSON answer."""
    headers = {"Content-Type": "application/json"}
    return Response(status, headers, orjson.dumps(document))


async def run(port: int = 0) -> http.Serving:
    """Serve a new platform."""
    return await http.serve(Platform().handle, port)
