"""Checks the promises of a run against what the backend servers recorded."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.demo._run_record import (
    Intervention,
    InterventionKind,
    RunRecord,
    ServerRecord,
)
from coltsfootstair.demo._spans import Span, collect_spans_by_row
from coltsfootstair.load import Outcome

if TYPE_CHECKING:
    from coltsfootstair.standin import RequestTruth

__all__ = ['MAX_WORK_AFTER_TAKE_OUT_S', 'Promise', 'Verdict', 'judge']

MAX_WORK_AFTER_TAKE_OUT_S = 3.0
"""Time for which a data centre that was taken out may still get new work, in seconds."""


class Promise(enum.StrEnum):
    """A guarantee that must hold in every run."""

    ONE_OWNER = 'a key has at most one owner'
    UNDER_GRANT = 'a server that checks grants works on a key only under one'
    AT_MOST_ONCE = 'a booking runs at most once'
    ACKNOWLEDGED = 'an acknowledged booking has run'
    NOT_RUN = 'a refusal saying "not run" is true'
    COMPLETE_ANSWERS = 'each caller gets its own whole answer, or a refusal'
    LIMITS = 'slots and connections are never exceeded'
    COLD_START = 'a cold start gets no more than it bears'
    TAKEN_OUT = 'no new work 3 s after being taken out'


class Verdict(NamedTuple):
    """Whether a promise was kept.

    :param case_count: number of cases that could have violated it
    :param violations: a description of each case that did
    """

    promise: Promise
    case_count: int
    violations: tuple[str, ...]

    @property
    def is_kept(self) -> bool:
        """Whether no case violated the promise."""
        return not self.violations


class _CheckedCase(NamedTuple):
    """One checked case; an empty ``violation`` means that the promise was kept."""

    violation: str = ''


_Check = Callable[[RunRecord], Iterator[_CheckedCase]]
_KEPT = _CheckedCase()


def judge(record: RunRecord) -> list[Verdict]:
    """Return a verdict for each promise."""
    return [_build_verdict(promise, check(record)) for promise, check in _CHECKS.items()]


def _build_verdict(promise: Promise, cases: Iterator[_CheckedCase]) -> Verdict:
    checked_cases = list(cases)
    violations = tuple(case.violation for case in checked_cases if case.violation)
    return Verdict(promise, len(checked_cases), violations)


def _check_one_owner(record: RunRecord) -> Iterator[_CheckedCase]:
    for service in sorted(record.divided_services):
        for row, spans in collect_spans_by_row(record, service).items():
            yield from _find_overlaps(f'{service} row {row}', spans)
        spans_by_key: dict[str, list[Span]] = {}
        for server_record, request in _iter_requests(record):
            if server_record.server.service == service and request['key']:
                span = _build_span(server_record, request, record.ended_at)
                spans_by_key.setdefault(request['key'], []).append(span)
        for key, spans in spans_by_key.items():
            yield from _find_overlaps(f'{service} {key}', sorted(spans))


def _find_overlaps(subject: str, spans: list[Span]) -> Iterator[_CheckedCase]:
    latest: Span | None = None
    for span in spans:
        if latest is not None and span.server != latest.server and span.begin < latest.end:
            overlap_ms = (min(span.end, latest.end) - span.begin) * 1000
            yield _CheckedCase(
                f'{subject}: {latest.server} and {span.server} overlap for {overlap_ms:.1f} ms'
            )
        else:
            yield _KEPT
        if latest is None or span.end > latest.end:
            latest = span


def _check_under_grant(record: RunRecord) -> Iterator[_CheckedCase]:
    spans_by_service = {
        name: collect_spans_by_row(record, name) for name in record.divided_services
    }
    for server_record, request in _iter_requests(record):
        service, row = server_record.server.service, request['slot']
        if service not in record.divided_services or not server_record.server.checks_grants:
            continue
        spans = spans_by_service[service].get(-1 if row is None else row, [])
        is_granted = any(
            span.server == server_record.server.name
            and span.token == request['token']
            and span.begin <= request['start'] <= span.end
            for span in spans
        )
        subject = f'{request["request_id"]} ran on {server_record.server.name}, row {row}'
        yield _KEPT if is_granted else _CheckedCase(f'{subject}, without a grant')


def _check_at_most_once(record: RunRecord) -> Iterator[_CheckedCase]:
    for operation_id, runs in _count_runs_by_operation(record).items():
        yield _KEPT if runs == 1 else _CheckedCase(f'{operation_id} ran {runs} times')


def _check_acknowledged(record: RunRecord) -> Iterator[_CheckedCase]:
    runs = _count_runs_by_operation(record)
    for sample in record.samples:
        if sample.operation_id and sample.outcome is Outcome.COMPLETE:
            ran = sample.operation_id in runs
            yield (
                _KEPT
                if ran
                else _CheckedCase(f'{sample.operation_id} was acknowledged but never ran')
            )


def _check_not_run(record: RunRecord) -> Iterator[_CheckedCase]:
    # A daemon appends a dot and a number to the request id of each further attempt.
    ran = {request['request_id'].partition('.')[0] for _, request in _iter_requests(record)}
    for sample in record.samples:
        if sample.outcome is Outcome.REFUSED and sample.ran == 'no':
            has_run = sample.request_id in ran
            text = f'{sample.request_id} ({sample.service}, result {sample.result}) ran'
            yield _CheckedCase(text) if has_run else _KEPT


def _check_complete_answers(record: RunRecord) -> Iterator[_CheckedCase]:
    for sample in record.samples:
        match sample.outcome:
            case Outcome.COMPLETE | Outcome.FAILED | Outcome.UNSENT:
                is_violation = False
            case Outcome.REFUSED:
                is_violation = sample.ran not in ('no', 'unknown')
            case Outcome.MISMATCHED:
                is_violation = True
            case Outcome.TRUNCATED | Outcome.NO_ANSWER:
                is_violation = not record.daemon_lost
        at_s = sample.due_at - record.started_at
        text = f'{sample.service} {sample.key} at {at_s:.1f} s: {sample.outcome}'
        yield _CheckedCase(f'{text} {sample.request_id}'.strip()) if is_violation else _KEPT


def _check_limits(record: RunRecord) -> Iterator[_CheckedCase]:
    for server, truth in record.server_records:
        for subject, maximum, limit in (
            ('requests in flight', truth['max_in_flight'], server.slots),
            ('connections', truth['max_connections'], server.connections),
        ):
            text = f'{server.name}: {maximum} {subject}, {limit} allowed'
            yield _CheckedCase(text) if maximum > limit else _KEPT


def _check_cold_start(record: RunRecord) -> Iterator[_CheckedCase]:
    for server, truth in record.server_records:
        excess_count = truth['beyond_cold']
        yield (
            _CheckedCase(
                f'{server.name}: {excess_count} requests beyond its capacity while cold'
            )
            if excess_count
            else _KEPT
        )


def _check_taken_out(record: RunRecord) -> Iterator[_CheckedCase]:
    for intervention in record.interventions:
        if intervention.kind is InterventionKind.TAKEN_OUT:
            yield from _check_work_while_out(record, intervention)


def _check_work_while_out(
    record: RunRecord, taken_out: Intervention
) -> Iterator[_CheckedCase]:
    brought_back_times = [
        each.at
        for each in record.interventions
        if each.kind is InterventionKind.BROUGHT_BACK
        and each.at > taken_out.at
        and each.servers & taken_out.servers
    ]
    brought_back_at = min(brought_back_times, default=record.ended_at)
    for server_record, request in _iter_requests(record):
        if server_record.server.name not in taken_out.servers:
            continue
        after_s = request['start'] - taken_out.at
        is_violation = (
            after_s > MAX_WORK_AFTER_TAKE_OUT_S and request['start'] < brought_back_at
        )
        text = (
            f'{server_record.server.name} started {request["request_id"]} '
            f'{after_s:.2f} s after it was taken out'
        )
        yield _CheckedCase(text) if is_violation else _KEPT


def _iter_requests(record: RunRecord) -> Iterator[tuple[ServerRecord, RequestTruth]]:
    for server_record in record.server_records:
        for request in server_record.truth['requests']:
            yield server_record, request


def _count_runs_by_operation(record: RunRecord) -> Counter[str]:
    ids = (request['operation_id'] for _, request in _iter_requests(record))
    return Counter(operation_id for operation_id in ids if operation_id)


def _build_span(server_record: ServerRecord, request: RequestTruth, ended_at: float) -> Span:
    end = ended_at if request['end'] is None else request['end']
    start = request['start']
    return Span(start, max(start, end), server_record.server.name, request['token'] or 0)


_CHECKS: dict[Promise, _Check] = {
    Promise.ONE_OWNER: _check_one_owner,
    Promise.UNDER_GRANT: _check_under_grant,
    Promise.AT_MOST_ONCE: _check_at_most_once,
    Promise.ACKNOWLEDGED: _check_acknowledged,
    Promise.NOT_RUN: _check_not_run,
    Promise.COMPLETE_ANSWERS: _check_complete_answers,
    Promise.LIMITS: _check_limits,
    Promise.COLD_START: _check_cold_start,
    Promise.TAKEN_OUT: _check_taken_out,
}
