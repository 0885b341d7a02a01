"""Tests of the whole path with real processes on loopback."""

from __future__ import annotations

import asyncio

from tarragonlift_lab import demo
from tarragonlift_lab import http


def ask(site: demo.Site, data: bytes, number: int = 0) -> http.ClientResponse:
    """Send one request to a daemon."""

    async def send() -> http.ClientResponse:
        client = http.Client()
        answer = await client.request(site.entry_addresses()[number], data)
        client.close()
        return answer

    return asyncio.run(send())


class TestWholePath:
    """A request goes from a caller to a backend server and back."""

    def test_lookup_gets_its_own_answer(self, site: demo.Site) -> None:
        """The answer shows path and nonce."""
        data = http.encode_request("GET", "/stock/7", headers={"Nonce": "n7"})
        answer = ask(site, data)
        assert answer.status == 200
        assert answer.body.startswith(b"/stock/7 n7 ")
        assert answer.headers["tarragonlift-outcome"] == "ran"

    def test_order_runs_once_over_daemons(self, site: demo.Site) -> None:
        """A resend to another daemon gets the recorded answer."""
        headers = {"Idempotency-Key": "order-1", "Nonce": "o1"}
        data = http.encode_request(
            "POST", "/orders/new", headers=headers, body=b"two sacks"
        )
        first = ask(site, data, 0)
        again = ask(site, data, 1)
        assert (first.status, again.status) == (200, 200)
        assert again.body == first.body
        assert again.headers["tarragonlift-replayed"] == "true"

    def test_order_without_key_is_refused(self, site: demo.Site) -> None:
        """The refusal says what to do and that it was not run."""
        data = http.encode_request("POST", "/orders/new", body=b"x")
        answer = ask(site, data)
        assert answer.status == 400
        assert answer.headers["tarragonlift-outcome"] == "not-run"
        assert answer.headers["tarragonlift-error"] == "KeyMissing"

    def test_api_needs_a_token(self, site: demo.Site) -> None:
        """Nobody sees anything without one."""
        address = site.daemons[0].addresses["admin"]

        async def send() -> http.ClientResponse:
            data = http.encode_request("GET", "/v1/hosts")
            return await http.Client().request(address, data)

        assert asyncio.run(send()).status == 401
