"""Starts, stops, suspends and resumes the processes of a test, addressed by process id."""

import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

from lycheeslip_common.utils.clock import monotonic_ms

__all__ = ["BIN", "ManagedProcess", "python_module"]

BIN = Path(sys.executable).parent
STOP_TIMEOUT_S = 10


def python_module(module: str, *options: str) -> list[str]:
    """Return the command that runs `module` with this Python interpreter."""
    return [sys.executable, "-m", module, *options]


class ManagedProcess:
    """A process and its log; `start` after `kill` restarts it with the same command."""

    def __init__(self, name: str, command: Sequence[str], log_path: Path) -> None:
        """Set the command to run and the file to append its output to."""
        self.name = name
        self.log_path = log_path
        self._command = list(command)
        self._process: subprocess.Popen[bytes] | None = None
        self._starts = 0
        self.started_ms = 0
        self.is_ending = False

    @property
    def incarnation(self) -> str:
        """Return an id that is unique to this start of the process."""
        return f"{self.name}.{self._starts}"

    @property
    def pid(self) -> int:
        """Return the process id, or 0 if the process has never been started."""
        return self._process.pid if self._process is not None else 0

    @property
    def is_running(self) -> bool:
        """Return whether the process has been started and has not exited."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process, appending its output to the log."""
        self._starts += 1
        self.is_ending = False
        self.started_ms = monotonic_ms()
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self._command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self.is_running:
            os.kill(self._process.pid, number)

    def kill(self) -> None:
        """Send SIGKILL and wait for the process to exit."""
        self.send_signal(signal.SIGKILL)
        self.wait()

    def terminate(self) -> None:
        """Send SIGTERM, which asks for a graceful shutdown."""
        self.is_ending = True
        self.send_signal(signal.SIGTERM)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait up to `timeout_s` for the process to exit and return its exit code."""
        return self._process.wait(timeout_s) if self._process is not None else 0

    async def has_ended(self) -> bool:
        """Return whether the process has exited."""
        return not self.is_running

    def stop(self) -> None:
        """Kill the process if it is running, resuming it first if it is suspended."""
        if not self.is_running:
            return
        self.thaw()
        self.kill()
