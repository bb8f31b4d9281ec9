"""What is looked up of services in the configuration in force."""

from __future__ import annotations

from coltsfootstair.gateway._services import (
    DEFAULT_TARGET_LATENCY_S,
    EXPECTED_TIME_SHARE,
    ServicesInForce,
)
from coltsfootstair.objects import StoredObject
from coltsfootstair.routes import RouteTable
from coltsfootstair_platform import PlatformDecoder
from tests.coltsfootstair_platform.standin import configuration


def _services() -> ServicesInForce:
    found = PlatformDecoder().decode_configuration(StoredObject('main', 1, configuration()))
    assert found is not None
    table = RouteTable(found)
    return ServicesInForce(lambda: table)


def test_services_are_those_of_the_configuration() -> None:
    services = _services()
    assert services.names() == ['calendar', 'desk', 'slots']
    assert services.divided_by_key() == {'slots'}
    assert services.cold_requests_per_s('calendar') == 5.0
    assert services.expected_service_time_s('calendar') == EXPECTED_TIME_SHARE * 0.3


def test_nothing_is_taken_for_granted_before_there_is_one() -> None:
    services = ServicesInForce(lambda: None)
    assert services.names() == []
    assert services.divided_by_key() == set()
    assert services.cold_requests_per_s('calendar') == 0.0
    assert (
        services.expected_service_time_s('calendar')
        == EXPECTED_TIME_SHARE * DEFAULT_TARGET_LATENCY_S
    )
