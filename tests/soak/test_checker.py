"""The soak's judge sees each broken promise, and none where the rules allow what it saw."""

from __future__ import annotations

from soak._bounds import Bounds
from soak._checker import (
    AbandonedRequests,
    Hold,
    Promise,
    SentRequest,
    ServerFacts,
    Truth,
    whole_body,
)
from soak._fault_log import STORE, Calm

SERVICES = {'lookups': 'calendar', 'bookings': 'desk', 'uploads': 'desk', 'keyed': 'slots'}
BOUNDS = Bounds()


class Scene:
    """A judge with a clock that the test moves."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.calm = Calm(lambda: self.now, BOUNDS.touch_s)
        self.truth = Truth(lambda: self.now, BOUNDS, self.calm)
        self.truth.configured(SERVICES)
        self.now += 100.0

    def server(self, service: str, name: str = '') -> ServerFacts:
        facts = ServerFacts(name or f'{service}-1', service, 'north')
        self.truth.server_by_name[facts.name] = facts
        return facts

    def send(self, route: str, name: str = 'r1') -> SentRequest:
        repeatable = route in ('lookups', 'keyed')
        request = SentRequest(name, 'd1', route, repeatable=repeatable, sent_at=self.now)
        self.truth.sent(request)
        return request

    def run(self, server: ServerFacts, name: str = 'r1', key: int | None = None) -> None:
        self.truth.arrived(server, name)
        self.truth.began(server, name, key)
        self.truth.finished(server, name, key)

    @property
    def broken(self) -> list[Promise]:
        return [violation.promise for violation in self.truth.violations]


def test_a_request_that_is_run_once_and_answered_whole_breaks_nothing() -> None:
    scene = Scene()
    request = scene.send('bookings')
    scene.run(scene.server('desk'))
    scene.truth.answered(request, 200, whole=True)
    assert scene.broken == []
    assert scene.truth.answered_count == 1


def test_a_booking_that_runs_twice_is_seen_and_a_lookup_may() -> None:
    scene = Scene()
    desk, calendar = scene.server('desk'), scene.server('calendar')
    scene.send('bookings')
    scene.send('lookups', 'r2')
    scene.run(calendar, 'r2')
    scene.run(calendar, 'r2')
    assert scene.broken == []
    scene.run(desk)
    scene.run(desk)
    assert scene.broken == [Promise.AT_MOST_ONCE]


def test_a_refusal_of_what_has_run_or_runs_later_is_seen() -> None:
    scene = Scene()
    desk = scene.server('desk')
    ran = scene.send('bookings')
    scene.run(desk)
    scene.truth.answered(ran, 503, whole=False)
    assert scene.broken == [Promise.TRUE_REFUSAL]
    runs_later = scene.send('bookings', 'r2')
    scene.truth.answered(runs_later, 429, whole=False)
    scene.run(desk, 'r2')
    assert scene.broken == [Promise.TRUE_REFUSAL] * 2


def test_an_answer_that_is_not_whole_or_of_another_request_is_seen() -> None:
    scene = Scene()
    scene.truth.answered(scene.send('lookups'), 200, whole=False)
    assert scene.broken == [Promise.WHOLE_ANSWER]
    bodies = {
        whole_body('r1', 'GET', '/x/a', b''),
        whole_body('r2', 'GET', '/x/a', b''),
        whole_body('r1', 'POST', '/x/a', b''),
        whole_body('r1', 'GET', '/x/b', b''),
        whole_body('r1', 'GET', '/x/a', b'1'),
    }
    assert len(bodies) == 5


def test_requests_that_nobody_sent_or_at_a_wrong_service_are_seen() -> None:
    scene = Scene()
    scene.run(scene.server('calendar'), 'never sent')
    scene.send('lookups')
    scene.run(scene.server('desk'))
    assert scene.broken == [Promise.KNOWN_REQUEST] * 2


def test_an_older_configuration_is_seen_once_its_time_is_over() -> None:
    scene = Scene()
    scene.server('desk')
    scene.truth.configured(SERVICES | {'uploads': 'intake'})
    scene.now += BOUNDS.configuration_s - 0.1
    scene.send('uploads')
    scene.run(scene.truth.server_by_name['desk-1'])
    assert scene.broken == []
    scene.now += 0.2
    scene.send('uploads', 'r2')
    scene.run(scene.truth.server_by_name['desk-1'], 'r2')
    assert scene.broken == [Promise.CONFIGURED]


def test_a_daemon_that_was_struck_of_late_is_excused_from_bounds_in_time() -> None:
    scene = Scene()
    desk = scene.server('desk')
    desk.left_at = scene.now - BOUNDS.drain_s - 1.0
    for struck in ('d1', STORE):
        scene.calm.begin(struck)
        scene.calm.end(struck)
        scene.send('bookings', f'excused {struck}')
        scene.run(desk, f'excused {struck}')
    assert scene.broken == []
    scene.now += BOUNDS.touch_s
    scene.send('bookings')
    scene.run(desk)
    assert scene.broken == [Promise.DRAINED]


def test_new_work_in_an_evacuated_data_centre_is_seen_after_its_time() -> None:
    scene = Scene()
    desk = scene.server('desk')
    scene.truth.evacuated_at['north'] = scene.now
    scene.now += BOUNDS.evacuation_s - 0.1
    scene.send('bookings')
    scene.run(desk)
    assert scene.broken == []
    scene.now += 0.2
    scene.send('bookings', 'r2')
    scene.run(desk, 'r2')
    assert scene.broken == [Promise.EVACUATED]


def test_two_holders_of_a_key_are_seen_unless_the_order_was_held_up() -> None:
    scene = Scene()
    first, second = scene.server('slots', 'slots-1'), scene.server('slots', 'slots-2')
    scene.truth.granted(first, Hold(0, 99, 1, scene.now + 2.0))
    scene.truth.granted(second, Hold(100, 199, 2, scene.now + 2.0))
    assert scene.broken == []
    scene.truth.granted(second, Hold(50, 120, 3, scene.now + 2.0))
    assert scene.broken == [Promise.SOLE_OWNER]
    scene.now += 2.1
    scene.truth.granted(first, Hold(0, 199, 4, scene.now + 2.0))
    assert scene.broken == [Promise.SOLE_OWNER]
    scene.calm.begin('d1')
    scene.calm.end('d1')
    scene.truth.granted(second, Hold(0, 199, 5, scene.now + 2.0))
    assert scene.broken == [Promise.SOLE_OWNER]


def test_more_than_a_cold_server_bears_is_seen() -> None:
    scene = Scene()
    desk = scene.server('desk')
    desk.cold_until = scene.now + 3.0
    allowed = int(BOUNDS.cold_per_s * BOUNDS.cold_excess + BOUNDS.cold_slack)
    for number in range(allowed + 1):
        scene.send('bookings', f'r{number}')
        scene.run(desk, f'r{number}')
    assert scene.broken == [Promise.COLD_RATE]
    desk.cold_until = 0.0
    scene.send('bookings', 'warm')
    scene.run(desk, 'warm')
    assert scene.broken == [Promise.COLD_RATE]


def test_repeats_beyond_their_budget_are_seen() -> None:
    scene = Scene()
    calendar = scene.server('calendar')
    for number in range(10):
        scene.send('lookups', f'r{number}')
    allowed = int(BOUNDS.retry_ratio * 10 + BOUNDS.retry_slack)
    for _ in range(allowed + 1):
        scene.truth.arrived(calendar, 'r0')
        scene.now += 0.1
    assert scene.broken == []
    scene.truth.arrived(calendar, 'r0')
    assert scene.broken == [Promise.REPEATS]
    scene.now += BOUNDS.retry_window_s
    scene.truth.arrived(calendar, 'r0')
    assert scene.broken == [Promise.REPEATS]


def test_a_stopping_daemon_that_cuts_what_runs_is_seen() -> None:
    scene = Scene()
    not_run = scene.send('bookings')
    scene.truth.cut(not_run, stopping=True)
    running = scene.send('bookings', 'r2')
    scene.run(scene.server('desk'), 'r2')
    scene.truth.cut(running, stopping=False)
    assert scene.broken == []
    scene.truth.cut(running, stopping=True)
    assert scene.broken == [Promise.GRACEFUL]


def test_requests_held_past_their_time_are_seen_where_most_are() -> None:
    scene = Scene()
    requests = [scene.send('lookups', f'r{number}') for number in range(8)]
    scene.now += requests[0].timeout_s + 0.1
    for request in requests[:4]:
        scene.truth.answered(request, 504, whole=False)
    scene.now += BOUNDS.slack_s
    scene.truth.judge_shares()
    assert scene.broken == []
    scene.truth.request_by_id['r0'].ended_at = None
    scene.truth.judge_shares()
    assert scene.broken == [Promise.IN_TIME]


def test_work_for_callers_that_have_left_is_seen() -> None:
    scene = Scene()
    abandoned = AbandonedRequests(scene.truth, scene.calm)
    calendar = scene.server('calendar')
    for number in range(8):
        request = scene.send('lookups', f'r{number}')
        scene.truth.arrived(calendar, request.name)
        scene.truth.began(calendar, request.name, None)
        if number >= 2:
            scene.truth.finished(calendar, request.name, None)
        abandoned.check_work(request)
    abandoned.judge()
    assert scene.broken == []
    late = scene.send('lookups', 'late')
    scene.truth.began(calendar, late.name, None)
    abandoned.check_work(late)
    abandoned.judge()
    assert scene.broken == [Promise.ABANDONED]


def test_requests_sent_on_after_their_callers_have_left_are_seen() -> None:
    scene = Scene()
    abandoned = AbandonedRequests(scene.truth, scene.calm)
    desk = scene.server('desk')
    for number in range(4):
        request = scene.send('bookings', f'r{number}')
        scene.truth.arrived(desk, request.name)
        abandoned.check_sends(request, 0)
    abandoned.judge()
    assert scene.broken == [Promise.ABANDONED]
