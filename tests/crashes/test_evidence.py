"""Tests of what counts as the end of a server."""

from __future__ import annotations

from coltsfootstair.clock import ManualClock
from coltsfootstair.crashes import (
    CrashEvidence,
    EndedExchange,
    SuspectRequests,
    compute_fingerprints,
)
from coltsfootstair.crashes._evidence import DECISION_TIME_S

SERVER = ('s1', 1)
REQUEST = (b'content', b'caller')


def _set_up() -> tuple[ManualClock, SuspectRequests, CrashEvidence]:
    clock = ManualClock()
    suspects = SuspectRequests(clock)
    return clock, suspects, CrashEvidence(clock, suspects)


def _end_exchange(clock: ManualClock, evidence: CrashEvidence) -> None:
    sent_at = clock.monotonic()
    clock.advance(0.1)
    evidence.add(SERVER, EndedExchange(REQUEST, sent_at, clock.monotonic()))


def test_a_closed_connection_alone_is_no_crash() -> None:
    clock, suspects, evidence = _set_up()
    _end_exchange(clock, evidence)
    clock.advance(DECISION_TIME_S + 0.1)
    evidence.decide(lambda _: True)
    evidence.on_ended(SERVER)
    assert not suspects.has_crashes(REQUEST)


def test_a_server_that_refuses_connections_has_ended() -> None:
    clock, suspects, evidence = _set_up()
    _end_exchange(clock, evidence)
    evidence.on_ended(SERVER)
    assert suspects.has_crashes(REQUEST)


def test_a_server_without_an_entry_has_ended() -> None:
    clock, suspects, evidence = _set_up()
    _end_exchange(clock, evidence)
    evidence.decide(lambda incarnation: incarnation != SERVER)
    assert suspects.has_crashes(REQUEST)


def test_a_server_that_answers_a_later_request_lives() -> None:
    """Guards against counting a reset connection as a crash."""
    clock, suspects, evidence = _set_up()
    _end_exchange(clock, evidence)
    evidence.on_answer(SERVER, clock.monotonic() + 0.01)
    evidence.on_ended(SERVER)
    assert not suspects.has_crashes(REQUEST)


def test_an_answer_to_an_earlier_request_tells_nothing() -> None:
    clock, suspects, evidence = _set_up()
    _end_exchange(clock, evidence)
    evidence.on_answer(SERVER, clock.monotonic() - 0.05)
    evidence.on_ended(SERVER)
    assert suspects.has_crashes(REQUEST)


def test_a_request_sent_to_a_server_that_has_ended_did_not_end_it() -> None:
    clock, suspects, evidence = _set_up()
    _end_exchange(clock, evidence)
    late = (b'late', b'late caller')
    now = clock.monotonic()
    evidence.add(SERVER, EndedExchange(late, now, now + 0.001))
    evidence.on_ended(SERVER)
    evidence.add(SERVER, EndedExchange(late, now + 0.01, now + 0.02))
    assert suspects.has_crashes(REQUEST)
    assert not suspects.has_crashes(late)


def test_repeats_have_the_same_fingerprints_and_other_requests_have_not() -> None:
    first = compute_fingerprints(b'A.example', b'GET', b'/x?y=1', 7, b'', '10.0.0.1')
    assert first == compute_fingerprints(b'a.example', b'GET', b'/x?y=1', 7, b'', '10.0.0.1')
    assert len(set(first)) == 2
    other_caller = compute_fingerprints(b'a.example', b'GET', b'/x?y=1', 7, b'', '10.0.0.2')
    assert other_caller[0] == first[0]
    assert other_caller[1] != first[1]
    for other in (
        compute_fingerprints(b'b.example', b'GET', b'/x?y=1', 7, b'', '10.0.0.1'),
        compute_fingerprints(b'a.example', b'POST', b'/x?y=1', 7, b'', '10.0.0.1'),
        compute_fingerprints(b'a.example', b'GET', b'/x?y=2', 7, b'', '10.0.0.1'),
        compute_fingerprints(b'a.example', b'GET', b'/x?y=1', 8, b'', '10.0.0.1'),
        compute_fingerprints(b'a.example', b'GET', b'/x?y=1', 7, b'1', '10.0.0.1'),
    ):
        assert not set(other) & set(first)
