"""Which refusals an entry daemon may answer with another attempt."""

from __future__ import annotations

import enum
from typing import NamedTuple

from coltsfootstair.results import Ran, Refusal, ResultCode

__all__ = ['Attempt', 'Repeat', 'may_hedge', 'may_repeat', 'pause_s', 'without_memory']

FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 0.25

_ROUTE_CHANGES = frozenset(
    {
        ResultCode.NOT_COORDINATOR,
        ResultCode.KEY_MOVING,
        ResultCode.NO_OWNER,
        ResultCode.COORDINATOR_UNREACHABLE,
        ResultCode.BACKEND_SERVER_DRAINING,
        ResultCode.OPERATION_NOT_REPLICATED,
    }
)
"""Refusals that tell of a change under way; no backend server had any work from them."""

_ELSEWHERE = frozenset(
    {ResultCode.SHED, ResultCode.OVERLOADED, ResultCode.DEADLINE_UNREACHABLE}
)
"""Refusals of one backend server that another one may not share."""

_BEFORE_MEMORY = _ROUTE_CHANGES | {ResultCode.NO_USABLE_SERVER, ResultCode.UPLOAD_MEMORY_FULL}


class Repeat(enum.StrEnum):
    """Whether there may be another attempt."""

    NO = 'no'
    ROUTE_AGAIN = 'route again'
    SPEND_BUDGET = 'spend budget'


class Attempt(NamedTuple):
    """What is known of a request when an attempt of it was refused.

    :param remembered: whether its operation id keeps a second attempt from running
    :param body_kept: whether the whole body can be sent again
    :param elsewhere: whether another backend server may answer
    """

    idempotent: bool
    remembered: bool
    body_kept: bool
    elsewhere: bool


def may_repeat(attempt: Attempt, refusal: Refusal) -> Repeat:
    """Tell whether a refused attempt may be followed by another one."""
    if not attempt.body_kept:
        return Repeat.NO
    if refusal.code in _ROUTE_CHANGES:
        safe = refusal.ran is Ran.NO or attempt.idempotent or attempt.remembered
        return Repeat.ROUTE_AGAIN if safe else Repeat.NO
    if refusal.code is ResultCode.OUTCOME_UNKNOWN and attempt.idempotent:
        return Repeat.SPEND_BUDGET
    if refusal.code in _ELSEWHERE and refusal.ran is Ran.NO and attempt.elsewhere:
        return Repeat.SPEND_BUDGET
    return Repeat.NO


def pause_s(attempts: int, jitter: float) -> float:
    """Return the seconds before the next attempt.

    :param attempts: attempts made so far, at least 1
    :param jitter: a random number from 0 to 1
    """
    longest = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2.0 ** (attempts - 1))
    return longest * (0.5 + jitter / 2)


def may_hedge(
    attempt: Attempt, *, divided_by_key: bool, waited_s: float, usual_s: float, busy: bool
) -> bool:
    """Tell whether a second attempt may run beside one that is still out.

    :param usual_s: the time after which most answers of the service are there
    :param busy: whether requests of the service wait or were refused for lack of room
    """
    if divided_by_key or busy or not attempt.elsewhere:
        return False
    return attempt.idempotent and attempt.body_kept and waited_s > usual_s


def without_memory(refusal: Refusal, *, has_operation_id: bool) -> Refusal:
    """Return what may be said to a caller where no memory of operations was asked.

    A resend may come here while the first attempt ran elsewhere, so that "not run" would
    be true of this attempt and untrue of the operation.
    """
    if not has_operation_id or refusal.code not in _BEFORE_MEMORY:
        return refusal
    return refusal._replace(ran=Ran.UNKNOWN)
