"""Reads processor time and memory of this process and of ones the bench has started."""

from __future__ import annotations

import gc
import os
import time
import tracemalloc
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    'measure_cpu_us',
    'measure_memory_bytes',
    'measure_thread_cpu_us',
    'read_process_cpu_us',
    'read_resident_bytes',
]

US_PER_S = 1e6
_TICK_US = US_PER_S / os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


def measure_cpu_us(work: Callable[[], object]) -> float:
    """Return the processor time of this process that ``work`` takes, in microseconds."""
    gc.collect()
    begun = time.process_time()
    work()
    return (time.process_time() - begun) * US_PER_S


def measure_thread_cpu_us(work: Callable[[], object]) -> float:
    """Return the processor time of this thread that ``work`` takes, in microseconds."""
    gc.collect()
    begun = time.thread_time()
    work()
    return (time.thread_time() - begun) * US_PER_S


def measure_memory_bytes(make: Callable[[], object]) -> float:
    """Return the bytes that what ``make`` returns keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = make()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        del kept
        return float(after - before)
    finally:
        tracemalloc.stop()


def read_process_cpu_us(pid: int) -> float:
    """Return the processor time a process has had, in microseconds, by clock ticks."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) * _TICK_US


def read_resident_bytes(pid: int) -> float:
    """Return the memory of a process that is resident, in bytes."""
    return float(int(Path(f'/proc/{pid}/statm').read_text().split()[1]) * _PAGE_BYTES)
