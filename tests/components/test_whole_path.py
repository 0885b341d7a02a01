"""Tests for the whole request path with real processes on loopback."""

from __future__ import annotations

import asyncio

from tarragonlift_lab import demo
from tarragonlift_lab import http


def send_request(
    site: demo.Site, data: bytes, number: int = 0
) -> http.ClientResponse:
    """Send a request to a daemon and return the response."""

    async def send() -> http.ClientResponse:
        client = http.Client()
        response = await client.request(site.entry_addresses()[number], data)
        client.close()
        return response

    return asyncio.run(send())


class TestWholePath:
    """Requests pass from a caller to a backend server and back."""

    def test_lookup_returns_matching_response(self, site: demo.Site) -> None:
        """The response contains the path and the nonce of the request."""
        data = http.encode_request("GET", "/stock/7", headers={"Nonce": "n7"})
        response = send_request(site, data)
        assert response.status == 200
        assert response.body.startswith(b"/stock/7 n7 ")
        assert response.headers["tarragonlift-outcome"] == "ran"

    def test_order_runs_once_over_daemons(self, site: demo.Site) -> None:
        """A request resent to another daemon gets the recorded response."""
        headers = {"Idempotency-Key": "order-1", "Nonce": "o1"}
        data = http.encode_request(
            "POST", "/orders/new", headers=headers, body=b"two sacks"
        )
        first = send_request(site, data, 0)
        repeated = send_request(site, data, 1)
        assert (first.status, repeated.status) == (200, 200)
        assert repeated.body == first.body
        assert repeated.headers["tarragonlift-replayed"] == "true"

    def test_order_without_key_is_refused(self, site: demo.Site) -> None:
        """The refusal names the error and says that it was not run."""
        data = http.encode_request("POST", "/orders/new", body=b"x")
        response = send_request(site, data)
        assert response.status == 400
        assert response.headers["tarragonlift-outcome"] == "not-run"
        assert response.headers["tarragonlift-error"] == "KeyMissing"

    def test_api_needs_a_token(self, site: demo.Site) -> None:
        """A request to the API without a token is rejected."""
        address = site.daemons[0].addresses["admin"]

        async def send() -> http.ClientResponse:
            data = http.encode_request("GET", "/v1/hosts")
            return await http.Client().request(address, data)

        assert asyncio.run(send()).status == 401
