"""Requests under load and faults, over separate processes."""

from __future__ import annotations

import hashlib
import json
import signal
import socket
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.scenarios.processes import Answer, System, build_document_text, call, wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

scenarios('requests.feature')

DAEMONS = {'d1': 'north', 'd2': 'north', 'd3': 'south'}
SERVERS = [
    ('lookup-1', 'lookups', 'north'),
    ('lookup-2', 'lookups', 'south'),
    ('booking-1', 'bookings', 'north'),
    ('scan-1', 'scans', 'south'),
]
SERVICES = [
    ('lookups', True, 'lookup'),
    ('bookings', False, 'booking'),
    ('scans', False, 'upload'),
]
KEYS = [f'key-{number}' for number in range(16)]
BOOKING = b'two fitters on Tuesday'
OPERATION = {'Idempotency-Key': 'operation-1'}
UPLOAD_BYTES = 4_000_000
PORTION_BYTES = 100_000
PORTION_EVERY_S = 0.1
SOON_S = 2.0


class World:
    """A running system, and what was sent to it."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.executor = ThreadPoolExecutor(200)
        self.answers: list[Answer] = []
        self.sent: list[Future[tuple[Answer, float]]] = []

    def coordinator(self, server: str) -> str:
        status = json.loads(
            self.system.run_command(
                'status', '--json', '--daemon', self.system.get_operators_address('d1')
            )
        )
        listed = {one['name']: one['coordinator'] for one in status['backend_servers']}
        return str(listed[server])

    def book(self, daemon: str) -> Answer:
        return call(
            self.system.get_callers_address(daemon), 'POST', '/bookings/b', BOOKING, OPERATION
        )

    def timed_lookup(self, number: int) -> tuple[Answer, float]:
        began = time.monotonic()
        daemon = list(DAEMONS)[number % 3]
        answer = self.system.get(daemon, '/lookups/x', KEYS[number % 4])
        return answer, time.monotonic() - began

    def runs(self) -> list[dict[str, Any]]:
        ran = self.system.read_truth('booking-1')['requests']
        return [one for one in ran if one['operation_id'] == 'operation-1']


@pytest.fixture
def world() -> Iterator[World]:
    with System() as system:
        world = World(system)
        yield world
        world.executor.shutdown()


@given('a system with lookups, bookings and scans behind 3 daemons')
def start(world: World) -> None:
    system = world.system
    system.start_store()
    for name, _, data_centre in SERVERS:
        system.start_backend_server(name, data_centre)
    for name, data_centre in DAEMONS.items():
        system.start_daemon(name, data_centre)
    system.wait_ready()
    servers = [(*item, system.address_by_backend_server[item[0]]) for item in SERVERS]
    system.apply_document('d1', build_document_text(['north', 'south'], SERVICES, servers))
    requests = [('/lookups/x', key) for key in KEYS] + [('/bookings/x', ''), ('/scans/x', '')]
    system.wait_served(list(DAEMONS), requests)


@given(parsers.parse('{service} take {slow_ms:d} ms'))
def slow(world: World, service: str, slow_ms: int) -> None:
    for name, of_service, _ in SERVERS:
        if of_service == service:
            world.system.set_fault(name, slow_ms=slow_ms)


@when('a booking is sent through two daemons at once, and once more later')
def book_twice(world: World) -> None:
    at_once = [world.executor.submit(world.book, daemon) for daemon in ('d1', 'd3')]
    world.answers = [future.result() for future in at_once] + [world.book('d2')]


@then('each of the three answers is the same')
def same_answers(world: World) -> None:
    assert [(one.status, one.body) for one in world.answers] == [(200, BOOKING)] * 3


@then('the booking ran once')
def ran_once(world: World) -> None:
    assert len(world.runs()) == 1


@when('a booking is sent through another daemon, and its coordinator is killed')
def lose_coordinator(world: World) -> None:
    lost = world.coordinator('booking-1')
    others = [name for name in DAEMONS if name != lost]
    first = world.executor.submit(world.book, others[0])
    wait_until(lambda: len(world.runs()) == 1, 'the booking runs')
    world.system.process_by_name[lost].send_signal(signal.SIGKILL)
    world.answers = [first.result(), world.book(others[1])]


@then('the outcome is told as unknown, or the answer is whole')
@then('a resend is told as unknown, or answered whole')
def honest(world: World) -> None:
    for answer in world.answers:
        whole = (answer.status, answer.body) == (200, BOOKING)
        assert whole or answer.json()['ran'] == 'unknown', answer


@when('a daemon is told to stop while an upload is on its way')
def stop_during_upload(world: World) -> None:
    host, _, port = world.system.get_callers_address('d1').rpartition(':')
    process = world.system.process_by_name['d1']
    pause = threading.Event()
    with socket.create_connection((host, int(port)), timeout=60) as stream:
        stream.sendall(
            f'POST /scans/photo HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
            f'Content-Length: {UPLOAD_BYTES}\r\n\r\n'.encode()
        )
        for number in range(UPLOAD_BYTES // PORTION_BYTES):
            stream.sendall(bytes(PORTION_BYTES))
            if number == 1:
                process.send_signal(signal.SIGTERM)
            pause.wait(PORTION_EVERY_S)
        data = b''.join(iter(lambda: stream.recv(65536), b''))
    head, _, body = data.partition(b'\r\n\r\n')
    world.answers = [Answer(int(head.split()[1]), {}, body)]


@then('the upload is answered whole, and the daemon ends with status 0')
def upload_whole(world: World) -> None:
    digest = hashlib.sha256(bytes(UPLOAD_BYTES)).hexdigest()
    assert world.answers[0].json() == {'bytes': UPLOAD_BYTES, 'sha256': digest}
    assert world.system.process_by_name['d1'].wait() == 0


@when(parsers.parse('{count:d} lookups of 4 keys are sent at once'))
def overload(world: World, count: int) -> None:
    world.sent = [world.executor.submit(world.timed_lookup, n) for n in range(count)]


@then('those refused were refused soon, with a time to come back')
def refused_soon(world: World) -> None:
    outcomes = [future.result() for future in world.sent]
    refused = [(answer, seconds) for answer, seconds in outcomes if answer.status != 200]
    assert refused
    assert len(refused) < len(outcomes)
    for answer, _ in refused:
        assert answer.json()['ran'] == 'no', answer
        assert int(answer.headers['retry-after']) >= 1


@then('no backend server had more in flight than its slots')
def within_slots(world: World) -> None:
    assert [world.system.read_truth(name)['max_in_flight'] <= 4 for name, _, _ in SERVERS] == [
        True
    ] * len(SERVERS)


@given('the lookup servers are put into a cold start')
def cold(world: World) -> None:
    while not _all_are(world, 'warm'):
        look_up(world)
    for name in ('lookup-1', 'lookup-2'):
        world.system.set_fault(name, cold=True)
    wait_until(lambda: _all_are(world, 'ramping'), 'the cold start is known')


def _all_are(world: World, phase: str) -> bool:
    text = world.system.run_command(
        'status', '--json', '--daemon', world.system.get_operators_address('d1')
    )
    listed = json.loads(text)['backend_servers']
    phases = {one['name']: one['phase'] for one in listed}
    return all(phases[name] == phase for name in ('lookup-1', 'lookup-2'))


@when('lookups are sent for 3 s')
def look_up(world: World) -> None:
    give_up = time.monotonic() + 3.0

    def until_then(worker: int) -> int:
        number = worker
        while time.monotonic() < give_up:
            number += 8
            world.timed_lookup(number)
        return number

    workers = [world.executor.submit(until_then, worker) for worker in range(8)]
    assert all(future.result() > 0 for future in workers)


@then('no lookup server was given more than it bears')
def none_beyond(world: World) -> None:
    assert [world.system.read_truth(f'lookup-{n}')['beyond_cold'] for n in (1, 2)] == [0, 0]
