"""Tests of streams between two hubs on the loopback interface."""

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
CHUNK_COUNT = 200
"""Chunks of 60 kB; together more than a socket accepts at once, so that some are queued."""


class Recorder:
    """Listener that records messages and closed streams."""

    def __init__(self) -> None:
        self.messages: queue.SimpleQueue[tuple[Stream, Message]] = queue.SimpleQueue()
        self.closed_peers: queue.SimpleQueue[str] = queue.SimpleQueue()

    def on_message(self, stream: Stream, message: Message) -> None:
        if not isinstance(message, Hello):
            self.messages.put((stream, message))

    def on_stream_closed(self, stream: Stream) -> None:
        self.closed_peers.put(stream.peer)


class RecordedHub:
    """A running hub with a recorder as its listener."""

    def __init__(self, name: str) -> None:
        self.recorder = Recorder()
        hello = Hello(PROTOCOL_VERSION, name, 'north', 'i')
        self.hub = Hub(hello, '127.0.0.1:0', self.recorder)
        self.hub.start()


@pytest.fixture
def hubs() -> Iterator[tuple[RecordedHub, RecordedHub]]:
    both = RecordedHub('a'), RecordedHub('b')
    yield both
    for each in both:
        each.hub.stop()


def test_messages_arrive_in_order_in_both_directions(
    hubs: tuple[RecordedHub, RecordedHub],
) -> None:
    first, second = hubs
    stream = first.hub.get_or_connect('b', second.hub.address)
    assert stream is not None
    sent = [BodyChunk('id', bytes(60_000), False) for _ in range(CHUNK_COUNT)]
    assert all(stream.send(message) for message in sent)
    received = [second.recorder.messages.get(timeout=TIMEOUT_S) for _ in range(CHUNK_COUNT)]
    assert [message for _, message in received] == sent
    returned_stream = received[0][0]
    assert returned_stream.peer == 'a'
    assert returned_stream.send(CancelRequest('id'))
    assert first.recorder.messages.get(timeout=TIMEOUT_S)[1] == CancelRequest('id')


def test_end_of_a_peer_closes_its_stream_and_send_returns_false(
    hubs: tuple[RecordedHub, RecordedHub],
) -> None:
    first, second = hubs
    stream = first.hub.get_or_connect('b', second.hub.address)
    assert stream is not None
    assert stream.send(CancelRequest('id'))
    second.recorder.messages.get(timeout=TIMEOUT_S)
    second.hub.stop()
    assert first.recorder.closed_peers.get(timeout=TIMEOUT_S) == 'b'
    assert not stream.send(CancelRequest('id'))
    assert first.hub.find_open_stream('b') is None


def test_no_stream_to_an_unreachable_peer(hubs: tuple[RecordedHub, RecordedHub]) -> None:
    first, second = hubs
    address = second.hub.address
    second.hub.stop()
    assert first.hub.get_or_connect('b', address) is None
