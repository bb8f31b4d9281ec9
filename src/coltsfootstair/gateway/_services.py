"""Looks up services in the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.routes import RouteTable, ServicePolicy

__all__ = ['ServicesInForce']

EXPECTED_SERVICE_TIME_SHARE = 0.3
"""Share of a service's shortest target latency that is assumed as its service time until an
answer has been measured; the rest is left for queueing."""

DEFAULT_TARGET_LATENCY_S = 0.3
"""Target latency assumed for a service that no route leads to, in seconds."""


class ServicesInForce:
    """Looks up services in the configuration that is in force at each call.

    :param get_route_table: returns the configuration in force, ``None`` before the first
    """

    def __init__(self, get_route_table: Callable[[], RouteTable | None]) -> None:
        self._get_route_table = get_route_table

    def list_names(self) -> list[str]:
        """Return the names of all services, in order."""
        return sorted(self._get_policies())

    def find_divided_by_key(self) -> set[str]:
        """Return the names of the services that are divided by key."""
        return {name for name, policy in self._get_policies().items() if policy.divided_by_key}

    def get_cold_requests_per_s(self, service: str) -> float:
        """Return the requests a second that a cold server of ``service`` accepts from all
        daemons together; 0 if the service is not configured.
        """
        policy = self._get_policies().get(service)
        return 0.0 if policy is None else policy.cold_requests_per_s

    def get_expected_service_time_s(self, service: str) -> float:
        """Return the service time to assume until an answer has been measured, in seconds."""
        route_table = self._get_route_table()
        targets = {} if route_table is None else route_table.target_latency_by_service
        return EXPECTED_SERVICE_TIME_SHARE * targets.get(service, DEFAULT_TARGET_LATENCY_S)

    def _get_policies(self) -> dict[str, ServicePolicy]:
        route_table = self._get_route_table()
        return {} if route_table is None else dict(route_table.configuration.policy_by_service)
