"""Events that go into the admission decisions, and the effects that come out."""

from __future__ import annotations

import enum
from typing import NamedTuple

from coltsfootstair.results import Refusal

__all__ = [
    'Abandoned',
    'Cancelled',
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
    'RightsChanged',
    'Submitted',
    'Tick',
]


class Outcome(enum.StrEnum):
    """How an exchange with the backend server ended."""

    ANSWERED = 'answered'
    SHED = 'shed'
    FAILED = 'failed'
    NOT_SENT = 'not sent'


class Submitted(NamedTuple):
    """A request asks for a slot.

    :param caller: whom fairness counts it against
    :param key: the key, or an empty string
    :param deadline: monotonic seconds by which the caller wants the answer
    :param long: whether it is an upload, whose running time says nothing of the server
    :param shed_before: whether the backend server has shed it already; set by admission
    """

    request_id: str
    caller: str
    key: str
    deadline: float
    idempotent: bool
    long: bool = False
    shed_before: bool = False


class Finished(NamedTuple):
    """A dispatched request no longer occupies its slot.

    On ``SHED`` admission either dispatches the request again later or refuses it; the
    coordinator answers it itself on the other outcomes.

    :param seconds: how long the exchange took
    """

    request_id: str
    outcome: Outcome
    seconds: float


class Abandoned(NamedTuple):
    """A dispatched request broke off or was given up; the server may still run it.

    Its caller has its final answer, but it occupies its slot until ``until`` (monotonic
    seconds), or until ``Finished`` tells that the server no longer runs it.
    """

    request_id: str
    until: float


class Cancelled(NamedTuple):
    """The caller of a waiting request has gone."""

    request_id: str


class LimitsChanged(NamedTuple):
    """The operators' document gives other limits."""

    slots: int
    connections: int


class ProbeResult(NamedTuple):
    """A probe of the backend server was answered, or failed.

    :param instance: the server's process; another one than before means a restart
    :param cold: the server's own word; advice only
    """

    ok: bool
    instance: str = ''
    cold: bool = False
    reported_load: float = 0.0


class DrainChanged(NamedTuple):
    """Operators take the backend server out, or bring it back."""

    draining: bool


class RightsChanged(NamedTuple):
    """The coordinator has gained or lost the right to act."""

    may_act: bool


class InheritedRequests(NamedTuple):
    """Requests of an earlier coordinator may still run there until ``until``."""

    requests: int
    until: float


class Tick(NamedTuple):
    """Time has passed."""


class Dispatch(NamedTuple):
    """Send the request to the backend server now."""

    request_id: str


class Refuse(NamedTuple):
    """Answer the request with a refusal now; it has not been sent."""

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
    | RightsChanged
    | InheritedRequests
    | Tick
)
Effect = Dispatch | Refuse
