"""Choice of a backend server while one fails some requests immediately."""

from __future__ import annotations

import random

from coltsfootstair.http1 import Address
from coltsfootstair.placement import (
    Candidate,
    LoadEstimate,
    Placement,
    RequestConstraints,
    ServiceMean,
    choose_server,
)
from coltsfootstair.registry import BackendServer, ServerState

SERVICE_TIME_S = 0.3
FAILING_SHARE = 0.55
ERROR_LATENCY_S = 0.01
CONSTRAINTS = RequestConstraints('a', target_latency_s=0.8, time_left_s=2.5)


def _candidate(number: int) -> Candidate:
    address = Address('10.0.0.1', number)
    server = BackendServer(f'server-{number}', 1, 's', address, 'a', 4, ServerState.READY, 0.0)
    return Candidate(server, LoadEstimate(4, ServiceMean(SERVICE_TIME_S)), 0.0)


def _measure_share_of_failing_server(seed: int) -> float:
    """Return the share of the requests that goes to one failing server of four."""
    source = random.Random(seed)
    candidates = [_candidate(number) for number in range(4)]
    now = 0.0
    chosen = 0
    for _ in range(400):
        now += 0.1
        choice = choose_server(candidates, CONSTRAINTS, now, source)
        assert isinstance(choice, Placement)
        load = choice.candidate.load
        load.on_request_sent(now)
        fails = choice.candidate is candidates[0] and source.random() < FAILING_SHARE
        chosen += choice.candidate is candidates[0]
        load.on_any_answer(now)
        if fails:
            load.on_error_answer(now + ERROR_LATENCY_S)
        else:
            load.on_success(SERVICE_TIME_S, now + SERVICE_TIME_S)
        load.on_request_ended()
    return chosen / 400


def test_a_server_that_fails_immediately_gets_less_than_its_share() -> None:
    """Errors within a few milliseconds made a failing server seem fast and idle."""
    for seed in range(5):
        assert _measure_share_of_failing_server(seed) < 1 / 4


def test_an_error_answer_does_not_change_the_mean_service_time() -> None:
    load = LoadEstimate(4, ServiceMean(SERVICE_TIME_S))
    load.on_request_sent(1.0)
    load.on_error_answer(1.0 + ERROR_LATENCY_S)
    assert load.mean_service_time_s == SERVICE_TIME_S
    assert load.compute_failure_share(1.01) > 0
    assert load.service_time_sum_s / load.answer_count == SERVICE_TIME_S


def test_a_slower_server_is_chosen_over_a_fast_one_that_fails_some_requests() -> None:
    """The cost of failures was scaled by the server's own short service time.

    That was too low: a failed booking is lost.
    """
    failing, slow = _candidate(0), _candidate(1)
    for _ in range(20):
        failing.load.on_success(SERVICE_TIME_S / 4, 0.0)
    assert failing.load.mean_service_time_s < SERVICE_TIME_S / 3
    for _ in range(4):
        failing.load.on_failure(1.0)
    choice = choose_server([failing, slow], CONSTRAINTS, 1.0, random.Random(1))
    assert isinstance(choice, Placement)
    assert choice.candidate is slow
