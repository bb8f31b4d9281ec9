"""Sends the keeper's messages to all daemons that report to it."""

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
"""Size up to which changes are passed on in one datagram; beyond it each daemon reads them
from the store itself."""


class Broadcast:
    """Knows the channel between daemons and who listens there.

    :param own_address: where this daemon listens itself
    """

    def __init__(self, reports: LatestReports, own_address: Address) -> None:
        self._latest_reports = reports
        self._own_address = own_address
        self._channel: Channel | None = None

    def attach(self, channel: Channel) -> None:
        """Use ``channel`` from now on; before, nothing is sent."""
        self._channel = channel

    def send(self, message: Message, address: Address) -> None:
        """Send a message to one daemon."""
        if self._channel is not None:
            self._channel.send(message, address)

    def send_to_all(self, message: Message) -> None:
        """Send a message to all daemons that report; one that misses it asks later."""
        for address in self._latest_reports.list_addresses(self._own_address):
            self.send(message, address)

    def publish(self, changes: RelayedChanges, epoch: int) -> None:
        """Pass on changed objects; what is too large is left to the store."""
        update = pack_changes(changes, epoch)
        if len(encode_message(update)) <= MAX_UPDATE_BYTES:
            self.send_to_all(update)


def pack_changes(changes: RelayedChanges, epoch: int) -> ObjectsUpdate:
    """Return the message with which a keeper passes changes on."""
    return ObjectsUpdate(
        epoch,
        changes.kind,
        changes.after,
        changes.revision,
        [(*changed.object, changed.deleted) for changed in changes.changes],
    )


def unpack_changes(update: ObjectsUpdate) -> RelayedChanges:
    """Return the changes that a keeper passed on."""
    changes = [
        Change(StoredObject(name, revision, value), deleted)
        for name, revision, value, deleted in update.changes
    ]
    return RelayedChanges(update.kind, update.base_revision, update.revision, changes)
