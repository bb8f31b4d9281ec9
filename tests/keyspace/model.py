"""Daemons, a store and backend servers in memory, with faults between them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from coltsfootstair.errors import StoreConflictError, StoreUnavailableError
from coltsfootstair.http1 import Address, BrokenExchangeError
from coltsfootstair.keyspace import (
    Keeper,
    KeeperDependencies,
    OwnershipView,
    StaleFenceError,
    WrongServerError,
)
from coltsfootstair.objects import Changes, Listing, Relay, StoredObject
from coltsfootstair.peers import Message, Report
from coltsfootstair.registry import BackendServer, Registry, ServerState
from tests.virtual_time import LoopClock

SERVICE = 'lookups'
CLOCK_DRIFT_FACTOR = 1.02
"""How slow a backend server's clock may run, as the platform states."""


class ModelStore:
    """One daemon's way to the objects that all daemons share."""

    def __init__(self, world: World, daemon: str) -> None:
        self._world = world
        self._daemon = daemon

    async def _reach(self) -> None:
        await asyncio.sleep(0.004)
        if self._daemon in self._world.storeless or self._daemon in self._world.dead:
            await asyncio.sleep(0.3)
            raise StoreUnavailableError('the store is cut off')

    async def list(self, kind: str) -> Listing:
        await self._reach()
        return Listing(list(self._world.objects.values()), self._world.revision)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        await self._reach()
        return self._world.objects.get(name)

    async def create(self, kind: str, name: str, value: Any) -> StoredObject:
        return await self._change(name, value, 0)

    async def replace(
        self, kind: str, name: str, value: Any, *, expected_revision: int
    ) -> StoredObject:
        return await self._change(name, value, expected_revision)

    async def _change(self, name: str, value: Any, expected: int) -> StoredObject:
        await self._reach()
        found = self._world.objects.get(name)
        if (found.revision if found else 0) != expected:
            raise StoreConflictError(name)
        self._world.revision += 1
        item = StoredObject(name, self._world.revision, value)
        self._world.objects[name] = item
        if self._world.random.random() < self._world.lost_answers:
            await asyncio.sleep(0.5)
            raise StoreUnavailableError('the answer was lost')
        return item

    async def watch(self, kind: str, after_revision: int, wait_s: float) -> Changes:
        raise NotImplementedError


