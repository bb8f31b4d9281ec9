"""The services, backend servers and daemons of a run."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from coltsfootstair.document import BackendServer, DataCentre, Document, Service, ServiceKind

__all__ = ['DaemonPlan', 'Plan', 'ServerPlan', 'build_document']

DEFAULT_SLOTS = 4
DEFAULT_CONNECTIONS = 110
DEFAULT_SERVICE_MS = 5.0


class DaemonPlan(NamedTuple):
    """A daemon to start."""

    name: str
    data_centre: str


class ServerPlan(NamedTuple):
    """A backend server to start.

    :param slots: requests that it works on at once
    :param connections: connections that it accepts
    :param checks_grants: whether it refuses requests without a valid grant
    :param service_ms: milliseconds that it takes for a request
    """

    name: str
    service: str
    data_centre: str
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS
    checks_grants: bool = True
    service_ms: float = DEFAULT_SERVICE_MS


class Plan(NamedTuple):
    """Everything that is started for a run."""

    services: tuple[Service, ...]
    servers: tuple[ServerPlan, ...]
    daemons: tuple[DaemonPlan, ...]

    def find_server_names(self, data_centre: str) -> frozenset[str]:
        """Return the names of the backend servers in a data centre."""
        return frozenset(s.name for s in self.servers if s.data_centre == data_centre)

    def find_divided_services(self) -> frozenset[str]:
        """Return the names of the services that are divided by key."""
        return frozenset(s.name for s in self.services if s.divided_by_key)

    def find_upload_services(self) -> frozenset[str]:
        """Return the names of the services that take uploads."""
        return frozenset(s.name for s in self.services if s.kind is ServiceKind.UPLOAD)


def build_document(plan: Plan, address_by_name: Mapping[str, str]) -> Document:
    """Return the operators' document that describes ``plan``."""
    names = dict.fromkeys(name for service in plan.services for name in service.data_centres)
    servers = tuple(
        BackendServer(
            server.name,
            server.service,
            server.data_centre,
            address_by_name[server.name],
            server.slots,
            server.connections,
            server.checks_grants,
        )
        for server in plan.servers
    )
    return Document(tuple(DataCentre(name) for name in names), plan.services, servers)
