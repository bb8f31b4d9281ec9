"""Tests of inner streams between two hubs on loopback."""

from __future__ import annotations

import queue
from typing import TYPE_CHECKING

import pytest

from coltsfootstair.inner import BodyChunk, CancelRequest, Hello, Hub
from coltsfootstair.inner._messages import PROTOCOL_VERSION

if TYPE_CHECKING:
    from collections.abc import Iterator

    from coltsfootstair.inner import Message, Stream

TIMEOUT_S = 10.0
CHUNKS = 200


class Recorder:
    """Keeps what a hub tells it."""

    def __init__(self) -> None:
        self.messages: queue.SimpleQueue[tuple[Stream, Message]] = queue.SimpleQueue()
        self.ended: queue.SimpleQueue[str] = queue.SimpleQueue()

    def on_message(self, stream: Stream, message: Message) -> None:
        if not isinstance(message, Hello):
            self.messages.put((stream, message))

    def on_stream_closed(self, stream: Stream) -> None:
        self.ended.put(stream.peer)


class Side:
    """A hub and what it was told."""

    def __init__(self, name: str) -> None:
        self.recorder = Recorder()
        hello = Hello(PROTOCOL_VERSION, name, 'north', 'i')
        self.hub = Hub(hello, '127.0.0.1:0', self.recorder)
        self.hub.start()


@pytest.fixture
def sides() -> Iterator[tuple[Side, Side]]:
    both = Side('a'), Side('b')
    yield both
    for side in both:
        side.hub.stop()


def test_messages_arrive_in_order_in_both_directions(sides: tuple[Side, Side]) -> None:
    one, other = sides
    stream = one.hub.get_or_connect('b', other.hub.address)
    assert stream is not None
    sent = [BodyChunk('id', bytes(60_000), False) for _ in range(CHUNKS)]
    assert all(stream.send(message) for message in sent)
    received = [other.recorder.messages.get(timeout=TIMEOUT_S) for _ in range(CHUNKS)]
    assert [message for _, message in received] == sent
    back = received[0][0]
    assert back.peer == 'a'
    assert back.send(CancelRequest('id'))
    assert one.recorder.messages.get(timeout=TIMEOUT_S)[1] == CancelRequest('id')


def test_end_of_a_peer_is_told_and_sending_says_no(sides: tuple[Side, Side]) -> None:
    one, other = sides
    stream = one.hub.get_or_connect('b', other.hub.address)
    assert stream is not None
    assert stream.send(CancelRequest('id'))
    other.recorder.messages.get(timeout=TIMEOUT_S)
    other.hub.stop()
    assert one.recorder.ended.get(timeout=TIMEOUT_S) == 'b'
    assert not stream.send(CancelRequest('id'))
    assert one.hub.open_stream('b') is None


def test_unreachable_peer_is_none(sides: tuple[Side, Side]) -> None:
    one, other = sides
    address = other.hub.address
    other.hub.stop()
    assert one.hub.get_or_connect('b', address) is None
