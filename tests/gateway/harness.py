"""Runs a gateway in the test process, with stand-ins for its platform on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Coroutine
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

from coltsfootstair.clock import SystemClock
from coltsfootstair.gateway import (
    Gateway,
    GatewaySettings,
    PlatformPorts,
    RetrySettings,
    StoreSettings,
    WorkspaceSettings,
)
from coltsfootstair.http1 import Address, BrokenExchangeError, Connection
from coltsfootstair.supervision import RestartPolicy
from coltsfootstair_platform import (
    KINDS,
    HeaderDialect,
    HttpGrantClient,
    HttpObjectStore,
    PlatformDecoder,
)
from tests.coltsfootstair_platform.standin import (
    ServerStandin,
    StoreStandin,
    build_configuration,
    run_listeners,
)

if TYPE_CHECKING:
    import pytest

__all__ = [
    'Caller',
    'ReceivedAnswer',
    'RunningGateway',
    'cut_off_gateway',
    'run_gateway',
    'run_gateways',
    'run_with_time_limit',
]

T = TypeVar('T')

DEFAULT_WORKSPACES = WorkspaceSettings()
DEFAULT_RESTART_POLICY = RestartPolicy()


class ReceivedAnswer(NamedTuple):
    """Answer as a caller receives it."""

    status: int
    headers: dict[str, str]
    body: bytes


class Caller:
    """Caller with one connection to the gateway."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(
        self, route: str, path: str = '/x/a', body: bytes | None = None, **headers: Any
    ) -> None:
        """Send one request.

        :param route: name of the route, which is also the first label of its host
        :param headers: underscores in their names stand for hyphens
        """
        # The deadline is in milliseconds from now.
        fields = {'Host': f'{route}.example', 'X-Request-Id': 'r1', 'X-Request-Deadline': 2000}
        fields |= {name.replace('_', '-'): value for name, value in headers.items()}
        if body is not None:
            fields['Content-Length'] = len(body)
        method = 'GET' if body is None else 'POST'
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in fields.items()]
        self.writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + (body or b''))

    async def read_answer(self) -> ReceivedAnswer:
        """Read the next answer."""
        head = (await self.reader.readuntil(b'\r\n\r\n')).decode()
        first, *lines = head.rstrip().split('\r\n')
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(':') for line in lines)
        }
        body = await self.reader.readexactly(int(headers['content-length']))
        return ReceivedAnswer(int(first.split(' ')[1]), headers, body)

    async def wait_for_end(self) -> bool:
        """Wait until the connection is closed; return false if bytes arrive instead."""
        try:
            return not await self.reader.read(1)
        except ConnectionError:
            return True


class RunningGateway(NamedTuple):
    """Running gateway with its store and the address that it serves callers on."""

    gateway: Gateway
    store: StoreStandin
    address: Address

    async def call(self, route: str, *args: Any, **headers: Any) -> ReceivedAnswer:
        """Send one request on a new connection and return the answer; see ``Caller.send``."""
        caller = await self.connect()
        try:
            caller.send(route, *args, **headers)
            async with asyncio.timeout(5.0):
                return await caller.read_answer()
        finally:
            caller.writer.close()

    async def connect(self) -> Caller:
        """Open a connection as a caller."""
        return Caller(*await asyncio.open_connection(self.address.host, self.address.port))


