"""Tests that the load generator recognises wrong, truncated and missing answers."""

from __future__ import annotations

import json
from collections.abc import Iterator

import pytest

from coltsfootstair.clock import SystemClock
from coltsfootstair.load import (
    BookingLoad,
    Load,
    LoadGenerator,
    LookupLoad,
    Outcome,
    Sample,
    UploadLoad,
    compute_latencies_ms,
)
from coltsfootstair.standin._http import Exchange, HttpServer

LOAD_DURATION_S = 0.3
REFUSAL = json.dumps({'code': 200, 'ran': 'no'}).encode()


class FakeDaemon:
    """Answers requests as a daemon does, except for one fault."""

    def __init__(self, fault: str) -> None:
        self.fault = fault
        self.server = HttpServer('127.0.0.1:0', self)

    def on_connected(self, connection_number: int) -> None:
        """Do nothing."""

    def on_disconnected(self, connection_number: int) -> None:
        """Do nothing."""

    def handle(self, exchange: Exchange) -> None:
        body = exchange.read_body() or b''
        key = exchange.headers.get('Coltsfootstair-Key', '')
        headers = {'Coltsfootstair-Result': '0', 'Coltsfootstair-Key': key}
        match self.fault:
            case 'refused':
                exchange.send_answer(503, REFUSAL, headers | {'Coltsfootstair-Result': '200'})
            case 'truncated':
                exchange.send_answer(200, body, headers, truncate_at_bytes=1)
            case 'no answer':
                exchange.drop_connection()
            case 'failed':
                exchange.send_answer(500, b'', headers)
            case 'wrong body':
                exchange.send_answer(200, body[::-1], headers)
            case 'wrong key':
                exchange.send_answer(200, body, headers | {'Coltsfootstair-Key': 'other'})
            case _:
                exchange.send_answer(200, body, headers)


@pytest.fixture
def daemon(request: pytest.FixtureRequest) -> Iterator[FakeDaemon]:
    fake_daemon = FakeDaemon(request.param)
    fake_daemon.server.start()
    yield fake_daemon
    fake_daemon.server.stop()


def run_load(daemon: FakeDaemon, load: Load) -> list[Sample]:
    addresses = [daemon.server.address]
    generator = LoadGenerator(
        lambda: list(addresses), [load], LOAD_DURATION_S, 1, SystemClock()
    )
    generator.start()
    return generator.join()


@pytest.mark.parametrize(
    ('daemon', 'outcome'),
    [
        ('none', Outcome.COMPLETE),
        ('refused', Outcome.REFUSED),
        ('failed', Outcome.FAILED),
        ('truncated', Outcome.TRUNCATED),
        ('no answer', Outcome.NO_ANSWER),
        ('wrong body', Outcome.MISMATCHED),
        ('wrong key', Outcome.MISMATCHED),
    ],
    indirect=['daemon'],
)
def test_each_fault_is_distinguished_from_a_complete_answer(
    daemon: FakeDaemon, outcome: Outcome
) -> None:
    samples = run_load(daemon, LookupLoad('lookups', 100.0))
    assert {each.outcome for each in samples} == {outcome}
    assert (compute_latencies_ms(samples, 50)[0] > 0) == (outcome is Outcome.COMPLETE)


@pytest.mark.parametrize('daemon', ['none'], indirect=True)
def test_an_upload_answered_without_its_digest_is_mismatched(daemon: FakeDaemon) -> None:
    samples = run_load(daemon, UploadLoad('scans', 1, 100_000, 1e9))
    assert {each.outcome for each in samples} == {Outcome.MISMATCHED}


@pytest.mark.parametrize('daemon', ['no answer'], indirect=True)
def test_an_unanswered_booking_is_retried(daemon: FakeDaemon) -> None:
    samples = run_load(daemon, BookingLoad('bookings', 30.0, duplicate_share=0.0))
    # A booking without an answer is sent once and retried MAX_RETRIES = 2 times.
    assert len(samples) == 3 * len({each.operation_id for each in samples})


def test_join_raises_the_error_of_a_worker() -> None:
    def fail_to_list_addresses() -> list[str]:
        raise LookupError

    load = LookupLoad('lookups', 100.0)
    generator = LoadGenerator(
        fail_to_list_addresses, [load], LOAD_DURATION_S, 1, SystemClock()
    )
    generator.start()
    with pytest.raises(LookupError):
        generator.join()
