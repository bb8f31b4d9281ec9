"""Finds the route of a request and chooses a service of the route by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.routes._types import Configuration, Route, WeightedService

__all__ = ['RouteTable']


class RouteTable:
    """Finds the routes of one configuration by host and path prefix.

    A lookup needs one dictionary access for each slash of the path, regardless of the
    number of routes.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._by_prefix_by_host: dict[bytes, dict[bytes, Route]] = {}
        for route in configuration.routes:
            self._by_prefix_by_host.setdefault(route.host, {})[route.prefix] = route
        self._credit_by_route: dict[str, dict[str, float]] = {}

    def find(self, host: bytes, path: bytes) -> Route | None:
        """Return the route with the longest matching prefix of ``path``, or ``None``.

        :param host: value of the Host header; its case and its port are ignored
        """
        by_prefix = self._by_prefix_by_host.get(host.partition(b':')[0].lower())
        if by_prefix is None:
            return None
        end = len(path)
        while (slash := path.rfind(b'/', 0, end)) >= 0:
            route = by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None

    def choose_service(self, route: Route) -> str:
        """Choose the service that handles the next request of ``route``.

        Uses smooth weighted round robin: over any run of consecutive requests, each service
        gets the number that its weight calls for, to within one request.
        """
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        credit = self._credit_by_route.setdefault(route.name, {})
        for weighted in route.weighted_services:
            credit[weighted.service] = credit.get(weighted.service, 0.0) + weighted.weight
        chosen = max(route.weighted_services, key=lambda weighted: credit[weighted.service])
        credit[chosen.service] -= _total_weight(route.weighted_services)
        return chosen.service


def _total_weight(weighted_services: tuple[WeightedService, ...]) -> float:
    return sum(weighted.weight for weighted in weighted_services)
