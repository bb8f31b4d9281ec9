"""Decides whether requests with operation ids run, so that no operation runs twice."""

from __future__ import annotations

from coltsfootstair.operations._messages import (
    Admit,
    Admitted,
    Answered,
    CachedAnswer,
    CallerLeft,
    CoordinationChanged,
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
    RETRY_AFTER_S,
    not_coordinator_refusal,
    not_replicated_refusal,
    settled_reply,
    still_running_refusal,
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
"""How long the record of an operation is kept after it is settled, in seconds."""

CLOCK_SKEW_MARGIN_S = 5.0
"""Allowance for differences between clocks where the age of an id decides, in seconds."""

MAX_WAITING_RETRIES = 4
"""Retries of one operation that may wait for its answer."""

REPLICATION_TIMEOUT_S = 1.0
"""How long an operation that has a slot waits for the standby, in seconds."""

SETTLED = (Progress.ANSWERED, Progress.UNKNOWN)


class DeduplicationTable:
    """The operations of the rows that one coordinator serves.

    It is changed in place by ``handle`` and belongs to a single task.

    ``gap_end_by_row`` contains these rows. The value is the end of the row's gap: records of
    operations from before this time, in monotonic seconds, may be missing. It is ``None`` if
    no record is missing. ``standby_epoch`` is ``None`` while no standby is connected; if
    ``replication_waived`` is set then, operations run without being replicated.
    """

    __slots__ = (
        'gap_end_by_row',
        'may_coordinate',
        'records',
        'replication_waived',
        'standby_epoch',
    )

    def __init__(self) -> None:
        self.records = OperationRecords()
        self.gap_end_by_row: dict[int, float | None] = {}
        self.standby_epoch: int | None = None
        self.replication_waived = False
        self.may_coordinate = True


def new_deduplication_table() -> DeduplicationTable:
    """Return the table of a coordinator that serves no row yet."""
    return DeduplicationTable()


def handle(
    table: DeduplicationTable, event: Event, now: float
) -> tuple[DeduplicationTable, list[Effect]]:
    """Apply ``event`` to ``table`` and return the table and the effects to execute.

    :param table: changed in place, and returned
    :param now: monotonic seconds
    """
    effects: list[Effect] = []
    match event:
        case RequestReceived():
            _handle_request(table, event, now, effects)
        case Admitted(operation_id) | SlotAssigned(operation_id) | Replicated(operation_id):
            operation = table.records.unsettled_by_id.get(operation_id)
            if operation is not None and operation.progress is Progress.WAITING:
                _advance(table, operation, event, now, effects)
        case Answered(operation_id, answer):
            _settle(table, operation_id, Progress.ANSWERED, answer, now, effects)
        case OutcomeUnknown(operation_id):
            _settle(table, operation_id, Progress.UNKNOWN, None, now, effects)
        case NotRun(operation_id, refusal):
            _handle_not_run(table, operation_id, refusal, effects)
        case CallerLeft():
            _handle_caller_left(table, event, effects)
        case StandbyChanged() | StandbyUnreachable():
            _handle_standby(table, event, now, effects)
        case RowAcquired(snapshot):
            _acquire_row(table, snapshot, now, effects)
        case RowLost(row):
            _lose_row(table, row, effects)
        case CoordinationChanged(may_coordinate):
            table.may_coordinate = may_coordinate
            if not may_coordinate:
                _stop_coordinating(table, effects)
        case Tick():
            _handle_tick(table, now, effects)
    return table, effects


def row_snapshot(table: DeduplicationTable, row: int, now: float) -> RowSnapshot:
    """Return a copy of the records of ``row`` for another coordinator or the standby.

    A coordinator that hands a row over must call this when no operation of the row runs.
    """
    gap_end = table.gap_end_by_row.get(row)
    snapshots = tuple(operation.snapshot(now) for operation in table.records.of_row(row))
    return RowSnapshot(row, snapshots, None if gap_end is None else now - gap_end)


def _handle_request(
    table: DeduplicationTable, event: RequestReceived, now: float, effects: list[Effect]
) -> None:
    known = table.records.get(event.operation_id)
    if known is not None:
        _handle_retry(known, event, effects)
        return
    refusal = _refusal_of_unknown_id(table, event, now)
    if refusal is not None:
        effects.append(Refuse(event.request_id, refusal))
        return
    table.records.add(
        OperationRecord(
            event.operation_id, event.row, event.fingerprint, event.request_id, now
        )
    )
    effects.append(Admit(event.request_id))


def _handle_retry(
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
    if len(operation.deadline_by_retry) < MAX_WAITING_RETRIES:
        operation.deadline_by_retry[event.request_id] = event.deadline
        return
    effects.append(still_running_refusal(event.request_id))


def _refusal_of_unknown_id(
    table: DeduplicationTable, event: RequestReceived, now: float
) -> Refusal | None:
    """Return why an operation without a record may not run, or ``None`` if it may."""
    if not table.may_coordinate or event.row not in table.gap_end_by_row:
        return not_coordinator_refusal(Ran.UNKNOWN)
    gap_end = table.gap_end_by_row[event.row]
    created_at = now - event.age_s if event.age_s is not None else float('-inf')
    if (
        gap_end is not None
        and now < _gap_expires_at(gap_end)
        and created_at - CLOCK_SKEW_MARGIN_S <= gap_end
    ):
        text = 'operations from before a loss of two daemons are not remembered'
        return Refusal(ResultCode.OPERATION_TOO_OLD, Ran.UNKNOWN, text)
    if event.age_s is not None and event.age_s > RETENTION_S - CLOCK_SKEW_MARGIN_S:
        text = f'operations are remembered for {RETENTION_S:.0f} s'
        return Refusal(ResultCode.OPERATION_TOO_OLD, Ran.UNKNOWN, text)
    if table.records.is_full:
        text = 'the memory of operations is full'
        return Refusal(ResultCode.OVERLOADED, Ran.NO, text, RETRY_AFTER_S)
    if table.standby_epoch is None and not table.replication_waived:
        return not_replicated_refusal()
    return None


def _advance(
    table: DeduplicationTable,
    operation: OperationRecord,
    event: Admitted | SlotAssigned | Replicated,
    now: float,
    effects: list[Effect],
) -> None:
    match event:
        case Admitted():
            if table.standby_epoch is not None:
                effects.append(
                    ReplicateToStandby(operation.snapshot(now), table.standby_epoch)
                )
        case SlotAssigned():
            operation.slot_assigned_at = now
        case Replicated(_, epoch):
            operation.replicated = operation.replicated or epoch == table.standby_epoch
    _send_if_safe(table, operation, effects)


def _send_if_safe(
    table: DeduplicationTable, operation: OperationRecord, effects: list[Effect]
) -> None:
    """Send the request once it has a slot and a standby has its record or need not."""
    if operation.slot_assigned_at is None or operation.progress is not Progress.WAITING:
        return
    if operation.replicated or table.replication_waived:
        operation.progress = Progress.DISPATCHED
        effects.append(Send(operation.request_id))


def _settle(
    table: DeduplicationTable,
    operation_id: str,
    progress: Progress,
    answer: CachedAnswer | None,
    now: float,
    effects: list[Effect],
) -> None:
    operation = table.records.get(operation_id)
    if operation is None or not operation.was_dispatched or operation.progress is progress:
        return
    if operation.progress is Progress.ANSWERED:
        return
    operation.progress = progress
    operation.updated_at = now
    table.records.settle(operation, answer)
    effects.append(ReplicateOutcomeToStandby(operation.snapshot(now)))
    for request_id in operation.deadline_by_retry:
        effects.append(settled_reply(operation, request_id))
    operation.deadline_by_retry.clear()


def _handle_not_run(
    table: DeduplicationTable, operation_id: str, refusal: Refusal, effects: list[Effect]
) -> None:
    operation = table.records.get(operation_id)
    if operation is None or operation.progress in SETTLED:
        return
    effects.extend(Refuse(request_id, refusal) for request_id in operation.deadline_by_retry)
    table.records.remove(operation_id)
    effects.append(DropOperationAtStandby(operation_id))


def _handle_caller_left(
    table: DeduplicationTable, event: CallerLeft, effects: list[Effect]
) -> None:
    operation = table.records.unsettled_by_id.get(event.operation_id)
    if operation is None:
        return
    operation.deadline_by_retry.pop(event.request_id, None)
    if operation.request_id != event.request_id or operation.deadline_by_retry:
        return
    if operation.progress is Progress.WAITING:
        table.records.remove(operation.operation_id)
        effects += [Withdraw(event.request_id), DropOperationAtStandby(operation.operation_id)]


def _handle_standby(
    table: DeduplicationTable,
    event: StandbyChanged | StandbyUnreachable,
    now: float,
    effects: list[Effect],
) -> None:
    waiting = [
        operation
        for operation in table.records.unsettled_by_id.values()
        if not operation.was_dispatched
    ]
    for operation in waiting:
        operation.replicated = False
    match event:
        case StandbyChanged(epoch):
            table.standby_epoch = epoch
            table.replication_waived = False
            row_snapshots = tuple(
                row_snapshot(table, row, now) for row in table.gap_end_by_row
            )
            effects.append(ReplicateRowsToStandby(row_snapshots, epoch))
            effects.extend(
                ReplicateToStandby(operation.snapshot(now), epoch) for operation in waiting
            )
        case StandbyUnreachable(replication_waived):
            table.standby_epoch = None
            table.replication_waived = replication_waived
            for operation in waiting:
                if replication_waived:
                    _send_if_safe(table, operation, effects)
                else:
                    _refuse_operation(table, operation, not_replicated_refusal(), effects)


def _refuse_operation(
    table: DeduplicationTable,
    operation: OperationRecord,
    refusal: Refusal,
    effects: list[Effect],
) -> None:
    """Refuse all requests of an operation that has not been sent, and remove its record."""
    request_ids = [operation.request_id, *operation.deadline_by_retry]
    table.records.remove(operation.operation_id)
    effects.append(Withdraw(operation.request_id))
    effects.extend(Refuse(request_id, refusal) for request_id in request_ids)
    effects.append(DropOperationAtStandby(operation.operation_id))


def _acquire_row(
    table: DeduplicationTable, snapshot: RowSnapshot, now: float, effects: list[Effect]
) -> None:
    gap_age_s = snapshot.gap_age_s
    table.gap_end_by_row[snapshot.row] = None if gap_age_s is None else now - gap_age_s
    for known in sorted(snapshot.snapshots, key=lambda each: each.age_s, reverse=True):
        if table.records.get(known.operation_id) is not None:
            continue
        operation = OperationRecord(
            known.operation_id, snapshot.row, known.fingerprint, '', now - known.age_s
        )
        is_answered = known.progress is Progress.ANSWERED
        operation.progress = Progress.ANSWERED if is_answered else Progress.UNKNOWN
        if not is_answered:
            operation.updated_at = now
        table.records.add(operation)
        table.records.settle(operation, known.answer)
    if table.standby_epoch is not None:
        complete = row_snapshot(table, snapshot.row, now)
        effects.append(ReplicateRowsToStandby((complete,), table.standby_epoch))


def _lose_row(table: DeduplicationTable, row: int, effects: list[Effect]) -> None:
    table.gap_end_by_row.pop(row, None)
    effects.append(DropRowAtStandby(row))
    for operation in table.records.of_row(row):
        if operation.progress is Progress.WAITING:
            _refuse_operation(table, operation, not_coordinator_refusal(Ran.NO), effects)
        elif operation.progress is not Progress.DISPATCHED:
            table.records.remove(operation.operation_id)


def _stop_coordinating(table: DeduplicationTable, effects: list[Effect]) -> None:
    """Refuse all operations that have not been dispatched."""
    for operation in [
        operation
        for operation in table.records.unsettled_by_id.values()
        if not operation.was_dispatched
    ]:
        _refuse_operation(table, operation, not_coordinator_refusal(Ran.NO), effects)


def _handle_tick(table: DeduplicationTable, now: float, effects: list[Effect]) -> None:
    table.records.remove_settled_before(now - RETENTION_S)
    for operation in list(table.records.unsettled_by_id.values()):
        if _is_replication_overdue(operation, now):
            _refuse_operation(table, operation, not_replicated_refusal(), effects)
            continue
        overdue = [
            retry for retry, deadline in operation.deadline_by_retry.items() if deadline <= now
        ]
        for request_id in overdue:
            del operation.deadline_by_retry[request_id]
            effects.append(still_running_refusal(request_id))


def _is_replication_overdue(operation: OperationRecord, now: float) -> bool:
    if operation.was_dispatched or operation.slot_assigned_at is None:
        return False
    return now - operation.slot_assigned_at >= REPLICATION_TIMEOUT_S


def _gap_expires_at(gap_end: float) -> float:
    """Return when operations from before ``gap_end`` are too old to be retried anyway."""
    return gap_end + RETENTION_S + CLOCK_SKEW_MARGIN_S
