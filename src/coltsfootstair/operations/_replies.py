"""What a request gets that is not run because of its operation id."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.operations._messages import Progress, Refuse, Replay
from coltsfootstair.results import Ran, Refusal, ResultCode

if TYPE_CHECKING:
    from coltsfootstair.operations._records import OperationRecord

__all__ = ['RETRY_S', 'not_coordinator_refusal', 'not_noted', 'settled_reply', 'still_running']

RETRY_S = 0.5


def settled_reply(operation: OperationRecord, request_id: str) -> Replay | Refuse:
    """Return what a resend of a settled operation gets."""
    if operation.answer is not None:
        return Replay(request_id, operation.answer)
    if operation.progress is Progress.ANSWERED:
        text = 'the operation ran and was answered; its answer is not kept'
        refusal = Refusal(ResultCode.OPERATION_TOO_OLD, Ran.UNKNOWN, text)
    else:
        text = 'the operation was sent once, and its answer was lost'
        refusal = Refusal(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, text)
    return Refuse(request_id, refusal)


def still_running(request_id: str) -> Refuse:
    """Refuse a resend of an operation that has no answer yet."""
    text = 'the operation has been asked for before and is not answered yet'
    refusal = Refusal(ResultCode.OPERATION_RUNNING, Ran.UNKNOWN, text, RETRY_S)
    return Refuse(request_id, refusal)


def not_noted() -> Refusal:
    """Return the refusal for an operation that no standby can note."""
    text = 'no standby can be reached to note the operation'
    return Refusal(ResultCode.OPERATION_NOT_REPLICATED, Ran.NO, text, RETRY_S)


def not_coordinator_refusal(ran: Ran) -> Refusal:
    """Return the refusal of a coordinator that may not act."""
    text = 'this daemon no longer coordinates the backend server'
    return Refusal(ResultCode.NOT_COORDINATOR, ran, text, RETRY_S)
