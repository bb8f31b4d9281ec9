"""Carries out what the memory of operations decides for one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from coltsfootstair.coordinator._standby_link import StandbyLink
from coltsfootstair.operations import (
    Admit,
    Admitted,
    Answered,
    CallerLeft,
    CoordinationChanged,
    NotRun,
    OutcomeUnknown,
    Refuse,
    Replay,
    Replicated,
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
    fingerprint,
    handle,
    id_age_s,
    new_deduplication_table,
    not_coordinator_refusal,
    row_snapshot,
)
from coltsfootstair.results import Ran

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.coordinator._exchange import Exchange
    from coltsfootstair.coordinator._messages import ExchangeEnded, RowsOwned
    from coltsfootstair.inner import RowHanded, Stream
    from coltsfootstair.operations import Effect, Event
    from coltsfootstair.results import Refusal

__all__ = ['OperationKeeper', 'OperationUser']

LINK_PAUSE_S = 0.25
FIRST_EPOCH = 1
UNSERVED_ROW = -2
"""Stands for the rows that no coordinator of the server has held yet."""

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

    def hand_over(self, backend_server: str, row_epoch: int, record: RowSnapshot) -> None:
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
        take_over: Callable[[str], tuple[RowSnapshot, ...]],
    ) -> None:
        self._name = backend_server
        self._clock = clock
        self._user = user
        self._take_over = take_over
        self._memory = new_deduplication_table()
        self._exchange_by_id: dict[str, Exchange] = {}
        self._link = StandbyLink(backend_server)
        self._standby: str | None = None
        self._epoch_by_row: dict[int, int] = {}
        self._stopping: frozenset[int] = frozenset()
        self._noted_by_row: dict[int, RowSnapshot] = {}
        self._handed_rows: set[int] = set()
        self._noted_until = 0.0
        self._left = False
        self._handed_by_row: dict[int, list[RowHanded]] = {}
        self._lease_epoch = 0
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
            exchange.refuse(not_coordinator_refusal(Ran.UNKNOWN))
            return
        self._exchange_by_id[head.request_id] = exchange
        body = head.body if head.complete else str(head.body_length).encode()
        age_s = id_age_s(head.operation_id, self._clock.now().timestamp())
        print_ = fingerprint(head.method, head.path, head.key, body)
        self._handle(
            RequestReceived(
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
        self._handle(SlotAssigned(exchange.head.operation_id))

    def refused(self, exchange: Exchange, refusal: Refusal) -> None:
        """Take in that admission has refused the request; its caller has its answer."""
        self._exchange_by_id.pop(exchange.head.request_id, None)
        self._handle(NotRun(exchange.head.operation_id, refusal))

    def ended(self, event: ExchangeEnded) -> None:
        """Take in the end of a request that was sent; its caller has its answer."""
        exchange = self._exchange_by_id.pop(event.request_id, None)
        if exchange is None:
            return
        operation_id = exchange.head.operation_id
        if event.refusal is None:
            self._handle(Answered(operation_id, exchange.kept_answer()))
        elif event.refusal.ran is Ran.NO:
            self._handle(NotRun(operation_id, event.refusal))
        else:
            self._handle(OutcomeUnknown(operation_id))

    def gone(self, request_id: str) -> None:
        """Take in that the caller of a request has gone."""
        exchange = self._exchange_by_id.get(request_id)
        if exchange is not None:
            self._handle(CallerLeft(request_id, exchange.head.operation_id))
            if exchange.head.operation_id not in self._memory.records.unsettled_by_id:
                self._exchange_by_id.pop(request_id, None)

    def rights(self, *, may_coordinate: bool) -> None:
        """Take in that the coordinator has gained or lost the right to act."""
        self._handle(CoordinationChanged(may_coordinate))

    def owned(self, owned: RowsOwned) -> None:
        """Follow the rows of the server and the standby that the record names."""
        epochs = {UNSERVED_ROW: FIRST_EPOCH, **owned.epoch_by_row}
        owned = owned._replace(epoch_by_row=epochs)
        if owned.lease_epoch != self._lease_epoch:
            # What others ran under the leases between is not known here.
            self._memory = new_deduplication_table()
            self._epoch_by_row = {}
            self._left = False
            self._handed_rows.clear()
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
        moved = message.lease_epoch == 0
        if known is None or (not moved and message.lease_epoch >= self._lease_epoch):
            self._handed_by_row.setdefault(row, []).append(message)
            return
        due = known == message.row_epoch and message.lease_epoch == self._lease_epoch - 1
        if moved:
            due = known == message.row_epoch + 1
        if not due:
            return
        self._handle(RowAcquired(message.record))
        self._handed_rows.add(row)
        if row == UNSERVED_ROW and message.record.gap_age_s is None:
            self._close_unserved()

    def _is_unserved(self, row: int, lease_epoch: int) -> bool:
        if row == UNSERVED_ROW:
            return lease_epoch == FIRST_EPOCH
        return self._memory.gap_end_by_row.get(UNSERVED_ROW, 0.0) is None

    def _close_unserved(self) -> None:
        """Close the gaps of rows that the coordinators before have never held."""
        for row, epoch in self._epoch_by_row.items():
            if epoch == FIRST_EPOCH and row not in self._handed_rows:
                self._handle(RowAcquired(RowSnapshot(row, (), None)))

    def leave(self, epoch: int) -> list[tuple[int, RowSnapshot]]:
        """Return all rows with their epochs for the coordinator under lease ``epoch``.

        Nothing, if that is not the next lease, or they have been given before.
        """
        if epoch != self._lease_epoch + 1 or self._left:
            return []
        self._left = True
        now = self._clock.monotonic()
        return [
            (row_epoch, row_snapshot(self._memory, row, now))
            for row, row_epoch in sorted(self._epoch_by_row.items(), reverse=True)
        ]

    def linked(self, standby: str, stream: Stream | None) -> None:
        """Take the way to the standby; ``None`` if there is none."""
        if standby != self._standby or stream is None or self._link.is_open:
            return
        self._link.open(stream, self._lease_epoch)
        self._handle(StandbyChanged(self._link.epoch))

    def stream_closed(self, stream: Stream) -> None:
        """Take in that an inner stream has ended."""
        if self._link.uses(stream):
            self._unlink()

    def noted(self, stream: Stream, operation_id: str, epoch: int) -> None:
        """Take the standby's word that an operation is noted."""
        if self._link.uses(stream):
            self._handle(Replicated(operation_id, epoch))

    def tick(self) -> None:
        """Let time pass, and look for the standby if the way to it is lost."""
        self._handle(Tick())
        now = self._clock.monotonic()
        if self._standby and not self._link.is_open and now >= self._link_at:
            self._link_at = now + LINK_PAUSE_S
            self._user.link(self._standby)

    def _unlink(self) -> None:
        self._link.close()
        self._link_at = 0.0
        self._handle(StandbyUnreachable(replication_waived=self._standby == ''))

    def _lose_rows(self, owned: RowsOwned) -> None:
        now = self._clock.monotonic()
        for row in self._epoch_by_row.keys() - owned.epoch_by_row.keys():
            epoch = self._epoch_by_row.pop(row)
            record = row_snapshot(self._memory, row, now)
            self._handle(RowLost(row))
            self._user.hand_over(self._name, epoch, record)

    def _take_rows(self, owned: RowsOwned) -> None:
        taken = owned.epoch_by_row.keys() - self._epoch_by_row.keys()
        if not taken:
            return
        if self._clock.monotonic() >= self._noted_until:
            self._noted_by_row.clear()
        for row in sorted(taken):
            epoch = owned.epoch_by_row[row]
            self._epoch_by_row[row] = epoch
            fresh = epoch == FIRST_EPOCH and self._is_unserved(row, owned.lease_epoch)
            unknown = RowSnapshot(row, (), None if fresh else 0.0)
            self._handle(RowAcquired(self._noted_by_row.pop(row, unknown)))
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
            case Replay(request_id, answer):
                if request_id in self._exchange_by_id:
                    self._exchange_by_id.pop(request_id).replay(answer)
            case Refuse(request_id, refusal):
                if request_id in self._exchange_by_id:
                    self._exchange_by_id.pop(request_id).refuse(refusal)
            case Withdraw(request_id):
                if request_id in self._exchange_by_id:
                    self._user.withdraw(self._exchange_by_id[request_id])
            case _:
                self._link.carry_out(effect)
