"""Processes that a test starts, ends, freezes and thaws by their own ids."""

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

from lycheeslip_common.utils.clock import monotonic_ms

__all__ = ["BIN", "ManagedProcess", "ReservedAddresses", "python_module"]

BIN = Path(sys.executable).parent
STOP_TIMEOUT_S = 10


class ReservedAddresses:
    """Loopback addresses that nothing but the processes of one fleet gets.

    Each port stays bound, without listening, so that no outgoing connection takes it
    before its process listens there or while that process is restarted.
    """

    def __init__(self) -> None:
        """Reserve nothing yet."""
        self._sockets: list[socket.socket] = []

    def take(self) -> str:
        """Return a new address."""
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", 0))
        self._sockets.append(reserved)
        return f"127.0.0.1:{reserved.getsockname()[1]}"

    def release(self) -> None:
        """Give all addresses back."""
        for reserved in self._sockets:
            reserved.close()


def python_module(module: str, *options: str) -> list[str]:
    """Return the command that runs `module` in this environment."""
    return [sys.executable, "-m", module, *options]


class ManagedProcess:
    """One process with its log; `start` after `kill` is a restart with the same settings."""

    def __init__(self, name: str, command: Sequence[str], log_path: Path) -> None:
        """Prepare to run `command`, which logs to `log_path`."""
        self.name = name
        self.log_path = log_path
        self._command = list(command)
        self._process: subprocess.Popen[bytes] | None = None
        self._starts = 0
        self.started_ms = 0
        self.is_ending = False

    @property
    def incarnation(self) -> str:
        """Return what tells this start of the process from earlier ones."""
        return f"{self.name}.{self._starts}"

    @property
    def pid(self) -> int:
        """Return the number of the running process, 0 if it has never been started."""
        return self._process.pid if self._process is not None else 0

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process, appending to its log."""
        self._starts += 1
        self.is_ending = False
        self.started_ms = monotonic_ms()
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self._command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to this process only."""
        if self._process is not None and self.is_running:
            os.kill(self._process.pid, number)

    def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        self.wait()

    def terminate(self) -> None:
        """Ask the process to end gracefully."""
        self.is_ending = True
        self.send_signal(signal.SIGTERM)

    def freeze(self) -> None:
        """Stop the process without its knowledge."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.send_signal(signal.SIGCONT)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Return the exit code once the process has ended."""
        return self._process.wait(timeout_s) if self._process is not None else 0

    async def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return not self.is_running

    def stop(self) -> None:
        """End the process for good, gracefully if it does so in time."""
        if not self.is_running:
            return
        self.thaw()
        self.kill()
