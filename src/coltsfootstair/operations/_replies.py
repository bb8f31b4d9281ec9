"""Replies to requests that are not run because of their operation ids."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.operations._messages import Progress, Refuse, Replay
from coltsfootstair.results import Ran, Refusal, ResultCode

if TYPE_CHECKING:
    from coltsfootstair.operations._records import OperationRecord

__all__ = [
    'RETRY_AFTER_S',
    'not_coordinator_refusal',
    'not_replicated_refusal',
    'settled_reply',
    'still_running_refusal',
]

RETRY_AFTER_S = 0.5
"""Time after which a refused caller may retry, in seconds."""


def settled_reply(operation: OperationRecord, request_id: str) -> Replay | Refuse:
    """Return the reply to a retry of a settled operation."""
    if operation.answer is not None:
        return Replay(request_id, operation.answer)
    if operation.progress is Progress.ANSWERED:
        text = 'the operation ran and was answered; its answer is not kept'
        refusal = Refusal(ResultCode.OPERATION_TOO_OLD, Ran.UNKNOWN, text)
    else:
        text = 'the operation was sent once, and its answer was lost'
        refusal = Refusal(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, text)
    return Refuse(request_id, refusal)


def still_running_refusal(request_id: str) -> Refuse:
    """Return the refusal of a retry of an operation that has no answer yet."""
    text = 'the operation has been asked for before and is not answered yet'
    refusal = Refusal(ResultCode.OPERATION_RUNNING, Ran.UNKNOWN, text, RETRY_AFTER_S)
    return Refuse(request_id, refusal)


def not_replicated_refusal() -> Refusal:
    """Return the refusal of an operation that can't be replicated to a standby."""
    text = 'no standby can be reached to note the operation'
    return Refusal(ResultCode.OPERATION_NOT_REPLICATED, Ran.NO, text, RETRY_AFTER_S)


def not_coordinator_refusal(ran: Ran) -> Refusal:
    """Return the refusal by a daemon that may not coordinate the backend server."""
    text = 'this daemon no longer coordinates the backend server'
    return Refusal(ResultCode.NOT_COORDINATOR, ran, text, RETRY_AFTER_S)
