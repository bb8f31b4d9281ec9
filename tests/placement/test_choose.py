"""Choice of a backend server for a request, and refusals."""

from __future__ import annotations

import random

from coltsfootstair.clock import ManualClock
from coltsfootstair.http1 import Address
from coltsfootstair.placement import (
    AdmissionGate,
    Candidate,
    LoadEstimate,
    LoadReport,
    Placement,
    PlacementRefusal,
    RequestConstraints,
    RequestPacer,
    ServiceMean,
    choose_server,
)
from coltsfootstair.registry import BackendServer, ServerState

NOW = 100.0
CONSTRAINTS = RequestConstraints('a', target_latency_s=0.6, time_left_s=4.0)


def _candidate(name: str, data_centre: str = 'a', service_time_s: float = 0.2) -> Candidate:
    server = BackendServer(
        name, 1, 'lookups', Address('10.0.0.1', 1), data_centre, 4, ServerState.READY, 0.0
    )
    return Candidate(server, LoadEstimate(4, ServiceMean(service_time_s)), 0.0)


def _choose_name(*candidates: Candidate, constraints: RequestConstraints = CONSTRAINTS) -> str:
    choice = choose_server(candidates, constraints, NOW, random.Random(1))
    assert isinstance(choice, Placement)
    return choice.candidate.server.name


def test_the_server_with_the_lowest_expected_latency_is_chosen() -> None:
    slow, fast = _candidate('slow', service_time_s=0.5), _candidate('fast')
    assert _choose_name(slow, fast) == 'fast'
    fast.load.apply_report(LoadReport(4, 8, 4, 1.0), NOW)
    assert _choose_name(slow, fast) == 'slow'


def test_the_daemons_data_centre_is_preferred_unless_another_saves_much_time() -> None:
    near, remote = _candidate('near', service_time_s=0.25), _candidate('remote', 'b')
    assert _choose_name(near, remote) == 'near'
    near.load.apply_report(LoadReport(4, 6, 4, 1.0), NOW)
    assert _choose_name(near, remote) == 'remote'


def test_a_large_body_needs_a_larger_saving_to_leave_its_data_centre() -> None:
    """Uploads between data centres cost more than all other traffic together."""
    near, remote = _candidate('near', service_time_s=0.25), _candidate('remote', 'b')
    near.load.apply_report(LoadReport(4, 6, 4, 1.0), NOW)
    upload = CONSTRAINTS._replace(body_bytes=200_000)
    assert _choose_name(near, remote, constraints=upload) == 'near'


def test_a_request_that_would_wait_too_long_is_refused_with_a_retry_delay() -> None:
    full = _candidate('full')
    full.load.apply_report(LoadReport(4, 30, 4, 1.0), NOW)
    refused = choose_server([full], CONSTRAINTS, NOW, random.Random(1))
    assert isinstance(refused, PlacementRefusal)
    assert 0 < refused.retry_after_s < CONSTRAINTS.time_left_s


def test_a_cold_server_gets_no_request_before_its_scheduled_time() -> None:
    cold = _candidate('cold')._replace(cold_wait_s=0.7)
    assert _choose_name(cold, _candidate('warm', service_time_s=0.5)) == 'warm'
    refused = choose_server([cold], CONSTRAINTS, NOW, random.Random(1))
    assert isinstance(refused, PlacementRefusal)
    assert refused.retry_after_s == 0.7


def test_a_paused_server_gets_no_request_as_a_trial_or_for_want_of_others() -> None:
    """An unresponsive server counts as responsive while a trial request is due."""
    paused = _candidate('paused')._replace(pause_wait_s=9.0)
    assert _choose_name(paused, _candidate('slow', service_time_s=0.5)) == 'slow'
    refused = choose_server([paused], CONSTRAINTS, NOW, random.Random(1))
    assert isinstance(refused, PlacementRefusal)


