"""Measures what logs cost a gateway: ``python -m bench.gateway_logs``.

One gateway answers requests over loopback, with its lines written to a pipe and without any;
one request in ten has no route, and so a line of its own.
"""

from __future__ import annotations

import asyncio
import logging
import os
import threading
import time
from typing import NamedTuple

from tests.coltsfootstair_platform.standin import ServerStandin
from tests.gateway.harness import Caller, RunningGateway, running_gateway

from bench._gauge import US_PER_S
from coltsfootstair.logs import DroppingStream, configure

USUAL_PER_S = 70.0
"""Requests a second of a VM: the users' calm days over their eight or nine VMs, rounded up."""

TIMES_USUAL = 10
SECONDS = 10.0
CALLERS = 8
WITHOUT_ROUTE = 10
"""One request in so many has no route."""


class Cost(NamedTuple):
    """What a run cost, the load generator and stand-ins included."""

    requests: int
    cpu_s: float
    lines: int
    dropped: int

    @property
    def us_a_request(self) -> float:
        """Processor time a request, in microseconds."""
        return self.cpu_s * US_PER_S / self.requests


async def _call(running: RunningGateway, number: int, per_s: float, ends_at: float) -> int:
    caller: Caller = await running.connect()
    sent = 0
    while time.monotonic() < ends_at:
        sent += 1
        route = 'nowhere' if sent % WITHOUT_ROUTE == 0 else 'lookups'
        caller.send(route, f'/x/{sent}', X_Request_Id=f'{number}-{sent}')
        await caller.answer()
        await asyncio.sleep(1.0 / per_s)
    caller.writer.close()
    return sent


async def _run(per_s: float) -> tuple[int, float]:
    async with running_gateway(('calendar', ServerStandin('s1'))) as running:
        begun = time.process_time()
        ends_at = time.monotonic() + SECONDS
        calls = [_call(running, each, per_s / CALLERS, ends_at) for each in range(CALLERS)]
        requests = sum(await asyncio.gather(*calls))
        return requests, time.process_time() - begun


def _measure(per_s: float, *, logs: bool) -> Cost:
    reads, writes = os.pipe()
    lines = 0

    def count() -> None:
        nonlocal lines
        while data := os.read(reads, 1 << 16):
            lines += data.count(b'\n')

    reader = threading.Thread(target=count)
    reader.start()
    stream = DroppingStream(writes)
    configure(logging.INFO if logs else logging.CRITICAL, stream=stream, daemon='d1')
    try:
        requests, cpu_s = asyncio.run(_run(per_s))
    finally:
        os.close(writes)
        reader.join()
        os.close(reads)
    return Cost(requests, cpu_s, lines, stream.dropped_count)


def main() -> None:
    """Print the costs at the usual load and at ten times it."""
    for per_s in (USUAL_PER_S, USUAL_PER_S * TIMES_USUAL):
        for logs in (True, False):
            cost = _measure(per_s, logs=logs)
            state = 'on' if logs else 'off'
            print(f'{per_s:.0f} a second asked, logs {state}: {cost.requests / SECONDS:.0f}')
            print(f'  {cost.us_a_request:.0f} us a request')
            print(f'  {cost.lines / SECONDS:.1f} lines a second, {cost.dropped} dropped')


if __name__ == '__main__':
    main()
