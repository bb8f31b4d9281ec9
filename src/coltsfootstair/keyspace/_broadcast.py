"""Sends messages of the keeper to all daemons that report to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.objects import Change, RelayedChanges, StoredObject
from coltsfootstair.peers import ObjectsUpdate, encode_message

if TYPE_CHECKING:
    from coltsfootstair.http1 import Address
    from coltsfootstair.keyspace._dependencies import Channel
    from coltsfootstair.keyspace._reports import LatestReports
    from coltsfootstair.peers import Message

__all__ = ['Broadcast', 'pack_changes', 'unpack_changes']

MAX_UPDATE_BYTES = 16 * 1024
"""Largest message of changed objects that is sent as a datagram, in bytes; each daemon reads
larger changes from the store itself."""


class Broadcast:
    """Sends messages over the channel between daemons.

    :param reports: the latest reports, which tell where the other daemons listen
    :param own_address: where this daemon listens; nothing is sent there
    """

    def __init__(self, reports: LatestReports, own_address: Address) -> None:
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
        """Send a message to all daemons that report.

        A datagram may be lost; what a daemon missed is sent again or read from the store.
        """
        for address in self._latest_reports.list_addresses(self._own_address):
            self.send(message, address)

    def publish(self, changes: RelayedChanges, epoch: int) -> None:
        """Send changed objects to all daemons unless the message exceeds the size limit."""
        update = pack_changes(changes, epoch)
        if len(encode_message(update)) <= MAX_UPDATE_BYTES:
            self.send_to_all(update)


def pack_changes(changes: RelayedChanges, epoch: int) -> ObjectsUpdate:
    """Return the message that sends changed objects to other daemons."""
    return ObjectsUpdate(
        epoch,
        changes.kind,
        changes.after_revision,
        changes.revision,
        [(*changed.object, changed.deleted) for changed in changes.changes],
    )


def unpack_changes(update: ObjectsUpdate) -> RelayedChanges:
    """Return the changed objects that a message contains."""
    changes = [
        Change(StoredObject(name, revision, value), deleted)
        for name, revision, value, deleted in update.changes
    ]
    return RelayedChanges(update.kind, update.base_revision, update.revision, changes)
