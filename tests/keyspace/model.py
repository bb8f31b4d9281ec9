"""In-memory model of daemons, a store and backend servers, with faults."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from coltsfootstair.crashes import SuspectRequests, TrialClient
from coltsfootstair.errors import StoreConflictError, StoreUnavailableError
from coltsfootstair.http1 import Address, BrokenExchangeError
from coltsfootstair.keyspace import (
    Keeper,
    KeeperDependencies,
    OwnershipView,
    StaleFenceError,
    WrongServerError,
)
from coltsfootstair.limits import LimitGate, NamedLimits
from coltsfootstair.objects import (
    Listing,
    Relay,
    RelayedChanges,
    StoredObject,
    WatchAnswer,
    compose_revision,
    era_of,
    number_of,
)
from coltsfootstair.peers import Message, Report
from coltsfootstair.placement import ServerPaths
from coltsfootstair.registry import BackendServer, Registry, ServerState
from coltsfootstair.supervision import FailureLog, SupervisedTask
from coltsfootstair.workspaces import WorkspaceGate
from tests.virtual_time import LoopClock

if TYPE_CHECKING:
    from datetime import datetime

    from coltsfootstair.clock import Clock

SERVICE = 'lookups'
ASSUMED_DAEMON_COUNT = 100
"""Number of daemons that one assumes while the real number is unknown."""

CLOCK_DRIFT_FACTOR = 1.02
"""Factor by which the clock of a backend server may be slow, as the platform states."""


class ModelStore:
    """The shared store as one daemon reaches it."""

    def __init__(self, world: World, daemon: str) -> None:
        self._world = world
        self._daemon = daemon

    @property
    def era(self) -> int:
        return self._world.seen_era_by_daemon.get(self._daemon, 0)

    @property
    def _is_reachable(self) -> bool:
        return (
            self._daemon not in self._world.daemons_without_store
            and self._daemon not in self._world.ended_daemons
        )

    async def _simulate_call(self) -> None:
        self._world.call_count_by_daemon[self._daemon] += 1
        # A call takes 4 ms; if the store is unreachable, it times out later.
        await asyncio.sleep(0.004)
        if not self._is_reachable:
            await asyncio.sleep(self._world.call_timeout_s)
            raise StoreUnavailableError('the store is unreachable')
        self._world.seen_era_by_daemon[self._daemon] = self._world.era

    async def list(self, kind: str, *, may_be_stale: bool = False) -> Listing:
        await self._simulate_call()
        revision = compose_revision(self._world.era, self._world.revision)
        return Listing(list(self._world.objects.values()), revision)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        await self._simulate_call()
        return self._world.objects.get(name)

    async def create(self, kind: str, name: str, value: Any) -> StoredObject:
        return await self._change(name, value, 0)

    async def replace(
        self, kind: str, name: str, value: Any, *, expected_revision: int
    ) -> StoredObject:
        return await self._change(name, value, expected_revision)

    async def _change(self, name: str, value: Any, expected_revision: int) -> StoredObject:
        if expected_revision and era_of(expected_revision) != self.era:
            raise StoreConflictError(name)
        await self._simulate_call()
        found = self._world.objects.get(name)
        # The store compares its own numbers, which it gives out again in each era.
        if number_of(found.revision if found else 0) != number_of(expected_revision):
            raise StoreConflictError(name)
        self._world.revision += 1
        revision = compose_revision(self._world.era, self._world.revision)
        item = StoredObject(name, revision, value)
        self._world.objects[name] = item
        if expected_revision and era_of(expected_revision) != self.era:
            raise StoreConflictError(name)
        if (
            self._daemon in self._world.daemons_without_write_answers
            or self._world.random.random() < self._world.lost_answer_share
        ):
            # The write was made, but its answer is lost: the call times out after 0.5 s.
            await asyncio.sleep(0.5)
            raise StoreUnavailableError('the answer was lost')
        return item

    async def watch(
        self, kind: str, after_revision: int, wait_s: float, **_: Any
    ) -> WatchAnswer:
        raise NotImplementedError


class ModelServer:
    """A backend server that accepts grants and checks their fencing tokens key by key.

    It models 64 keys, every ``KEY_STEP``-th of the real ones, so that checking all is cheap.
    """

    KEY_STEP = 1024

    def __init__(self, world: World, server: BackendServer) -> None:
        self.server = server
        self.alive = True
        self.says_leaving = False
        self._world = world
        count = 65536 // self.KEY_STEP
        self._highest_fence = [0] * count
        self._expiry = [0.0] * count
        self._granted_fence = [0] * count

    def _keys(self, first: int, last: int) -> range:
        return range(-(-first // self.KEY_STEP), last // self.KEY_STEP + 1)

    def grant(
        self, first: int, last: int, fence: int, duration_s: float, arrived_at: float
    ) -> None:
        keys = self._keys(first, last)
        if any(self._highest_fence[key] > fence for key in keys):
            raise StaleFenceError('a higher fencing token was seen')
        expiry = arrived_at + duration_s * CLOCK_DRIFT_FACTOR
        for key in keys:
            self._highest_fence[key] = fence
            self._granted_fence[key] = fence
            # A call that is executed late, after its own grant has expired, also ends an
            # earlier grant with a later expiry.
            self._expiry[key] = (
                max(expiry, self._expiry[key]) if expiry > self._world.now else 0.0
            )
        self._world.check_owners(keys)

    def release(self, first: int, last: int, fence: int) -> None:
        for key in self._keys(first, last):
            if fence >= self._highest_fence[key]:
                self._highest_fence[key] = fence
                self._expiry[key] = 0.0

    def has_grant(self, key: int) -> bool:
        return self.alive and self._expiry[key] > self._world.now

    def get_fence(self, key: int) -> int:
        return self._granted_fence[key]


class ModelGrantClient:
    """Grant and release calls of one daemon."""

    def __init__(self, world: World, daemon: str) -> None:
        self._world = world
        self._daemon = daemon
        self._on_leaving: Callable[[tuple[str, int]], None] = lambda _incarnation: None

    def subscribe_leaving(self, listener: Callable[[tuple[str, int]], None]) -> None:
        self._on_leaving = listener

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
        model = await self._connect(
            server,
            timeout_s,
            lambda model: model.grant(first, last, fence, duration_s, self._world.now),
        )
        arrived_at = self._world.now
        if self._world.random.random() < self._world.late_call_share:
            asyncio.get_running_loop().call_later(
                self._world.random.uniform(2.0, self._world.max_call_delay_s),
                self._execute_late,
                lambda: model.grant(first, last, fence, duration_s, arrived_at),
            )
            await asyncio.sleep(timeout_s)
            raise BrokenExchangeError('no answer', sent=True)
        model.grant(first, last, fence, duration_s, arrived_at)

    async def release(
        self, server: BackendServer, first: int, last: int, fence: int, timeout_s: float
    ) -> str | None:
        model = await self._connect(server, timeout_s)
        if self._world.random.random() < self._world.late_call_share:
            asyncio.get_running_loop().call_later(
                self._world.random.uniform(2.0, self._world.max_call_delay_s),
                self._execute_late,
                lambda: model.release(first, last, fence),
            )
            await asyncio.sleep(timeout_s)
            raise BrokenExchangeError('no answer', sent=True)
        model.release(first, last, fence)
        await asyncio.sleep(self._world.random.uniform(0.0, 0.3))
        return 'handover'

    def _execute_late(self, call: Callable[[], None]) -> None:
        try:
            call()
        except StaleFenceError:
            return

    async def _connect(
        self,
        server: BackendServer,
        timeout_s: float,
        held_up_call: Callable[[ModelServer], None] | None = None,
    ) -> ModelServer:
        await asyncio.sleep(0.002)
        if (
            self._daemon,
            server.name,
        ) in self._world.cut_links or self._daemon in self._world.ended_daemons:
            if held_up_call is not None and not self._world.resets_given_up_calls:
                self._world.held_up_calls.append((self._daemon, server.name, held_up_call))
            await asyncio.sleep(timeout_s)
            raise BrokenExchangeError('no answer', sent=False)
        model = self._world.server_at(server.address)
        if model is None:
            raise BrokenExchangeError('refused', sent=False)
        if model.server.name != server.name:
            raise WrongServerError(server.name)
        if model.says_leaving:
            self._on_leaving(server.incarnation)
        return model


class ModelChannel:
    """Datagrams of one daemon; some are lost."""

    def __init__(self, world: World, daemon: str) -> None:
        self._world = world
        self._daemon = daemon

    def send(self, message: Message, address: Address) -> None:
        world = self._world
        other = address.host
        cut_links = {(self._daemon, other), (other, self._daemon)} & world.cut_links
        if cut_links or self._daemon in world.ended_daemons or other in world.ended_daemons:
            return
        # One datagram in 50 is lost.
        if world.random.random() < 0.02:
            return
        sender = Address(self._daemon, 1)
        loop = asyncio.get_running_loop()
        delay_s = 0.002 + world.link_delay_s_by_daemon.get(self._daemon, 0.0)
        loop.call_later(delay_s, lambda: world.deliver(other, message, sender))

    def close(self) -> None:
        return


class DaemonClock:
    """The clock of one daemon, which may run ahead after a suspension of its VM."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ahead_s = 0.0

    def monotonic(self) -> float:
        return self._clock.monotonic() + self._ahead_s

    def now(self) -> datetime:
        return self._clock.now()

    def advance(self, duration_s: float) -> None:
        """Let the clock run ahead by ``duration_s`` more seconds."""
        self._ahead_s += duration_s


