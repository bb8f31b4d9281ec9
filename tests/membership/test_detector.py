"""Tests of the detection of unresponsive and ended daemons."""

from __future__ import annotations

from coltsfootstair.leases import Candidate
from coltsfootstair.membership import (
    ConnectionRefused,
    HeartbeatReceived,
    HeartbeatSent,
    ListedVm,
    MembershipState,
    Tick,
    VmListRead,
    handle,
    peer_view,
    peers_due_heartbeat,
)

PEER = Candidate('p', '2', 'north')
LISTED = (ListedVm('p', 'north', '127.0.0.1:1', False),)


def state_after(*events: tuple[float, object]) -> MembershipState:
    state = MembershipState('me')
    for at, event in events:
        state = handle(state, event, at)  # type: ignore[arg-type]
    return state


def alive(state: MembershipState, now: float) -> list[str]:
    return list(peer_view(state, now, leaving=False).alive_by_name)


def ended(state: MembershipState, now: float) -> frozenset[str]:
    return peer_view(state, now, leaving=False).ended_names


def test_unanswered_heartbeat_makes_a_peer_unresponsive_until_it_answers() -> None:
    state = state_after(
        (0.0, HeartbeatReceived(PEER, False)),
        (0.0, Tick(frozenset('p'))),
        (0.1, HeartbeatSent('p')),
    )
    assert alive(state, 0.35) == ['p']
    assert alive(state, 0.45) == []
    assert alive(handle(state, HeartbeatReceived(PEER, False), 0.5), 0.6) == ['p']
    assert alive(handle(state, ConnectionRefused('p'), 0.11), 0.12) == []


def test_no_peer_is_suspected_after_a_pause_of_this_process() -> None:
    state = state_after(
        (0.0, HeartbeatReceived(PEER, False)),
        (0.0, Tick(frozenset('p'))),
        (0.1, HeartbeatSent('p')),
    )
    assert alive(handle(state, Tick(frozenset('p')), 9.0), 9.0) == ['p']


def test_heartbeat_from_an_older_process_is_ignored() -> None:
    state = state_after((0.0, HeartbeatReceived(PEER, False)))
    unchanged = handle(state, HeartbeatReceived(PEER._replace(incarnation='1'), True), 1.0)
    assert unchanged == state


def test_unlisted_vm_counts_as_ended_only_after_a_wait_and_without_heartbeats() -> None:
    state = state_after((0.0, VmListRead(0.0, LISTED)), (1.0, VmListRead(1.0, ())))
    assert ended(state, 60.0) == frozenset()
    state = handle(state, VmListRead(3.5, ()), 3.5)
    assert ended(state, 3.5) == {'p'}
    assert ended(handle(state, HeartbeatReceived(PEER, False), 4.0), 4.0) == frozenset()


def test_never_listed_vm_counts_as_ended_after_a_longer_wait() -> None:
    state = state_after((0.0, Tick(frozenset('p'))), (3.5, VmListRead(3.5, ())))
    assert ended(state, 3.5) == frozenset()
    assert ended(handle(state, VmListRead(16.0, ()), 16.0), 16.0) == {'p'}


def test_lease_partners_get_heartbeats_more_often() -> None:
    state = state_after((0.0, VmListRead(0.0, LISTED)), (0.0, HeartbeatSent('p')))
    assert peers_due_heartbeat(state, 0.2) == []
    state = handle(state, Tick(frozenset('p')), 0.1)
    assert [peer.name for peer in peers_due_heartbeat(state, 0.2)] == ['p']
