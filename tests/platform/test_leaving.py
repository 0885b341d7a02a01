"""Servers that say in their answers that they leave, on real sockets."""

from __future__ import annotations

import time

import pytest

from tests.platform import common
from tests.platform import standin

DRAIN_S = 2.0


def send_status(stage: standin.DaemonStage, path: str, name: str) -> int:
    """Send a request and return the status of its answer."""
    method = "POST" if path.startswith("/order") else "GET"
    return standin.parse_status(common.send(stage, path, name, method))


class TestLeaving:
    """The list still names the server as ready."""

    @pytest.mark.parametrize("mode", ["good", "shed"])
    def test_server_gets_nothing_after_it_said_so(
        self, stage: standin.DaemonStage, mode: str
    ) -> None:
        """Use the other server at once, also on kept connections."""
        leaver, other = stage.servers
        other.load = "3,0,6,100"
        leaver.mode = mode
        leaver.leaves = True
        statuses = [send_status(stage, "/look/1", "r-first")]
        executed = len(leaver.executions)
        for number in range(40):
            path = "/order/1" if number % 2 else "/look/1"
            statuses.append(send_status(stage, path, f"r-{number}"))
            time.sleep(0.02)
        assert set(statuses) == {200}
        assert len(leaver.executions) == executed

    def test_next_start_is_used_again(
        self, stage: standin.DaemonStage
    ) -> None:
        """Use a new process of the server."""
        leaver, other = stage.servers
        leaver.leaves = True
        other.load = "5,0,6,700"
        send_status(stage, "/look/1", "r-1")
        leaver.leaves = False
        entry = {**leaver.make_entry(), "born": 2}
        stage.store_put("servers", leaver.server_id, entry)
        stage.wait_for_record(change="backend-listed", server="i-a")
        executed = len(leaver.executions)
        for number in range(20):
            assert send_status(stage, "/look/1", f"s-{number}") == 200
        assert len(leaver.executions) > executed

    def test_callers_are_served_while_drain_allows_if_all_leave(
        self, stage: standin.DaemonStage
    ) -> None:
        """Use leaving servers for a while, then say that nothing ran."""
        for server in stage.servers:
            server.leaves = True
        for number in range(4):
            assert send_status(stage, "/look/1", f"r-{number}") == 200
        told_at = time.monotonic()
        time.sleep(DRAIN_S)
        executed = len(common.get_executed_ids(stage))
        assert send_status(stage, "/order/1", "r-late") == 503
        assert len(common.get_executed_ids(stage)) == executed
        late = [
            execution
            for server in stage.servers
            for execution in server.executions
            if execution.started_at > told_at + DRAIN_S
        ]
        assert late == []
