"""Carries out what the memory of operations decides for one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from coltsfootstair.inner import (
    NoteDropped,
    NoteOperation,
    NoteRows,
    NotesBegun,
    RowDropped,
)
from coltsfootstair.operations import (
    Admit,
    Admitted,
    Answer,
    Answered,
    Asked,
    CopyToStandby,
    DropRowAtStandby,
    ForgetAtStandby,
    Gone,
    Granted,
    LostTrack,
    NoteAtStandby,
    Noted,
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
    fingerprint,
    handle,
    id_age_s,
    new_memory,
    not_coordinator,
    row_record,
)
from coltsfootstair.results import Ran

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.coordinator._exchange import Exchange
    from coltsfootstair.coordinator._messages import ExchangeEnded, RowsOwned
    from coltsfootstair.inner import Message, RowHanded, Stream
    from coltsfootstair.operations import Effect, Event, Snapshot
    from coltsfootstair.results import Refusal

__all__ = ['OperationKeeper', 'OperationUser']

LINK_PAUSE_S = 0.25
EPOCH_BITS = 32
NOTES_FOR_S = 2.0
"""How long after a takeover a row is taken to be the one that was noted, in seconds."""


class OperationUser(Protocol):
    """What the coordinator does for the memory of operations."""

    def admit(self, exchange: Exchange) -> bool:
        """Ask for a slot; false if the request was refused at once."""

    def send(self, exchange: Exchange) -> None:
        """Send the request, which has a slot, to the backend server."""

    def withdraw(self, exchange: Exchange) -> None:
        """Take the request out of the queue, or give its unused slot back."""

    def hand_over(self, backend_server: str, row_epoch: int, record: RowRecord) -> None:
        """Pass what is known of a row's operations to its next owner's coordinator."""

    def link(self, standby: str) -> None:
        """Open the way to a standby, and tell of it by ``StandbyLinked``."""


class OperationKeeper:
    """The memory of one backend server's operations, and the way to its standby.

    :param take_over: gives what this daemon has noted as the standby of the one before
    """

    def __init__(
        self,
        backend_server: str,
        clock: Clock,
        user: OperationUser,
        take_over: Callable[[str], tuple[RowRecord, ...]],
    ) -> None:
        self._name = backend_server
        self._clock = clock
        self._user = user
        self._take_over = take_over
        self._memory = new_memory()
        self._exchange_by_id: dict[str, Exchange] = {}
        self._stream: Stream | None = None
        self._standby: str | None = None
        self._epoch_by_row: dict[int, int] = {}
        self._stopping: frozenset[int] = frozenset()
        self._noted_by_row: dict[int, RowRecord] = {}
        self._noted_until = 0.0
        self._left = False
        self._handed_by_row: dict[int, list[RowHanded]] = {}
        self._lease_epoch = 0
        self._epoch = 0
        self._link_at = 0.0

    def holds(self, request_id: str) -> bool:
        """Tell whether a request with an operation id is under way here."""
        return request_id in self._exchange_by_id

    def ask(self, exchange: Exchange) -> None:
        """Take a request with an operation id."""
        head = exchange.head
        if head.request_id in self._exchange_by_id:
            return
        if head.slot in self._stopping:
            exchange.refuse(not_coordinator(Ran.UNKNOWN))
            return
        self._exchange_by_id[head.request_id] = exchange
        body = head.body if head.complete else str(head.body_length).encode()
        age_s = id_age_s(head.operation_id, self._clock.now().timestamp())
        print_ = fingerprint(head.method, head.path, head.key, body)
        self._handle(
            Asked(
                head.request_id,
                head.operation_id,
                head.slot,
                print_,
                exchange.deadline,
                age_s,
            )
        )

    def granted(self, exchange: Exchange) -> None:
        """Take in that admission has given the request a slot."""
        self._handle(Granted(exchange.head.operation_id))

    def refused(self, exchange: Exchange, refusal: Refusal) -> None:
        """Take in that admission has refused the request; its caller has been told."""
        self._exchange_by_id.pop(exchange.head.request_id, None)
        self._handle(RefusedUnsent(exchange.head.operation_id, refusal))

    def ended(self, event: ExchangeEnded) -> None:
        """Take in the end of a request that was sent; its caller has been told."""
        exchange = self._exchange_by_id.pop(event.request_id, None)
        if exchange is None:
            return
        operation_id = exchange.head.operation_id
        if event.refusal is None:
            self._handle(Answered(operation_id, exchange.kept_answer()))
        elif event.refusal.ran is Ran.NO:
            self._handle(RefusedUnsent(operation_id, event.refusal))
        else:
            self._handle(LostTrack(operation_id))

    def gone(self, request_id: str) -> None:
        """Take in that the caller of a request has gone."""
        exchange = self._exchange_by_id.get(request_id)
        if exchange is not None:
            self._handle(Gone(request_id, exchange.head.operation_id))
            if exchange.head.operation_id not in self._memory.entries.live_by_id:
                self._exchange_by_id.pop(request_id, None)

    def rights(self, *, may_act: bool) -> None:
        """Take in that the coordinator has gained or lost the right to act."""
        self._handle(RightsChanged(may_act))

    def owned(self, owned: RowsOwned) -> None:
        """Follow the rows of the server and the standby that the record names."""
        if owned.lease_epoch != self._lease_epoch:
            # What others ran under the leases between is not known here.
            self._memory = new_memory()
            self._epoch_by_row = {}
            self._left = False
            noted = self._take_over(self._name) if owned.lease_epoch > 1 else ()
            self._noted_by_row = {record.row: record for record in noted}
            self._noted_until = self._clock.monotonic() + NOTES_FOR_S
        if owned.lease_epoch != self._lease_epoch or owned.standby != self._standby:
            self._lease_epoch = owned.lease_epoch
            self._standby = owned.standby
            self._unlink()
        self._lose_rows(owned)
        self._take_rows(owned)
        self._stopping = owned.stopping

    def handed(self, message: RowHanded) -> None:
        """Take what the coordinator of a row's earlier owner knew of its operations."""
        row = message.record.row
        known = self._epoch_by_row.get(row)
        if known is None or message.lease_epoch >= self._lease_epoch:
            self._handed_by_row.setdefault(row, []).append(message)
        elif (message.lease_epoch == 0 and known == message.row_epoch + 1) or (
            message.lease_epoch == self._lease_epoch - 1 and known == message.row_epoch
        ):
            self._handle(RowTaken(message.record))

    def leave(self, epoch: int) -> list[tuple[int, RowRecord]]:
        """Return all rows with their epochs for the coordinator under lease ``epoch``.

        Nothing, if that is not the next lease, or they have been given before.
        """
        if epoch != self._lease_epoch + 1 or self._left:
            return []
        self._left = True
        now = self._clock.monotonic()
        return [
            (row_epoch, row_record(self._memory, row, now))
            for row, row_epoch in self._epoch_by_row.items()
        ]

    def linked(self, standby: str, stream: Stream | None) -> None:
        """Take the way to the standby; ``None`` if there is none."""
        if standby != self._standby or stream is None or self._stream is not None:
            return
        self._epoch += 1
        self._stream = stream
        epoch = (self._lease_epoch << EPOCH_BITS) + self._epoch
        stream.send(NotesBegun(self._name, epoch))
        self._handle(StandbyChanged(epoch))

    def stream_closed(self, stream: Stream) -> None:
        """Take in that an inner stream has ended."""
        if stream is self._stream:
            self._unlink()

    def noted(self, stream: Stream, operation_id: str, epoch: int) -> None:
        """Take the standby's word that an operation is noted."""
        if stream is self._stream:
            self._handle(Noted(operation_id, epoch))

    def tick(self) -> None:
        """Let time pass, and look for the standby if the way to it is lost."""
        self._handle(Tick())
        now = self._clock.monotonic()
        if self._standby and self._stream is None and now >= self._link_at:
            self._link_at = now + LINK_PAUSE_S
            self._user.link(self._standby)

    def _unlink(self) -> None:
        self._stream = None
        self._link_at = 0.0
        self._handle(StandbyUnreachable(waived=self._standby == ''))

    def _lose_rows(self, owned: RowsOwned) -> None:
        now = self._clock.monotonic()
        for row in self._epoch_by_row.keys() - owned.epoch_by_row.keys():
            epoch = self._epoch_by_row.pop(row)
            record = row_record(self._memory, row, now)
            self._handle(RowLost(row))
            self._user.hand_over(self._name, epoch, record)

    def _take_rows(self, owned: RowsOwned) -> None:
        taken = owned.epoch_by_row.keys() - self._epoch_by_row.keys()
        if not taken:
            return
        if self._clock.monotonic() >= self._noted_until:
            self._noted_by_row.clear()
        for row in taken:
            epoch = owned.epoch_by_row[row]
            self._epoch_by_row[row] = epoch
            fresh = owned.lease_epoch == 1 and epoch == 1
            unknown = RowRecord(row, (), None if fresh else 0.0)
            self._handle(RowTaken(self._noted_by_row.pop(row, unknown)))
            for message in self._handed_by_row.pop(row, []):
                self.handed(message)

    def _handle(self, event: Event) -> None:
        self._memory, effects = handle(self._memory, event, self._clock.monotonic())
        for effect in effects:
            self._carry_out(effect)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Admit(request_id):
                exchange = self._exchange_by_id[request_id]
                if self._user.admit(exchange):
                    self._handle(Admitted(exchange.head.operation_id))
            case Send(request_id):
                self._user.send(self._exchange_by_id[request_id])
            case Answer(request_id, answer):
                if request_id in self._exchange_by_id:
                    self._exchange_by_id.pop(request_id).replay(answer)
            case Refuse(request_id, refusal):
                if request_id in self._exchange_by_id:
                    self._exchange_by_id.pop(request_id).refuse(refusal)
            case Withdraw(request_id):
                if request_id in self._exchange_by_id:
                    self._user.withdraw(self._exchange_by_id[request_id])
            case _:
                self._tell_standby(effect)

    def _tell_standby(self, effect: Effect) -> None:
        match effect:
            case NoteAtStandby(snapshot, epoch):
                self._post(NoteOperation(self._name, epoch, snapshot, confirm=True))
            case SettleAtStandby(snapshot):
                self._post(self._note(snapshot))
            case ForgetAtStandby(operation_id):
                self._post(NoteDropped(self._name, self._notes_epoch, operation_id))
            case DropRowAtStandby(row):
                self._post(RowDropped(self._name, self._notes_epoch, row))
            case CopyToStandby(records, epoch):
                for record in records:
                    for snapshot in record.snapshots:
                        self._post(self._note(snapshot))
                bare = tuple(record._replace(snapshots=()) for record in records)
                self._post(NoteRows(self._name, epoch, bare))

    @property
    def _notes_epoch(self) -> int:
        return (self._lease_epoch << EPOCH_BITS) + self._epoch

    def _note(self, snapshot: Snapshot) -> NoteOperation:
        return NoteOperation(self._name, self._notes_epoch, snapshot, confirm=False)

    def _post(self, message: Message) -> None:
        if self._stream is not None:
            self._stream.send(message)
