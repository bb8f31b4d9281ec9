"""Events that admission handles, and the effects that it returns."""

from __future__ import annotations

import enum
from typing import NamedTuple

from coltsfootstair.results import Refusal

__all__ = [
    'Abandoned',
    'Cancelled',
    'CoordinationChanged',
    'Dispatch',
    'DrainChanged',
    'Effect',
    'Event',
    'Finished',
    'InheritedRequests',
    'LimitsChanged',
    'Outcome',
    'ProbeResult',
    'Refuse',
    'Submitted',
    'Tick',
]


class Outcome(enum.StrEnum):
    """How the exchange of one request with the backend server ended."""

    ANSWERED = 'answered'
    SHED = 'shed'
    FAILED = 'failed'
    NOT_SENT = 'not sent'


class Submitted(NamedTuple):
    """A request needs a slot.

    :param caller: the caller whose share of the queue it counts against
    :param key: the key, or an empty string
    :param deadline: monotonic seconds by which the caller expects the answer
    :param idempotent: whether it may be sent again after the backend server has shed it
    :param is_upload: whether it is an upload, whose running time shows nothing about the
        server
    :param was_shed: whether the backend server has already shed it; set by admission
    """

    request_id: str
    caller: str
    key: str
    deadline: float
    idempotent: bool
    is_upload: bool = False
    was_shed: bool = False


class Finished(NamedTuple):
    """A dispatched request no longer occupies its slot.

    After the outcome ``SHED`` admission dispatches the request again or refuses it. After
    any other outcome the coordinator answers the request.

    :param duration_s: how long the exchange took, in seconds
    """

    request_id: str
    outcome: Outcome
    duration_s: float


class Abandoned(NamedTuple):
    """A dispatched request was abandoned or broke off; the server may still run it.

    Nothing more is sent to its caller, but the request occupies its slot until ``Finished``
    reports that the server no longer runs it.

    :param until: monotonic seconds at which the slot is freed at the latest
    """

    request_id: str
    until: float


class Cancelled(NamedTuple):
    """The caller of a waiting request has left."""

    request_id: str


class LimitsChanged(NamedTuple):
    """The operators' document sets other limits for the backend server.

    :param slots: how many requests the server works on at once
    :param connections: how many connections the server accepts
    """

    slots: int
    connections: int


class ProbeResult(NamedTuple):
    """A probe of the backend server was answered, or failed.

    :param ok: whether it was answered
    :param instance: identifies the server's process; a new value means a restart
    :param cold: whether the server reports a cold start; the report can limit what the
        server is given, but never raise it
    :param reported_load: the load that the server reports; admission does not use it
    """

    ok: bool
    instance: str = ''
    cold: bool = False
    reported_load: float = 0.0


class DrainChanged(NamedTuple):
    """Operators have started or ended draining of the backend server."""

    draining: bool


class CoordinationChanged(NamedTuple):
    """This daemon may now coordinate the backend server, or may no longer."""

    may_coordinate: bool


class InheritedRequests(NamedTuple):
    """Requests of the server's previous coordinator may still run at the server.

    :param request_count: how many of them may still run
    :param until: monotonic seconds until which they are assumed to run
    """

    request_count: int
    until: float


class Tick(NamedTuple):
    """Time has passed; due timeouts are handled."""


class Dispatch(NamedTuple):
    """Send the request to the backend server."""

    request_id: str


class Refuse(NamedTuple):
    """Answer the request with a refusal; it has not run."""

    request_id: str
    refusal: Refusal


Event = (
    Submitted
    | Finished
    | Abandoned
    | Cancelled
    | LimitsChanged
    | ProbeResult
    | DrainChanged
    | CoordinationChanged
    | InheritedRequests
    | Tick
)
Effect = Dispatch | Refuse
