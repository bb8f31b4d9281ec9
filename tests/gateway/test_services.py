"""Tests of looking up services in the configuration in force."""

from __future__ import annotations

from collections.abc import Iterator

from coltsfootstair.gateway._services import (
    DEFAULT_TARGET_LATENCY_S,
    EXPECTED_SERVICE_TIME_SHARE,
    ServicesInForce,
)
from coltsfootstair.objects import StoredObject
from coltsfootstair.routes import Route, RouteTable
from coltsfootstair_platform import PlatformDecoder
from tests.coltsfootstair_platform.standin import build_configuration


def _services() -> ServicesInForce:
    decoded = PlatformDecoder().decode_configuration(
        StoredObject('main', 1, build_configuration())
    )
    assert decoded is not None
    table = RouteTable(decoded)
    return ServicesInForce(lambda: table)


def test_services_are_looked_up_in_the_configuration() -> None:
    # The names and figures are those of the configuration that the stand-in returns.
    services = _services()
    assert services.list_names() == ['calendar', 'desk', 'slots']
    assert services.find_divided_by_key() == {'slots'}
    assert services.get_cold_requests_per_s('calendar') == 5.0
    assert (
        services.get_expected_service_time_s('calendar') == EXPECTED_SERVICE_TIME_SHARE * 0.3
    )


def test_looking_up_a_service_takes_no_longer_with_more_routes() -> None:
    """Guards against a keeper whose reports cost more with each route."""
    seen = 0

    class CountedRoutes(tuple[Route, ...]):
        def __iter__(self) -> Iterator[Route]:
            nonlocal seen
            seen += len(self)
            return super().__iter__()

    decoded = PlatformDecoder().decode_configuration(
        StoredObject('main', 1, build_configuration())
    )
    assert decoded is not None
    table = RouteTable(decoded._replace(routes=CountedRoutes(decoded.routes)))
    services = ServicesInForce(lambda: table)
    services.get_expected_service_time_s('calendar')
    seen = 0
    for _ in range(100):
        services.get_expected_service_time_s('calendar')
        services.get_expected_service_time_s('unknown')
    assert seen == 0


def test_defaults_apply_before_the_first_configuration() -> None:
    services = ServicesInForce(lambda: None)
    assert services.list_names() == []
    assert services.find_divided_by_key() == set()
    assert services.get_cold_requests_per_s('calendar') == 0.0
    assert (
        services.get_expected_service_time_s('calendar')
        == EXPECTED_SERVICE_TIME_SHARE * DEFAULT_TARGET_LATENCY_S
    )
