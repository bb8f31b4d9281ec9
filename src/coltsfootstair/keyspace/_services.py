"""The tables of all services while this daemon is the keeper."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from coltsfootstair.keyspace._service import ServiceKeeper

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.http1 import Address
    from coltsfootstair.keyspace._broadcast import Broadcast
    from coltsfootstair.keyspace._dependencies import KeeperDependencies
    from coltsfootstair.peers import Report

__all__ = ['ServiceKeepers']

MAX_UPDATE_TRANSIT_S = 0.1
"""How long a change of a table may be under way to a daemon before the whole table is sent,
in seconds."""

ADMITTED_SHARE_MAX_AGE_S = 0.15
"""Seconds for which what overloaded owners can serve is not worked out anew; half of the time
between a daemon's reports."""


class ServiceKeepers:
    """One ``ServiceKeeper`` for each service that is divided by key.

    :param hold_s: returns how long keys may be granted for now; ``None`` if not at all
    :param is_leading: returns whether this daemon is still the keeper
    :param deposed: called with the epoch of another keeper that wrote a table
    :param silent_servers: returns the servers that answer no daemon at present
    """

    def __init__(
        self,
        dependencies: KeeperDependencies,
        broadcast: Broadcast,
        get_grant_duration_s: Callable[[], float | None],
        is_keeper: Callable[[], bool],
        on_deposed: Callable[[int], None],
        get_unresponsive_servers: Callable[[], list[str]],
    ) -> None:
        self._dependencies = dependencies
        self._broadcast = broadcast
        self._get_grant_duration_s = get_grant_duration_s
        self._is_keeper = is_keeper
        self._on_deposed = on_deposed
        self._get_unresponsive_servers = get_unresponsive_servers
        self._keeper_by_service: dict[str, ServiceKeeper] = {}
        self._admitted_shares_computed_at = -math.inf
        self._admitted_share_by_server: dict[str, float] = {}

    def sync_services(self, epoch: int, unknown_expiry: float) -> None:
        """Start to keep the services that the configuration has come to divide by key.

        :param unknown_until: until when holds may last that another keeper granted
        """
        for keeper in self._keeper_by_service.values():
            keeper.limit_unknown_expiry(unknown_expiry)
        for service in sorted(
            self._dependencies.keyed_services() - self._keeper_by_service.keys()
        ):
            keeper = ServiceKeeper(
                service,
                epoch,
                self._dependencies,
                unknown_expiry,
                self._get_grant_duration_s,
                self._is_keeper,
                self._on_deposed,
                self._broadcast.send_to_all,
                self._get_unresponsive_servers,
            )
            self._keeper_by_service[service] = keeper
            keeper.start()

    def close(self) -> None:
        """End the work on all tables."""
        for keeper in self._keeper_by_service.values():
            keeper.close()
        self._keeper_by_service = {}

    def apply_figures(self, report: Report, now: float) -> None:
        """Take what a daemon reports of requests and answers."""
        for service, requests_by_key in report.request_count_by_key.items():
            keeper = self._keeper_by_service.get(service)
            if keeper is not None:
                keeper.demand.count_requests(requests_by_key, now)
        for server_name, figures in report.figures_by_server.items():
            server = self._dependencies.registry.get(server_name)
            keeper = self._keeper_by_service.get(server.service) if server else None
            if keeper is not None:
                keeper.demand.apply_figures(server_name, figures)

    def compute_admitted_shares(self, now: float) -> dict[str, float]:
        """Return what overloaded owners can serve, worked out once for all daemons."""
        if now - self._admitted_shares_computed_at > ADMITTED_SHARE_MAX_AGE_S:
            self._admitted_shares_computed_at = now
            self._admitted_share_by_server = {
                name: share
                for keeper in self._keeper_by_service.values()
                for name, share in keeper.compute_admitted_shares().items()
            }
        return self._admitted_share_by_server

    def send_missed_updates(self, report: Report, address: Address, now: float) -> None:
        """Send a daemon the tables of which it missed a change."""
        for service, keeper in self._keeper_by_service.items():
            behind = report.table_revision_by_service.get(service, 0) < keeper.revision
            if not behind or now - keeper.published_at <= MAX_UPDATE_TRANSIT_S:
                continue
            update = keeper.build_update()
            if update is not None:
                self._broadcast.send(update, address)
