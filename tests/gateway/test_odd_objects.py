"""Tests of daemons that go on while another writer leaves odd objects of every kind."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from tests.coltsfootstair_platform.odd import ODD_ENTRY_BY_FORM, UNREADABLE_BY_FORM
from tests.coltsfootstair_platform.standin import (
    ServerStandin,
    StoreStandin,
    build_configuration,
    build_route,
    build_service,
)
from tests.gateway.harness import RunningGateway, run_gateways, run_with_time_limit

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

GATEWAY_COUNT = 3

ELECTION_S = 1.5
"""Time in which one of the daemons becomes keeper and relays changes, in seconds."""

CHANGE_DEADLINE_S = 2.0
"""Time from a change in the store until it must be in force, in seconds."""

WORDS_OF_FAILURE = ('task failed', 'Traceback', 'store lost', 'work of the keeper failed')


async def _write_odd_entries(store: StoreStandin) -> None:
    # Those that can be read but are large are not relayed, so they must not come with others.
    large = [form for form in ODD_ENTRY_BY_FORM if '00 ' in form]
    for forms in ([form for form in ODD_ENTRY_BY_FORM if form not in large], large):
        for form in forms:
            await store.put_raw('servers', form, ODD_ENTRY_BY_FORM[form])
        await asyncio.sleep(0.4)


async def _write_odd_objects_of_other_kinds(store: StoreStandin) -> None:
    for number, text in enumerate(UNREADABLE_BY_FORM.values()):
        await store.put_raw('config', f'odd{number}', text)
        await store.put_raw('evacuations', f'odd{number}', text)
        await store.put_raw('coltsfootstair-keys', f'odd{number}', text)
        await store.put_raw('coltsfootstair-keys', f'table-odd{number}', text)
    await store.put('evacuations', 'a\ud800', {})


async def _write_odd_configurations(store: StoreStandin) -> None:
    for text in UNREADABLE_BY_FORM.values():
        await store.put_raw('config', 'main', text)
        await asyncio.sleep(0.05)


async def _write_odd_lease_and_table(store: StoreStandin) -> None:
    await store.put_raw('coltsfootstair-keys', 'keeper', b'[' * 3000 + b']' * 3000)
    await store.put_raw('coltsfootstair-keys', 'table-slots', b'{"epoch":1' + b'0' * 30 + b'}')


async def _change_everything(store: StoreStandin, added: ServerStandin) -> None:
    """Add a server, and a route to it by a service that is new."""
    configuration = build_configuration(2)
    configuration['resources'] += [build_route('added', 'extra'), build_service('extra')]
    await store.put('config', 'main', configuration)
    await store.put('servers', added.name, added.build_entry('extra'))


async def _is_served_at_all(gateways: list[RunningGateway], route: str) -> list[int]:
    """Return the status of a route at each daemon, once all serve it or it is too late."""
    statuses: list[int] = []
    for _ in range(int(CHANGE_DEADLINE_S / 0.1)):
        await asyncio.sleep(0.1)
        statuses = [(await running.call(route)).status for running in gateways]
        if set(statuses) == {200}:
            break
    return statuses


@pytest.mark.parametrize('is_before_start', [True, False], ids=['by list', 'by change'])
@pytest.mark.parametrize(
    'write',
    [_write_odd_entries, _write_odd_objects_of_other_kinds, _write_odd_configurations],
)
def test_odd_objects_do_not_keep_later_changes_from_any_daemon(
    write: Callable[[StoreStandin], Awaitable[None]],
    is_before_start: bool,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Daemons never learned of another server, and a new route got 503 at them for good."""

    async def work() -> tuple[list[int], list[int], int]:
        store, server, added = StoreStandin(), ServerStandin('s1'), ServerStandin('s2')
        await added.start()
        if is_before_start:
            await write(store)
        async with run_gateways(GATEWAY_COUNT, ('calendar', server), store=store) as gateways:
            await asyncio.sleep(ELECTION_S)
            if not is_before_start:
                await write(store)
                await asyncio.sleep(0.5)
            await _change_everything(store, added)
            added_statuses = await _is_served_at_all(gateways, 'added')
            store.discard_history()
            await store.delete('servers', 's2')
            await asyncio.sleep(1.0)
            await store.put('servers', 's2', added.build_entry('extra', sequence=7))
            again_statuses = await _is_served_at_all(gateways, 'added')
            keeper_count = sum(running.gateway._keeper.is_keeper for running in gateways)
        added.stop()
        return added_statuses, again_statuses, keeper_count

    all_served = [200] * GATEWAY_COUNT
    assert run_with_time_limit(work()) == (all_served, all_served, 1)
    lines = capsys.readouterr().out.splitlines()
    assert [line for line in lines if any(word in line for word in WORDS_OF_FAILURE)] == []


