"""Tests of an exchange without sockets."""

from __future__ import annotations

from unittest import mock

from tarragonlift.components.data_path import client
from tarragonlift.components.data_path import exchange as exchange_module
from tarragonlift.core import call as call_module
from tarragonlift.core import const
from tests import common

GET = mock.Mock(
    method=b"GET",
    target=b"/stock",
    headers=[],
    fields={},
    peer="10.0.0.1",
    chunked=False,
    content_length=0,
    has_body=False,
    expects_continue=False,
)


class TestCheckStalled:
    """Attempts fail when their connect or response times out."""

    def test_connect_timeout_moves_request_to_other_server(self) -> None:
        """Nothing was sent yet, so another server can run the request."""
        request = common.make_request(deadline_at=1e12)
        call = call_module.Call(request, common.make_pool())
        owner = mock.Mock(spec=exchange_module.ExchangeOwner)
        connections = [
            mock.Mock(spec=client.ClientConnection, is_established=False)
            for _ in range(2)
        ]
        owner.acquire_connection.side_effect = connections
        exchange = exchange_module.Exchange(owner, mock.Mock(), GET, call)
        exchange.start(0.0)
        exchange.check_stalled(0.5)
        connections[0].abandon.assert_not_called()
        exchange.check_stalled(1.5)
        connections[0].abandon.assert_called_once()
        connections[1].send_request.assert_called_once()
        failure = owner.on_failure.call_args.args[1]
        assert failure is const.AttemptFailure.CONNECT_FAILED
