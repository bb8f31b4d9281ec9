"""Measures the cost of log lines in a gateway: ``python -m bench.gateway_logs``.

One gateway answers requests over loopback, once with its log lines written to a pipe and once
without log lines. One request in ten has no route and so causes a log line of its own.
"""

from __future__ import annotations

import asyncio
import logging
import os
import threading
import time
from typing import NamedTuple

from tests.coltsfootstair_platform.standin import ServerStandin
from tests.gateway.harness import Caller, RunningGateway, run_gateway

from bench._gauge import US_PER_S
from coltsfootstair.logs import DroppingStream, configure

USUAL_REQUESTS_PER_S = 70.0
"""Requests per second of one VM: the users' usual rate, divided by their eight or nine VMs
and rounded up.
"""

HIGH_LOAD_FACTOR = 10
RUN_DURATION_S = 10.0
CALLER_COUNT = 8
UNROUTED_REQUEST_INTERVAL = 10
"""One request in this many has no route."""


class RunCost(NamedTuple):
    """The cost of one run, including the load generator and the stand-ins."""

    request_count: int
    cpu_s: float
    line_count: int
    dropped_count: int

    @property
    def us_per_request(self) -> float:
        """Processor time per request, in microseconds."""
        return self.cpu_s * US_PER_S / self.request_count


async def _send_requests(
    gateway: RunningGateway, caller_number: int, requests_per_s: float, ends_at: float
) -> int:
    caller: Caller = await gateway.connect()
    sent_count = 0
    while time.monotonic() < ends_at:
        sent_count += 1
        route = 'nowhere' if sent_count % UNROUTED_REQUEST_INTERVAL == 0 else 'lookups'
        caller.send(route, f'/x/{sent_count}', X_Request_Id=f'{caller_number}-{sent_count}')
        await caller.read_answer()
        await asyncio.sleep(1.0 / requests_per_s)
    caller.writer.close()
    return sent_count


async def _run_gateway(requests_per_s: float) -> tuple[int, float]:
    async with run_gateway(('calendar', ServerStandin('s1'))) as gateway:
        started_at = time.process_time()
        ends_at = time.monotonic() + RUN_DURATION_S
        senders = [
            _send_requests(gateway, number, requests_per_s / CALLER_COUNT, ends_at)
            for number in range(CALLER_COUNT)
        ]
        request_count = sum(await asyncio.gather(*senders))
        return request_count, time.process_time() - started_at


def _measure_run(requests_per_s: float, *, logs: bool) -> RunCost:
    read_end, write_end = os.pipe()
    line_count = 0

    def count_lines() -> None:
        nonlocal line_count
        while data := os.read(read_end, 1 << 16):
            line_count += data.count(b'\n')

    reader = threading.Thread(target=count_lines)
    reader.start()
    stream = DroppingStream(write_end)
    configure(logging.INFO if logs else logging.CRITICAL, stream=stream, daemon='d1')
    try:
        request_count, cpu_s = asyncio.run(_run_gateway(requests_per_s))
    finally:
        os.close(write_end)
        reader.join()
        os.close(read_end)
    return RunCost(request_count, cpu_s, line_count, stream.dropped_count)


def main() -> None:
    """Print the costs at the usual load and at ten times that load."""
    for requests_per_s in (USUAL_REQUESTS_PER_S, USUAL_REQUESTS_PER_S * HIGH_LOAD_FACTOR):
        for logs in (True, False):
            run_cost = _measure_run(requests_per_s, logs=logs)
            logging_state = 'on' if logs else 'off'
            print(
                f'{requests_per_s:.0f} requests/s intended, logs {logging_state}, '
                f'requests/s sent: '
                f'{run_cost.request_count / RUN_DURATION_S:.0f}'
            )
            print(f'  {run_cost.us_per_request:.0f} us per request')
            print(
                f'  {run_cost.line_count / RUN_DURATION_S:.1f} lines per second, '
                f'{run_cost.dropped_count} dropped'
            )


if __name__ == '__main__':
    main()
