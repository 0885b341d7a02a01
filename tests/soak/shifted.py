"""Runs a daemon whose wall clock is off and jumps now and then."""

from __future__ import annotations

import os
import pathlib
import runpy
import sys
import time

# Seconds by which the clock is off at first, and from one jump to the next.
VARIABLE_OFF = "SOAK_CLOCK_OFF_S"
VARIABLE_JUMP = "SOAK_CLOCK_JUMP_S"
JUMP_EVERY_S = 2.0
PROGRAM = pathlib.Path(__file__).parents[2] / "platform" / "serve.py"


def shift_clock(off_s: float, jump_s: float) -> None:
    """Make ``time.time`` tell a time that is off and jumps back and forth."""
    true_time = time.time
    began = time.monotonic()

    def shifted() -> float:
        jumps = int((time.monotonic() - began) / JUMP_EVERY_S)
        return true_time() + off_s + (jumps % 2) * jump_s

    time.time = shifted


if __name__ == "__main__":
    shift_clock(
        float(os.environ[VARIABLE_OFF]), float(os.environ[VARIABLE_JUMP])
    )
    sys.path.insert(0, str(PROGRAM.parent))
    runpy.run_path(str(PROGRAM), run_name="__main__")
