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

__all__ = ['ConfigurationSubscriber', 'EvacuationSubscriber', 'ServerSubscriber']

logger = structlog.get_logger()


def _log_refused_object(kind: str, item: StoredObject, error: BadInputError) -> None:
    logger.warning(
        'object refused',
        kind=kind,
        name=item.name,
        revision=item.revision,
        field=error.field,
        allowed=error.allowed,
    )


class ConfigurationSubscriber:
    """Keeps the newest valid configuration in force; an older version is never applied.

    The version in force is applied again if it was written in a later era of the store, since
    operators write again what the store has lost.

    :ivar route_table: routes in force; ``None`` before the first version
    :ivar is_newest_readable: whether the version that was read last could be decoded
    """

    def __init__(self, decoder: ObjectDecoder) -> None:
        self._decoder = decoder
        self._era = 0
        self.route_table: RouteTable | None = None
        self.is_newest_readable = True

    def apply_listing(
        self, listing: Listing, *, after_outage: bool, is_restored: bool
    ) -> None:
        """Apply the configuration of a listing, if it is newer."""
        for item in listing.objects:
            self._apply(item)

    def apply_change(self, change: Change, *, after_outage: bool) -> bool:
        """Apply a changed configuration; if its object is deleted, it stays in force."""
        if not change.deleted:
            self._apply(change.object)
        return True

    def _apply(self, item: StoredObject) -> None:
        try:
            configuration = self._decoder.decode_configuration(item)
        except BadInputError as error:
            _log_refused_object('configuration', item, error)
            self.is_newest_readable = False
            return
        if configuration is None:
            return
        self.is_newest_readable = True
        known_version = (
            self.route_table.configuration.version if self.route_table is not None else -1
        )
        era = era_of(item.revision)
        if configuration.version < known_version or (
            configuration.version == known_version and era <= self._era
        ):
            return
        self._era = era
        self.route_table = RouteTable(configuration)
        logger.info(
            'configuration in force',
            version=configuration.version,
            replaces=known_version,
            routes=len(configuration.routes),
            workspace_keys=len(configuration.workspace_by_digest),
        )


class ServerSubscriber:
    """Applies the entries of backend servers to the registry."""

    def __init__(self, decoder: ObjectDecoder, registry: Registry) -> None:
        self._decoder = decoder
        self._registry = registry

    def apply_listing(
        self, listing: Listing, *, after_outage: bool, is_restored: bool
    ) -> None:
        """Apply a listing; in place of an invalid entry, the last valid one stays in use."""
        servers = []
        for item in listing.objects:
            try:
                servers.append(self._decoder.decode_backend_server(item))
            except BadInputError as error:
                _log_refused_object('backend server', item, error)
                known = self._registry.get(item.name)
                if known is not None:
                    servers.append(known)
        self._registry.apply_listing(
            servers, after_outage=after_outage, is_restored=is_restored
        )

    def apply_change(self, change: Change, *, after_outage: bool) -> bool:
        """Apply a changed entry; return whether it is worth relaying to other daemons."""
        item = change.object
        if change.deleted:
            if after_outage:
                self._registry.defer_removal(item.name)
            else:
                self._registry.remove(item.name)
            return True
        try:
            return self._registry.apply_entry(self._decoder.decode_backend_server(item))
        except BadInputError as error:
            _log_refused_object('backend server', item, error)
        # Relayed too: the other daemons refuse and log it themselves.
        return True


class EvacuationSubscriber:
    """Applies evacuations of data centres to the registry."""

    def __init__(self, decoder: ObjectDecoder, registry: Registry) -> None:
        self._decoder = decoder
        self._registry = registry
        self._data_centres: set[str] = set()

    def apply_listing(
        self, listing: Listing, *, after_outage: bool, is_restored: bool
    ) -> None:
        """Apply the evacuations of a listing.

        Those that a restored store lacks stay in force until operators have had time to write
        them again.
        """
        missing = self._data_centres
        self._data_centres = {
            self._decoder.decode_evacuation(item) for item in listing.objects
        }
        self._registry.set_evacuated_data_centres(frozenset(self._data_centres))
        if is_restored:
            for data_centre in missing - self._data_centres:
                self._registry.evacuate_for_now(data_centre)

    def apply_change(self, change: Change, *, after_outage: bool) -> bool:
        """Apply the start or the end of an evacuation."""
        data_centre = self._decoder.decode_evacuation(change.object)
        if change.deleted:
            self._data_centres.discard(data_centre)
        else:
            self._data_centres.add(data_centre)
        self._registry.set_evacuated_data_centres(frozenset(self._data_centres))
        return True
