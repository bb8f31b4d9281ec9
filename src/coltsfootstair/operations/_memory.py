"""Decides what a request with an operation id gets, so that the operation runs once."""

from __future__ import annotations

from coltsfootstair.operations._entries import Entries, Operation
from coltsfootstair.operations._messages import (
    Admit,
    Admitted,
    Answered,
    Asked,
    CopyToStandby,
    DropRowAtStandby,
    Effect,
    Event,
    ForgetAtStandby,
    Gone,
    Granted,
    KeptAnswer,
    LostTrack,
    NoteAtStandby,
    Noted,
    Progress,
    Refuse,
    RefusedUnsent,
    RightsChanged,
    RowLost,
    RowRecord,
    RowTaken,
    Send,
    SettleAtStandby,
    StandbyChanged,
    StandbyUnreachable,
    Tick,
    Withdraw,
)
from coltsfootstair.operations._replies import (
    RETRY_S,
    not_coordinator,
    not_noted,
    settled_reply,
    still_running,
)
from coltsfootstair.results import Ran, Refusal, ResultCode

__all__ = ['KEEP_S', 'OperationMemory', 'handle', 'new_memory', 'row_record']

KEEP_S = 300.0
SKEW_S = 5.0
MAX_RESENDS_WAITING = 4
NOTE_TIMEOUT_S = 1.0
SETTLED = (Progress.ANSWERED, Progress.UNKNOWN)


class OperationMemory:
    """What one coordinator knows of the operations of its rows.

    It is changed in place by ``handle`` and belongs to a single task.
    ``gap_at_by_row`` has the rows that it owns, each with the last moment before which
    operations may be missing, if there is one.
    """

    __slots__ = ('entries', 'gap_at_by_row', 'may_act', 'standby_epoch', 'waived')

    def __init__(self) -> None:
        self.entries = Entries()
        self.gap_at_by_row: dict[int, float | None] = {}
        self.standby_epoch: int | None = None
        self.waived = False
        self.may_act = True


def new_memory() -> OperationMemory:
    """Return the memory of a coordinator that owns no row yet."""
    return OperationMemory()


def handle(
    memory: OperationMemory, event: Event, now: float
) -> tuple[OperationMemory, list[Effect]]:
    """Take ``event`` in at ``now``; return the same memory, changed, and what to do."""
    effects: list[Effect] = []
    match event:
        case Asked():
            _asked(memory, event, now, effects)
        case Admitted(operation_id) | Granted(operation_id) | Noted(operation_id):
            operation = memory.entries.live_by_id.get(operation_id)
            if operation is not None and operation.progress is Progress.WAITING:
                _advance(memory, operation, event, now, effects)
        case Answered(operation_id, answer):
            _settle(memory, operation_id, Progress.ANSWERED, answer, now, effects)
        case LostTrack(operation_id):
            _settle(memory, operation_id, Progress.UNKNOWN, None, now, effects)
        case RefusedUnsent(operation_id, refusal):
            _refused(memory, operation_id, refusal, effects)
        case Gone():
            _gone(memory, event, effects)
        case StandbyChanged() | StandbyUnreachable():
            _standby(memory, event, now, effects)
        case RowTaken(record):
            _take_row(memory, record, now, effects)
        case RowLost(row):
            _lose_row(memory, row, effects)
        case RightsChanged(may_act):
            memory.may_act = may_act
            if not may_act:
                _lose_rights(memory, effects)
        case Tick():
            _tick(memory, now, effects)
    return memory, effects


def row_record(memory: OperationMemory, row: int, now: float) -> RowRecord:
    """Return what the next owner of ``row`` needs to know; call it when nothing runs."""
    gap_at = memory.gap_at_by_row.get(row)
    snapshots = tuple(o.snapshot(now) for o in memory.entries.of_row(row))
    return RowRecord(row, snapshots, None if gap_at is None else now - gap_at)


