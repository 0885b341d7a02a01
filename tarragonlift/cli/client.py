"""A client of the administration API."""

from __future__ import annotations

import http.client
import json
import time
from typing import Any
import urllib.parse

from tarragonlift import exceptions

TIMEOUT_S = 10.0
OPERATION_SECONDS = 30.0
OPERATION_POLL_SECONDS = 0.05
STATUS_ERROR_LEAST = 400


class ApiUnreachable(exceptions.TarragonliftError):
    """The daemon's administration API could not be reached."""


class ApiError(exceptions.TarragonliftError):
    """The administration API answered with an error."""

    def __init__(self, document: dict[str, Any]) -> None:
        """Keep the error as the API described it."""
        super().__init__(_describe(document))
        self.document = document


class ApiClient:
    """Asks one daemon."""

    def __init__(self, address: str, token: str) -> None:
        """Talk to this address with this token."""
        self._address = address
        self._token = token

    @property
    def address(self) -> str:
        """Return the address of the daemon's API."""
        return self._address

    def get(self, path: str, **query: Any) -> Any:
        """Return the document under a path."""
        if query:
            path += "?" + urllib.parse.urlencode(query)
        return self._request("GET", path, None)

    def put(self, path: str, body: Any) -> Any:
        """Change what is under a path."""
        return self._request("PUT", path, body)

    def post(self, path: str, body: Any) -> Any:
        """Add something under a path."""
        return self._request("POST", path, body)

    def delete(self, path: str) -> Any:
        """Remove what is under a path."""
        return self._request("DELETE", path, None)

    def wait_for_result(self, operation: dict[str, Any]) -> dict[str, Any]:
        """Return the result of an operation, or raise ApiError."""
        until = time.monotonic() + OPERATION_SECONDS
        while operation["state"] == "running":
            if time.monotonic() > until:
                raise ApiError(
                    {
                        "error": "OperationTimeout",
                        "advice": "the outcome is not known yet; look with "
                        "'tarragonlift config show'",
                    }
                )
            time.sleep(OPERATION_POLL_SECONDS)
            operation = self.get(f"/v1/operations/{operation['operation']}")
        result: dict[str, Any] = operation["result"]
        if operation["state"] == "failed":
            raise ApiError(result)
        return result

    def _request(self, method: str, path: str, body: Any) -> Any:
        """Send a request and return the document of the answer."""
        host, _, port = self._address.rpartition(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=TIMEOUT_S
        )
        data = None if body is None else json.dumps(body)
        headers = {"Authorization": f"Bearer {self._token}"}
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            document = json.loads(response.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise ApiUnreachable(
                f"{self._address} can't be reached ({error}); try the API "
                "of another daemon with --api"
            ) from error
        finally:
            connection.close()
        if response.status >= STATUS_ERROR_LEAST:
            raise ApiError(document)
        return document


def _describe(document: dict[str, Any]) -> str:
    """Return the error as lines for a person."""
    lines = [f"{document.get('error')}: {document.get('advice')}"]
    for one in document.get("problems", []):
        place = one["place"] or "(top level)"
        lines.append(f"  {one['file']}: {place}: {one['advice']}")
    return "\n".join(lines)
