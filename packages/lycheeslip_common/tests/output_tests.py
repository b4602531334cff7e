"""Checks log output to a pipe whose reader is slow or has stopped."""

import contextlib
import os
import subprocess
import sys
import time

from lycheeslip_common.utils.output import MAX_QUEUED_LINES, BoundedOutput


def test_stopped_reader_does_not_block_writes_and_dropped_lines_are_counted():
    read_fd, write_fd = os.pipe()
    try:
        output = BoundedOutput(write_fd)
        started_at_s = time.monotonic()
        for number in range(5 * MAX_QUEUED_LINES):
            output.write(f"event=line number={number} padding={'x' * 100}\n")
            output.flush()
        assert time.monotonic() - started_at_s < 2.0
        assert output.dropped_lines > 0
    finally:
        os.close(read_fd)
        os.close(write_fd)


def test_dropped_line_count_is_logged_once_the_queue_drains():
    read_fd, write_fd = os.pipe()
    try:
        os.set_blocking(read_fd, False)
        output = BoundedOutput(write_fd)
        for _ in range(3 * MAX_QUEUED_LINES):
            output.write("x" * 200 + "\n")
            output.flush()
        received = b""
        for _ in range(200):
            with contextlib.suppress(BlockingIOError):
                received += os.read(read_fd, 1 << 20)
            output.write("event=later\n")
            output.flush()
        assert b"event=log_lines_lost count=" in received
        assert output.dropped_lines == 0
    finally:
        os.close(read_fd)
        os.close(write_fd)


def test_lines_arrive_complete_and_in_order():
    read_fd, write_fd = os.pipe()
    output = BoundedOutput(write_fd)
    for number in range(100):
        output.write(f"event=line number={number}\n")
        output.flush()
    os.close(write_fd)
    with os.fdopen(read_fd) as pipe:
        assert pipe.read().splitlines() == [f"event=line number={n}" for n in range(100)]


def test_process_that_logs_to_a_bounded_output_ends_without_an_error():
    """The exit handler of the logging library closes the stream."""
    program = (
        "from lycheeslip_common.utils.logs import configure_logs, log_event\n"
        "from lycheeslip_common.utils.output import BoundedOutput\n"
        "configure_logs('info', BoundedOutput(1))\n"
        "log_event('agent_stopped', node='n1')\n"
    )
    ended = subprocess.run([sys.executable, "-c", program], capture_output=True, timeout=30)
    assert (ended.returncode, ended.stderr) == (0, b"")
    assert ended.stdout.endswith(b"event=agent_stopped node=n1\n")
