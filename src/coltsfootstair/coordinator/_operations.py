"""Carries out what the memory of operations decides for one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from coltsfootstair.coordinator._standby_link import StandbyLink
from coltsfootstair.operations import (
    Admit,
    Admitted,
    Answer,
    Answered,
    Asked,
    Gone,
    Granted,
    LostTrack,
    Noted,
    Refuse,
    RefusedUnsent,
    RightsChanged,
    RowLost,
    RowRecord,
    RowTaken,
    Send,
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
    from coltsfootstair.inner import RowHandedOver, Stream
    from coltsfootstair.operations import Effect, Event
    from coltsfootstair.results import Refusal

__all__ = ['OperationActions', 'OperationDeduplicator']

STANDBY_RECONNECT_PAUSE_S = 0.25
FIRST_EPOCH = 1
UNSERVED_ROW = -2
"""Stands for the rows that no coordinator of the server has held yet."""

REPLICATED_ROWS_VALID_S = 2.0
"""How long after a takeover a row is taken to be the one that was noted, in seconds."""


class OperationActions(Protocol):
    """What the coordinator does for the memory of operations."""

    def admit(self, exchange: Exchange) -> bool:
        """Ask for a slot; false if the request was refused at once."""

    def send(self, exchange: Exchange) -> None:
        """Send the request, which has a slot, to the backend server."""

    def withdraw(self, exchange: Exchange) -> None:
        """Take the request out of the queue, or give its unused slot back."""

    def hand_over_row(self, backend_server: str, row_epoch: int, record: RowRecord) -> None:
        """Pass what is known of a row's operations to its next owner's coordinator."""

    def connect_standby(self, standby: str) -> None:
        """Open the way to a standby, and tell of it by ``StandbyConnectFinished``."""


class OperationDeduplicator:
    """The memory of one backend server's operations, and the way to its standby.

    :param take_over: gives what this daemon has noted as the standby of the one before
    """

    def __init__(
        self,
        backend_server: str,
        clock: Clock,
        actions: OperationActions,
        take_over_records: Callable[[str], tuple[RowRecord, ...]],
    ) -> None:
        self._server_name = backend_server
        self._clock = clock
        self._actions = actions
        self._take_over_records = take_over_records
        self._memory = new_memory()
        self._exchange_by_id: dict[str, Exchange] = {}
        self._standby_link = StandbyLink(backend_server)
        self._standby: str | None = None
        self._epoch_by_row: dict[int, int] = {}
        self._stopping_rows: frozenset[int] = frozenset()
        self._replicated_by_row: dict[int, RowRecord] = {}
        self._handed_over_rows: set[int] = set()
        self._replicated_valid_until = 0.0
        self._handover_collected = False
        self._early_handovers_by_row: dict[int, list[RowHandedOver]] = {}
        self._lease_epoch = 0
        self._next_connect_at = 0.0

    def has_request(self, request_id: str) -> bool:
        """Tell whether a request with an operation id is under way here."""
        return request_id in self._exchange_by_id

    def submit(self, exchange: Exchange) -> None:
        """Take a request with an operation id."""
        head = exchange.head
        if head.request_id in self._exchange_by_id:
            return
        if head.slot in self._stopping_rows:
            exchange.refuse(not_coordinator(Ran.UNKNOWN))
            return
        self._exchange_by_id[head.request_id] = exchange
        body = head.body if head.complete else str(head.body_length).encode()
        age_s = id_age_s(head.operation_id, self._clock.now().timestamp())
        request_fingerprint = fingerprint(head.method, head.path, head.key, body)
        self._apply_event(
            Asked(
                head.request_id,
                head.operation_id,
                head.slot,
                request_fingerprint,
                exchange.deadline,
                age_s,
            )
        )

    def on_slot_assigned(self, exchange: Exchange) -> None:
        """Take in that admission has given the request a slot."""
        self._apply_event(Granted(exchange.head.operation_id))

    def on_refused(self, exchange: Exchange, refusal: Refusal) -> None:
        """Take in that admission has refused the request; its caller has its answer."""
        self._exchange_by_id.pop(exchange.head.request_id, None)
        self._apply_event(RefusedUnsent(exchange.head.operation_id, refusal))

    def on_exchange_ended(self, event: ExchangeEnded) -> None:
        """Take in the end of a request that was sent; its caller has its answer."""
        exchange = self._exchange_by_id.pop(event.request_id, None)
        if exchange is None:
            return
        operation_id = exchange.head.operation_id
        if event.refusal is None:
            self._apply_event(Answered(operation_id, exchange.kept_answer()))
        elif event.refusal.ran is Ran.NO:
            self._apply_event(RefusedUnsent(operation_id, event.refusal))
        else:
            self._apply_event(LostTrack(operation_id))

    def on_caller_left(self, request_id: str) -> None:
        """Take in that the caller of a request has gone."""
        exchange = self._exchange_by_id.get(request_id)
        if exchange is not None:
            self._apply_event(Gone(request_id, exchange.head.operation_id))
            if exchange.head.operation_id not in self._memory.entries.live_by_id:
                self._exchange_by_id.pop(request_id, None)

    def set_may_act(self, *, may_act: bool) -> None:
        """Take in that the coordinator has gained or lost the right to act."""
        self._apply_event(RightsChanged(may_act))

    def apply_rows_owned(self, owned: RowsOwned) -> None:
        """Follow the rows of the server and the standby that the record names."""
        epochs = {UNSERVED_ROW: FIRST_EPOCH, **owned.epoch_by_row}
        owned = owned._replace(epoch_by_row=epochs)
        if owned.lease_epoch != self._lease_epoch:
            # What others ran under the leases between is not known here.
            self._memory = new_memory()
            self._epoch_by_row = {}
            self._handover_collected = False
            self._handed_over_rows.clear()
            replicated = (
                self._take_over_records(self._server_name) if owned.lease_epoch > 1 else ()
            )
            self._replicated_by_row = {record.row: record for record in replicated}
            self._replicated_valid_until = self._clock.monotonic() + REPLICATED_ROWS_VALID_S
        if owned.lease_epoch != self._lease_epoch or owned.standby != self._standby:
            self._lease_epoch = owned.lease_epoch
            self._standby = owned.standby
            self._disconnect_standby()
        self._remove_lost_rows(owned)
        self._add_new_rows(owned)
        self._stopping_rows = owned.stopping

    def apply_handover(self, message: RowHandedOver) -> None:
        """Take what the coordinator of a row's earlier owner knew of its operations."""
        row = message.record.row
        known = self._epoch_by_row.get(row)
        has_new_owner = message.lease_epoch == 0
        if known is None or (not has_new_owner and message.lease_epoch >= self._lease_epoch):
            self._early_handovers_by_row.setdefault(row, []).append(message)
            return
        is_expected = (
            known == message.row_epoch and message.lease_epoch == self._lease_epoch - 1
        )
        if has_new_owner:
            is_expected = known == message.row_epoch + 1
        if not is_expected:
            return
        self._apply_event(RowTaken(message.record))
        self._handed_over_rows.add(row)
        if row == UNSERVED_ROW and message.record.gap_age_s is None:
            self._close_unserved_gaps()

    def _is_unserved(self, row: int, lease_epoch: int) -> bool:
        if row == UNSERVED_ROW:
            return lease_epoch == FIRST_EPOCH
        return self._memory.gap_at_by_row.get(UNSERVED_ROW, 0.0) is None

    def _close_unserved_gaps(self) -> None:
        """Close the gaps of rows that the coordinators before have never held."""
        for row, epoch in self._epoch_by_row.items():
            if epoch == FIRST_EPOCH and row not in self._handed_over_rows:
                self._apply_event(RowTaken(RowRecord(row, (), None)))

    def collect_handover(self, epoch: int) -> list[tuple[int, RowRecord]]:
        """Return all rows with their epochs for the coordinator under lease ``epoch``.

        Nothing, if that is not the next lease, or they have been given before.
        """
        if epoch != self._lease_epoch + 1 or self._handover_collected:
            return []
        self._handover_collected = True
        now = self._clock.monotonic()
        return [
            (row_epoch, row_record(self._memory, row, now))
            for row, row_epoch in sorted(self._epoch_by_row.items(), reverse=True)
        ]

    def on_standby_connect_finished(self, standby: str, stream: Stream | None) -> None:
        """Take the way to the standby; ``None`` if there is none."""
        if standby != self._standby or stream is None or self._standby_link.is_open:
            return
        self._standby_link.open(stream, self._lease_epoch)
        self._apply_event(StandbyChanged(self._standby_link.epoch))

    def on_stream_closed(self, stream: Stream) -> None:
        """Take in that an inner stream has ended."""
        if self._standby_link.is_using(stream):
            self._disconnect_standby()

    def on_replication_confirmed(self, stream: Stream, operation_id: str, epoch: int) -> None:
        """Take the standby's word that an operation is noted."""
        if self._standby_link.is_using(stream):
            self._apply_event(Noted(operation_id, epoch))

    def tick(self) -> None:
        """Let time pass, and look for the standby if the way to it is lost."""
        self._apply_event(Tick())
        now = self._clock.monotonic()
        if self._standby and not self._standby_link.is_open and now >= self._next_connect_at:
            self._next_connect_at = now + STANDBY_RECONNECT_PAUSE_S
            self._actions.connect_standby(self._standby)

    def _disconnect_standby(self) -> None:
        self._standby_link.close()
        self._next_connect_at = 0.0
        self._apply_event(StandbyUnreachable(waived=self._standby == ''))

    def _remove_lost_rows(self, owned: RowsOwned) -> None:
        now = self._clock.monotonic()
        for row in self._epoch_by_row.keys() - owned.epoch_by_row.keys():
            epoch = self._epoch_by_row.pop(row)
            record = row_record(self._memory, row, now)
            self._apply_event(RowLost(row))
            self._actions.hand_over_row(self._server_name, epoch, record)

    def _add_new_rows(self, owned: RowsOwned) -> None:
        new_rows = owned.epoch_by_row.keys() - self._epoch_by_row.keys()
        if not new_rows:
            return
        if self._clock.monotonic() >= self._replicated_valid_until:
            self._replicated_by_row.clear()
        for row in sorted(new_rows):
            epoch = owned.epoch_by_row[row]
            self._epoch_by_row[row] = epoch
            is_new = epoch == FIRST_EPOCH and self._is_unserved(row, owned.lease_epoch)
            default_record = RowRecord(row, (), None if is_new else 0.0)
            self._apply_event(RowTaken(self._replicated_by_row.pop(row, default_record)))
            for message in self._early_handovers_by_row.pop(row, []):
                self.apply_handover(message)

    def _apply_event(self, event: Event) -> None:
        self._memory, effects = handle(self._memory, event, self._clock.monotonic())
        for effect in effects:
            self._execute(effect)

    def _execute(self, effect: Effect) -> None:
        match effect:
            case Admit(request_id):
                exchange = self._exchange_by_id[request_id]
                if self._actions.admit(exchange):
                    self._apply_event(Admitted(exchange.head.operation_id))
            case Send(request_id):
                self._actions.send(self._exchange_by_id[request_id])
            case Answer(request_id, answer):
                if request_id in self._exchange_by_id:
                    self._exchange_by_id.pop(request_id).replay(answer)
            case Refuse(request_id, refusal):
                if request_id in self._exchange_by_id:
                    self._exchange_by_id.pop(request_id).refuse(refusal)
            case Withdraw(request_id):
                if request_id in self._exchange_by_id:
                    self._actions.withdraw(self._exchange_by_id[request_id])
            case _:
                self._standby_link.execute(effect)