def _asked(memory: OperationMemory, event: Asked, now: float, effects: list[Effect]) -> None:
    known = memory.entries.get(event.operation_id)
    if known is not None:
        _asked_again(known, event, effects)
        return
    refusal = _unknown_id_refusal(memory, event, now)
    if refusal is not None:
        effects.append(Refuse(event.request_id, refusal))
        return
    memory.entries.add(
        Operation(event.operation_id, event.row, event.fingerprint, event.request_id, now)
    )
    effects.append(Admit(event.request_id))


def _asked_again(operation: Operation, event: Asked, effects: list[Effect]) -> None:
    if operation.fingerprint != event.fingerprint:
        text = 'the operation id was used for another method, path, key or body'
        refusal = Refusal(ResultCode.OPERATION_ID_REUSED, Ran.NO, text)
        effects.append(Refuse(event.request_id, refusal))
        return
    if operation.progress in SETTLED:
        effects.append(settled_reply(operation, event.request_id))
        return
    if event.request_id == operation.request_id:
        return
    if len(operation.deadlines_by_request) < MAX_RESENDS_WAITING:
        operation.deadlines_by_request[event.request_id] = event.deadline
        return
    effects.append(still_running(event.request_id))


def _unknown_id_refusal(memory: OperationMemory, event: Asked, now: float) -> Refusal | None:
    if not memory.may_act or event.row not in memory.gap_at_by_row:
        return not_coordinator(Ran.UNKNOWN)
    gap_at = memory.gap_at_by_row[event.row]
    made_at = now - event.age_s if event.age_s is not None else float('-inf')
    if gap_at is not None and now < _window_end(gap_at) and made_at - SKEW_S <= gap_at:
        text = 'operations from before a loss of two daemons are not remembered'
        return Refusal(ResultCode.OPERATION_TOO_OLD, Ran.UNKNOWN, text)
    if event.age_s is not None and event.age_s > KEEP_S - SKEW_S:
        text = f'operations are remembered for {KEEP_S:.0f} s'
        return Refusal(ResultCode.OPERATION_TOO_OLD, Ran.UNKNOWN, text)
    if memory.entries.full:
        text = 'the memory of operations is full'
        return Refusal(ResultCode.OVERLOADED, Ran.NO, text, RETRY_S)
    if memory.standby_epoch is None and not memory.waived:
        return not_noted()
    return None


def _advance(
    memory: OperationMemory,
    operation: Operation,
    event: Admitted | Granted | Noted,
    now: float,
    effects: list[Effect],
) -> None:
    match event:
        case Admitted():
            if memory.standby_epoch is not None:
                effects.append(NoteAtStandby(operation.snapshot(now), memory.standby_epoch))
        case Granted():
            operation.granted_at = now
        case Noted(_, epoch):
            operation.noted = operation.noted or epoch == memory.standby_epoch
    _send_if_safe(memory, operation, effects)


def _send_if_safe(
    memory: OperationMemory, operation: Operation, effects: list[Effect]
) -> None:
    if operation.granted_at is None or operation.progress is not Progress.WAITING:
        return
    if operation.noted or memory.waived:
        operation.progress = Progress.DISPATCHED
        effects.append(Send(operation.request_id))


def _settle(
    memory: OperationMemory,
    operation_id: str,
    progress: Progress,
    answer: KeptAnswer | None,
    now: float,
    effects: list[Effect],
) -> None:
    operation = memory.entries.get(operation_id)
    if operation is None or not operation.sent or operation.progress is progress:
        return
    if operation.progress is Progress.ANSWERED:
        return
    operation.progress = progress
    operation.since = now
    memory.entries.settle(operation, answer)
    effects.append(SettleAtStandby(operation.snapshot(now)))
    for request_id in operation.deadlines_by_request:
        effects.append(settled_reply(operation, request_id))
    operation.deadlines_by_request.clear()


def _refused(
    memory: OperationMemory, operation_id: str, refusal: Refusal, effects: list[Effect]
) -> None:
    operation = memory.entries.get(operation_id)
    if operation is None or operation.progress in SETTLED:
        return
    effects.extend(Refuse(r, refusal) for r in operation.deadlines_by_request)
    memory.entries.remove(operation_id)
    effects.append(ForgetAtStandby(operation_id))


