"""Tests of closing blocking sockets once their answers are delivered."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable

from coltsfootstair.clock import ManualClock, SystemClock
from coltsfootstair.sockets import LingeringCloser
from tests.blocking_callers import connect_slowly, read_slowly

CLOSED_WITHIN_S = 2.0


def _connect() -> tuple[socket.socket, socket.socket]:
    """Return a caller's socket and that of its server."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        host, port = listener.getsockname()[:2]
        caller = connect_slowly(f'{host}:{port}')
        return caller, listener.accept()[0]


def _end(closer: LingeringCloser, served: socket.socket) -> None:
    closer.end(served)
    served.close()


def _wait_until(condition: Callable[[], bool]) -> bool:
    for _ in range(int(CLOSED_WITHIN_S / 0.05)):
        if condition():
            return True
        time.sleep(0.05)
    return False


def test_an_answer_is_delivered_while_its_caller_sends_on() -> None:
    caller, served = _connect()
    closer = LingeringCloser(SystemClock())
    served.sendall(bytes(100_000))
    caller.sendall(bytes(50_000))
    _end(closer, served)
    caller.sendall(bytes(50_000))
    assert len(read_slowly(caller, 500_000)) == 100_000
    caller.close()
    assert closer.wait_until_delivered(CLOSED_WITHIN_S)


def test_a_caller_that_never_reads_is_cut_off() -> None:
    clock = ManualClock()
    caller, served = _connect()
    closer = LingeringCloser(clock)
    served.setblocking(False)
    served.send(bytes(200_000))
    _end(closer, served)
    assert not closer.wait_until_delivered(0.2)
    clock.advance(31.0)
    assert closer.wait_until_delivered(CLOSED_WITHIN_S)
    caller.close()


def test_a_caller_that_never_closes_is_closed_and_holds_no_stop() -> None:
    clock = ManualClock()
    caller, served = _connect()
    closer = LingeringCloser(clock)
    _end(closer, served)
    assert closer.wait_until_delivered(0.0)
    clock.advance(3.0)
    assert _wait_until(lambda: not closer._ended)
    caller.close()


def test_a_connection_that_its_caller_has_reset_can_be_ended() -> None:
    caller, served = _connect()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0')
    caller.close()
    closer = LingeringCloser(SystemClock())
    _end(closer, served)
    assert closer.wait_until_delivered(CLOSED_WITHIN_S)
