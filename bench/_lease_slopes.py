"""Slopes of leases, heartbeats, hot keys and planning, by the decisions alone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench._fit import measure_slope
from bench._gauge import measure_cpu_us, measure_memory_bytes
from coltsfootstair.inner import encode
from coltsfootstair.inner._heartbeats import Heartbeat, HeartbeatReply
from coltsfootstair.leases import (
    Candidate,
    Lease,
    LeaseRecord,
    encode_record,
    handle,
    local_candidate,
)
from coltsfootstair.leases._messages import PeerView, RecordObserved, Tick
from coltsfootstair.membership import (
    HeartbeatReceived,
    ListedVm,
    MembershipState,
    VmListRead,
    peer_view,
    peers_due_heartbeat,
)
from coltsfootstair.membership import handle as handle_members
from coltsfootstair.ownership import FrequentKeys, Load, Table, initial_assignment, plan_moves

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench._fit import Slope

__all__ = ['measure_lease_slopes']

LEASES = (500, 1000, 2000, 4000)
DAEMONS = (575, 1150, 2300, 4600)
ASKS = (1, 4, 16, 64)
KEYS = (2000, 4000, 8000)
SERVERS = (16, 32, 64)
TICKS = 3
HEARD = 5

ME = Candidate('daemon-00000', 'a' * 32, 'centre-0')
RECORD = LeaseRecord('daemon-00017', 'b' * 32, 'daemon-04011', 'c' * 32, 12)


def measure_lease_slopes() -> Iterator[Slope]:
    """Measure what each tick and each heartbeat costs a daemon."""
    yield measure_slope(
        'lease_tick_us',
        'us per lease',
        f'a tick of a lease that this daemon neither holds nor stands by for, mean of {TICKS}',
        LEASES,
        _tick_leases,
    )
    yield measure_slope(
        'home_candidate_us',
        'us per daemon',
        f'finding the daemon nearest to one backend server, by daemons, mean of {TICKS}',
        DAEMONS,
        _find_home,
    )
    yield measure_slope(
        'lease_state_bytes',
        'bytes per lease',
        'the state of a lease that this daemon neither holds nor stands by for',
        LEASES,
        lambda count: measure_memory_bytes(lambda: _leases(count)),
        runs_per_size=1,
    )
    yield measure_slope(
        'members_tick_us',
        'us per daemon',
        f'how all others look, and whom to send a heartbeat, once, mean of {TICKS}',
        DAEMONS,
        _tick_members,
    )
    yield measure_slope(
        'heartbeat_heard_us',
        'us per daemon',
        f'taking in one heartbeat, by the daemons that are known, mean of {HEARD}',
        DAEMONS,
        _hear,
    )
    yield measure_slope(
        'heartbeat_bytes',
        'bytes per lease',
        'a heartbeat and its reply, by the leases that it asks to confirm',
        ASKS,
        _heartbeat_bytes,
        runs_per_size=1,
    )
    yield measure_slope(
        'hot_key_us', 'us per request', 'counting the key of a request', KEYS, _count_keys
    )
    yield measure_slope(
        'plan_us',
        'us per backend server',
        'planning the 1,024 rows of an even table, by the backend servers that own them',
        SERVERS,
        _plan,
    )


def _leases(count: int) -> list[Lease]:
    leases = []
    for number in range(count):
        lease = Lease(f'lookup-{number:06}', 'centre-1', ME)
        leases.append(handle(lease, RecordObserved(1, RECORD), 0.0)[0])
    return leases


def _tick_leases(count: int) -> float:
    leases = _leases(count)
    names = (RECORD.coordinator, RECORD.standby)
    peers = PeerView({name: Candidate(name, 'b' * 32, 'centre-1') for name in names})

    def work() -> None:
        for number in range(TICKS):
            for lease in leases:
                handle(lease, Tick(peers), number / 10)

    return measure_cpu_us(work) / TICKS


def _find_home(daemons: int) -> float:
    names = [f'daemon-{number:05}' for number in range(daemons)]
    alive = {
        name: Candidate(name, 'b' * 32, f'centre-{n % 8}') for n, name in enumerate(names)
    }
    lease = _leases(1)[0]._replace(peers=PeerView(alive))

    def work() -> None:
        for _ in range(TICKS):
            local_candidate(lease)

    return measure_cpu_us(work) / TICKS


def _members(daemons: int) -> MembershipState:
    vms = tuple(
        ListedVm(f'daemon-{n:05}', f'centre-{n % 8}', '10.0.0.1:1', False)
        for n in range(daemons)
    )
    return handle_members(MembershipState(ME.name), VmListRead(1.0, vms), 1.0)


def _tick_members(daemons: int) -> float:
    members = _members(daemons)

    def work() -> None:
        for _ in range(TICKS):
            peer_view(members, 2.0, leaving=False)
            peers_due_heartbeat(members, 2.0)

    return measure_cpu_us(work) / TICKS


def _hear(daemons: int) -> float:
    members = _members(daemons)

    def work() -> None:
        for number in range(HEARD):
            heard = Candidate(f'daemon-{number + 1:05}', 'b' * 32, 'centre-1')
            handle_members(members, HeartbeatReceived(heard, False), 2.0)

    return measure_cpu_us(work) / HEARD


def _heartbeat_bytes(asks: int) -> float:
    value = encode_record(RECORD)
    asked = [(f'lookup-{number:06}', 1_000_000, value) for number in range(asks)]
    confirmed = [(name, version) for name, version, _ in asked]
    question = Heartbeat(*ME, False, 12345.678, asked, [])
    reply = HeartbeatReply(*ME, False, 12345.678, confirmed)
    return float(len(encode(question)) + len(encode(reply)))


def _count_keys(count: int) -> float:
    keys = FrequentKeys(0.0)
    names = [f'key-{number % 1000}' for number in range(count)]

    def work() -> None:
        for name in names:
            keys.count(name, 0.1)

    return measure_cpu_us(work)


def _plan(servers: int) -> float:
    names = [f'lookup-{number:05}' for number in range(servers)]
    table = Table('lookups')
    for shard in initial_assignment('lookups', names):
        table.update(shard, 1)
    load = Load(dict.fromkeys(table.rows_by_number(), 10.0), {})
    return measure_cpu_us(lambda: plan_moves(table, frozenset(names), load))
