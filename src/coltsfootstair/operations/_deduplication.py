"""Decides what a request with an operation id gets, so that the operation runs once."""

from __future__ import annotations

from coltsfootstair.operations._messages import (
    Admit,
    Admitted,
    Answered,
    CachedAnswer,
    CallerLeft,
    DropOperationAtStandby,
    DropRowAtStandby,
    Effect,
    Event,
    NotRun,
    OutcomeUnknown,
    Progress,
    Refuse,
    Replicated,
    ReplicateOutcomeToStandby,
    ReplicateRowsToStandby,
    ReplicateToStandby,
    RequestReceived,
    RightsChanged,
    RowAcquired,
    RowLost,
    RowSnapshot,
    Send,
    SlotAssigned,
    StandbyChanged,
    StandbyUnreachable,
    Tick,
    Withdraw,
)
from coltsfootstair.operations._records import OperationRecord, OperationRecords
from coltsfootstair.operations._replies import (
    RETRY_S,
    not_coordinator_refusal,
    not_noted,
    settled_reply,
    still_running,
)
from coltsfootstair.results import Ran, Refusal, ResultCode

__all__ = [
    'RETENTION_S',
    'DeduplicationTable',
    'handle',
    'new_deduplication_table',
    'row_snapshot',
]

RETENTION_S = 300.0
SKEW_S = 5.0
MAX_RESENDS_WAITING = 4
NOTE_TIMEOUT_S = 1.0
SETTLED = (Progress.ANSWERED, Progress.UNKNOWN)


class DeduplicationTable:
    """What one coordinator knows of the operations of its rows.

    It is changed in place by ``handle`` and belongs to a single task.
    ``gap_end_by_row`` has the rows that it owns, each with the last moment before which
    operations may be missing, if there is one.
    """

    __slots__ = ('gap_end_by_row', 'may_act', 'records', 'replication_waived', 'standby_epoch')

    def __init__(self) -> None:
        self.records = OperationRecords()
        self.gap_end_by_row: dict[int, float | None] = {}
        self.standby_epoch: int | None = None
        self.replication_waived = False
        self.may_act = True


def new_deduplication_table() -> DeduplicationTable:
    """Return the memory of a coordinator that owns no row yet."""
    return DeduplicationTable()


def handle(
    memory: DeduplicationTable, event: Event, now: float
) -> tuple[DeduplicationTable, list[Effect]]:
    """Take ``event`` in at ``now``; return the same memory, changed, and what to do."""
    effects: list[Effect] = []
    match event:
        case RequestReceived():
            _asked(memory, event, now, effects)
        case Admitted(operation_id) | SlotAssigned(operation_id) | Replicated(operation_id):
            operation = memory.records.unsettled_by_id.get(operation_id)
            if operation is not None and operation.progress is Progress.WAITING:
                _advance(memory, operation, event, now, effects)
        case Answered(operation_id, answer):
            _settle(memory, operation_id, Progress.ANSWERED, answer, now, effects)
        case OutcomeUnknown(operation_id):
            _settle(memory, operation_id, Progress.UNKNOWN, None, now, effects)
        case NotRun(operation_id, refusal):
            _refused(memory, operation_id, refusal, effects)
        case CallerLeft():
            _gone(memory, event, effects)
        case StandbyChanged() | StandbyUnreachable():
            _standby(memory, event, now, effects)
        case RowAcquired(record):
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


def row_snapshot(memory: DeduplicationTable, row: int, now: float) -> RowSnapshot:
    """Return what the next owner of ``row`` needs to know; call it when nothing runs."""
    gap_at = memory.gap_end_by_row.get(row)
    snapshots = tuple(o.snapshot(now) for o in memory.records.of_row(row))
    return RowSnapshot(row, snapshots, None if gap_at is None else now - gap_at)