class ModelServer:
    """A backend server that takes fenced grants; it checks tokens key by key.

    Keys stand for 64 of the real ones, so that a check of all of them is cheap.
    """

    GRAIN = 1024

    def __init__(self, world: World, server: BackendServer) -> None:
        self.server = server
        self.alive = True
        self._world = world
        count = 65536 // self.GRAIN
        self._seen = [0] * count
        self._until = [0.0] * count
        self._fence = [0] * count

    def _keys(self, first: int, last: int) -> range:
        return range(-(-first // self.GRAIN), last // self.GRAIN + 1)

    def grant(
        self, first: int, last: int, fence: int, duration_s: float, arrived: float
    ) -> None:
        keys = self._keys(first, last)
        if any(self._seen[key] > fence for key in keys):
            raise StaleFenceError('a higher token was seen')
        until = arrived + duration_s * CLOCK_DRIFT_FACTOR
        for key in keys:
            self._seen[key] = fence
            self._fence[key] = fence
            self._until[key] = max(until, self._until[key]) if until > self._world.now else 0.0
        self._world.check_owners(keys)

    def release(self, first: int, last: int, fence: int) -> None:
        for key in self._keys(first, last):
            if fence >= self._seen[key]:
                self._seen[key] = fence
                self._until[key] = 0.0

    def holds(self, key: int) -> bool:
        return self.alive and self._until[key] > self._world.now

    def token(self, key: int) -> int:
        return self._fence[key]


class ModelOrders:
    """One daemon's way to the backend servers."""

    def __init__(self, world: World, daemon: str) -> None:
        self._world = world
        self._daemon = daemon

    async def grant(
        self,
        server: BackendServer,
        first: int,
        last: int,
        fence: int,
        duration_s: float,
        handover: str | None,
        timeout_s: float,
    ) -> None:
        model = await self._reach(server, timeout_s)
        arrived = self._world.now
        if self._world.random.random() < self._world.late_orders:
            asyncio.get_running_loop().call_later(
                self._world.random.uniform(2.0, 6.0),
                self._late,
                lambda: model.grant(first, last, fence, duration_s, arrived),
            )
            await asyncio.sleep(timeout_s)
            raise BrokenExchangeError('no answer', sent=True)
        model.grant(first, last, fence, duration_s, arrived)

    async def release(
        self, server: BackendServer, first: int, last: int, fence: int, timeout_s: float
    ) -> str | None:
        model = await self._reach(server, timeout_s)
        if self._world.random.random() < self._world.late_orders:
            asyncio.get_running_loop().call_later(
                self._world.random.uniform(2.0, 6.0),
                self._late,
                lambda: model.release(first, last, fence),
            )
            await asyncio.sleep(timeout_s)
            raise BrokenExchangeError('no answer', sent=True)
        model.release(first, last, fence)
        await asyncio.sleep(self._world.random.uniform(0.0, 0.3))
        return 'handover'

    def _late(self, order: Callable[[], None]) -> None:
        try:
            order()
        except StaleFenceError:
            return

    async def _reach(self, server: BackendServer, timeout_s: float) -> ModelServer:
        await asyncio.sleep(0.002)
        if (self._daemon, server.name) in self._world.cut or self._daemon in self._world.dead:
            await asyncio.sleep(timeout_s)
            raise BrokenExchangeError('no answer', sent=False)
        model = self._world.server_at(server.address)
        if model is None:
            raise BrokenExchangeError('refused', sent=False)
        if model.server.name != server.name:
            raise WrongServerError(server.name)
        return model


class ModelChannel:
    """One daemon's datagrams."""

    def __init__(self, world: World, daemon: str) -> None:
        self._world = world
        self._daemon = daemon

    def send(self, message: Message, address: Address) -> None:
        world = self._world
        other = address.host
        cut = {(self._daemon, other), (other, self._daemon)} & world.cut
        if cut or self._daemon in world.dead or other in world.dead:
            return
        if world.random.random() < 0.02:
            return
        sender = Address(self._daemon, 1)
        loop = asyncio.get_running_loop()
        loop.call_later(0.002, lambda: world.deliver(other, message, sender))

    def close(self) -> None:
        return


class Daemon:
    """The parts of a daemon that have to do with keys."""

    def __init__(self, world: World, name: str) -> None:
        self.name = name
        self.registry = Registry(world.clock)
        self.view = OwnershipView()
        self.relay = Relay()
        dependencies = KeeperDependencies(
            store=ModelStore(world, name),
            grant_client=ModelOrders(world, name),
            registry=self.registry,
            ownership_view=self.view,
            clock=world.clock,
            random_source=world.random,
            store_reachable=lambda: name not in world.storeless,
            keyed_services=lambda: {SERVICE},
            cold_limit_per_s=lambda _service: 5.0,
            default_service_s=lambda _service: 0.1,
            max_grant_duration_s=10.0,
            address_reuse_s=2.0,
            keeper_capacity=1.0,
            relay=self.relay,
            get_revision_by_kind=dict,
            on_relayed_changes=lambda _changes: None,
            collect_report=self._collect,
        )
        self._random = world.random
        self.keeper = Keeper(name, Address(name, 1), dependencies)
        self.keeper.attach(ModelChannel(world, name))
        self.task = asyncio.create_task(self.keeper.run())

    def _collect(
        self, epoch: int, works: bool, seconds: float, revisions: dict[str, int]
    ) -> Report:
        hot = self._random.choice((500, 20000, 41000))
        keys = {hot: 12, self._random.randrange(65536): 2, self._random.randrange(65536): 2}
        return Report(self.name, epoch, works, seconds, revisions, {SERVICE: keys}, {})


class World:
    """All that happens, by a seed."""

    def __init__(self, seed: int, daemons: int = 4, servers: int = 5) -> None:
        self.random = random.Random(seed)
        self.clock = LoopClock()
        self.objects: dict[str, StoredObject] = {}
        self.revision = 1
        self.storeless: set[str] = set()
        self.dead: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        self.lost_answers = 0.0
        self.late_orders = 0.0
        self.broken: list[str] = []
        self._born = 1
        self._token_by_key: dict[int, tuple[int, str]] = {}
        self._names = [f'd{number}' for number in range(daemons)]
        self.daemon_by_name = {name: Daemon(self, name) for name in self._names}
        self.server_by_address: dict[Address, ModelServer] = {}
        for number in range(servers):
            self.start_server(Address('10.0.0.1', 9000 + number))

    @property
    def now(self) -> float:
        return self.clock.monotonic()

    def start_server(self, address: Address) -> ModelServer:
        self._born += 1
        server = BackendServer(
            f's{self._born}', self._born, SERVICE, address, 'a', 4, ServerState.READY, 0.0
        )
        model = ModelServer(self, server)
        self.server_by_address[address] = model
        for daemon in self.daemon_by_name.values():
            daemon.registry.put(server)
        return model

    def server_at(self, address: Address) -> ModelServer | None:
        model = self.server_by_address.get(address)
        return model if model is not None and model.alive else None

    def deliver(self, daemon: str, message: Message, sender: Address) -> None:
        if daemon not in self.dead:
            self.daemon_by_name[daemon].keeper.on_message(message, sender)

    def restart(self, name: str) -> None:
        self.dead.add(name)
        old = self.daemon_by_name[name]
        old.task.cancel()
        old.keeper.close()
        servers = [model.server for model in self.server_by_address.values() if model.alive]
        self.daemon_by_name[name] = Daemon(self, name)
        for server in servers:
            self.daemon_by_name[name].registry.put(server)
        self.dead.discard(name)

    def check_owners(self, keys: range) -> None:
        """Note each key that two servers hold, and each token that went backwards."""
        for key in keys:
            holders = [model for model in self.server_by_address.values() if model.holds(key)]
            if len(holders) > 1:
                names = [(model.server.name, model.token(key)) for model in holders]
                self.broken.append(f'{self.now:.3f}: key {key} is held by {names}')
            for model in holders:
                token, owner = self._token_by_key.get(key, (0, ''))
                mine = model.token(key)
                if model.server.name != owner and mine <= token:
                    self.broken.append(
                        f'{self.now:.3f}: key {key} went to {model.server.name} under {mine},'
                        f' {owner} had it under {token}'
                    )
                if mine >= token:
                    self._token_by_key[key] = (mine, model.server.name)

    def served_share(self) -> float:
        """Return which part of the keys one server holds, as the daemons see it."""
        count = 65536 // ModelServer.GRAIN
        alive = (name for name in self._names if name not in self.dead)
        view = self.daemon_by_name[next(alive)].view
        served = 0
        for key in range(count):
            key_range = view.range_of(SERVICE, key * ModelServer.GRAIN)
            if key_range is None or not key_range.live:
                continue
            served += any(
                model.server.life == key_range.owner and model.holds(key)
                for model in self.server_by_address.values()
            )
        return served / count

    def fault(self) -> None:
        """Do one thing that may go wrong, at random."""
        daemon = self.random.choice(self._names)
        model = self.random.choice(list(self.server_by_address.values()))
        loop = asyncio.get_running_loop()
        lasts_s = self.random.uniform(0.5, 8.0)
        match self.random.randrange(9):
            case 0:
                self.storeless.add(daemon)
                loop.call_later(lasts_s, self.storeless.discard, daemon)
            case 1:
                self.storeless.update(self._names)
                loop.call_later(lasts_s, self.storeless.clear)
            case 2:
                pairs = {(daemon, other) for other in self._names}
                self.cut |= pairs
                loop.call_later(lasts_s, self._heal, pairs)
            case 3:
                pairs = {(daemon, model.server.name)}
                self.cut |= pairs
                loop.call_later(lasts_s, self._heal, pairs)
            case 4:
                self.restart(daemon)
            case 5:
                model.alive = False
                for each in self.daemon_by_name.values():
                    loop.call_later(2.0, each.registry.remove, model.server.name)
                loop.call_later(lasts_s, self.start_server, model.server.address)
            case 6:
                self.lost_answers = 0.3
                loop.call_later(lasts_s, setattr, self, 'lost_answers', 0.0)
            case 7:
                self.late_orders = 0.3
                loop.call_later(lasts_s, setattr, self, 'late_orders', 0.0)
            case _:
                server = model.server._replace(state=ServerState.DRAINING)
                for each in self.daemon_by_name.values():
                    each.registry.put(server)

    def _heal(self, pairs: set[tuple[str, str]]) -> None:
        self.cut -= pairs
