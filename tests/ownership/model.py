"""Simulation of daemons, a store and backend servers, with faults drawn from one seed.

Messages are delayed, lost, repeated and reordered; processes pause at any step; clocks
drift; the store goes down and loses answers.
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
    MAX_CLOCK_DRIFT_SHARE,
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
HASH_ROW, HOT_ROW = 0, 1024
KEY = next(k for k in map(str, itertools.count()) if hash_row_of(k) == HASH_ROW)


class InvariantError(AssertionError):
    """Two owners, two coordinators, or a grant of a row that the store never assigned."""


class Defects(NamedTuple):
    """Defects of the simulated environment that the invariants must reveal.

    :param updates_before_write: updates of a shard are sent before the store has written it
    :param ignores_tokens: backend servers accept requests with any fencing token
    """

    updates_before_write: bool = False
    ignores_tokens: bool = False


NO_DEFECTS = Defects()


class Server:
    """A backend server that checks grants, with a clock of its own."""

    def __init__(self, simulation: Simulation, name: str) -> None:
        self.simulation, self.name = simulation, name
        self.clock_rate = simulation.draw_clock_rate()
        self.clock_offset = simulation.rng.uniform(0, 1000)
        self.frozen_until = 0.0
        self.token_by_row: dict[int, int] = {}
        self.grant_expiry = 0.0
        self.highest_token_by_row: Counter[int] = Counter()
        self.running_count = 0

    def read_clock(self) -> float:
        return self.clock_offset + self.simulation.now * self.clock_rate

    def has_grant(self, row: int) -> bool:
        return row in self.token_by_row and self.read_clock() < self.grant_expiry

    def apply_grant_call(self, call: Any) -> bool:
        if any(
            self.highest_token_by_row[row] > token for row, token in call.token_by_row.items()
        ):
            return False
        for row, token in call.token_by_row.items():
            if self.simulation.owner_by_epoch.get((row, token >> 24)) != self.name:
                raise InvariantError(
                    f'{self.name} was granted row {row}, which it did not own at that epoch'
                )
            self.highest_token_by_row[row] = token
        self.token_by_row, self.grant_expiry = dict(call.token_by_row), call.server_expiry
        return True


class Daemon:
    """One process of a daemon, with a clock of its own.

    A term is one period in which the daemon coordinates a server. Events that arrive after
    their term are dropped.
    """

    def __init__(self, simulation: Simulation, name: str, incarnation: int) -> None:
        self.simulation, self.name = simulation, name
        self.incarnation = incarnation
        self.own = Candidate(name, f'{incarnation:09}', DAEMONS[name])
        self.clock_rate = simulation.draw_clock_rate()
        self.clock_offset = simulation.rng.uniform(0, 1000)
        self.paused_until = 0.0
        self.lease_by_server = {s: Lease(s, centre, self.own) for s, centre in SERVERS.items()}
        self.state_by_server: dict[str, OwnershipState] = {}
        self.term_by_server: Counter[str] = Counter()
        self.in_flight_by_server: Counter[str] = Counter()

    def read_clock(self) -> float:
        return self.clock_offset + self.simulation.now * self.clock_rate

    def tick(self) -> None:
        peers = self.simulation.draw_peer_view(self)
        for server in SERVERS:
            self.apply_lease_event(server, lm.Tick(peers))
            until = lease_expiry(self.lease_by_server[server])
            self.apply_rows_event(server, self.term_by_server[server], om.RowsTick(until))
            if self.lease_by_server[server].successor is not None:
                self.apply_lease_event(server, lm.WorkStopped())
        self.simulation.deliver(self, TICK_S, self.tick)

    def apply_lease_event(self, server: str, event: Any) -> None:
        self.lease_by_server[server], effects = leases.handle(
            self.lease_by_server[server], event, self.read_clock()
        )
        for effect in effects:
            self.simulation.execute_lease_effect(self, server, effect)

    def apply_rows_event(self, server: str, term: int, event: Any) -> None:
        if server not in self.state_by_server or term != self.term_by_server[server]:
            return
        self.state_by_server[server], effects = moves.handle(
            self.state_by_server[server], event, self.read_clock()
        )
        for effect in effects:
            self.simulation.execute_rows_effect(self, server, term, effect)


class Simulation:
    """One run, whose delays, losses and faults are drawn from a seed."""

    def __init__(self, seed: int, defects: Defects = NO_DEFECTS) -> None:
        self.rng = random.Random(seed)
        self.defects = defects
        self.has_slow_writes = self.rng.random() < 0.5
        self.store_loss_share = self.rng.choice([0.02, 0.02, 0.4])
        self.update_loss_share = self.rng.choice([0.02, 0.02, 0.6])
        self.false_suspicion_share = self.rng.choice([0.0, 0.02])
        self.fault_interval_factor = self.rng.choice([1, 3, 8])
        self.now = 0.0
        self.sequence = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.revision = itertools.count(1)
        self.objects: dict[str, tuple[int, Any]] = {}
        self.store_down_until = 0.0
        self.owner_by_epoch: dict[tuple[int, int], str] = {}
        self.event_counts: Counter[str] = Counter()
        self.servers = {name: Server(self, name) for name in SERVERS}
        for number in range(4):
            rows = {HASH_ROW: Row('a', 1)} if number == 0 else {}
            self.put(f't/{number}', Shard(number, rows))
        self.daemons: dict[str, Daemon] = {}
        for name in DAEMONS:
            self.start_daemon(name, 1)
        self.schedule(0.5, self.inject_fault)

    def draw_clock_rate(self) -> float:
        return 1 + self.rng.uniform(-MAX_CLOCK_DRIFT_SHARE, MAX_CLOCK_DRIFT_SHARE)

    def draw_delay_s(self) -> float:
        """Return a delay that is mostly milliseconds and sometimes seconds."""
        if self.rng.random() < 0.03:
            return self.rng.uniform(0, 2.5)
        return self.rng.uniform(0.0005, 0.01)

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay_s, next(self.sequence), action))

    def deliver(self, daemon: Daemon, delay_s: float, action: Callable[[], None]) -> None:
        def arrive() -> None:
            if self.daemons.get(daemon.name) is not daemon:
                return
            if daemon.paused_until > self.now:
                self.deliver(
                    daemon, daemon.paused_until - self.now + self.draw_delay_s(), action
                )
                return
            action()

        self.schedule(delay_s, arrive)

    def run(self) -> Simulation:
        while self.events and self.now < RUN_S:
            self.now, _, action = heapq.heappop(self.events)
            action()
            self.check_invariants()
        return self

    def start_daemon(self, name: str, incarnation: int) -> None:
        daemon = self.daemons[name] = Daemon(self, name, incarnation)
        self.deliver(daemon, self.draw_delay_s(), daemon.tick)

    def draw_peer_view(self, daemon: Daemon) -> PeerView:
        """Return the peers that a daemon considers alive, which is often wrong.

        It is never wrong about processes that have ended: only a newer incarnation shows that.
        """
        suspected_share = 0.3 if self.rng.random() < self.false_suspicion_share else 0.0
        alive = {
            name: other.own
            for name, other in self.daemons.items()
            if other is not daemon
            and other.paused_until < self.now + 0.3
            and self.rng.random() >= suspected_share
        }
        return PeerView(alive)

    def check_invariants(self) -> None:
        for row in (HASH_ROW, HOT_ROW):
            if sum(server.has_grant(row) for server in self.servers.values()) > 1:
                raise InvariantError(f'two servers have a grant of row {row}')
        for server in SERVERS:
            coordinators = [
                d
                for d in self.daemons.values()
                if may_coordinate(d.lease_by_server[server], d.read_clock())
            ]
            if len(coordinators) > 1:
                raise InvariantError(f'two daemons coordinate {server}')
        running = {name for name, server in self.servers.items() if server.running_count}
        if any(
            server.has_grant(HOT_ROW) and running - {n} for n, server in self.servers.items()
        ):
            raise InvariantError(
                'a key is served under its hash row while its hot row is granted'
            )

    def inject_fault(self) -> None:
        daemon = self.rng.choice(list(self.daemons.values()))
        match self.rng.randrange(10):
            case 0 | 1:
                daemon.paused_until = self.now + self.rng.uniform(0.05, 3)
            case 2:
                self.start_daemon(daemon.name, daemon.incarnation + 1)
            case 3:
                self.store_down_until = self.now + self.rng.uniform(0.1, 3)
            case 4:
                self.rng.choice(list(self.servers.values())).frozen_until = (
                    self.now + self.rng.uniform(0.1, 2)
                )
            case 5:
                successor = self.rng.choice(list(self.daemons.values())).own
                if successor.name != daemon.name:
                    for server in SERVERS:
                        daemon.apply_lease_event(server, lm.TransferRequested(successor))
            case _:
                self.mark_or_cancel_move()
        self.schedule(
            self.fault_interval_factor * self.rng.uniform(0.05, 1.0), self.inject_fault
        )

    def mark_or_cancel_move(self) -> None:
        """Do what any planner may do: mark a row as moving, or cancel the move."""
        version, shard = self.objects['t/0']
        rows = dict(shard.rows_by_number)
        number = self.rng.choice([HASH_ROW, HOT_ROW])
        row = rows.get(number, Row('', 0))
        if not row.owner:
            hash_row = rows[HASH_ROW]
            target = 'b' if hash_row.owner == 'a' else 'a'
            row = Row(hash_row.owner, row.epoch + 1, target, KEY)
        elif row.next_owner:
            row = row._replace(next_owner='')
        else:
            hash_row_owner = rows[HASH_ROW].owner if number == HOT_ROW else row.owner
            others = [s for s in SERVERS if s != row.owner]
            target = (
                row.owner if number == HOT_ROW and hash_row_owner == row.owner else others[0]
            )
            row = row._replace(next_owner=target)
        rows[number] = row
        self.schedule(
            self.draw_delay_s(), lambda: self.write_as_planner('t/0', Shard(0, rows), version)
        )

    def write_as_planner(self, key: str, value: Any, expected: int) -> None:
        self.write_object(key, value, expected)

    def put(self, key: str, value: Any) -> int:
        version = next(self.revision)
        self.objects[key] = (version, value)
        if isinstance(value, Shard):
            for number, row in value.rows_by_number.items():
                owner = self.owner_by_epoch.setdefault((number, row.epoch), row.owner)
                if owner != row.owner:
                    raise InvariantError(f'epoch {row.epoch} of row {number} has two owners')
            for daemon in self.daemons.values() if hasattr(self, 'daemons') else ():
                self.send_update(daemon, value, version)
        return version

    def send_update(self, daemon: Daemon, shard: Shard, version: int) -> None:
        def receive() -> None:
            for server in SERVERS:
                observed = om.ShardObserved(shard, version)
                daemon.apply_rows_event(server, daemon.term_by_server[server], observed)

        if self.rng.random() >= self.update_loss_share:
            self.deliver(daemon, self.draw_delay_s(), receive)

    def write_object(self, key: str, value: Any, expected: int) -> int:
        if self.objects.get(key, (0, None))[0] != expected:
            return 0
        return self.put(key, value)

    def call_store(
        self,
        daemon: Daemon,
        action: Callable[[], Any],
        on_result: Callable[[Any], None],
        delay_s: float = 0.0,
    ) -> None:
        """Call the store; the call or its answer may be lost or delayed for long.

        :param on_result: is called with the result, or with ``None`` after a timeout of 1 s
        """
        answered: list[bool] = []

        def answer(result: Any) -> None:
            if not answered:
                answered.append(True)
                on_result(result)

        def arrive() -> None:
            if self.now < self.store_down_until:
                return
            result = action()
            if self.rng.random() >= self.store_loss_share:
                self.deliver(daemon, self.draw_delay_s(), lambda: answer(result))

        self.schedule(delay_s + self.draw_delay_s(), arrive)
        self.deliver(daemon, 1.0, lambda: answer(None))

    def execute_lease_effect(self, daemon: Daemon, server: str, effect: Any) -> None:
        key = f'c/{server}'

        def apply_event(event: Any) -> None:
            daemon.apply_lease_event(server, event)

        match effect:
            case lm.StartCoordinating(epoch):
                self.event_counts['coordinators'] += 1
                daemon.term_by_server[server] += 1
                daemon.state_by_server[server] = initial_state(
                    server, epoch, checks_grants=True, now=daemon.read_clock()
                )
            case lm.StopCoordinating():
                daemon.state_by_server.pop(server, None)
            case lm.ReadRecord(sent_at):
                self.call_store(
                    daemon,
                    lambda: self.objects.get(key, (0, None)),
                    lambda r: apply_event(
                        lm.RecordRead(sent_at, *r) if r else lm.ReadFailed()
                    ),
                )
            case lm.WriteRecord(record, expected):
                self.call_store(
                    daemon,
                    lambda: self.write_object(key, record, expected),
                    lambda r: apply_event(
                        lm.WriteUnanswered(expected)
                        if r is None
                        else lm.WriteAccepted(record, expected, r)
                        if r
                        else lm.WriteConflicted(expected)
                    ),
                )
            case lm.RequestConfirmation(version, record, sent_at):
                self.send(
                    record.standby, server, lm.ConfirmationRequested(version, record, sent_at)
                )
            case lm.SendConfirmation(version, record, sent_at):
                confirmed = lm.ConfirmationReceived(*daemon.own[:2], version, sent_at)
                self.send(record.coordinator, server, confirmed)

    def send(self, name: str, server: str, event: Any) -> None:
        target = self.daemons.get(name)
        if target is None:
            return
        for _ in range(self.rng.choice([0, 1, 1, 1, 1, 1, 1, 1, 1, 2])):
            self.deliver(
                target, self.draw_delay_s(), lambda: target.apply_lease_event(server, event)
            )

    def execute_rows_effect(self, daemon: Daemon, name: str, term: int, effect: Any) -> None:
        server = self.servers[name]

        def apply_event(event: Any) -> None:
            daemon.apply_rows_event(name, term, event)

        match effect:
            case om.ReadShard(number):
                key = f't/{number}'
                self.call_store(
                    daemon,
                    lambda: self.objects[key],
                    lambda r: apply_event(
                        om.ShardObserved(r[1], r[0], True)
                        if r
                        else om.ShardCallUnanswered(number)
                    ),
                )
            case om.WriteShard(shard, expected):
                self.event_counts['moves'] += 1
                if self.rng.random() < 0.3:
                    daemon.paused_until = self.now + self.rng.uniform(0.5, 4)
                if self.defects.updates_before_write:
                    for other in self.daemons.values():
                        self.send_update(other, shard, expected + 1)
                self.call_store(
                    daemon,
                    lambda: self.write_object(f't/{shard.number}', shard, expected),
                    lambda r: apply_event(
                        om.ShardObserved(shard, r)
                        if r
                        else om.ShardCallUnanswered(shard.number)
                    ),
                    delay_s=self.rng.uniform(0, 2) if self.has_slow_writes else 0.0,
                )
            case om.SendGrant(call):
                self.call_server(
                    daemon, server, lambda: server.apply_grant_call(call), apply_event, call
                )
            case om.ProbeServer():
                self.call_server(daemon, server, lambda: True, apply_event, None)
            case om.AdmitRows():
                self.apply_admission(daemon, name, term, effect)

    def call_server(
        self,
        daemon: Daemon,
        server: Server,
        action: Callable[[], bool],
        apply_event: Callable[[Any], None],
        call: Any,
    ) -> None:
        sent_at = daemon.read_clock()
        answered: list[bool] = []

        def answer(accepted: bool | None, clock: float) -> None:
            if answered:
                return
            answered.append(True)
            if accepted is None:
                apply_event(om.GrantFailed(call.number) if call else om.ProbeFailed())
            elif call is None:
                apply_event(om.ProbeAnswered('i', clock, sent_at))
            else:
                apply_event(om.GrantAnswered(call.number, accepted, 'i', clock, sent_at))

        def arrive() -> None:
            if server.frozen_until > self.now:
                self.schedule(server.frozen_until - self.now + self.draw_delay_s(), arrive)
                return
            accepted, clock = action(), server.read_clock()
            self.event_counts['grants'] += accepted and call is not None
            self.deliver(daemon, self.draw_delay_s(), lambda: answer(accepted, clock))

        if self.rng.random() < 0.98:
            self.schedule(self.draw_delay_s(), arrive)
        self.deliver(daemon, 0.25, lambda: answer(None, 0.0))

    def apply_admission(
        self, daemon: Daemon, name: str, term: int, admitted: om.AdmitRows
    ) -> None:
        server = self.servers[name]
        if not (HOT_ROW in admitted.stopping and daemon.in_flight_by_server[name]):
            idle = om.RowsIdle(admitted.stopping)
            self.deliver(daemon, 0.01, lambda: daemon.apply_rows_event(name, term, idle))
        token = admitted.token_by_row.get(HASH_ROW)
        if token is None or KEY in admitted.hot_row_by_key:
            return
        if daemon.read_clock() < admitted.valid_until:
            daemon.in_flight_by_server[name] += 1
            extra_delay_s = self.rng.uniform(0, 6) if self.rng.random() < 0.1 else 0.0
            self.schedule(
                extra_delay_s + self.draw_delay_s(),
                lambda: self.deliver_request(daemon, server, token),
            )

    def deliver_request(self, daemon: Daemon, server: Server, token: int) -> None:
        """Deliver a request for the key under its hash row, perhaps long after admission."""
        stale = server.token_by_row.get(HASH_ROW) != token and not self.defects.ignores_tokens
        if not server.has_grant(HASH_ROW) or stale:
            daemon.in_flight_by_server[server.name] -= 1
            return
        self.event_counts['requests'] += 1
        server.running_count += 1

        def finish() -> None:
            server.running_count -= 1
            daemon.in_flight_by_server[server.name] -= 1

        self.schedule(0.05, finish)
