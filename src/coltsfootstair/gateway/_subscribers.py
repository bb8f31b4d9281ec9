"""Turns changed objects into the configuration, backend servers and evacuations in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from coltsfootstair.errors import BadInputError
from coltsfootstair.routes import RouteTable

if TYPE_CHECKING:
    from coltsfootstair.gateway._types import ObjectDecoder
    from coltsfootstair.objects import Change, Listing, StoredObject
    from coltsfootstair.registry import Registry

__all__ = ['ConfigurationSubscriber', 'EvacuationSubscriber', 'ServerSubscriber']

logger = structlog.get_logger()


def _log_refused(kind: str, item: StoredObject, error: BadInputError) -> None:
    logger.warning(
        'object refused',
        kind=kind,
        name=item.name,
        revision=item.revision,
        field=error.field,
        allowed=error.allowed,
    )


class ConfigurationSubscriber:
    """Keeps the newest valid configuration in force; versions never go back."""

    def __init__(self, decoder: ObjectDecoder) -> None:
        self._decoder = decoder
        self.table: RouteTable | None = None

    def apply_listing(self, listing: Listing, *, after_outage: bool) -> None:
        """Take all configurations."""
        for item in listing.objects:
            self._take(item)

    def apply_change(self, change: Change, *, after_outage: bool) -> bool:
        """Take a changed configuration; a deleted one stays in force."""
        if not change.deleted:
            self._take(change.object)
        return True

    def _take(self, item: StoredObject) -> None:
        try:
            configuration = self._decoder.decode_configuration(item)
        except BadInputError as error:
            _log_refused('configuration', item, error)
            return
        if configuration is None:
            return
        known = self.table.configuration.version if self.table is not None else -1
        if configuration.version <= known:
            return
        self.table = RouteTable(configuration)
        logger.info(
            'configuration in force',
            version=configuration.version,
            replaces=known,
            routes=len(configuration.routes),
        )


class ServerSubscriber:
    """Keeps the registry of backend servers up to date."""

    def __init__(self, decoder: ObjectDecoder, registry: Registry) -> None:
        self._decoder = decoder
        self._registry = registry

    def apply_listing(self, listing: Listing, *, after_outage: bool) -> None:
        """Take all entries."""
        servers = []
        for item in listing.objects:
            try:
                servers.append(self._decoder.decode_backend_server(item))
            except BadInputError as error:
                _log_refused('backend server', item, error)
                known = self._registry.get(item.name)
                if known is not None:
                    servers.append(known)
        self._registry.apply_listing(servers, after_outage=after_outage)

    def apply_change(self, change: Change, *, after_outage: bool) -> bool:
        """Take one changed entry."""
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
            _log_refused('backend server', item, error)
        return True


class EvacuationSubscriber:
    """Keeps the set of evacuated data centres up to date."""

    def __init__(self, decoder: ObjectDecoder, registry: Registry) -> None:
        self._decoder = decoder
        self._registry = registry
        self._data_centres: set[str] = set()

    def apply_listing(self, listing: Listing, *, after_outage: bool) -> None:
        """Take all evacuations."""
        self._data_centres = {
            self._decoder.decode_evacuation(item) for item in listing.objects
        }
        self._registry.set_evacuated_data_centres(frozenset(self._data_centres))

    def apply_change(self, change: Change, *, after_outage: bool) -> bool:
        """Take the beginning or the end of an evacuation."""
        data_centre = self._decoder.decode_evacuation(change.object)
        if change.deleted:
            self._data_centres.discard(data_centre)
        else:
            self._data_centres.add(data_centre)
        self._registry.set_evacuated_data_centres(frozenset(self._data_centres))
        return True
