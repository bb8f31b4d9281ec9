"""Tests of configurations that are large, read slowly, or change often."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

import pytest

from coltsfootstair.results import ResultCode
from tests.coltsfootstair_platform.standin import (
    ServerStandin,
    StoreStandin,
    build_configuration,
    build_route,
)
from tests.gateway.harness import RunningGateway, run_gateways, run_with_time_limit

CONFIGURATION_DEADLINE_S = 2.5
"""Time from the acknowledgement of a version until it must be in force, in seconds."""


def _build_large(version: int, route_count: int) -> dict[str, Any]:
    """Return a configuration; 1,000 routes have about 250 KB."""
    configuration = build_configuration(version)
    configuration['resources'] += [
        build_route(f'added{number}', 'calendar') for number in range(route_count)
    ]
    return configuration


async def _wait_for_version(running: RunningGateway, version: int, limit_s: float) -> bool:
    """Return whether a version came into force within a time limit."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            while running.gateway._get_configuration_version() < version:
                await asyncio.sleep(0.02)
            return True
    return False


@pytest.mark.parametrize('count', [1, 3])
def test_a_configuration_that_takes_longer_to_read_than_a_call_comes_into_force(
    count: int,
) -> None:
    """Guards against reading the same answer over and over, and giving it up each time."""

    async def work() -> list[bool]:
        store = StoreStandin()
        server = ('calendar', ServerStandin('s1'))
        async with run_gateways(count, server, store=store) as gateways:
            await asyncio.sleep(1.5)  # Until one of them is keeper.
            # The new version takes 3 s at this rate.
            store.bytes_per_s = 170_000.0
            await store.put('config', 'main', _build_large(2, 2000))
            return await asyncio.gather(
                *(_wait_for_version(running, 2, 8.0) for running in gateways)
            )

    assert all(run_with_time_limit(work()))


@pytest.mark.parametrize('count', [1, 3])
def test_versions_that_follow_faster_than_they_can_be_read_do_not_pile_up(count: int) -> None:
    """Guards against reading all versions in turn, of which only the last one counts."""

    async def work() -> float:
        store = StoreStandin()
        server = ('calendar', ServerStandin('s1'))
        loop = asyncio.get_running_loop()
        longest_lag_s = 0.0
        async with run_gateways(count, server, store=store) as gateways:
            await asyncio.sleep(1.5)
            # Four versions a second at this rate.
            store.bytes_per_s = 400_000.0
            written_at_by_version = {1: loop.time()}
            for version in range(2, 62):
                await store.put('config', 'main', _build_large(version, 400))
                written_at_by_version[version] = loop.time()
                await asyncio.sleep(0.1)
                for running in gateways:
                    in_force = running.gateway._get_configuration_version()
                    if in_force < version:
                        lag_s = loop.time() - written_at_by_version[in_force + 1]
                        longest_lag_s = max(longest_lag_s, lag_s)
            is_last = [await _wait_for_version(running, 61, 2.5) for running in gateways]
        assert all(is_last)
        return longest_lag_s

    assert run_with_time_limit(work()) < CONFIGURATION_DEADLINE_S


def test_changes_of_a_large_configuration_are_read_from_the_store_by_the_keeper_alone() -> (
    None
):
    """Guards against each daemon reading each version of a large configuration in full."""

    async def work() -> tuple[list[bool], int, int]:
        store = StoreStandin()
        server = ('calendar', ServerStandin('s1'))
        large = _build_large(2, 3500)
        async with run_gateways(4, server, store=store) as gateways:
            await asyncio.sleep(1.5)
            await store.put('config', 'main', large)
            assert all([await _wait_for_version(running, 2, 5.0) for running in gateways])
            await asyncio.sleep(1.0)
            before = store.answer_bytes_by_kind['config']
            in_time = []
            for version in range(3, 9):
                resources = list(large['resources'])
                resources[100] = build_route(f'changed{version}', 'calendar')
                large = {'version': f'{version:08x}', 'resources': resources}
                await store.put('config', 'main', large)
                in_time += [
                    await _wait_for_version(running, version, CONFIGURATION_DEADLINE_S)
                    for running in gateways
                ]
            answer = await gateways[1].call('changed8')
            assert answer.status == 200
            sent_bytes = store.answer_bytes_by_kind['config'] - before
            return in_time, sent_bytes, len(json.dumps(large))

    in_time, sent_bytes, size = run_with_time_limit(work())
    assert all(in_time)
    assert size > 850_000
    # A watch that is given up at its head, and a list, for each of six versions.
    assert sent_bytes < (2 * 6 + 1) * size


@pytest.mark.parametrize('count', [1, 3])
def test_no_route_is_denied_by_a_version_that_may_not_be_the_latest(count: int) -> None:
    """Guards against answering 404 from a configuration that is known to be old, or may be."""

    async def work() -> list[tuple[int, str, bool]]:
        store = StoreStandin()
        server = ('calendar', ServerStandin('s1'))
        seen = []
        async with run_gateways(count, server, store=store) as gateways:
            await asyncio.sleep(1.5)
            store.bytes_per_s = 1_000.0  # It never arrives within the test.
            await store.put('config', 'main', _build_large(2, 2000))
            await asyncio.sleep(CONFIGURATION_DEADLINE_S)
            for running in gateways:
                for _ in range(5):
                    answer = await running.call('added7')
                    seen.append(
                        (
                            answer.status,
                            answer.headers['coltsfootstair-result'],
                            'retry-after' in answer.headers,
                        )
                    )
                    await asyncio.sleep(0.05)
        return seen

    assert set(run_with_time_limit(work())) == {
        (503, str(int(ResultCode.CONFIGURATION_NOT_CONFIRMED)), True)
    }


def test_a_route_that_no_version_has_is_denied_while_the_store_answers() -> None:
    """Guards against refusing for later what is known not to exist."""

    async def work() -> set[int]:
        async with run_gateways(3, ('calendar', ServerStandin('s1'))) as gateways:
            await asyncio.sleep(CONFIGURATION_DEADLINE_S)
            return {(await running.call('nowhere')).status for running in gateways}

    assert run_with_time_limit(work()) == {404}


def test_no_route_is_denied_by_a_lower_version_than_that_of_the_keeper() -> None:
    """Guards against a daemon that has just read an older copy of the store."""

    async def work() -> tuple[int, int]:
        async with run_gateways(2, ('calendar', ServerStandin('s1'))) as gateways:
            await asyncio.sleep(CONFIGURATION_DEADLINE_S)
            by_role = {each.gateway._keeper.is_keeper: each for each in gateways}
            keeper, other = by_role[True].gateway._keeper, by_role[False]
            before = (await other.call('nowhere')).status
            # In its heartbeats, so that the next one does not undo it.
            keeper._dependencies = keeper._dependencies._replace(
                get_configuration_version=lambda: 99
            )
            while other.gateway._keeper.keepers_configuration_version != 99:
                await asyncio.sleep(0.02)
            return before, (await other.call('nowhere')).status

    assert run_with_time_limit(work()) == (404, 503)
