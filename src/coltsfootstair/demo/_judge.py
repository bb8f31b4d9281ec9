"""Judges a run's promises by what the backend servers truly saw."""

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
from coltsfootstair.demo._spans import Span, spans_by_slot
from coltsfootstair.load import Outcome

if TYPE_CHECKING:
    from coltsfootstair.standin import RequestTruth

__all__ = ['TAKEN_OUT_WITHIN_S', 'Promise', 'Verdict', 'judge']

TAKEN_OUT_WITHIN_S = 3.0
"""How long a data centre that was taken out may still get new work, in seconds."""


class Promise(enum.StrEnum):
    """What must hold in every run."""

    ONE_OWNER = 'a key has at most one owner'
    UNDER_GRANT = 'a server that checks grants works on a key only under one'
    AT_MOST_ONCE = 'a booking runs at most once'
    ACKNOWLEDGED = 'an acknowledged booking has run'
    NOT_RUN = 'a refusal saying "not run" is true'
    WHOLE_ANSWERS = 'each caller gets its own whole answer, or a refusal'
    LIMITS = 'slots and connections are never exceeded'
    COLD_START = 'a cold start gets no more than it bears'
    TAKEN_OUT = 'no new work 3 s after being taken out'


class Verdict(NamedTuple):
    """Whether a promise was kept.

    :param case_count: how many cases could have broken it
    :param violations: one text for each case that did
    """

    promise: Promise
    case_count: int
    violations: tuple[str, ...]

    @property
    def is_kept(self) -> bool:
        """Whether nothing broke the promise."""
        return not self.violations


class _Finding(NamedTuple):
    """One checked case; an empty fault means that it was right."""

    fault: str = ''


_Check = Callable[[RunRecord], Iterator[_Finding]]
_RIGHT = _Finding()


def judge(record: RunRecord) -> list[Verdict]:
    """Return a verdict for each promise."""
    return [_verdict(promise, check(record)) for promise, check in _CHECKS.items()]


def _verdict(promise: Promise, findings: Iterator[_Finding]) -> Verdict:
    found = list(findings)
    faults = tuple(finding.fault for finding in found if finding.fault)
    return Verdict(promise, len(found), faults)


def _one_owner(record: RunRecord) -> Iterator[_Finding]:
    for service in sorted(record.divided_services):
        for slot, spans in spans_by_slot(record, service).items():
            yield from _overlaps(f'{service} slot {slot}', spans)
        spans_by_key: dict[str, list[Span]] = {}
        for server, request in _requests(record):
            if server.server.service == service and request['key']:
                span = _span(server, request, record.ended_at)
                spans_by_key.setdefault(request['key'], []).append(span)
        for key, spans in spans_by_key.items():
            yield from _overlaps(f'{service} {key}', sorted(spans))


def _overlaps(what: str, spans: list[Span]) -> Iterator[_Finding]:
    latest: Span | None = None
    for span in spans:
        if latest is not None and span.server != latest.server and span.begin < latest.end:
            over_ms = (min(span.end, latest.end) - span.begin) * 1000
            yield _Finding(f'{what}: {latest.server} and {span.server} for {over_ms:.1f} ms')
        else:
            yield _RIGHT
        if latest is None or span.end > latest.end:
            latest = span


def _under_grant(record: RunRecord) -> Iterator[_Finding]:
    spans_by_service = {name: spans_by_slot(record, name) for name in record.divided_services}
    for server, request in _requests(record):
        service, slot = server.server.service, request['slot']
        if service not in record.divided_services or not server.server.checks_grants:
            continue
        spans = spans_by_service[service].get(-1 if slot is None else slot, [])
        held = any(
            span.server == server.server.name
            and span.token == request['token']
            and span.begin <= request['start'] <= span.end
            for span in spans
        )
        where = f'{request["request_id"]} on {server.server.name}, slot {slot}'
        yield _RIGHT if held else _Finding(f'{where}: no grant')


def _at_most_once(record: RunRecord) -> Iterator[_Finding]:
    for operation_id, runs in _runs_by_operation(record).items():
        yield _RIGHT if runs == 1 else _Finding(f'{operation_id} ran {runs} times')


