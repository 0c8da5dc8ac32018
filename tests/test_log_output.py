"""Tests that log output never blocks the process."""

import os

from figwalk.log_output import MAX_PENDING_BYTES, BoundedOutput


def test_lines_above_the_rate_are_dropped_and_counted():
    """Guards against log output that uses up the CPU in an overload."""
    reader, writer = os.pipe()
    output = BoundedOutput(writer, lines_per_s=10)
    for number in range(100):
        output.write(f"{number}\n")
    assert output.dropped >= 85
    assert os.read(reader, 65536).startswith(b"0\n1\n")


def test_output_without_active_reader_does_not_block():
    """Guards against a process that blocks because nothing reads its log."""
    _reader, writer = os.pipe()
    output = BoundedOutput(writer, lines_per_s=100_000)
    line = "x" * 1000 + "\n"
    for _ in range(1000):
        output.write(line)
    assert output.dropped > 0
    assert len(output._pending) <= MAX_PENDING_BYTES + len(line)


def test_closed_output_raises_no_error():
    """Guards against a process that ends because the reader of its log is gone."""
    reader, writer = os.pipe()
    os.close(reader)
    output = BoundedOutput(writer, lines_per_s=10)
    output.write("line\n")
    assert output.dropped == 1
