"""Tests of the adapter's documents, header fields and settings."""

from __future__ import annotations

import json
import math
import pathlib
import re
import tomllib

import pytest

from tarragonlift.components.data_path import client
from tarragonlift.core.fleet import delivery
from tarragonlift import exceptions
from tarragonlift_platform import dialect
from tarragonlift_platform import documents
from tarragonlift_platform import settings
from tarragonlift_platform import units
from tests.platform import standin

ROOT = standin.ROOT
Verdict = delivery.Verdict


class TestUnits:
    """Durations of the platform's documents."""

    def test_milliseconds_and_seconds(self) -> None:
        """Parse both units."""
        assert units.parse_duration_s("1500ms") == 1.5
        assert units.parse_duration_s("2.5s") == 2.5

    @pytest.mark.parametrize("text", ["", "5", "ms", 7, None])
    def test_other_values_are_errors(self, text: object) -> None:
        """Raise ValueError for any other value."""
        with pytest.raises(ValueError):
            units.parse_duration_s(text)


class TestServers:
    """Entries of the server list."""

    ENTRY = {
        "address": "10.0.0.1:8080",
        "serverInfo": {
            "service": "s",
            "version": "v",
            "zone": "z",
            "slots": 6,
        },
        "status": {"state": "draining", "seq": 4, "warmupLeft": "500ms"},
        "born": 17,
    }

    def test_entry_is_decoded(self) -> None:
        """Decode the state, the times and the address."""
        value = json.dumps(self.ENTRY).encode()
        decoded = documents.decode_server("i-1", value)
        assert decoded.leaving
        assert decoded.cold_for_s == 0.5
        assert decoded.started_ms == 17
        assert str(decoded.address) == "10.0.0.1:8080"

    @pytest.mark.parametrize(
        ("path", "value"),
        [
            (("address",), 7),
            (("address",), "nowhere"),
            (("serverInfo", "slots"), "six"),
            (("serverInfo", "service"), None),
            (("status", "state"), "asleep"),
            (("status", "warmupLeft"), 5),
            (("serverInfo",), None),
            (("born",), "early"),
        ],
    )
    def test_fields_of_other_types_are_unreadable(
        self, path: tuple[str, ...], value: object
    ) -> None:
        """Raise UnreadableDocument for a field of another type."""
        document = json.loads(json.dumps(self.ENTRY))
        parent = document
        for key in path[:-1]:
            parent = parent[key]
        parent[path[-1]] = value
        with pytest.raises(documents.UnreadableDocument):
            documents.decode_server("i-1", json.dumps(document).encode())

    @pytest.mark.parametrize(
        "server_id", ["", "a b", "a\r\nX-Other: 1", "a\0", "\u20ac", "a\x7f"]
    )
    def test_id_that_no_header_field_holds_is_unreadable(
        self, server_id: str
    ) -> None:
        """Refuse an id that would add header fields to a request."""
        entry = standin.BackendServer("a").make_entry("127.0.0.1:1")
        with pytest.raises(documents.UnreadableDocument):
            documents.decode_server(server_id, json.dumps(entry).encode())

    @pytest.mark.parametrize(
        "address",
        ["127.0.0.1:70000", "\u0661.0.0.1:1", "127.0.0.1", "h\0.0.0.1:1"],
    )
    def test_address_that_no_socket_takes_is_unreadable(
        self, address: str
    ) -> None:
        """Refuse an address to which no connection can be opened."""
        entry = standin.BackendServer("a").make_entry(address)
        with pytest.raises(documents.UnreadableDocument):
            documents.decode_server("a", json.dumps(entry).encode())

    def test_bytes_without_document_are_unreadable(self) -> None:
        """Raise UnreadableDocument for bytes that are not JSON."""
        with pytest.raises(documents.UnreadableDocument):
            documents.decode_server("i-1", b"\xff")


class TestConfiguration:
    """The operators' configuration."""

    def test_routes_and_services(self) -> None:
        """Decode route kinds, traffic splits and timeouts."""
        document = standin.configuration(9)
        document["routes"]["r-look"]["trafficSplit"] = [
            {"service": "svc", "weight": 90},
            {"service": "other", "weight": 10},
        ]
        del document["routes"]["r-order"]["timeout"]
        decoded = documents.decode_configuration(json.dumps(document).encode())
        routes = {route.name: route for route in decoded.routes}
        assert decoded.version == 9
        assert routes["r-look"].idempotent
        assert [target.weight for target in routes["r-look"].targets] == [
            90,
            10,
        ]
        assert not routes["r-order"].idempotent
        assert routes["r-order"].timeout_s == math.inf
        assert not routes["r-upload"].idempotent
        assert decoded.services["svc"].cold_rate == 18.0
        assert decoded.limits.idle_timeout_s == 15.0


class TestVersions:
    """Versions of configurations that messages between daemons can't hold."""

    @pytest.mark.parametrize("version", [1e300, 1 << 63, -1, "7", None])
    def test_odd_version_is_unreadable(self, version: object) -> None:
        """Refuse the configuration."""
        document = {**standin.configuration(3), "version": version}
        with pytest.raises(documents.UnreadableDocument):
            documents.decode_configuration(json.dumps(document).encode())


