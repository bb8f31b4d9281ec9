"""The measures of the brief, worked out from what one run showed."""

from __future__ import annotations

import itertools
import statistics
from collections import Counter
from typing import NamedTuple

from coltsfootstair.demo._run_record import InterventionKind, RunRecord
from coltsfootstair.demo._spans import Span, spans_by_slot
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
    """How many changes of a slot's owner there were, and had to be."""

    slots: int
    moves: int
    least: int


class Unavailability(NamedTuple):
    """Time for which slots that had an owner had none, in seconds.

    :param slots: how many slots this happened to
    """

    slots: int
    median_s: float
    longest_s: float


class Latency(NamedTuple):
    """Latency of whole answers in milliseconds, and how many answers were not whole."""

    answered: int
    refused: int
    failed: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


class SecondSummary(NamedTuple):
    """The requests that were due in one second."""

    number: int
    latency: Latency
    title: str


def compute_imbalance(record: RunRecord, service: str, begin: float, end: float) -> float:
    """Return the peak over the mean of requests for each server of ``service``."""
    counts = [
        sum(begin <= request['start'] < end for request in truth['requests'])
        for server, truth in record.server_records
        if server.service == service
    ]
    mean = statistics.fmean(counts) if counts else 0.0
    return max(counts) / mean if mean else 0.0


def compute_churn(record: RunRecord, service: str) -> Churn:
    """Return the moves of slots between servers."""
    by_slot = spans_by_slot(record, service)
    moves = sum(
        before.server != after.server
        for spans in by_slot.values()
        for before, after in itertools.pairwise(spans)
    )
    return Churn(len(by_slot), moves, _least_moves(record, service, by_slot))


def compute_unavailability(record: RunRecord, service: str) -> Unavailability:
    """Return how long slots were without an owner after they first had one."""
    longest_by_slot: list[float] = []
    for spans in spans_by_slot(record, service).values():
        held_to = spans[0].end
        longest = 0.0
        for span in spans[1:]:
            longest = max(longest, span.begin - held_to)
            held_to = max(held_to, span.end)
        longest = max(longest, record.ended_at - held_to)
        if longest > 0:
            longest_by_slot.append(longest)
    if not longest_by_slot:
        return Unavailability(0, 0.0, 0.0)
    median = statistics.median(longest_by_slot)
    return Unavailability(len(longest_by_slot), median, max(longest_by_slot))


def summarise_latency(samples: list[Sample]) -> Latency:
    """Return how requests were answered."""
    outcomes = Counter(sample.outcome for sample in samples)
    answered, refused = outcomes[Outcome.COMPLETE], outcomes[Outcome.REFUSED]
    failed = len(samples) - answered - refused
    return Latency(answered, refused, failed, *compute_latencies_ms(samples, 50, 99, 99.9))


def summarise_by_second(record: RunRecord, services: frozenset[str]) -> list[SecondSummary]:
    """Return how the requests of ``services`` were answered, second by second."""
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


def _least_moves(record: RunRecord, service: str, by_slot: dict[int, list[Span]]) -> int:
    """Count what had to move: all that leaving servers held, and a fair share back."""
    present = {w.server.name for w in record.server_records if w.server.service == service}
    least = 0
    for intervention in sorted(record.interventions, key=lambda each: each.at):
        if intervention.kind in (InterventionKind.LOST, InterventionKind.TAKEN_OUT):
            leaving = intervention.servers & present
            least += sum(
                _held_by(leaving, spans, intervention.at) for spans in by_slot.values()
            )
            present = present - leaving
        elif intervention.kind is InterventionKind.BROUGHT_BACK:
            own = {w.server.name for w in record.server_records if w.server.service == service}
            returning = (intervention.servers & own) - present
            present |= returning
            least += len(by_slot) * len(returning) // max(1, len(present))
    return least


def _held_by(servers: frozenset[str], spans: list[Span], at: float) -> bool:
    before = [span for span in spans if span.begin <= at]
    return bool(before) and before[-1].server in servers
