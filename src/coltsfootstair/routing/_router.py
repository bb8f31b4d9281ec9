"""Routes requests by the objects in this daemon's replica of the store."""

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
    from coltsfootstair.store import VersionedObject

__all__ = ['DOCUMENT_KEY', 'NO_ROW', 'Route', 'Router']

logger = structlog.get_logger()

DOCUMENT_KEY = 'config'
"""Key of the operators' document in the store."""

TABLE_PREFIX = 'tables/'
"""Prefix of the store's keys of table shards."""

NO_ROW = -1
"""The row number of a request that belongs to no row."""

RETRY_AFTER_S = 0.2
"""Time after which a request without a route may be retried, in seconds."""

STALE_DETAIL = 'no recent update of the document from the store or other data centres'

CANDIDATE_COUNT = 2
"""How many backend servers are compared when any of them may serve a request."""


class Route(NamedTuple):
    """Where one request is sent.

    :param coordinator: the name of the daemon that coordinates the backend server
    :param row: the number of the row in the service's table, or ``NO_ROW``
    :param row_epoch: the epoch of that row as this daemon knows it
    """

    service: Service
    backend_server: str
    coordinator: str
    row: int
    row_epoch: int


class Router:
    """Chooses the backend server and the coordinator of each request.

    The replica calls ``apply_object`` with each changed object. A route may be out of
    date, so the coordinator checks it again.

    :param random_source: chooses among backend servers that may all serve a request
    :param is_document_fresh: returns whether the document in force is recent enough for use
    """

    def __init__(
        self, random_source: random.Random, is_document_fresh: Callable[[], bool]
    ) -> None:
        self._random = random_source
        self._is_document_fresh = is_document_fresh
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
        """The operators' document in force; an empty one before the first."""
        return self._document

    @property
    def document_version(self) -> int:
        """The version of the document in force; 0 before the first."""
        return self._document_version

    def table(self, service: str) -> Table | None:
        """Return the ownership table of ``service`` as this daemon knows it."""
        return self._table_by_service.get(service)

    def lease(self, backend_server: str) -> LeaseRecord | None:
        """Return the lease record of ``backend_server`` as this daemon knows it."""
        return self._lease_by_server.get(backend_server)

    def apply_object(self, item: VersionedObject) -> None:
        """Apply a changed object of the replica; an invalid one is logged and ignored."""
        try:
            with self._lock:
                self._apply_object(item)
        except (ProtocolError, ExceptionGroup) as error:
            logger.warning(
                'object refused', key=item.key, version=item.version, why=str(error)
            )

    def route(self, service_name: str, key: str, operation_id: str) -> Route | Refusal:
        """Return the route of a request, or the refusal if it has none.

        :param key: the key, or an empty string
        :param operation_id: the operation id, or an empty string
        """
        service = self._service_by_name.get(service_name)
        if service is None:
            return Refusal(ResultCode.UNKNOWN_SERVICE, Ran.NO, f'no service {service_name!r}')
        if service.divided_by_key and not key:
            return Refusal(ResultCode.KEY_MISSING, Ran.NO, 'set the header Coltsfootstair-Key')
        if not self._is_document_fresh():
            return _build_retryable_refusal(ResultCode.DOCUMENT_STALE, STALE_DETAIL)
        if not self._usable_by_service.get(service_name):
            return _build_retryable_refusal(
                ResultCode.NO_USABLE_SERVER, 'every backend server is out'
            )
        divided = service.divided_by_key
        if divided or operation_id:
            return self._route_by_row(service, key if divided else f'operation {operation_id}')
        return self._route_by_load(service)

    def add_outstanding(self, backend_server: str) -> None:
        """Count a request that was sent to the coordinator of ``backend_server``."""
        with self._lock:
            count = self._outstanding_by_server.get(backend_server, 0)
            self._outstanding_by_server[backend_server] = count + 1

    def remove_outstanding(self, backend_server: str) -> None:
        """Count the end of a request that ``add_outstanding`` has counted."""
        with self._lock:
            self._outstanding_by_server[backend_server] -= 1

    def _route_by_row(self, service: Service, key: str) -> Route | Refusal:
        """Return the route to the owner of the row of ``key``.

        If the service is not divided by key, ``key`` is made of the operation id, so that
        retries of an operation reach the same row.
        """
        table = self._table_by_service.get(service.name)
        if table is None:
            return _build_retryable_refusal(ResultCode.NO_OWNER, 'the table is not known yet')
        number, row = table.find_row(key)
        if not row.owner:
            return _build_retryable_refusal(ResultCode.NO_OWNER, 'the key is not assigned yet')
        lease = self._lease_by_server.get(row.owner)
        if lease is None:
            return _build_retryable_refusal(
                ResultCode.NO_OWNER, 'the owner has no coordinator yet'
            )
        return Route(service, row.owner, lease.coordinator, number, row.epoch)

    def _route_by_load(self, service: Service) -> Route | Refusal:
        """Choose the less busy of a few backend servers.

        Only the requests that this daemon has sent are counted.
        """
        usable = self._usable_by_service[service.name]
        count = min(CANDIDATE_COUNT, len(usable))
        candidates = self._with_coordinator(self._random.sample(usable, count))
        if len(candidates) < count:
            # Some have no coordinator yet; only then all servers are checked.
            coordinated = self._with_coordinator(usable)
            candidates = self._random.sample(
                coordinated, min(CANDIDATE_COUNT, len(coordinated))
            )
        if not candidates:
            return _build_retryable_refusal(
                ResultCode.NO_OWNER, 'no backend server has a coordinator yet'
            )
        name, lease = min(
            candidates, key=lambda each: self._outstanding_by_server.get(each[0], 0)
        )
        return Route(service, name, lease.coordinator, NO_ROW, 0)

    def _with_coordinator(self, servers: list[BackendServer]) -> list[tuple[str, LeaseRecord]]:
        names_and_leases = (
            (server.name, self._lease_by_server.get(server.name)) for server in servers
        )
        return [(name, lease) for name, lease in names_and_leases if lease is not None]

    def _apply_object(self, item: VersionedObject) -> None:
        if item.key == DOCUMENT_KEY:
            self._apply_document(item)
        elif item.key.startswith(LEASE_PREFIX):
            self._apply_lease(item)
        elif item.key.startswith(TABLE_PREFIX) and item.value:
            service = item.key.split('/')[1]
            table = self._table_by_service.setdefault(service, Table(service))
            table.apply_shard(decode_shard(item.value), item.version)

    def _apply_document(self, item: VersionedObject) -> None:
        if item.version <= self._document_version or not item.value:
            return
        document = parse(item.value.decode(), f'version {item.version}')
        self._document = document
        self._document_version = item.version
        self._service_by_name = {service.name: service for service in document.services}
        self._usable_by_service = _find_usable_servers(document)

    def _apply_lease(self, item: VersionedObject) -> None:
        name = item.key.removeprefix(LEASE_PREFIX)
        if item.value:
            self._lease_by_server[name] = decode_record(item.value)
        else:
            self._lease_by_server.pop(name, None)


def _find_usable_servers(document: Document) -> dict[str, list[BackendServer]]:
    out_data_centres = {
        data_centre.name
        for data_centre in document.data_centres
        if data_centre.state is State.OUT
    }
    usable: dict[str, list[BackendServer]] = {
        service.name: [] for service in document.services
    }
    for server in document.backend_servers:
        if server.state is State.IN and server.data_centre not in out_data_centres:
            usable.setdefault(server.service, []).append(server)
    return usable


def _build_retryable_refusal(code: ResultCode, detail: str) -> Refusal:
    return Refusal(code, Ran.NO, detail, RETRY_AFTER_S)
