"""Slopes of leases, membership, hot keys and planning, measured without I/O."""

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
    find_local_candidate,
    handle,
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
from coltsfootstair.membership import handle as handle_membership
from coltsfootstair.ownership import (
    FrequentKeys,
    Load,
    Table,
    build_initial_shards,
    plan_moves,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench._fit import Slope

__all__ = ['measure_lease_slopes']

LEASE_COUNTS = (500, 1000, 2000, 4000)
DAEMON_COUNTS = (575, 1150, 2300, 4600)
CONFIRMATION_COUNTS = (1, 4, 16, 64)
REQUEST_COUNTS = (2000, 4000, 8000)
SERVER_COUNTS = (16, 32, 64)
TICKS_PER_RUN = 3
HEARTBEATS_PER_RUN = 5
"""Repetitions in a run, of which the mean is taken; likewise ``TICKS_PER_RUN``."""

OWN_CANDIDATE = Candidate('daemon-00000', 'a' * 32, 'centre-0')
LEASE_RECORD = LeaseRecord('daemon-00017', 'b' * 32, 'daemon-04011', 'c' * 32, 12)


def measure_lease_slopes() -> Iterator[Slope]:
    """Measure what ticks, heartbeats, counting of keys and planning cost a daemon."""
    yield measure_slope(
        'lease_tick_us',
        'us per lease',
        'a tick of a lease that this daemon neither holds nor stands by for, '
        f'mean of {TICKS_PER_RUN}',
        LEASE_COUNTS,
        _measure_lease_tick,
    )
    yield measure_slope(
        'home_candidate_us',
        'us per daemon',
        'finding the daemon nearest to one backend server, by daemons, '
        f'mean of {TICKS_PER_RUN}',
        DAEMON_COUNTS,
        _measure_local_candidate,
    )
    yield measure_slope(
        'lease_state_bytes',
        'bytes per lease',
        'the state of a lease that this daemon neither holds nor stands by for',
        LEASE_COUNTS,
        lambda count: measure_memory_bytes(lambda: _make_leases(count)),
        runs_per_size=1,
    )
    yield measure_slope(
        'members_tick_us',
        'us per daemon',
        f'how all others look, and whom to send a heartbeat, once, mean of {TICKS_PER_RUN}',
        DAEMON_COUNTS,
        _measure_membership_tick,
    )
    yield measure_slope(
        'heartbeat_heard_us',
        'us per daemon',
        'taking in one heartbeat, by the daemons that are known, '
        f'mean of {HEARTBEATS_PER_RUN}',
        DAEMON_COUNTS,
        _measure_heartbeat_handling,
    )
    yield measure_slope(
        'heartbeat_bytes',
        'bytes per lease',
        'a heartbeat and its reply, by the leases that it asks to confirm',
        CONFIRMATION_COUNTS,
        _measure_heartbeat_bytes,
        runs_per_size=1,
    )
    yield measure_slope(
        'hot_key_us',
        'us per request',
        'counting the key of a request',
        REQUEST_COUNTS,
        _measure_key_counting,
    )
    yield measure_slope(
        'plan_us',
        'us per backend server',
        'planning the 1,024 rows of an even table, by the backend servers that own them',
        SERVER_COUNTS,
        _measure_planning,
    )


def _make_leases(lease_count: int) -> list[Lease]:
    leases = []
    for number in range(lease_count):
        lease = Lease(f'lookup-{number:06}', 'centre-1', OWN_CANDIDATE)
        leases.append(handle(lease, RecordObserved(1, LEASE_RECORD), 0.0)[0])
    return leases


def _measure_lease_tick(lease_count: int) -> float:
    leases = _make_leases(lease_count)
    names = (LEASE_RECORD.coordinator, LEASE_RECORD.standby)
    peers = PeerView({name: Candidate(name, 'b' * 32, 'centre-1') for name in names})

    def run() -> None:
        for number in range(TICKS_PER_RUN):
            for lease in leases:
                handle(lease, Tick(peers), number / 10)

    return measure_cpu_us(run) / TICKS_PER_RUN


def _measure_local_candidate(daemon_count: int) -> float:
    names = [f'daemon-{number:05}' for number in range(daemon_count)]
    alive = {
        name: Candidate(name, 'b' * 32, f'centre-{n % 8}') for n, name in enumerate(names)
    }
    lease = _make_leases(1)[0]._replace(peers=PeerView(alive))

    def run() -> None:
        for _ in range(TICKS_PER_RUN):
            find_local_candidate(lease)

    return measure_cpu_us(run) / TICKS_PER_RUN


def _make_membership(daemon_count: int) -> MembershipState:
    vms = tuple(
        ListedVm(f'daemon-{n:05}', f'centre-{n % 8}', '10.0.0.1:1', False)
        for n in range(daemon_count)
    )
    return handle_membership(MembershipState(OWN_CANDIDATE.name), VmListRead(1.0, vms), 1.0)


def _measure_membership_tick(daemon_count: int) -> float:
    membership = _make_membership(daemon_count)

    def run() -> None:
        for _ in range(TICKS_PER_RUN):
            peer_view(membership, 2.0, leaving=False)
            peers_due_heartbeat(membership, 2.0)

    return measure_cpu_us(run) / TICKS_PER_RUN


def _measure_heartbeat_handling(daemon_count: int) -> float:
    membership = _make_membership(daemon_count)

    def run() -> None:
        for number in range(HEARTBEATS_PER_RUN):
            sender = Candidate(f'daemon-{number + 1:05}', 'b' * 32, 'centre-1')
            handle_membership(membership, HeartbeatReceived(sender, False), 2.0)

    return measure_cpu_us(run) / HEARTBEATS_PER_RUN


def _measure_heartbeat_bytes(confirmation_count: int) -> float:
    value = encode_record(LEASE_RECORD)
    requests = [
        (f'lookup-{number:06}', 1_000_000, value) for number in range(confirmation_count)
    ]
    confirmations = [(name, version) for name, version, _ in requests]
    # Not leaving, sent at 12345.678 s, without unresponsive backend servers.
    heartbeat = Heartbeat(*OWN_CANDIDATE, False, 12345.678, requests, [])
    reply = HeartbeatReply(*OWN_CANDIDATE, False, 12345.678, confirmations)
    return float(len(encode(heartbeat)) + len(encode(reply)))


def _measure_key_counting(request_count: int) -> float:
    keys = FrequentKeys(0.0)
    names = [f'key-{number % 1000}' for number in range(request_count)]

    def run() -> None:
        for name in names:
            keys.count(name, 0.1)

    return measure_cpu_us(run)


def _measure_planning(server_count: int) -> float:
    names = [f'lookup-{number:05}' for number in range(server_count)]
    table = Table('lookups')
    for shard in build_initial_shards('lookups', names):
        table.apply_shard(shard, 1)
    load = Load(dict.fromkeys(table.collect_rows(), 10.0), {})
    return measure_cpu_us(lambda: plan_moves(table, frozenset(names), load))