def _acknowledged(record: RunRecord) -> Iterator[_Finding]:
    runs = _runs_by_operation(record)
    for sample in record.samples:
        if sample.operation_id and sample.outcome is Outcome.COMPLETE:
            ran = sample.operation_id in runs
            yield _RIGHT if ran else _Finding(f'{sample.operation_id} never ran')


def _not_run(record: RunRecord) -> Iterator[_Finding]:
    ran = {request['request_id'].partition('.')[0] for _, request in _requests(record)}
    for sample in record.samples:
        if sample.outcome is Outcome.REFUSED and sample.ran == 'no':
            false = sample.request_id in ran
            text = f'{sample.request_id} ({sample.service}, result {sample.result}) ran'
            yield _Finding(text) if false else _RIGHT


def _whole_answers(record: RunRecord) -> Iterator[_Finding]:
    for sample in record.samples:
        match sample.outcome:
            case Outcome.COMPLETE | Outcome.FAILED | Outcome.UNSENT:
                wrong = False
            case Outcome.REFUSED:
                wrong = sample.ran not in ('no', 'unknown')
            case Outcome.MISMATCHED:
                wrong = True
            case Outcome.TRUNCATED | Outcome.NO_ANSWER:
                wrong = not record.daemon_lost
        at_s = sample.due_at - record.started_at
        text = f'{sample.service} {sample.key} at {at_s:.1f} s: {sample.outcome}'
        yield _Finding(f'{text} {sample.request_id}'.strip()) if wrong else _RIGHT


def _limits(record: RunRecord) -> Iterator[_Finding]:
    for server, truth in record.server_records:
        for what, most, limit in (
            ('requests in flight', truth['max_in_flight'], server.slots),
            ('connections', truth['max_connections'], server.connections),
        ):
            over = f'{server.name}: {most} {what}, {limit} allowed'
            yield _Finding(over) if most > limit else _RIGHT


def _cold_start(record: RunRecord) -> Iterator[_Finding]:
    for server, truth in record.server_records:
        beyond = truth['beyond_cold']
        yield _Finding(f'{server.name}: {beyond} beyond one while cold') if beyond else _RIGHT


def _taken_out(record: RunRecord) -> Iterator[_Finding]:
    for intervention in record.interventions:
        if intervention.kind is InterventionKind.TAKEN_OUT:
            yield from _work_while_out(record, intervention)


def _work_while_out(record: RunRecord, taken_out: Intervention) -> Iterator[_Finding]:
    back = [
        each.at
        for each in record.interventions
        if each.kind is InterventionKind.BROUGHT_BACK
        and each.at > taken_out.at
        and each.servers & taken_out.servers
    ]
    back_at = min(back, default=record.ended_at)
    for server, request in _requests(record):
        if server.server.name not in taken_out.servers:
            continue
        after_s = request['start'] - taken_out.at
        late = after_s > TAKEN_OUT_WITHIN_S and request['start'] < back_at
        text = f'{server.server.name} began {request["request_id"]} after {after_s:.2f} s'
        yield _Finding(text) if late else _RIGHT


def _requests(record: RunRecord) -> Iterator[tuple[ServerRecord, RequestTruth]]:
    for server_record in record.server_records:
        for request in server_record.truth['requests']:
            yield server_record, request


def _runs_by_operation(record: RunRecord) -> Counter[str]:
    ids = (request['operation_id'] for _, request in _requests(record))
    return Counter(operation_id for operation_id in ids if operation_id)


def _span(server_record: ServerRecord, request: RequestTruth, ended_at: float) -> Span:
    end = ended_at if request['end'] is None else request['end']
    start = request['start']
    return Span(start, max(start, end), server_record.server.name, request['token'] or 0)


_CHECKS: dict[Promise, _Check] = {
    Promise.ONE_OWNER: _one_owner,
    Promise.UNDER_GRANT: _under_grant,
    Promise.AT_MOST_ONCE: _at_most_once,
    Promise.ACKNOWLEDGED: _acknowledged,
    Promise.NOT_RUN: _not_run,
    Promise.WHOLE_ANSWERS: _whole_answers,
    Promise.LIMITS: _limits,
    Promise.COLD_START: _cold_start,
    Promise.TAKEN_OUT: _taken_out,
}
