"""The parts of a measurement: what is done to a deployment while it serves."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, NamedTuple

from bench._plans import SERVICE_MS, Deployment
from bench._processes import Processes
from coltsfootstair.demo import RunRecord, Verdict, judge, restrict_to_window
from coltsfootstair.document import State
from coltsfootstair.load import Load, LoadGenerator, Sample

if TYPE_CHECKING:
    from coltsfootstair.standin import StoreTruth

__all__ = ['Measured', 'Phase', 'measure']

SLOWED_TIMES = 10
SLOWED_S = (2.0, 20.0)
BETWEEN_S = (0.0, 2.0)
SLOWED_AT_ONCE = 2
OUT_AFTER = 0.2
BACK_AFTER = 0.55
LOST_AFTER = 0.3


class _Action(NamedTuple):
    """Something to do, seconds after a phase began."""

    after_s: float
    act: Callable[[], None]


class Phase(NamedTuple):
    """What one part of a measurement showed."""

    title: str
    observed: RunRecord


class Measured(NamedTuple):
    """All that was measured on one deployment.

    :param store_calls_per_s: calls of the store a second, from all daemons together
    """

    deployment: str
    calm: Phase
    slowed: Phase
    leaving: Phase
    lost: Phase
    store_calls_per_s: dict[str, float]
    verdicts: list[Verdict]


class _Span(NamedTuple):
    """A phase's time, and its load's samples."""

    begin: float
    end: float
    samples: list[Sample]


def measure(deployment: Deployment, seconds: float, seed: int) -> Measured:
    """Start a deployment, and measure each phase for ``seconds``."""
    with Processes(deployment.plan) as processes:
        processes.start()
        lookups = [load for load in deployment.loads if load.service == deployment.lookups]
        servers = sorted(
            s.name for s in deployment.plan.servers if s.service == deployment.lookups
        )
        calls_before = processes.store_calls()
        calm = _run(processes, lookups, seconds, seed, [])
        calls = processes.store_calls()
        per_s = _rates(calls_before, calls, calm.end - calm.begin)
        slowed = _run(
            processes, lookups, seconds, seed, _slow(processes, servers, seconds, seed)
        )
        leave = _leave(processes, deployment.leaving, seconds)
        leaving = _run(processes, deployment.loads, seconds, seed + 1, leave)
        lose = [_Action(LOST_AFTER * seconds, lambda: processes.lose(servers[0]))]
        lost = _run(processes, deployment.loads, seconds, seed + 2, lose)
        spans = (calm, slowed, leaving, lost)
        samples = [sample for span in spans for sample in span.samples]
        whole = processes.observe(samples, calm.begin)
    titles = (
        'no server slowed',
        f'servers slowed {SLOWED_TIMES} times at random',
        f'{deployment.leaving} taken out and brought back',
        f'{servers[0]} killed',
    )
    phases = [
        Phase(title, restrict_to_window(whole, span.begin, span.end))
        for title, span in zip(titles, spans, strict=True)
    ]
    calm_phase, slowed_phase, leaving_phase, lost_phase = phases
    return Measured(
        deployment.name,
        calm_phase,
        slowed_phase,
        leaving_phase,
        lost_phase,
        per_s,
        judge(whole),
    )


def _rates(before: StoreTruth, after: StoreTruth, seconds: float) -> dict[str, float]:
    return {
        'reads': (after['reads'] - before['reads']) / seconds,
        'writes': (after['writes'] - before['writes']) / seconds,
        'watches': (after['watches'] - before['watches']) / seconds,
    }


def _run(
    processes: Processes,
    loads: Sequence[Load],
    seconds: float,
    seed: int,
    actions: list[_Action],
) -> _Span:
    pause = threading.Event()
    begin = processes.clock.monotonic()
    load = LoadGenerator(processes.daemons, loads, seconds, seed, processes.clock)
    load.start()
    for action in sorted(actions, key=lambda each: each.after_s):
        pause.wait(max(0.0, begin + action.after_s - processes.clock.monotonic()))
        action.act()
    samples = load.join()
    return _Span(begin, processes.clock.monotonic(), samples)


def _leave(processes: Processes, data_centre: str, seconds: float) -> list[_Action]:
    def bring_back() -> None:
        for name in sorted(processes.plan.find_server_names(data_centre)):
            processes.fault(name, cold=True)
        processes.set_data_centre(data_centre, State.IN)

    return [
        _Action(
            OUT_AFTER * seconds, lambda: processes.set_data_centre(data_centre, State.OUT)
        ),
        _Action(BACK_AFTER * seconds, bring_back),
    ]


def _slow(
    processes: Processes, servers: Sequence[str], seconds: float, seed: int
) -> list[_Action]:
    source = random.Random(f'{seed} slowed')
    actions: list[_Action] = []
    for track in range(SLOWED_AT_ONCE):
        own = servers[track::SLOWED_AT_ONCE]
        at = source.uniform(*BETWEEN_S)
        while at < seconds:
            name = source.choice(own)
            end = min(at + source.uniform(*SLOWED_S), seconds)
            actions.append(_slowing(processes, at, name, SERVICE_MS * (SLOWED_TIMES - 1)))
            actions.append(_slowing(processes, end, name, 0.0))
            at = end + source.uniform(*BETWEEN_S)
    return actions


def _slowing(processes: Processes, after_s: float, name: str, slow_ms: float) -> _Action:
    return _Action(after_s, lambda: processes.slow(name, slow_ms))
