"""An operation runs at most once, whatever is lost, late, repeated or taken over."""

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
    RightsChanged,
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

KINDS = st.sampled_from(['plain', 'timed'])
PRINTS = st.sampled_from([b'x', b'x', b'x', b'y'])
COPIED = st.sampled_from([True, True, True, False])
ENDS = ['answered', 'large', 'lost', 'none']
SHED = Refusal(ResultCode.SHED, Ran.NO, '', 1.0)


class OperationsMachine(RuleBasedStateMachine):
    """A coordinator, its standby, and the stream between them, which may lag and break."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.memory, self.notes = new_deduplication_table(), StandbyRecords()
        self.epoch = self.requests = self.generation = 0
        self.to_standby: list[Any] = []
        self.to_coordinator: list[Replicated] = []
        self.replication_waived, self.may_act = False, True
        self.asked: dict[str, RequestReceived] = {}
        self.admitted: list[str] = []
        self.running: dict[str, bytes] = {}
        self.last_run: dict[str, float] = {}
        self.made_at: dict[str, float] = {}

    def has_run(self, operation_id: str) -> bool:
        ran_at = self.last_run.get(operation_id)
        if operation_id.startswith('timed'):
            return ran_at is not None
        return ran_at is not None and self.now - ran_at <= RETENTION_S

    def send(self, event: Event) -> None:
        self.memory, effects = handle(self.memory, event, self.now)
        for effect in effects:
            match effect:
                case Admit(request_id):
                    self.admitted.append(request_id)
                case Withdraw(request_id):
                    if request_id in self.admitted:
                        self.admitted.remove(request_id)
                case Send(request_id):
                    asked = self.asked[request_id]
                    assert self.may_act
                    assert not self.has_run(asked.operation_id)
                    self.last_run[asked.operation_id] = self.now
                    self.running[asked.operation_id] = asked.fingerprint
                case Replay(request_id, answer):
                    assert answer.body == self.asked[request_id].fingerprint
                case Refuse(request_id, refusal):
                    not_run = refusal.ran is Ran.NO
                    if not_run and refusal.code is not ResultCode.OPERATION_ID_REUSED:
                        assert not self.has_run(self.asked[request_id].operation_id)
                case _:
                    self.to_standby.append(effect)

    @initialize()
    def start(self) -> None:
        self.start_over(RowSnapshot(0, (), None), early=True, copied=True)

    @rule(copied=COPIED)
    def new_standby(self, copied: bool) -> None:
        self.epoch += 1
        self.notes, self.to_standby, self.replication_waived = StandbyRecords(), [], False
        self.notes.start_epoch('a', self.epoch)
        self.send(StandbyChanged(self.epoch))
        if copied:
            self.deliver_to_standby(9)

    @rule(replication_waived=st.booleans())
    def lose_standby(self, replication_waived: bool) -> None:
        self.to_standby.clear()
        self.replication_waived = self.replication_waived or replication_waived
        self.send(StandbyUnreachable(replication_waived))

    @rule(kind=KINDS, fingerprint=PRINTS, wait_s=st.floats(0, 9), copies=st.integers(1, 6))
    def ask(self, kind: str, fingerprint: bytes, wait_s: float, copies: int) -> None:
        operation = f'{kind}{self.generation}'
        made_at = self.made_at.setdefault(operation, self.now)
        age_s = self.now - made_at if operation.startswith('timed') else None
        for _ in range(copies):
            self.requests += 1
            request_id = str(self.requests)
            deadline = self.now + wait_s
            asked = RequestReceived(request_id, operation, 0, fingerprint, deadline, age_s)
            self.asked[request_id] = asked
            self.send(asked)

    @rule(granted=st.booleans())
    def admit(self, granted: bool) -> None:
        for request_id in self.admitted[-1:]:
            operation_id = self.asked[request_id].operation_id
            self.send(Admitted(operation_id))
            if granted:
                self.admitted.remove(request_id)
                self.send(SlotAssigned(operation_id))

    @rule()
    def refuse(self) -> None:
        for request_id in self.admitted[:1]:
            self.admitted.remove(request_id)
            self.send(NotRun(self.asked[request_id].operation_id, SHED))

    @rule(count=st.integers(1, 9))
    def deliver_to_standby(self, count: int) -> None:
        for _ in range(min(count, len(self.to_standby))):
            match self.to_standby.pop(0):
                case ReplicateRowsToStandby(records, epoch):
                    self.notes.add_rows('a', epoch, records, self.now)
                case DropRowAtStandby(row):
                    self.notes.drop_row('a', self.epoch, row)
                case ReplicateToStandby(snapshot, epoch):
                    if self.notes.add('a', epoch, snapshot, self.now):
                        self.to_coordinator.append(Replicated(snapshot.operation_id, epoch))
                case ReplicateOutcomeToStandby(snapshot):
                    self.notes.add('a', self.epoch, snapshot, self.now)
                case DropOperationAtStandby(operation_id):
                    self.notes.drop_operation('a', self.epoch, operation_id)

    @rule(last=st.booleans(), repeat=st.booleans())
    def deliver_to_coordinator(self, last: bool, repeat: bool) -> None:
        if self.to_coordinator:
            noted = self.to_coordinator[-1 if last else 0]
            if not repeat:
                self.to_coordinator.remove(noted)
            self.send(noted)

    @rule(kind=KINDS, end=st.sampled_from(ENDS))
    def end(self, kind: str, end: str) -> None:
        operation = f'{kind}{self.generation}'
        if operation not in self.running or end == 'none':
            return
        fingerprint = self.running[operation]
        if end != 'lost':
            del self.running[operation]
        answer = CachedAnswer(200, (), fingerprint) if end == 'answered' else None
        self.send(OutcomeUnknown(operation) if end == 'lost' else Answered(operation, answer))

    @rule(
        kind=KINDS, deliver=st.integers(0, 2), end=st.sampled_from(ENDS), fresh=st.booleans()
    )
    def book(self, kind: str, deliver: int, end: str, fresh: bool) -> None:
        self.generation += fresh
        self.rights(may_act=True)
        self.ask(kind, b'x', 9.0, copies=2)
        self.admit(granted=True)
        if deliver > 0:
            self.deliver_to_standby(9)
        if deliver > 1:
            self.deliver_to_coordinator(last=True, repeat=False)
        self.end(kind, end)

    @rule(kind=KINDS, last=st.booleans())
    def leave(self, kind: str, last: bool) -> None:
        operation = f'{kind}{self.generation}'
        wanting = [a.request_id for a in self.asked.values() if a.operation_id == operation]
        if wanting:
            self.send(CallerLeft(wanting[-1 if last else 0], operation))

    @rule(may_act=st.booleans(), noted=st.booleans())
    def rights(self, may_act: bool, noted: bool = False) -> None:
        self.may_act = may_act
        self.send(RightsChanged(may_act))
        if noted:
            self.deliver_to_coordinator(last=True, repeat=True)

    @rule(early=st.booleans(), copied=COPIED, kind=KINDS)
    def crash(self, early: bool, copied: bool, kind: str) -> None:
        (record,) = self.notes.take_over(
            'a', (0,), self.now, replication_waived=self.replication_waived
        )
        self.start_over(record, early, copied)
        self.book(kind, deliver=2, end='none', fresh=False)

    @rule(early=st.booleans(), copied=COPIED)
    def move(self, early: bool, copied: bool) -> None:
        if not self.running:
            record = row_snapshot(self.memory, 0, self.now)
            self.send(RowLost(0))
            self.start_over(record, early, copied)

    def start_over(self, record: RowSnapshot, early: bool, copied: bool) -> None:
        """Let a coordinator take the row, before or after it has a standby."""
        self.memory, self.may_act = new_deduplication_table(), True
        self.running.clear()
        self.admitted.clear()
        if early:
            self.send(RowAcquired(record))
        self.new_standby(copied=copied and early)
        if not early:
            self.send(RowAcquired(record))
        if copied and not early:
            self.deliver_to_standby(9)

    @rule(seconds=st.sampled_from([0.5, 5, RETENTION_S / 2, RETENTION_S + 10]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.send(Tick())


RUNS = settings(max_examples=600, stateful_step_count=20, phases=[Phase.generate])

# The search differs with the modules that happen to be loaded, so one for a fault goes on
# until it finds it, far longer than it needs to.
SEARCH = settings(RUNS, max_examples=20_000)


def test_an_operation_runs_at_most_once() -> None:
    run_state_machine_as_test(OperationsMachine, settings=RUNS)


def _send_unnoted(memory: Any, operation: Any, effects: list[Any]) -> None:
    if operation.granted_at is not None and not operation.sent:
        operation.progress = Progress.DISPATCHED
        effects.append(Send(operation.request_id))


def _forget_unknown(records: Any, operation: Any, answer: Any) -> None:
    if operation.progress is Progress.UNKNOWN:
        records.remove(operation.operation_id)
    else:
        SETTLE(records, operation, answer)


COPY = ReplicateRowsToStandby
SETTLE = _records.OperationRecords.settle
BROKEN: list[tuple[object, str, Callable[..., Any] | float]] = [
    (_deduplication, '_send_if_safe', _send_unnoted),
    (_standby, '_gap_age_s', lambda notes, row, now, replication_waived: None),
    (
        _deduplication,
        'ReplicateRowsToStandby',
        lambda records, epoch: COPY(tuple(r._replace(snapshots=()) for r in records), epoch),
    ),
    (_records.OperationRecords, 'settle', _forget_unknown),
    (_deduplication, '_window_end', lambda gap_at: gap_at),
    (_deduplication, '_lose_rights', lambda memory, effects: None),
    (_deduplication, 'SKEW_S', -10.0),
]


@pytest.mark.parametrize(('owner', 'name', 'variant'), BROKEN)
def test_broken_variant_is_caught(
    owner: object, name: str, variant: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(owner, name, variant)
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_state_machine_as_test(OperationsMachine, settings=SEARCH)
