"""Tests of the metrics page."""

from __future__ import annotations

from tarragonlift.components.data_path import caller
from tarragonlift.components.gateway import pages
from tarragonlift.components.metrics import recorder


class TestMetricsPage:
    """The page of the metrics."""

    def test_figures_are_counted_for_each_request(self) -> None:
        """Count what is costly only when somebody asks for it."""
        metrics = recorder.Recorder(None)
        counted = 0

        def update() -> None:
            nonlocal counted
            counted += 1
            metrics.label_gauge("paused_servers", "service", {"a": counted})

        page = pages.MetricsPage("/metrics", metrics, update)
        for path, expected in ((b"/metrics", 1), (b"/", 1), (b"/metrics", 2)):
            head = caller.RequestHead(b"GET", path, [], "peer")
            status, body = page.respond(head, b"")
            assert counted == expected
            assert (status == 200) == (path == b"/metrics")
        assert body == b'tarragonlift_paused_servers{service="a"} 2\n'