def _gone(memory: OperationMemory, event: Gone, effects: list[Effect]) -> None:
    operation = memory.entries.live_by_id.get(event.operation_id)
    if operation is None:
        return
    operation.deadlines_by_request.pop(event.request_id, None)
    if operation.request_id != event.request_id or operation.deadlines_by_request:
        return
    if operation.progress is Progress.WAITING:
        memory.entries.remove(operation.operation_id)
        effects += [Withdraw(event.request_id), ForgetAtStandby(operation.operation_id)]


def _standby(
    memory: OperationMemory,
    event: StandbyChanged | StandbyUnreachable,
    now: float,
    effects: list[Effect],
) -> None:
    waiting = [o for o in memory.entries.live_by_id.values() if not o.sent]
    for operation in waiting:
        operation.noted = False
    match event:
        case StandbyChanged(epoch):
            memory.standby_epoch = epoch
            memory.waived = False
            records = tuple(row_record(memory, row, now) for row in memory.gap_at_by_row)
            effects.append(CopyToStandby(records, epoch))
            effects.extend(NoteAtStandby(o.snapshot(now), epoch) for o in waiting)
        case StandbyUnreachable(waived):
            memory.standby_epoch = None
            memory.waived = waived
            for operation in waiting:
                if waived:
                    _send_if_safe(memory, operation, effects)
                else:
                    _give_back(memory, operation, not_noted(), effects)


def _give_back(
    memory: OperationMemory, operation: Operation, refusal: Refusal, effects: list[Effect]
) -> None:
    wanting = [operation.request_id, *operation.deadlines_by_request]
    memory.entries.remove(operation.operation_id)
    effects.append(Withdraw(operation.request_id))
    effects.extend(Refuse(request_id, refusal) for request_id in wanting)
    effects.append(ForgetAtStandby(operation.operation_id))


def _take_row(
    memory: OperationMemory, record: RowRecord, now: float, effects: list[Effect]
) -> None:
    gap_age_s = record.gap_age_s
    memory.gap_at_by_row[record.row] = None if gap_age_s is None else now - gap_age_s
    for known in sorted(record.snapshots, key=lambda s: s.age_s, reverse=True):
        if memory.entries.get(known.operation_id) is not None:
            continue
        operation = Operation(
            known.operation_id, record.row, known.fingerprint, '', now - known.age_s
        )
        answered = known.progress is Progress.ANSWERED
        operation.progress = Progress.ANSWERED if answered else Progress.UNKNOWN
        if not answered:
            operation.since = now
        memory.entries.add(operation)
        memory.entries.settle(operation, known.answer)
    if memory.standby_epoch is not None:
        copied = row_record(memory, record.row, now)
        effects.append(CopyToStandby((copied,), memory.standby_epoch))


def _lose_row(memory: OperationMemory, row: int, effects: list[Effect]) -> None:
    memory.gap_at_by_row.pop(row, None)
    effects.append(DropRowAtStandby(row))
    for operation in memory.entries.of_row(row):
        if operation.progress is Progress.WAITING:
            _give_back(memory, operation, not_coordinator(Ran.NO), effects)
        elif operation.progress is not Progress.DISPATCHED:
            memory.entries.remove(operation.operation_id)


def _lose_rights(memory: OperationMemory, effects: list[Effect]) -> None:
    for operation in [o for o in memory.entries.live_by_id.values() if not o.sent]:
        _give_back(memory, operation, not_coordinator(Ran.NO), effects)


def _tick(memory: OperationMemory, now: float, effects: list[Effect]) -> None:
    memory.entries.forget_settled_before(now - KEEP_S)
    for operation in list(memory.entries.live_by_id.values()):
        if _note_is_late(operation, now):
            _give_back(memory, operation, not_noted(), effects)
            continue
        late = [r for r, at in operation.deadlines_by_request.items() if at <= now]
        for request_id in late:
            del operation.deadlines_by_request[request_id]
            effects.append(still_running(request_id))


def _note_is_late(operation: Operation, now: float) -> bool:
    if operation.sent or operation.granted_at is None:
        return False
    return now - operation.granted_at >= NOTE_TIMEOUT_S


def _window_end(gap_at: float) -> float:
    return gap_at + KEEP_S + SKEW_S
