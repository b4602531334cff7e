"""Standard output that never blocks: lines wait in a bounded queue and are counted when lost."""

import errno
import os
from collections import deque

__all__ = ["BoundedOutput"]

MAX_QUEUED_LINES = 2_000  # about 400 KB of lines; a reader that is 2,000 lines late has stopped


class BoundedOutput:
    """A stream for a log handler; `write` queues a line and `flush` writes what fits."""

    def __init__(self, descriptor: int) -> None:
        """Write to `descriptor`, which is made non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self.lost_lines = 0

    def write(self, text: str) -> int:
        """Queue `text`; it is lost, and counted, if the queue is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.lost_lines += 1
            return len(text)
        if self.lost_lines and len(self._lines) < MAX_QUEUED_LINES // 2:
            self._lines.append(b"event=log_lines_lost count=%d\n" % self.lost_lines)
            self.lost_lines = 0
        self._lines.append(text.encode("utf-8", "replace"))
        return len(text)

    def flush(self) -> None:
        """Write queued lines until the reader takes no more."""
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
