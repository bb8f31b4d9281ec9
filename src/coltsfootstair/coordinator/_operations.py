"""Executes the effects of the deduplication table of one backend server."""

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
    StandbyConnected,
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
    from coltsfootstair.inner import RowHandedOver, Stream
    from coltsfootstair.operations import Effect, Event
    from coltsfootstair.results import Refusal

__all__ = ['OperationActions', 'OperationDeduplicator']

STANDBY_RECONNECT_PAUSE_S = 0.25
"""Pause between two attempts to connect to the standby, in seconds."""

FIRST_EPOCH = 1
"""Epoch of a row that has had one owner only, and of a lease with one coordinator only."""

UNSERVED_ROW = -2
"""Row number that stands for all rows that no coordinator of the server has served yet."""

STANDBY_SNAPSHOTS_VALID_S = 2.0
"""How long after a takeover records received as standby are used for new rows, in seconds.

A row that is acquired later may have had another owner in between.
"""


class OperationActions(Protocol):
    """What the coordinator task does for the deduplicator."""

    def admit(self, exchange: Exchange) -> bool:
        """Submit the request to admission; return false if it was refused at once."""

    def send(self, exchange: Exchange) -> None:
        """Send the request, which has a slot, to the backend server."""

    def withdraw(self, exchange: Exchange) -> None:
        """Remove the request from the queue, or free the slot that it did not use."""

    def hand_over_row(
        self, backend_server: str, row_epoch: int, row_snapshot: RowSnapshot
    ) -> None:
        """Send the records of a row's operations to the coordinator of its next owner."""

    def connect_standby(self, standby: str) -> None:
        """Connect to a standby, and post ``StandbyConnectFinished`` when that has ended."""


