"""What the configuration in force says of services."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.routes import RouteTable, ServicePolicy

__all__ = ['ServicesInForce']

EXPECTED_TIME_SHARE = 0.3
"""Part of the strictest target latency that a service is expected to take while nothing is
known of it: the rest is left for waits."""

DEFAULT_TARGET_LATENCY_S = 0.3
"""Target latency taken for granted where no route states one, in seconds."""


class ServicesInForce:
    """Looks services up in the configuration of the moment.

    :param table: returns the configuration in force, ``None`` before the first
    """

    def __init__(self, table: Callable[[], RouteTable | None]) -> None:
        self._table = table

    def names(self) -> list[str]:
        """Return all services."""
        return sorted(self._policies())

    def divided_by_key(self) -> set[str]:
        """Return the services whose servers own keys."""
        return {name for name, policy in self._policies().items() if policy.divided_by_key}

    def cold_requests_per_s(self, service: str) -> float:
        """Return the requests a second that a cold server bears; 0 if none is stated."""
        policy = self._policies().get(service)
        return 0.0 if policy is None else policy.cold_requests_per_s

    def expected_service_time_s(self, service: str) -> float:
        """Return a service's time as the operators' targets let expect it, in seconds."""
        table = self._table()
        targets = (
            []
            if table is None
            else [
                route.target_latency_s
                for route in table.configuration.routes
                if any(weighted.service == service for weighted in route.weighted_services)
            ]
        )
        return EXPECTED_TIME_SHARE * min(targets, default=DEFAULT_TARGET_LATENCY_S)

    def _policies(self) -> dict[str, ServicePolicy]:
        table = self._table()
        return {} if table is None else dict(table.configuration.policy_by_service)
