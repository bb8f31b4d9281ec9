"""Tests of the judge: each promise is broken by hand, and must be seen broken."""

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
OUT_AT = 105.0
ENDED_AT = 120.0


def grant(first: int, last: int, begin: float, end: float, token: int = 1) -> GrantTruth:
    return {
        'first': first,
        'last': last,
        'token': token,
        'from': begin,
        'to': end,
        'in_force': end == ENDED_AT,
    }


def request(name: str, start: float, slot: int | None, operation_id: str = '') -> RequestTruth:
    return {
        'request_id': name,
        'operation_id': operation_id,
        'service': 'slots',
        'key': '' if slot is None else f'key-{slot}',
        'slot': slot,
        'token': None if slot is None else 1,
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


def sample(request_id: str, outcome: Outcome, operation_id: str = '', ran: str = '') -> Sample:
    result = 0 if outcome is Outcome.COMPLETE else 200
    return Sample(
        'slots', 'key', operation_id, request_id, 101.5, 0.01, outcome, result, ran, 'daemon'
    )


def good_run() -> RunRecord:
    """Return a run in which slots 0 to 9 move from ``a`` to ``b``."""
    moved = [grant(0, 9, 100.0, 106.0)]
    taking = [grant(10, 19, 100.0, ENDED_AT), grant(0, 9, 106.5, ENDED_AT)]
    return RunRecord(
        (
            make_server_record(
                'a', moved, [request('r1', 101.0, 3, 'op1'), request('r2', 105.9, 9)]
            ),
            make_server_record('b', taking, [request('r3', 108.0, 3, 'op2')]),
        ),
        (
            sample('r1', Outcome.COMPLETE, 'op1'),
            sample('r2', Outcome.COMPLETE),
            sample('r3', Outcome.COMPLETE, 'op2'),
            sample('r4', Outcome.REFUSED, 'op3', 'no'),
        ),
        (Intervention(InterventionKind.TAKEN_OUT, OUT_AT, frozenset({'a'}), 'a out'),),
        frozenset({'slots'}),
        STARTED_AT,
        ENDED_AT,
    )


def overlap_grants(run: RunRecord) -> None:
    run.server_records[1].truth['grants'][1]['from'] = 105.9


def overlap_requests(run: RunRecord) -> None:
    run.server_records[0].truth['requests'][0]['end'] = 108.5


def run_outside_grant(run: RunRecord) -> None:
    run.server_records[1].truth['requests'][0]['start'] = 106.2


def run_under_another_token(run: RunRecord) -> None:
    run.server_records[1].truth['requests'][0]['token'] = 2


def run_twice(run: RunRecord) -> None:
    run.server_records[1].truth['requests'].append(request('r1', 109.0, 3, 'op1'))


def lose_booking(run: RunRecord) -> None:
    del run.server_records[0].truth['requests'][0]


def run_refused(run: RunRecord) -> None:
    run.server_records[1].truth['requests'].append(request('r4.1', 109.0, 3))


def exceed_slots(run: RunRecord) -> None:
    run.server_records[0].truth['max_in_flight'] = 5


def exceed_connections(run: RunRecord) -> None:
    run.server_records[0].truth['max_connections'] = 10


def exceed_cold(run: RunRecord) -> None:
    run.server_records[0].truth['beyond_cold'] = 1


def work_while_out(run: RunRecord) -> None:
    run.server_records[0].truth['requests'][1]['start'] = 108.5


BREAKAGES: list[tuple[Callable[[RunRecord], None], Promise]] = [
    (overlap_grants, Promise.ONE_OWNER),
    (overlap_requests, Promise.ONE_OWNER),
    (run_outside_grant, Promise.UNDER_GRANT),
    (run_under_another_token, Promise.UNDER_GRANT),
    (run_twice, Promise.AT_MOST_ONCE),
    (lose_booking, Promise.ACKNOWLEDGED),
    (run_refused, Promise.NOT_RUN),
    (exceed_slots, Promise.LIMITS),
    (exceed_connections, Promise.LIMITS),
    (exceed_cold, Promise.COLD_START),
    (work_while_out, Promise.TAKEN_OUT),
]


def broken(run: RunRecord) -> set[Promise]:
    return {verdict.promise for verdict in judge(run) if not verdict.is_kept}


def test_a_good_run_keeps_every_promise() -> None:
    run = good_run()
    assert broken(run) == set()
    assert all(verdict.case_count for verdict in judge(run))


@pytest.mark.parametrize(('breakage', 'promise'), BREAKAGES)
def test_a_broken_promise_is_seen(
    breakage: Callable[[RunRecord], None], promise: Promise
) -> None:
    run = good_run()
    breakage(run)
    assert promise in broken(run)


@pytest.mark.parametrize('outcome', [Outcome.MISMATCHED, Outcome.TRUNCATED, Outcome.NO_ANSWER])
def test_a_wrong_or_missing_answer_is_seen(outcome: Outcome) -> None:
    run = good_run()
    run = run._replace(samples=(*run.samples, sample('r9', outcome)))
    assert Promise.WHOLE_ANSWERS in broken(run)
    excused = broken(run._replace(daemon_lost=True))
    assert (Promise.WHOLE_ANSWERS in excused) == (outcome is Outcome.MISMATCHED)


def test_a_refusal_without_its_word_is_seen() -> None:
    run = good_run()
    run = run._replace(samples=(sample('r9', Outcome.REFUSED),))
    assert Promise.WHOLE_ANSWERS in broken(run)


def test_work_after_the_return_is_right() -> None:
    run = good_run()
    work_while_out(run)
    back = Intervention(InterventionKind.BROUGHT_BACK, 108.2, frozenset({'a'}), 'a back')
    assert Promise.TAKEN_OUT not in broken(
        run._replace(interventions=(*run.interventions, back))
    )


def test_measures_of_a_run() -> None:
    run = good_run()
    assert compute_churn(run, 'slots') == (20, 10, 10)
    assert compute_unavailability(run, 'slots') == (10, 0.5, 0.5)
    assert compute_imbalance(run, 'slots', STARTED_AT, ENDED_AT) == pytest.approx(4 / 3)
    assert summarise_latency(list(run.samples))[:3] == (3, 1, 0)
    second = summarise_by_second(run, frozenset({'slots'}))[1]
    assert (second.number, second.latency.answered, second.title) == (1, 3, '')


def test_a_lost_server_holds_nothing() -> None:
    lost = Intervention(InterventionKind.LOST, 105.5, frozenset({'a'}), 'a lost')
    run = good_run()._replace(interventions=(lost,))
    assert compute_unavailability(run, 'slots') == (10, 1.0, 1.0)


def test_a_window_leaves_out_what_was_before_and_after() -> None:
    late = restrict_to_window(good_run(), 106.2, 107.0)
    assert [len(server.truth['requests']) for server in late.server_records] == [0, 0]
    assert (late.samples, late.interventions) == ((), ())
    assert compute_unavailability(late, 'slots') == (0, 0.0, 0.0)
    assert compute_unavailability(restrict_to_window(good_run(), 105.0, 110.0), 'slots') == (
        10,
        0.5,
        0.5,
    )


def test_the_report_names_each_broken_promise_and_its_case() -> None:
    run = good_run()
    assert 'BROKEN' not in render_report(run, judge(run))
    work_while_out(run)
    text = render_report(run, judge(run))
    assert text.count('BROKEN') == 2
    assert 'a began r2 after 3.50 s' in text


def test_a_server_that_checks_nothing_may_work_without_a_grant() -> None:
    run = good_run()
    run_outside_grant(run)
    unchecked = run.server_records[1].server._replace(checks_grants=False)
    run = run._replace(
        server_records=(
            run.server_records[0],
            ServerRecord(unchecked, run.server_records[1].truth),
        )
    )
    assert Promise.UNDER_GRANT not in broken(run)
    overlap_requests(run)
    assert Promise.ONE_OWNER in broken(run)
