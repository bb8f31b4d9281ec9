"""Finds the route of a request and chooses a service of the route by weight."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.routes._types import Configuration, Route, WeightedService

__all__ = ['RouteTable']


class RouteTable:
    """Finds the routes of one configuration by host and path prefix.

    A lookup needs one dictionary access for each slash of the path, regardless of the
    number of routes.

    :ivar target_latency_by_service: shortest target latency of the routes that lead to each
        service, in seconds
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._route_by_prefix_by_host: dict[bytes, dict[bytes, Route]] = {}
        for route in configuration.routes:
            self._route_by_prefix_by_host.setdefault(route.host, {})[route.prefix] = route
        self.target_latency_by_service: dict[str, float] = {}
        for route in configuration.routes:
            for weighted in route.weighted_services:
                shortest_s = self.target_latency_by_service.get(weighted.service, math.inf)
                self.target_latency_by_service[weighted.service] = min(
                    shortest_s, route.target_latency_s
                )
        # Current weight of each service in smooth weighted round robin.
        self._current_weights_by_route: dict[str, dict[str, float]] = {}

        self._limit_by_workspace = {
            workspace.name: (workspace.limit_per_s, workspace.burst)
            for workspace in configuration.workspace_by_digest.values()
        }

    def find_workspace_limit(self, name: str) -> tuple[float, float] | None:
        """Return the requests a second of a workspace and their burst, or ``None``."""
        return self._limit_by_workspace.get(name)

    def find(self, host: bytes, path: bytes) -> Route | None:
        """Return the route with the longest matching prefix of ``path``, or ``None``.

        :param host: value of the Host header; its case and its port are ignored
        """
        route_by_prefix = self._route_by_prefix_by_host.get(host.partition(b':')[0].lower())
        if route_by_prefix is None:
            return None
        end = len(path)
        while (slash := path.rfind(b'/', 0, end)) >= 0:
            route = route_by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None

    def choose_service(self, route: Route) -> str:
        """Choose the service that handles the next request of ``route``.

        Uses smooth weighted round robin: in any sequence of consecutive requests, the number
        for each service differs by at most one from the share of its weight.
        """
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        current_weights = self._current_weights_by_route.setdefault(route.name, {})
        for weighted in route.weighted_services:
            current_weights[weighted.service] = (
                current_weights.get(weighted.service, 0.0) + weighted.weight
            )
        chosen = max(
            route.weighted_services,
            key=lambda weighted: current_weights[weighted.service],
        )
        current_weights[chosen.service] -= _total_weight(route.weighted_services)
        return chosen.service


def _total_weight(weighted_services: tuple[WeightedService, ...]) -> float:
    return sum(weighted.weight for weighted in weighted_services)
