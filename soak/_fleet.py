"""The backend servers of a run, each with a proxy and an entry in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from soak._checker import ServerRecord
from soak._proxy import Proxy
from soak._servers import SLOT_COUNT, BackendServerStandin

if TYPE_CHECKING:
    import random

    from soak._bounds import Bounds
    from soak._checker import PromiseChecker
    from soak._fault_log import FaultLog
    from soak._faults import ServerMisbehaviour
    from soak._proxy import LinkState
    from soak._store import RestorableStore

__all__ = ['ServerFleet']

ENTRY_EXPIRY_S = 2.6
"""Time between the crash of a server and the removal of its entry: three intervals of the
heartbeats by which a server renews its entry."""

COLD_DURATION_S = 3.0
"""How long a server that has just started is cold."""

DRAIN_MARGIN_S = 1.0
"""How much longer than ``Bounds.drain_s`` a draining server keeps running."""

SLOWDOWN = 8.0
"""Factor by which work takes longer than usual at a slow server."""

FIRST_STARTED_AT_MS = 1_700_000_000_000
"""Start time that precedes those in the entries, in milliseconds since 1970.

The entry of each server started states one millisecond more than the one before.
"""

ENTRY_KIND = 'servers'


class _Incarnation:
    """One incarnation of a server, with its proxy and what its entry needs.

    :param started_at_ms: start time that the entry states, in milliseconds
    """

    def __init__(self, server: BackendServerStandin, proxy: Proxy, started_at_ms: int) -> None:
        self.server = server
        self.proxy = proxy
        self.started_at_ms = started_at_ms

    def build_entry(self, **fields: Any) -> dict[str, Any]:
        record = self.server.record
        return {
            'service': record.service,
            'address': f'127.0.0.1:{self.proxy.port}',
            'zone': record.data_centre,
            'version': 'v1',
            'slots': SLOT_COUNT,
            'state': 'ready',
            'warmup-left-ms': 0,
            'sequence': 1,
            'born': self.started_at_ms,
        } | fields


class ServerFleet:
    """Starts, replaces, disturbs and shuts down backend servers.

    :param keyed_services: the services that are divided by key
    """

    def __init__(
        self,
        store: RestorableStore,
        checker: PromiseChecker,
        fault_log: FaultLog,
        bounds: Bounds,
        keyed_services: frozenset[str],
        random_source: random.Random,
    ) -> None:
        self._store = store
        self._checker = checker
        self._fault_log = fault_log
        self._bounds = bounds
        self._keyed_services = keyed_services
        self._random = random_source
        self._incarnations: list[_Incarnation] = []
        self._start_count = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start_server(
        self, service: str, data_centre: str, *, name: str = '', cold: bool = False
    ) -> None:
        """Start a server and write its entry.

        :param name: its name; a new one if empty
        """
        self._start_count += 1
        record = ServerRecord(name or f'{service}-{self._start_count}', service, data_centre)
        server = BackendServerStandin(
            record,
            self._checker,
            self._bounds,
            self._random,
            divided_by_key=service in self._keyed_services,
        )
        await server.start()
        proxy = Proxy(server.port, self._random)
        await proxy.start()
        incarnation = _Incarnation(server, proxy, FIRST_STARTED_AT_MS + self._start_count)
        self._checker.server_by_name[record.name] = record
        self._incarnations.append(incarnation)
        cold_left_ms = int(COLD_DURATION_S * 1000) if cold else 0
        if cold:
            record.cold_until = asyncio.get_running_loop().time() + COLD_DURATION_S
        await self._store.write(
            ENTRY_KIND,
            record.name,
            incarnation.build_entry(**{'warmup-left-ms': cold_left_ms}),
        )

    async def crash_server(self, down_s: float, *, same_name: bool) -> None:
        """Crash a server and start another incarnation after ``down_s`` seconds."""
        incarnation = self._remove_replaceable()
        if incarnation is None:
            return
        record = incarnation.server.record
        self._fault_log.record_start(record.name)
        self._shut_down(incarnation)
        asyncio.get_running_loop().call_later(ENTRY_EXPIRY_S, self._delete_entry, incarnation)
        await asyncio.sleep(down_s)
        name = record.name if same_name else ''
        await self.start_server(record.service, record.data_centre, name=name, cold=True)
        self._fault_log.record_end(record.name)

    async def drain_server(self) -> None:
        """Start a replacement for a server, then drain it and shut it down."""
        incarnation = self._remove_replaceable()
        if incarnation is None:
            return
        record = incarnation.server.record
        await self.start_server(record.service, record.data_centre, cold=True)
        incarnation.server.is_leaving = True
        await self._store.write(
            ENTRY_KIND, record.name, incarnation.build_entry(state='draining')
        )
        record.draining_at = asyncio.get_running_loop().time()
        await asyncio.sleep(self._bounds.drain_s + DRAIN_MARGIN_S)
        await self._store.remove(ENTRY_KIND, record.name)
        self._shut_down(incarnation)

    async def let_leave(self, unsaid_s: float) -> None:
        """Let a server that is replaced say that it is leaving, before its entry does."""
        incarnation = self._remove_replaceable()
        if incarnation is None:
            return
        record = incarnation.server.record
        await self.start_server(record.service, record.data_centre, cold=True)
        incarnation.server.is_leaving = True
        await asyncio.sleep(unsaid_s)
        await self._store.remove(ENTRY_KIND, record.name)
        record.draining_at = asyncio.get_running_loop().time()
        await asyncio.sleep(self._bounds.drain_s + DRAIN_MARGIN_S)
        self._shut_down(incarnation)

    async def let_ask_for_pauses(self, pause_s: float, duration_s: float) -> None:
        """Let a server refuse a share of its requests and ask for a pause each time."""
        server = self._random.choice(self._incarnations).server
        server.pause_s = pause_s
        await asyncio.sleep(duration_s)
        server.pause_s = 0.0

    async def reuse_address(self) -> None:
        """Crash and replace a server, and give its address to one of another service.

        The replacement starts at once at another address. The server of another service
        starts after ``Bounds.address_reuse_s``.
        """
        incarnation = self._remove_replaceable()
        if incarnation is None:
            return
        record = incarnation.server.record
        self._fault_log.record_start(record.name)
        self._shut_down(incarnation, keep_proxy=True)
        asyncio.get_running_loop().call_later(ENTRY_EXPIRY_S, self._delete_entry, incarnation)
        other_services = sorted(
            {it.server.record.service for it in self._incarnations} - {record.service}
        )
        await self.start_server(record.service, record.data_centre, cold=True)
        await asyncio.sleep(self._bounds.address_reuse_s)
        if not other_services:
            return
        await self.start_server(
            self._random.choice(other_services), record.data_centre, cold=True
        )
        successor = self._incarnations[-1]
        successor.proxy.stop()
        incarnation.proxy.retarget(successor.server.port)
        successor.proxy = incarnation.proxy
        await self._store.write(
            ENTRY_KIND,
            successor.server.record.name,
            successor.build_entry(**{'warmup-left-ms': int(COLD_DURATION_S * 1000)}),
        )
        self._fault_log.record_end(record.name)

    async def disturb_link(self, state: LinkState, duration_s: float) -> None:
        """Put the link to a server into ``state`` for ``duration_s`` seconds."""
        incarnation = self._random.choice(self._incarnations)
        name = incarnation.server.record.name
        self._fault_log.record_start(name)
        incarnation.proxy.set_state(state)
        await asyncio.sleep(duration_s)
        incarnation.proxy.set_state(type(state).WHOLE)
        self._fault_log.record_end(name, is_thaw_or_heal=True)

    async def cut_off(self, data_centre: str, duration_s: float) -> None:
        """Cut the network between all daemons and the servers of a data centre."""
        affected = [
            incarnation
            for incarnation in self._incarnations
            if incarnation.server.record.data_centre == data_centre
        ]
        names = [incarnation.server.record.name for incarnation in affected]
        self._fault_log.record_start(*names)
        for incarnation in affected:
            incarnation.proxy.cut()
        await asyncio.sleep(duration_s)
        for incarnation in affected:
            incarnation.proxy.heal()
        self._fault_log.record_end(*names, is_thaw_or_heal=True)

    async def apply_misbehaviour(self, fault: ServerMisbehaviour) -> None:
        """Let one server or all servers of a service misbehave for the time of ``fault``."""
        first = self._random.choice(self._incarnations)
        affected = [
            incarnation
            for incarnation in self._incarnations
            if incarnation is first
            or (
                fault.whole_service
                and incarnation.server.record.service == first.server.record.service
            )
        ]
        names = [incarnation.server.record.name for incarnation in affected]
        self._fault_log.record_start(*names)
        for incarnation in affected:
            self._set_misbehaviour(incarnation.server, fault.how, is_active=True)
        await asyncio.sleep(fault.for_s)
        for incarnation in affected:
            self._set_misbehaviour(incarnation.server, fault.how, is_active=False)
            incarnation.proxy.reset()
        self._fault_log.record_end(*names)

    def _set_misbehaviour(
        self, server: BackendServerStandin, how: str, *, is_active: bool
    ) -> None:
        match how:
            case 'hangs':
                server.hangs = is_active
            case 'slow':
                server.slowdown = SLOWDOWN if is_active else 1.0
            case 'loses answers':
                server.loses_answers = is_active
            case 'answers twice':
                server.answers_twice = is_active
            case 'repeats refusals':
                server.repeats_refusals = is_active
            case 'late orders':
                server.applies_grants_late = is_active
            case _:
                raise ValueError(
                    f'misbehaviour {how!r} is unknown: it must be one of MISBEHAVIOURS'
                )

    def close(self) -> None:
        """Shut down all servers."""
        for incarnation in list(self._incarnations):
            self._shut_down(incarnation)

    def _remove_replaceable(self) -> _Incarnation | None:
        """Remove and return a random server whose service has at least one other."""
        services = [incarnation.server.record.service for incarnation in self._incarnations]
        replaceable = [
            incarnation
            for incarnation in self._incarnations
            if services.count(incarnation.server.record.service) > 1
            and incarnation.server.record.draining_at is None
        ]
        if not replaceable:
            return None
        incarnation = self._random.choice(replaceable)
        self._incarnations.remove(incarnation)
        return incarnation

    def _shut_down(self, incarnation: _Incarnation, *, keep_proxy: bool = False) -> None:
        if incarnation in self._incarnations:
            self._incarnations.remove(incarnation)
        incarnation.server.shut_down()
        if keep_proxy:
            incarnation.proxy.reset()
        else:
            incarnation.proxy.stop()

    def _delete_entry(self, incarnation: _Incarnation) -> None:
        name = incarnation.server.record.name
        current = self._checker.server_by_name.get(name)
        if current is incarnation.server.record:
            self._tasks.append(asyncio.ensure_future(self._store.remove(ENTRY_KIND, name)))
