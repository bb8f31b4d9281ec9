"""Tests of requests of workspaces, over whole gateways and stand-ins."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from coltsfootstair.gateway import WorkspaceSettings
from tests.coltsfootstair_platform.standin import (
    ReceivedRequest,
    ServerStandin,
    StoreStandin,
    build_configuration,
    build_workspace,
)
from tests.gateway.harness import RunningGateway, run_gateways, run_with_time_limit

if TYPE_CHECKING:
    import pytest

STRICT = WorkspaceSettings(revocation_s=3.0, is_revocation_strict=True)


def _configure(version: int, *workspaces: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration; the route ``bookings`` needs no key."""
    configuration = build_configuration(version)
    configuration['resources'] += workspaces
    for resource in configuration['resources']:
        if resource['metadata'].get('name') == 'bookings':
            resource['spec']['no-auth'] = True
    return configuration


class Servers(NamedTuple):
    """A server for lookups and one for bookings."""

    lookups: ServerStandin
    bookings: ServerStandin

    def list_all(self) -> list[tuple[str, ServerStandin]]:
        return [('calendar', self.lookups), ('desk', self.bookings)]


def _make_servers() -> Servers:
    return Servers(ServerStandin('c1'), ServerStandin('d1'))


async def _call(running: RunningGateway, number: int, key: str, **headers: str) -> int:
    answer = await running.call('lookups', X_Request_Id=f'r{number}', X_Api_Key=key, **headers)
    return answer.status


def test_only_the_name_of_the_workspace_reaches_a_server() -> None:
    """Guards against keys, and forged names of workspaces, that are passed on."""
    servers = _make_servers()

    async def work() -> list[int]:
        configuration = _configure(1, build_workspace('w1', 'key-1', 'key-2'))
        async with run_gateways(
            1, *servers.list_all(), configuration=configuration
        ) as gateways:
            running = gateways[0]
            # An unknown key may be a new one until the configuration is confirmed.
            while not running.gateway._configuration_age.is_recent:
                await asyncio.sleep(0.05)
            statuses = [
                await _call(running, 1, 'key-2', X_Tenant_Id='forged'),
                await _call(running, 2, 'key-1', X_TENANT_ID='forged'),
                await _call(running, 3, 'other'),
                (await running.call('lookups', X_Request_Id='r4')).status,
                (await running.call('bookings', body=b'b', X_Tenant_Id='forged')).status,
                (await running.call('bookings', body=b'b', X_Api_Key='other')).status,
            ]
            caller = await running.connect()
            caller.writer.write(
                b'POST /x/a HTTP/1.1\r\nHost: bookings.example\r\nX-Request-Id: r7\r\n'
                b'X_Tenant_Id: forged\r\nX_Api_Key: key-1\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n'
                b'1\r\nb\r\n0\r\nX-Tenant-Id: forged\r\n\r\n'
            )
            statuses.append((await caller.read_answer()).status)
            caller.writer.close()
            return statuses

    assert run_with_time_limit(work()) == [200, 200, 401, 401, 200, 200, 200]
    received = [*servers.lookups.received, *servers.bookings.received]
    names = [request.headers.get('x-tenant-id') for request in received]
    assert names == ['w1', 'w1', None, None, None]
    for request in received:
        values = ' '.join(request.headers.values())
        assert 'forged' not in values
        assert 'key-' not in values


def test_a_key_is_neither_logged_nor_kept(capsys: pytest.CaptureFixture[str]) -> None:
    servers = _make_servers()
    shared = build_workspace('w2', 'secret-1')

    async def work() -> str:
        configuration = _configure(1, build_workspace('w1', 'secret-1', limit=1))
        async with run_gateways(
            1, *servers.list_all(), configuration=configuration
        ) as gateways:
            running = gateways[0]
            await _call(running, 1, 'secret-1')
            await _call(running, 2, 'secret-2')
            # Refused, since two workspaces have the same key.
            refused = _configure(2, build_workspace('w1', 'secret-1'), shared)
            await running.store.put('config', 'main', refused)
            await asyncio.sleep(0.3)
            assert await _call(running, 3, 'secret-1') == 200
            table = running.gateway._configuration_subscriber.route_table
            assert table is not None
            return repr(table.configuration)

    kept = run_with_time_limit(work())
    output = capsys.readouterr()
    assert 'object refused' in output.out
    assert 'secret-' not in kept + output.out + output.err


def test_a_key_that_is_taken_away_is_denied_everywhere() -> None:
    servers = _make_servers()
    with_key = _configure(1, build_workspace('w1', 'key-1', 'key-2'))

    async def work() -> list[int]:
        async with run_gateways(
            3, *servers.list_all(), configuration=with_key, workspaces=STRICT
        ) as gateways:
            await _wait_until_served(gateways, 'key-1')
            without = _configure(2, build_workspace('w1', 'key-2'))
            await gateways[0].store.put('config', 'main', without)
            await asyncio.sleep(1.0)
            return [await _call(running, 90, 'key-1') for running in gateways]

    assert run_with_time_limit(work()) == [401] * 3


