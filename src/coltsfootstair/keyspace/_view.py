"""A daemon's copy of the tables of key ranges and of the keeper lease."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from coltsfootstair.errors import ProtocolError
from coltsfootstair.keyspace._lease import decode_lease
from coltsfootstair.keyspace._table import decode_table, read_table_update
from coltsfootstair.objects import era_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.keyspace._lease import KeeperLease
    from coltsfootstair.keyspace._table import KeyRange, KeyTable
    from coltsfootstair.objects import Listing, StoredObject
    from coltsfootstair.peers import TableUpdate

__all__ = ['LEASE_NAME', 'OWNERSHIP_KIND', 'TABLE_PREFIX', 'OwnershipView']

logger = structlog.get_logger()

OWNERSHIP_KIND = 'coltsfootstair-keys'
"""Kind of the stored objects that contain the tables and the keeper lease."""

LEASE_NAME = 'keeper'
"""Name of the stored object that contains the keeper lease."""

TABLE_PREFIX = 'table-'
"""Name prefix of the objects that contain a table; the name of the service follows."""


class OwnershipView:
    """The latest tables and keeper lease that were read from the store or sent by the keeper.

    An object or update of an older revision than the one known is ignored. One that can't be
    read changes nothing that is known.

    :ivar lease_revision: revision of the stored lease, also of one that can't be read; 0 if
        there is none
    :ivar is_lease_readable: whether ``lease`` is the one at ``lease_revision``
    """

    def __init__(self) -> None:
        self.lease: KeeperLease | None = None
        self.lease_revision = 0
        self.is_lease_readable = True
        self._refused_revision_by_name: dict[str, int] = {}
        self._table_by_service: dict[str, KeyTable] = {}
        self._revision_by_name: dict[str, int] = {}
        self._change_waiters: list[asyncio.Future[None]] = []
        self._lease_listeners: list[Callable[[], None]] = []
        self._table_listeners: list[Callable[[str, KeyTable], None]] = []

    def subscribe_lease(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of the keeper lease."""
        self._lease_listeners.append(listener)

    def subscribe_tables(self, listener: Callable[[str, KeyTable], None]) -> None:
        """Call ``listener`` with the service and its table after each change of a table."""
        self._table_listeners.append(listener)

    def range_of(self, service: str, key: int) -> KeyRange | None:
        """Return the range that contains ``key``, or ``None`` while no table is known."""
        table = self._table_by_service.get(service)
        return table.range_of(key) if table is not None else None

    def get_table(self, service: str) -> KeyTable | None:
        """Return the known table of a service, if there is one."""
        return self._table_by_service.get(service)

    @property
    def highest_epoch(self) -> int:
        """Highest epoch in the known lease and tables; 0 if none is known."""
        epochs = [table.epoch for table in self._table_by_service.values()]
        return max([0 if self.lease is None else self.lease.epoch, *epochs])

    async def wait_for_change(self, timeout_s: float) -> bool:
        """Wait for the next change of a table; return false if none came in time."""
        change: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._change_waiters.append(change)
        try:
            async with asyncio.timeout(timeout_s):
                await change
        except TimeoutError:
            return False
        finally:
            if change in self._change_waiters:
                self._change_waiters.remove(change)
        return True

    def get_table_revisions(self) -> dict[str, int]:
        """Return the revision of the known table by service."""
        return {
            service: self._revision_by_name.get(TABLE_PREFIX + service, 0)
            for service in self._table_by_service
        }

    def apply_update(self, update: TableUpdate) -> None:
        """Apply a table that the keeper sent.

        Ignored if it is not newer than the known table, or if it has only the changes since a
        revision that is not the known one.
        """
        name = TABLE_PREFIX + update.service
        revision = self._revision_by_name.get(name, 0)
        if update.revision <= revision or update.base_revision not in (0, revision):
            return
        base_table = (
            self._table_by_service.get(update.service) if update.base_revision else None
        )
        try:
            table = read_table_update(update, base_table)
        except ProtocolError as error:
            logger.warning(
                'table update from the keeper refused',
                service=update.service,
                reason=str(error),
            )
            return
        self._revision_by_name[name] = update.revision
        self._set_table(update.service, table)

    def apply_listing(self, listing: Listing) -> None:
        """Apply all objects of the kind.

        A lease of an earlier era that is not listed was lost with that era.
        """
        for item in listing.objects:
            self.apply_object(item)
        is_lease_listed = any(item.name == LEASE_NAME for item in listing.objects)
        if not is_lease_listed and era_of(self.lease_revision) < era_of(listing.revision):
            self.lease, self.lease_revision = None, 0
            self.is_lease_readable = True
            self._revision_by_name.pop(LEASE_NAME, None)
            self._refused_revision_by_name.pop(LEASE_NAME, None)

    def apply_object(self, item: StoredObject) -> None:
        """Apply an object of the store unless the same or a later revision of it is known."""
        if item.revision <= max(
            self._revision_by_name.get(item.name, 0),
            self._refused_revision_by_name.get(item.name, 0),
        ):
            return
        try:
            if item.name == LEASE_NAME:
                lease = decode_lease(item.value)
                self._revision_by_name[item.name] = item.revision
                self.lease, self.lease_revision = lease, item.revision
                self.is_lease_readable = True
                for listener in self._lease_listeners:
                    listener()
            elif item.name.startswith(TABLE_PREFIX):
                service = item.name.removeprefix(TABLE_PREFIX)
                table = decode_table(item.value)
                self._revision_by_name[item.name] = item.revision
                self._set_table(service, table)
        except ProtocolError as error:
            self._refuse(item, error)

    def _refuse(self, item: StoredObject, error: ProtocolError) -> None:
        self._refused_revision_by_name[item.name] = item.revision
        if item.name == LEASE_NAME:
            # The next keeper replaces it.
            self.lease_revision = item.revision
            self.is_lease_readable = False
        logger.warning(
            'object refused',
            kind=OWNERSHIP_KIND,
            name=item.name,
            revision=item.revision,
            reason=str(error),
        )

    def _set_table(self, service: str, table: KeyTable) -> None:
        self._table_by_service[service] = table
        for listener in self._table_listeners:
            listener(service, table)
        waiters, self._change_waiters = self._change_waiters, []
        for change in waiters:
            if not change.done():
                change.set_result(None)
