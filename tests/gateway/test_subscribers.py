"""Tests of applying the store's objects while other writers leave odd ones among them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from coltsfootstair.clock import ManualClock
from coltsfootstair.gateway._subscribers import (
    ConfigurationSubscriber,
    EvacuationSubscriber,
    ServerSubscriber,
)
from coltsfootstair.objects import Change, Listing, StoredObject, UnreadableValue
from coltsfootstair.registry import Registry
from coltsfootstair.supervision import FailureLog
from coltsfootstair_platform import PlatformDecoder
from tests.coltsfootstair_platform.standin import ServerStandin, build_configuration

if TYPE_CHECKING:
    import pytest

DECODER = PlatformDecoder()
ODD = UnreadableValue('nested too deep')


def _build_entry(name: str, revision: int, **fields: Any) -> StoredObject:
    server = ServerStandin(name)
    server.port = 80
    return StoredObject(name, revision, server.build_entry('calendar', **fields))


def test_an_unchanged_odd_entry_is_logged_once_and_not_at_each_list(
    capsys: pytest.CaptureFixture[str],
) -> None:
    subscriber = ServerSubscriber(DECODER, Registry(ManualClock()), FailureLog())
    listing = Listing([StoredObject('s1', 4, ODD), _build_entry('s2', 5)], 6)
    for _ in range(5):
        subscriber.apply_listing(listing, after_outage=False, is_restored=False)
    assert capsys.readouterr().out.count('object refused') == 1
    assert len(subscriber.refused) == 1
    subscriber.apply_change(Change(StoredObject('s1', 7, ODD), False), after_outage=False)
    assert capsys.readouterr().out.count('object refused') == 1
    subscriber.apply_change(Change(StoredObject('s1', 8, ODD), True), after_outage=False)
    assert len(subscriber.refused) == 0


def test_an_odd_entry_ends_the_use_of_its_server_and_of_no_other() -> None:
    clock = ManualClock()
    registry = Registry(clock)
    subscriber = ServerSubscriber(DECODER, registry, FailureLog())
    good = [_build_entry('s1', 4), _build_entry('s2', 5)]
    subscriber.apply_listing(Listing(good, 5), after_outage=False, is_restored=False)
    assert subscriber.apply_change(
        Change(StoredObject('s1', 6, ODD), False), after_outage=False
    )
    subscriber.apply_listing(
        Listing([StoredObject('s1', 6, ODD), good[1]], 6),
        after_outage=False,
        is_restored=False,
    )
    assert len(registry.find_usable('calendar')) == 2
    clock.advance(1.5)
    registry.remove_expired()
    assert [server.name for server in registry.find_usable('calendar')] == ['s2']
    subscriber.apply_change(Change(_build_entry('s1', 7), False), after_outage=False)
    assert len(registry.find_usable('calendar')) == 2


def test_an_unreadable_configuration_leaves_the_last_one_in_force() -> None:
    subscriber = ConfigurationSubscriber(DECODER, FailureLog())
    good = StoredObject('main', 4, build_configuration(3))
    subscriber.apply_listing(Listing([good], 4), after_outage=False, is_restored=False)
    subscriber.apply_change(Change(StoredObject('main', 5, ODD), False), after_outage=False)
    assert subscriber.route_table is not None
    assert subscriber.route_table.configuration.version == 3
    assert len(subscriber.refused) == 1
    newer = StoredObject('main', 6, build_configuration(4))
    subscriber.apply_change(Change(newer, False), after_outage=False)
    assert subscriber.route_table.configuration.version == 4
    assert len(subscriber.refused) == 0


def test_requests_are_denied_again_once_an_unreadable_version_is_replaced_or_deleted() -> None:
    """Guards against a daemon that can deny nothing any more after one odd version."""
    subscriber = ConfigurationSubscriber(DECODER, FailureLog())
    good = StoredObject('main', 4, build_configuration(3))
    subscriber.apply_listing(Listing([good], 4), after_outage=False, is_restored=False)
    seen = [subscriber.is_newest_readable]
    for change in (
        Change(StoredObject('main', 5, ODD), False),
        Change(StoredObject('main', 6, None), True),
        Change(StoredObject('main', 7, ODD), False),
        Change(StoredObject('main', 8, build_configuration(4)), False),
        Change(StoredObject('notes', 9, ODD), False),
    ):
        subscriber.apply_change(change, after_outage=False)
        seen.append(subscriber.is_newest_readable)
    assert seen == [True, False, True, False, True, True]


def test_an_evacuation_with_an_odd_name_ends_no_other_evacuation() -> None:
    registry = Registry(ManualClock())
    subscriber = EvacuationSubscriber(DECODER, registry, FailureLog())
    registry_entry = DECODER.decode_backend_server(_build_entry('s1', 1))
    registry.apply_entry(registry_entry)
    objects = [StoredObject('\ud800', 2, {}), StoredObject('north', 3, ODD)]
    subscriber.apply_listing(Listing(objects, 4), after_outage=False, is_restored=False)
    assert not registry.is_usable('s1')
    for deleted in (False, True):
        change = Change(StoredObject('\ud800', 5, None), deleted)
        assert subscriber.apply_change(change, after_outage=False)
    assert not registry.is_usable('s1')
    subscriber.apply_change(Change(objects[1], True), after_outage=False)
    assert registry.is_usable('s1')
