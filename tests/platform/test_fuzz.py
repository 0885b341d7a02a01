"""Fuzz tests of what the platform and its servers send."""

from __future__ import annotations

import base64
from collections import abc
import math
from typing import Any

import hypothesis
from hypothesis import strategies
import orjson
import pytest

from tarragonlift.components.data_path import client as http_client
from tarragonlift.components.platform import client
from tarragonlift.core import actions
from tarragonlift.core.fleet import interfaces
from tarragonlift import exceptions
from tarragonlift_platform import dialect
from tarragonlift_platform import documents
from tarragonlift_platform import store as store_module
from tarragonlift_platform import units
from tests.core.fleet import common as core_common
from tests.platform import standin

JSON = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(-(1 << 62), 1 << 62),
        strategies.floats(allow_nan=False, allow_infinity=False),
        strategies.sampled_from(("1s", "nans", "infs", "-1s", "1e999s")),
        strategies.text(max_size=6),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(
            strategies.text(max_size=6), inner, max_size=4
        ),
    ),
    max_leaves=12,
)


def mutate(document: Any, path: list[int], value: Any) -> Any:
    """Return the document with the value in place of one of its parts."""
    if not path or not isinstance(document, dict) or not document:
        return value
    key = sorted(document)[path[0] % len(document)]
    changed = dict(document)
    changed[key] = mutate(document[key], path[1:], value)
    return changed


PATHS = strategies.lists(strategies.integers(0, 9), max_size=4)
CONFIGURATION = standin.configuration(3)
SERVER = standin.BackendServer("a").make_entry("127.0.0.1:1")
ROW = {"key": "a", "value": base64.b64encode(b"{}").decode(), "ver": 1}


class Platform:
    """Client of the platform that gets one response to every request."""

    def __init__(self, body: bytes) -> None:
        """Initialize with the body of the responses."""
        self._response = client.Response(200, body)

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        callback: client.Callback,
        **options: object,
    ) -> None:
        """Respond at once."""
        callback(self._response)


class TestDocuments:
    """Documents of any content."""

    @hypothesis.settings(max_examples=600, deadline=None)
    @hypothesis.given(PATHS, JSON)
    def test_configuration_is_decoded_or_unreadable(
        self, path: list[int], value: object
    ) -> None:
        """Raise nothing but UnreadableDocument; decode finite times."""
        data = orjson.dumps(mutate(CONFIGURATION, path, value))
        try:
            configuration = documents.decode_configuration(data)
        except documents.UnreadableDocument:
            return
        for route in configuration.routes:
            assert 0.0 < route.target_latency_s < math.inf
            assert route.timeout_s > 0.0
            assert all(target.weight >= 0.0 for target in route.targets)

    @hypothesis.settings(max_examples=600, deadline=None)
    @hypothesis.given(PATHS, JSON)
    def test_server_is_decoded_or_unreadable(
        self, path: list[int], value: object
    ) -> None:
        """Raise nothing but UnreadableDocument; decode finite times."""
        data = orjson.dumps(mutate(SERVER, path, value))
        try:
            server = documents.decode_server("a", data)
        except documents.UnreadableDocument:
            return
        assert 0.0 <= server.cold_for_s < math.inf

    @pytest.mark.parametrize(
        "address",
        ["host:1", "127.0.0.1", "127.0.0.1:70000", "127.0.0.1:-1", "1.2.3:4"],
    )
    def test_server_without_ip_address_is_unreadable(
        self, address: str
    ) -> None:
        """Refuse an address that can't be connected to without a lookup."""
        entry = standin.BackendServer("a").make_entry(address)
        with pytest.raises(documents.UnreadableDocument):
            documents.decode_server("a", orjson.dumps(entry))

    @pytest.mark.parametrize("text", ["nans", "infs", "-1s", "1e999ms", "s"])
    def test_duration_is_finite(self, text: str) -> None:
        """Refuse what is no finite duration."""
        with pytest.raises(ValueError):
            units.parse_duration_s(text)


