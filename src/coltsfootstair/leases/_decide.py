"""Decides who coordinates a backend server: renewal, takeover, handover."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from coltsfootstair.leases._choice import best_claimant, is_gone, is_lost, other_standby
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
    HEARTBEAT_S,
    STANDBY_COPY_S,
    STANDBY_LOST_S,
    STORE_REACHABLE_S,
    STORE_RETRY_S,
    SUSPECT_S,
    TAKEOVER_WAIT_S,
    Lease,
    Pending,
    is_coordinator,
    is_standby,
    may_coordinate,
)

if TYPE_CHECKING:
    from coltsfootstair.leases._messages import Effect, Event

__all__ = ['handle']

Step = tuple[Lease, list['Effect']]


def handle(lease: Lease, event: Event, now: float) -> Step:
    """Take one event in; return the new state and what is to be done."""
    lease, effects = _take(lease, event, now)
    lease, further = _progress(lease, now)
    lease, rights = _settle_rights(lease, now)
    # Rights that end must end before anything that was decided on their end.
    return lease, [*rights, *effects, *further]


def _take(lease: Lease, event: Event, now: float) -> Step:
    match event:
        case Tick(peers):
            return lease._replace(peers=peers), []
        case RecordObserved(version, record):
            return _adopt(lease, version, record, now), []
        case RecordRead():
            return _take_read(lease, event, now), []
        case ReadFailed():
            return lease._replace(reading=False), []
        case WriteAccepted():
            return _take_write(lease, event, now), []
        case WriteConflicted(expected) | WriteUnanswered(expected):
            return _doubt_write(lease, expected), []
        case ConfirmationRequested():
            return _take_question(lease, event, now)
        case ConfirmationReceived():
            return _take_confirmation(lease, event), []
        case TransferRequested():
            return _begin_hand_over(lease, event, now), []
        case WorkStopped():
            return lease._replace(work_stopped=lease.successor is not None), []


def _adopt(lease: Lease, version: int, record: LeaseRecord, now: float) -> Lease:
    """Take in a record that was true at some time, if it is newer than what is known."""
    if version <= lease.version:
        return lease
    was = lease.record if is_coordinator(lease) else None
    pending = lease.pending
    lease = lease._replace(version=version, record=record, standby_since=now)
    if pending is not None and version > pending.expected:
        lease = lease._replace(pending=None)
    if not is_coordinator(lease):
        return lease._replace(
            act_after=math.inf, confirmed_at=-math.inf, successor=None, work_stopped=False
        )
    if was is not None and was.epoch == record.epoch:
        return lease
    # A record that names this process without its doing was handed over by a
    # coordinator that had stopped.
    mine = pending is not None and pending.record == record
    wait_s = pending.wait_s if pending is not None and mine else 0.0
    return lease._replace(act_after=now + wait_s, confirmed_at=-math.inf, successor=None)


def _take_read(lease: Lease, read: RecordRead, now: float) -> Lease:
    lease = lease._replace(
        reading=False, store_read_at=max(lease.store_read_at, read.asked_at)
    )
    if read.record is None:
        return lease
    lease = _adopt(lease, read.version, read.record, now)
    if not is_coordinator(lease) or lease.record is None:
        return lease
    if read.record[:2] != lease.own[:2] or read.record.epoch != lease.record.epoch:
        return lease
    return lease._replace(confirmed_at=max(lease.confirmed_at, read.asked_at))


def _take_write(lease: Lease, answer: WriteAccepted, now: float) -> Lease:
    pending = lease.pending
    if pending is None or (answer.record, answer.expected) != (
        pending.record,
        pending.expected,
    ):
        return lease
    lease = _adopt(lease, answer.version, answer.record, now)
    if not is_coordinator(lease):
        return lease
    return lease._replace(confirmed_at=max(lease.confirmed_at, pending.sent_at))


def _doubt_write(lease: Lease, expected: int) -> Lease:
    pending = lease.pending
    if pending is None or pending.expected != expected:
        return lease
    return lease._replace(pending=pending._replace(unsure=True))


def _take_question(lease: Lease, asked: ConfirmationRequested, now: float) -> Step:
    lease = _adopt(lease, asked.version, asked.record, now)
    known = (lease.version, lease.record) == (asked.version, asked.record)
    if not known or not is_standby(lease) or lease.pending is not None:
        return lease, []
    return lease, [SendConfirmation(asked.version, asked.record, asked.asked_at)]


def _take_confirmation(lease: Lease, confirmed: ConfirmationReceived) -> Lease:
    record = lease.record
    # While a change of the standby is in doubt neither the old nor the new one counts.
    if record is None or not is_coordinator(lease) or lease.pending is not None:
        return lease
    standby = (record.standby, record.standby_incarnation)
    if confirmed[:2] != standby or confirmed.version != lease.version:
        return lease
    return lease._replace(
        confirmed_at=max(lease.confirmed_at, confirmed.asked_at),
        standby_confirmed_at=max(lease.standby_confirmed_at, confirmed.asked_at),
    )


def _begin_hand_over(lease: Lease, order: TransferRequested, now: float) -> Lease:
    # Without the store the lease could neither be given away nor kept.
    fresh = now - lease.store_read_at <= STORE_REACHABLE_S
    if not may_coordinate(lease, now) or lease.pending is not None or not fresh:
        return lease
    return lease._replace(successor=order.successor, work_stopped=False)


def _settle_rights(lease: Lease, now: float) -> Step:
    epoch = lease.record.epoch if lease.record and may_coordinate(lease, now) else 0
    if epoch == lease.coordinating_epoch:
        return lease, []
    effects: list[Effect] = [StopCoordinating()] if lease.coordinating_epoch else []
    if epoch:
        effects.append(StartCoordinating(epoch))
    return lease._replace(coordinating_epoch=epoch), effects


def _progress(lease: Lease, now: float) -> Step:
    """Do what the present state calls for."""
    if lease.pending is not None:
        return _settle_pending(lease, now)
    if is_coordinator(lease):
        return _keep(lease, now)
    if _should_replace(lease, now):
        return _replace_coordinator(lease, now)
    return lease, []


def _settle_pending(lease: Lease, now: float) -> Step:
    pending = lease.pending
    if pending is None or not pending.unsure:
        return lease, []
    if lease.store_read_at <= pending.sent_at:
        return _read(lease, now)
    # The read shows the old version, but the update may be under way still: only the
    # same update again makes it certain that one of them, or neither, takes effect.
    pending = pending._replace(sent_at=now, unsure=False)
    lease = lease._replace(pending=pending, called_store_at=now)
    return lease, [WriteRecord(pending.record, pending.expected)]


def _keep(lease: Lease, now: float) -> Step:
    record = lease.record
    if record is None:
        return lease, []
    if lease.successor is not None:
        return _hand_over(lease, record, now)
    effects: list[Effect] = []
    if record.standby and now - lease.asked_standby_at >= HEARTBEAT_S:
        lease = lease._replace(asked_standby_at=now)
        effects.append(RequestConfirmation(lease.version, record, now))
    if now - lease.standby_confirmed_at >= SUSPECT_S:
        lease, further = _do_without_standby(lease, record, now)
        effects += further
    return lease, effects


def _do_without_standby(lease: Lease, record: LeaseRecord, now: float) -> Step:
    heard_at = max(lease.standby_confirmed_at, lease.standby_since)
    silent = not record.standby or now - heard_at >= STANDBY_LOST_S
    standby = other_standby(lease) if silent and not lease.peers.leaving else None
    # A change in doubt makes the old standby count for nothing: ask for one only while
    # the store is seen to answer.
    if standby is None or now - lease.store_read_at > STORE_REACHABLE_S:
        return _read(lease, now)
    new = record._replace(standby=standby.name, standby_incarnation=standby.incarnation)
    return _write(lease, new, 0.0, now)


def _hand_over(lease: Lease, record: LeaseRecord, now: float) -> Step:
    successor = lease.successor
    if successor is None or not lease.work_stopped:
        return lease, []
    standby = other_standby(lease, besides=successor)
    name, incarnation = ('', '') if standby is None else standby[:2]
    new = LeaseRecord(
        successor.name, successor.incarnation, name, incarnation, record.epoch + 1
    )
    return _write(lease, new, 0.0, now)


def _should_replace(lease: Lease, now: float) -> bool:
    record = lease.record
    if lease.peers.leaving:
        return False
    if record is None:
        return best_claimant(lease)
    has_ended = is_gone(lease.peers, record.coordinator, record.incarnation)
    if is_standby(lease):
        copied = now - lease.standby_since >= STANDBY_COPY_S
        return has_ended or (
            copied and is_lost(lease.peers, record.coordinator, record.incarnation)
        )
    if record.standby:
        has_ended = has_ended and is_gone(
            lease.peers, record.standby, record.standby_incarnation
        )
    return has_ended and best_claimant(lease)


def _replace_coordinator(lease: Lease, now: float) -> Step:
    if now - lease.store_read_at > STORE_REACHABLE_S:
        return _read(lease, now)
    standby = other_standby(lease)
    name, incarnation = ('', '') if standby is None else standby[:2]
    epoch = 1 if lease.record is None else lease.record.epoch + 1
    new = LeaseRecord(lease.own.name, lease.own.incarnation, name, incarnation, epoch)
    wait_s = 0.0 if lease.record is None else TAKEOVER_WAIT_S
    return _write(lease, new, wait_s, now)


def _read(lease: Lease, now: float) -> Step:
    if lease.reading or now - lease.called_store_at < STORE_RETRY_S:
        return lease, []
    return lease._replace(reading=True, called_store_at=now), [ReadRecord(now)]


def _write(lease: Lease, record: LeaseRecord, wait_s: float, now: float) -> Step:
    pending = Pending(record, lease.version, now, wait_s)
    lease = lease._replace(pending=pending, called_store_at=now)
    return lease, [WriteRecord(record, lease.version)]
