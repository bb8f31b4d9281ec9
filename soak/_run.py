"""One run of a soak: starts all, lets faults strike, and judges what was seen."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import tempfile
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from tests.coltsfootstair_platform.standin import StoreStandin, route, service

from soak._bounds import Bounds
from soak._callers import Caller, Kind
from soak._checker import AbandonedRequests, Promise, Truth, Violation
from soak._daemons import Daemon
from soak._fault_log import STORE, Calm
from soak._faults import (
    AddressReuse,
    ConfigurationChange,
    DaemonKill,
    DaemonPause,
    DaemonReload,
    DaemonStop,
    Evacuation,
    Fault,
    HistoryLoss,
    KillAll,
    ServerCrash,
    ServerDrain,
    ServerLink,
    ServerMisbehaviour,
    StoreLink,
    draw,
)
from soak._fleet import ServerFleet
from soak._proxy import LinkState, Proxy

__all__ = ['Outcome', 'Plan', 'play']

DATA_CENTRES = ['north', 'south']
PROGRAM = 'platform/daemon.py'

KINDS = [
    Kind('lookups', 'GET', repeatable=True, body_bytes=0),
    Kind('bookings', 'POST', repeatable=False, body_bytes=200),
    Kind('uploads', 'POST', repeatable=False, body_bytes=20_000),
    Kind('keyed', 'GET', repeatable=True, body_bytes=0),
]
UPLOAD_SERVICES = ['desk', 'intake']
KEYED = frozenset({'slots'})
SERVERS_OF_A_SERVICE = 4

CALLERS_OF_A_DAEMON = 6
PAUSE_S = 0.15
"""Mean seconds between a caller's batches."""

SERVED_SHARE = 0.25
"""Part of the requests of each kind that must be served again after all faults."""

JUDGED_S = 1.0
"""Span over which that part is taken, in seconds."""


class Plan(NamedTuple):
    """What to play.

    :param size: number of daemons
    :param seconds: how long faults strike
    :param variant: a daemon broken on purpose to play with, or an empty string
    """

    seed: int
    seconds: float
    size: int
    variant: str = ''


class Outcome(NamedTuple):
    """What a run showed."""

    violations: list[Violation]
    sent: int
    answered: int
    statuses: Counter[int | None]
    faults: list[tuple[float, Fault]]
    logs: dict[str, list[str]]


