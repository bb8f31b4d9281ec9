"""One run of the soak: starts all components, injects faults and checks the promises."""

from __future__ import annotations

import asyncio
import contextlib
import random
import tempfile
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from tests.coltsfootstair_platform.odd_entries import ODD_FORMS, encode_odd_value
from tests.coltsfootstair_platform.standin import build_route, build_service

from soak._bounds import Bounds
from soak._callers import Caller, RequestKind
from soak._checker import AbandonedRequestChecker, Promise, PromiseChecker, Violation
from soak._daemons import Daemon, DaemonPorts, find_free_ports
from soak._fault_log import STORE, FaultLog
from soak._faults import (
    AddressReuse,
    ConfigurationChange,
    DaemonKill,
    DaemonPause,
    DaemonReload,
    DaemonStop,
    DataCentreCut,
    Evacuation,
    Fault,
    HistoryLoss,
    KillAll,
    OddObjects,
    ServerBusy,
    ServerCrash,
    ServerDrain,
    ServerLeave,
    ServerLink,
    ServerMisbehaviour,
    StoreLink,
    StoreRestore,
    TaskEnd,
    draw_faults,
)
from soak._fleet import ServerFleet
from soak._program import VALID_S
from soak._proxy import LinkState, Proxy
from soak._store import RestorableStore

__all__ = ['RunOptions', 'RunResult', 'run_soak']

DATA_CENTRES = ['north', 'south']
PROGRAM = 'soak._program'
KEY_KIND, LEASE_NAME = 'coltsfootstair-keys', 'keeper'
"""Kind of the objects of the daemons themselves, and which of them names the keeper."""

REQUEST_KINDS = [
    RequestKind('lookups', 'GET', is_idempotent=True, body_bytes=0),
    RequestKind('bookings', 'POST', is_idempotent=False, body_bytes=200),
    RequestKind('uploads', 'POST', is_idempotent=False, body_bytes=20_000),
    RequestKind('keyed', 'GET', is_idempotent=True, body_bytes=0),
]
UPLOAD_SERVICES = ['desk', 'intake']
"""Services of which one gets the uploads, depending on the version of the configuration."""

KEYED_SERVICES = frozenset({'slots'})
"""Services that are divided by key."""

SERVICES = ('calendar', *UPLOAD_SERVICES, *KEYED_SERVICES)
"""All services."""

FOLLOWED_KINDS = ('config', 'servers', 'evacuations')
"""Kinds of objects of which odd ones are written."""

SERVERS_PER_SERVICE_COUNT = 4

CALLERS_PER_DAEMON_COUNT = 6
BATCH_PAUSE_S = 0.15
"""Mean pause between two batches of a caller."""

MIN_SERVED_SHARE = 0.25
"""Share of the requests of each kind that must be served again after all faults."""

SERVED_WINDOW_S = 1.0
"""Length of the window in which ``MIN_SERVED_SHARE`` is measured."""


class RunOptions(NamedTuple):
    """Options of a run.

    :param duration_s: how long faults are injected, in seconds
    :param variant: name of a deliberately broken daemon to run, or an empty string
    :param kinds: the only kinds of faults to inject; all if there are none
    """

    seed: int
    duration_s: float
    daemon_count: int
    variant: str = ''
    kinds: tuple[str, ...] = ()


class RunResult(NamedTuple):
    """Observations of a run.

    :param violations: their times are in seconds from the start of the faults
    :param served_count: number of requests answered with a status below 300
    :param statuses: number of requests by status; ``None`` for those without an answer
    :param faults: the injected faults with their times, in seconds from their start
    """

    violations: list[Violation]
    sent_count: int
    served_count: int
    statuses: Counter[int | None]
    faults: list[tuple[float, Fault]]
    log_lines_by_daemon: dict[str, list[str]]


