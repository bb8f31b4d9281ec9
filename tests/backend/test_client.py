"""What reaches a backend server of requests that the daemon has given up."""

from __future__ import annotations

import contextlib
import time

import pytest

from coltsfootstair.backend import BackendAnswer, BackendRequest, HttpBackendServer
from coltsfootstair.errors import CallFailedError
from tests.held_up import fill_receive_buffer, listen_with_small_buffer, receive_rest

REQUEST_TIMEOUT_S = 0.2


class _Sink:
    def start(self, answer: BackendAnswer) -> None:
        raise AssertionError(answer)

    def write(self, data: bytes, *, last: bool) -> None:
        raise AssertionError(data)


def test_a_request_that_was_given_up_in_a_cut_does_not_arrive_after_it() -> None:
    """It ran although the server had said that no such request runs there."""
    with contextlib.closing(listen_with_small_buffer()) as listener:
        address = listener.getsockname()
        client = HttpBackendServer('{}:{}'.format(*address))
        request = BackendRequest(
            'POST',
            '/book',
            [('Coltsfootstair-Request-Id', 'r1')],
            iter([b'{}']),
            2,
            REQUEST_TIMEOUT_S,
        )
        connection = client._acquire_connection(client._idle_request_connections)
        server_side, _ = listener.accept()
        client._idle_request_connections.append(connection)
        fill_receive_buffer(address)
        with pytest.raises(CallFailedError):
            client.exchange(request, _Sink())
        time.sleep(REQUEST_TIMEOUT_S)
        received, was_reset = receive_rest(server_side)
    assert b'/book' not in received
    assert was_reset