def _asked(
    memory: DeduplicationTable, event: RequestReceived, now: float, effects: list[Effect]
) -> None:
    known = memory.records.get(event.operation_id)
    if known is not None:
        _asked_again(known, event, effects)
        return
    refusal = _unknown_id_refusal(memory, event, now)
    if refusal is not None:
        effects.append(Refuse(event.request_id, refusal))
        return
    memory.records.add(
        OperationRecord(
            event.operation_id, event.row, event.fingerprint, event.request_id, now
        )
    )
    effects.append(Admit(event.request_id))


def _asked_again(
    operation: OperationRecord, event: RequestReceived, effects: list[Effect]
) -> None:
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


def _unknown_id_refusal(
    memory: DeduplicationTable, event: RequestReceived, now: float
) -> Refusal | None:
    if not memory.may_act or event.row not in memory.gap_end_by_row:
        return not_coordinator_refusal(Ran.UNKNOWN)
    gap_at = memory.gap_end_by_row[event.row]
    made_at = now - event.age_s if event.age_s is not None else float('-inf')
    if gap_at is not None and now < _window_end(gap_at) and made_at - SKEW_S <= gap_at:
        text = 'operations from before a loss of two daemons are not remembered'
        return Refusal(ResultCode.OPERATION_TOO_OLD, Ran.UNKNOWN, text)
    if event.age_s is not None and event.age_s > RETENTION_S - SKEW_S:
        text = f'operations are remembered for {RETENTION_S:.0f} s'
        return Refusal(ResultCode.OPERATION_TOO_OLD, Ran.UNKNOWN, text)
    if memory.records.full:
        text = 'the memory of operations is full'
        return Refusal(ResultCode.OVERLOADED, Ran.NO, text, RETRY_S)
    if memory.standby_epoch is None and not memory.replication_waived:
        return not_noted()
    return None


def _advance(
    memory: DeduplicationTable,
    operation: OperationRecord,
    event: Admitted | SlotAssigned | Replicated,
    now: float,
    effects: list[Effect],
) -> None:
    match event:
        case Admitted():
            if memory.standby_epoch is not None:
                effects.append(
                    ReplicateToStandby(operation.snapshot(now), memory.standby_epoch)
                )
        case SlotAssigned():
            operation.granted_at = now
        case Replicated(_, epoch):
            operation.noted = operation.noted or epoch == memory.standby_epoch
    _send_if_safe(memory, operation, effects)


def _send_if_safe(
    memory: DeduplicationTable, operation: OperationRecord, effects: list[Effect]
) -> None:
    if operation.granted_at is None or operation.progress is not Progress.WAITING:
        return
    if operation.noted or memory.replication_waived:
        operation.progress = Progress.DISPATCHED
        effects.append(Send(operation.request_id))


def _settle(
    memory: DeduplicationTable,
    operation_id: str,
    progress: Progress,
    answer: CachedAnswer | None,
    now: float,
    effects: list[Effect],
) -> None:
    operation = memory.records.get(operation_id)
    if operation is None or not operation.sent or operation.progress is progress:
        return
    if operation.progress is Progress.ANSWERED:
        return
    operation.progress = progress
    operation.since = now
    memory.records.settle(operation, answer)
    effects.append(ReplicateOutcomeToStandby(operation.snapshot(now)))
    for request_id in operation.deadlines_by_request:
        effects.append(settled_reply(operation, request_id))
    operation.deadlines_by_request.clear()


def _refused(
    memory: DeduplicationTable, operation_id: str, refusal: Refusal, effects: list[Effect]
) -> None:
    operation = memory.records.get(operation_id)
    if operation is None or operation.progress in SETTLED:
        return
    effects.extend(Refuse(r, refusal) for r in operation.deadlines_by_request)
    memory.records.remove(operation_id)
    effects.append(DropOperationAtStandby(operation_id))


def _gone(memory: DeduplicationTable, event: CallerLeft, effects: list[Effect]) -> None:
    operation = memory.records.unsettled_by_id.get(event.operation_id)
    if operation is None:
        return
    operation.deadlines_by_request.pop(event.request_id, None)
    if operation.request_id != event.request_id or operation.deadlines_by_request:
        return
    if operation.progress is Progress.WAITING:
        memory.records.remove(operation.operation_id)
        effects += [Withdraw(event.request_id), DropOperationAtStandby(operation.operation_id)]


