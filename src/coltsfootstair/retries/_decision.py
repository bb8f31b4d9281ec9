"""Which refusals an entry daemon may answer with another attempt."""

from __future__ import annotations

import enum
from typing import NamedTuple

from coltsfootstair.results import Ran, Refusal, ResultCode

__all__ = [
    'AttemptFacts',
    'RetryDecision',
    'decide_retry',
    'mask_unverified_outcome',
    'may_hedge',
    'retry_delay_s',
]

FIRST_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.25

_ROUTING_CHANGES = frozenset(
    {
        ResultCode.NOT_COORDINATOR,
        ResultCode.KEY_MOVING,
        ResultCode.NO_OWNER,
        ResultCode.COORDINATOR_UNREACHABLE,
        ResultCode.BACKEND_SERVER_OUT,
        ResultCode.OPERATION_NOT_NOTED,
    }
)
"""Refusals that tell of a change under way; no backend server had any work from them."""

_SERVER_SPECIFIC = frozenset(
    {ResultCode.SHED, ResultCode.OVERLOADED, ResultCode.QUEUE_DEADLINE}
)
"""Refusals of one backend server that another one may not share."""

_BEFORE_DEDUPLICATION = _ROUTING_CHANGES | {
    ResultCode.SERVICE_OUT,
    ResultCode.UPLOAD_MEMORY_FULL,
}


class RetryDecision(enum.StrEnum):
    """Whether there may be another attempt."""

    NO = 'no'
    ROUTE_AGAIN = 'route again'
    SPEND_BUDGET = 'spend budget'


class AttemptFacts(NamedTuple):
    """What is known of a request when an attempt of it was refused.

    :param remembered: whether its operation id keeps a second attempt from running
    :param body_kept: whether the whole body can be sent again
    :param elsewhere: whether another backend server may answer
    """

    is_idempotent: bool
    is_deduplicated: bool
    is_body_replayable: bool
    has_alternative_server: bool


def decide_retry(attempt: AttemptFacts, refusal: Refusal) -> RetryDecision:
    """Tell whether a refused attempt may be followed by another one."""
    if not attempt.is_body_replayable:
        return RetryDecision.NO
    if refusal.code in _ROUTING_CHANGES:
        is_safe = refusal.ran is Ran.NO or attempt.is_idempotent or attempt.is_deduplicated
        return RetryDecision.ROUTE_AGAIN if is_safe else RetryDecision.NO
    if refusal.code is ResultCode.OUTCOME_UNKNOWN and attempt.is_idempotent:
        return RetryDecision.SPEND_BUDGET
    if (
        refusal.code in _SERVER_SPECIFIC
        and refusal.ran is Ran.NO
        and attempt.has_alternative_server
    ):
        return RetryDecision.SPEND_BUDGET
    return RetryDecision.NO


def retry_delay_s(attempts: int, jitter: float) -> float:
    """Return the seconds before the next attempt.

    :param attempts: attempts made so far, at least 1
    :param jitter: a random number from 0 to 1
    """
    max_delay_s = min(MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2.0 ** (attempts - 1))
    return max_delay_s * (0.5 + jitter / 2)


def may_hedge(
    attempt: AttemptFacts,
    *,
    divided_by_key: bool,
    waited_s: float,
    typical_answer_s: float,
    is_overloaded: bool,
) -> bool:
    """Tell whether a second attempt may run beside one that is still out.

    :param usual_s: the time after which most answers of the service are there
    :param busy: whether requests of the service wait or were refused for lack of room
    """
    if divided_by_key or is_overloaded or not attempt.has_alternative_server:
        return False
    return attempt.is_idempotent and attempt.is_body_replayable and waited_s > typical_answer_s


def mask_unverified_outcome(refusal: Refusal, *, has_operation_id: bool) -> Refusal:
    """Return what may be said to a caller where no memory of operations was asked.

    A resend may come here while the first attempt ran elsewhere, so that "not run" would
    be true of this attempt and untrue of the operation.
    """
    if not has_operation_id or refusal.code not in _BEFORE_DEDUPLICATION:
        return refusal
    return refusal._replace(ran=Ran.UNKNOWN)
