"""Tests of daemons one of whose long-lived tasks or callbacks fails."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import pytest

from coltsfootstair.http1 import Reply
from coltsfootstair.supervision import RestartPolicy
from tests.coltsfootstair_platform.standin import ServerStandin, build_configuration
from tests.gateway.harness import (
    RunningGateway,
    run_gateway,
    run_gateways,
    run_with_time_limit,
)

if TYPE_CHECKING:
    from coltsfootstair.gateway import Gateway
    from coltsfootstair.objects import Change
    from coltsfootstair.registry import BackendServer

ALWAYS = 10**9


class Fault:
    """Makes a method raise at its next calls.

    :param count: number of calls that raise
    """

    def __init__(self, owner: Any, method: str, count: int = 1) -> None:
        self.left = count
        self._call = getattr(owner, method)
        setattr(owner, method, self._raise_or_call)

    def _raise_or_call(self, *args: Any, **fields: Any) -> Any:
        if self.left:
            self.left -= 1
            raise RuntimeError('a fault of the test')
        return self._call(*args, **fields)


async def _wait_until(
    condition: Callable[[], bool], what: str, longest_s: float = 3.0
) -> None:
    try:
        async with asyncio.timeout(longest_s):
            while not condition():
                await asyncio.sleep(0.02)
    except TimeoutError:
        pytest.fail(f'{what}: not within {longest_s} s')


def _get_version(gateway: Gateway) -> int:
    return int(gateway._read_state()['configuration_version'])


async def _check_changes_are_followed(running: RunningGateway, version: int) -> None:
    """Write a configuration, a server and an evacuation, and wait for each."""
    gateway, store = running.gateway, running.store
    joined = ServerStandin(f's{version}')
    joined.port = 1
    await store.put('config', 'main', build_configuration(version))
    await store.put('servers', joined.name, joined.build_entry('calendar'))
    await store.put('evacuations', f'zone-{version}', {'zone': f'zone-{version}'})
    await _wait_until(lambda: _get_version(gateway) == version, 'configuration')
    await _wait_until(lambda: gateway._registry.get(joined.name) is not None, 'server')
    await _wait_until(lambda: f'zone-{version}' in _list_evacuated(gateway), 'evacuation')


def _list_evacuated(gateway: Gateway) -> set[str]:
    data_centres: set[str] = gateway._followers[2]._subscriber._data_centres  # type: ignore[attr-defined]
    return data_centres


@pytest.mark.parametrize('number', [0, 1, 2])
def test_a_follower_that_fails_once_follows_changes_again(number: int) -> None:
    async def work() -> None:
        async with run_gateway() as running:
            fault = Fault(running.gateway._followers[number], '_list_or_watch_once')
            await _check_changes_are_followed(running, 2)
            await _wait_until(lambda: not fault.left, 'fault')
            await _check_changes_are_followed(running, 3)
            assert running.gateway.is_ready

    run_with_time_limit(work())


def test_a_daemon_is_not_ready_while_a_follower_fails_and_ready_again_afterwards() -> None:
    async def work() -> None:
        async with run_gateway() as running:
            gateway = running.gateway
            fault = Fault(gateway._followers[1], '_list_or_watch_once', ALWAYS)
            await running.store.put('servers', 'x', ServerStandin('x').build_entry('calendar'))
            await _wait_until(lambda: not gateway.is_ready, 'not ready')
            assert gateway.given_up_task is None, 'it may work again, and has just started'
            fault.left = 0
            await _check_changes_are_followed(running, 2)
            await _wait_until(lambda: gateway.is_ready, 'ready', 9.0)

    run_with_time_limit(work())


@pytest.mark.parametrize('is_relayed', [False, True])
def test_an_entry_that_can_not_be_applied_does_not_stop_the_others(
    *, is_relayed: bool
) -> None:
    async def work() -> None:
        async with run_gateways(2 if is_relayed else 1) as gateways:
            if is_relayed:
                await asyncio.sleep(1.0)
            for running in gateways:
                _refuse_entry(running.gateway, 'odd')
            await gateways[0].store.put(
                'servers', 'odd', ServerStandin('odd').build_entry('calendar')
            )
            await asyncio.sleep(1.0)
            for running in gateways:
                # The same version and server, so that each daemon waits for it.
                await _check_changes_are_followed(running, 2)
                assert running.gateway.is_ready

    run_with_time_limit(work())


def _refuse_entry(gateway: Gateway, name: str) -> None:
    apply_entry = gateway._registry.apply_entry

    def fail(server: BackendServer) -> bool:
        if server.name == name:
            raise RuntimeError('a fault of the test')
        return apply_entry(server)

    gateway._registry.apply_entry = fail  # type: ignore[method-assign]


def test_changes_of_a_message_that_fails_half_way_are_read_from_the_store() -> None:
    async def work() -> None:
        async with run_gateways(2) as gateways:
            await _wait_until(
                lambda: any(running.gateway._relay.is_active for running in gateways), 'relay'
            )
            gateway = next(
                running.gateway for running in gateways if running.gateway._relay.is_active
            )
            subscriber = gateway._followers[0]._subscriber
            apply_change = subscriber.apply_change
            calls = []

            def fail_once(change: Change, *, after_outage: bool) -> bool:
                calls.append(change)
                if len(calls) == 1:
                    raise RuntimeError('a fault of the test')
                return apply_change(change, after_outage=after_outage)

            subscriber.apply_change = fail_once  # type: ignore[method-assign]
            await gateways[0].store.put('config', 'main', build_configuration(2))
            await _wait_until(lambda: _get_version(gateway) == 2, 'configuration')

    run_with_time_limit(work())


def test_a_heartbeat_that_can_not_be_handled_leaves_the_store_to_be_watched() -> None:
    async def work() -> None:
        async with run_gateways(2) as gateways:
            await _wait_until(
                lambda: any(running.gateway._relay.is_active for running in gateways), 'relay'
            )
            gateway = next(
                running.gateway for running in gateways if running.gateway._relay.is_active
            )
            keeper = gateway._keeper
            Fault(gateway._relay, 'set_keeper_revisions', ALWAYS)
            await asyncio.sleep(1.5)
            # What the keeper sends is lost.
            for follower in gateway._followers:
                follower.apply_relayed = lambda _changes: None  # type: ignore[assignment, method-assign]
            await gateways[0].store.put('config', 'main', build_configuration(2))
            await _wait_until(lambda: _get_version(gateway) == 2, 'configuration')
            assert not keeper.is_keeper, 'the keeper works, and stays'
            page = gateway.metrics.render_page().decode()
            assert 'coltsfootstair_task_failures_total' in page
            assert 'task="message of daemon"' in page

    run_with_time_limit(work())


@pytest.mark.parametrize(
    ('name', 'method'),
    [
        ('_registry', 'remove_expired'),
        ('_pool', 'close_expired'),
        ('_request_log', 'flush'),
    ],
)
def test_housekeeping_goes_on_after_a_step_that_failed(
    name: str, method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr('coltsfootstair.gateway._application.LOG_COUNTS_INTERVAL_S', 0.2)

    async def work() -> None:
        async with run_gateway() as running:
            gateway = running.gateway
            fault = Fault(getattr(gateway, name), method)
            await _wait_until(lambda: not fault.left, 'fault')
            for owner, called in (
                (gateway._registry, 'remove_expired'),
                (gateway._pool, 'close_expired'),
                (gateway._request_log, 'flush'),
            ):
                again = Fault(owner, called)
                await _wait_until(lambda again=again: not again.left, called)  # type: ignore[misc]
            assert gateway.is_ready

    run_with_time_limit(work())


def test_a_housekeeping_step_that_always_fails_does_not_hold_up_the_others() -> None:
    async def work() -> None:
        async with run_gateway() as running:
            gateway = running.gateway
            Fault(gateway._pool, 'close_expired', ALWAYS)
            await asyncio.sleep(1.5)
            other = Fault(gateway._registry, 'remove_expired')
            await _wait_until(lambda: not other.left, 'removal of entries')
            assert gateway.is_ready, 'idle connections may stay open for a while'

    run_with_time_limit(work())


def test_paths_are_probed_again_after_the_prober_has_failed() -> None:
    async def work() -> None:
        async with run_gateway() as running:
            prober = running.gateway._path_prober
            paths = prober._paths
            prober._paths = None  # type: ignore[assignment]
            await asyncio.sleep(0.5)
            prober._paths = paths
            # Cleared by a round while this daemon is not cut off.
            prober._round_by_incarnation[('x', 1)] = 1
            await _wait_until(lambda: not prober._round_by_incarnation, 'round')

    run_with_time_limit(work())


def test_an_exception_in_a_callback_is_counted() -> None:
    async def work() -> str:
        async with run_gateway() as running:
            asyncio.get_running_loop().call_soon(lambda: 1 / 0)
            await asyncio.sleep(0.05)
            return running.gateway.metrics.render_page().decode()

    assert 'task="callback"' in run_with_time_limit(work())


def test_a_caller_gets_an_answer_if_the_one_made_for_it_can_not_be_sent() -> None:
    async def work() -> tuple[int, int]:
        server = ServerStandin('c1')
        async with run_gateway(('calendar', server)) as running:
            handle = running.gateway._dispatcher.handle

            async def answer_wrongly(_request: Any) -> Reply:
                return Reply(200, [(b'x', None)], b'')  # type: ignore[list-item]

            running.gateway._dispatcher.handle = answer_wrongly  # type: ignore[assignment, method-assign]
            caller = await running.connect()
            caller.send('lookups')
            async with asyncio.timeout(2.0):
                first = await caller.read_answer()
            running.gateway._dispatcher.handle = handle  # type: ignore[method-assign]
            caller.send('lookups')
            async with asyncio.timeout(2.0):
                return first.status, (await caller.read_answer()).status

    assert run_with_time_limit(work())[0] == 500


def test_a_caller_gets_an_answer_if_its_request_fails_while_it_is_read() -> None:
    async def work() -> int:
        async with run_gateway() as running:
            Fault(running.gateway, 'reserve_body_memory')
            return (await running.call('bookings', '/x/a', b'body')).status

    assert run_with_time_limit(work()) == 500


async def _find_keeper(gateways: list[RunningGateway], longest_s: float = 5.0) -> Gateway:
    def find() -> list[Gateway]:
        return [running.gateway for running in gateways if running.gateway._keeper.is_keeper]

    await _wait_until(lambda: len(find()) == 1, 'one keeper', longest_s)
    return find()[0]


def _list_granted(server: ServerStandin) -> int:
    return sum(path == '/-/grant' for path, _ in server.grant_calls)


@pytest.mark.parametrize(
    'break_task',
    [
        lambda keeper: Fault(keeper._services, 'start_new_services'),
        lambda keeper: Fault(keeper, '_check_era'),
        lambda keeper: Fault(keeper, '_submit_report'),
    ],
)
def test_a_keeper_whose_task_ends_is_replaced_and_keys_stay_granted(
    break_task: Callable[[Any], Fault],
) -> None:
    async def work() -> None:
        servers = [ServerStandin(f'k{number}') for number in range(2)]
        async with run_gateways(3, *(('slots', server) for server in servers)) as gateways:
            first = await _find_keeper(gateways)
            await _wait_until(lambda: all(map(_list_granted, servers)), 'first grants', 8.0)
            await _wait_until(lambda: first._keeper.known_daemon_count == 3, 'reports')
            others = [running for running in gateways if running.gateway is not first]
            break_task(first._keeper)
            # Without heartbeats a takeover takes 1.4 s; the fault comes within 0.8 s.
            await _find_keeper(others, 3.0)
            await _wait_until(lambda: not first._keeper.is_keeper, 'no longer keeper')
            for server in servers:
                server.grant_calls.clear()
            await _wait_until(lambda: all(map(_list_granted, servers)), 'renewals', 2.5)
            for number, running in enumerate(gateways):
                answer = await running.call('keyed', X_Shard_Key=7 + number)
                assert answer.status == 200
                assert running.gateway.is_ready

    run_with_time_limit(work())


def test_a_daemon_whose_task_stays_down_ends() -> None:
    async def work() -> None:
        policy = RestartPolicy(
            first_delay_s=0.02, give_up_after_s=0.3, min_uptime_s=0.0, max_failure_count=2
        )
        async with run_gateways(1, restart_policy=policy) as gateways:
            gateway = gateways[0].gateway
            Fault(gateway._followers[1], '_list_or_watch_once', ALWAYS)
            await gateways[0].store.put(
                'servers', 'x', ServerStandin('x').build_entry('calendar')
            )
            await _wait_until(lambda: gateway.is_draining, 'stopping')
            assert gateway.given_up_task == 'follower of servers'
            assert not gateway.is_ready

    run_with_time_limit(work())
