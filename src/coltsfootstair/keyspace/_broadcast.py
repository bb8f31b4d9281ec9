"""Sends messages to one daemon, or to all daemons that report to the keeper."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any

import msgspec
import structlog

from coltsfootstair.errors import ProtocolError
from coltsfootstair.keyspace._delta_parts import build_delta_parts
from coltsfootstair.objects import Change, RelayedChanges, StoredObject, UnreadableValue
from coltsfootstair.peers import ObjectsUpdate, encode_message

if TYPE_CHECKING:
    from coltsfootstair.http1 import Address
    from coltsfootstair.keyspace._dependencies import Channel
    from coltsfootstair.keyspace._reports import LatestReports
    from coltsfootstair.peers import DeltaPart, Message

__all__ = ['Broadcaster', 'build_objects_update', 'read_objects_update']

logger = structlog.get_logger()

_UNREADABLE_CODE = 1
"""Code of the extension type of msgpack that stands for an unreadable value, with its reason;
part of the format between daemons."""

MAX_UPDATE_BYTES = 16 * 1024
"""Largest message of changed objects that is sent as a datagram, in bytes; each daemon reads
larger changes from the store itself, unless what differs is sent."""

MAX_BURST_S = 0.2
"""Most that waits to be sent of large changes, as the time for which it would take this VM's
whole link, in seconds."""

PACE_INTERVAL_S = 0.01
"""Time between two groups of datagrams of a large change, in seconds."""

PACE_LINK_SHARE = 0.6
"""Share of this VM's link that the datagrams of a large change may take."""


class Broadcaster:
    """Sends messages over the channel between daemons.

    :param reports: the latest reports to the keeper, from which the addresses of other daemons
        are known
    :param own_address: where this daemon listens; ``send_to_all`` leaves it out
    :param link_mbps: bandwidth of this VM's link, in megabits a second
    """

    def __init__(
        self, reports: LatestReports, own_address: Address, link_mbps: float = 1000.0
    ) -> None:
        self._link_bytes_per_s = link_mbps * 1e6 / 8
        self._unsent: deque[tuple[DeltaPart, Address]] = deque()
        self._unsent_bytes = 0
        self._latest_reports = reports
        self._own_address = own_address
        self._channel: Channel | None = None

    def attach(self, channel: Channel) -> None:
        """Send over ``channel`` from now on; without a channel, messages are dropped."""
        self._channel = channel

    def send(self, message: Message, address: Address) -> None:
        """Send a message to one daemon."""
        if self._channel is not None:
            self._channel.send(message, address)

    def send_to_all(self, message: Message) -> None:
        """Send a message to all daemons that reported recently.

        A datagram may be lost; what a daemon missed is sent again or read from the store.
        """
        for address in self._latest_reports.list_addresses(self._own_address):
            self.send(message, address)

    def publish(self, changes: RelayedChanges, epoch: int) -> None:
        """Send changed objects to all daemons, or what differs in a large one.

        Nothing is sent if that is too much for the link; each daemon then reads the changes
        from the store itself. Contents that can't be sent are sent as unreadable, so that
        nobody waits for them.
        """
        update = build_objects_update(changes, epoch)
        try:
            size = len(encode_message(update))
        except ProtocolError:
            changes = changes._replace(changes=list(map(_make_sendable, changes.changes)))
            update = build_objects_update(changes, epoch)
            try:
                size = len(encode_message(update))
            except ProtocolError as error:
                logger.error('changes not relayed', kind=changes.kind, reason=str(error))
                return
        if size <= MAX_UPDATE_BYTES:
            self.send_to_all(update)
            return
        parts = build_delta_parts(changes, epoch)
        addresses = self._latest_reports.list_addresses(self._own_address)
        delta_bytes = sum(len(part.data) for part in parts)
        burst_bytes = self._unsent_bytes + len(addresses) * delta_bytes
        if not parts or burst_bytes > MAX_BURST_S * self._link_bytes_per_s:
            logger.info(
                'change left to the store',
                kind=changes.kind,
                objects=len(changes.changes),
                delta_bytes=delta_bytes,
                daemons=len(addresses),
            )
            return
        is_sending = bool(self._unsent)
        self._unsent.extend((part, address) for address in addresses for part in parts)
        self._unsent_bytes = burst_bytes
        if not is_sending:
            self._send_unsent()

    def drop_unsent(self) -> None:
        """Forget what waits to be sent, since this daemon is not the keeper any more."""
        self._unsent.clear()
        self._unsent_bytes = 0

    def _send_unsent(self) -> None:
        """Send the datagrams that wait, no faster than a share of the link allows.

        More at once would overflow its queue, and all but the first ones would be lost.
        """
        room_bytes = PACE_INTERVAL_S * PACE_LINK_SHARE * self._link_bytes_per_s
        while self._unsent and room_bytes > 0:
            part, address = self._unsent.popleft()
            room_bytes -= len(part.data)
            self._unsent_bytes -= len(part.data)
            self.send(part, address)
        if self._unsent:
            asyncio.get_running_loop().call_later(PACE_INTERVAL_S, self._send_unsent)


def build_objects_update(relayed: RelayedChanges, epoch: int) -> ObjectsUpdate:
    """Return the message that sends changed objects to other daemons."""
    return ObjectsUpdate(
        epoch,
        relayed.kind,
        relayed.after_revision,
        relayed.revision,
        [
            (
                change.object.name,
                change.object.revision,
                _encode_value(change.object.value),
                change.deleted,
            )
            for change in relayed.changes
        ],
        relayed.is_difference,
    )


def read_objects_update(update: ObjectsUpdate) -> RelayedChanges:
    """Return the changed objects that a message contains."""
    changes = [
        Change(StoredObject(name, revision, _decode_value(value)), deleted)
        for name, revision, value, deleted in update.changes
    ]
    return RelayedChanges(
        update.kind, update.base_revision, update.revision, changes, update.is_difference
    )


def _encode_value(value: Any) -> Any:
    if not isinstance(value, UnreadableValue):
        return value
    return msgspec.msgpack.Ext(_UNREADABLE_CODE, value.reason.encode(errors='replace'))


def _decode_value(value: Any) -> Any:
    if not isinstance(value, msgspec.msgpack.Ext):
        return value
    # Another code is of a later version, and no value that can be used here.
    return UnreadableValue(bytes(value.data).decode(errors='replace'))


def _make_sendable(change: Change) -> Change:
    """Return ``change`` with an unreadable value if its own can't be sent."""
    item = change.object
    try:
        encode_message(ObjectsUpdate(0, '', 0, 0, [('', 0, _encode_value(item.value), False)]))
    except ProtocolError as error:
        return Change(item._replace(value=UnreadableValue(str(error))), change.deleted)
    return change
