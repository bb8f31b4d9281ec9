"""Processor time and memory of this process and of processes that a benchmark started."""

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


def measure_cpu_us(run: Callable[[], object]) -> float:
    """Return the processor time that this process uses for ``run``, in microseconds."""
    gc.collect()
    started_at = time.process_time()
    run()
    return (time.process_time() - started_at) * US_PER_S


def measure_thread_cpu_us(run: Callable[[], object]) -> float:
    """Return the processor time that this thread uses for ``run``, in microseconds."""
    gc.collect()
    started_at = time.thread_time()
    run()
    return (time.thread_time() - started_at) * US_PER_S


def measure_memory_bytes(create: Callable[[], object]) -> float:
    """Return how many bytes stay allocated for the object that ``create`` returns."""
    gc.collect()
    tracemalloc.start()
    try:
        bytes_before = tracemalloc.get_traced_memory()[0]
        created = create()
        gc.collect()
        bytes_after = tracemalloc.get_traced_memory()[0]
        del created
        return float(bytes_after - bytes_before)
    finally:
        tracemalloc.stop()


def read_process_cpu_us(pid: int) -> float:
    """Return the processor time that a process has used so far, in microseconds.

    The kernel counts it in whole clock ticks.
    """
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) * _TICK_US


def read_resident_bytes(pid: int) -> float:
    """Return the resident memory of a process, in bytes."""
    return float(int(Path(f'/proc/{pid}/statm').read_text().split()[1]) * _PAGE_BYTES)
