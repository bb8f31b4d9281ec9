"""Tests that logging never blocks: lines are dropped when the reader falls behind."""

from __future__ import annotations

import os

from coltsfootstair.logs import DroppingStream


def test_lines_that_a_full_pipe_has_no_room_for_are_dropped_and_counted() -> None:
    reader, writer = os.pipe()
    stream = DroppingStream(writer)
    line = 'x' * 999 + '\n'
    for _ in range(500):
        stream.write(line)
    assert stream.dropped_count > 300
    received = os.read(reader, 1_000_000)
    dropped_count = stream.dropped_count
    stream.write(line)
    stream.write(line)
    assert stream.dropped_count == dropped_count
    received += os.read(reader, 1_000_000)
    assert set(received.split(b'\n')[:-1]) == {b'x' * 999}, 'no line is truncated'
    os.close(reader)
    os.close(writer)


def test_a_line_that_nobody_reads_any_more_does_not_fail_its_writer() -> None:
    reader, writer = os.pipe()
    stream = DroppingStream(writer)
    os.close(reader)
    stream.write('x\n')
    os.close(writer)
    assert stream.dropped_count == 1
