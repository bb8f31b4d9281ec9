"""The work of the keeper for all services that are divided by key."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from coltsfootstair.keyspace._service import ServiceKeeper

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.http1 import Address
    from coltsfootstair.keyspace._broadcast import Broadcaster
    from coltsfootstair.keyspace._dependencies import KeeperDependencies
    from coltsfootstair.keyspace._table import KeyTable
    from coltsfootstair.peers import Report

__all__ = ['ServiceKeepers']

MAX_UPDATE_TRANSIT_S = 0.1
"""How long the update of a table may be in transit to a daemon before it counts as lost and
the whole table is sent, in seconds."""

MAX_ADMITTED_SHARE_AGE_S = 0.15
"""How long computed admitted shares are reused, in seconds; half of the interval between a
daemon's reports."""


class ServiceKeepers:
    """Runs one ``ServiceKeeper`` for each service that is divided by key.

    :param get_grant_duration_s: returns the duration of a grant made now, in seconds;
        ``None`` if no grant may be made
    :param is_keeper: returns whether this daemon is still the keeper
    :param on_superseded: called with the epoch of a later keeper that has written a table
    :param get_unresponsive_servers: returns the servers that answer no daemon
    :param on_failing: called when the work for a service fails again and again
    """

    def __init__(
        self,
        dependencies: KeeperDependencies,
        broadcaster: Broadcaster,
        get_grant_duration_s: Callable[[], float | None],
        is_keeper: Callable[[], bool],
        on_superseded: Callable[[int], None],
        get_unresponsive_servers: Callable[[], list[str]],
        on_failing: Callable[[str], None] = lambda _reason: None,
    ) -> None:
        self._dependencies = dependencies
        self._broadcaster = broadcaster
        self._get_grant_duration_s = get_grant_duration_s
        self._is_keeper = is_keeper
        self._on_superseded = on_superseded
        self._get_unresponsive_servers = get_unresponsive_servers
        self._on_failing = on_failing
        self._service_keeper_by_name: dict[str, ServiceKeeper] = {}
        self._admitted_shares_computed_at = -math.inf
        self._admitted_share_by_server: dict[str, float] = {}

    def copy_tables(self) -> dict[str, KeyTable]:
        """Return the tables as known here, by service."""
        return {
            name: service_keeper.table
            for name, service_keeper in self._service_keeper_by_name.items()
            if service_keeper.table.ranges
        }

    def start_new_services(
        self,
        epoch: int,
        inherited_expiry: float,
        earlier_era_expiry: float,
        remembered_tables: dict[str, KeyTable],
    ) -> None:
        """Start the work for services that are divided by key and have none yet.

        Also lowers the inherited expiry of the services whose work has already started.

        :param epoch: epoch of this keeper
        :param inherited_expiry: latest expiry of grants of previous keepers, in monotonic
            seconds
        :param earlier_era_expiry: the same for keepers of earlier eras of the store
        :param remembered_tables: tables of the previous era that are known to be the latest
        """
        for service_keeper in self._service_keeper_by_name.values():
            service_keeper.lower_inherited_expiry(inherited_expiry, earlier_era_expiry)
        for service in sorted(
            self._dependencies.get_services_divided_by_key()
            - self._service_keeper_by_name.keys()
        ):
            service_keeper = ServiceKeeper(
                service,
                epoch,
                self._dependencies,
                inherited_expiry,
                earlier_era_expiry,
                remembered_tables.get(service),
                self._get_grant_duration_s,
                self._is_keeper,
                self._on_superseded,
                self._broadcaster.send_to_all,
                self._get_unresponsive_servers,
                self._on_failing,
            )
            self._service_keeper_by_name[service] = service_keeper
            service_keeper.start()

    def close(self) -> None:
        """End the work for all services."""
        for service_keeper in self._service_keeper_by_name.values():
            service_keeper.close()
        self._service_keeper_by_name = {}

    def apply_report(self, report: Report, now: float) -> None:
        """Apply the requests and answers that a daemon reports."""
        for service, request_count_by_key in report.request_counts_by_service.items():
            service_keeper = self._service_keeper_by_name.get(service)
            if service_keeper is not None:
                service_keeper.demand.count_requests(request_count_by_key, now)
        for service_keeper in self._service_keeper_by_name.values():
            service_keeper.paused_owners.on_report(report.daemon, now)
        for server_name, figures in report.figures_by_server.items():
            server = self._dependencies.registry.get(server_name)
            service_keeper = (
                self._service_keeper_by_name.get(server.service) if server else None
            )
            if service_keeper is not None:
                service_keeper.demand.apply_figures(server_name, figures)
                if figures.pause_left_s > 0:
                    service_keeper.paused_owners.apply_pause(
                        server_name, report.daemon, figures.pause_left_s, now
                    )

    def compute_admitted_shares(self, now: float) -> dict[str, float]:
        """Return the admitted share of requests by name of each overloaded owner."""
        if now - self._admitted_shares_computed_at > MAX_ADMITTED_SHARE_AGE_S:
            self._admitted_shares_computed_at = now
            self._admitted_share_by_server = {
                name: share
                for service_keeper in self._service_keeper_by_name.values()
                for name, share in service_keeper.compute_admitted_shares().items()
            }
        return self._admitted_share_by_server

    def send_missed_updates(self, report: Report, address: Address, now: float) -> None:
        """Send a daemon the tables that it reports in an outdated revision."""
        for service, service_keeper in self._service_keeper_by_name.items():
            is_outdated = (
                report.table_revision_by_service.get(service, 0) < service_keeper.revision
            )
            if not is_outdated or now - service_keeper.published_at <= MAX_UPDATE_TRANSIT_S:
                continue
            update = service_keeper.build_update()
            if update is not None:
                self._broadcaster.send(update, address)
