"""Imbalance, churn, unavailability and latency, computed from the record of a run."""

from __future__ import annotations

import itertools
import statistics
from collections import Counter
from typing import NamedTuple

from coltsfootstair.demo._run_record import InterventionKind, RunRecord
from coltsfootstair.demo._spans import Span, collect_spans_by_row
from coltsfootstair.load import Outcome, Sample, compute_latencies_ms

__all__ = [
    'Churn',
    'Latency',
    'SecondSummary',
    'Unavailability',
    'compute_churn',
    'compute_imbalance',
    'compute_unavailability',
    'summarise_by_second',
    'summarise_latency',
]


class Churn(NamedTuple):
    """How often rows changed their owner.

    The field names are keys of the JSON file that ``bench.deployments`` writes.

    :param slots: number of rows
    :param moves: number of changes of a row's owner
    :param least: minimum number of changes that the interventions required
    """

    slots: int
    moves: int
    least: int


class Unavailability(NamedTuple):
    """Time for which rows were without an owner after they first had one.

    The field names are keys of the JSON file that ``bench.deployments`` writes.

    :param slots: number of rows that were without an owner
    :param median_s: median of the longest such time of each of these rows, in seconds
    :param longest_s: longest such time of all rows, in seconds
    """

    slots: int
    median_s: float
    longest_s: float


class Latency(NamedTuple):
    """Latency of complete answers in milliseconds, and the number of answers by outcome.

    The field names are keys of the JSON file that ``bench.deployments`` writes.

    :param failed: number of requests that were neither answered completely nor refused
    """

    answered: int
    refused: int
    failed: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


class SecondSummary(NamedTuple):
    """Summary of the requests that were due in one second of a run.

    :param number: whole seconds since the run started
    :param title: the interventions in this second; empty if there were none
    """

    number: int
    latency: Latency
    title: str


def compute_imbalance(record: RunRecord, service: str, begin: float, end: float) -> float:
    """Return the maximum over the mean of the requests per server of ``service``.

    Requests count if the servers' own records have their start between ``begin`` and ``end``.
    Returns 0 if there are none.

    :param begin: monotonic seconds
    :param end: monotonic seconds, exclusive
    """
    counts = [
        sum(begin <= request['start'] < end for request in truth['requests'])
        for server, truth in record.server_records
        if server.service == service
    ]
    mean = statistics.fmean(counts) if counts else 0.0
    return max(counts) / mean if mean else 0.0


def compute_churn(record: RunRecord, service: str) -> Churn:
    """Return how often the rows of ``service`` moved between servers."""
    spans_by_row = collect_spans_by_row(record, service)
    move_count = sum(
        before.server != after.server
        for spans in spans_by_row.values()
        for before, after in itertools.pairwise(spans)
    )
    return Churn(
        len(spans_by_row), move_count, _count_required_moves(record, service, spans_by_row)
    )


def compute_unavailability(record: RunRecord, service: str) -> Unavailability:
    """Return how long rows of ``service`` were without an owner after they first had one.

    Only the longest gap of each row counts. The time from the end of a row's last ownership to
    the end of the run is a gap too.
    """
    longest_by_row: list[float] = []
    for spans in collect_spans_by_row(record, service).values():
        owned_until = spans[0].end
        longest = 0.0
        for span in spans[1:]:
            longest = max(longest, span.begin - owned_until)
            owned_until = max(owned_until, span.end)
        longest = max(longest, record.ended_at - owned_until)
        if longest > 0:
            longest_by_row.append(longest)
    if not longest_by_row:
        return Unavailability(0, 0.0, 0.0)
    median = statistics.median(longest_by_row)
    return Unavailability(len(longest_by_row), median, max(longest_by_row))


def summarise_latency(samples: list[Sample]) -> Latency:
    """Return the latency and the outcomes of requests."""
    outcomes = Counter(sample.outcome for sample in samples)
    answered, refused = outcomes[Outcome.COMPLETE], outcomes[Outcome.REFUSED]
    failed = len(samples) - answered - refused
    return Latency(answered, refused, failed, *compute_latencies_ms(samples, 50, 99, 99.9))


def summarise_by_second(record: RunRecord, services: frozenset[str]) -> list[SecondSummary]:
    """Return the latency and the outcomes of the requests of ``services`` for each second."""
    by_second: dict[int, list[Sample]] = {}
    for sample in record.samples:
        if sample.service in services:
            by_second.setdefault(int(sample.due_at - record.started_at), []).append(sample)
    titles: dict[int, str] = {}
    for intervention in record.interventions:
        number = int(intervention.at - record.started_at)
        titles[number] = ', '.join(filter(None, (titles.get(number), intervention.title)))
    numbers = range(max(by_second, default=-1) + 1)
    return [
        SecondSummary(
            number, summarise_latency(by_second.get(number, [])), titles.get(number, '')
        )
        for number in numbers
    ]


def _count_required_moves(
    record: RunRecord, service: str, spans_by_row: dict[int, list[Span]]
) -> int:
    """Count the moves that the interventions required.

    These are all rows of servers that left, and an equal share of all rows for each server
    that returned.
    """
    serving_servers = {
        each.server.name for each in record.server_records if each.server.service == service
    }
    required_count = 0
    for intervention in sorted(record.interventions, key=lambda each: each.at):
        if intervention.kind in (InterventionKind.LOST, InterventionKind.TAKEN_OUT):
            removed_servers = intervention.servers & serving_servers
            required_count += sum(
                _is_owned_by(removed_servers, spans, intervention.at)
                for spans in spans_by_row.values()
            )
            serving_servers = serving_servers - removed_servers
        elif intervention.kind is InterventionKind.BROUGHT_BACK:
            service_servers = {
                each.server.name
                for each in record.server_records
                if each.server.service == service
            }
            returned_servers = (intervention.servers & service_servers) - serving_servers
            serving_servers |= returned_servers
            required_count += (
                len(spans_by_row) * len(returned_servers) // max(1, len(serving_servers))
            )
    return required_count


def _is_owned_by(servers: frozenset[str], spans: list[Span], at: float) -> bool:
    """Return whether the last span begun by ``at`` is of one of ``servers``.

    The span counts even if it had ended by then.
    """
    before = [span for span in spans if span.begin <= at]
    return bool(before) and before[-1].server in servers
