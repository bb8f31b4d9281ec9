"""Decides on the lease of one backend server: confirmation, takeover and transfer."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from coltsfootstair.leases._choice import (
    choose_standby,
    has_ended,
    is_best_claimant,
    is_unresponsive,
)
from coltsfootstair.leases._messages import (
    ConfirmationReceived,
    ConfirmationRequested,
    ReadFailed,
    ReadRecord,
    RecordObserved,
    RecordRead,
    RequestConfirmation,
    SendConfirmation,
    StartCoordinating,
    StopCoordinating,
    Tick,
    TransferRequested,
    WorkStopped,
    WriteAccepted,
    WriteConflicted,
    WriteRecord,
    WriteUnanswered,
)
from coltsfootstair.leases._record import LeaseRecord
from coltsfootstair.leases._state import (
    CONFIRMATION_INTERVAL_S,
    STANDBY_REPLICATION_WAIT_S,
    STANDBY_UNRESPONSIVE_AFTER_S,
    STORE_REACHABLE_S,
    STORE_RETRY_INTERVAL_S,
    SUSPECT_AFTER_S,
    TAKEOVER_WAIT_S,
    Lease,
    PendingWrite,
    is_coordinator,
    is_standby,
    may_coordinate,
)

if TYPE_CHECKING:
    from coltsfootstair.leases._messages import Effect, Event

__all__ = ['handle']

Step = tuple[Lease, list['Effect']]


def handle(lease: Lease, event: Event, now: float) -> Step:
    """Apply one event; return the new state and the effects to execute, in their order."""
    lease, effects = _apply_event(lease, event, now)
    lease, further = _take_next_step(lease, now)
    lease, changes = _update_coordination(lease, now)
    # This daemon must stop coordinating before it executes what was decided because of that.
    return lease, [*changes, *effects, *further]


def _apply_event(lease: Lease, event: Event, now: float) -> Step:
    match event:
        case Tick(peers):
            return lease._replace(peers=peers), []
        case RecordObserved(version, record):
            return _apply_record(lease, version, record, now), []
        case RecordRead():
            return _apply_read(lease, event, now), []
        case ReadFailed():
            return lease._replace(is_reading=False), []
        case WriteAccepted():
            return _apply_accepted_write(lease, event, now), []
        case WriteConflicted(expected_version) | WriteUnanswered(expected_version):
            return _mark_write_uncertain(lease, expected_version), []
        case ConfirmationRequested():
            return _answer_confirmation_request(lease, event, now)
        case ConfirmationReceived():
            return _apply_confirmation(lease, event), []
        case TransferRequested():
            return _start_transfer(lease, event, now), []
        case WorkStopped():
            return lease._replace(work_stopped=lease.successor is not None), []


def _apply_record(lease: Lease, version: int, record: LeaseRecord, now: float) -> Lease:
    """Apply a version of the record, present or past, if it is newer than the known one."""
    if version <= lease.version:
        return lease
    previous = lease.record if is_coordinator(lease) else None
    pending = lease.pending_write
    lease = lease._replace(version=version, record=record, record_since=now)
    if pending is not None and version > pending.expected_version:
        lease = lease._replace(pending_write=None)
    if not is_coordinator(lease):
        return lease._replace(
            coordinate_after=math.inf,
            confirmed_at=-math.inf,
            successor=None,
            work_stopped=False,
        )
    if previous is not None and previous.epoch == record.epoch:
        return lease
    # A record that names this process but was not written by it was transferred by a
    # coordinator that had stopped, so there is nothing to wait for.
    is_own_write = pending is not None and pending.record == record
    wait_s = pending.wait_s if pending is not None and is_own_write else 0.0
    return lease._replace(
        coordinate_after=now + wait_s, confirmed_at=-math.inf, successor=None
    )


def _apply_read(lease: Lease, read: RecordRead, now: float) -> Lease:
    """Apply a record read from the store; it confirms the lease if it names this process."""
    lease = lease._replace(
        is_reading=False, store_read_at=max(lease.store_read_at, read.sent_at)
    )
    if read.record is None:
        return lease
    lease = _apply_record(lease, read.version, read.record, now)
    if not is_coordinator(lease) or lease.record is None:
        return lease
    if read.record[:2] != lease.own[:2] or read.record.epoch != lease.record.epoch:
        return lease
    return lease._replace(confirmed_at=max(lease.confirmed_at, read.sent_at))


def _apply_accepted_write(lease: Lease, answer: WriteAccepted, now: float) -> Lease:
    """Apply a record that the store accepted; it confirms the lease from when it was sent."""
    pending = lease.pending_write
    if pending is None or (answer.record, answer.expected_version) != (
        pending.record,
        pending.expected_version,
    ):
        return lease
    lease = _apply_record(lease, answer.version, answer.record, now)
    if not is_coordinator(lease):
        return lease
    return lease._replace(confirmed_at=max(lease.confirmed_at, pending.sent_at))


def _mark_write_uncertain(lease: Lease, expected_version: int) -> Lease:
    pending = lease.pending_write
    if pending is None or pending.expected_version != expected_version:
        return lease
    return lease._replace(pending_write=pending._replace(is_uncertain=True))


def _answer_confirmation_request(
    lease: Lease, request: ConfirmationRequested, now: float
) -> Step:
    """Confirm the lease if the request shows the newest record, which names this standby."""
    lease = _apply_record(lease, request.version, request.record, now)
    is_newest = (lease.version, lease.record) == (request.version, request.record)
    if not is_newest or not is_standby(lease) or lease.pending_write is not None:
        return lease, []
    return lease, [SendConfirmation(request.version, request.record, request.sent_at)]


def _apply_confirmation(lease: Lease, confirmation: ConfirmationReceived) -> Lease:
    record = lease.record
    # While a change of the standby is pending, neither the old nor the new standby can
    # confirm the lease.
    if record is None or not is_coordinator(lease) or lease.pending_write is not None:
        return lease
    standby = (record.standby, record.standby_incarnation)
    if confirmation[:2] != standby or confirmation.version != lease.version:
        return lease
    return lease._replace(
        confirmed_at=max(lease.confirmed_at, confirmation.sent_at),
        standby_confirmed_at=max(lease.standby_confirmed_at, confirmation.sent_at),
    )


def _start_transfer(lease: Lease, request: TransferRequested, now: float) -> Lease:
    # While the store is unreachable the lease could neither be transferred nor kept.
    store_reachable = now - lease.store_read_at <= STORE_REACHABLE_S
    if (
        not may_coordinate(lease, now)
        or lease.pending_write is not None
        or not store_reachable
    ):
        return lease
    return lease._replace(successor=request.successor, work_stopped=False)


def _update_coordination(lease: Lease, now: float) -> Step:
    """Return the effects that start or stop coordination if the right to it has changed."""
    epoch = lease.record.epoch if lease.record and may_coordinate(lease, now) else 0
    if epoch == lease.coordinating_epoch:
        return lease, []
    effects: list[Effect] = [StopCoordinating()] if lease.coordinating_epoch else []
    if epoch:
        effects.append(StartCoordinating(epoch))
    return lease._replace(coordinating_epoch=epoch), effects


def _take_next_step(lease: Lease, now: float) -> Step:
    """Take the step that is due in the present state, if any."""
    if lease.pending_write is not None:
        return _resolve_pending_write(lease, now)
    if is_coordinator(lease):
        return _maintain_lease(lease, now)
    if _should_take_over(lease, now):
        return _take_over(lease, now)
    return lease, []


def _resolve_pending_write(lease: Lease, now: float) -> Step:
    """After an uncertain write, read the record; if it is unchanged, write it again."""
    pending = lease.pending_write
    if pending is None or not pending.is_uncertain:
        return lease, []
    if lease.store_read_at <= pending.sent_at:
        return _read_record(lease, now)
    # The read returned the old version, but the write may still be under way. Sending the
    # same write again makes sure that at most one of the two takes effect.
    pending = pending._replace(sent_at=now, is_uncertain=False)
    lease = lease._replace(pending_write=pending, store_called_at=now)
    return lease, [WriteRecord(pending.record, pending.expected_version)]


def _maintain_lease(lease: Lease, now: float) -> Step:
    """Have the lease confirmed by the standby, or else by the store, or transfer it."""
    record = lease.record
    if record is None:
        return lease, []
    if lease.successor is not None:
        return _write_transfer(lease, record, now)
    effects: list[Effect] = []
    if record.standby and now - lease.confirmation_requested_at >= CONFIRMATION_INTERVAL_S:
        lease = lease._replace(confirmation_requested_at=now)
        effects.append(RequestConfirmation(lease.version, record, now))
    if now - lease.standby_confirmed_at >= SUSPECT_AFTER_S:
        lease, further = _maintain_without_standby(lease, record, now)
        effects += further
    return lease, effects


def _maintain_without_standby(lease: Lease, record: LeaseRecord, now: float) -> Step:
    """Confirm the lease by a read of the store, or name another standby."""
    answered_at = max(lease.standby_confirmed_at, lease.record_since)
    needs_standby = not record.standby or now - answered_at >= STANDBY_UNRESPONSIVE_AFTER_S
    standby = choose_standby(lease) if needs_standby and not lease.peers.leaving else None
    # While the change is pending, confirmations by the old standby are ignored, so another
    # standby is named only while the store is reachable.
    if standby is None or now - lease.store_read_at > STORE_REACHABLE_S:
        return _read_record(lease, now)
    new = record._replace(standby=standby.name, standby_incarnation=standby.incarnation)
    return _write_record(lease, new, 0.0, now)


def _write_transfer(lease: Lease, record: LeaseRecord, now: float) -> Step:
    """Write the record with the successor as coordinator, once all work has stopped."""
    successor = lease.successor
    if successor is None or not lease.work_stopped:
        return lease, []
    standby = choose_standby(lease, successor=successor)
    name, incarnation = ('', '') if standby is None else standby[:2]
    new = LeaseRecord(
        successor.name, successor.incarnation, name, incarnation, record.epoch + 1
    )
    return _write_record(lease, new, 0.0, now)


def _should_take_over(lease: Lease, now: float) -> bool:
    """Return whether this daemon should replace the coordinator.

    A standby does so if the coordinator has ended, or is unresponsive and the standby was
    named long enough ago. Any other daemon does so only if nobody else may: if there is no
    record, or if the coordinator and its standby have ended.
    """
    record = lease.record
    if lease.peers.leaving:
        return False
    if record is None:
        return is_best_claimant(lease)
    ended = has_ended(lease.peers, record.coordinator, record.incarnation)
    if is_standby(lease):
        is_replicated = now - lease.record_since >= STANDBY_REPLICATION_WAIT_S
        return ended or (
            is_replicated
            and is_unresponsive(lease.peers, record.coordinator, record.incarnation)
        )
    if record.standby:
        ended = ended and has_ended(lease.peers, record.standby, record.standby_incarnation)
    return ended and is_best_claimant(lease)


def _take_over(lease: Lease, now: float) -> Step:
    """Write the record with this daemon as coordinator, while the store is reachable."""
    if now - lease.store_read_at > STORE_REACHABLE_S:
        return _read_record(lease, now)
    standby = choose_standby(lease)
    name, incarnation = ('', '') if standby is None else standby[:2]
    epoch = 1 if lease.record is None else lease.record.epoch + 1
    new = LeaseRecord(lease.own.name, lease.own.incarnation, name, incarnation, epoch)
    wait_s = 0.0 if lease.record is None else TAKEOVER_WAIT_S
    return _write_record(lease, new, wait_s, now)


def _read_record(lease: Lease, now: float) -> Step:
    if lease.is_reading or now - lease.store_called_at < STORE_RETRY_INTERVAL_S:
        return lease, []
    return lease._replace(is_reading=True, store_called_at=now), [ReadRecord(now)]


def _write_record(lease: Lease, record: LeaseRecord, wait_s: float, now: float) -> Step:
    pending = PendingWrite(record, lease.version, now, wait_s)
    lease = lease._replace(pending_write=pending, store_called_at=now)
    return lease, [WriteRecord(record, lease.version)]