class Daemon:
    """The part of a daemon that works on the ownership of keys."""

    def __init__(self, world: World, name: str) -> None:
        self.name = name
        self._world = world
        clock = world.clock_by_daemon.setdefault(name, DaemonClock(world.clock))
        self.registry = Registry(clock)
        self.view = OwnershipView()
        self.relay = Relay()
        self.suspects = SuspectRequests(clock)
        self.paths = ServerPaths(clock)
        self.trials = TrialClient(name, lambda request: self.keeper.request_trial(request))
        self.limits = NamedLimits(clock)
        self.limit_gate = LimitGate(
            name,
            clock,
            self.limits,
            lambda request: self.keeper.request_permits(request),
            lambda: self.keeper.known_daemon_count or ASSUMED_DAEMON_COUNT,
            world.random,
        )
        self.workspace_gate = WorkspaceGate(
            name,
            clock,
            self.limit_gate.client,
            world.random,
            world.workspace_slack_per_s,
            lambda: self.keeper.known_daemon_count or ASSUMED_DAEMON_COUNT,
        )
        dependencies = KeeperDependencies(
            store=world.make_store(name),
            grant_client=ModelGrantClient(world, name),
            registry=self.registry,
            ownership_view=self.view,
            clock=clock,
            random_source=world.random,
            is_store_reachable=self.is_store_reachable,
            get_services_divided_by_key=lambda: {SERVICE},
            get_cold_limit_per_s=lambda _service: 5.0,
            get_default_service_time_s=lambda _service: 0.1,
            max_grant_duration_s=10.0,
            address_reuse_s=2.0,
            keeper_capacity=1.0,
            relay=self.relay,
            get_revision_by_kind=self.collect_revisions,
            on_relayed_changes=self.apply_relayed,
            get_age_by_kind=self.collect_ages,
            on_kinds_confirmed=self.confirm,
            collect_report=self._collect_report,
            is_first_start=world.is_first_start,
            limits=self.limits,
            on_permit_answer=lambda answer: self.limit_gate.on_answer(answer),
            suspects=self.suspects,
            on_trial_answer=lambda answer: self.trials.on_answer(answer),
            paths=self.paths,
            get_issued_rates=lambda: self.workspace_gate.list_issued_rates(),
            on_keeper_heard=lambda heard_at, is_issuing: self.workspace_gate.on_keeper_heard(
                heard_at, is_issuing=is_issuing
            ),
            failures=FailureLog(world.on_task_failed),
        )
        self._random = world.random
        self.keeper = Keeper(name, Address(name, 1), dependencies)
        self.keeper.attach(ModelChannel(world, name))
        supervised = SupervisedTask(
            'keeper',
            self.keeper.run,
            clock,
            FailureLog(world.on_task_failed),
            lambda _task: self.keeper.recover(),
        )
        self.task = asyncio.create_task(supervised.run())

    def is_store_reachable(self) -> bool:
        return self.name not in self._world.daemons_without_store

    def collect_revisions(self) -> dict[str, int]:
        return {}

    def collect_ages(self) -> dict[str, float]:
        return {}

    def confirm(
        self, confirmed_at_by_kind: dict[str, float], revision_by_kind: dict[str, int]
    ) -> None:
        """Take over the keeper's evidence; no objects are followed here."""

    def apply_relayed(self, changes: RelayedChanges) -> None:
        """Apply objects that the keeper has read; none are followed here."""

    def _collect_report(
        self, epoch: int, store_reachable: bool, interval_s: float, revisions: dict[str, int]
    ) -> Report:
        for model in self._world.server_by_address.values():
            # As requests to it would show.
            if (self.name, model.server.name) in self._world.cut_links:
                self.paths.record_failure(model.server.incarnation, 'cut off')
            elif model.alive:
                self.paths.record_answer(model.server.incarnation)
        # 12 requests for one of three hot keys, and two for each of two random keys.
        hot_key = self._random.choice((500, 20000, 41000))
        request_count_by_key = {
            hot_key: 12,
            self._random.randrange(65536): 2,
            self._random.randrange(65536): 2,
        }
        return Report(
            self.name,
            epoch,
            store_reachable,
            interval_s,
            revisions,
            {SERVICE: request_count_by_key},
            {},
            [server.incarnation for server in self.registry.list_leaving()],
            self.limits.list_recent(),
            self.suspects.list_changed(),
            self.paths.is_cut_off,
        )


