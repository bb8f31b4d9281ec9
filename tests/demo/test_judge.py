"""Tests of the judge and the measures: each promise is violated on purpose in a run."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import pytest

from coltsfootstair.demo import (
    Intervention,
    InterventionKind,
    Promise,
    RunRecord,
    ServerRecord,
    compute_churn,
    compute_imbalance,
    compute_unavailability,
    judge,
    render_report,
    restrict_to_window,
    summarise_by_second,
    summarise_latency,
)
from coltsfootstair.document import BackendServer
from coltsfootstair.load import Outcome, Sample

if TYPE_CHECKING:
    from coltsfootstair.standin import BackendServerTruth, GrantTruth, RequestTruth

STARTED_AT = 100.0
TAKEN_OUT_AT = 105.0
ENDED_AT = 120.0


def make_grant(first: int, last: int, begin: float, end: float, token: int = 1) -> GrantTruth:
    return {
        'first': first,
        'last': last,
        'token': token,
        'from': begin,
        'to': end,
        'in_force': end == ENDED_AT,
    }


def make_request(
    name: str, start: float, row: int | None, operation_id: str = ''
) -> RequestTruth:
    return {
        'request_id': name,
        'operation_id': operation_id,
        'service': 'slots',
        'key': '' if row is None else f'key-{row}',
        'slot': row,
        'token': None if row is None else 1,
        'start': start,
        'end': start + 1.0,
        'bytes': 5,
        'status': 200,
    }


def make_server_record(
    name: str, grants: list[GrantTruth], requests: list[RequestTruth]
) -> ServerRecord:
    truth: BackendServerTruth = {
        'name': name,
        'requests': requests,
        'refused': [],
        'max_in_flight': 4,
        'max_connections': 9,
        'beyond_cold': 0,
        'grants': grants,
    }
    return ServerRecord(BackendServer(name, 'slots', 'lake', '127.0.0.1:1', 4, 9, True), truth)


def make_sample(
    request_id: str, outcome: Outcome, operation_id: str = '', ran: str = ''
) -> Sample:
    result = 0 if outcome is Outcome.COMPLETE else 200
    return Sample(
        'slots', 'key', operation_id, request_id, 101.5, 0.01, outcome, result, ran, 'daemon'
    )


def make_good_run() -> RunRecord:
    """Return a run without violations in which rows 0 to 9 move from ``a`` to ``b``."""
    grants_of_a = [make_grant(0, 9, 100.0, 106.0)]
    grants_of_b = [make_grant(10, 19, 100.0, ENDED_AT), make_grant(0, 9, 106.5, ENDED_AT)]
    return RunRecord(
        (
            make_server_record(
                'a',
                grants_of_a,
                [make_request('r1', 101.0, 3, 'op1'), make_request('r2', 105.9, 9)],
            ),
            make_server_record('b', grants_of_b, [make_request('r3', 108.0, 3, 'op2')]),
        ),
        (
            make_sample('r1', Outcome.COMPLETE, 'op1'),
            make_sample('r2', Outcome.COMPLETE),
            make_sample('r3', Outcome.COMPLETE, 'op2'),
            make_sample('r4', Outcome.REFUSED, 'op3', 'no'),
        ),
        (Intervention(InterventionKind.TAKEN_OUT, TAKEN_OUT_AT, frozenset({'a'}), 'a out'),),
        frozenset({'slots'}),
        STARTED_AT,
        ENDED_AT,
    )


def overlap_grants(record: RunRecord) -> None:
    record.server_records[1].truth['grants'][1]['from'] = 105.9


def overlap_requests(record: RunRecord) -> None:
    record.server_records[0].truth['requests'][0]['end'] = 108.5


def run_outside_grant(record: RunRecord) -> None:
    record.server_records[1].truth['requests'][0]['start'] = 106.2


def run_under_another_token(record: RunRecord) -> None:
    record.server_records[1].truth['requests'][0]['token'] = 2


def run_twice(record: RunRecord) -> None:
    record.server_records[1].truth['requests'].append(make_request('r1', 109.0, 3, 'op1'))


def lose_booking(record: RunRecord) -> None:
    del record.server_records[0].truth['requests'][0]


def run_refused_request(record: RunRecord) -> None:
    record.server_records[1].truth['requests'].append(make_request('r4.1', 109.0, 3))


def exceed_slots(record: RunRecord) -> None:
    record.server_records[0].truth['max_in_flight'] = 5


def exceed_connections(record: RunRecord) -> None:
    record.server_records[0].truth['max_connections'] = 10


def exceed_cold_capacity(record: RunRecord) -> None:
    record.server_records[0].truth['beyond_cold'] = 1


def work_while_out(record: RunRecord) -> None:
    record.server_records[0].truth['requests'][1]['start'] = 108.5


VIOLATIONS: list[tuple[Callable[[RunRecord], None], Promise]] = [
    (overlap_grants, Promise.ONE_OWNER),
    (overlap_requests, Promise.ONE_OWNER),
    (run_outside_grant, Promise.UNDER_GRANT),
    (run_under_another_token, Promise.UNDER_GRANT),
    (run_twice, Promise.AT_MOST_ONCE),
    (lose_booking, Promise.ACKNOWLEDGED),
    (run_refused_request, Promise.NOT_RUN),
    (exceed_slots, Promise.LIMITS),
    (exceed_connections, Promise.LIMITS),
    (exceed_cold_capacity, Promise.COLD_START),
    (work_while_out, Promise.TAKEN_OUT),
]


def find_broken_promises(record: RunRecord) -> set[Promise]:
    return {verdict.promise for verdict in judge(record) if not verdict.is_kept}


def test_a_good_run_keeps_every_promise() -> None:
    record = make_good_run()
    assert find_broken_promises(record) == set()
    assert all(verdict.case_count for verdict in judge(record))


@pytest.mark.parametrize(('violate', 'promise'), VIOLATIONS)
def test_each_violation_of_a_promise_is_detected(
    violate: Callable[[RunRecord], None], promise: Promise
) -> None:
    record = make_good_run()
    violate(record)
    assert promise in find_broken_promises(record)


@pytest.mark.parametrize('outcome', [Outcome.MISMATCHED, Outcome.TRUNCATED, Outcome.NO_ANSWER])
def test_a_wrong_or_missing_answer_is_detected(outcome: Outcome) -> None:
    record = make_good_run()
    record = record._replace(samples=(*record.samples, make_sample('r9', outcome)))
    assert Promise.COMPLETE_ANSWERS in find_broken_promises(record)
    broken = find_broken_promises(record._replace(daemon_lost=True))
    assert (Promise.COMPLETE_ANSWERS in broken) == (outcome is Outcome.MISMATCHED)


def test_a_refusal_without_a_statement_whether_it_ran_is_detected() -> None:
    record = make_good_run()
    record = record._replace(samples=(make_sample('r9', Outcome.REFUSED),))
    assert Promise.COMPLETE_ANSWERS in find_broken_promises(record)


def test_work_after_bringing_back_is_allowed() -> None:
    record = make_good_run()
    work_while_out(record)
    brought_back = Intervention(
        InterventionKind.BROUGHT_BACK, 108.2, frozenset({'a'}), 'a back'
    )
    assert Promise.TAKEN_OUT not in find_broken_promises(
        record._replace(interventions=(*record.interventions, brought_back))
    )


def test_measures_of_a_known_run_have_their_calculated_values() -> None:
    record = make_good_run()
    assert compute_churn(record, 'slots') == (20, 10, 10)
    assert compute_unavailability(record, 'slots') == (10, 0.5, 0.5)
    assert compute_imbalance(record, 'slots', STARTED_AT, ENDED_AT) == pytest.approx(4 / 3)
    assert summarise_latency(list(record.samples))[:3] == (3, 1, 0)
    second = summarise_by_second(record, frozenset({'slots'}))[1]
    assert (second.number, second.latency.answered, second.title) == (1, 3, '')


def test_a_lost_server_owns_nothing() -> None:
    lost = Intervention(InterventionKind.LOST, 105.5, frozenset({'a'}), 'a lost')
    record = make_good_run()._replace(interventions=(lost,))
    assert compute_unavailability(record, 'slots') == (10, 1.0, 1.0)


def test_a_window_excludes_everything_before_and_after_it() -> None:
    windowed = restrict_to_window(make_good_run(), 106.2, 107.0)
    assert [len(server.truth['requests']) for server in windowed.server_records] == [0, 0]
    assert (windowed.samples, windowed.interventions) == ((), ())
    assert compute_unavailability(windowed, 'slots') == (0, 0.0, 0.0)
    assert compute_unavailability(
        restrict_to_window(make_good_run(), 105.0, 110.0), 'slots'
    ) == (10, 0.5, 0.5)


def test_the_report_lists_each_broken_promise_and_the_violation() -> None:
    record = make_good_run()
    assert 'BROKEN' not in render_report(record, judge(record))
    work_while_out(record)
    text = render_report(record, judge(record))
    assert text.count('BROKEN') == 2
    assert 'a started r2 3.50 s after it was taken out' in text


def test_a_server_that_does_not_check_grants_may_work_without_one() -> None:
    record = make_good_run()
    run_outside_grant(record)
    unchecked = record.server_records[1].server._replace(checks_grants=False)
    record = record._replace(
        server_records=(
            record.server_records[0],
            ServerRecord(unchecked, record.server_records[1].truth),
        )
    )
    assert Promise.UNDER_GRANT not in find_broken_promises(record)
    overlap_requests(record)
    assert Promise.ONE_OWNER in find_broken_promises(record)
