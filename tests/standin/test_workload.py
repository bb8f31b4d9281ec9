"""Tests of what a stand-in of a backend server counts."""

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


def test_a_second_request_at_a_cold_server_makes_all_fail() -> None:
    workload = Workload(4)
    workload.set_cold(True)
    first, second = make_task(), make_task()
    workload.add(first)
    assert not first.stopped.is_set()
    workload.add(second)
    assert (first.failure_status, second.failure_status) == (500, 500)
    assert (workload.beyond_cold, workload.max_in_flight) == (1, 2)


def test_a_cold_start_ends_after_requests_one_at_a_time() -> None:
    workload = Workload(4)
    workload.set_cold(True)
    for _ in range(WARM_AFTER_REQUESTS):
        assert workload.is_cold
        task = make_task()
        workload.add(task)
        workload.acquire_slot(task)
        workload.remove(task)
    assert not workload.is_cold
    assert workload.beyond_cold == 0


def test_a_waiting_request_can_be_cancelled() -> None:
    workload = Workload(1)
    running, waiting = make_task('a'), make_task('b')
    for task in (running, waiting):
        workload.add(task)
    workload.acquire_slot(running)
    assert workload.cancel('b', 499, 0.0) == (True, True)
    workload.acquire_slot(waiting)
    workload.remove(waiting)
    assert waiting.failure_status == 499
    assert workload.cancel('b', 499, 0.0) == (False, False)
    assert running.failure_status is None


def test_connections_beyond_the_limit_are_counted_and_refused() -> None:
    connections = Connections(2)
    for number in range(3):
        connections.on_opened(number, 0.0)
    connections.exempt(0)
    assert connections.try_use(1, 0.0)
    assert connections.try_use(2, 0.0)
    connections.on_opened(3, 0.0)
    assert not connections.try_use(3, 0.0)
    assert connections.max_count == 3
    connections.on_closed(1)
    assert connections.try_use(3, 0.0)


def test_an_unused_connection_counts_after_some_time() -> None:
    connections = Connections(1)
    connections.on_opened(1, 0.0)
    connections.on_opened(2, 1.0)
    assert not connections.try_use(2, 1.0)