class World:
    """The daemons, backend servers, store and faults of a run; a seed makes it repeatable.

    A task that fails is a violation, unless ``expects_task_failures`` is set.
    """

    expects_task_failures = False
    call_timeout_s = 0.3
    """Time after which a call to a store that is unreachable fails, in seconds."""

    def __init__(self, seed: int, daemon_count: int = 4, server_count: int = 5) -> None:
        self.random = random.Random(seed)
        self.clock = LoopClock()
        self.clock_by_daemon: dict[str, DaemonClock] = {}
        self.objects: dict[str, StoredObject] = {}
        self.revision = 1
        self.era = 0
        self.is_first_start = True
        self.workspace_slack_per_s = 4.0
        self.seen_era_by_daemon: dict[str, int] = {}
        self._copy: tuple[int, dict[str, StoredObject]] = (1, {})
        self.daemons_without_store: set[str] = set()
        self.daemons_without_write_answers: set[str] = set()
        self.ended_daemons: set[str] = set()
        self.call_count_by_daemon: Counter[str] = Counter()
        self.cut_links: set[tuple[str, str]] = set()
        # How much later than usual the datagrams of a daemon arrive, in seconds.
        self.link_delay_s_by_daemon: dict[str, float] = {}
        self.lost_answer_share = 0.0
        self.late_call_share = 0.0
        # Longest time after which an unanswered call is executed, in seconds.
        self.max_call_delay_s = 6.0
        # Whether a call that is given up in a cut of the network is dropped with its
        # connection; if not, it is delivered after the cut.
        self.resets_given_up_calls = True
        self.held_up_calls: list[tuple[str, str, Callable[[ModelServer], None]]] = []
        self.violations: list[str] = []
        self._last_start_ms = 1
        self._last_owner_by_key: dict[int, tuple[int, str]] = {}
        self._daemon_names = [f'd{number}' for number in range(daemon_count)]
        self.daemon_by_name = {name: self.make_daemon(name) for name in self._daemon_names}
        self.server_by_address: dict[Address, ModelServer] = {}
        for number in range(server_count):
            self.start_server(Address('10.0.0.1', 9000 + number))

    def make_daemon(self, name: str) -> Daemon:
        return Daemon(self, name)

    def make_store(self, daemon: str) -> ModelStore:
        return ModelStore(self, daemon)

    @property
    def now(self) -> float:
        return self.clock.monotonic()

    def copy_store(self) -> None:
        """Take the copy from which ``restore_store`` brings the store back."""
        self._copy = (self.revision, dict(self.objects))

    def restore_store(self) -> None:
        """Bring the store back from its copy, in a new era."""
        self.era += 1
        self.revision, objects = self._copy
        self.objects = {
            name: item._replace(revision=compose_revision(self.era, number_of(item.revision)))
            for name, item in objects.items()
        }

    def write_odd(self, name: str, value: Any) -> None:
        """Let another writer replace an object of the daemons."""
        self.revision += 1
        revision = compose_revision(self.era, self.revision)
        self.objects[name] = StoredObject(name, revision, value)

    async def run_drill(self, away_s: float, *, restart_all: bool = False) -> None:
        """Take the store away for ``away_s`` seconds, and bring it back from its copy.

        :param restart_all: whether all daemons restart meanwhile
        """
        self.daemons_without_store.update(self._daemon_names)
        await asyncio.sleep(away_s / 2)
        if restart_all:
            for name in self._daemon_names:
                self.restart_daemon(name)
        await asyncio.sleep(away_s / 2)
        self.restore_store()
        self.daemons_without_store.clear()

    def start_server(self, address: Address) -> ModelServer:
        self._last_start_ms += 1
        server = BackendServer(
            f's{self._last_start_ms}',
            self._last_start_ms,
            SERVICE,
            address,
            'a',
            4,
            ServerState.READY,
            0.0,
        )
        model = ModelServer(self, server)
        self.server_by_address[address] = model
        for daemon in self.daemon_by_name.values():
            daemon.registry.apply_entry(server)
        return model

    def server_at(self, address: Address) -> ModelServer | None:
        model = self.server_by_address.get(address)
        return model if model is not None and model.alive else None

    def deliver(self, daemon: str, message: Message, sender: Address) -> None:
        if daemon not in self.ended_daemons:
            self.daemon_by_name[daemon].keeper.on_message(message, sender)

    def restart_daemon(self, name: str) -> None:
        self.is_first_start = False
        self.ended_daemons.add(name)
        old = self.daemon_by_name[name]
        old.task.cancel()
        old.keeper.close()
        servers = [model.server for model in self.server_by_address.values() if model.alive]
        self.daemon_by_name[name] = self.make_daemon(name)
        for server in servers:
            self.daemon_by_name[name].registry.apply_entry(server)
        self.ended_daemons.discard(name)

    def on_task_failed(self, name: str) -> None:
        if not self.expects_task_failures:
            self.violations.append(f'{self.now:.3f}: task {name} failed')

    def check_owners(self, keys: range) -> None:
        """Record keys with two owners, and new owners without a higher fencing token."""
        for key in keys:
            owners = [
                model for model in self.server_by_address.values() if model.has_grant(key)
            ]
            if len(owners) > 1:
                names = [(model.server.name, model.get_fence(key)) for model in owners]
                self.violations.append(f'{self.now:.3f}: key {key} is granted to {names}')
            for model in owners:
                last_fence, last_owner = self._last_owner_by_key.get(key, (0, ''))
                fence = model.get_fence(key)
                if model.server.name != last_owner and fence <= last_fence:
                    self.violations.append(
                        f'{self.now:.3f}: key {key} moved to {model.server.name} with fence'
                        f' {fence}, {last_owner} had it with fence {last_fence}'
                    )
                if fence >= last_fence:
                    self._last_owner_by_key[key] = (fence, model.server.name)

    def compute_served_share(self, but_of: str = '') -> float:
        """Return the share of keys whose owner has a grant in force.

        The owner is taken from the table of the first running daemon.

        :param but_of: a daemon whose table is not used
        """
        count = 65536 // ModelServer.KEY_STEP
        alive = (
            name
            for name in self._daemon_names
            if name not in self.ended_daemons and name != but_of
        )
        view = self.daemon_by_name[next(alive)].view
        served_count = 0
        for key in range(count):
            key_range = view.range_of(SERVICE, key * ModelServer.KEY_STEP)
            if key_range is None or not key_range.is_granted:
                continue
            served_count += any(
                model.server.incarnation == key_range.owner and model.has_grant(key)
                for model in self.server_by_address.values()
            )
        return served_count / count

    def inject_fault(self) -> None:
        """Inject one random fault; most end after a random time."""
        daemon = self.random.choice(self._daemon_names)
        model = self.random.choice(list(self.server_by_address.values()))
        loop = asyncio.get_running_loop()
        duration_s = self.random.uniform(0.5, 8.0)
        match self.random.randrange(9):
            case 0:  # one daemon cannot reach the store
                self.daemons_without_store.add(daemon)
                loop.call_later(duration_s, self.daemons_without_store.discard, daemon)
            case 1:  # no daemon can reach the store
                self.daemons_without_store.update(self._daemon_names)
                loop.call_later(duration_s, self.daemons_without_store.clear)
            case 2:  # one daemon is cut off from the other daemons
                links = {(daemon, other) for other in self._daemon_names}
                self.cut_links |= links
                loop.call_later(duration_s, self.restore_links, links)
            case 3:  # one daemon is cut off from one backend server
                links = {(daemon, model.server.name)}
                self.cut_links |= links
                loop.call_later(duration_s, self.restore_links, links)
            case 4:  # one daemon restarts
                self.restart_daemon(daemon)
            case 5:  # one backend server ends, and another one starts at its address
                model.alive = False
                for other_daemon in self.daemon_by_name.values():
                    loop.call_later(2.0, other_daemon.registry.remove, model.server.name)
                loop.call_later(duration_s, self.start_server, model.server.address)
            case 6:  # answers to writes are lost
                self.lost_answer_share = 0.3
                loop.call_later(duration_s, setattr, self, 'lost_answer_share', 0.0)
            case 7:  # grant and release calls are executed late
                self.late_call_share = 0.3
                loop.call_later(duration_s, setattr, self, 'late_call_share', 0.0)
            case _:  # one backend server is draining
                server = model.server._replace(state=ServerState.DRAINING)
                for other_daemon in self.daemon_by_name.values():
                    other_daemon.registry.apply_entry(server)

    def cut_off_from_servers(self, daemons: list[str]) -> None:
        """Cut the links of ``daemons`` to all backend servers, and no others."""
        self.cut_links |= {
            (daemon, model.server.name)
            for daemon in daemons
            for model in self.server_by_address.values()
        }

    def restore_links(self, links: set[tuple[str, str]]) -> None:
        self.cut_links -= links
        held_up_calls, self.held_up_calls = self.held_up_calls, []
        for daemon, server_name, call in held_up_calls:
            if (daemon, server_name) in self.cut_links:
                self.held_up_calls.append((daemon, server_name, call))
                continue
            for model in self.server_by_address.values():
                if model.alive and model.server.name == server_name:
                    with contextlib.suppress(StaleFenceError):
                        call(model)
