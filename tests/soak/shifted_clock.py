"""Run a daemon whose wall clock has an offset and jumps periodically."""

from __future__ import annotations

import os
import pathlib
import runpy
import sys
import time

# Initial clock offset in seconds, and size in seconds of each jump.
ENV_CLOCK_OFFSET = "SOAK_CLOCK_OFF_S"
ENV_CLOCK_JUMP = "SOAK_CLOCK_JUMP_S"
JUMP_INTERVAL_S = 2.0
PROGRAM = pathlib.Path(__file__).parents[2] / "platform" / "serve.py"


def shift_clock(offset_s: float, jump_s: float) -> None:
    """Replace ``time.time`` by a clock that is off and jumps back and forth.

    The offset alternates between ``offset_s`` and ``offset_s + jump_s``.
    """
    original_time = time.time
    started_at = time.monotonic()

    def shifted_time() -> float:
        jumps = int((time.monotonic() - started_at) / JUMP_INTERVAL_S)
        return original_time() + offset_s + (jumps % 2) * jump_s

    time.time = shifted_time


if __name__ == "__main__":
    shift_clock(
        float(os.environ[ENV_CLOCK_OFFSET]), float(os.environ[ENV_CLOCK_JUMP])
    )
    sys.path.insert(0, str(PROGRAM.parent))
    runpy.run_path(str(PROGRAM), run_name="__main__")
