"""Tests of servers that join, leave, miss a listing, become cold or are evacuated."""

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
RECOVERY_BOUND_S = 3.0
"""Time after which the platform holds a VM that is back to all bounds, in seconds."""


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


def test_an_entry_that_is_missing_after_an_outage_may_return() -> None:
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


def test_a_vm_that_is_back_drops_missing_entries_within_the_bound() -> None:
    """Guards against requests to a server that left while the daemon's VM was away.

    One request reached a server 10.6 s after the server had announced that it leaves: a
    daemon that was back kept the outdated entry for too long.
    """
    slowest_listing_s = 1.2
    assert slowest_listing_s + RETURN_GRACE_S < RECOVERY_BOUND_S


def test_another_incarnation_of_the_same_name_is_another_server() -> None:
    registry = Registry(ManualClock())
    registry.apply_entry(SERVER._replace(cold_left_s=3.0))
    assert registry.cold_left_s(SERVER) == 3.0
    restarted = SERVER._replace(started_at_ms=8)
    registry.apply_entry(restarted)
    assert registry.get('s1') == restarted
    assert registry.cold_left_s(restarted) == 0.0


def test_a_server_may_become_cold_again() -> None:
    clock = ManualClock()
    registry = Registry(clock)
    registry.apply_entry(SERVER)
    registry.apply_entry(SERVER._replace(cold_left_s=3.0))
    clock.advance(2.0)
    assert registry.cold_left_s(SERVER) == 1.0


def test_the_time_since_a_server_became_unusable_is_known() -> None:
    clock = ManualClock()
    registry = Registry(clock)
    registry.apply_entry(SERVER)
    assert registry.unusable_for_s('s1') == 0.0
    registry.apply_entry(SERVER._replace(state=ServerState.DRAINING))
    clock.advance(0.5)
    assert registry.unusable_for_s('s1') == 0.5


def test_an_entry_that_only_counts_down_is_no_change() -> None:
    """Guards against relaying entries in which only the remaining cold time has changed.

    The keeper sent 353 such entries to each of 80 daemons.
    """
    clock = ManualClock()
    registry = Registry(clock)
    assert registry.apply_entry(SERVER._replace(cold_left_s=3.0))
    clock.advance(1.0)
    assert not registry.apply_entry(SERVER._replace(cold_left_s=2.1))
    assert registry.apply_entry(SERVER._replace(cold_left_s=3.0)), 'it became cold again'
    assert registry.apply_entry(SERVER._replace(state=ServerState.DRAINING, cold_left_s=3.0))


def test_servers_that_join_together_are_indexed_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against indexing all servers again for each one that joins.

    Among 300 VMs, a daemon spent its first seconds on sorting 3,000 servers that way.
    """
    registry = Registry(ManualClock())
    rebuilds: list[int] = []
    rebuild_index = registry._rebuild_index

    def count_rebuild() -> None:
        rebuilds.append(1)
        rebuild_index()

    monkeypatch.setattr(registry, '_rebuild_index', count_rebuild)
    for number in range(500):
        registry.apply_entry(SERVER._replace(name=f's{number:03d}'))
    assert len(registry.find_usable('lookups')) == 500
    assert len(registry.find_usable('lookups')) == 500
    assert len(rebuilds) == 1
