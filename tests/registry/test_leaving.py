"""Tests of incarnations that have said in an answer that they are leaving."""

from __future__ import annotations

from coltsfootstair.clock import ManualClock
from coltsfootstair.http1 import Address
from coltsfootstair.registry import BackendServer, Registry, ServerState
from coltsfootstair.registry._leaving import MEMORY_S

SERVER = BackendServer(
    's1', 7, 'lookups', Address('10.0.0.1', 1), 'north', 4, ServerState.READY, 0.0
)
NEW_LIFE = SERVER._replace(started_at_ms=8)


def _make_registry(*servers: BackendServer) -> Registry:
    registry = Registry(ManualClock())
    for server in servers:
        registry.apply_entry(server)
    return registry


def _names(registry: Registry) -> list[str]:
    return [server.name for server in registry.find_usable('lookups')]


def test_a_leaving_server_gets_no_new_requests() -> None:
    registry = _make_registry(SERVER, SERVER._replace(name='s2'))
    assert _names(registry) == ['s1', 's2']
    registry.mark_leaving(SERVER.incarnation)
    assert _names(registry) == ['s2']
    assert registry.list_leaving() == [SERVER]


def test_no_entry_of_a_leaving_server_makes_it_usable_again() -> None:
    """Guards against outdated entries: written again, listed, or of an older copy."""
    registry = _make_registry(SERVER)
    registry.mark_leaving(SERVER.incarnation)
    registry.apply_entry(SERVER._replace(reported_cold_left_s=3.0))
    assert _names(registry) == []
    registry.apply_listing([SERVER], after_outage=True, is_restored=True)
    assert _names(registry) == []
    registry.remove('s1')
    registry.apply_listing([SERVER], after_outage=False)
    assert _names(registry) == []


def test_a_new_life_of_a_leaving_server_is_not_held_back() -> None:
    registry = _make_registry(SERVER)
    registry.mark_leaving(SERVER.incarnation)
    registry.apply_entry(NEW_LIFE)
    assert _names(registry) == ['s1']
    assert registry.unusable_for_s('s1') == 0.0
    # An answer of the earlier life that arrives late.
    registry.mark_leaving(SERVER.incarnation)
    assert _names(registry) == ['s1']
    assert registry.list_leaving() == []


def test_a_server_may_say_that_it_leaves_before_its_entry_is_known() -> None:
    registry = _make_registry()
    registry.mark_leaving(SERVER.incarnation)
    registry.apply_entry(SERVER)
    assert _names(registry) == []


def test_a_leaving_server_is_remembered_after_its_entry_is_gone() -> None:
    clock = ManualClock()
    registry = Registry(clock)
    registry.apply_entry(SERVER)
    registry.mark_leaving(SERVER.incarnation)
    clock.advance(2 * MEMORY_S)
    registry.remove_expired()
    registry.remove('s1')
    clock.advance(0.9 * MEMORY_S)
    registry.remove_expired()
    assert registry.is_leaving(SERVER.incarnation)
    clock.advance(0.2 * MEMORY_S)
    registry.remove_expired()
    assert not registry.is_leaving(SERVER.incarnation), 'the memory does not grow without end'


def test_another_server_with_the_same_address_is_found() -> None:
    registry = _make_registry(SERVER)
    assert not registry.has_other_at_address(SERVER)
    assert not registry.has_other_at_address(NEW_LIFE)
    registry.apply_entry(SERVER._replace(name='s2'))
    assert registry.has_other_at_address(SERVER)
