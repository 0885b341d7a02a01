"""Tests of logs that never block, and of the metrics' text."""

from __future__ import annotations

import os

from tarragonlift.components.logs import writer
from tarragonlift.components.metrics import exposition
from tarragonlift.components.metrics import recorder


class TestLogWriter:
    """A reader that does not read holds nothing up."""

    def test_full_pipe_drops_and_tells(self) -> None:
        """Drop lines beyond the bound, and say how many."""
        reading, writing = os.pipe()
        log_writer = writer.LogWriter(writing)
        for number in range(3 * writer.MAX_QUEUED_LINES):
            log_writer({"number": number, "text": "x" * 100})
            if number % 100 == 0:
                log_writer.flush()
        assert log_writer.dropped_total > 0
        received = b""
        for _ in range(100):
            received += os.read(reading, 1 << 20)
            log_writer.flush()
            if b"logs_dropped" in received:
                break
        assert b'"logs_dropped"' in received
        os.close(reading)
        os.close(writing)

    def test_closed_pipe_is_no_error(self) -> None:
        """Count the lines as dropped."""
        reading, writing = os.pipe()
        os.close(reading)
        log_writer = writer.LogWriter(writing)
        log_writer({"number": 1})
        log_writer.flush()
        assert log_writer.dropped_total == 1
        os.close(writing)


class TestExposition:
    """Metrics as text."""

    def test_counters_and_histograms(self) -> None:
        """Show counts and buckets that add up."""
        metrics = recorder.Recorder(None)
        metrics.count("requests.answered", 3)
        metrics.observe("request_seconds", 0.02)
        metrics.observe("request_seconds", 99.0)
        lines = exposition.render(metrics).decode().splitlines()
        assert "tarragonlift_requests_answered_total 3" in lines
        assert 'tarragonlift_request_seconds_bucket{le="0.025"} 1' in lines
        assert 'tarragonlift_request_seconds_bucket{le="+Inf"} 2' in lines
        assert "tarragonlift_request_seconds_count 2" in lines
