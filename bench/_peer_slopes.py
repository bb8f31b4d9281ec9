"""Slopes of the inner streams: memory, processor time and bytes by peers."""

from __future__ import annotations

import multiprocessing
import os
import socket
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from typing import TYPE_CHECKING

from bench._fit import measured
from bench._gauge import cpu_us, memory_bytes, resident_bytes
from coltsfootstair.inner import BodyChunk, Hello, Hub, encode

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench._fit import Slope
    from coltsfootstair.inner import Message, Stream

__all__ = ['peer_slopes']

PEERS = (32, 64, 128, 256)
IDLE_S = 0.5
FAN_OUT_BYTES = 2048
TRAFFIC_CHUNK_BYTES = 16 * 1024
TRAFFIC_CHUNKS = 80
"""Enough to go once through the largest buffer that a stream may keep."""

HELLO = Hello(1, 'daemon-0017', 'north', 'a' * 32)
WAIT_S = 10.0


class _Counting:
    """A listener that counts messages and keeps the streams they came on."""

    def __init__(self) -> None:
        self.stream_by_peer: dict[str, Stream] = {}
        self._count = 0
        self._changed = threading.Condition()

    def on_message(self, stream: Stream, message: Message) -> None:
        with self._changed:
            self.stream_by_peer[stream.peer] = stream
            self._count += 1
            self._changed.notify_all()

    def on_stream_closed(self, stream: Stream) -> None:
        with self._changed:
            self.stream_by_peer.pop(stream.peer, None)

    def wait_count(self, count: int) -> None:
        with self._changed:
            if not self._changed.wait_for(lambda: self._count >= count, WAIT_S):
                raise TimeoutError(f'{self._count} of {count} messages came')


class _Star:
    """A hub with peers that are bare sockets in this process."""

    def __init__(self, peers: int) -> None:
        self.listener = _Counting()
        self._exit = ExitStack()
        self.hub = Hub(HELLO, '127.0.0.1:0', self.listener)
        self.hub.start()
        self.sockets: list[socket.socket] = []
        host, _, port = self.hub.address.rpartition(':')
        for number in range(peers):
            connection = socket.create_connection((host, int(port)), WAIT_S)
            self._exit.enter_context(connection)
            connection.sendall(encode(HELLO._replace(name=f'peer-{number}')))
            self.sockets.append(connection)
        self.listener.wait_count(peers)

    def close(self) -> None:
        """Close all sockets and end the hub's task."""
        self.hub.stop()
        self._exit.close()


def peer_slopes() -> Iterator[Slope]:
    """Measure one hub with a number of peers."""
    yield measured(
        'stream_memory_bytes',
        'bytes per peer',
        'allocated for an inner stream that has said hello',
        PEERS,
        _stream_memory,
        repeats=1,
    )
    yield measured(
        'stream_resident_bytes',
        'bytes per peer',
        'resident for an inner stream on which '
        f'{TRAFFIC_CHUNK_BYTES * TRAFFIC_CHUNKS} bytes have come in',
        PEERS,
        _in_new_process,
        repeats=1,
    )
    yield measured(
        'stream_idle_us_per_s',
        'us per peer and second',
        'processor time of idle inner streams',
        PEERS,
        _idle,
    )
    yield measured(
        'message_in_us',
        'us per message',
        'processor time of a message of a few bytes from each peer, bare senders counted in',
        PEERS,
        _messages_in,
    )
    yield measured(
        'fan_out_us',
        'us per peer',
        f'processor time of sending {FAN_OUT_BYTES} bytes of configuration to each peer',
        PEERS,
        _fan_out,
    )


def _stream_memory(peers: int) -> float:
    stars: list[_Star] = []

    def make() -> None:
        stars.append(_Star(peers))

    try:
        return memory_bytes(make)
    finally:
        for star in stars:
            star.close()


def _in_new_process(peers: int) -> float:
    """Measure in a process that has no freed memory left to use again."""
    spawning = multiprocessing.get_context('spawn')
    with ProcessPoolExecutor(1, spawning) as executor:
        return executor.submit(_stream_resident, peers).result()


def _stream_resident(peers: int) -> float:
    before = resident_bytes(os.getpid())
    star = _Star(peers)
    try:
        frame = encode(BodyChunk('f' * 32, bytes(TRAFFIC_CHUNK_BYTES), False))
        for connection in star.sockets:
            for _ in range(TRAFFIC_CHUNKS):
                connection.sendall(frame)
        star.listener.wait_count(peers * (TRAFFIC_CHUNKS + 1))
        return max(resident_bytes(os.getpid()) - before, 0.0)
    finally:
        star.close()


def _idle(peers: int) -> float:
    star = _Star(peers)
    pause = threading.Event()
    try:
        begun = time.process_time()
        pause.wait(IDLE_S)
        return (time.process_time() - begun) * 1e6 / IDLE_S
    finally:
        star.close()


def _messages_in(peers: int) -> float:
    star = _Star(peers)
    frame = encode(HELLO)

    def work() -> None:
        for connection in star.sockets:
            connection.sendall(frame)
        star.listener.wait_count(2 * peers)

    try:
        return cpu_us(work)
    finally:
        star.close()


def _fan_out(peers: int) -> float:
    star = _Star(peers)
    streams = list(star.listener.stream_by_peer.values())
    message = BodyChunk('f' * 32, bytes(FAN_OUT_BYTES), True)

    def work() -> None:
        for stream in streams:
            stream.send(message)

    try:
        return cpu_us(work)
    finally:
        star.close()
