"""Ownership over separate processes, judged by the backend servers' own word."""

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
ROUNDS_WITHOUT_STORE = 20


class Watched:
    """The running system, who is lost, and the truth of servers taken before that."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.lost = ''
        self.paused = ''
        self.truths: list[Any] = []

    def coordinator(self, server: str) -> str:
        answer = call(self.system.store_address, 'GET', f'/objects/coordinators/{server}')
        return str(msgpack.unpackb(answer.body)[0])

    def entry(self) -> str:
        return next(name for name in DAEMONS if name not in (self.lost, self.paused))

    def all_served(self) -> bool:
        address = self.system.get_callers_address(self.entry())
        for key in KEYS:
            headers = {'Coltsfootstair-Key': key}
            answer = call(address, 'GET', '/lookups/x', headers=headers, timeout_s=2.0)
            if answer.status != 200:
                return False
        return True


@pytest.fixture
def watched() -> Iterator[Watched]:
    with System() as system:
        yield Watched(system)


@given('a divided service of 3 backend servers in 2 data centres and 4 daemons')
def start(watched: Watched) -> None:
    system = watched.system
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
    system.wait_served(list(DAEMONS), [('/lookups/x', key) for key in KEYS])


@when('the coordinator of a backend server is killed')
def kill_coordinator(watched: Watched) -> None:
    watched.lost = watched.coordinator('s1')
    watched.system.process_by_name[watched.lost].send_signal(signal.SIGKILL)


@when('the coordinator of a backend server is paused')
def pause_coordinator(watched: Watched) -> None:
    watched.paused = watched.coordinator('s1')
    watched.system.process_by_name[watched.paused].send_signal(signal.SIGSTOP)


@when('a backend server is killed')
def kill_server(watched: Watched) -> None:
    watched.truths.append(watched.system.read_truth('s1'))
    watched.lost = 's1'
    watched.system.process_by_name['s1'].send_signal(signal.SIGKILL)


@when('a backend server is paused')
def pause_server(watched: Watched) -> None:
    watched.paused = 's1'
    watched.system.process_by_name['s1'].send_signal(signal.SIGSTOP)


@when('the coordinator goes on')
@when('the backend server goes on')
def resume(watched: Watched) -> None:
    watched.system.process_by_name[watched.paused].send_signal(signal.SIGCONT)
    watched.paused = ''


@when('the store is down')
def store_down(watched: Watched) -> None:
    watched.system.set_fault('store', down=True)


@then('every key is served again')
def served_again(watched: Watched) -> None:
    wait_until(watched.all_served, 'every key is served', timeout_s=20.0)


@then('every key stays served for some seconds')
def stays_served(watched: Watched) -> None:
    assert all(watched.all_served() for _ in range(ROUNDS_WITHOUT_STORE))


@then('no key had two owners')
def one_owner(watched: Watched) -> None:
    names = [name for name in SERVERS if name != watched.lost]
    truths = watched.truths + [watched.system.read_truth(name) for name in names]
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
