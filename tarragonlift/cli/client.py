"""Client of the administration API."""

from __future__ import annotations

import http.client
import json
import time
from typing import Any
import urllib.parse

from tarragonlift import exceptions

REQUEST_TIMEOUT_S = 10.0
OPERATION_TIMEOUT_S = 30.0
OPERATION_POLL_INTERVAL_S = 0.05
MIN_ERROR_STATUS = 400


class ApiUnreachable(exceptions.TarragonliftError):
    """The daemon's administration API could not be reached."""


class ApiError(exceptions.TarragonliftError):
    """The administration API answered with an error."""

    def __init__(self, document: dict[str, Any]) -> None:
        """Initialize the error with the document sent by the API."""
        super().__init__(_format_error(document))
        self.document = document


class ApiClient:
    """Client for the administration API of one daemon."""

    def __init__(self, address: str, token: str) -> None:
        """Initialize the client with an address and an operator's token."""
        self._address = address
        self._token = token

    @property
    def address(self) -> str:
        """Return the address of the daemon's API."""
        return self._address

    def get(self, path: str, **query: Any) -> Any:
        """Return the document at a path."""
        if query:
            path += "?" + urllib.parse.urlencode(query)
        return self._request("GET", path, None)

    def put(self, path: str, body: Any) -> Any:
        """Replace the resource at a path and return the response."""
        return self._request("PUT", path, body)

    def post(self, path: str, body: Any) -> Any:
        """Create a resource at a path and return the response."""
        return self._request("POST", path, body)

    def delete(self, path: str) -> Any:
        """Delete the resource at a path and return the response."""
        return self._request("DELETE", path, None)

    def wait_for_result(self, operation: dict[str, Any]) -> dict[str, Any]:
        """Wait for an operation and return its result, or raise ApiError.

        An operation that is still running after ``OPERATION_TIMEOUT_S`` raises
        ApiError, although it may complete later.
        """
        deadline = time.monotonic() + OPERATION_TIMEOUT_S
        while operation["state"] == "running":
            if time.monotonic() > deadline:
                raise ApiError(
                    {
                        "error": "OperationTimeout",
                        "advice": "the outcome is not known yet; check it "
                        "with 'tarragonlift config show'",
                    }
                )
            time.sleep(OPERATION_POLL_INTERVAL_S)
            operation = self.get(f"/v1/operations/{operation['operation']}")
        result: dict[str, Any] = operation["result"]
        if operation["state"] == "failed":
            raise ApiError(result)
        return result

    def _request(self, method: str, path: str, body: Any) -> Any:
        """Send a request and return the document of the response."""
        host, _, port = self._address.rpartition(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=REQUEST_TIMEOUT_S
        )
        data = None if body is None else json.dumps(body)
        headers = {"Authorization": f"Bearer {self._token}"}
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            document = json.loads(response.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise ApiUnreachable(
                f"{self._address} cannot be reached ({error}); try the API "
                "of another daemon with --api"
            ) from error
        finally:
            connection.close()
        if response.status >= MIN_ERROR_STATUS:
            raise ApiError(document)
        return document


def _format_error(document: dict[str, Any]) -> str:
    """Format an error document as readable text."""
    lines = [f"{document.get('error')}: {document.get('advice')}"]
    for problem in document.get("problems", []):
        place = problem["place"] or "(top level)"
        lines.append(f"  {problem['file']}: {place}: {problem['advice']}")
    return "\n".join(lines)
