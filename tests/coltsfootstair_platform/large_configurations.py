"""Changes a large configuration often, while the store refuses daemons and others restart.

``python -m tests.coltsfootstair_platform.large_configurations --size 9 --kib 900`` plays it
with as many daemons and for as long as the options say.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import math
import random
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from soak._proxy import LinkState

from tests.coltsfootstair_platform.programs import Program, find_keeper, run_programs
from tests.coltsfootstair_platform.standin import (
    ServerStandin,
    StoreStandin,
    build_route,
    build_service,
)

__all__ = ['PlayOptions', 'PlayResult', 'play_large_configurations']

CHANGE_INTERVAL_S = 0.1
"""Time from one version to the next, in seconds."""

CHANGE_ALL_INTERVAL = 7
"""Versions from one that changes all routes to the next; the others add one route."""

DEADLINE_S = 2.5
"""Time from the acknowledgement of a version until it must be in force, in seconds."""

SETTLING_S = 0.5
"""Further time for a daemon that was restarted or that the store refused, in seconds."""

ROUND_S = 4.0
"""Time after which other daemons are restarted and refused, in seconds."""

REFUSAL_S = 2.0
"""How long the store refuses a daemon, in seconds."""

REFUSING_STATES = (LinkState.BUSY, LinkState.RESET, LinkState.SILENT)
"""How the store refuses daemons, by turns: 503, a reset, or silence."""

RESTART_SIGNALS = (signal.SIGKILL, signal.SIGTERM)
"""How daemons are ended, by turns."""

PROBE_INTERVAL_S = 0.1
"""Pause between two requests of each kind to a daemon, in seconds."""

KEPT_EVENTS_COUNT = 60
"""Changes that the store keeps."""

SHOWN_COUNT = 5
"""Failures of each kind that are listed."""


class PlayOptions(NamedTuple):
    """Options of a run.

    :param bytes_per_s: rate at which the store's answers are sent; as fast as possible if none
    """

    seed: int
    daemon_count: int
    size_kib: int
    duration_s: float
    bytes_per_s: float | None = None

    @property
    def bound_s(self) -> float:
        """Time from an acknowledgement until a version must be in force, in seconds.

        An answer that is under way when a version is written delays the one that has it.
        """
        if self.bytes_per_s is None:
            return DEADLINE_S
        return DEADLINE_S + 2 * self.size_kib * 1024 / self.bytes_per_s


class PlayResult(NamedTuple):
    """Observations of a run.

    :param lags_s: for each version and each daemon in touch, the time from its acknowledgement
        until it or a later one was in force, by the daemon's log
    :param cpu_shares: processor time of each daemon by the duration of the run
    """

    failures: list[str]
    version_count: int
    statuses: Counter[str]
    lags_s: list[float]
    cpu_shares: list[float]
    refusal_count: int
    restart_count: int
    keeper_hit_count: int

    def format_summary(self) -> str:
        """Return the figures in one line."""
        lags_s = sorted(self.lags_s) or [math.nan]
        return (
            f'{self.version_count} versions, {self.refusal_count} refusals, '
            f'{self.restart_count} restarts, keeper hit {self.keeper_hit_count} times; lag of '
            f'{len(self.lags_s)} versions at daemons in touch: median '
            f'{lags_s[len(lags_s) // 2]:.2f} s, 99 % {lags_s[int(len(lags_s) * 0.99)]:.2f} s, '
            f'most {lags_s[-1]:.2f} s; share of a core: mean '
            f'{sum(self.cpu_shares) / len(self.cpu_shares):.2f}, most '
            f'{max(self.cpu_shares):.2f}; {len(self.failures)} failures '
            f'({", ".join(f"{name}: {count}" for name, count in self.statuses.most_common())})'
        )


class _Play:
    """One run over running daemons."""

    def __init__(
        self, options: PlayOptions, store: StoreStandin, programs: list[Program]
    ) -> None:
        self.options = options
        self.store = store
        self.programs = programs
        self.random = random.Random(options.seed)
        self.failures: list[str] = []
        self.statuses: Counter[str] = Counter()
        self.acknowledged_at: list[float] = []
        self.refusal_count = self.restart_count = self.keeper_hit_count = 0
        self._disturbances: dict[str, list[tuple[float, float]]] = {
            program.name: [] for program in programs
        }
        self._marker_routes: list[bytes] = []
        self._service = json.dumps(build_service('calendar')).encode()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def write_version(self) -> None:
        """Write the next version, which has a route ``vN`` more than the last."""
        number = len(self.acknowledged_at) + 1
        self._marker_routes.append(json.dumps(build_route(f'v{number}', 'calendar')).encode())
        timeout_ms = 1000 + number // CHANGE_ALL_INTERVAL
        usual = json.dumps(
            build_route('base', 'calendar', **{'timeout-ms': timeout_ms})
        ).encode()
        count = self.options.size_kib * 1024 // len(usual)
        routes = [usual.replace(b'base', b'base%d' % index) for index in range(count)]
        resources = b', '.join([self._service, *routes, *self._marker_routes])
        spec = b'{"version": "%08x", "resources": [%s]}' % (number, resources)
        await self.store.put_raw('config', 'main', spec)
        self.acknowledged_at.append(self._now())

    async def change_often(self) -> None:
        """Write versions until cancelled."""
        next_at = self._now()
        while True:
            await self.write_version()
            next_at = max(next_at + CHANGE_INTERVAL_S, self._now())
            await asyncio.sleep(next_at - self._now())

    async def disturb(self) -> None:
        """Refuse a third of the daemons and restart another third, in rounds."""
        third = max(1, len(self.programs) // 3)
        ends_at = self._now() + self.options.duration_s
        order = self.random.sample(self.programs, len(self.programs))
        for number in itertools.count():
            if self._now() + ROUND_S > ends_at:
                return
            refused, restarted = order[:third], order[third : 2 * third]
            order = order[third:] + order[:third]
            keeper = find_keeper(self.store, self.programs)
            self.keeper_hit_count += keeper in refused or keeper in restarted
            round_ends_at = self._now() + ROUND_S
            await asyncio.gather(
                *(
                    self._refuse(program, REFUSING_STATES[(number + index) % 3])
                    for index, program in enumerate(refused)
                ),
                *(
                    self._restart(program, RESTART_SIGNALS[(number + index) % 2])
                    for index, program in enumerate(restarted)
                ),
            )
            await asyncio.sleep(max(0.0, round_ends_at - self._now()))

    async def _refuse(self, program: Program, state: LinkState) -> None:
        began_at = self._now()
        self._disturbances[program.name].append((began_at, math.inf))
        self.refusal_count += 1
        program.link.set_state(state)
        await asyncio.sleep(REFUSAL_S)
        program.link.set_state(LinkState.WHOLE)
        # Connections that were silent are gone for good, as a store that restarts leaves them.
        program.link.reset()
        self._disturbances[program.name][-1] = (began_at, self._now())

    async def _restart(self, program: Program, number: signal.Signals) -> None:
        began_at = self._now()
        self._disturbances[program.name].append((began_at, math.inf))
        self.restart_count += 1
        await program.restart(number)
        limit_s = self.options.bound_s + SETTLING_S
        while not await program.is_ready() and self._now() < program.started_at + 2 * limit_s:
            await asyncio.sleep(0.05)
        if not await program.is_ready():
            self.failures.append(
                f'{program.name} is not ready {2 * limit_s:.1f} s after a start'
            )
        self._disturbances[program.name][-1] = (began_at, self._now())

    def _is_in_touch(self, program: Program, since: float, until: float) -> bool:
        """Whether the daemon was neither refused nor restarted in this time."""
        return all(
            ends_at + SETTLING_S < since or began_at > until
            for began_at, ends_at in self._disturbances[program.name]
        )

    async def probe(self, program: Program) -> None:
        """Ask a daemon for routes that all versions in question have, until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            await self._ask(program, 'base0', 'a route of all versions')
            due_at = self._now() - self.options.bound_s
            due = sum(at <= due_at for at in self.acknowledged_at)
            if due:
                await self._ask(program, f'v{due}', 'the version in force')

    async def _ask(self, program: Program, route: str, what: str) -> None:
        sent_at = self._now()
        answer = await program.call(f'{route}.example')
        in_touch = self._is_in_touch(program, sent_at - self.options.bound_s, self._now())
        where = 'in touch' if in_touch else 'disturbed'
        self.statuses[f'{answer.status} {where}'] += 1
        if answer.status == 404 or (in_touch and answer.status != 200):
            self.failures.append(
                f'{program.name} ({where}): {answer.status} for {what} ({route}; '
                f'{len(self.acknowledged_at)} written, in force '
                f'{program.versions[-1][1] if program.versions else "none"})'
            )

    async def run(self) -> None:
        began_at = self._now()
        tasks = [asyncio.create_task(self.change_often())]
        tasks += [asyncio.create_task(self.probe(program)) for program in self.programs]
        try:
            await self.disturb()
            await asyncio.sleep(max(0.0, began_at + self.options.duration_s - self._now()))
            tasks[0].cancel()
            await asyncio.sleep(self.options.bound_s + SETTLING_S)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)
        for task in tasks:
            if not task.cancelled():
                task.result()
        last = len(self.acknowledged_at)
        for program in self.programs:
            await self._ask(program, f'v{last}', 'the last version')
            self.failures += program.failures

    def list_lags_s(self) -> list[float]:
        """Return the lag of each version at each daemon that was in touch at that time."""
        lags_s = []
        for program in self.programs:
            for number, at in enumerate(self.acknowledged_at, 1):
                if not self._is_in_touch(program, at, at + self.options.bound_s):
                    continue
                in_force_at = next(
                    (
                        in_force_at
                        for in_force_at, version in program.versions
                        if version >= number
                    ),
                    math.inf,
                )
                lags_s.append(in_force_at - at)
        return lags_s


