"""Tests of the non-blocking log writer and of the metrics' text format."""

from __future__ import annotations

import os

from tarragonlift.components.logs import writer
from tarragonlift.components.metrics import exposition
from tarragonlift.components.metrics import recorder


class TestLogWriter:
    """A stalled reader of the log does not block the writer."""

    def test_full_pipe_drops_lines_and_reports_them(self) -> None:
        """Drop lines beyond the limit and report their number."""
        read_fd, write_fd = os.pipe()
        log_writer = writer.LogWriter(write_fd)
        for number in range(3 * writer.MAX_QUEUED_LINES):
            log_writer({"number": number, "text": "x" * 100})
            if number % 100 == 0:
                log_writer.flush()
        assert log_writer.dropped_total > 0
        received = b""
        for _ in range(100):
            received += os.read(read_fd, 1 << 20)
            log_writer.flush()
            if b"logs_dropped" in received:
                break
        assert b'"logs_dropped"' in received
        os.close(read_fd)
        os.close(write_fd)

    def test_closed_pipe_is_no_error(self) -> None:
        """Count the lines as dropped."""
        read_fd, write_fd = os.pipe()
        os.close(read_fd)
        log_writer = writer.LogWriter(write_fd)
        log_writer({"number": 1})
        log_writer.flush()
        assert log_writer.dropped_total == 1
        os.close(write_fd)


class TestExposition:
    """Metrics in the text format."""

    def test_counters_and_histograms(self) -> None:
        """Write counters and cumulative histogram buckets."""
        metrics = recorder.Recorder(None)
        metrics.count("requests.answered", 3)
        metrics.observe("request_seconds", 0.02)
        metrics.observe("request_seconds", 99.0)
        lines = exposition.render(metrics).decode().splitlines()
        assert "tarragonlift_requests_answered_total 3" in lines
        assert 'tarragonlift_request_seconds_bucket{le="0.025"} 1' in lines
        assert 'tarragonlift_request_seconds_bucket{le="+Inf"} 2' in lines
        assert "tarragonlift_request_seconds_count 2" in lines

    def test_gauges_of_a_label(self) -> None:
        """Write a line for each value of the label, and no former one."""
        metrics = recorder.Recorder(None)
        metrics.label_gauge("paused_servers", "service", {"old": 1})
        metrics.label_gauge("paused_servers", "service", {'a"b\n': 2, "c": 0})
        lines = exposition.render(metrics).decode().splitlines()
        assert lines == [
            r'tarragonlift_paused_servers{service="a\"b\n"} 2',
            'tarragonlift_paused_servers{service="c"} 0',
        ]
