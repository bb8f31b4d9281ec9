"""Tests of the failure detector."""

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


def members(*events: tuple[float, object]) -> MembershipState:
    state = MembershipState('me')
    for at, event in events:
        state = handle(state, event, at)  # type: ignore[arg-type]
    return state


def alive(state: MembershipState, now: float) -> list[str]:
    return list(peer_view(state, now, leaving=False).alive_by_name)


def gone(state: MembershipState, now: float) -> frozenset[str]:
    return peer_view(state, now, leaving=False).ended_names


def test_silence_is_suspected_and_an_answer_clears_it() -> None:
    state = members(
        (0.0, HeartbeatReceived(PEER, False)),
        (0.0, Tick(frozenset('p'))),
        (0.1, HeartbeatSent('p')),
    )
    assert alive(state, 0.35) == ['p']
    assert alive(state, 0.45) == []
    assert alive(handle(state, HeartbeatReceived(PEER, False), 0.5), 0.6) == ['p']
    assert alive(handle(state, ConnectionRefused('p'), 0.11), 0.12) == []


def test_a_pause_of_this_process_suspects_nobody() -> None:
    state = members(
        (0.0, HeartbeatReceived(PEER, False)),
        (0.0, Tick(frozenset('p'))),
        (0.1, HeartbeatSent('p')),
    )
    assert alive(handle(state, Tick(frozenset('p')), 9.0), 9.0) == ['p']


def test_an_older_process_is_not_heard() -> None:
    state = members((0.0, HeartbeatReceived(PEER, False)))
    old = handle(state, HeartbeatReceived(PEER._replace(incarnation='1'), True), 1.0)
    assert old == state


def test_a_lagging_list_ends_nobody_too_soon() -> None:
    state = members((0.0, VmListRead(0.0, LISTED)), (1.0, VmListRead(1.0, ())))
    assert gone(state, 60.0) == frozenset()
    state = handle(state, VmListRead(3.5, ()), 3.5)
    assert gone(state, 3.5) == {'p'}
    assert gone(handle(state, HeartbeatReceived(PEER, False), 4.0), 4.0) == frozenset()


def test_a_daemon_never_listed_is_given_longer() -> None:
    state = members((0.0, Tick(frozenset('p'))), (3.5, VmListRead(3.5, ())))
    assert gone(state, 3.5) == frozenset()
    assert gone(handle(state, VmListRead(16.0, ()), 16.0), 16.0) == {'p'}


def test_leases_bring_faster_heartbeats() -> None:
    state = members((0.0, VmListRead(0.0, LISTED)), (0.0, HeartbeatSent('p')))
    assert peers_due_heartbeat(state, 0.2) == []
    state = handle(state, Tick(frozenset('p')), 0.1)
    assert [peer.name for peer in peers_due_heartbeat(state, 0.2)] == ['p']