def test_an_unresponsive_server_gets_no_requests() -> None:
    """Requests were sent to unresponsive servers until they timed out."""
    unresponsive = _candidate('unresponsive', service_time_s=0.05)
    for _ in range(3):
        unresponsive.load.on_request_sent(NOW - 2.0)
    assert _choose_name(unresponsive, _candidate('other', 'b', service_time_s=0.5)) == 'other'
    assert isinstance(
        choose_server([unresponsive], CONSTRAINTS, NOW, random.Random(1)), PlacementRefusal
    )
    unresponsive.load.on_any_answer(NOW)
    assert _choose_name(unresponsive) == 'unresponsive'


def test_all_daemons_together_stay_within_a_cold_servers_limit() -> None:
    pacers = [RequestPacer() for _ in range(9)]
    sent = []
    now = NOW
    while now < NOW + 10.0:
        for pacer in pacers:
            if pacer.get_wait_s(('s', 1), now) <= 0:
                pacer.on_request_sent(('s', 1), now, limit_per_s=5.0, daemon_count=9)
                sent.append(now)
        now += 0.01
    worst = max(sum(at <= other < at + 1.0 for other in sent) for at in sent)
    # Tolerates 1.5 times the limit of 5 requests per second, and a burst of 5 more.
    assert worst <= 5.0 * 1.5 + 5
    # At least four fifths of the 50 requests that the limit allows in 10 s.
    assert len(sent) >= 40


def test_first_requests_to_a_cold_server_are_spread() -> None:
    """80 daemons each sent one request in the second in which a server became cold."""
    source = random.Random(3)
    pacers = [RequestPacer() for _ in range(80)]
    sent = []
    for step in range(300):
        now = NOW + step * 0.01
        for pacer in pacers:
            pacer.schedule_first_request(('s', 1), now, 5.0, 80, source.random())
            if pacer.get_wait_s(('s', 1), now) <= 0:
                pacer.on_request_sent(('s', 1), now, limit_per_s=5.0, daemon_count=80)
                sent.append(now)
    worst = max(sum(at <= other < at + 1.0 for other in sent) for at in sent)
    # The same bound as in the test above.
    assert worst <= 5.0 * 1.5 + 5


def test_other_daemons_load_is_estimated_between_reports() -> None:
    """A busy server seemed idle 0.6 s after its last answer and got too many requests."""
    load = LoadEstimate(4, ServiceMean(0.2))
    for step in range(20):
        load.apply_report(LoadReport(4, 6, 4, 1.0), NOW + step * 0.1)
    assert load.estimate_in_flight(NOW + 1.9 + 1.0) > 6
    assert load.estimate_in_flight(NOW + 60.0) < 0.1


def test_a_daemon_has_no_more_requests_at_a_server_than_its_share() -> None:
    """A server reset 2,754 connections above its limit, with requests on them."""
    full = _candidate('full')._replace(max_in_flight=2)
    for _ in range(2):
        full.load.on_request_sent(NOW)
    assert isinstance(
        choose_server([full], CONSTRAINTS, NOW, random.Random(1)), PlacementRefusal
    )
    full.load.on_request_ended()
    assert _choose_name(full) == 'full'


def test_an_overloaded_owner_gets_its_admitted_share() -> None:
    """80 daemons each saw little of the load of a hot key; 7,935 lookups were refused."""
    admitted = {'hot': 0.25}
    gates = [AdmissionGate(lambda: admitted, ManualClock()) for _ in range(8)]
    passed = sum(gate.try_admit('hot') for _ in range(100) for gate in gates)
    # A quarter of 800 requests, and up to two more for each of the eight gates.
    assert 200 <= passed <= 216
    assert all(gate.try_admit('other') for gate in gates)
    admitted.clear()
    assert all(gate.try_admit('hot') for gate in gates)


def test_a_server_with_one_answer_is_taken_to_be_about_as_fast_as_its_service() -> None:
    """Of hundreds of servers a daemon knows one answer each; the last one decided."""
    service_mean = ServiceMean(0.3)
    loads = [LoadEstimate(4, service_mean) for _ in range(60)]
    for load in loads:
        load.on_success(0.6, NOW)
    quick = LoadEstimate(4, service_mean)
    assert quick.mean_service_time_s > 0.5
    quick.on_success(0.1, NOW)
    assert quick.mean_service_time_s > 0.35