class _Run:
    """The parts of one run, wired to each other."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        now = asyncio.get_running_loop().time
        self.plan = plan
        self.random = random.Random(plan.seed)
        self.bounds = Bounds()
        self.calm = Calm(now, self.bounds.touch_s)
        self.truth = Truth(now, self.bounds, self.calm)
        self.abandoned = AbandonedRequests(self.truth, self.calm)
        self.store = StoreStandin()
        self.fleet = ServerFleet(
            self.store, self.truth, self.calm, self.bounds, KEYED, self.random
        )
        self.folder = folder
        self.links: list[Proxy] = []
        self.daemons: list[Daemon] = []
        self.faults = draw(plan.seed, plan.seconds)
        self._version = 0
        self._upload_service = UPLOAD_SERVICES[0]
        self._evacuated: set[str] = set()

    async def start(self) -> None:
        """Start the store, backend servers and daemons."""
        await self.store.start()
        await self.configure()
        for each in ('calendar', *UPLOAD_SERVICES, *KEYED):
            for number in range(SERVERS_OF_A_SERVICE):
                await self.fleet.start(each, DATA_CENTRES[number % len(DATA_CENTRES)])
        variant = self.plan.variant
        command = ['-m', 'soak._variants', variant] if variant else [PROGRAM]
        for number in range(self.plan.size):
            link = Proxy(self.store.port, self.random)
            await link.start()
            self.links.append(link)
            self.daemons.append(
                Daemon(
                    f'daemon-{number + 1}',
                    DATA_CENTRES[number % len(DATA_CENTRES)],
                    link.port,
                    self.folder,
                    self.bounds,
                    self.calm,
                    self.truth,
                    command,
                )
            )

    async def configure(self) -> None:
        """Write the next version, with uploads sent to the other service."""
        self._version += self.random.randint(1, 5)
        index = self._version % len(UPLOAD_SERVICES)
        self._upload_service = UPLOAD_SERVICES[index]
        service_by_route = {
            'lookups': 'calendar',
            'bookings': 'desk',
            'uploads': self._upload_service,
            'keyed': 'slots',
        }
        kinds = {'bookings': 'non_idempotent', 'uploads': 'upload'}
        resources = [
            route(name, to, kind=kinds.get(name, 'idempotent'))
            for name, to in service_by_route.items()
        ]
        cold = {'warmup-per-s': self.bounds.cold_per_s}
        resources += [service(name, **cold) for name in ('calendar', *UPLOAD_SERVICES)]
        resources += [service(name, **cold, **{'is-sharded': True}) for name in KEYED]
        document = {'version': f'{self._version:08x}', 'resources': resources}
        await self.store.put('config', 'main', document)
        self.truth.configured(service_by_route)

    def pick(self) -> Daemon | None:
        """Return a daemon as the balancer would."""
        ready = [daemon for daemon in self.daemons if daemon.in_rotation]
        return self.random.choice(ready or self.daemons)

    async def strike(self, fault: Fault) -> None:
        """Let one fault strike and pass."""
        daemon = self.random.choice(self.daemons)
        match fault:
            case DaemonKill(down_s):
                await daemon.kill(down_s)
            case DaemonStop():
                await daemon.stop()
            case DaemonPause(for_s):
                await daemon.pause(for_s)
            case DaemonReload():
                daemon.signal(signal.SIGHUP)
            case KillAll(down_s):
                await asyncio.gather(*(each.kill(down_s) for each in self.daemons))
            case StoreLink(state, share, for_s):
                await self._spoil_store(state, share, for_s)
            case HistoryLoss():
                self.calm.begin(STORE)
                self.store.forget_history()
                self.calm.end(STORE)
            case ServerCrash(down_s, same_name):
                await self.fleet.crash(down_s, same_name=same_name)
            case ServerDrain():
                await self.fleet.drain()
            case AddressReuse():
                await self.fleet.reuse_address()
            case ServerLink(state, for_s):
                await self.fleet.spoil_link(state, for_s)
            case ServerMisbehaviour():
                await self.fleet.misbehave(fault)
            case Evacuation(for_s):
                await self._evacuate(for_s)
            case ConfigurationChange():
                await self.configure()

    async def _spoil_store(self, state: LinkState, share: float, for_s: float) -> None:
        count = max(1, round(share * len(self.daemons)))
        struck = self.random.sample(range(len(self.daemons)), count)
        parts = [self.daemons[number].name for number in struck]
        if share == 1.0:
            parts.append(STORE)
        self.calm.begin(*parts)
        for number in struck:
            self.links[number].change(state)
        await asyncio.sleep(for_s)
        for number in struck:
            self.links[number].change(LinkState.WHOLE)
        self.calm.end(*parts)

    async def _evacuate(self, for_s: float) -> None:
        data_centre = self.random.choice(DATA_CENTRES)
        if self._evacuated:
            return
        self._evacuated.add(data_centre)
        await self.store.put('evacuations', data_centre, {})
        self.truth.evacuated_at[data_centre] = asyncio.get_running_loop().time()
        await asyncio.sleep(for_s)
        del self.truth.evacuated_at[data_centre]
        await self.store.delete('evacuations', data_centre)
        self._evacuated.clear()

    async def strike_all(self) -> None:
        """Let all faults strike at their times, and wait until they have passed."""
        started_at = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for at, fault in self.faults:
                now = asyncio.get_running_loop().time() - started_at
                await asyncio.sleep(max(0.0, at - now))
                group.create_task(self.strike(fault))

    async def wait_served(self, what: str) -> bool:
        """Wait until a part of each kind is served; note it if that does not come."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self.bounds.recovery_s
        while loop.time() < ends_at:
            await asyncio.sleep(JUDGED_S / 4)
            if self._is_served():
                return True
        self.truth.broken(Promise.RECOVERED, f'{what}: not within {self.bounds.recovery_s} s')
        return False

    def _is_served(self) -> bool:
        since = asyncio.get_running_loop().time() - JUDGED_S
        ended = [
            request
            for request in self.truth.request_by_id.values()
            if request.ended_at is not None and request.ended_at >= since
        ]
        for kind in KINDS:
            of_kind = [request for request in ended if request.route == kind.route]
            served = sum(request.status == 200 for request in of_kind)
            if not of_kind or served < SERVED_SHARE * len(of_kind):
                return False
        return True

    async def close(self) -> None:
        """End everything that was started."""
        await asyncio.gather(*(daemon.close() for daemon in self.daemons))
        for link in self.links:
            link.stop()
        self.fleet.close()
        self.store.stop()


async def _play(plan: Plan, folder: Path) -> Outcome:
    run = _Run(plan, folder)
    tasks: list[asyncio.Task[None]] = []
    try:
        await run.start()
        for daemon in run.daemons:
            tasks.append(asyncio.create_task(daemon.run()))
            tasks.append(asyncio.create_task(daemon.watch_readiness()))
        for number in range(plan.size * CALLERS_OF_A_DAEMON):
            caller = Caller(
                number, KINDS, run.truth, run.abandoned, run.pick, random.Random(number)
            )
            tasks.append(asyncio.create_task(caller.run(lambda: PAUSE_S)))
        if await run.wait_served('at the start'):
            await run.strike_all()
            await run.wait_served('after all faults')
        run.truth.judge_shares()
        run.abandoned.judge()
    finally:
        for task in tasks:
            task.cancel()
        await run.close()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
    requests = run.truth.request_by_id.values()
    return Outcome(
        run.truth.violations,
        len(requests),
        run.truth.answered_count,
        Counter(request.status for request in requests),
        run.faults,
        {daemon.name: list(daemon.log) for daemon in run.daemons},
    )


def play(plan: Plan) -> Outcome:
    """Play ``plan`` and return what it showed."""
    with tempfile.TemporaryDirectory(prefix='coltsfootstair-soak-') as folder:
        return asyncio.run(_play(plan, Path(folder)))
