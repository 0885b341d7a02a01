"""The daemon processes of a soak run and the links around them."""

from __future__ import annotations

import contextlib
import json
import pathlib
import subprocess
import threading

import attrs

from tests.platform import standin
from tests.soak import proxy as proxy_module
from tests.soak import shifted_clock

SHIFTED_CLOCK_PROGRAM = pathlib.Path(shifted_clock.__file__)


@attrs.define
class Daemon:
    """A daemon with its process and links."""

    name: str
    # Between callers and the daemon.
    caller_link: proxy_module.Proxy
    # Between the daemon and the store.
    store_link: proxy_module.Proxy
    # Initial offset and size of the jumps of the daemon's wall clock.
    clock_offset_s: float = 0.0
    clock_jump_s: float = 0.0
    process: subprocess.Popen[bytes] = attrs.field(init=False)


def start_daemon(stage: standin.Stage, daemon: Daemon) -> None:
    """Start a process of a daemon and wait until it listens."""
    variables = {
        shifted_clock.ENV_CLOCK_OFFSET: str(daemon.clock_offset_s),
        shifted_clock.ENV_CLOCK_JUMP: str(daemon.clock_jump_s),
    }
    is_shifted = daemon.clock_offset_s or daemon.clock_jump_s
    daemon.process = stage.start_daemon(
        daemon.name,
        daemon.store_link.address,
        SHIFTED_CLOCK_PROGRAM if is_shifted else standin.PROGRAM,
        **variables,
    )
    daemon.caller_link.target = _read_listen_address(daemon.process)
    _discard_output(daemon.process)


def kill_process(process: subprocess.Popen[bytes]) -> None:
    """Kill a process that the soak started and wait for its end."""
    with contextlib.suppress(ProcessLookupError):
        process.kill()
    process.wait()


def _read_listen_address(process: subprocess.Popen[bytes]) -> str:
    """Return the listen address from the daemon's start record."""
    assert process.stdout is not None
    for line in process.stdout:
        record = json.loads(line)
        if record.get("about") == "start":
            return str(record["listen"])
    raise AssertionError("the daemon ended before it logged its address")


def _discard_output(process: subprocess.Popen[bytes]) -> None:
    """Read a process's log on a thread so that its pipe never fills."""
    output = process.stdout
    assert output is not None

    def read() -> None:
        with contextlib.suppress(ValueError):
            for _ in output:
                pass

    threading.Thread(target=read, daemon=True).start()
