"""Decides whether a refused attempt is retried, and when."""

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
"""Maximum delay before the first retry, in seconds; it doubles with each further one."""

MAX_RETRY_DELAY_S = 0.25
"""Maximum delay before a retry, in seconds."""

_ROUTING_CHANGES = frozenset(
    {
        ResultCode.NOT_COORDINATOR,
        ResultCode.KEY_MOVING,
        ResultCode.NO_OWNER,
        ResultCode.COORDINATOR_UNREACHABLE,
        ResultCode.BACKEND_SERVER_DRAINING,
        ResultCode.OPERATION_NOT_REPLICATED,
    }
)
"""Refusals that report a routing change in progress; they cost no backend server any work."""

_SERVER_SPECIFIC = frozenset(
    {ResultCode.SHED, ResultCode.OVERLOADED, ResultCode.DEADLINE_UNREACHABLE}
)
"""Refusals by one backend server that do not apply to another one."""

_BEFORE_DEDUPLICATION = _ROUTING_CHANGES | {
    ResultCode.NO_USABLE_SERVER,
    ResultCode.UPLOAD_MEMORY_FULL,
}
"""Refusals that a request may get before its operation is looked up for deduplication."""


class RetryDecision(enum.StrEnum):
    """Whether another attempt may follow, and whether it counts against the retry budget."""

    NO = 'no'
    ROUTE_AGAIN = 'route again'
    SPEND_BUDGET = 'spend budget'


class AttemptFacts(NamedTuple):
    """What is known about a request when one of its attempts is refused.

    :param is_deduplicated: whether its operation id keeps a second attempt from running
    :param is_body_replayable: whether the whole body can be sent again
    :param has_alternative_server: whether another backend server may answer it
    """

    is_idempotent: bool
    is_deduplicated: bool
    is_body_replayable: bool
    has_alternative_server: bool


def decide_retry(attempt: AttemptFacts, refusal: Refusal) -> RetryDecision:
    """Decide whether another attempt may follow a refused one."""
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


def retry_delay_s(attempt_count: int, jitter: float) -> float:
    """Return the delay before the next attempt, in seconds.

    :param attempt_count: attempts made so far, at least 1
    :param jitter: random number from 0 to 1
    """
    max_delay_s = min(MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2.0 ** (attempt_count - 1))
    return max_delay_s * (0.5 + jitter / 2)


def may_hedge(
    attempt: AttemptFacts,
    *,
    divided_by_key: bool,
    waited_s: float,
    typical_answer_s: float,
    is_overloaded: bool,
) -> bool:
    """Decide whether a second attempt may start while the first one is still unanswered.

    :param waited_s: time since the first attempt, in seconds
    :param typical_answer_s: time within which most answers of the service arrive, in seconds
    :param is_overloaded: whether requests of the service wait or were refused for lack of
        capacity
    """
    if divided_by_key or is_overloaded or not attempt.has_alternative_server:
        return False
    return attempt.is_idempotent and attempt.is_body_replayable and waited_s > typical_answer_s


def mask_unverified_outcome(refusal: Refusal, *, has_operation_id: bool) -> Refusal:
    """Return a refusal that makes no claim that the deduplication table has not confirmed.

    A caller's retry may be refused here after its first attempt ran on another path. "Not
    run" would then be true of this attempt but not of the operation, so it becomes unknown.

    :param has_operation_id: whether the caller sent an operation id
    """
    if not has_operation_id or refusal.code not in _BEFORE_DEDUPLICATION:
        return refusal
    return refusal._replace(ran=Ran.UNKNOWN)
