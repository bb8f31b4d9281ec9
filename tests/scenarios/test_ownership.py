"""Ownership with separate processes, checked against what the backend servers recorded."""

from __future__ import annotations

import itertools
import signal
import time
from typing import TYPE_CHECKING, Any

import msgpack
import pytest
from pytest_bdd import given, scenarios, then, when

from tests.scenarios.processes import System, build_document_text, call, wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

scenarios('ownership.feature')

DAEMONS = {'d1': 'north', 'd2': 'north', 'd3': 'south', 'd4': 'south'}
SERVERS = {'s1': 'north', 's2': 'south', 's3': 'north'}
KEYS = [f'key-{number}' for number in range(30)]
ROUND_COUNT_WITHOUT_STORE = 20
"""Number of times that each key is requested while the store is down."""


class World:
    """A running system, and what was done in the scenario.

    ``truths`` holds what backend servers had recorded before they were killed.
    """

    def __init__(self, system: System) -> None:
        self.system = system
        self.killed_process = ''
        self.paused_process = ''
        self.truths: list[Any] = []

    def read_coordinator(self, server: str) -> str:
        answer = call(self.system.store_address, 'GET', f'/objects/coordinators/{server}')
        return str(msgpack.unpackb(answer.body)[0])

    def find_running_daemon(self) -> str:
        return next(
            name for name in DAEMONS if name not in (self.killed_process, self.paused_process)
        )

    def is_every_key_served(self) -> bool:
        address = self.system.get_callers_address(self.find_running_daemon())
        for key in KEYS:
            headers = {'Coltsfootstair-Key': key}
            answer = call(address, 'GET', '/lookups/x', headers=headers, timeout_s=2.0)
            if answer.status != 200:
                return False
        return True


@pytest.fixture
def world() -> Iterator[World]:
    with System() as system:
        yield World(system)


@given('a service divided by key with 3 backend servers in 2 data centres and 4 daemons')
def start(world: World) -> None:
    system = world.system
    system.start_store()
    for name, data_centre in SERVERS.items():
        system.start_backend_server(name, data_centre)
    for name, data_centre in DAEMONS.items():
        system.start_daemon(name, data_centre)
    system.wait_ready()
    addresses = system.address_by_backend_server
    servers = [(name, 'lookups', dc, addresses[name]) for name, dc in SERVERS.items()]
    text = build_document_text(['north', 'south'], [('lookups', True, 'lookup')], servers)
    system.apply_document('d1', text)
    system.wait_until_served(list(DAEMONS), [('/lookups/x', key) for key in KEYS])


@when('the coordinator of a backend server is killed')
def kill_coordinator(world: World) -> None:
    world.killed_process = world.read_coordinator('s1')
    world.system.process_by_name[world.killed_process].send_signal(signal.SIGKILL)


@when('the coordinator of a backend server is paused')
def pause_coordinator(world: World) -> None:
    world.paused_process = world.read_coordinator('s1')
    world.system.process_by_name[world.paused_process].send_signal(signal.SIGSTOP)


@when('a backend server is killed')
def kill_server(world: World) -> None:
    world.truths.append(world.system.read_truth('s1'))
    world.killed_process = 's1'
    world.system.process_by_name['s1'].send_signal(signal.SIGKILL)


@when('a backend server is paused')
def pause_server(world: World) -> None:
    world.paused_process = 's1'
    world.system.process_by_name['s1'].send_signal(signal.SIGSTOP)


@when('the coordinator resumes')
@when('the backend server resumes')
def resume_paused(world: World) -> None:
    world.system.process_by_name[world.paused_process].send_signal(signal.SIGCONT)
    world.paused_process = ''


@when('the store is down')
def take_store_down(world: World) -> None:
    world.system.set_fault('store', down=True)


@then('every key is served again')
def wait_until_served(world: World) -> None:
    wait_until(world.is_every_key_served, 'every key is served', timeout_s=20.0)


@then('every key is still served in 20 rounds of requests')
def check_still_served(world: World) -> None:
    assert all(world.is_every_key_served() for _ in range(ROUND_COUNT_WITHOUT_STORE))


@then('no key had two owners')
def check_one_owner(world: World) -> None:
    names = [name for name in SERVERS if name != world.killed_process]
    truths = world.truths + [world.system.read_truth(name) for name in names]
    spans_by_row: dict[int, list[tuple[float, float, str]]] = {}
    now = time.monotonic()
    for truth in truths:
        for grant in truth['grants']:
            end = grant['to'] if grant['to'] is not None else now
            for row in range(grant['first'], grant['last'] + 1):
                span = (grant['from'], end, truth['name'])
                spans_by_row.setdefault(row, []).append(span)
    assert spans_by_row
    for row, spans in spans_by_row.items():
        for earlier, later in itertools.pairwise(sorted(spans)):
            if earlier[2] != later[2]:
                assert earlier[1] <= later[0], (row, earlier, later)
