"""Sends messages to one daemon, or to all daemons that report to the keeper."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.keyspace._delta_parts import build_delta_parts
from coltsfootstair.objects import Change, RelayedChanges, StoredObject
from coltsfootstair.peers import ObjectsUpdate, encode_message

if TYPE_CHECKING:
    from coltsfootstair.http1 import Address
    from coltsfootstair.keyspace._dependencies import Channel
    from coltsfootstair.keyspace._reports import LatestReports
    from coltsfootstair.peers import Message

__all__ = ['Broadcaster', 'build_objects_update', 'read_objects_update']

MAX_UPDATE_BYTES = 16 * 1024
"""Largest message of changed objects that is sent as a datagram, in bytes; each daemon reads
larger changes from the store itself, unless what differs is sent."""

MAX_BURST_S = 0.2
"""Time for which one change may take this VM's link, in seconds."""


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
        self._max_burst_bytes = MAX_BURST_S * link_mbps * 1e6 / 8
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
        from the store itself.
        """
        update = build_objects_update(changes, epoch)
        if len(encode_message(update)) <= MAX_UPDATE_BYTES:
            self.send_to_all(update)
            return
        if len(changes.changes) != 1:
            return
        parts = build_delta_parts(
            changes.kind, changes.after_revision, changes.revision, changes.changes[0], epoch
        )
        addresses = self._latest_reports.list_addresses(self._own_address)
        if len(addresses) * sum(len(part.data) for part in parts) > self._max_burst_bytes:
            return
        for part in parts:
            self.send_to_all(part)


def build_objects_update(relayed: RelayedChanges, epoch: int) -> ObjectsUpdate:
    """Return the message that sends changed objects to other daemons."""
    return ObjectsUpdate(
        epoch,
        relayed.kind,
        relayed.after_revision,
        relayed.revision,
        [(*change.object, change.deleted) for change in relayed.changes],
    )


def read_objects_update(update: ObjectsUpdate) -> RelayedChanges:
    """Return the changed objects that a message contains."""
    changes = [
        Change(StoredObject(name, revision, value), deleted)
        for name, revision, value, deleted in update.changes
    ]
    return RelayedChanges(update.kind, update.base_revision, update.revision, changes)
