"""Property tests: an operation runs at most once, whatever is lost, delayed or repeated."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from coltsfootstair.operations import (
    RETENTION_S,
    Admit,
    Admitted,
    Answered,
    CachedAnswer,
    CallerLeft,
    CoordinationChanged,
    DropOperationAtStandby,
    DropRowAtStandby,
    Event,
    NotRun,
    OutcomeUnknown,
    Progress,
    Refuse,
    Replay,
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
    StandbyRecords,
    StandbyUnreachable,
    Tick,
    Withdraw,
    _deduplication,
    _records,
    _standby,
    handle,
    new_deduplication_table,
    row_snapshot,
)
from coltsfootstair.results import Ran, Refusal, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

# Operation ids of the kind 'timed' show when they were created.
KINDS = st.sampled_from(['plain', 'timed'])
FINGERPRINTS = st.sampled_from([b'x', b'x', b'x', b'y'])
COPIED = st.sampled_from([True, True, True, False])
OUTCOMES = ['answered', 'large', 'lost', 'none']
SHED = Refusal(ResultCode.SHED, Ran.NO, '', 1.0)


class OperationsMachine(RuleBasedStateMachine):
    """Models a coordinator, its standby, and the stream between them.

    The stream may delay messages and break, and the coordinator may be replaced at any time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.table, self.standby_records = new_deduplication_table(), StandbyRecords()
        self.epoch = self.requests = self.sequence = 0
        self.to_standby: list[Any] = []
        self.to_coordinator: list[Replicated] = []
        self.replication_waived, self.may_coordinate = False, True
        self.received: dict[str, RequestReceived] = {}
        self.admitted: list[str] = []
        self.running: dict[str, bytes] = {}
        self.last_run: dict[str, float] = {}
        self.created_at: dict[str, float] = {}

    def has_run(self, operation_id: str) -> bool:
        ran_at = self.last_run.get(operation_id)
        if operation_id.startswith('timed'):
            return ran_at is not None
        return ran_at is not None and self.now - ran_at <= RETENTION_S

    def send(self, event: Event) -> None:
        self.table, effects = handle(self.table, event, self.now)
        for effect in effects:
            match effect:
                case Admit(request_id):
                    self.admitted.append(request_id)
                case Withdraw(request_id):
                    if request_id in self.admitted:
                        self.admitted.remove(request_id)
                case Send(request_id):
                    received = self.received[request_id]
                    assert self.may_coordinate
                    assert not self.has_run(received.operation_id)
                    self.last_run[received.operation_id] = self.now
                    self.running[received.operation_id] = received.fingerprint
                case Replay(request_id, answer):
                    assert answer.body == self.received[request_id].fingerprint
                case Refuse(request_id, refusal):
                    not_run = refusal.ran is Ran.NO
                    if not_run and refusal.code is not ResultCode.OPERATION_ID_REUSED:
                        assert not self.has_run(self.received[request_id].operation_id)
                case _:
                    self.to_standby.append(effect)

    @initialize()
    def start(self) -> None:
        self.replace_coordinator(RowSnapshot(0, (), None), early=True, copied=True)

    @rule(copied=COPIED)
    def connect_standby(self, copied: bool) -> None:
        self.epoch += 1
        self.standby_records, self.to_standby, self.replication_waived = (
            StandbyRecords(),
            [],
            False,
        )
        self.standby_records.start_epoch('a', self.epoch)
        self.send(StandbyChanged(self.epoch))
        if copied:
            self.deliver_to_standby(9)

    @rule(replication_waived=st.booleans())
    def lose_standby(self, replication_waived: bool) -> None:
        self.to_standby.clear()
        self.replication_waived = self.replication_waived or replication_waived
        self.send(StandbyUnreachable(replication_waived))

    @rule(
        kind=KINDS, fingerprint=FINGERPRINTS, wait_s=st.floats(0, 9), copies=st.integers(1, 6)
    )
    def request(self, kind: str, fingerprint: bytes, wait_s: float, copies: int) -> None:
        operation = f'{kind}{self.sequence}'
        created_at = self.created_at.setdefault(operation, self.now)
        age_s = self.now - created_at if operation.startswith('timed') else None
        for _ in range(copies):
            self.requests += 1
            request_id = str(self.requests)
            deadline = self.now + wait_s
            received = RequestReceived(request_id, operation, 0, fingerprint, deadline, age_s)
            self.received[request_id] = received
            self.send(received)

    @rule(assigned=st.booleans())
    def admit(self, assigned: bool) -> None:
        for request_id in self.admitted[-1:]:
            operation_id = self.received[request_id].operation_id
            self.send(Admitted(operation_id))
            if assigned:
                self.admitted.remove(request_id)
                self.send(SlotAssigned(operation_id))

    @rule()
    def refuse(self) -> None:
        for request_id in self.admitted[:1]:
            self.admitted.remove(request_id)
            self.send(NotRun(self.received[request_id].operation_id, SHED))

    @rule(count=st.integers(1, 9))
    def deliver_to_standby(self, count: int) -> None:
        for _ in range(min(count, len(self.to_standby))):
            match self.to_standby.pop(0):
                case ReplicateRowsToStandby(row_snapshots, epoch):
                    self.standby_records.add_rows('a', epoch, row_snapshots, self.now)
                case DropRowAtStandby(row):
                    self.standby_records.drop_row('a', self.epoch, row)
                case ReplicateToStandby(snapshot, epoch):
                    if self.standby_records.add('a', epoch, snapshot, self.now):
                        self.to_coordinator.append(Replicated(snapshot.operation_id, epoch))
                case ReplicateOutcomeToStandby(snapshot):
                    self.standby_records.add('a', self.epoch, snapshot, self.now)
                case DropOperationAtStandby(operation_id):
                    self.standby_records.drop_operation('a', self.epoch, operation_id)

    @rule(last=st.booleans(), repeat=st.booleans())
    def deliver_to_coordinator(self, last: bool, repeat: bool) -> None:
        if self.to_coordinator:
            replicated = self.to_coordinator[-1 if last else 0]
            if not repeat:
                self.to_coordinator.remove(replicated)
            self.send(replicated)

    @rule(kind=KINDS, outcome=st.sampled_from(OUTCOMES))
    def finish(self, kind: str, outcome: str) -> None:
        operation = f'{kind}{self.sequence}'
        if operation not in self.running or outcome == 'none':
            return
        fingerprint = self.running[operation]
        if outcome != 'lost':
            del self.running[operation]
        answer = CachedAnswer(200, (), fingerprint) if outcome == 'answered' else None
        self.send(
            OutcomeUnknown(operation) if outcome == 'lost' else Answered(operation, answer)
        )

    @rule(
        kind=KINDS,
        deliver=st.integers(0, 2),
        outcome=st.sampled_from(OUTCOMES),
        is_new=st.booleans(),
    )
    def run_operation(self, kind: str, deliver: int, outcome: str, is_new: bool) -> None:
        self.sequence += is_new
        self.change_coordination(may_coordinate=True)
        self.request(kind, b'x', 9.0, copies=2)
        self.admit(assigned=True)
        if deliver > 0:
            self.deliver_to_standby(9)
        if deliver > 1:
            self.deliver_to_coordinator(last=True, repeat=False)
        self.finish(kind, outcome)

    @rule(kind=KINDS, last=st.booleans())
    def caller_leaves(self, kind: str, last: bool) -> None:
        operation = f'{kind}{self.sequence}'
        request_ids = [
            each.request_id
            for each in self.received.values()
            if each.operation_id == operation
        ]
        if request_ids:
            self.send(CallerLeft(request_ids[-1 if last else 0], operation))

    @rule(may_coordinate=st.booleans(), replicated=st.booleans())
    def change_coordination(self, may_coordinate: bool, replicated: bool = False) -> None:
        self.may_coordinate = may_coordinate
        self.send(CoordinationChanged(may_coordinate))
        if replicated:
            self.deliver_to_coordinator(last=True, repeat=True)

    @rule(early=st.booleans(), copied=COPIED, kind=KINDS)
    def crash(self, early: bool, copied: bool, kind: str) -> None:
        (snapshot,) = self.standby_records.take_over(
            'a', (0,), self.now, replication_waived=self.replication_waived
        )
        self.replace_coordinator(snapshot, early, copied)
        self.run_operation(kind, deliver=2, outcome='none', is_new=False)

    @rule(early=st.booleans(), copied=COPIED)
    def move(self, early: bool, copied: bool) -> None:
        if not self.running:
            snapshot = row_snapshot(self.table, 0, self.now)
            self.send(RowLost(0))
            self.replace_coordinator(snapshot, early, copied)

    def replace_coordinator(self, snapshot: RowSnapshot, early: bool, copied: bool) -> None:
        """Let a new coordinator acquire the row.

        :param early: whether it acquires the row before it has a standby
        :param copied: whether all its records reach the standby at once
        """
        self.table, self.may_coordinate = new_deduplication_table(), True
        self.running.clear()
        self.admitted.clear()
        if early:
            self.send(RowAcquired(snapshot))
        self.connect_standby(copied=copied and early)
        if not early:
            self.send(RowAcquired(snapshot))
        if copied and not early:
            self.deliver_to_standby(9)

    @rule(seconds=st.sampled_from([0.5, 5, RETENTION_S / 2, RETENTION_S + 10]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.send(Tick())


RUNS = settings(max_examples=600, stateful_step_count=20, phases=[Phase.generate])

# Hypothesis generates other examples depending on which modules are loaded, so the search
# for a fault may try far more examples than it usually needs.
SEARCH = settings(RUNS, max_examples=20_000)


def test_an_operation_runs_at_most_once() -> None:
    run_state_machine_as_test(OperationsMachine, settings=RUNS)


def _send_unreplicated(table: Any, operation: Any, effects: list[Any]) -> None:
    if operation.slot_assigned_at is not None and not operation.was_dispatched:
        operation.progress = Progress.DISPATCHED
        effects.append(Send(operation.request_id))


def _remove_unknown(records: Any, operation: Any, answer: Any) -> None:
    if operation.progress is Progress.UNKNOWN:
        records.remove(operation.operation_id)
    else:
        SETTLE(records, operation, answer)


REPLICATE_ROWS = ReplicateRowsToStandby
SETTLE = _records.OperationRecords.settle
BROKEN_VARIANTS: list[tuple[object, str, Callable[..., Any] | float]] = [
    (_deduplication, '_send_if_safe', _send_unreplicated),
    (_standby, '_gap_age_s', lambda records, row, now, waived: None),
    (
        _deduplication,
        'ReplicateRowsToStandby',
        lambda rows, epoch: REPLICATE_ROWS(
            tuple(row._replace(snapshots=()) for row in rows), epoch
        ),
    ),
    (_records.OperationRecords, 'settle', _remove_unknown),
    (_deduplication, '_gap_expires_at', lambda gap_end: gap_end),
    (_deduplication, '_stop_coordinating', lambda table, effects: None),
    (_deduplication, 'CLOCK_SKEW_MARGIN_S', -10.0),
]


@pytest.mark.parametrize(('owner', 'name', 'variant'), BROKEN_VARIANTS)
def test_broken_variant_is_caught(
    owner: object, name: str, variant: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(owner, name, variant)
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_state_machine_as_test(OperationsMachine, settings=SEARCH)
