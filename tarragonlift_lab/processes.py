"""Start and stop the processes of a trial by their process IDs."""

from __future__ import annotations

import hashlib
import json
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

import attrs

# Time in which a process must write its ready file.
READY_TIMEOUT_S = 60.0
API_TOKEN = "lab-token"  # noqa: S105 - valid in the trial only
PEER_KEY = b"lab-key"


class NotReady(Exception):
    """A process did not become ready."""


@attrs.define
class Process:
    """A process of a trial with the addresses from its ready file."""

    name: str
    popen: subprocess.Popen[bytes]
    addresses: dict[str, Any]

    def send_signal(self, signal_number: int = signal.SIGTERM) -> None:
        """Send a signal unless the process has exited."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal_number)

    def wait(self, timeout_s: float) -> int | None:
        """Return the exit status, or None if it still runs at the timeout."""
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def read_memory_mb(self) -> dict[str, float]:
        """Return resident and private memory in MiB."""
        rollup_file = pathlib.Path(f"/proc/{self.popen.pid}/smaps_rollup")
        memory_mb = {"rss": 0.0, "private": 0.0}
        for line in rollup_file.read_text(encoding="ascii").splitlines():
            name, _, rest = line.partition(":")
            if name == "Rss":
                memory_mb["rss"] += int(rest.split()[0]) / 1024
            elif name.startswith("Private_"):
                memory_mb["private"] += int(rest.split()[0]) / 1024
        return memory_mb

    def read_cpu_time_s(self) -> float:
        """Return the processor time used so far, in seconds."""
        path = pathlib.Path(f"/proc/{self.popen.pid}/stat")
        fields = path.read_text(encoding="ascii").rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / 100


class TrialProcesses:
    """All processes of one trial with their shared folder."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Initialize the group; settings and logs go into the folder."""
        self._folder = folder
        self._processes: list[Process] = []
        (folder / "peer.key").write_bytes(PEER_KEY)

    @property
    def folder(self) -> pathlib.Path:
        """Return the folder with settings, logs and ready files."""
        return self._folder

    def start(self, name: str, arguments: list[str]) -> Process:
        """Start a process and wait for its ready file.

        Raises NotReady if the process exits or writes no file in time.
        """
        ready_file = self._folder / f"{name}.ready"
        ready_file.unlink(missing_ok=True)
        with (self._folder / f"{name}.log").open("ab") as log:
            popen = subprocess.Popen(  # noqa: S603 - programs of this project
                arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        process = Process(name, popen, {})
        self._processes.append(process)
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while not ready_file.exists():
            if time.monotonic() > give_up_at or popen.poll() is not None:
                raise NotReady(f"{name}: see {self._folder / name}.log")
            time.sleep(0.02)
        process.addresses = json.loads(ready_file.read_text(encoding="utf-8"))
        return process

    def start_lab_process(self, name: str, *arguments: str) -> Process:
        """Start a command of the lab, for example a stand-in."""
        ready_file = str(self._folder / f"{name}.ready")
        command = [sys.executable, "-m", "tarragonlift_lab", *arguments]
        return self.start(name, [*command, "--ready-file", ready_file])

    def start_daemon(
        self,
        name: str,
        data_centre: str,
        platform: str,
        peers: list[str],
        **changes: Any,
    ) -> Process:
        """Start an entry daemon; ``changes`` override its settings."""
        token = hashlib.sha256(API_TOKEN.encode()).hexdigest()
        document = {
            "daemon": name,
            "data_centre": data_centre,
            "listen": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "peers": peers,
            "platform": dict.fromkeys(("table", "objects", "hosts"), platform),
            "key_files": ["peer.key"],
            "operators": [
                {"name": "lab", "role": "configure", "token_sha256": token}
            ],
            "drain_seconds": 1,
            "ready_file": f"{name}.ready",
            **changes,
        }
        path = self._folder / f"{name}.settings.jsonc"
        text = json.dumps(document, indent=2)
        path.write_text(f"// settings of {name}\n{text}\n", encoding="utf-8")
        command = [sys.executable, "-m", "tarragonlift", "serve"]
        return self.start(name, [*command, "--settings", str(path)])

    def count_logged_errors(self) -> int:
        """Count the errors in all logs and print them to stderr."""
        count = 0
        for log in sorted(self._folder.glob("*.log")):
            for line in log.read_text(encoding="utf-8").splitlines():
                if "tarragonlift:error" in line or "Traceback" in line:
                    count += 1
                    print(f"{log.name}: {line}", file=sys.stderr)
        return count

    def kill_all(self) -> None:
        """Kill every process that still runs and wait for its exit."""
        for process in self._processes:
            process.send_signal(signal.SIGKILL)
        for process in self._processes:
            process.wait(5.0)
