"""Looks up services in the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.routes import RouteTable, ServicePolicy

__all__ = ['ServicesInForce']

EXPECTED_TIME_SHARE = 0.3
"""Part of the strictest target latency that a service is expected to take before its first
answer; the rest is for waiting."""

DEFAULT_TARGET_LATENCY_S = 0.3
"""Target latency assumed for a service that no route leads to, in seconds."""


class ServicesInForce:
    """Looks up services in the configuration that is in force at each call.

    :param table: returns the configuration in force, ``None`` before the first
    """

    def __init__(self, table: Callable[[], RouteTable | None]) -> None:
        self._table = table

    def names(self) -> list[str]:
        """Return the names of all services, in order."""
        return sorted(self._policies())

    def divided_by_key(self) -> set[str]:
        """Return the names of the services that are divided by key."""
        return {name for name, policy in self._policies().items() if policy.divided_by_key}

    def cold_requests_per_s(self, service: str) -> float:
        """Return the requests a second that a cold server accepts; 0 if not configured."""
        policy = self._policies().get(service)
        return 0.0 if policy is None else policy.cold_requests_per_s

    def expected_service_time_s(self, service: str) -> float:
        """Return the service time to expect before the first answer, in seconds."""
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