class _SoakRun:
    """The components of one run, connected to each other."""

    def __init__(self, options: RunOptions, folder: Path) -> None:
        now = asyncio.get_running_loop().time
        self.options = options
        self.random = random.Random(options.seed)
        self.bounds = Bounds()
        self.fault_log = FaultLog(now, self.bounds.fault_free_s)
        self.checker = PromiseChecker(now, self.bounds, self.fault_log)
        self.abandoned_checker = AbandonedRequestChecker(self.checker, self.fault_log)
        self.store = RestorableStore(self.random)
        self.fleet = ServerFleet(
            self.store, self.checker, self.fault_log, self.bounds, KEYED_SERVICES, self.random
        )
        self.folder = folder
        self.store_links: list[Proxy] = []
        self.daemons: list[Daemon] = []
        self.faults = draw_faults(options.seed, options.duration_s, options.kinds)
        self.faults_started_at = now()
        self._version = 0
        self._upload_service = UPLOAD_SERVICES[0]
        self._evacuated_data_centres: set[str] = set()
        self._is_copy_in_use = False
        self._odd_count = 0

    async def start(self) -> None:
        """Start the store, backend servers and daemons."""
        await self.store.start()
        await self.write_next_configuration()
        for service_name in SERVICES:
            for number in range(SERVERS_PER_SERVICE_COUNT):
                await self.fleet.start_server(
                    service_name, DATA_CENTRES[number % len(DATA_CENTRES)]
                )
        variant = self.options.variant
        command = ['-m', 'soak._variants', variant] if variant else ['-m', PROGRAM]
        ports = find_free_ports(len(DaemonPorts._fields) * self.options.daemon_count)
        for number in range(self.options.daemon_count):
            link = Proxy(self.store.port, self.random)
            await link.start()
            self.store_links.append(link)
            self.daemons.append(
                Daemon(
                    f'daemon-{number + 1}',
                    DATA_CENTRES[number % len(DATA_CENTRES)],
                    DaemonPorts(*ports[number :: self.options.daemon_count]),
                    link.port,
                    self.folder,
                    self.bounds,
                    self.fault_log,
                    self.checker,
                    command,
                )
            )

    async def write_next_configuration(self) -> None:
        """Write the next version of the configuration.

        Its number decides which of the services in ``UPLOAD_SERVICES`` gets the uploads: with
        each version the next one.
        """
        self._version += self.random.choice([1, 3, 5])
        index = self._version % len(UPLOAD_SERVICES)
        self._upload_service = UPLOAD_SERVICES[index]
        service_by_route = {
            'lookups': 'calendar',
            'bookings': 'desk',
            'uploads': self._upload_service,
            'keyed': 'slots',
        }
        kind_by_route = {'bookings': 'non_idempotent', 'uploads': 'upload'}
        resources = [
            build_route(name, target_service, kind=kind_by_route.get(name, 'idempotent'))
            for name, target_service in service_by_route.items()
        ]
        cold_fields = {'warmup-per-s': self.bounds.cold_requests_per_s}
        resources += [
            build_service(name, **cold_fields) for name in ('calendar', *UPLOAD_SERVICES)
        ]
        resources += [
            build_service(name, **cold_fields, **{'is-sharded': True})
            for name in KEYED_SERVICES
        ]
        document = {'version': f'{self._version:08x}', 'resources': resources}
        await self.store.write('config', 'main', document)
        self.checker.on_configuration_written(service_by_route)

    def choose_daemon(self) -> Daemon | None:
        """Return a random daemon in rotation, or any daemon if none is in rotation."""
        ready = [daemon for daemon in self.daemons if daemon.is_in_rotation]
        return self.random.choice(ready or self.daemons)

    async def inject(self, fault: Fault) -> None:
        """Inject one fault and wait until it has ended."""
        daemon = self.random.choice(self.daemons)
        match fault:
            case DaemonKill(down_s):
                await daemon.kill(down_s)
            case DaemonStop():
                await daemon.stop()
            case DaemonPause(duration_s):
                await daemon.pause(duration_s)
            case DaemonReload():
                daemon.reload()
            case KillAll(down_s):
                await asyncio.gather(*(each.kill(down_s) for each in self.daemons))
            case StoreLink(state, share, duration_s):
                await self._disturb_store_links(state, share, duration_s)
            case HistoryLoss():
                self.fault_log.record_start(STORE)
                self.store.discard_history()
                self.fault_log.record_end(STORE)
            case StoreRestore(state, age_s, away_s):
                await self._restore_store(state, age_s, away_s)
            case ServerCrash(down_s, same_name):
                await self.fleet.crash_server(down_s, same_name=same_name)
            case ServerDrain():
                await self.fleet.drain_server()
            case ServerLeave(unsaid_s):
                await self.fleet.let_leave(unsaid_s)
            case ServerBusy(pause_s, duration_s):
                await self.fleet.let_ask_for_pauses(pause_s, duration_s)
            case AddressReuse():
                await self.fleet.reuse_address()
            case ServerLink(state, duration_s):
                await self.fleet.disturb_link(state, duration_s)
            case DataCentreCut(duration_s):
                await self.fleet.cut_off(self.random.choice(DATA_CENTRES), duration_s)
            case ServerMisbehaviour():
                await self.fleet.apply_misbehaviour(fault)
            case Evacuation(duration_s):
                await self._evacuate_data_centre(duration_s)
            case OddObjects(form_name, for_s):
                await self._write_odd_objects(form_name, for_s)
            case TaskEnd(task):
                await self._end_task(self._find_keeper() if fault.is_keepers else daemon, task)
            case ConfigurationChange():
                await self.write_next_configuration()

    async def _disturb_store_links(
        self, state: LinkState, share: float, duration_s: float
    ) -> None:
        affected_count = max(1, round(share * len(self.daemons)))
        affected = self.random.sample(range(len(self.daemons)), affected_count)
        components = [self.daemons[number].name for number in affected]
        if share == 1.0:
            components.append(STORE)
        self.fault_log.record_start(*components)
        for number in affected:
            self.store_links[number].set_state(state)
        await asyncio.sleep(duration_s)
        for number in affected:
            self.store_links[number].set_state(LinkState.WHOLE)
        self.fault_log.record_end(*components, is_thaw_or_heal=True)

    async def _restore_store(self, state: LinkState, age_s: float, away_s: float) -> None:
        """Let the store go away and come back from a copy that is ``age_s`` seconds older."""
        if self._is_copy_in_use:
            return
        self._is_copy_in_use = True
        self.store.take_copy()
        await asyncio.sleep(age_s)
        self.fault_log.record_start(STORE)
        self.store.go_away()
        for link in self.store_links:
            link.set_state(state)
        await asyncio.sleep(away_s)
        await self.store.come_back()
        for link in self.store_links:
            link.set_state(LinkState.WHOLE)
        await self.store.write_again()
        self.fault_log.record_end(STORE, is_thaw_or_heal=True)
        self._is_copy_in_use = False

    def _find_keeper(self) -> Daemon:
        """Return the keeper by the store, or any daemon if there is none."""
        holder = (self.store.get(KEY_KIND, LEASE_NAME) or {}).get('holder')
        named = [daemon for daemon in self.daemons if daemon.name == holder]
        return self.random.choice(named or self.daemons)

    async def _end_task(self, daemon: Daemon, task: str) -> None:
        self.fault_log.record_start(daemon.name)
        daemon.end_task(task)
        await asyncio.sleep(VALID_S)
        self.fault_log.record_end(daemon.name)

    async def _write_odd_objects(self, form_name: str, duration_s: float) -> None:
        """Write odd objects, which are no fault: daemons must do all as without them."""
        self._odd_count += 1
        name = f'odd {self._odd_count}'
        value, encoded_name = encode_odd_value(
            ODD_FORMS[form_name], self.random.choice(SERVICES), name
        )
        for kind in FOLLOWED_KINDS:
            await self.store.write_raw(kind, name, value, encoded_name)
        await self.store.write_raw('config', 'main', value, b'"main"')
        await self.write_next_configuration()
        await asyncio.sleep(duration_s)
        for kind in FOLLOWED_KINDS:
            await self.store.remove(kind, name)

    async def _evacuate_data_centre(self, duration_s: float) -> None:
        data_centre = self.random.choice(DATA_CENTRES)
        if self._evacuated_data_centres:
            return
        self._evacuated_data_centres.add(data_centre)
        await self.store.write('evacuations', data_centre, {})
        self.checker.evacuated_at_by_data_centre[data_centre] = (
            asyncio.get_running_loop().time()
        )
        await asyncio.sleep(duration_s)
        del self.checker.evacuated_at_by_data_centre[data_centre]
        await self.store.remove('evacuations', data_centre)
        self._evacuated_data_centres.clear()

    async def inject_all(self) -> None:
        """Inject all faults at their times and wait until they have ended."""
        started_at = self.faults_started_at = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for at, fault in self.faults:
                now = asyncio.get_running_loop().time() - started_at
                await asyncio.sleep(max(0.0, at - now))
                group.create_task(self.inject(fault))

    async def wait_until_served(self, phase: str) -> bool:
        """Wait until enough requests of each kind are served.

        Report a violation and return false if that takes longer than the recovery time.

        :param phase: the point of the run, for the violation
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self.bounds.recovery_s
        while loop.time() < ends_at:
            await asyncio.sleep(SERVED_WINDOW_S / 4)
            if self._is_served():
                return True
        self.checker.report_violation(
            Promise.RECOVERED, f'{phase}: not served within {self.bounds.recovery_s} s'
        )
        return False

    def _is_served(self) -> bool:
        since = asyncio.get_running_loop().time() - SERVED_WINDOW_S
        ended = [
            request
            for request in self.checker.request_by_id.values()
            if request.ended_at is not None and request.ended_at >= since
        ]
        for kind in REQUEST_KINDS:
            requests_of_kind = [request for request in ended if request.route == kind.route]
            served_count = sum(request.status == 200 for request in requests_of_kind)
            if not requests_of_kind or served_count < MIN_SERVED_SHARE * len(requests_of_kind):
                return False
        return True

    async def close(self) -> None:
        """Stop all components."""
        await asyncio.gather(*(daemon.close() for daemon in self.daemons))
        for link in self.store_links:
            link.stop()
        self.fleet.close()
        self.store.stop()


async def _run_soak(options: RunOptions, folder: Path) -> RunResult:
    run = _SoakRun(options, folder)
    tasks: list[asyncio.Task[None]] = []
    try:
        await run.start()
        for daemon in run.daemons:
            tasks.append(asyncio.create_task(daemon.keep_running()))
            tasks.append(asyncio.create_task(daemon.probe_readiness()))
        for number in range(options.daemon_count * CALLERS_PER_DAEMON_COUNT):
            caller = Caller(
                number,
                REQUEST_KINDS,
                run.checker,
                run.abandoned_checker,
                run.choose_daemon,
                random.Random(number),
            )
            tasks.append(asyncio.create_task(caller.run(lambda: BATCH_PAUSE_S)))
        if await run.wait_until_served('at the start'):
            await run.inject_all()
            await run.wait_until_served('after all faults')
        run.checker.check_late_requests()
        run.abandoned_checker.check_totals()
    finally:
        for task in tasks:
            task.cancel()
        await run.close()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
    requests = run.checker.request_by_id.values()
    return RunResult(
        [
            violation._replace(at=violation.at - run.faults_started_at)
            for violation in run.checker.violations
        ],
        len(requests),
        run.checker.served_count,
        Counter(request.status for request in requests),
        run.faults,
        {daemon.name: list(daemon.log_lines) for daemon in run.daemons},
    )


def run_soak(options: RunOptions) -> RunResult:
    """Run the soak with ``options`` and return its result."""
    with tempfile.TemporaryDirectory(prefix='coltsfootstair-soak-') as folder:
        return asyncio.run(_run_soak(options, Path(folder)))
