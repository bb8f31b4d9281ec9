"""The record of one run, from which promises are checked and measures computed."""

from __future__ import annotations

import enum
from typing import NamedTuple

from coltsfootstair.document import BackendServer
from coltsfootstair.load import Sample
from coltsfootstair.standin import BackendServerTruth

__all__ = [
    'Intervention',
    'InterventionKind',
    'RunRecord',
    'ServerRecord',
    'restrict_to_window',
]


class InterventionKind(enum.StrEnum):
    """Kind of an intervention in the work of backend servers."""

    TAKEN_OUT = 'taken out'
    BROUGHT_BACK = 'brought back'
    SLOWED = 'slowed'
    LOST = 'lost'


class Intervention(NamedTuple):
    """Something that was done to backend servers during a run.

    :param at: monotonic seconds; for an operators' change, the time of its acceptance
    :param servers: names of the backend servers
    :param title: text for reports
    """

    kind: InterventionKind
    at: float
    servers: frozenset[str]
    title: str


class ServerRecord(NamedTuple):
    """A backend server as described in the operators' document, and what it recorded."""

    server: BackendServer
    truth: BackendServerTruth


class RunRecord(NamedTuple):
    """All that was recorded during one run.

    :param samples: the requests, as their callers observed them
    :param divided_services: names of the services that are divided by key
    :param upload_services: names of the services that take uploads
    :param started_at: monotonic seconds
    :param ended_at: monotonic seconds just before the truth of the servers was read
    :param daemon_lost: whether a daemon was ended without a graceful shutdown
    """

    server_records: tuple[ServerRecord, ...]
    samples: tuple[Sample, ...]
    interventions: tuple[Intervention, ...]
    divided_services: frozenset[str]
    started_at: float
    ended_at: float
    upload_services: frozenset[str] = frozenset()
    daemon_lost: bool = False


def restrict_to_window(record: RunRecord, begin: float, end: float) -> RunRecord:
    """Return the part of the record between two times, in monotonic seconds.

    The maxima of requests and connections still cover the whole run.
    """
    return record._replace(
        server_records=tuple(
            ServerRecord(server, _restrict_truth(truth, begin, end))
            for server, truth in record.server_records
        ),
        samples=tuple(each for each in record.samples if begin <= each.due_at < end),
        interventions=tuple(each for each in record.interventions if begin <= each.at < end),
        started_at=begin,
        ended_at=min(end, record.ended_at),
    )


def _restrict_truth(truth: BackendServerTruth, begin: float, end: float) -> BackendServerTruth:
    grants = [each.copy() for each in truth['grants'] if each['to'] > begin]
    for grant in grants:
        grant['from'] = max(grant['from'], begin)
    return {
        **truth,
        'requests': [each for each in truth['requests'] if begin <= each['start'] < end],
        'grants': [each for each in grants if each['from'] < end],
    }
