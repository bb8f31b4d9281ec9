"""Tests of routing by host and longest path prefix, and of the split by weight."""

from __future__ import annotations

from collections import Counter

from coltsfootstair.http1 import CallerLimits
from coltsfootstair.routes import (
    Configuration,
    RequestKind,
    Route,
    RouteTable,
    WeightedService,
)


def _route(
    name: str, host: bytes, prefix: bytes, *weighted_services: WeightedService
) -> Route:
    return Route(name, host, prefix, RequestKind.IDEMPOTENT, weighted_services, 2, 2.0, 0.6, 1)


ONE = WeightedService('one', 1.0)
TABLE = RouteTable(
    Configuration(
        1,
        (
            _route('short', b'a.example', b'/x/', ONE),
            _route('long', b'a.example', b'/x/y/', ONE),
            _route(
                'split',
                b'b.example',
                b'/',
                WeightedService('one', 90.0),
                WeightedService('two', 10.0),
            ),
        ),
        {},
        CallerLimits(),
    )
)


def _route_name(host: bytes, path: bytes) -> str | None:
    route = TABLE.find(host, path)
    return None if route is None else route.name


def test_the_longest_prefix_that_ends_with_a_slash_wins() -> None:
    assert _route_name(b'a.example', b'/x/y/z') == 'long'
    assert _route_name(b'A.Example:8080', b'/x/y') == 'short'
    assert _route_name(b'a.example', b'/x/yy/z') == 'short'
    assert _route_name(b'a.example', b'/x') is None
    assert _route_name(b'a.example', b'/') is None
    assert _route_name(b'c.example', b'/x/') is None


def test_services_follow_their_weights_over_any_run() -> None:
    route = TABLE.find(b'b.example', b'/q')
    assert route is not None
    chosen = [TABLE.choose_service(route) for _ in range(300)]
    for first in range(0, 200, 7):
        assert 9 <= Counter(chosen[first : first + 100])['two'] <= 11
