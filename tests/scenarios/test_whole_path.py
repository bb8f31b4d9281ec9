"""Requests from end to end, with separate processes."""

from __future__ import annotations

import hashlib
import socket
import time
from typing import TYPE_CHECKING

import msgpack
import pytest
from pytest_bdd import given, scenarios, then, when

from tests.scenarios.processes import System, build_document_text, call

if TYPE_CHECKING:
    from collections.abc import Iterator

scenarios('whole_path.feature')

DAEMONS = {'d1': 'north', 'd2': 'north', 'd3': 'south'}
BACKEND_SERVERS = [
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
KEYS = [f'key-{number}' for number in range(40)]
UPLOAD_BYTES = 20_000_000
SOCKET_TIMEOUT_S = 10.0
HEADERS_BY_FAULT = {
    'no key': {},
    'a malformed timeout': {'Coltsfootstair-Key': 'k', 'Coltsfootstair-Timeout-Ms': 'soon'},
    'an overlong key': {'Coltsfootstair-Key': 'k' * 600},
}


@pytest.fixture
def system() -> Iterator[System]:
    with System() as running_system:
        yield running_system


@given('a system of 4 backend servers in 2 data centres and 3 daemons')
def start(system: System) -> None:
    system.start_store()
    for name, _, data_centre in BACKEND_SERVERS:
        system.start_backend_server(name, data_centre)
    for name, data_centre in DAEMONS.items():
        system.start_daemon(name, data_centre)
    system.wait_ready()


@when("the operators' document is applied through one daemon")
def apply_document(system: System) -> None:
    servers = [
        (name, service, data_centre, system.address_by_backend_server[name])
        for name, service, data_centre in BACKEND_SERVERS
    ]
    system.apply_document('d1', build_document_text(['north', 'south'], SERVICES, servers))
    requests = [('/lookups/x', key) for key in KEYS] + [('/bookings/x', ''), ('/scans/x', '')]
    system.wait_until_served(list(DAEMONS), requests)


@then("a lookup through each daemon is answered by the key's one owner")
def check_lookups(system: System) -> None:
    for key in KEYS:
        answers = [system.get(daemon, f'/lookups/{key}?x=1', key) for daemon in DAEMONS]
        assert {answer.status for answer in answers} == {200}
        assert {answer.headers['coltsfootstair-result'] for answer in answers} == {'0'}
        assert {answer.headers['coltsfootstair-key'] for answer in answers} == {key}
        assert len({answer.headers['served-by'] for answer in answers}) == 1


@then('a booking through each daemon is answered completely and runs once')
def check_bookings(system: System) -> None:
    for daemon in DAEMONS:
        body = f'book through {daemon}'.encode()
        headers = {'Idempotency-Key': f'operation-{daemon}'}
        answer = call(system.get_callers_address(daemon), 'POST', '/bookings/b', body, headers)
        assert (answer.status, answer.body) == (200, body)
    operation_ids = [
        request['operation_id'] for request in system.read_truth('booking-1')['requests']
    ]
    assert sorted(each for each in operation_ids if each) == [
        f'operation-{name}' for name in DAEMONS
    ]


@then('an upload of 20 MB through each daemon arrives completely')
def check_uploads(system: System) -> None:
    for number, daemon in enumerate(DAEMONS):
        body = bytes([number, 7, 9, 11]) * (UPLOAD_BYTES // 4)
        answer = call(system.get_callers_address(daemon), 'POST', '/scans/photo', body)
        assert answer.status == 200
        assert answer.json() == {
            'bytes': UPLOAD_BYTES,
            'sha256': hashlib.sha256(body).hexdigest(),
        }


@then('no backend server had more in flight than its slots')
def check_within_slots(system: System) -> None:
    for name, _, _ in BACKEND_SERVERS:
        truth = system.read_truth(name)
        assert truth['max_in_flight'] <= 4
        assert truth['max_connections'] <= 110


@then('a request with <fault> is refused with result <code>')
def check_refused(system: System, datatable: list[list[str]]) -> None:
    for fault, code in datatable[1:]:
        headers = HEADERS_BY_FAULT.get(fault, {'Coltsfootstair-Key': 'k'})
        path = '/nothing/x' if fault == 'an unknown service' else '/lookups/x'
        answer = call(system.get_callers_address('d1'), 'GET', path, headers=headers)
        assert answer.headers['coltsfootstair-result'] == code, (fault, answer)
        assert answer.headers['content-type'] == 'application/problem+json'
        problem = answer.json()
        assert (problem['code'], problem['ran']) == (int(code), 'no')


@then('malformed and oversized inner frames end only their own stream')
def send_bad_frames(system: System) -> None:
    hello = msgpack.packb([0, 1, 'nobody', 'north', 'i'])
    bad_inputs = [
        b'\xc1\xc1',  # a byte that msgpack does not use
        msgpack.packb('text'),  # not a list
        msgpack.packb([9999]),  # an unknown tag
        hello + b'\xdd\xff' * 9,  # a list of more than four billion entries
    ]
    # A chunk of a body that exceeds the largest frame.
    bad_inputs.append(hello + msgpack.packb([2, 'id', bytes(3 * 1024 * 1024), True]))
    for frames in bad_inputs:
        _check_closed(str(system.process_by_name['d1'].ready_line['inner']), frames)


def _check_closed(address: str, frames: bytes) -> None:
    host, _, port = address.rpartition(':')
    with socket.create_connection((host, int(port)), timeout=SOCKET_TIMEOUT_S) as stream:
        deadline = time.monotonic() + SOCKET_TIMEOUT_S
        try:
            stream.sendall(frames)
            while stream.recv(65536):
                assert time.monotonic() < deadline, frames[:20]
        except ConnectionError:
            return