class OperationDeduplicator:
    """Deduplicates the operations of one backend server and replicates their records.

    Used on the coordinator task's thread only.

    ``_standby`` is the daemon that the lease record names as standby; it is an empty string
    if the record names none, and ``None`` until ``apply_rows_owned`` is called.

    :param take_over_records: returns what the previous coordinator of a server has
        replicated to this daemon as its standby
    """

    def __init__(
        self,
        backend_server: str,
        clock: Clock,
        actions: OperationActions,
        take_over_records: Callable[[str], tuple[RowSnapshot, ...]],
    ) -> None:
        self._server_name = backend_server
        self._clock = clock
        self._actions = actions
        self._take_over_records = take_over_records
        self._table = new_deduplication_table()
        self._exchange_by_id: dict[str, Exchange] = {}
        self._standby_link = StandbyLink(backend_server)
        self._standby: str | None = None
        self._epoch_by_row: dict[int, int] = {}
        self._stopping_rows: frozenset[int] = frozenset()
        self._standby_snapshot_by_row: dict[int, RowSnapshot] = {}
        self._rows_with_received_handover: set[int] = set()
        self._standby_snapshots_valid_until = 0.0
        self._handover_collected = False
        self._early_handovers_by_row: dict[int, list[RowHandedOver]] = {}
        self._lease_epoch = 0
        self._next_connect_at = 0.0

    def has_request(self, request_id: str) -> bool:
        """Return whether a request with an operation id is being handled here."""
        return request_id in self._exchange_by_id

    def submit(self, exchange: Exchange) -> None:
        """Handle a request that has an operation id."""
        head = exchange.head
        if head.request_id in self._exchange_by_id:
            return
        if head.row in self._stopping_rows:
            exchange.refuse(not_coordinator_refusal(Ran.UNKNOWN))
            return
        self._exchange_by_id[head.request_id] = exchange
        body = head.body if head.complete else str(head.body_length).encode()
        age_s = id_age_s(head.operation_id, self._clock.now().timestamp())
        request_fingerprint = fingerprint(head.method, head.path, head.key, body)
        self._apply_event(
            RequestReceived(
                head.request_id,
                head.operation_id,
                head.row,
                request_fingerprint,
                exchange.deadline,
                age_s,
            )
        )

    def on_slot_assigned(self, exchange: Exchange) -> None:
        """Handle that admission has assigned a slot to the request."""
        self._apply_event(SlotAssigned(exchange.head.operation_id))

    def on_refused(self, exchange: Exchange, refusal: Refusal) -> None:
        """Handle that admission has refused the request; the caller has been answered."""
        self._exchange_by_id.pop(exchange.head.request_id, None)
        self._apply_event(NotRun(exchange.head.operation_id, refusal))

    def on_exchange_ended(self, event: ExchangeEnded) -> None:
        """Handle the end of a request that was sent; the caller has been answered."""
        exchange = self._exchange_by_id.pop(event.request_id, None)
        if exchange is None:
            return
        operation_id = exchange.head.operation_id
        if event.refusal is None:
            self._apply_event(Answered(operation_id, exchange.cached_answer()))
        elif event.refusal.ran is Ran.NO:
            self._apply_event(NotRun(operation_id, event.refusal))
        else:
            self._apply_event(OutcomeUnknown(operation_id))

    def on_caller_left(self, request_id: str) -> None:
        """Handle that the caller of a request has left."""
        exchange = self._exchange_by_id.get(request_id)
        if exchange is not None:
            self._apply_event(CallerLeft(request_id, exchange.head.operation_id))
            if exchange.head.operation_id not in self._table.records.unsettled_by_id:
                self._exchange_by_id.pop(request_id, None)

    def set_may_coordinate(self, *, may_coordinate: bool) -> None:
        """Set whether this daemon may coordinate the server."""
        self._apply_event(CoordinationChanged(may_coordinate))

    def apply_rows_owned(self, rows_owned: RowsOwned) -> None:
        """Apply the rows that the server owns and the standby that its lease record names."""
        epochs = {UNSERVED_ROW: FIRST_EPOCH, **rows_owned.epoch_by_row}
        rows_owned = rows_owned._replace(epoch_by_row=epochs)
        if rows_owned.lease_epoch != self._lease_epoch:
            # Under the leases in between, other daemons may have run operations unknown here.
            self._table = new_deduplication_table()
            self._epoch_by_row = {}
            self._handover_collected = False
            self._rows_with_received_handover.clear()
            standby_snapshots = (
                self._take_over_records(self._server_name)
                if rows_owned.lease_epoch > 1
                else ()
            )
            self._standby_snapshot_by_row = {
                snapshot.row: snapshot for snapshot in standby_snapshots
            }
            self._standby_snapshots_valid_until = (
                self._clock.monotonic() + STANDBY_SNAPSHOTS_VALID_S
            )
        if rows_owned.lease_epoch != self._lease_epoch or rows_owned.standby != self._standby:
            self._lease_epoch = rows_owned.lease_epoch
            self._standby = rows_owned.standby
            self._disconnect_standby()
        self._remove_lost_rows(rows_owned)
        self._add_new_rows(rows_owned)
        self._stopping_rows = rows_owned.stopping

    def apply_handover(self, message: RowHandedOver) -> None:
        """Apply the records that the previous coordinator of a row has sent.

        Records that arrive before this coordinator has their row or lease are stored until it
        has; records of an older epoch are ignored.
        """
        row = message.row_snapshot.row
        known_epoch = self._epoch_by_row.get(row)
        has_new_owner = message.lease_epoch == 0
        if known_epoch is None or (
            not has_new_owner and message.lease_epoch >= self._lease_epoch
        ):
            self._early_handovers_by_row.setdefault(row, []).append(message)
            return
        is_expected = (
            known_epoch == message.row_epoch and message.lease_epoch == self._lease_epoch - 1
        )
        if has_new_owner:
            is_expected = known_epoch == message.row_epoch + 1
        if not is_expected:
            return
        self._apply_event(RowAcquired(message.row_snapshot))
        self._rows_with_received_handover.add(row)
        if row == UNSERVED_ROW and message.row_snapshot.gap_age_s is None:
            self._mark_unserved_rows_complete()

    def _is_never_served(self, row: int, lease_epoch: int) -> bool:
        """Return whether it is known that no earlier coordinator has served the row.

        Only for rows in their first epoch. ``UNSERVED_ROW`` is known under the first lease;
        other rows are known once nothing is missing for ``UNSERVED_ROW``.
        """
        if row == UNSERVED_ROW:
            return lease_epoch == FIRST_EPOCH
        return self._table.gap_end_by_row.get(UNSERVED_ROW, 0.0) is None

    def _mark_unserved_rows_complete(self) -> None:
        """Mark the rows that no earlier coordinator has served as having no gap."""
        for row, epoch in self._epoch_by_row.items():
            if epoch == FIRST_EPOCH and row not in self._rows_with_received_handover:
                self._apply_event(RowAcquired(RowSnapshot(row, (), None)))

    def collect_handover(self, epoch: int) -> list[tuple[int, RowSnapshot]]:
        """Return the epoch and records of all rows, for the coordinator under lease ``epoch``.

        The list is empty if that is not the next lease, or if it was returned before.
        """
        if epoch != self._lease_epoch + 1 or self._handover_collected:
            return []
        self._handover_collected = True
        now = self._clock.monotonic()
        return [
            (row_epoch, row_snapshot(self._table, row, now))
            for row, row_epoch in sorted(self._epoch_by_row.items(), reverse=True)
        ]

    def on_standby_connect_finished(self, standby: str, stream: Stream | None) -> None:
        """Replicate over ``stream``; ``None`` means that the standby could not be reached."""
        if standby != self._standby or stream is None or self._standby_link.is_open:
            return
        self._standby_link.open(stream, self._lease_epoch)
        self._apply_event(StandbyConnected(self._standby_link.replication_epoch))

    def on_stream_closed(self, stream: Stream) -> None:
        """Handle that a stream to another daemon has closed."""
        if self._standby_link.is_using(stream):
            self._disconnect_standby()

    def on_replication_confirmed(
        self, stream: Stream, operation_id: str, replication_epoch: int
    ) -> None:
        """Handle that the standby has confirmed an operation."""
        if self._standby_link.is_using(stream):
            self._apply_event(Replicated(operation_id, replication_epoch))

    def tick(self) -> None:
        """Apply the passing of time, and reconnect to the standby if it is not connected."""
        self._apply_event(Tick())
        now = self._clock.monotonic()
        if self._standby and not self._standby_link.is_open and now >= self._next_connect_at:
            self._next_connect_at = now + STANDBY_RECONNECT_PAUSE_S
            self._actions.connect_standby(self._standby)

    def _disconnect_standby(self) -> None:
        self._standby_link.close()
        self._next_connect_at = 0.0
        self._apply_event(StandbyUnreachable(replication_waived=self._standby == ''))

    def _remove_lost_rows(self, rows_owned: RowsOwned) -> None:
        now = self._clock.monotonic()
        for row in self._epoch_by_row.keys() - rows_owned.epoch_by_row.keys():
            epoch = self._epoch_by_row.pop(row)
            snapshot = row_snapshot(self._table, row, now)
            self._apply_event(RowLost(row))
            self._actions.hand_over_row(self._server_name, epoch, snapshot)

    def _add_new_rows(self, rows_owned: RowsOwned) -> None:
        new_rows = rows_owned.epoch_by_row.keys() - self._epoch_by_row.keys()
        if not new_rows:
            return
        if self._clock.monotonic() >= self._standby_snapshots_valid_until:
            self._standby_snapshot_by_row.clear()
        for row in sorted(new_rows):
            epoch = rows_owned.epoch_by_row[row]
            self._epoch_by_row[row] = epoch
            is_never_served = epoch == FIRST_EPOCH and self._is_never_served(
                row, rows_owned.lease_epoch
            )
            default_snapshot = RowSnapshot(row, (), None if is_never_served else 0.0)
            self._apply_event(
                RowAcquired(self._standby_snapshot_by_row.pop(row, default_snapshot))
            )
            for message in self._early_handovers_by_row.pop(row, []):
                self.apply_handover(message)

    def _apply_event(self, event: Event) -> None:
        self._table, effects = handle(self._table, event, self._clock.monotonic())
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
            case Replay(request_id, answer):
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
