"""Requests under load and faults, with separate processes."""

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
OPERATION_HEADERS = {'Idempotency-Key': 'operation-1'}
UPLOAD_BYTES = 4_000_000
CHUNK_BYTES = 100_000
CHUNK_INTERVAL_S = 0.1
SOON_S = 2.0


class World:
    """A running system, and the requests that were sent to it."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.executor = ThreadPoolExecutor(200)
        self.answers: list[Answer] = []
        self.timed_answers: list[Future[tuple[Answer, float]]] = []

    def find_coordinator(self, server: str) -> str:
        status = json.loads(
            self.system.run_command(
                'status', '--json', '--daemon', self.system.get_operators_address('d1')
            )
        )
        coordinator_by_server = {
            each['name']: each['coordinator'] for each in status['backend_servers']
        }
        return str(coordinator_by_server[server])

    def send_booking(self, daemon: str) -> Answer:
        return call(
            self.system.get_callers_address(daemon),
            'POST',
            '/bookings/b',
            BOOKING,
            OPERATION_HEADERS,
        )

    def send_timed_lookup(self, number: int) -> tuple[Answer, float]:
        started_at = time.monotonic()
        daemon = list(DAEMONS)[number % 3]
        answer = self.system.get(daemon, '/lookups/x', KEYS[number % 4])
        return answer, time.monotonic() - started_at

    def list_runs(self) -> list[dict[str, Any]]:
        ran = self.system.read_truth('booking-1')['requests']
        return [each for each in ran if each['operation_id'] == 'operation-1']


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
    servers = [(*server, system.address_by_backend_server[server[0]]) for server in SERVERS]
    system.apply_document('d1', build_document_text(['north', 'south'], SERVICES, servers))
    requests = [('/lookups/x', key) for key in KEYS] + [('/bookings/x', ''), ('/scans/x', '')]
    system.wait_until_served(list(DAEMONS), requests)


@given(parsers.parse('{service} take {slow_ms:d} ms'))
def slow_down(world: World, service: str, slow_ms: int) -> None:
    for name, server_service, _ in SERVERS:
        if server_service == service:
            world.system.set_fault(name, slow_ms=slow_ms)


@when('a booking is sent through two daemons at once, and once more later')
def send_bookings(world: World) -> None:
    at_once = [world.executor.submit(world.send_booking, daemon) for daemon in ('d1', 'd3')]
    world.answers = [future.result() for future in at_once] + [world.send_booking('d2')]


@then('each of the three answers is the same')
def check_same_answers(world: World) -> None:
    assert [(each.status, each.body) for each in world.answers] == [(200, BOOKING)] * 3


@then('the booking ran once')
def check_ran_once(world: World) -> None:
    assert len(world.list_runs()) == 1


@when('a booking is sent through another daemon, and its coordinator is killed')
def kill_coordinator(world: World) -> None:
    killed = world.find_coordinator('booking-1')
    others = [name for name in DAEMONS if name != killed]
    first = world.executor.submit(world.send_booking, others[0])
    wait_until(lambda: len(world.list_runs()) == 1, 'the booking runs')
    world.system.process_by_name[killed].send_signal(signal.SIGKILL)
    world.answers = [first.result(), world.send_booking(others[1])]


@then('the outcome is reported as unknown, or the answer is complete')
@then('a retry is reported as unknown, or answered completely')
def check_outcomes(world: World) -> None:
    for answer in world.answers:
        is_complete = (answer.status, answer.body) == (200, BOOKING)
        assert is_complete or answer.json()['ran'] == 'unknown', answer


@when('a daemon is asked to stop during an upload')
def stop_during_upload(world: World) -> None:
    host, _, port = world.system.get_callers_address('d1').rpartition(':')
    process = world.system.process_by_name['d1']
    pause = threading.Event()
    with socket.create_connection((host, int(port)), timeout=60) as stream:
        stream.sendall(
            f'POST /scans/photo HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
            f'Content-Length: {UPLOAD_BYTES}\r\n\r\n'.encode()
        )
        for number in range(UPLOAD_BYTES // CHUNK_BYTES):
            stream.sendall(bytes(CHUNK_BYTES))
            if number == 1:
                process.send_signal(signal.SIGTERM)
            pause.wait(CHUNK_INTERVAL_S)
        data = b''.join(iter(lambda: stream.recv(65536), b''))
    head, _, body = data.partition(b'\r\n\r\n')
    world.answers = [Answer(int(head.split()[1]), {}, body)]


@then('the upload is answered completely, and the daemon exits with status 0')
def check_upload_complete(world: World) -> None:
    digest = hashlib.sha256(bytes(UPLOAD_BYTES)).hexdigest()
    assert world.answers[0].json() == {'bytes': UPLOAD_BYTES, 'sha256': digest}
    assert world.system.process_by_name['d1'].wait() == 0


@when(parsers.parse('{count:d} lookups of 4 keys are sent at once'))
def send_lookups(world: World, count: int) -> None:
    world.timed_answers = [
        world.executor.submit(world.send_timed_lookup, n) for n in range(count)
    ]


@then('some are refused without having run, with a time to retry')
def check_refusals(world: World) -> None:
    outcomes = [future.result() for future in world.timed_answers]
    refused = [(answer, seconds) for answer, seconds in outcomes if answer.status != 200]
    assert refused
    assert len(refused) < len(outcomes)
    for answer, _ in refused:
        assert answer.json()['ran'] == 'no', answer
        assert int(answer.headers['retry-after']) >= 1


@then('no backend server had more in flight than its slots')
def check_within_slots(world: World) -> None:
    assert [world.system.read_truth(name)['max_in_flight'] <= 4 for name, _, _ in SERVERS] == [
        True
    ] * len(SERVERS)


@given('the lookup servers are put into a cold start')
def start_cold(world: World) -> None:
    # First end the cold start that every server begins with.
    while not _are_all_in_phase(world, 'warm'):
        send_lookups_for_some_time(world)
    for name in ('lookup-1', 'lookup-2'):
        world.system.set_fault(name, cold=True)
    wait_until(lambda: _are_all_in_phase(world, 'ramping'), 'the cold start is known')


def _are_all_in_phase(world: World, phase: str) -> bool:
    text = world.system.run_command(
        'status', '--json', '--daemon', world.system.get_operators_address('d1')
    )
    servers = json.loads(text)['backend_servers']
    phases = {each['name']: each['phase'] for each in servers}
    return all(phases[name] == phase for name in ('lookup-1', 'lookup-2'))


@when('lookups are sent for 3 s')
def send_lookups_for_some_time(world: World) -> None:
    deadline = time.monotonic() + 3.0

    def send_until_deadline(first_number: int) -> int:
        number = first_number
        while time.monotonic() < deadline:
            # The step is the number of workers.
            number += 8
            world.send_timed_lookup(number)
        return number

    workers = [
        world.executor.submit(send_until_deadline, first_number) for first_number in range(8)
    ]
    assert all(future.result() > 0 for future in workers)


@then('no lookup server got more than its capacity')
def check_within_capacity(world: World) -> None:
    assert [world.system.read_truth(f'lookup-{n}')['beyond_cold'] for n in (1, 2)] == [0, 0]
