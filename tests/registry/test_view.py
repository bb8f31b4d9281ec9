"""Backend servers that join, leave, lapse, fall cold or are evacuated."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.clock import ManualClock
from coltsfootstair.http1 import Address
from coltsfootstair.registry import BackendServer, Registry, ServerState
from coltsfootstair.registry._view import RETURN_GRACE_S

if TYPE_CHECKING:
    import pytest

SERVER = BackendServer(
    's1', 7, 'lookups', Address('10.0.0.1', 1), 'north', 4, ServerState.READY, 0.0
)
OTHER = SERVER._replace(name='s2', data_centre='south')
TOUCH_S = 3.0
"""The time after which a VM that is back is held to all bounds, as the platform states."""


def _names(registry: Registry) -> list[str]:
    return [server.name for server in registry.find_usable('lookups')]


def test_draining_and_evacuated_servers_get_nothing_new() -> None:
    registry = Registry(ManualClock())
    registry.apply_entry(SERVER)
    registry.apply_entry(OTHER)
    assert _names(registry) == ['s1', 's2']
    registry.set_evacuated_data_centres(frozenset({'south'}))
    assert _names(registry) == ['s1']
    registry.apply_entry(SERVER._replace(state=ServerState.DRAINING))
    assert _names(registry) == []
    registry.set_evacuated_data_centres(frozenset())
    assert _names(registry) == ['s2']


def test_a_removed_entry_is_gone_at_once() -> None:
    registry = Registry(ManualClock())
    registry.apply_entry(SERVER)
    registry.remove('s1')
    assert registry.get('s1') is None


def test_an_entry_that_lapsed_with_the_store_may_come_back() -> None:
    clock = ManualClock()
    registry = Registry(clock)
    registry.apply_entry(SERVER)
    registry.apply_entry(OTHER)
    registry.apply_listing([], after_outage=True)
    assert _names(registry) == ['s1', 's2']
    clock.advance(1.0)
    registry.apply_entry(OTHER)
    clock.advance(1.0)
    registry.remove_expired()
    assert _names(registry) == ['s2']


def test_a_vm_that_comes_back_drops_lost_entries_within_the_bound() -> None:
    """A request reached a server 10.6 s after it had said that it leaves."""
    slowest_listing_s = 1.2
    assert slowest_listing_s + RETURN_GRACE_S < TOUCH_S


def test_another_life_under_the_same_name_is_another_server() -> None:
    registry = Registry(ManualClock())
    registry.apply_entry(SERVER._replace(cold_left_s=3.0))
    assert registry.cold_left_s(SERVER) == 3.0
    reborn = SERVER._replace(started_at_ms=8)
    registry.apply_entry(reborn)
    assert registry.get('s1') == reborn
    assert registry.cold_left_s(reborn) == 0.0


def test_a_server_may_fall_cold_again() -> None:
    clock = ManualClock()
    registry = Registry(clock)
    registry.apply_entry(SERVER)
    registry.apply_entry(SERVER._replace(cold_left_s=3.0))
    clock.advance(2.0)
    assert registry.cold_left_s(SERVER) == 1.0


def test_how_long_a_server_has_been_left_alone_is_known() -> None:
    clock = ManualClock()
    registry = Registry(clock)
    registry.apply_entry(SERVER)
    assert registry.unusable_for_s('s1') == 0.0
    registry.apply_entry(SERVER._replace(state=ServerState.DRAINING))
    clock.advance(0.5)
    assert registry.unusable_for_s('s1') == 0.5


def test_a_cold_server_that_counts_down_says_nothing_new() -> None:
    """353 entries that only counted down were passed on to each of 80 daemons."""
    clock = ManualClock()
    registry = Registry(clock)
    assert registry.apply_entry(SERVER._replace(cold_left_s=3.0))
    clock.advance(1.0)
    assert not registry.apply_entry(SERVER._replace(cold_left_s=2.1))
    assert registry.apply_entry(SERVER._replace(cold_left_s=3.0)), 'it fell cold again'
    assert registry.apply_entry(SERVER._replace(state=ServerState.DRAINING, cold_left_s=3.0))


def test_many_servers_that_join_are_sorted_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A VM among 300 spent its first seconds on sorting 3,000 servers for each that joined."""
    registry = Registry(ManualClock())
    rebuilds: list[int] = []
    plain = registry._rebuild_index

    def counted() -> None:
        rebuilds.append(1)
        plain()

    monkeypatch.setattr(registry, '_rebuild_index', counted)
    for number in range(500):
        registry.apply_entry(SERVER._replace(name=f's{number:03d}'))
    assert len(registry.find_usable('lookups')) == 500
    assert len(registry.find_usable('lookups')) == 500
    assert len(rebuilds) == 1