def test_an_odd_lease_and_an_odd_table_are_replaced_by_a_keeper(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The keeper's task ended, and nobody could take over."""

    async def work() -> tuple[list[int], bool]:
        store, server, added = StoreStandin(), ServerStandin('s1'), ServerStandin('s2')
        await added.start()
        async with run_gateways(GATEWAY_COUNT, ('slots', server), store=store) as gateways:
            await _wait_for_grant_call(server)
            await _write_odd_lease_and_table(store)
            await asyncio.sleep(1.0)
            await _change_everything(store, added)
            added_statuses = await _is_served_at_all(gateways, 'added')
            # Until all grants made before have expired.
            await asyncio.sleep(8.0)
            is_granting = await _wait_for_grant_call(server)
        added.stop()
        return added_statuses, is_granting

    assert run_with_time_limit(work()) == ([200] * GATEWAY_COUNT, True)
    lines = capsys.readouterr().out.splitlines()
    assert [line for line in lines if any(word in line for word in WORDS_OF_FAILURE)] == []


async def _wait_for_grant_call(server: ServerStandin) -> bool:
    """Return whether a server is granted keys within some seconds."""
    count = len(server.grant_calls)
    for _ in range(60):
        await asyncio.sleep(0.1)
        if len(server.grant_calls) > count:
            return True
    return False


def test_a_server_under_whose_name_an_odd_entry_stands_gets_nothing_new_at_any_daemon() -> (
    None
):
    async def work() -> tuple[list[int], list[int], list[int]]:
        store, server, other = StoreStandin(), ServerStandin('s1'), ServerStandin('s2')
        async with run_gateways(
            GATEWAY_COUNT, ('calendar', server), ('calendar', other), store=store
        ) as gateways:
            await asyncio.sleep(ELECTION_S)
            # A heartbeat over an odd entry keeps the server in use everywhere.
            await store.put_raw('servers', 's1', b'null')
            await asyncio.sleep(0.5)
            await store.put('servers', 's1', server.build_entry('calendar'))
            await store.put_raw('servers', 's2', b'null')
            await asyncio.sleep(CHANGE_DEADLINE_S)
            received_before = len(other.received)
            statuses = [
                (await running.call('lookups')).status for running in gateways for _ in '123'
            ]
            return statuses, [len(other.received) - received_before], [len(server.received)]

    statuses, odd_received, received = run_with_time_limit(work())
    assert set(statuses) == {200}
    assert odd_received == [0]
    assert received == [3 * GATEWAY_COUNT]


def _read_refused_gauge(running: RunningGateway) -> dict[str, Any]:
    page = running.gateway.metrics.render_page().decode()
    return {
        line.split('kind="')[1].split('"')[0]: float(line.rsplit(' ', 1)[1])
        for line in page.splitlines()
        if line.startswith('coltsfootstair_refused_objects{')
    }


def test_the_metrics_page_counts_odd_objects_by_kind() -> None:
    async def work() -> dict[str, Any]:
        store = StoreStandin()
        for number in range(3):
            await store.put_raw('servers', f'odd{number}', b'1e400')
        async with run_gateways(1, ('calendar', ServerStandin('s1')), store=store) as gateways:
            return _read_refused_gauge(gateways[0])

    assert run_with_time_limit(work()) == {'config': 0, 'servers': 3, 'evacuations': 0}
