"""Tests of decoding a configuration that differs in little from the one before."""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING, Any

import pytest

from coltsfootstair.errors import BadInputError
from coltsfootstair.objects import StoredObject
from coltsfootstair_platform import PlatformDecoder
from tests.coltsfootstair_platform.standin import build_configuration, build_route

if TYPE_CHECKING:
    from coltsfootstair.routes import Configuration


def _decode(decoder: PlatformDecoder, value: Any) -> Configuration:
    decoded = decoder.decode_configuration(StoredObject('main', 1, value))
    assert decoded is not None
    return decoded


def _change_one_route(value: Any) -> Any:
    changed = copy.deepcopy(value)
    changed['resources'][0] = build_route('lookups', 'desk', priority=7)
    return changed


def test_a_route_that_changed_is_decoded_again_and_others_are_reused() -> None:
    """Guards against routes of an older version, and against decoding each of them anew."""
    decoder = PlatformDecoder()
    first = _decode(decoder, build_configuration(1))
    changed_value = _change_one_route(build_configuration(2))
    second = _decode(decoder, changed_value)
    assert second == _decode(PlatformDecoder(), changed_value)
    assert second.routes[0].priority == 7
    assert all(
        new is old for new, old in zip(second.routes[1:], first.routes[1:], strict=True)
    )


def test_a_route_that_is_back_after_an_unreadable_version_is_decoded_as_before() -> None:
    decoder = PlatformDecoder()
    value = build_configuration(1)
    first = _decode(decoder, value)
    odd = copy.deepcopy(value)
    odd['resources'][1]['spec']['timeout-ms'] = 'soon'
    with pytest.raises(BadInputError):
        _decode(decoder, odd)
    assert _decode(decoder, value) == first


def test_a_service_that_a_reused_route_leads_to_must_still_be_there() -> None:
    """Guards against a reused route to a service that the new version lacks."""
    decoder = PlatformDecoder()
    value = build_configuration(1)
    _decode(decoder, value)
    lacking = {
        'version': '2',
        'resources': [
            resource
            for resource in value['resources']
            if resource['metadata'].get('name') != 'calendar'
        ],
    }
    with pytest.raises(BadInputError, match='calendar'):
        _decode(decoder, lacking)
