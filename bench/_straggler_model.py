"""Simulation of admission with one slowed backend server, without processes or clocks."""

from __future__ import annotations

import heapq
import math
import random
from typing import NamedTuple

from coltsfootstair.admission import (
    AdmissionPolicy,
    AssignSlot,
    CoordinationChanged,
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

SLOT_COUNT = 4
SERVICE_TIME_S = 0.005
SLOWDOWN_FACTOR = 10
SLOW_FROM_S, SLOW_TO_S, END_S = 10.0, 20.0, 40.0
"""Simulated times of the start and the end of the slowdown, and of the last request."""

TICK_INTERVAL_S = 0.02
PROBE_INTERVAL_S = 0.2
REQUEST_TIMEOUT_S = 10.0
RATES_PER_S = (15, 30, 50, 100)
LATENCY_JUMP_FACTOR = 5.0
"""Multiple of the usual latency that counts as a jump."""


class _ScheduledEvent(NamedTuple):
    """An event and its simulated time in seconds.

    The number orders events with the same time.
    """

    at: float
    sequence_number: int
    event: Event


def measure_policies() -> dict[str, object]:
    """Compare admission with and without the detection of cold starts by latency jumps.

    In the case 'jump is a sign', a latency jump counts as a cold start; in the case 'jump is
    none', jumps are ignored. The third case has no slow server. Each case is simulated at
    several request rates.
    """
    return {
        f'{rate_per_s} requests/s': {
            'jump is a sign': _simulate(
                AdmissionPolicy(latency_jump_factor=LATENCY_JUMP_FACTOR), rate_per_s, slow=True
            ),
            'jump is none': _simulate(
                AdmissionPolicy(latency_jump_factor=math.inf), rate_per_s, slow=True
            ),
            'no slow server': _simulate(AdmissionPolicy(), rate_per_s, slow=False),
        }
        for rate_per_s in RATES_PER_S
    }


def _simulate(policy: AdmissionPolicy, rate_per_s: float, *, slow: bool) -> dict[str, float]:
    random_source = random.Random(rate_per_s)
    # 110 connections.
    state = new_state(SLOT_COUNT, 110, 0.0, policy)
    state, _ = handle(state, CoordinationChanged(True), 0.0)
    events = _schedule_events(random_source, rate_per_s)
    heapq.heapify(events)
    sequence_number = len(events)
    submitted_at_by_id: dict[str, float] = {}
    latencies: list[float] = []
    refused_count = 0
    while events:
        now, _, event = heapq.heappop(events)
        if isinstance(event, Submitted):
            submitted_at_by_id[event.request_id] = now
        elif isinstance(event, Finished):
            latencies.append(now - submitted_at_by_id[event.request_id])
        state, effects = handle(state, event, now)
        for effect in effects:
            refused_count += isinstance(effect, Refuse)
            if isinstance(effect, AssignSlot):
                service_time_s = SERVICE_TIME_S * random_source.uniform(0.9, 1.1)
                service_time_s *= (
                    SLOWDOWN_FACTOR if slow and SLOW_FROM_S <= now < SLOW_TO_S else 1
                )
                finished = Finished(effect.request_id, Outcome.ANSWERED, service_time_s)
                sequence_number += 1
                heapq.heappush(
                    events, _ScheduledEvent(now + service_time_s, sequence_number, finished)
                )
    latencies.sort()
    share_by_percentile = {'p50 ms': 0.5, 'p99 ms': 0.99, 'p99.9 ms': 0.999}
    figures = {
        name: round(latencies[int(share * len(latencies))] * 1000, 1)
        for name, share in share_by_percentile.items()
    }
    return {**figures, 'answered': len(latencies), 'refused': refused_count}


def _schedule_events(random_source: random.Random, rate_per_s: float) -> list[_ScheduledEvent]:
    events: list[_ScheduledEvent] = []
    due_at = 0.0
    while due_at < END_S:
        due_at += random_source.expovariate(rate_per_s)
        request_number = len(events)
        caller, key = f'c{request_number % 9}', f'k{request_number % 40}'
        submitted = Submitted(
            str(request_number),
            caller,
            key,
            due_at + REQUEST_TIMEOUT_S,
            may_retry_after_shed=True,
        )
        events.append(_ScheduledEvent(due_at, request_number, submitted))
    for step in range(int(END_S / TICK_INTERVAL_S)):
        events.append(_ScheduledEvent(step * TICK_INTERVAL_S, len(events), Tick()))
    for step in range(int(END_S / PROBE_INTERVAL_S)):
        events.append(
            _ScheduledEvent(step * PROBE_INTERVAL_S, len(events), ProbeResult(True, 'a'))
        )
    return events
