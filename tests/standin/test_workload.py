"""Tests of what a backend server stand-in counts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.standin._workload import WARM_AFTER_REQUESTS, Connections, Task, Workload

if TYPE_CHECKING:
    from coltsfootstair.standin._truth import RequestTruth


def make_task(request_id: str = 'r') -> Task:
    truth: RequestTruth = {
        'request_id': request_id,
        'operation_id': '',
        'service': '',
        'key': '',
        'slot': None,
        'token': None,
        'start': 0.0,
        'end': None,
        'bytes': 0,
        'status': None,
    }
    return Task(truth)


def test_a_cold_server_fails_all_when_given_more_than_one() -> None:
    workload = Workload(4)
    workload.set_cold(True)
    first, second = make_task(), make_task()
    workload.arrive(first)
    assert not first.stopped.is_set()
    workload.arrive(second)
    assert (first.failure, second.failure) == (500, 500)
    assert (workload.beyond_cold, workload.max_in_flight) == (1, 2)


def test_requests_one_at_a_time_warm_it() -> None:
    workload = Workload(4)
    workload.set_cold(True)
    for _ in range(WARM_AFTER_REQUESTS):
        assert workload.cold
        task = make_task()
        workload.arrive(task)
        workload.take_slot(task)
        workload.leave(task)
    assert not workload.cold
    assert workload.beyond_cold == 0


def test_a_waiting_request_can_be_cancelled() -> None:
    workload = Workload(1)
    running, waiting = make_task('a'), make_task('b')
    for task in (running, waiting):
        workload.arrive(task)
    workload.take_slot(running)
    assert workload.cancel('b', 499, 0.0) == (True, True)
    workload.take_slot(waiting)
    workload.leave(waiting)
    assert waiting.failure == 499
    assert workload.cancel('b', 499, 0.0) == (False, False)
    assert running.failure is None


def test_connections_beyond_the_limit_are_seen_and_refused() -> None:
    connections = Connections(2)
    for number in range(3):
        connections.opened(number, 0.0)
    connections.exempt(0)
    assert connections.use(1, 0.0)
    assert connections.use(2, 0.0)
    connections.opened(3, 0.0)
    assert not connections.use(3, 0.0)
    assert connections.maximum == 3
    connections.closed(1)
    assert connections.use(3, 0.0)


def test_an_unused_connection_counts_once_it_has_stayed() -> None:
    connections = Connections(1)
    connections.opened(1, 0.0)
    connections.opened(2, 1.0)
    assert not connections.use(2, 1.0)
