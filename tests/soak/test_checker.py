"""Tests of the soak's checker: it reports each broken promise, and nothing that is allowed."""

from __future__ import annotations

from soak._bounds import Bounds
from soak._checker import (
    MAX_REQUESTS_IN_PAUSE_COUNT,
    PAUSE_TRANSIT_S,
    AbandonedRequestChecker,
    Grant,
    Promise,
    PromiseChecker,
    SentRequest,
    ServerRecord,
    expected_body,
)
from soak._fault_log import STORE, FaultLog

SERVICES = {'lookups': 'calendar', 'bookings': 'desk', 'uploads': 'desk', 'keyed': 'slots'}
BOUNDS = Bounds()


class Harness:
    """A checker with a clock that the test moves."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.fault_log = FaultLog(lambda: self.now, BOUNDS.fault_free_s)
        self.checker = PromiseChecker(lambda: self.now, BOUNDS, self.fault_log)
        self.checker.on_configuration_written(SERVICES)
        self.now += 100.0

    def add_server(self, service: str, name: str = '') -> ServerRecord:
        record = ServerRecord(name or f'{service}-1', service, 'north')
        self.checker.server_by_name[record.name] = record
        return record

    def send(self, route: str, name: str = 'r1') -> SentRequest:
        is_idempotent = route in ('lookups', 'keyed')
        request = SentRequest(name, 'd1', route, is_idempotent=is_idempotent, sent_at=self.now)
        self.checker.on_request_sent(request)
        return request

    def run(self, server: ServerRecord, name: str = 'r1', key: int | None = None) -> None:
        self.checker.on_request_arrived(server, name)
        self.checker.on_execution_started(server, name, key)
        self.checker.on_execution_ended(server, name, key)

    @property
    def broken_promises(self) -> list[Promise]:
        return [violation.promise for violation in self.checker.violations]


def test_a_request_that_runs_once_and_gets_an_intact_answer_breaks_no_promise() -> None:
    harness = Harness()
    request = harness.send('bookings')
    harness.run(harness.add_server('desk'))
    harness.checker.on_answer(request, 200, is_intact=True)
    assert harness.broken_promises == []
    assert harness.checker.served_count == 1


def test_a_booking_must_not_run_twice_and_a_lookup_may() -> None:
    harness = Harness()
    desk, calendar = harness.add_server('desk'), harness.add_server('calendar')
    harness.send('bookings')
    harness.send('lookups', 'r2')
    harness.run(calendar, 'r2')
    harness.run(calendar, 'r2')
    assert harness.broken_promises == []
    harness.run(desk)
    harness.run(desk)
    assert harness.broken_promises == [Promise.AT_MOST_ONCE]


def test_refusing_a_request_that_has_run_or_runs_later_is_reported() -> None:
    harness = Harness()
    desk = harness.add_server('desk')
    ran = harness.send('bookings')
    harness.run(desk)
    harness.checker.on_answer(ran, 503, is_intact=False)
    assert harness.broken_promises == [Promise.REFUSED_NOT_RUN]
    runs_later = harness.send('bookings', 'r2')
    harness.checker.on_answer(runs_later, 429, is_intact=False)
    harness.run(desk, 'r2')
    assert harness.broken_promises == [Promise.REFUSED_NOT_RUN] * 2


def test_an_answer_that_is_damaged_or_of_another_request_is_reported() -> None:
    harness = Harness()
    harness.checker.on_answer(harness.send('lookups'), 200, is_intact=False)
    assert harness.broken_promises == [Promise.INTACT_ANSWER]
    bodies = {
        expected_body('r1', 'GET', '/x/a', b''),
        expected_body('r2', 'GET', '/x/a', b''),
        expected_body('r1', 'POST', '/x/a', b''),
        expected_body('r1', 'GET', '/x/b', b''),
        expected_body('r1', 'GET', '/x/a', b'1'),
    }
    assert len(bodies) == 5


def test_requests_that_no_caller_sent_or_that_reach_a_wrong_service_are_reported() -> None:
    harness = Harness()
    harness.run(harness.add_server('calendar'), 'never sent')
    harness.send('lookups')
    harness.run(harness.add_server('desk'))
    assert harness.broken_promises == [Promise.KNOWN_REQUEST] * 2


def test_use_of_an_older_configuration_is_reported_after_its_time_limit() -> None:
    harness = Harness()
    harness.add_server('desk')
    harness.checker.on_configuration_written(SERVICES | {'uploads': 'intake'})
    harness.now += BOUNDS.configuration_s - 0.1
    harness.send('uploads')
    harness.run(harness.checker.server_by_name['desk-1'])
    assert harness.broken_promises == []
    harness.now += 0.2
    harness.send('uploads', 'r2')
    harness.run(harness.checker.server_by_name['desk-1'], 'r2')
    assert harness.broken_promises == [Promise.CONFIGURATION_IN_TIME]


def test_a_process_that_returns_to_an_older_configuration_is_reported() -> None:
    harness = Harness()
    desk, intake = harness.add_server('desk'), harness.add_server('intake')
    harness.checker.on_configuration_written(SERVICES | {'uploads': 'intake'})
    harness.checker.on_configuration_written(SERVICES)
    harness.fault_log.record_start(STORE)
    for number, server in enumerate([desk, intake, desk]):
        harness.send('uploads', f'r{number}')
        harness.run(server, f'r{number}')
        harness.now += BOUNDS.rollback_s + 0.1
    assert harness.broken_promises == []
    harness.send('uploads', 'r3')
    harness.run(intake, 'r3')
    assert harness.broken_promises == [Promise.CONFIGURATION_IN_TIME]
    # The next start of the process knows nothing of before.
    harness.send('uploads', 'r4').process = 'd1 start 2'
    harness.run(intake, 'r4')
    assert harness.broken_promises == [Promise.CONFIGURATION_IN_TIME]


def test_requests_that_were_sent_before_a_configuration_was_seen_may_use_an_older_one() -> (
    None
):
    harness = Harness()
    desk, intake = harness.add_server('desk'), harness.add_server('intake')
    harness.checker.on_configuration_written(SERVICES | {'uploads': 'intake'})
    harness.send('uploads', 'early')
    harness.send('uploads')
    harness.run(intake)
    harness.now += BOUNDS.rollback_s - 0.1
    harness.send('uploads', 'r2')
    harness.now += 1.0
    harness.run(desk, 'early')
    harness.run(desk, 'r2')
    assert harness.broken_promises == []
    harness.fault_log.record_start('d1')
    harness.send('uploads', 'slowed')
    harness.run(desk, 'slowed')
    assert harness.broken_promises == []
    harness.now += BOUNDS.rollback_s * BOUNDS.slowed_rollback_factor
    harness.send('uploads', 'late')
    harness.run(desk, 'late')
    assert harness.broken_promises == [Promise.CONFIGURATION_IN_TIME]


def test_a_recent_fault_excuses_a_daemon_from_time_limits() -> None:
    harness = Harness()
    desk = harness.add_server('desk')
    desk.draining_at = harness.now - BOUNDS.drain_s - 1.0
    for affected in ('d1', STORE):
        harness.fault_log.record_start(affected)
        harness.fault_log.record_end(affected)
        harness.send('bookings', f'excused {affected}')
        harness.run(desk, f'excused {affected}')
    assert harness.broken_promises == []
    harness.now += BOUNDS.fault_free_s
    harness.send('bookings')
    harness.run(desk)
    assert harness.broken_promises == [Promise.DRAINED]


def test_requests_to_a_server_that_said_it_is_leaving_are_reported() -> None:
    harness = Harness()
    calendar = harness.add_server('calendar')
    told = harness.send('lookups', 'told')
    harness.checker.on_server_answer(calendar, 'told', is_leaving=True)
    not_told = harness.send('lookups', 'not told')
    not_told.process = not_told.daemon = 'd2'
    harness.checker.on_server_answer(calendar, 'not told', is_leaving=True)
    harness.now += 100.0
    # The time runs from the answer that the daemon has passed on, not from that of the server.
    harness.checker.on_answer(told, 200, is_intact=True)
    harness.checker.on_answer(not_told, 504, is_intact=False)
    harness.now += BOUNDS.drain_s - 0.1
    harness.send('lookups', 'in time')
    harness.now += 0.2
    harness.fault_log.record_start(STORE)
    harness.checker.on_request_taken(calendar, 'in time')
    for request in (harness.send('lookups', 'd2'), harness.send('lookups', 'restarted')):
        request.process = request.request_id
        harness.checker.on_request_taken(calendar, request.request_id)
    assert harness.broken_promises == []
    harness.send('lookups', 'late')
    harness.checker.on_request_taken(calendar, 'late')
    assert harness.broken_promises == [Promise.DRAINED]
    harness.fault_log.record_start('calendar-1')
    harness.checker.on_request_taken(calendar, 'late')
    assert harness.broken_promises == [Promise.DRAINED]


def test_an_answer_of_another_server_does_not_tell_that_a_server_is_leaving() -> None:
    harness = Harness()
    first, second = (
        harness.add_server('calendar'),
        harness.add_server('calendar', 'calendar-2'),
    )
    request = harness.send('lookups')
    harness.checker.on_server_answer(first, 'r1', is_leaving=True)
    harness.checker.on_server_answer(second, 'r1', is_leaving=False)
    harness.checker.on_answer(request, 200, is_intact=True)
    harness.now += BOUNDS.drain_s + 0.1
    harness.send('lookups', 'r2')
    harness.checker.on_request_taken(first, 'r2')
    assert harness.broken_promises == []


def test_more_than_two_requests_in_the_pause_of_a_server_are_reported() -> None:
    harness = Harness()
    calendar = harness.add_server('calendar')

    def send_to_calendar(name: str, process: str = 'd1') -> None:
        harness.send('lookups', name).process = process
        harness.checker.on_request_taken(calendar, name)

    harness.send('lookups', 'refused')
    harness.checker.on_server_answer(calendar, 'refused', is_leaving=False, pause_s=2.0)
    for number in range(5):
        send_to_calendar(f'in transit {number}')
    harness.now += PAUSE_TRANSIT_S + 0.1
    for number in range(MAX_REQUESTS_IN_PAUSE_COUNT):
        send_to_calendar(f'r{number}')
        send_to_calendar(f'of another daemon {number}', 'd2')
    assert harness.broken_promises == []
    send_to_calendar('too many')
    assert harness.broken_promises == [Promise.LEFT_ALONE]
    harness.now += 1.5
    send_to_calendar('after the pause')
    assert harness.broken_promises == [Promise.LEFT_ALONE]


def test_new_requests_in_an_evacuated_data_centre_are_reported_after_the_time_limit() -> None:
    harness = Harness()
    desk = harness.add_server('desk')
    harness.checker.evacuated_at_by_data_centre['north'] = harness.now
    harness.now += BOUNDS.evacuation_s - 0.1
    harness.send('bookings')
    harness.run(desk)
    assert harness.broken_promises == []
    harness.now += 0.2
    harness.send('bookings', 'r2')
    harness.run(desk, 'r2')
    assert harness.broken_promises == [Promise.EVACUATED]


def test_two_owners_of_a_key_are_reported_unless_a_fault_may_have_delayed_the_grant() -> None:
    harness = Harness()
    first, second = (
        harness.add_server('slots', 'slots-1'),
        harness.add_server('slots', 'slots-2'),
    )
    harness.checker.on_keys_granted(first, Grant(0, 99, 1, harness.now + 2.0))
    harness.checker.on_keys_granted(second, Grant(100, 199, 2, harness.now + 2.0))
    assert harness.broken_promises == []
    harness.checker.on_keys_granted(second, Grant(50, 120, 3, harness.now + 2.0))
    assert harness.broken_promises == [Promise.SOLE_OWNER]
    harness.now += 2.1
    harness.checker.on_keys_granted(first, Grant(0, 199, 4, harness.now + 2.0))
    assert harness.broken_promises == [Promise.SOLE_OWNER]
    harness.fault_log.record_start('d1')
    harness.fault_log.record_end('d1', is_thaw_or_heal=True)
    harness.now += BOUNDS.thaw_s - 0.1
    harness.checker.on_keys_granted(second, Grant(0, 199, 5, harness.now + 2.0))
    assert harness.broken_promises == [Promise.SOLE_OWNER]
    # Only the excused grant is still valid.
    harness.now += 1.95
    harness.checker.on_keys_granted(first, Grant(0, 99, 6, harness.now + 2.0))
    assert harness.broken_promises == [Promise.SOLE_OWNER]
    harness.checker.on_keys_granted(second, Grant(0, 99, 7, harness.now + 2.0))
    assert harness.broken_promises == [Promise.SOLE_OWNER] * 2


def test_two_owners_are_reported_although_a_daemon_was_killed_or_is_cut_off() -> None:
    harness = Harness()
    first, second = (
        harness.add_server('slots', 'slots-1'),
        harness.add_server('slots', 'slots-2'),
    )
    harness.checker.on_keys_granted(first, Grant(0, 99, 1, harness.now + 2.0))
    harness.fault_log.record_start('d1', 'd2', STORE, 'slots-1')
    harness.fault_log.record_end('d1')
    harness.checker.on_keys_granted(second, Grant(0, 99, 2, harness.now + 2.0))
    assert harness.broken_promises == [Promise.SOLE_OWNER]


def test_a_fence_that_is_not_above_those_of_other_servers_is_reported() -> None:
    harness = Harness()
    first, second = (
        harness.add_server('slots', 'slots-1'),
        harness.add_server('slots', 'slots-2'),
    )
    harness.checker.on_keys_granted(first, Grant(0, 99, 5, harness.now + 2.0))
    harness.now += 1.0
    harness.checker.on_keys_granted(first, Grant(0, 99, 5, harness.now + 2.0))
    harness.now += 100.0
    harness.checker.on_keys_granted(second, Grant(100, 199, 4, harness.now + 2.0))
    assert harness.broken_promises == []
    harness.checker.on_keys_granted(second, Grant(99, 150, 5, harness.now + 2.0))
    assert harness.broken_promises == [Promise.SOLE_OWNER]
    # Another incarnation of the same server is another holder of the keys.
    second.is_up = False
    successor = harness.add_server('slots', 'slots-2')
    harness.now += 100.0
    harness.checker.on_keys_granted(successor, Grant(120, 130, 5, harness.now + 2.0))
    assert harness.broken_promises == [Promise.SOLE_OWNER] * 2
    harness.checker.on_keys_granted(successor, Grant(0, 199, 6, harness.now + 2.0))
    assert harness.broken_promises == [Promise.SOLE_OWNER] * 2


def test_a_low_fence_is_excused_shortly_after_a_pause_or_a_cut_only() -> None:
    harness = Harness()
    first, second = (
        harness.add_server('slots', 'slots-1'),
        harness.add_server('slots', 'slots-2'),
    )
    harness.checker.on_keys_granted(first, Grant(0, 99, 5, harness.now + 2.0))
    harness.now += 100.0
    harness.fault_log.record_start('d1')
    harness.fault_log.record_end('d1', is_thaw_or_heal=True)
    harness.checker.on_keys_granted(second, Grant(0, 99, 4, harness.now + 2.0))
    assert harness.broken_promises == []
    harness.now += BOUNDS.thaw_s + 0.1
    harness.checker.on_keys_granted(second, Grant(0, 99, 4, harness.now + 2.0))
    assert harness.broken_promises == [Promise.SOLE_OWNER]


def test_too_many_requests_to_a_cold_server_are_reported() -> None:
    harness = Harness()
    desk = harness.add_server('desk')
    desk.cold_until = harness.now + 3.0
    allowed = int(BOUNDS.cold_requests_per_s * BOUNDS.cold_rate_factor + BOUNDS.cold_slack)
    for number in range(allowed + 1):
        harness.send('bookings', f'r{number}')
        harness.run(desk, f'r{number}')
    assert harness.broken_promises == [Promise.COLD_RATE]
    desk.cold_until = 0.0
    harness.send('bookings', 'warm')
    harness.run(desk, 'warm')
    assert harness.broken_promises == [Promise.COLD_RATE]


def test_retries_beyond_their_budget_are_reported() -> None:
    harness = Harness()
    calendar = harness.add_server('calendar')
    for number in range(10):
        harness.send('lookups', f'r{number}')
    allowed = int(BOUNDS.retry_ratio * 10 + BOUNDS.retry_slack)
    for _ in range(allowed + 1):
        harness.checker.on_request_arrived(calendar, 'r0')
        harness.now += 0.1
    assert harness.broken_promises == []
    harness.checker.on_request_arrived(calendar, 'r0')
    assert harness.broken_promises == [Promise.RETRY_BUDGET]
    harness.now += BOUNDS.retry_window_s
    harness.checker.on_request_arrived(calendar, 'r0')
    assert harness.broken_promises == [Promise.RETRY_BUDGET]


def test_a_stopping_daemon_that_interrupts_a_running_request_is_reported() -> None:
    harness = Harness()
    not_run = harness.send('bookings')
    harness.checker.on_connection_closed(not_run, is_stopping=True)
    running = harness.send('bookings', 'r2')
    harness.run(harness.add_server('desk'), 'r2')
    harness.checker.on_connection_closed(running, is_stopping=False)
    assert harness.broken_promises == []
    harness.checker.on_connection_closed(running, is_stopping=True)
    assert harness.broken_promises == [Promise.GRACEFUL_STOP]


def test_answers_after_the_slack_are_reported_if_they_are_most_of_the_late_ones() -> None:
    harness = Harness()
    requests = [harness.send('lookups', f'r{number}') for number in range(8)]
    harness.now += requests[0].timeout_s + 0.1
    for request in requests[:4]:
        harness.checker.on_answer(request, 504, is_intact=False)
    harness.now += BOUNDS.answer_slack_s
    harness.checker.check_late_requests()
    assert harness.broken_promises == []
    harness.checker.request_by_id['r0'].ended_at = None
    harness.checker.check_late_requests()
    assert harness.broken_promises == [Promise.ANSWERED_IN_TIME]


def test_work_on_abandoned_requests_is_reported() -> None:
    harness = Harness()
    abandoned_checker = AbandonedRequestChecker(harness.checker, harness.fault_log)
    calendar = harness.add_server('calendar')
    for number in range(8):
        request = harness.send('lookups', f'r{number}')
        harness.checker.on_request_arrived(calendar, request.request_id)
        harness.checker.on_execution_started(calendar, request.request_id, None)
        if number >= 2:
            harness.checker.on_execution_ended(calendar, request.request_id, None)
        abandoned_checker.check_running(request)
    abandoned_checker.check_totals()
    assert harness.broken_promises == []
    late = harness.send('lookups', 'late')
    harness.checker.on_execution_started(calendar, late.request_id, None)
    abandoned_checker.check_running(late)
    abandoned_checker.check_totals()
    assert harness.broken_promises == [Promise.ABANDONED]


def test_abandoned_requests_that_are_sent_to_a_server_late_are_reported() -> None:
    harness = Harness()
    abandoned_checker = AbandonedRequestChecker(harness.checker, harness.fault_log)
    desk = harness.add_server('desk')
    for number in range(4):
        request = harness.send('bookings', f'r{number}')
        harness.checker.on_request_arrived(desk, request.request_id)
        abandoned_checker.check_sends(request, 0)
    abandoned_checker.check_totals()
    assert harness.broken_promises == [Promise.ABANDONED]
