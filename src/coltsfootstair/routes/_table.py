"""Finds the route of a request and the service that is next by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.routes._types import Configuration, Route, Share

__all__ = ['RouteTable']


class RouteTable:
    """Routes of one configuration by host and prefix.

    A lookup costs one dictionary access for each slash of the path, whatever the number
    of routes.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._by_prefix_by_host: dict[bytes, dict[bytes, Route]] = {}
        for route in configuration.routes:
            self._by_prefix_by_host.setdefault(route.host, {})[route.prefix] = route
        self._credit_by_route: dict[str, dict[str, float]] = {}

    def find(self, host: bytes, path: bytes) -> Route | None:
        """Return the route with the longest prefix of ``path``, or ``None``."""
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

    def next_service(self, route: Route) -> str:
        """Return the service that the next request of ``route`` belongs to.

        Smooth weighted round robin: over any run of requests each service gets its share,
        within one request.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        credit = self._credit_by_route.setdefault(route.name, {})
        for share in route.shares:
            credit[share.service] = credit.get(share.service, 0.0) + share.weight
        chosen = max(route.shares, key=lambda share: credit[share.service])
        credit[chosen.service] -= _total(route.shares)
        return chosen.service


def _total(shares: tuple[Share, ...]) -> float:
    return sum(share.weight for share in shares)
