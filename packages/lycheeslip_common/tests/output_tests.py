"""Logs to a pipe that nobody reads."""

import contextlib
import os
import time

from lycheeslip_common.utils.output import MAX_QUEUED_LINES, BoundedOutput


def test_a_reader_that_stops_delays_nothing_and_lost_lines_are_counted():
    reading, writing = os.pipe()
    try:
        output = BoundedOutput(writing)
        began_at = time.monotonic()
        for number in range(5 * MAX_QUEUED_LINES):
            output.write(f"event=line number={number} padding={'x' * 100}\n")
            output.flush()
        assert time.monotonic() - began_at < 2.0
        assert output.lost_lines > 0
    finally:
        os.close(reading)
        os.close(writing)


def test_the_number_of_lost_lines_is_written_once_there_is_room():
    reading, writing = os.pipe()
    try:
        os.set_blocking(reading, False)
        output = BoundedOutput(writing)
        for _ in range(3 * MAX_QUEUED_LINES):
            output.write("x" * 200 + "\n")
            output.flush()
        received = b""
        for _ in range(200):
            with contextlib.suppress(BlockingIOError):
                received += os.read(reading, 1 << 20)
            output.write("event=later\n")
            output.flush()
        assert b"event=log_lines_lost count=" in received
        assert output.lost_lines == 0
    finally:
        os.close(reading)
        os.close(writing)


def test_lines_arrive_whole_and_in_order():
    reading, writing = os.pipe()
    output = BoundedOutput(writing)
    for number in range(100):
        output.write(f"event=line number={number}\n")
        output.flush()
    os.close(writing)
    with os.fdopen(reading) as pipe:
        assert pipe.read().splitlines() == [f"event=line number={n}" for n in range(100)]
