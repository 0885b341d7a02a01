"""The daemons of a soak: their processes, and where callers find them."""

from __future__ import annotations

import contextlib
import json
import pathlib
import subprocess
import threading

import attrs

from tests.platform import standin
from tests.soak import proxy as proxy_module
from tests.soak import shifted

SHIFTED = pathlib.Path(shifted.__file__)


@attrs.define
class Daemon:
    """One daemon with the links around it."""

    name: str
    # Between callers and the daemon.
    front: proxy_module.Proxy
    # Between the daemon and the store.
    store: proxy_module.Proxy
    # Seconds by which its wall clock is off, and jumps.
    clock_off_s: float = 0.0
    clock_jump_s: float = 0.0
    process: subprocess.Popen[bytes] = attrs.field(init=False)


def start(stage: standin.Stage, daemon: Daemon) -> None:
    """Start a process for a daemon; return once it listens."""
    variables = {
        shifted.VARIABLE_OFF: str(daemon.clock_off_s),
        shifted.VARIABLE_JUMP: str(daemon.clock_jump_s),
    }
    is_shifted = daemon.clock_off_s or daemon.clock_jump_s
    daemon.process = stage.start_daemon(
        daemon.name,
        daemon.store.address,
        SHIFTED if is_shifted else standin.PROGRAM,
        **variables,
    )
    daemon.front.target = _read_address(daemon.process)
    _follow(daemon.process)


def end(process: subprocess.Popen[bytes]) -> None:
    """Kill a process that the soak started."""
    with contextlib.suppress(ProcessLookupError):
        process.kill()
    process.wait()


def _read_address(process: subprocess.Popen[bytes]) -> str:
    """Return where a process says that it listens."""
    assert process.stdout is not None
    for text in process.stdout:
        line = json.loads(text)
        if line.get("about") == "start":
            return str(line["listen"])
    raise AssertionError("a daemon ended before it listened")


def _follow(process: subprocess.Popen[bytes]) -> None:
    """Read a process's log so that its pipe never fills."""
    output = process.stdout
    assert output is not None

    def read() -> None:
        with contextlib.suppress(ValueError):
            for _ in output:
                pass

    threading.Thread(target=read, daemon=True).start()
