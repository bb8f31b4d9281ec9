"""The backend servers of a run with their entries in the store, each behind a proxy."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from soak._checker import ServerFacts
from soak._proxy import Proxy
from soak._servers import SLOTS, BackendServerStandin

if TYPE_CHECKING:
    import random

    from tests.coltsfootstair_platform.standin import StoreStandin

    from soak._bounds import Bounds
    from soak._checker import Truth
    from soak._fault_log import Calm
    from soak._faults import ServerMisbehaviour
    from soak._proxy import LinkState

__all__ = ['ServerFleet']

LAPSE_S = 2.6
"""How long after its crash the entry of a server is removed, in seconds; three heartbeats."""

COLD_S = 3.0
"""How long a server that has just started is cold, in seconds."""

LEAVING_S = 1.0
"""How much longer than it must a draining server goes on, in seconds."""

SLOWNESS = 8.0
"""How many times as long work takes at a slow server."""

FIRST_BORN_MS = 1_700_000_000_000
KIND = 'servers'


class _Member:
    """A life of a server, its proxy, and its entry."""

    def __init__(self, server: BackendServerStandin, proxy: Proxy, born_ms: int) -> None:
        self.server = server
        self.proxy = proxy
        self.born_ms = born_ms

    def entry(self, **fields: Any) -> dict[str, Any]:
        facts = self.server.facts
        return {
            'service': facts.service,
            'address': f'127.0.0.1:{self.proxy.port}',
            'zone': facts.data_centre,
            'version': 'v1',
            'slots': SLOTS,
            'state': 'ready',
            'warmup-left-ms': 0,
            'sequence': 1,
            'born': self.born_ms,
        } | fields


class ServerFleet:
    """Starts, replaces and ends backend servers.

    :param keyed: the services that are divided by key
    """

    def __init__(
        self,
        store: StoreStandin,
        truth: Truth,
        calm: Calm,
        bounds: Bounds,
        keyed: frozenset[str],
        random_source: random.Random,
    ) -> None:
        self._store = store
        self._truth = truth
        self._calm = calm
        self._bounds = bounds
        self._keyed = keyed
        self._random = random_source
        self._members: list[_Member] = []
        self._lives = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(
        self, service: str, data_centre: str, *, name: str = '', cold: bool = False
    ) -> None:
        """Start a server and write its entry."""
        self._lives += 1
        facts = ServerFacts(name or f'{service}-{self._lives}', service, data_centre)
        server = BackendServerStandin(
            facts,
            self._truth,
            self._bounds,
            self._random,
            divided_by_key=service in self._keyed,
        )
        await server.start()
        proxy = Proxy(server.port, self._random)
        await proxy.start()
        member = _Member(server, proxy, FIRST_BORN_MS + self._lives)
        self._truth.server_by_name[facts.name] = facts
        self._members.append(member)
        left_ms = int(COLD_S * 1000) if cold else 0
        if cold:
            facts.cold_until = asyncio.get_running_loop().time() + COLD_S
        await self._store.put(KIND, facts.name, member.entry(**{'warmup-left-ms': left_ms}))

    async def crash(self, down_s: float, *, same_name: bool) -> None:
        """Crash a server; another life of it comes back."""
        member = self._take()
        if member is None:
            return
        facts = member.server.facts
        self._calm.begin(facts.name)
        self._end(member)
        asyncio.get_running_loop().call_later(LAPSE_S, self._lapse, member)
        await asyncio.sleep(down_s)
        name = facts.name if same_name else ''
        await self.start(facts.service, facts.data_centre, name=name, cold=True)
        self._calm.end(facts.name)

    async def drain(self) -> None:
        """Replace a server in a planned way."""
        member = self._take()
        if member is None:
            return
        facts = member.server.facts
        await self.start(facts.service, facts.data_centre, cold=True)
        await self._store.put(KIND, facts.name, member.entry(state='draining'))
        facts.left_at = asyncio.get_running_loop().time()
        await asyncio.sleep(self._bounds.drain_s + LEAVING_S)
        await self._store.delete(KIND, facts.name)
        self._end(member)

    async def reuse_address(self) -> None:
        """Crash a server for good and give its address to one of another service."""
        member = self._take()
        if member is None:
            return
        facts = member.server.facts
        self._calm.begin(facts.name)
        self._end(member, keep_proxy=True)
        asyncio.get_running_loop().call_later(LAPSE_S, self._lapse, member)
        others = sorted({it.server.facts.service for it in self._members} - {facts.service})
        await self.start(facts.service, facts.data_centre, cold=True)
        await asyncio.sleep(self._bounds.address_reuse_s)
        if not others:
            return
        await self.start(self._random.choice(others), facts.data_centre, cold=True)
        heir = self._members[-1]
        heir.proxy.stop()
        member.proxy.retarget(heir.server.port)
        heir.proxy = member.proxy
        await self._store.put(
            KIND, heir.server.facts.name, heir.entry(**{'warmup-left-ms': int(COLD_S * 1000)})
        )
        self._calm.end(facts.name)

    async def spoil_link(self, state: LinkState, for_s: float) -> None:
        """Let the way to a server be bad for some time."""
        member = self._random.choice(self._members)
        name = member.server.facts.name
        self._calm.begin(name)
        member.proxy.change(state)
        await asyncio.sleep(for_s)
        member.proxy.change(type(state).WHOLE)
        self._calm.end(name)

    async def misbehave(self, fault: ServerMisbehaviour) -> None:
        """Let one or more servers misbehave for some time."""
        first = self._random.choice(self._members)
        struck = [
            member
            for member in self._members
            if member is first
            or (
                fault.whole_service
                and member.server.facts.service == first.server.facts.service
            )
        ]
        names = [member.server.facts.name for member in struck]
        self._calm.begin(*names)
        for member in struck:
            self._misbehave(member.server, fault.how, on=True)
        await asyncio.sleep(fault.for_s)
        for member in struck:
            self._misbehave(member.server, fault.how, on=False)
            member.proxy.reset()
        self._calm.end(*names)

    def _misbehave(self, server: BackendServerStandin, how: str, *, on: bool) -> None:
        match how:
            case 'hangs':
                server.hangs = on
            case 'slow':
                server.slowness = SLOWNESS if on else 1.0
            case 'loses answers':
                server.loses_answers = on
            case 'answers twice':
                server.answers_twice = on
            case 'late orders':
                server.late_orders = on
            case _:
                raise ValueError(f'misbehaviour {how!r} does not exist')

    def close(self) -> None:
        """End all servers."""
        for member in list(self._members):
            self._end(member)

    def _take(self) -> _Member | None:
        """Return a server that may go: its service keeps at least one other."""
        services = [member.server.facts.service for member in self._members]
        spare = [
            member
            for member in self._members
            if services.count(member.server.facts.service) > 1
            and member.server.facts.left_at is None
        ]
        if not spare:
            return None
        member = self._random.choice(spare)
        self._members.remove(member)
        return member

    def _end(self, member: _Member, *, keep_proxy: bool = False) -> None:
        if member in self._members:
            self._members.remove(member)
        member.server.end()
        if keep_proxy:
            member.proxy.reset()
        else:
            member.proxy.stop()

    def _lapse(self, member: _Member) -> None:
        name = member.server.facts.name
        current = self._truth.server_by_name.get(name)
        if current is member.server.facts:
            self._tasks.append(asyncio.ensure_future(self._store.delete(KIND, name)))
