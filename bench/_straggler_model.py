"""One slowed backend server behind the admission decisions, without processes or clocks."""

from __future__ import annotations

import heapq
import math
import random
from typing import NamedTuple

from coltsfootstair.admission import (
    AdmissionPolicy,
    CoordinationChanged,
    Dispatch,
    Event,
    Finished,
    Outcome,
    ProbeResult,
    Refuse,
    Submitted,
    Tick,
    handle,
    new_state,
)

__all__ = ['measure_policies']

SLOTS = 4
SERVICE_S = 0.005
SLOW_FACTOR = 10
SLOW_FROM_S, SLOW_TO_S, END_S = 10.0, 20.0, 40.0
TICK_S = 0.02
PROBE_S = 0.2
DEADLINE_S = 10.0
RATES_PER_S = (15, 30, 50, 100)
JUMP = 5.0


class _Due(NamedTuple):
    at: float
    number: int
    event: Event


def measure_policies() -> dict[str, object]:
    """Compare a latency jump as a sign of a cold start with none, and no slow server."""
    return {
        f'{rate} requests/s': {
            'jump is a sign': _run(AdmissionPolicy(latency_jump_factor=JUMP), rate, slow=True),
            'jump is none': _run(
                AdmissionPolicy(latency_jump_factor=math.inf), rate, slow=True
            ),
            'no slow server': _run(AdmissionPolicy(), rate, slow=False),
        }
        for rate in RATES_PER_S
    }


def _run(policy: AdmissionPolicy, rate: float, *, slow: bool) -> dict[str, float]:
    source = random.Random(rate)
    state = new_state(SLOTS, 110, 0.0, policy)
    state, _ = handle(state, CoordinationChanged(True), 0.0)
    due = _arrivals(source, rate)
    heapq.heapify(due)
    number = len(due)
    sent_by_id: dict[str, float] = {}
    latencies: list[float] = []
    refused = 0
    while due:
        now, _, event = heapq.heappop(due)
        if isinstance(event, Submitted):
            sent_by_id[event.request_id] = now
        elif isinstance(event, Finished):
            latencies.append(now - sent_by_id[event.request_id])
        state, effects = handle(state, event, now)
        for effect in effects:
            refused += isinstance(effect, Refuse)
            if isinstance(effect, Dispatch):
                seconds = SERVICE_S * source.uniform(0.9, 1.1)
                seconds *= SLOW_FACTOR if slow and SLOW_FROM_S <= now < SLOW_TO_S else 1
                end = Finished(effect.request_id, Outcome.ANSWERED, seconds)
                number += 1
                heapq.heappush(due, _Due(now + seconds, number, end))
    latencies.sort()
    shares = {'p50 ms': 0.5, 'p99 ms': 0.99, 'p99.9 ms': 0.999}
    figures = {
        n: round(latencies[int(s * len(latencies))] * 1000, 1) for n, s in shares.items()
    }
    return {**figures, 'answered': len(latencies), 'refused': refused}


def _arrivals(source: random.Random, rate: float) -> list[_Due]:
    due: list[_Due] = []
    at = 0.0
    while at < END_S:
        at += source.expovariate(rate)
        number = len(due)
        caller, key = f'c{number % 9}', f'k{number % 40}'
        request = Submitted(str(number), caller, key, at + DEADLINE_S, idempotent=True)
        due.append(_Due(at, number, request))
    for step in range(int(END_S / TICK_S)):
        due.append(_Due(step * TICK_S, len(due), Tick()))
    for step in range(int(END_S / PROBE_S)):
        due.append(_Due(step * PROBE_S, len(due), ProbeResult(True, 'a')))
    return due