class TestDialect:
    """Header fields and statuses."""

    DIALECT = dialect.PlatformDialect()

    @pytest.mark.parametrize(
        ("status", "fields", "verdict"),
        [
            (200, {"X-Server-Signature": "s"}, Verdict.SUCCESS),
            (200, {}, Verdict.INVALID),
            (500, {"X-Server-Signature": "s"}, Verdict.FAILURE),
            (503, {"X-Not-Executed": "1"}, Verdict.NOT_RUN),
            (429, {"X-Not-Executed": "1"}, Verdict.NOT_RUN),
            (503, {}, Verdict.INVALID),
            (421, {"X-Instance-Id": "i"}, Verdict.MISPLACED),
        ],
    )
    def test_response_is_classified(
        self, status: int, fields: dict[str, str], verdict: Verdict
    ) -> None:
        """Distinguish requests that were run from those that were not."""
        assert (
            self.DIALECT.classify_response(response_head(status, fields))
            is verdict
        )

    def test_response_to_another_request_is_recognized(self) -> None:
        """Compare the request identifiers."""
        head = response_head(200, {"X-Request-Id": "r-1"})
        for is_reused in (True, False):
            assert self.DIALECT.is_response_to(head, "r-1", is_reused)
            assert not self.DIALECT.is_response_to(head, "r-2", is_reused)

    @pytest.mark.parametrize("status", [421, 429, 503])
    def test_refusal_without_identifier_needs_a_new_connection(
        self, status: int
    ) -> None:
        """Do not believe "not run" where another request can be meant."""
        head = response_head(status, {"X-Not-Executed": "1"})
        assert self.DIALECT.is_response_to(head, "r-1", is_reused=False)
        assert not self.DIALECT.is_response_to(head, "r-1", is_reused=True)

    def test_load_with_and_without_service_time(self) -> None:
        """Read running, waiting, slots and percent of the usual time."""
        head = response_head(200, {"X-Instance-Load": "3,1,8,700"})
        load = self.DIALECT.load_report(head)
        assert load is not None
        assert (load.running, load.waiting, load.slots) == (3, 1, 8)
        assert load.slowdown == 7.0
        short_report = self.DIALECT.load_report(
            response_head(200, {"X-Instance-Load": "3,1,8"})
        )
        assert short_report is not None and short_report.slowdown == 1.0
        invalid_head = response_head(200, {"X-Instance-Load": "many"})
        assert self.DIALECT.load_report(invalid_head) is None

    @pytest.mark.parametrize(
        ("text", "seconds"), [("1500", 1.5), ("1500ms", 1.5), ("2s", 2.0)]
    )
    def test_cold_duration(self, text: str, seconds: float) -> None:
        """Read how long a server stays cold, in each unit."""
        head = response_head(200, {"X-Warmup-Remaining": text})
        assert self.DIALECT.health_report(head).cold_for_s == seconds

    @pytest.mark.parametrize(
        ("fields", "per_s"),
        [
            ({}, math.inf),
            ({"Server-Limit": "1.8"}, 1.8),
            ({"Server-Limit": "0"}, 0.0),
            ({"Server-Limit": "-1"}, None),
            ({"Server-Limit": "inf"}, None),
            ({"Server-Limit": "few"}, None),
        ],
    )
    def test_rate_limit(
        self, fields: dict[str, str], per_s: float | None
    ) -> None:
        """Distinguish no limit from a malformed one."""
        head = response_head(200, fields)
        assert self.DIALECT.rate_limit(head) == per_s
        assert self.DIALECT.health_report(head).rate_limit == per_s


class TestSettings:
    """The platform's settings file."""

    def test_example_is_read(self) -> None:
        """Read the store's address and the default bounds."""
        text = standin.SETTINGS.format(store="10.0.0.9:80", name="a")
        decoded = settings.parse_settings(text, "file")
        assert decoded.process.max_drain_delay_s == 2.0
        assert str(decoded.store) == "10.0.0.9:80"

    def test_all_errors_are_reported_at_once(self) -> None:
        """List every invalid field in one error."""
        text = "nodeName=a\nbind.front=x\nbounds.drain=soon\n"
        with pytest.raises(exceptions.InvalidDocument) as caught:
            settings.parse_settings(text, "file")
        places = {problem.place for problem in caught.value.problems}
        assert {"zone", "bind.front", "bounds.drain"} <= places


class TestBoundary:
    """The platform's wire names occur only in the adapter."""

    WIRE_NAMES = re.compile(
        "rows-tx|rows-feed|rows-get|blob-put|serverInfo|warmupLeft|"
        "warmupPerS|trafficSplit|targetLatency|maxAttempts|X-Request-Id|"
        "X-Server-Signature|X-Not-Executed|X-Target-Instance|"
        "X-Request-Deadline|X-Instance-Load|nodeName",
        re.IGNORECASE,
    )

    def test_product_has_no_wire_name(self) -> None:
        """Find no wire name of the platform in the product's source."""
        leaking_files = [
            str(path)
            for path in pathlib.Path(ROOT, "tarragonlift").rglob("*.py")
            if self.WIRE_NAMES.search(path.read_text("utf-8"))
        ]
        assert leaking_files == []

    def test_build_uses_the_declared_dependencies(self) -> None:
        """Keep requirements.txt in step with pyproject.toml."""
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())
        declared = set(project["project"]["dependencies"])
        listed = (ROOT / "requirements.txt").read_text().split()
        assert set(listed) <= declared
        # The command line is not part of the daemon.
        assert {name.split(">")[0] for name in declared - set(listed)} == {
            "typer"
        }


def response_head(status: int, fields: dict[str, str]) -> client.ResponseHead:
    """Return the head of a server's response."""
    headers = [(k.encode(), v.encode()) for k, v in fields.items()]
    return client.ResponseHead(status, headers)