class TestStore:
    """Answers of the store with any content."""

    @hypothesis.settings(max_examples=600, deadline=None)
    @hypothesis.given(
        strategies.one_of(
            JSON,
            strategies.fixed_dictionaries(
                {
                    "ver": JSON,
                    "rows": strategies.lists(
                        strategies.builds(
                            mutate, strategies.just(ROW), PATHS, JSON
                        ),
                        max_size=3,
                    ),
                    "hasMore": JSON,
                }
            ),
        )
    )
    def test_any_answer_reaches_the_callback(self, body: object) -> None:
        """Call back exactly once, with a result or a PlatformError."""
        platform: Any = Platform(orjson.dumps(body))
        store = store_module.create_store(platform)
        calls: list[abc.Callable[..., None]] = [
            store.read_operators,
            lambda callback: store.await_operators(0, 1.0, callback),
            lambda callback: store.read_servers(1.0, callback),
            store.read_members,
        ]
        for call in calls:
            results: list[object] = []
            call(results.append)
            assert len(results) == 1
            assert isinstance(
                results[0],
                exceptions.PlatformError
                | interfaces.OperatorUpdate
                | interfaces.ServerList
                | list,
            )

    def test_malformed_row_of_a_daemon_hides_no_other(self) -> None:
        """Return the readable rows."""
        good = {
            "data_centre": "here",
            "address": "127.0.0.1:1",
            "written_at": 1.0,
        }
        rows = [
            {"key": "bad", "value": "not base64", "ver": 1},
            {"key": "worse", "ver": 1},
            {
                "key": "good",
                "value": base64.b64encode(orjson.dumps(good)).decode(),
                "ver": 2,
            },
        ]
        platform: Any = Platform(orjson.dumps({"ver": 2, "rows": rows}))
        results: list[Any] = []
        store_module.create_store(platform).read_members(results.append)
        assert [row.member.daemon for row in results[0]] == ["good"]


class TestServerFields:
    """Header fields of servers with any content."""

    @hypothesis.settings(max_examples=600, deadline=None)
    @hypothesis.given(
        strategies.one_of(
            strategies.binary(max_size=12),
            strategies.lists(
                strategies.sampled_from(
                    (b"1", b"6", b"0", b"-1", b"nan", b"inf", b"1e400")
                    + (b"1e308", b"1e17", b"1e-308", b"9" * 500, b"x", b"")
                ),
                max_size=5,
            ).map(b",".join),
        ),
        strategies.sampled_from(
            (b"", b"100ms", b"nan", b"inf", b"-5", b"infs", b"x", b"\xff")
        ),
    )
    def test_any_report_is_finite(self, load: bytes, cold_for: bytes) -> None:
        """Raise nothing; report only finite figures that are not negative."""
        head = http_client.ResponseHead(
            200,
            [(b"X-Instance-Load", load), (b"X-Warmup-Remaining", cold_for)],
        )
        health = dialect.PlatformDialect().health_report(head)
        assert health.cold_for_s >= 0.0
        if health.load is not None:
            report = health.load
            assert min(report.running, report.waiting, report.slots) >= 0
            assert 0.0 < report.slowdown < math.inf

    @hypothesis.settings(max_examples=300, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(
                (b"0", b"1", b"6", b"100", b"1e5", b"1e17", b"1e-308")
                + (b"1e6", b"1e308", b"nan", b"-1")
            ),
            min_size=3,
            max_size=4,
        ).map(b",".join),
        strategies.sampled_from(
            (b"0", b"1", b"1e-308", b"1e6", b"1e17", b"1e308", b"nan", b"-1")
        ),
    )
    def test_any_report_leaves_other_servers_in_use(
        self, load: bytes, limit: bytes
    ) -> None:
        """Decide on a request whatever one of two servers reports."""
        head = http_client.ResponseHead(
            200, [(b"X-Instance-Load", load), (b"Server-Limit", limit)]
        )
        health = dialect.PlatformDialect().health_report(head)
        fleet = core_common.make_fleet(
            core_common.make_entry("a"), core_common.make_entry("b")
        )
        now = core_common.NOW
        server = fleet.registry.get("a")
        assert server is not None
        server.update_load(health.load, now)
        if health.rate_limit is not None:
            observed = server.rate_limit.observe(health.rate_limit, True, now)
            fleet.registry.set_rate_limit(server, observed, now)
        core_common.report_load(fleet, "b")
        delivery = core_common.open_delivery(fleet, "/order/1")
        delivery.start(now)
        result = delivery.on_probes_done(now)
        sends = core_common.filter_actions(result, actions.Send)
        assert sends or delivery.sent