async def _wait_until_served(gateways: list[RunningGateway], key: str) -> None:
    async with asyncio.timeout(8.0):
        for number, running in enumerate(gateways):
            while await _call(running, 1000 + number, key) != 200:
                await asyncio.sleep(0.05)


class SilentStore(StoreStandin):
    """A store that answers nobody while it is silent."""

    def __init__(self) -> None:
        super().__init__()
        self.is_silent = False

    async def _serve(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        while self.is_silent:
            await asyncio.sleep(0.05)
        return await super()._serve(request, reader, writer)


def test_keys_are_not_served_by_daemons_that_can_not_confirm_them() -> None:
    """Guards against requests with a key that was taken away behind a store that is silent."""
    servers = _make_servers()
    store = SilentStore()
    configuration = _configure(1, build_workspace('w1', 'key-1'))

    async def work() -> tuple[list[int], list[int], list[int]]:
        async with run_gateways(
            3, *servers.list_all(), configuration=configuration, workspaces=STRICT, store=store
        ) as gateways:
            await _wait_until_served(gateways, 'key-1')
            store.is_silent = True
            await asyncio.sleep(STRICT.revocation_s)
            silent = [await _call(running, 50, 'key-1') for running in gateways]
            # A route without keys is served on.
            bookings = [
                (await running.call('bookings', body=b'b', X_Request_Id='r60')).status
                for running in gateways
            ]
            store.is_silent = False
            await asyncio.sleep(2.5)
            return (
                silent,
                bookings,
                [await _call(running, 70, 'key-1') for running in gateways],
            )

    silent, bookings, after = run_with_time_limit(work())
    assert silent == [503] * 3
    assert bookings == [200] * 3
    assert after == [200] * 3


def _find_relying(gateways: list[RunningGateway]) -> RunningGateway | None:
    """Return a daemon that relies on the keeper, if there is one."""
    return next((each for each in gateways if each.gateway._relay.is_active), None)


def test_a_daemon_without_the_store_is_vouched_for_by_the_keeper(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against refusing callers of a VM that the store refuses, while others hear it."""
    servers = _make_servers()
    configuration = _configure(1, build_workspace('w1', 'key-1'))

    async def work() -> tuple[int, int]:
        async with run_gateways(
            3, *servers.list_all(), configuration=configuration, workspaces=STRICT
        ) as gateways:
            await _wait_until_served(gateways, 'key-1')
            # A daemon that the keeper does not know yet misses the changes before it does.
            while (cut_off := _find_relying(gateways)) is None:
                await asyncio.sleep(0.02)
            pool = cut_off.gateway._ports.store._pool  # type: ignore[attr-defined]

            async def refuse(*_: Any) -> Any:
                await asyncio.sleep(3600)

            monkeypatch.setattr(pool, 'open', refuse)
            pool.close_idle(cut_off.gateway._settings.store.address)
            await asyncio.sleep(STRICT.revocation_s + 0.5)
            served = await _call(cut_off, 50, 'key-1')
            without = _configure(2, build_workspace('w1', 'key-2'))
            await cut_off.store.put('config', 'main', without)
            await asyncio.sleep(1.0)
            return served, await _call(cut_off, 51, 'key-1')

    assert run_with_time_limit(work()) == (200, 401)


def test_daemons_together_stay_within_the_limit_of_a_workspace_and_use_it() -> None:
    """Guards against a limit that each daemon keeps for itself, or divides evenly."""
    servers = _make_servers()
    limited = build_workspace('w1', 'key-1', rate_per_s=20, burst=10)
    free = build_workspace('w2', 'key-2')
    configuration = _configure(1, limited, free)
    load_s = 4.0
    statuses: Counter[int] = Counter()
    answers: list[Any] = []

    async def call_steadily(running: RunningGateway, number: int) -> None:
        for step in range(round(load_s * 12)):
            answer, _ = await asyncio.gather(
                running.call('lookups', X_Request_Id=f'd{number}-{step}', X_Api_Key='key-1'),
                asyncio.sleep(1 / 12),
            )
            statuses[answer.status] += 1
            answers.append(answer)

    async def work() -> list[int]:
        async with run_gateways(
            9, *servers.list_all(), configuration=configuration
        ) as gateways:
            await _wait_until_served(gateways, 'key-2')
            await _wait_until_served(gateways, 'key-1')
            # One daemon gets a third of the callers.
            uneven = [*gateways, gateways[0], gateways[0], gateways[0]]
            await asyncio.gather(
                *(call_steadily(running, number) for number, running in enumerate(uneven))
            )
            return [await _call(running, 2000, 'key-2') for running in gateways]

    assert run_with_time_limit(work()) == [200] * 9
    assert set(statuses) == {200, 429}
    allowed = 20 * load_s + 10
    assert 0.9 * 20 * load_s <= statuses[200] <= 1.1 * allowed + 5
    refused = [answer for answer in answers if answer.status == 429]
    assert all(float(answer.headers['retry-after']) > 0 for answer in refused)
