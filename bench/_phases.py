"""The phases of a measurement: changes and faults of a deployment under load."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, NamedTuple

from bench._plans import SERVICE_TIME_MS, Deployment
from bench._processes import Processes
from coltsfootstair.demo import RunRecord, Verdict, judge, restrict_to_window
from coltsfootstair.document import State
from coltsfootstair.load import Load, LoadGenerator, Sample

if TYPE_CHECKING:
    from coltsfootstair.standin import StoreTruth

__all__ = ['Measurement', 'Phase', 'measure_deployment']

SLOWDOWN_FACTOR = 10
"""How many times as long a request takes at a slowed backend server."""

SLOWDOWN_DURATION_RANGE_S = (2.0, 20.0)
"""Shortest and longest slowdown, in seconds."""

PAUSE_BETWEEN_SLOWDOWNS_RANGE_S = (0.0, 2.0)
"""Shortest and longest pause between two slowdowns of a group of servers, in seconds."""

SLOWED_SERVER_COUNT = 2
"""Backend servers that are slowed down at the same time."""

TAKE_OUT_AT_SHARE = 0.2
"""Time at which the data centre is taken out, as a share of the phase."""

BRING_BACK_AT_SHARE = 0.55
"""Time at which the data centre is brought back, as a share of the phase."""

KILL_AT_SHARE = 0.3
"""Time of the kill, as a share of the phase."""


class _Action(NamedTuple):
    """A function to run at a time of a phase, in seconds after its start."""

    after_s: float
    run: Callable[[], None]


class Phase(NamedTuple):
    """The observations of one phase of a measurement."""

    title: str
    record: RunRecord


class Measurement(NamedTuple):
    """The results of one deployment.

    :param undisturbed: the phase without changes or faults
    :param slowed: the phase in which backend servers are slowed down at random
    :param taken_out: the phase in which operators take a data centre out and bring it back
    :param killed: the phase in which a backend server is killed
    :param store_calls_per_s: calls to the store per second in the undisturbed phase, from
        all daemons together, by kind of call
    """

    deployment: str
    undisturbed: Phase
    slowed: Phase
    taken_out: Phase
    killed: Phase
    store_calls_per_s: dict[str, float]
    verdicts: list[Verdict]


class _PhaseRun(NamedTuple):
    """The time of a phase, in monotonic seconds, and the samples of its load."""

    started_at: float
    ended_at: float
    samples: list[Sample]


def measure_deployment(deployment: Deployment, seconds: float, seed: int) -> Measurement:
    """Start a deployment and run each phase for ``seconds``."""
    with Processes(deployment.plan) as processes:
        processes.start()
        lookup_loads = [
            load for load in deployment.loads if load.service == deployment.lookup_service
        ]
        servers = sorted(
            server.name
            for server in deployment.plan.servers
            if server.service == deployment.lookup_service
        )
        calls_before = processes.read_store_calls()
        undisturbed = _run_phase(processes, lookup_loads, seconds, seed, [])
        calls_after = processes.read_store_calls()
        calls_per_s = _compute_rates(
            calls_before, calls_after, undisturbed.ended_at - undisturbed.started_at
        )
        slowed = _run_phase(
            processes,
            lookup_loads,
            seconds,
            seed,
            _plan_slowdowns(processes, servers, seconds, seed),
        )
        take_out_actions = _plan_take_out(processes, deployment.taken_out_data_centre, seconds)
        taken_out = _run_phase(
            processes, deployment.loads, seconds, seed + 1, take_out_actions
        )
        kill_actions = [
            _Action(KILL_AT_SHARE * seconds, lambda: processes.kill_backend_server(servers[0]))
        ]
        killed = _run_phase(processes, deployment.loads, seconds, seed + 2, kill_actions)
        phase_runs = (undisturbed, slowed, taken_out, killed)
        samples = [sample for phase_run in phase_runs for sample in phase_run.samples]
        record = processes.build_run_record(samples, undisturbed.started_at)
    titles = (
        'no server slowed',
        f'servers {SLOWDOWN_FACTOR} times as slow at random times',
        f'{deployment.taken_out_data_centre} taken out and brought back',
        f'{servers[0]} killed',
    )
    phases = [
        Phase(title, restrict_to_window(record, phase_run.started_at, phase_run.ended_at))
        for title, phase_run in zip(titles, phase_runs, strict=True)
    ]
    undisturbed_phase, slowed_phase, taken_out_phase, killed_phase = phases
    return Measurement(
        deployment.name,
        undisturbed_phase,
        slowed_phase,
        taken_out_phase,
        killed_phase,
        calls_per_s,
        judge(record),
    )


def _compute_rates(before: StoreTruth, after: StoreTruth, seconds: float) -> dict[str, float]:
    return {
        'reads': (after['reads'] - before['reads']) / seconds,
        'writes': (after['writes'] - before['writes']) / seconds,
        'watches': (after['watches'] - before['watches']) / seconds,
    }


def _run_phase(
    processes: Processes,
    loads: Sequence[Load],
    seconds: float,
    seed: int,
    actions: list[_Action],
) -> _PhaseRun:
    # Never set: only waited for, to sleep.
    pause = threading.Event()
    started_at = processes.clock.monotonic()
    generator = LoadGenerator(
        processes.list_caller_addresses, loads, seconds, seed, processes.clock
    )
    generator.start()
    for action in sorted(actions, key=lambda scheduled: scheduled.after_s):
        pause.wait(max(0.0, started_at + action.after_s - processes.clock.monotonic()))
        action.run()
    samples = generator.join()
    return _PhaseRun(started_at, processes.clock.monotonic(), samples)


def _plan_take_out(processes: Processes, data_centre: str, seconds: float) -> list[_Action]:
    """Plan to take a data centre out and to bring it back with cold backend servers."""

    def bring_back() -> None:
        for name in sorted(processes.plan.find_server_names(data_centre)):
            processes.set_fault(name, cold=True)
        processes.set_data_centre_state(data_centre, State.IN)

    return [
        _Action(
            TAKE_OUT_AT_SHARE * seconds,
            lambda: processes.set_data_centre_state(data_centre, State.OUT),
        ),
        _Action(BRING_BACK_AT_SHARE * seconds, bring_back),
    ]


def _plan_slowdowns(
    processes: Processes, servers: Sequence[str], seconds: float, seed: int
) -> list[_Action]:
    """Plan slowdowns at random times, in each group of servers one after the other."""
    random_source = random.Random(f'{seed} slowed')
    actions: list[_Action] = []
    for group in range(SLOWED_SERVER_COUNT):
        group_servers = servers[group::SLOWED_SERVER_COUNT]
        starts_after_s = random_source.uniform(*PAUSE_BETWEEN_SLOWDOWNS_RANGE_S)
        while starts_after_s < seconds:
            name = random_source.choice(group_servers)
            ends_after_s = min(
                starts_after_s + random_source.uniform(*SLOWDOWN_DURATION_RANGE_S), seconds
            )
            actions.append(
                _make_slowdown_change(
                    processes, starts_after_s, name, SERVICE_TIME_MS * (SLOWDOWN_FACTOR - 1)
                )
            )
            actions.append(_make_slowdown_change(processes, ends_after_s, name, 0.0))
            starts_after_s = ends_after_s + random_source.uniform(
                *PAUSE_BETWEEN_SLOWDOWNS_RANGE_S
            )
    return actions


def _make_slowdown_change(
    processes: Processes, after_s: float, name: str, slow_ms: float
) -> _Action:
    return _Action(after_s, lambda: processes.slow_down(name, slow_ms))
