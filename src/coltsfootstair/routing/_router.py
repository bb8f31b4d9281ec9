"""Works out a request's way from this daemon's copy of the store."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, NamedTuple

import structlog

from coltsfootstair.document import Document, Service, State, parse
from coltsfootstair.errors import ProtocolError
from coltsfootstair.leases import LEASE_PREFIX, decode_record
from coltsfootstair.ownership import Table, decode_shard
from coltsfootstair.results import Ran, Refusal, ResultCode

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from coltsfootstair.document import BackendServer
    from coltsfootstair.leases import LeaseRecord
    from coltsfootstair.store import Versioned

__all__ = ['CONFIG_KEY', 'NO_SLOT', 'Route', 'Router']

logger = structlog.get_logger()

CONFIG_KEY = 'config'
TABLE_PREFIX = 'tables/'

NO_SLOT = -1
"""Stands for the row of a request that belongs to none."""

RETRY_SOON_S = 0.2
"""When a caller may come back while a key has no owner, in seconds."""

STALE_DETAIL = 'no recent update of the document from the store or other data centres'

CHOICES = 2
"""Backend servers that are compared when any of them may take a request."""


class Route(NamedTuple):
    """The way of one request.

    :param slot: the row of the service's table, or ``NO_SLOT``
    """

    service: Service
    backend_server: str
    coordinator: str
    slot: int
    row_epoch: int


class Router:
    """Answers for each request which daemon to hand it to.

    It follows the replica through ``take``; what it says is a hint that the coordinator
    checks again.

    :param is_fresh: whether the document in force may still be relied on
    """

    def __init__(self, random_source: random.Random, is_fresh: Callable[[], bool]) -> None:
        self._random = random_source
        self._is_fresh = is_fresh
        self._lock = threading.Lock()
        self._document = Document()
        self._document_version = 0
        self._service_by_name: dict[str, Service] = {}
        self._usable_by_service: dict[str, list[BackendServer]] = {}
        self._table_by_service: dict[str, Table] = {}
        self._lease_by_server: dict[str, LeaseRecord] = {}
        self._outstanding_by_server: dict[str, int] = {}

    @property
    def document(self) -> Document:
        """The operators' document in force."""
        return self._document

    @property
    def document_version(self) -> int:
        """The version of the document in force; 0 before the first."""
        return self._document_version

    def table(self, service: str) -> Table | None:
        """Return the table of ``service`` as known here."""
        return self._table_by_service.get(service)

    def lease(self, backend_server: str) -> LeaseRecord | None:
        """Return the lease record of ``backend_server`` as known here."""
        return self._lease_by_server.get(backend_server)

    def take(self, item: Versioned) -> None:
        """Follow a change of the replica."""
        try:
            with self._lock:
                self._take(item)
        except (ProtocolError, ExceptionGroup) as error:
            logger.warning(
                'object refused', key=item.key, version=item.version, why=str(error)
            )

    def route(self, service_name: str, key: str, operation_id: str) -> Route | Refusal:
        """Return the way of a request, or why it has none."""
        service = self._service_by_name.get(service_name)
        if service is None:
            return Refusal(ResultCode.UNKNOWN_SERVICE, Ran.NO, f'no service {service_name!r}')
        if service.divided_by_key and not key:
            return Refusal(ResultCode.KEY_MISSING, Ran.NO, 'set the header Coltsfootstair-Key')
        if not self._is_fresh():
            return _no_owner(ResultCode.DOCUMENT_STALE, STALE_DETAIL)
        if not self._usable_by_service.get(service_name):
            return _no_owner(ResultCode.SERVICE_OUT, 'every backend server is out')
        divided = service.divided_by_key
        if divided or operation_id:
            return self._by_row(service, key if divided else f'operation {operation_id}')
        return self._by_choice(service)

    def sent(self, backend_server: str) -> None:
        """Count a request that was handed on."""
        with self._lock:
            count = self._outstanding_by_server.get(backend_server, 0)
            self._outstanding_by_server[backend_server] = count + 1

    def done(self, backend_server: str) -> None:
        """Count the end of a request that was handed on."""
        with self._lock:
            self._outstanding_by_server[backend_server] -= 1

    def _by_row(self, service: Service, key: str) -> Route | Refusal:
        table = self._table_by_service.get(service.name)
        if table is None:
            return _no_owner(ResultCode.NO_OWNER, 'the table is not known yet')
        number, row = table.find_row(key)
        if not row.owner:
            return _no_owner(ResultCode.NO_OWNER, 'the key is not assigned yet')
        lease = self._lease_by_server.get(row.owner)
        if lease is None:
            return _no_owner(ResultCode.NO_OWNER, 'the owner has no coordinator yet')
        return Route(service, row.owner, lease.coordinator, number, row.epoch)

    def _by_choice(self, service: Service) -> Route | Refusal:
        """Choose the less busy of a few backend servers, by this daemon's own count."""
        usable = self._usable_by_service[service.name]
        count = min(CHOICES, len(usable))
        chosen = self._coordinated(self._random.sample(usable, count))
        if len(chosen) < count:
            # Some have no coordinator yet: only then is each server looked at.
            coordinated = self._coordinated(usable)
            chosen = self._random.sample(coordinated, min(CHOICES, len(coordinated)))
        if not chosen:
            return _no_owner(ResultCode.NO_OWNER, 'no backend server has a coordinator yet')
        name, lease = min(chosen, key=lambda it: self._outstanding_by_server.get(it[0], 0))
        return Route(service, name, lease.coordinator, NO_SLOT, 0)

    def _coordinated(self, servers: list[BackendServer]) -> list[tuple[str, LeaseRecord]]:
        found = ((server.name, self._lease_by_server.get(server.name)) for server in servers)
        return [(name, lease) for name, lease in found if lease is not None]

    def _take(self, item: Versioned) -> None:
        if item.key == CONFIG_KEY:
            self._take_document(item)
        elif item.key.startswith(LEASE_PREFIX):
            self._take_lease(item)
        elif item.key.startswith(TABLE_PREFIX) and item.value:
            service = item.key.split('/')[1]
            table = self._table_by_service.setdefault(service, Table(service))
            table.update(decode_shard(item.value), item.version)

    def _take_document(self, item: Versioned) -> None:
        if item.version <= self._document_version or not item.value:
            return
        document = parse(item.value.decode(), f'version {item.version}')
        self._document = document
        self._document_version = item.version
        self._service_by_name = {service.name: service for service in document.services}
        self._usable_by_service = _usable(document)

    def _take_lease(self, item: Versioned) -> None:
        name = item.key.removeprefix(LEASE_PREFIX)
        if item.value:
            self._lease_by_server[name] = decode_record(item.value)
        else:
            self._lease_by_server.pop(name, None)


def _usable(document: Document) -> dict[str, list[BackendServer]]:
    out = {centre.name for centre in document.data_centres if centre.state is State.OUT}
    usable: dict[str, list[BackendServer]] = {
        service.name: [] for service in document.services
    }
    for server in document.backend_servers:
        if server.state is State.IN and server.data_centre not in out:
            usable.setdefault(server.service, []).append(server)
    return usable


def _no_owner(code: ResultCode, detail: str) -> Refusal:
    return Refusal(code, Ran.NO, detail, RETRY_SOON_S)