def cut_off_gateway(
    gateway: Gateway, servers: list[ServerStandin], way: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Cut a gateway off from servers; other daemons and the store still reach it.

    :param way: what becomes of connections: ``refuse`` and ``hang`` are about new ones, with
        idle ones closed; with ``live`` idle ones can still be used and new ones are refused
    """
    ports = {server.port for server in servers}
    pool, grant_pool = gateway._pool, gateway._ports.grant_client._pool  # type: ignore[attr-defined]
    for cut_pool in (pool, grant_pool):
        open_connection = cut_pool.open

        async def open_cut(
            address: Address,
            timeout_s: float,
            open_connection: object = open_connection,
        ) -> Connection:
            if address.port not in ports:
                return await open_connection(address, timeout_s)  # type: ignore[operator,no-any-return]
            if way == 'hang':
                await asyncio.sleep(timeout_s)
            raise BrokenExchangeError('cut off', sent=False, refused=way == 'refuse')

        monkeypatch.setattr(cut_pool, 'open', open_cut)
        if way != 'live':
            for port in ports:
                cut_pool.close_idle(Address('127.0.0.1', port))


def _find_free_udp_port() -> int:
    with socket.socket(type=socket.SOCK_DGRAM) as probe:
        probe.bind(('127.0.0.1', 0))
        port: int = probe.getsockname()[1]
        return port


@contextlib.asynccontextmanager
async def run_gateway(
    *servers: tuple[str, ServerStandin], grace_s: float = 6.0, **limits: int
) -> AsyncIterator[RunningGateway]:
    """Run a gateway until the block ends.

    :param servers: service and stand-in of each backend server
    :param limits: limits for callers in the configuration
    """
    configuration = build_configuration(**limits)
    async with run_gateways(
        1, *servers, grace_s=grace_s, configuration=configuration
    ) as gateways:
        yield gateways[0]


@contextlib.asynccontextmanager
async def run_gateways(
    count: int,
    *servers: tuple[str, ServerStandin],
    grace_s: float = 6.0,
    store: StoreStandin | None = None,
    workspaces: WorkspaceSettings = DEFAULT_WORKSPACES,
    configuration: dict[str, Any] | None = None,
    restart_policy: RestartPolicy = DEFAULT_RESTART_POLICY,
) -> AsyncIterator[list[RunningGateway]]:
    """Run several gateways that share a store until the block ends.

    :param servers: service and stand-in of each backend server
    :param configuration: the operators' configuration; by default one without workspaces
    :param restart_policy: how tasks that end are started again
    :param store: the store to use, not yet started; by default one without faults
    """
    store = store or StoreStandin()
    async with run_listeners(store, *(server for _, server in servers)):
        await store.put('config', 'main', configuration or build_configuration())
        for service, server in servers:
            await store.put('servers', server.name, server.build_entry(service))
        gateways = [
            _build_gateway(
                f'd{number}',
                Address('127.0.0.1', store.port),
                grace_s,
                workspaces,
                restart_policy,
            )
            for number in range(1, count + 1)
        ]
        tasks = [asyncio.create_task(gateway.run()) for gateway in gateways]
        try:
            async with asyncio.timeout(5.0):
                while not all(gateway.is_ready for gateway in gateways):
                    await asyncio.sleep(0.01)
                # Until the servers' entries are listed.
                await asyncio.sleep(0.05)
            yield [
                RunningGateway(gateway, store, gateway.callers_address) for gateway in gateways
            ]
        finally:
            for gateway, task in zip(gateways, tasks, strict=True):
                gateway.stop()
                task.cancel()
            await asyncio.wait(tasks)


def _build_gateway(
    name: str,
    store_address: Address,
    grace_s: float,
    workspaces: WorkspaceSettings,
    restart_policy: RestartPolicy,
) -> Gateway:
    clock = SystemClock()
    settings = GatewaySettings(
        name,
        'north',
        Address('127.0.0.1', 0),
        None,
        Address('127.0.0.1', _find_free_udp_port()),
        StoreSettings(store_address),
        grace_s=grace_s,
        is_first_start=True,
        retries=RetrySettings(slack=500.0),  # The retry budget never limits these tests.
        workspaces=workspaces,
        helper=Address('127.0.0.1', 0),
    )
    ports = PlatformPorts(
        KINDS,
        HeaderDialect(),
        HttpObjectStore(store_address, clock),
        HttpGrantClient(clock),
        PlatformDecoder(),
    )
    return Gateway(settings, ports, clock, restart_policy=restart_policy)


def run_with_time_limit(work: Coroutine[Any, Any, T]) -> T:
    """Run a test's coroutine with a time limit."""

    async def run_work() -> T:
        async with asyncio.timeout(30.0):
            return await work

    return asyncio.run(run_work())
