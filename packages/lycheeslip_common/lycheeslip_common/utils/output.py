"""Non-blocking standard output: a bounded queue of lines that counts dropped lines."""

import errno
import io
import os
from collections import deque

__all__ = ["BoundedOutput"]

MAX_QUEUED_LINES = 2_000  # about 400 KB; a reader 2,000 lines behind has stopped reading


class BoundedOutput(io.TextIOBase):
    """A log stream; `write` queues a line and `flush` writes as much as the pipe accepts.

    Closing it flushes it and leaves the descriptor open.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to the file `descriptor`, which is set to non-blocking mode."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self.dropped_lines = 0

    def write(self, text: str) -> int:
        """Queue `text`, or drop and count it if the queue is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped_lines += 1
            return len(text)
        if self.dropped_lines and len(self._lines) < MAX_QUEUED_LINES // 2:
            self._lines.append(b"event=log_lines_lost count=%d\n" % self.dropped_lines)
            self.dropped_lines = 0
        self._lines.append(text.encode("utf-8", "replace"))
        return len(text)

    def flush(self) -> None:
        """Write queued lines until the queue is empty or the write would block.

        Any other error discards the queue.
        """
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._descriptor, line)
            except OSError as error:
                if error.errno in (errno.EAGAIN, errno.EWOULDBLOCK):
                    return
                self._lines.clear()
                return
            if written == len(line):
                self._lines.popleft()
            else:
                self._lines[0] = line[written:]
