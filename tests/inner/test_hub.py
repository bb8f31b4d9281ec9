"""Tests of streams between two hubs on the loopback interface."""

from __future__ import annotations

import contextlib
import queue
import threading
from typing import TYPE_CHECKING

import pytest
from tests.blocking_callers import connect_slowly, read_slowly

from coltsfootstair.inner import BodyChunk, CancelRequest, Hello, Hub
from coltsfootstair.inner._codec import Decoder, UnpackerPool, encode
from coltsfootstair.inner._hub import RECEIVE_BYTES
from coltsfootstair.inner._messages import PROTOCOL_VERSION

if TYPE_CHECKING:
    from collections.abc import Iterator

    from coltsfootstair.inner import Message, Stream

TIMEOUT_S = 10.0
CHUNK_COUNT = 200
"""Chunks of 60 kB; together more than a socket accepts at once, so that some are queued."""

SLOW_CHUNK_COUNT = 50
"""The same for a peer with a slow link."""


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


def test_a_stop_delivers_what_was_sent_to_a_slow_peer_that_sends_on() -> None:
    """The rest of an answer was dropped, or lost by a reset, when its daemon had stopped."""
    answering = RecordedHub('b')
    with connect_slowly(answering.hub.address) as peer:
        peer.sendall(encode(Hello(PROTOCOL_VERSION, 'a', 'north', 'i')))
        request = encode(BodyChunk('r', b'x', False))
        peer.sendall(request)
        stream, _ = answering.recorder.messages.get(timeout=TIMEOUT_S)
        chunks = [BodyChunk('r', bytes(60_000), False) for _ in range(SLOW_CHUNK_COUNT)]
        assert all(stream.send(chunk) for chunk in chunks)
        has_ended = threading.Event()

        def send_on() -> None:
            with contextlib.suppress(ConnectionError):
                while not has_ended.wait(0.001):
                    peer.sendall(request)

        threads = [threading.Thread(target=target) for target in (send_on, answering.hub.stop)]
        for thread in threads:
            thread.start()
        received = read_slowly(peer, 1.5e6)
        has_ended.set()
        for thread in threads:
            thread.join()
    decoder = Decoder(UnpackerPool())
    pieces = [
        received[at : at + RECEIVE_BYTES] for at in range(0, len(received), RECEIVE_BYTES)
    ]
    messages = [message for piece in pieces for message in decoder.feed(piece)]
    assert [each for each in messages if isinstance(each, BodyChunk)] == chunks
