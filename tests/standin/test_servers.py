"""Tests of the stand-ins over HTTP."""

from __future__ import annotations

import contextlib
import hashlib
import http.client
import json
from typing import TYPE_CHECKING

import msgpack
import pytest

from coltsfootstair.clock import ManualClock
from coltsfootstair.errors import BadInputError
from coltsfootstair.standin import (
    BackendServerFault,
    BackendServerStandin,
    StoreFault,
    StoreStandin,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

Connection = http.client.HTTPConnection


@pytest.fixture
def server() -> Iterator[BackendServerStandin]:
    standin = BackendServerStandin('127.0.0.1:0', 'b1', 'lake', service_ms=0)
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def store() -> Iterator[tuple[StoreStandin, ManualClock]]:
    clock = ManualClock()
    standin = StoreStandin('127.0.0.1:0', vm_lag_s=5, clock=clock)
    standin.start()
    yield standin, clock
    standin.stop()


def send(
    address: str, method: str, path: str, body: object = None, **headers: str
) -> tuple[int, http.client.HTTPMessage, bytes]:
    connection = Connection(address)
    names = {name.replace('_', '-'): value for name, value in headers.items()}
    connection.request(method, path, body, names)  # type: ignore[arg-type]
    response = connection.getresponse()
    with contextlib.closing(connection), response:
        return response.status, response.headers, response.read()


def test_answer_echoes_body_and_key(server: BackendServerStandin) -> None:
    key = {'Coltsfootstair_Key': 'k', 'Coltsfootstair_Request_Id': 'r1'}
    status, headers, body = send(server.address, 'POST', '/slots/1', b'mine', **key)
    assert (status, body, headers['Served-By']) == (200, b'mine', 'b1')
    assert headers['Coltsfootstair-Key'] == 'k'
    truth = json.loads(send(server.address, 'GET', '/-/truth')[2])
    assert [(r['request_id'], r['bytes'], r['status']) for r in truth['requests']] == [
        ('r1', 4, 200)
    ]
    assert (truth['max_in_flight'], truth['max_connections']) == (1, 1)


@pytest.mark.parametrize('chunked', [False, True])
def test_answer_to_an_upload_is_its_digest(
    server: BackendServerStandin, chunked: bool
) -> None:
    content = bytes(range(256)) * 1024
    body: object = iter([content[:1000], content[1000:]]) if chunked else content
    status, _, answer = send(server.address, 'POST', '/scans/1', body)
    digest = hashlib.sha256(content).hexdigest()
    assert (status, json.loads(answer)) == (200, {'bytes': len(content), 'sha256': digest})


@pytest.mark.parametrize(('token', 'status'), [('5', 200), ('4', 412), ('x', 412)])
def test_only_the_granted_token_is_served(
    server: BackendServerStandin, token: str, status: int
) -> None:
    call = {'until': 1e12, 'ranges': [[0, 9, 5]], 'instance': server.instance}
    assert send(server.address, 'POST', '/-/grants', json.dumps(call))[0] == 200
    call['ranges'] = [[3, 3, 4]]
    assert send(server.address, 'POST', '/-/grants', json.dumps(call))[0] == 409
    row_headers = {'Coltsfootstair_Slot': '3', 'Coltsfootstair_Token': token}
    assert send(server.address, 'POST', '/slots/1', b'', **row_headers)[0] == status
    assert len(server.get_truth()['requests']) == (status == 200)


def test_a_refused_upload_still_gets_its_answer(server: BackendServerStandin) -> None:
    server.set_fault(BackendServerFault(shed=True))
    status, headers, _ = send(server.address, 'POST', '/scans/1', b'x' * 1_000_000)
    assert (status, headers['Coltsfootstair-Shed']) == (503, 'overload')
    assert server.get_truth()['requests'] == []


def test_requests_with_dropped_answers_have_run(server: BackendServerStandin) -> None:
    fault = b'{"drop_answers": true, "load_report": "lie"}'
    assert send(server.address, 'POST', '/-/fault', fault)[0] == 200
    for error in (http.client.RemoteDisconnected, http.client.IncompleteRead):
        with pytest.raises(error):
            send(server.address, 'POST', '/slots/1', b'mine')
    assert [each['status'] for each in server.get_truth()['requests']] == [200, 200]


def test_a_frozen_server_still_answers_truth_and_faults(server: BackendServerStandin) -> None:
    server.set_fault(BackendServerFault(freeze=True))
    waiting = Connection(server.address)
    waiting.request('GET', '/-/health')
    assert send(server.address, 'GET', '/-/truth')[0] == 200
    assert send(server.address, 'POST', '/-/fault', b'{"freeze": false}')[0] == 200
    assert waiting.getresponse().status == 200
    waiting.close()


def test_an_unknown_fault_is_refused(server: BackendServerStandin) -> None:
    assert send(server.address, 'POST', '/-/fault', b'{"slow": 1}')[0] == 400


def test_malformed_and_used_addresses_are_refused(server: BackendServerStandin) -> None:
    for listen in ('here:1', '127.0.0.1', '127.0.0.1:70000', server.address):
        with pytest.raises(BadInputError):
            StoreStandin(listen)


def test_writes_are_conditional_and_watches_return_the_changes(
    store: tuple[StoreStandin, ManualClock],
) -> None:
    address = store[0].address
    expect_absent, expect_first = {'Expected_Version': '0'}, {'Expected_Version': '1'}
    assert send(address, 'PUT', '/objects/a%2Fb', b'v', **expect_absent)[0] == 200
    status, headers, _ = send(address, 'PUT', '/objects/a/b', b'w', **expect_absent)
    assert (status, headers['Version']) == (409, '1')
    assert send(address, 'PUT', '/objects/a/b', b'w', **expect_first)[0] == 200
    assert send(address, 'GET', '/objects/a/b')[2] == b'w'
    watched = send(address, 'GET', '/watch?prefix=a/&after=1&timeout_ms=60000')[2]
    assert msgpack.unpackb(watched) == {'revision': 2, 'objects': [['a/b', 2, b'w']]}
    assert send(address, 'DELETE', '/objects/a/b', Expected_Version='2')[0] == 200
    watched = send(address, 'GET', '/watch?prefix=&after=2&timeout_ms=60000')[2]
    assert msgpack.unpackb(watched) == {'revision': 3, 'objects': [['a/b', 3, b'']]}
    assert send(address, 'GET', '/objects/a/b')[0] == 404
    assert store[0].get_truth() == {'reads': 2, 'writes': 4, 'watches': 2}


def test_a_call_with_a_lost_answer_has_taken_effect(
    store: tuple[StoreStandin, ManualClock],
) -> None:
    store[0].set_fault(StoreFault(lose_answers=1.0))
    with pytest.raises(http.client.RemoteDisconnected):
        send(store[0].address, 'PUT', '/objects/a', b'v', Expected_Version='0')
    store[0].set_fault(StoreFault(lose_answers=0.0))
    assert send(store[0].address, 'GET', '/objects/a')[2] == b'v'
    store[0].set_fault(StoreFault(down=True))
    assert send(store[0].address, 'GET', '/objects/a')[0] == 503


def test_the_vm_list_still_shows_an_ended_vm_for_its_lag(
    store: tuple[StoreStandin, ManualClock],
) -> None:
    standin, clock = store
    vm = {
        'Platform_Vm': 'vm1',
        'Platform_Data_Centre': 'lake',
        'Platform_Inner': '127.0.0.1:9',
    }
    send(standin.address, 'GET', '/objects?prefix=a', **vm)
    standin.set_fault(StoreFault(vm_gone='vm1'))
    listed = msgpack.unpackb(send(standin.address, 'GET', '/vms')[2])
    assert listed == [['vm1', 'lake', '127.0.0.1:9', False]]
    clock.advance(5)
    assert msgpack.unpackb(send(standin.address, 'GET', '/vms')[2]) == []
