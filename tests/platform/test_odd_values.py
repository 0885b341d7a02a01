"""Values that no sound writer or server sends, on real sockets."""

from __future__ import annotations

import itertools
import threading
import time

import pytest

from tests.platform import common
from tests.platform import standin

NESTED = b"[" * 60_000
LARGE = b'{"a": 1' + b"0" * 6000 + b"}"


def make_odd_values() -> list[object]:
    """Return values of rows that no entry has."""
    server = standin.BackendServer("odd").make_entry("127.0.0.1:1")
    daemon = {"data_centre": "here", "address": "127.0.0.1:1"}
    addresses = (
        "127.0.0.1:70000",
        "127.0.0.1:-1",
        "127.0.0.1:" + "9" * 4400,
        "127.0.0.1:0",
        "\u0661\u0662\u0667.0.0.1:1",
        "host\0.example:1",
        "255.255.255.255:7",
    )
    values: list[object] = [
        b"",
        b"\0\xff",
        NESTED,
        NESTED + b"]" * 60_000,
        b'{"a":' * 30_000,
        LARGE,
        b"1e999",
        b"NaN",
        b"null",
        b"[]",
    ]
    for address in addresses:
        values.append({**server, "address": address})
        values.append({**daemon, "address": address, "written_at": 1e308})
        values.append(
            {**daemon, "address": address, "written_at": time.time()}
        )
    values += [
        {**server, "born": 1 << 63},
        {**server, "born": 1e308},
        {**server, "serverInfo": {**server["serverInfo"], "slots": 1 << 62}},
        {**standin.configuration(5), "version": 1e300},
        {**standin.configuration(5), "version": 1 << 63},
        {**standin.configuration(5), "version": -7},
    ]
    return values


class TestOddEntries:
    """Another writer's entries that change often, many at once, under load."""

    @pytest.mark.parametrize("table", ["servers", "op", "tarragonlift"])
    def test_daemon_serves_and_follows_the_store(
        self, stage: standin.DaemonStage, table: str
    ) -> None:
        """Serve all requests, use a new server and a new configuration."""
        has_ended = threading.Event()
        statuses: list[int] = []

        def send_until_the_end() -> None:
            for number in itertools.count():
                if has_ended.is_set():
                    return
                received = common.send(stage, "/look/1", f"r-{number}")
                statuses.append(standin.parse_status(received))

        sender = threading.Thread(target=send_until_the_end)
        sender.start()
        try:
            values = make_odd_values()
            keys = ["config-2", "evacuate", "odd", "\u20ac", "x" * 200]
            keys += [f"odd-{number}" for number in range(len(values))]
            for number in range(250):
                key = keys[number % len(keys)]
                stage.store_put(table, key, values[number % len(values)])
                time.sleep(0.01)
            server = stage.call(lambda: stage._make_server("i-c"))
            stage.store_put("servers", "i-c", server.make_entry())
            stage.store_put("op", "config", standin.configuration(9, "new"))
            time.sleep(2.0)
        finally:
            has_ended.set()
            sender.join()
        assert stage.daemon.poll() is None
        assert set(statuses) == {200}
        received = common.send(stage, "/new/1", "n-1")
        assert standin.parse_status(received) == 200
        common.set_mode(stage, "shed")
        received = common.send(stage, "/look/1", "n-2")
        assert standin.parse_status(received) == 200
        assert server.executed_ids


class TestOddFigures:
    """A server whose answers hold figures that no server has."""

    @pytest.mark.parametrize(
        "load",
        [
            "1e308,1e308,1",
            "0,0,6,1e308",
            "0,0,1e308",
            "1e308,0,6",
            "1e17,1e17,1",
            "0,0,6,1e-308",
            "nan,0,6",
            "0,0,6,nan",
        ],
    )
    def test_load_report_harms_no_request(
        self, stage: standin.DaemonStage, load: str
    ) -> None:
        """Serve all requests during and after the report."""
        self._check(stage, load=load)

    @pytest.mark.parametrize("limit", ["1e308", "1e17", "nan", "-1"])
    def test_rate_limit_harms_no_request(
        self, stage: standin.DaemonStage, limit: str
    ) -> None:
        """Serve all requests during and after the limit."""
        self._check(stage, rate_limit=limit)

    def _check(self, stage: standin.DaemonStage, **odd: str) -> None:
        """Send requests while one of two servers sends odd figures."""
        server = stage.servers[0]
        usual = {name: getattr(server, name) for name in odd}
        statuses = []
        for values in (odd, usual):
            for name, value in values.items():
                setattr(server, name, value)
            for number in range(12):
                path = "/order/1" if number % 2 else "/look/1"
                received = common.send(stage, path, f"r-{number}")
                statuses.append(standin.parse_status(received))
        assert set(statuses) == {200}
