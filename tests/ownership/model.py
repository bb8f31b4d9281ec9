"""A small world of daemons, a store and backend servers, in which anything may be late.

Its faults are drawn from one seed: messages are lost, repeated and overtake each other;
processes pause at any step; clocks drift; the store goes down and loses answers.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from coltsfootstair.leases import Candidate, Lease, PeerView, lease_expiry, may_coordinate
from coltsfootstair.leases import _decide as leases
from coltsfootstair.leases import _messages as lm
from coltsfootstair.ownership import (
    CLOCK_DRIFT,
    OwnershipState,
    Row,
    Shard,
    hash_row_of,
    initial_state,
)
from coltsfootstair.ownership import _messages as om
from coltsfootstair.ownership import _moves as moves

if TYPE_CHECKING:
    from collections.abc import Callable

TICK_S = 0.05
RUN_S = 25.0
SERVERS = {'a': 'north', 'b': 'south'}
DAEMONS = {'d1': 'north', 'd2': 'south', 'd3': 'south'}
SLOT, HOT = 0, 1024
KEY = next(k for k in map(str, itertools.count()) if hash_row_of(k) == SLOT)


class BrokenPromiseError(AssertionError):
    """Two owners, two coordinators, or a grant that the store does not bear out."""


class Faults(NamedTuple):
    """What a deliberately broken variant gets wrong."""

    announce_early: bool = False
    tokens_unchecked: bool = False


NO_FAULTS = Faults()


class Server:
    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.rate = world.drift()
        self.offset = world.rng.uniform(0, 1000)
        self.frozen_until = 0.0
        self.granted: dict[int, int] = {}
        self.until = 0.0
        self.seen: Counter[int] = Counter()
        self.running = 0

    def clock(self) -> float:
        return self.offset + self.world.now * self.rate

    def holds(self, row: int) -> bool:
        return row in self.granted and self.clock() < self.until

    def take_order(self, order: Any) -> bool:
        if any(self.seen[row] > token for row, token in order.token_by_row.items()):
            return False
        for row, token in order.token_by_row.items():
            if self.world.owner_by_epoch.get((row, token >> 24)) != self.name:
                raise BrokenPromiseError(
                    f'{self.name} was granted {row}, which it never owned'
                )
            self.seen[row] = token
        self.granted, self.until = dict(order.token_by_row), order.server_expiry
        return True


class Daemon:
    def __init__(self, world: World, name: str, incarnation: int) -> None:
        self.world, self.name = world, name
        self.incarnation = incarnation
        self.me = Candidate(name, f'{incarnation:09}', DAEMONS[name])
        self.rate = world.drift()
        self.offset = world.rng.uniform(0, 1000)
        self.paused_until = 0.0
        self.leases = {s: Lease(s, centre, self.me) for s, centre in SERVERS.items()}
        self.owned: dict[str, OwnershipState] = {}
        self.tenure: Counter[str] = Counter()
        self.in_flight: Counter[str] = Counter()

    def clock(self) -> float:
        return self.offset + self.world.now * self.rate

    def tick(self) -> None:
        peers = self.world.view_of(self)
        for server in SERVERS:
            self.lease_event(server, lm.Tick(peers))
            until = lease_expiry(self.leases[server])
            self.rows_event(server, self.tenure[server], om.RowsTick(until))
            if self.leases[server].successor is not None:
                self.lease_event(server, lm.WorkStopped())
        self.world.deliver(self, TICK_S, self.tick)

    def lease_event(self, server: str, event: Any) -> None:
        self.leases[server], effects = leases.handle(self.leases[server], event, self.clock())
        for effect in effects:
            self.world.perform_lease(self, server, effect)

    def rows_event(self, server: str, tenure: int, event: Any) -> None:
        if server not in self.owned or tenure != self.tenure[server]:
            return
        self.owned[server], effects = moves.handle(self.owned[server], event, self.clock())
        for effect in effects:
            self.world.perform_rows(self, server, tenure, effect)


class World:
    def __init__(self, seed: int, faults: Faults = NO_FAULTS) -> None:
        self.rng = random.Random(seed)
        self.faults = faults
        self.slow_moves = self.rng.random() < 0.5
        self.store_loss = self.rng.choice([0.02, 0.02, 0.4])
        self.deaf = self.rng.choice([0.02, 0.02, 0.6])
        self.doubt = self.rng.choice([0.0, 0.02])
        self.calm = self.rng.choice([1, 3, 8])
        self.now = 0.0
        self.counter = itertools.count()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.revision = itertools.count(1)
        self.objects: dict[str, tuple[int, Any]] = {}
        self.down_until = 0.0
        self.owner_by_epoch: dict[tuple[int, int], str] = {}
        self.happened: Counter[str] = Counter()
        self.servers = {name: Server(self, name) for name in SERVERS}
        for number in range(4):
            rows = {SLOT: Row('a', 1)} if number == 0 else {}
            self.put(f't/{number}', Shard(number, rows))
        self.daemons: dict[str, Daemon] = {}
        for name in DAEMONS:
            self.start(name, 1)
        self.schedule(0.5, self.disturb)

    def drift(self) -> float:
        return 1 + self.rng.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)

    def delay(self) -> float:
        """Mostly milliseconds, sometimes seconds: any message, and any pause."""
        if self.rng.random() < 0.03:
            return self.rng.uniform(0, 2.5)
        return self.rng.uniform(0.0005, 0.01)

    def schedule(self, after: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now + after, next(self.counter), act))

    def deliver(self, daemon: Daemon, after: float, act: Callable[[], None]) -> None:
        def arrive() -> None:
            if self.daemons.get(daemon.name) is not daemon:
                return
            if daemon.paused_until > self.now:
                self.deliver(daemon, daemon.paused_until - self.now + self.delay(), act)
                return
            act()

        self.schedule(after, arrive)

    def run(self) -> World:
        while self.queue and self.now < RUN_S:
            self.now, _, act = heapq.heappop(self.queue)
            act()
            self.check()
        return self

    def start(self, name: str, incarnation: int) -> None:
        daemon = self.daemons[name] = Daemon(self, name, incarnation)
        self.deliver(daemon, self.delay(), daemon.tick)

    def view_of(self, daemon: Daemon) -> PeerView:
        """Whom a daemon believes alive is often wrong; who has ended is not."""
        doubt = 0.3 if self.rng.random() < self.doubt else 0.0
        alive = {
            name: other.me
            for name, other in self.daemons.items()
            if other is not daemon
            and other.paused_until < self.now + 0.3
            and self.rng.random() >= doubt
        }
        return PeerView(alive)

    def check(self) -> None:
        for row in (SLOT, HOT):
            if sum(server.holds(row) for server in self.servers.values()) > 1:
                raise BrokenPromiseError(f'two servers hold {row}')
        for server in SERVERS:
            acting = [
                d for d in self.daemons.values() if may_coordinate(d.leases[server], d.clock())
            ]
            if len(acting) > 1:
                raise BrokenPromiseError(f'two daemons coordinate {server}')
        running = {name for name, server in self.servers.items() if server.running}
        if any(server.holds(HOT) and running - {n} for n, server in self.servers.items()):
            raise BrokenPromiseError('a key runs under its slot while its row is granted')

    def disturb(self) -> None:
        daemon = self.rng.choice(list(self.daemons.values()))
        match self.rng.randrange(10):
            case 0 | 1:
                daemon.paused_until = self.now + self.rng.uniform(0.05, 3)
            case 2:
                self.start(daemon.name, daemon.incarnation + 1)
            case 3:
                self.down_until = self.now + self.rng.uniform(0.1, 3)
            case 4:
                self.rng.choice(list(self.servers.values())).frozen_until = (
                    self.now + self.rng.uniform(0.1, 2)
                )
            case 5:
                successor = self.rng.choice(list(self.daemons.values())).me
                if successor.name != daemon.name:
                    for server in SERVERS:
                        daemon.lease_event(server, lm.TransferRequested(successor))
            case _:
                self.mark()
        self.schedule(self.calm * self.rng.uniform(0.05, 1.0), self.disturb)

    def mark(self) -> None:
        """Do what any planner may: mark a row as moving, or take the mark back."""
        version, shard = self.objects['t/0']
        rows = dict(shard.rows_by_number)
        number = self.rng.choice([SLOT, HOT])
        row = rows.get(number, Row('', 0))
        if not row.owner:
            slot = rows[SLOT]
            target = 'b' if slot.owner == 'a' else 'a'
            row = Row(slot.owner, row.epoch + 1, target, KEY)
        elif row.next_owner:
            row = row._replace(next_owner='')
        else:
            home = rows[SLOT].owner if number == HOT else row.owner
            others = [s for s in SERVERS if s != row.owner]
            target = row.owner if number == HOT and home == row.owner else others[0]
            row = row._replace(next_owner=target)
        rows[number] = row
        self.schedule(self.delay(), lambda: self.write_later('t/0', Shard(0, rows), version))

    def write_later(self, key: str, value: Any, expected: int) -> None:
        self.write(key, value, expected)

    def put(self, key: str, value: Any) -> int:
        version = next(self.revision)
        self.objects[key] = (version, value)
        if isinstance(value, Shard):
            for number, row in value.rows_by_number.items():
                owner = self.owner_by_epoch.setdefault((number, row.epoch), row.owner)
                if owner != row.owner:
                    raise BrokenPromiseError(f'epoch {row.epoch} of {number} has two owners')
            for daemon in self.daemons.values() if hasattr(self, 'daemons') else ():
                self.announce(daemon, value, version)
        return version

    def announce(self, daemon: Daemon, shard: Shard, version: int) -> None:
        def hear() -> None:
            for server in SERVERS:
                seen = om.ShardObserved(shard, version)
                daemon.rows_event(server, daemon.tenure[server], seen)

        if self.rng.random() >= self.deaf:
            self.deliver(daemon, self.delay(), hear)

    def write(self, key: str, value: Any, expected: int) -> int:
        if self.objects.get(key, (0, None))[0] != expected:
            return 0
        return self.put(key, value)

    def call_store(
        self,
        daemon: Daemon,
        act: Callable[[], Any],
        then: Callable[[Any], None],
        late: float = 0.0,
    ) -> None:
        """Call the store; the answer, or the call itself, may be lost or very late."""
        answered: list[bool] = []

        def answer(result: Any) -> None:
            if not answered:
                answered.append(True)
                then(result)

        def arrive() -> None:
            if self.now < self.down_until:
                return
            result = act()
            if self.rng.random() >= self.store_loss:
                self.deliver(daemon, self.delay(), lambda: answer(result))

        self.schedule(late + self.delay(), arrive)
        self.deliver(daemon, 1.0, lambda: answer(None))

    def perform_lease(self, daemon: Daemon, server: str, effect: Any) -> None:
        key = f'c/{server}'

        def tell(event: Any) -> None:
            daemon.lease_event(server, event)

        match effect:
            case lm.StartCoordinating(epoch):
                self.happened['rights'] += 1
                daemon.tenure[server] += 1
                daemon.owned[server] = initial_state(
                    server, epoch, checks_grants=True, now=daemon.clock()
                )
            case lm.StopCoordinating():
                daemon.owned.pop(server, None)
            case lm.ReadRecord(asked_at):
                self.call_store(
                    daemon,
                    lambda: self.objects.get(key, (0, None)),
                    lambda r: tell(lm.RecordRead(asked_at, *r) if r else lm.ReadFailed()),
                )
            case lm.WriteRecord(record, expected):
                self.call_store(
                    daemon,
                    lambda: self.write(key, record, expected),
                    lambda r: tell(
                        lm.WriteUnanswered(expected)
                        if r is None
                        else lm.WriteAccepted(record, expected, r)
                        if r
                        else lm.WriteConflicted(expected)
                    ),
                )
            case lm.RequestConfirmation(version, record, asked_at):
                self.send(
                    record.standby, server, lm.ConfirmationRequested(version, record, asked_at)
                )
            case lm.SendConfirmation(version, record, asked_at):
                confirmed = lm.ConfirmationReceived(*daemon.me[:2], version, asked_at)
                self.send(record.coordinator, server, confirmed)

    def send(self, name: str, server: str, event: Any) -> None:
        target = self.daemons.get(name)
        if target is None:
            return
        for _ in range(self.rng.choice([0, 1, 1, 1, 1, 1, 1, 1, 1, 2])):
            self.deliver(target, self.delay(), lambda: target.lease_event(server, event))

    def perform_rows(self, daemon: Daemon, name: str, tenure: int, effect: Any) -> None:
        server = self.servers[name]

        def tell(event: Any) -> None:
            daemon.rows_event(name, tenure, event)

        match effect:
            case om.ReadShard(number):
                key = f't/{number}'
                self.call_store(
                    daemon,
                    lambda: self.objects[key],
                    lambda r: tell(
                        om.ShardObserved(r[1], r[0], True)
                        if r
                        else om.ShardCallUnanswered(number)
                    ),
                )
            case om.WriteShard(shard, expected):
                self.happened['moves'] += 1
                if self.rng.random() < 0.3:
                    daemon.paused_until = self.now + self.rng.uniform(0.5, 4)
                if self.faults.announce_early:
                    for other in self.daemons.values():
                        self.announce(other, shard, expected + 1)
                self.call_store(
                    daemon,
                    lambda: self.write(f't/{shard.number}', shard, expected),
                    lambda r: tell(
                        om.ShardObserved(shard, r)
                        if r
                        else om.ShardCallUnanswered(shard.number)
                    ),
                    late=self.rng.uniform(0, 2) if self.slow_moves else 0.0,
                )
            case om.SendGrant(order):
                self.call_server(daemon, server, lambda: server.take_order(order), tell, order)
            case om.ProbeServer():
                self.call_server(daemon, server, lambda: True, tell, None)
            case om.AdmitRows():
                self.take_admitted(daemon, name, tenure, effect)

    def call_server(
        self,
        daemon: Daemon,
        server: Server,
        act: Callable[[], bool],
        tell: Callable[[Any], None],
        order: Any,
    ) -> None:
        asked_at = daemon.clock()
        answered: list[bool] = []

        def answer(accepted: bool | None, clock: float) -> None:
            if answered:
                return
            answered.append(True)
            if accepted is None:
                tell(om.GrantFailed(order.number) if order else om.ProbeFailed())
            elif order is None:
                tell(om.ProbeAnswered('i', clock, asked_at))
            else:
                tell(om.GrantAnswered(order.number, accepted, 'i', clock, asked_at))

        def arrive() -> None:
            if server.frozen_until > self.now:
                self.schedule(server.frozen_until - self.now + self.delay(), arrive)
                return
            accepted, clock = act(), server.clock()
            self.happened['grants'] += accepted and order is not None
            self.deliver(daemon, self.delay(), lambda: answer(accepted, clock))

        if self.rng.random() < 0.98:
            self.schedule(self.delay(), arrive)
        self.deliver(daemon, 0.25, lambda: answer(None, 0.0))

    def take_admitted(
        self, daemon: Daemon, name: str, tenure: int, admitted: om.AdmitRows
    ) -> None:
        server = self.servers[name]
        if not (HOT in admitted.stopping and daemon.in_flight[name]):
            idle = om.RowsIdle(admitted.stopping)
            self.deliver(daemon, 0.01, lambda: daemon.rows_event(name, tenure, idle))
        token = admitted.token_by_row.get(SLOT)
        if token is None or KEY in admitted.hot_row_by_key:
            return
        if daemon.clock() < admitted.valid_until:
            daemon.in_flight[name] += 1
            held_up = self.rng.uniform(0, 6) if self.rng.random() < 0.1 else 0.0
            self.schedule(held_up + self.delay(), lambda: self.arrive(daemon, server, token))

    def arrive(self, daemon: Daemon, server: Server, token: int) -> None:
        """Bring a request for the key under its slot, perhaps long after it was admitted."""
        stale = server.granted.get(SLOT) != token and not self.faults.tokens_unchecked
        if not server.holds(SLOT) or stale:
            daemon.in_flight[server.name] -= 1
            return
        self.happened['requests'] += 1
        server.running += 1

        def finish() -> None:
            server.running -= 1
            daemon.in_flight[server.name] -= 1

        self.schedule(0.05, finish)
