"""A store that gives a daemon no answer for a while, on real sockets."""

from __future__ import annotations

import time

import pytest

from tests.platform import standin

# Time in seconds after a disruption from which bounds hold again, and within
# which a configuration is in force.
SETTLED_S = 3.0
APPLY_S = 2.0


class TestSilentStore:
    """Open calls for changes that never get their answer."""

    @pytest.mark.parametrize("silent_s", [0.0, 2.5])
    def test_configuration_after_silence_is_in_force_in_time(
        self, stage: standin.DaemonStage, silent_s: float
    ) -> None:
        """Apply a configuration though the call that waited for it is lost."""
        while "/v1/rows-feed op" not in stage.store.calls:
            time.sleep(0.05)
        stage.call(stage.store.silence)
        time.sleep(silent_s / 2)
        stage.store_put("op", "config", standin.configuration(8))
        time.sleep(silent_s / 2)
        stage.store.is_silent = False
        time.sleep(SETTLED_S)
        for version in (11, 14):
            stage.store_put("op", "config", standin.configuration(version))
            sent_at = time.monotonic()
            stage.wait_for_record(about="configuration", version=version)
            assert time.monotonic() - sent_at < APPLY_S
