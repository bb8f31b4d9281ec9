"""Applies the store's objects to the configuration in force and to the registry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from coltsfootstair.errors import BadInputError
from coltsfootstair.objects import era_of
from coltsfootstair.routes import RouteTable

if TYPE_CHECKING:
    from coltsfootstair.gateway._types import ObjectDecoder
    from coltsfootstair.objects import Change, Listing, StoredObject
    from coltsfootstair.registry import Registry
    from coltsfootstair.routes import Configuration
    from coltsfootstair.supervision import FailureLog

__all__ = ['ConfigurationSubscriber', 'EvacuationSubscriber', 'ServerSubscriber']

logger = structlog.get_logger()


class RefusedObjects:
    """The objects of one kind that can't be used; each is logged once for each revision.

    :param kind: what to name in log lines
    """

    def __init__(self, kind: str, failures: FailureLog) -> None:
        self._kind = kind
        self._failures = failures
        self._revision_by_name: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of objects that can't be used."""
        return len(self._revision_by_name)

    def add(self, item: StoredObject, error: Exception) -> None:
        """Record that an object can't be used; all others are applied nevertheless."""
        if self._revision_by_name.get(item.name) == item.revision:
            return
        self._revision_by_name[item.name] = item.revision
        if not isinstance(error, BadInputError):
            self._failures.record(
                f'{self._kind} object',
                error,
                name=repr(item.name),
                revision=str(item.revision),
            )
            return
        logger.warning(
            'object refused',
            kind=self._kind,
            name=item.name,
            revision=item.revision,
            field=error.field,
            allowed=error.allowed,
        )

    def discard(self, name: str) -> None:
        """Record that an object can be used, or has been deleted."""
        self._revision_by_name.pop(name, None)

    def keep_listed(self, listing: Listing) -> None:
        """Forget the objects that are not in ``listing``."""
        listed = {item.name for item in listing.objects}
        for name in [name for name in self._revision_by_name if name not in listed]:
            del self._revision_by_name[name]


class ConfigurationSubscriber:
    """Keeps the newest valid configuration in force; an older version is never applied.

    The version in force is applied again if it was written in a later era of the store, since
    operators write again what the store has lost.

    :ivar route_table: routes in force; ``None`` before the first version
    """

    def __init__(self, decoder: ObjectDecoder, failures: FailureLog) -> None:
        self._decoder = decoder
        self._era = 0
        self.refused = RefusedObjects('configuration', failures)
        self.route_table: RouteTable | None = None

    @property
    def is_newest_readable(self) -> bool:
        """Whether the version that was read last could be decoded, or has been deleted."""
        return not self.refused

    def apply_listing(
        self, listing: Listing, *, after_outage: bool, is_restored: bool
    ) -> None:
        """Apply the configuration of a listing, if it is newer."""
        self.refused.keep_listed(listing)
        for item in listing.objects:
            self._apply(item)

    def apply_change(self, change: Change, *, after_outage: bool) -> bool:
        """Apply a changed configuration; if its object is deleted, it stays in force."""
        if change.deleted:
            self.refused.discard(change.object.name)
        else:
            self._apply(change.object)
        return True

    def _apply(self, item: StoredObject) -> None:
        try:
            configuration = self._decoder.decode_configuration(item)
            if configuration is not None:
                self._put_in_force(configuration, item)
        except Exception as error:
            self.refused.add(item, error)
        else:
            self.refused.discard(item.name)

    def _put_in_force(self, configuration: Configuration, item: StoredObject) -> None:
        known_version = (
            self.route_table.configuration.version if self.route_table is not None else -1
        )
        era = era_of(item.revision)
        if configuration.version < known_version or (
            configuration.version == known_version and era <= self._era
        ):
            return
        self.route_table = RouteTable(configuration)
        self._era = era
        logger.info(
            'configuration in force',
            version=configuration.version,
            replaces=known_version,
            routes=len(configuration.routes),
            workspace_keys=len(configuration.workspace_by_digest),
        )


class ServerSubscriber:
    """Applies the entries of backend servers to the registry.

    An entry that can't be read names no server, whatever stood there before: a server that was
    known under its name is used for a moment longer, in which it writes its entry again if it
    is alive, and then is gone. To use it for good would send requests to a server of which
    nobody says any more that it is to be used, and to whoever has its address by then; to drop
    it at once would let one odd write take the keys of a server that is well.
    """

    def __init__(
        self, decoder: ObjectDecoder, registry: Registry, failures: FailureLog
    ) -> None:
        self._decoder = decoder
        self._registry = registry
        self.refused = RefusedObjects('backend server', failures)

    def apply_listing(
        self, listing: Listing, *, after_outage: bool, is_restored: bool
    ) -> None:
        """Apply the entries of a listing."""
        self.refused.keep_listed(listing)
        servers = []
        unreadable_names = set()
        for item in listing.objects:
            try:
                servers.append(self._decoder.decode_backend_server(item))
            except Exception as error:
                self.refused.add(item, error)
                unreadable_names.add(item.name)
            else:
                self.refused.discard(item.name)
        self._registry.apply_listing(
            servers,
            after_outage=after_outage,
            is_restored=is_restored,
            unreadable_names=unreadable_names,
        )

    def apply_change(self, change: Change, *, after_outage: bool) -> bool:
        """Apply a changed entry; return whether it is worth relaying to other daemons."""
        item = change.object
        if change.deleted:
            self.refused.discard(item.name)
            if after_outage:
                self._registry.defer_removal(item.name)
            else:
                self._registry.remove(item.name)
            return True
        try:
            is_changed = self._registry.apply_entry(self._decoder.decode_backend_server(item))
        except Exception as error:
            self.refused.add(item, error)
            self._registry.on_entry_unreadable(item.name)
            # Relayed too: the other daemons refuse and log it themselves.
            return True
        self.refused.discard(item.name)
        return is_changed


class EvacuationSubscriber:
    """Applies evacuations of data centres to the registry."""

    def __init__(
        self, decoder: ObjectDecoder, registry: Registry, failures: FailureLog
    ) -> None:
        self._decoder = decoder
        self._registry = registry
        self._data_centres: set[str] = set()
        self.refused = RefusedObjects('evacuation', failures)

    def apply_listing(
        self, listing: Listing, *, after_outage: bool, is_restored: bool
    ) -> None:
        """Apply the evacuations of a listing.

        Those that a restored store lacks stay in force until operators have had time to write
        them again.
        """
        self.refused.keep_listed(listing)
        missing = self._data_centres
        decoded = [self._decode(item) for item in listing.objects]
        self._data_centres = {name for name in decoded if name is not None}
        self._registry.set_evacuated_data_centres(frozenset(self._data_centres))
        if is_restored:
            for data_centre in missing - self._data_centres:
                self._registry.evacuate_for_now(data_centre)

    def apply_change(self, change: Change, *, after_outage: bool) -> bool:
        """Apply the start or the end of an evacuation."""
        data_centre = self._decode(change.object)
        if change.deleted:
            self.refused.discard(change.object.name)
        if data_centre is None:
            return True
        if change.deleted:
            self._data_centres.discard(data_centre)
        else:
            self._data_centres.add(data_centre)
        self._registry.set_evacuated_data_centres(frozenset(self._data_centres))
        return True

    def _decode(self, item: StoredObject) -> str | None:
        try:
            return self._decoder.decode_evacuation(item)
        except Exception as error:
            self.refused.add(item, error)
            return None
