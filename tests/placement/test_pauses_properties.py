"""Requests of one daemon to a server that asks for pauses, in any sequence of answers.

A model of the time line: requests take time until their connection is open, answers take time
at the server, and both take time on their way.
"""

from __future__ import annotations

import heapq
import itertools
import math
from typing import NamedTuple

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from coltsfootstair.placement import Pause, ReturnPace, ServerPauses

INCARNATION = ('s1', 1)
TRANSIT_S = 0.05
STEP_S = 0.2
FULL_LIMIT = 12.0

ALLOWED_COUNT = 2
"""Requests that may reach a paused server later than ``GRACE_S`` after it has said so."""
GRACE_S = 0.5


class Request(NamedTuple):
    """A request of a caller.

    :param gap_s: time since the last one
    :param connect_s: time until its connection is open
    :param service_time_s: time until the server answers it
    :param retry_after_s: pause that the answer asks for; ``None`` if it asks for none
    :param random_share: what the daemon draws for its return
    """

    gap_s: float
    connect_s: float
    service_time_s: float
    retry_after_s: float | None
    random_share: float


class Record(NamedTuple):
    """What the server saw.

    :param arrived_at: times at which requests reached it
    :param pauses: time of each answer that asked for a pause, and its duration
    :param sent: for each request that was sent, the time, the end of the last pause, ``None``
        before the first one, and how many were then in flight of those sent since that pause
    """

    arrived_at: list[float]
    pauses: list[tuple[float, float]]
    sent: list[tuple[float, float | None, int]]


class IgnoringRecheck(ServerPauses):
    """Broken: a request is sent although a pause began while its connection was opened."""

    def may_send(self, incarnation: tuple[str, int], counted_in: Pause | None) -> bool:
        return True


class ReturningBeforeTheEnd(ServerPauses):
    """Broken: the spread of the return lies before the end of the pause."""

    def start(
        self, incarnation: tuple[str, int], retry_after_s: float, now: float, pace: ReturnPace
    ) -> bool:
        pace = pace._replace(delay_s=-2.0 * pace.delay_s)
        return super().start(incarnation, retry_after_s, now, pace)


class KeepingTheFirstPause(ServerPauses):
    """Broken: a pause is not replaced by a later, longer one."""

    def start(
        self, incarnation: tuple[str, int], retry_after_s: float, now: float, pace: ReturnPace
    ) -> bool:
        if self.get_wait_s(incarnation, now) > 0:
            return False
        return super().start(incarnation, retry_after_s, now, pace)


class ReturningAtOnce(ServerPauses):
    """Broken: when the pause is over, the daemon sends all that it has."""

    def compute_room(self, incarnation: tuple[str, int], now: float) -> float:
        return math.inf if self.get_wait_s(incarnation, now) <= 0 else 0.0


def _play(requests: list[Request], pauses: ServerPauses) -> Record:
    """Let the daemon handle ``requests``, each refused that may not be sent at its time."""
    record = Record([], [], [])
    order = itertools.count()
    events: list[tuple[float, int, str, Request, Pause | None]] = []

    def schedule(at: float, what: str, request: Request, counted_in: Pause | None) -> None:
        heapq.heappush(events, (at, next(order), what, request, counted_in))

    at = 0.0
    for request in requests:
        at += request.gap_s
        schedule(at, 'came', request, None)
    last_pause: Pause | None = None
    last_end: float | None = None
    in_flight = 0
    while events:
        now, _, what, request, counted_in = heapq.heappop(events)
        match what:
            case 'came':
                pauses.forget_ended(now)
                wait_s = pauses.get_wait_s(INCARNATION, now)
                if wait_s <= 0 and pauses.compute_room(INCARNATION, now) >= 1:
                    chosen_in = pauses.on_request_chosen(INCARNATION)
                    schedule(now + request.connect_s, 'connected', request, chosen_in)
            case 'connected':
                if pauses.may_send(INCARNATION, counted_in):
                    if counted_in is last_pause:
                        in_flight += 1
                    record.sent.append((now, last_end, in_flight))
                    schedule(now + TRANSIT_S, 'arrived', request, counted_in)
                else:
                    pauses.on_request_ended(counted_in)
            case 'arrived':
                record.arrived_at.append(now)
                schedule(now + request.service_time_s, 'answered', request, counted_in)
            case 'answered':
                if request.retry_after_s is not None:
                    record.pauses.append((now, request.retry_after_s))
                schedule(now + TRANSIT_S, 'answer came', request, counted_in)
            case 'answer came':
                if counted_in is last_pause:
                    in_flight -= 1
                is_in_pause = last_end is not None and now < last_end
                if request.retry_after_s is not None and (
                    request.retry_after_s or is_in_pause
                ):
                    last_end = now + request.retry_after_s
                    pace = ReturnPace(request.random_share, STEP_S, FULL_LIMIT)
                    pauses.start(INCARNATION, request.retry_after_s, now, pace)
                    last_pause, in_flight = pauses.on_request_chosen(INCARNATION), 0
                    pauses.on_request_ended(last_pause)
                pauses.on_request_ended(counted_in)
    return record


def _check_pauses(record: Record) -> None:
    """Check that no more than two requests reached the server in any pause."""
    for number, (asked_at, retry_after_s) in enumerate(record.pauses):
        ends_at = asked_at + retry_after_s
        if number + 1 < len(record.pauses):
            # A later answer replaces the pause, also by a shorter one.
            ends_at = min(ends_at, record.pauses[number + 1][0])
        in_pause = [at for at in record.arrived_at if asked_at + GRACE_S < at < ends_at]
        assert len(in_pause) <= ALLOWED_COUNT, (asked_at, retry_after_s, in_pause)


def _check_return(record: Record) -> None:
    """Check that no more requests were in flight than the step since the last pause allows."""
    for sent_at, last_end, in_flight in record.sent:
        if last_end is None:
            continue
        assert sent_at >= last_end
        step_count = math.floor((sent_at - last_end) / STEP_S)
        if 2**step_count < FULL_LIMIT:
            assert in_flight <= 2**step_count, (sent_at, last_end, in_flight)


_requests = st.lists(
    st.builds(
        Request,
        gap_s=st.sampled_from([0.0, 0.01, 0.1, 0.3, 0.7]),
        connect_s=st.sampled_from([0.0, 0.2, 0.8]),
        service_time_s=st.sampled_from([0.0, 0.05, 0.3, 2.0]),
        retry_after_s=st.sampled_from([None, None, 0.0, 0.3, 1.0, 3.0]),
        random_share=st.sampled_from([0.0, 0.5, 1.0]),
    ),
    max_size=40,
)
_settings = settings(
    max_examples=400,
    deadline=None,
    derandomize=True,
    report_multiple_bugs=False,
    suppress_health_check=[HealthCheck.too_slow],
)


def _run(pauses_class: type[ServerPauses], *, shrinks: bool) -> None:
    @settings(_settings, phases=[Phase.generate, *([Phase.shrink] if shrinks else [])])
    @given(_requests)
    def check(requests: list[Request]) -> None:
        record = _play(requests, pauses_class())
        _check_pauses(record)
        _check_return(record)

    check()


def test_a_paused_server_gets_no_more_than_two_requests_and_the_return_is_in_steps() -> None:
    _run(ServerPauses, shrinks=True)


@pytest.mark.parametrize(
    'broken', [IgnoringRecheck, ReturningBeforeTheEnd, KeepingTheFirstPause, ReturningAtOnce]
)
def test_a_broken_variant_is_caught(broken: type[ServerPauses]) -> None:
    with pytest.raises(AssertionError):
        _run(broken, shrinks=False)