def _standby(
    memory: DeduplicationTable,
    event: StandbyChanged | StandbyUnreachable,
    now: float,
    effects: list[Effect],
) -> None:
    waiting = [o for o in memory.records.unsettled_by_id.values() if not o.sent]
    for operation in waiting:
        operation.noted = False
    match event:
        case StandbyChanged(epoch):
            memory.standby_epoch = epoch
            memory.replication_waived = False
            records = tuple(row_snapshot(memory, row, now) for row in memory.gap_end_by_row)
            effects.append(ReplicateRowsToStandby(records, epoch))
            effects.extend(ReplicateToStandby(o.snapshot(now), epoch) for o in waiting)
        case StandbyUnreachable(replication_waived):
            memory.standby_epoch = None
            memory.replication_waived = replication_waived
            for operation in waiting:
                if replication_waived:
                    _send_if_safe(memory, operation, effects)
                else:
                    _give_back(memory, operation, not_noted(), effects)


def _give_back(
    memory: DeduplicationTable,
    operation: OperationRecord,
    refusal: Refusal,
    effects: list[Effect],
) -> None:
    wanting = [operation.request_id, *operation.deadlines_by_request]
    memory.records.remove(operation.operation_id)
    effects.append(Withdraw(operation.request_id))
    effects.extend(Refuse(request_id, refusal) for request_id in wanting)
    effects.append(DropOperationAtStandby(operation.operation_id))


def _take_row(
    memory: DeduplicationTable, record: RowSnapshot, now: float, effects: list[Effect]
) -> None:
    gap_age_s = record.gap_age_s
    memory.gap_end_by_row[record.row] = None if gap_age_s is None else now - gap_age_s
    for known in sorted(record.snapshots, key=lambda s: s.age_s, reverse=True):
        if memory.records.get(known.operation_id) is not None:
            continue
        operation = OperationRecord(
            known.operation_id, record.row, known.fingerprint, '', now - known.age_s
        )
        answered = known.progress is Progress.ANSWERED
        operation.progress = Progress.ANSWERED if answered else Progress.UNKNOWN
        if not answered:
            operation.since = now
        memory.records.add(operation)
        memory.records.settle(operation, known.answer)
    if memory.standby_epoch is not None:
        copied = row_snapshot(memory, record.row, now)
        effects.append(ReplicateRowsToStandby((copied,), memory.standby_epoch))


def _lose_row(memory: DeduplicationTable, row: int, effects: list[Effect]) -> None:
    memory.gap_end_by_row.pop(row, None)
    effects.append(DropRowAtStandby(row))
    for operation in memory.records.of_row(row):
        if operation.progress is Progress.WAITING:
            _give_back(memory, operation, not_coordinator_refusal(Ran.NO), effects)
        elif operation.progress is not Progress.DISPATCHED:
            memory.records.remove(operation.operation_id)


def _lose_rights(memory: DeduplicationTable, effects: list[Effect]) -> None:
    for operation in [o for o in memory.records.unsettled_by_id.values() if not o.sent]:
        _give_back(memory, operation, not_coordinator_refusal(Ran.NO), effects)


def _tick(memory: DeduplicationTable, now: float, effects: list[Effect]) -> None:
    memory.records.forget_settled_before(now - RETENTION_S)
    for operation in list(memory.records.unsettled_by_id.values()):
        if _note_is_late(operation, now):
            _give_back(memory, operation, not_noted(), effects)
            continue
        late = [r for r, at in operation.deadlines_by_request.items() if at <= now]
        for request_id in late:
            del operation.deadlines_by_request[request_id]
            effects.append(still_running(request_id))


def _note_is_late(operation: OperationRecord, now: float) -> bool:
    if operation.sent or operation.granted_at is None:
        return False
    return now - operation.granted_at >= NOTE_TIMEOUT_S


def _window_end(gap_at: float) -> float:
    return gap_at + RETENTION_S + SKEW_S
