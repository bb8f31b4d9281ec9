"""Tests of the state of a daemon's network paths to the backend servers."""

from __future__ import annotations

from coltsfootstair.clock import ManualClock
from coltsfootstair.placement import ServerPaths

SERVERS = [(f's{number}', 1) for number in range(6)]


def _lose(paths: ServerPaths, count: int) -> None:
    for server in SERVERS[:count]:
        paths.record_failure(server, 'no connection')


def test_a_path_is_lost_until_something_comes_from_its_server() -> None:
    paths = ServerPaths(ManualClock())
    paths.record_failure(SERVERS[0], 'no connection')
    assert paths.is_lost(SERVERS[0])
    assert not paths.is_lost(SERVERS[1])
    paths.record_answer(SERVERS[0])
    assert paths.list_lost() == []


def test_a_daemon_that_has_lost_most_paths_in_use_is_cut_off() -> None:
    paths = ServerPaths(ManualClock())
    for server in SERVERS:
        paths.record_answer(server)
    _lose(paths, 2)
    assert not paths.is_cut_off
    _lose(paths, 3)
    assert paths.is_cut_off
    paths.record_answer(SERVERS[0])
    assert not paths.is_cut_off


def test_paths_without_recent_answers_are_not_in_use() -> None:
    clock = ManualClock()
    paths = ServerPaths(clock)
    for server in SERVERS:
        paths.record_answer(server)
    clock.advance(10.0)
    _lose(paths, 1)
    assert not paths.is_cut_off, 'one failure may be due to its server'
    _lose(paths, 2)
    assert paths.is_cut_off
    paths.forget_ended(lambda server: server not in SERVERS[:2])
    assert not paths.is_cut_off