async def play_large_configurations(options: PlayOptions, folder: Path) -> PlayResult:
    """Change a large configuration often while daemons are refused and restarted.

    :param folder: where the logs of the daemons are written
    """
    store = StoreStandin()
    store.max_event_count = KEPT_EVENTS_COUNT
    servers = [ServerStandin(f's{number}') for number in range(1, 5)]
    for listener in (store, *servers):
        await listener.start()
    try:
        await _Play(options, store, []).write_version()
        for server in servers:
            await store.put('servers', server.name, server.build_entry('calendar', slots=50))
        async with run_programs(options.daemon_count, store, folder) as running:
            play = _Play(options, store, running)
            await play.write_version()
            store.bytes_per_s = options.bytes_per_s
            cpu_before = [program.used_cpu_s for program in running]
            began_at = asyncio.get_running_loop().time()
            await play.run()
            duration_s = asyncio.get_running_loop().time() - began_at
            cpu_shares = [
                (program.used_cpu_s - before) / duration_s
                for program, before in zip(running, cpu_before, strict=True)
            ]
    finally:
        for listener in (store, *servers):
            listener.stop()
    lags_s = play.list_lags_s()
    if lags_s and max(lags_s) > options.bound_s:
        late_count = sum(lag_s > options.bound_s for lag_s in lags_s)
        play.failures.append(
            f'{late_count} versions later than {options.bound_s:.2f} s in force at daemons in '
            f'touch, at most {max(lags_s):.2f} s'
        )
    return PlayResult(
        play.failures,
        len(play.acknowledged_at),
        play.statuses,
        lags_s,
        cpu_shares,
        play.refusal_count,
        play.restart_count,
        play.keeper_hit_count,
    )


def _main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--size', type=int, default=9, help='number of daemons')
    parser.add_argument('--kib', type=int, default=900, help='size of the configuration')
    parser.add_argument('--seconds', type=float, default=40.0, help='how long it changes')
    parser.add_argument('--bytes-per-s', type=float, help="rate of the store's answers")
    parser.add_argument('--logs', type=Path, help='folder for the logs')
    given = parser.parse_args()
    options = PlayOptions(given.seed, given.size, given.kib, given.seconds, given.bytes_per_s)
    with tempfile.TemporaryDirectory() as folder:
        logs = given.logs or Path(folder)
        logs.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(play_large_configurations(options, logs))
    print(
        f'seed {given.seed}, {given.size} daemons, {given.kib} KiB: {result.format_summary()}'
    )
    for failure in result.failures[:SHOWN_COUNT]:
        print(f'  {failure}')
    return int(bool(result.failures))


if __name__ == '__main__':
    sys.exit(_main())
