"""Slopes of the inner streams: memory and processor time by the number of peers."""

from __future__ import annotations

import multiprocessing
import os
import socket
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from typing import TYPE_CHECKING

from bench._fit import measure_slope
from bench._gauge import measure_cpu_us, measure_memory_bytes, read_resident_bytes
from coltsfootstair.inner import BodyChunk, Hello, Hub, encode

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench._fit import Slope
    from coltsfootstair.inner import Message, Stream

__all__ = ['measure_peer_slopes']

PEER_COUNTS = (32, 64, 128, 256)
IDLE_WINDOW_S = 0.5
FAN_OUT_BYTES = 2048
"""Size of the message that is sent to each peer."""

TRAFFIC_CHUNK_BYTES = 16 * 1024
TRAFFIC_CHUNK_COUNT = 80
"""Chunks sent on each stream, in all more than its largest buffer holds.

So each buffer has grown to its full size.
"""

HELLO = Hello(1, 'daemon-0017', 'north', 'a' * 32)
TIMEOUT_S = 10.0


class _CountingListener:
    """A listener that counts messages and keeps the streams on which they arrived."""

    def __init__(self) -> None:
        self.stream_by_peer: dict[str, Stream] = {}
        self._message_count = 0
        self._changed = threading.Condition()

    def on_message(self, stream: Stream, message: Message) -> None:
        with self._changed:
            self.stream_by_peer[stream.peer] = stream
            self._message_count += 1
            self._changed.notify_all()

    def on_stream_closed(self, stream: Stream) -> None:
        with self._changed:
            self.stream_by_peer.pop(stream.peer, None)

    def wait_for_messages(self, expected_count: int) -> None:
        with self._changed:
            if not self._changed.wait_for(
                lambda: self._message_count >= expected_count, TIMEOUT_S
            ):
                raise TimeoutError(
                    f'{self._message_count} of {expected_count} messages arrived'
                )


class _HubWithPeers:
    """A hub whose peers are plain sockets in this process."""

    def __init__(self, peer_count: int) -> None:
        self.listener = _CountingListener()
        self._exit_stack = ExitStack()
        self.hub = Hub(HELLO, '127.0.0.1:0', self.listener)
        self.hub.start()
        self.peer_sockets: list[socket.socket] = []
        host, _, port = self.hub.address.rpartition(':')
        for number in range(peer_count):
            connection = socket.create_connection((host, int(port)), TIMEOUT_S)
            self._exit_stack.enter_context(connection)
            connection.sendall(encode(HELLO._replace(name=f'peer-{number}')))
            self.peer_sockets.append(connection)
        self.listener.wait_for_messages(peer_count)

    def close(self) -> None:
        """Stop the hub and close all sockets."""
        self.hub.stop()
        self._exit_stack.close()


def measure_peer_slopes() -> Iterator[Slope]:
    """Measure one hub by the number of its peers."""
    yield measure_slope(
        'stream_memory_bytes',
        'bytes per peer',
        'allocated for an inner stream that has said hello',
        PEER_COUNTS,
        _measure_allocated_memory,
        runs_per_size=1,
    )
    yield measure_slope(
        'stream_resident_bytes',
        'bytes per peer',
        'resident for an inner stream on which '
        f'{TRAFFIC_CHUNK_BYTES * TRAFFIC_CHUNK_COUNT} bytes have come in',
        PEER_COUNTS,
        _measure_resident_memory_in_new_process,
        runs_per_size=1,
    )
    yield measure_slope(
        'stream_idle_us_per_s',
        'us per peer and second',
        'processor time of idle inner streams',
        PEER_COUNTS,
        _measure_idle_streams,
    )
    yield measure_slope(
        'message_in_us',
        'us per message',
        'processor time of a message of a few bytes from each peer, bare senders counted in',
        PEER_COUNTS,
        _measure_incoming_messages,
    )
    yield measure_slope(
        'fan_out_us',
        'us per peer',
        f'processor time of sending {FAN_OUT_BYTES} bytes of configuration to each peer',
        PEER_COUNTS,
        _measure_fan_out,
    )


def _measure_allocated_memory(peer_count: int) -> float:
    hubs_with_peers: list[_HubWithPeers] = []

    def create() -> None:
        hubs_with_peers.append(_HubWithPeers(peer_count))

    try:
        return measure_memory_bytes(create)
    finally:
        for hub_with_peers in hubs_with_peers:
            hub_with_peers.close()


def _measure_resident_memory_in_new_process(peer_count: int) -> float:
    """Measure in a new process, which has no freed memory that it could use again."""
    context = multiprocessing.get_context('spawn')
    with ProcessPoolExecutor(1, context) as executor:
        return executor.submit(_measure_resident_memory, peer_count).result()


def _measure_resident_memory(peer_count: int) -> float:
    bytes_before = read_resident_bytes(os.getpid())
    hub_with_peers = _HubWithPeers(peer_count)
    try:
        frame = encode(BodyChunk('f' * 32, bytes(TRAFFIC_CHUNK_BYTES), False))
        for connection in hub_with_peers.peer_sockets:
            for _ in range(TRAFFIC_CHUNK_COUNT):
                connection.sendall(frame)
        hub_with_peers.listener.wait_for_messages(peer_count * (TRAFFIC_CHUNK_COUNT + 1))
        return max(read_resident_bytes(os.getpid()) - bytes_before, 0.0)
    finally:
        hub_with_peers.close()


def _measure_idle_streams(peer_count: int) -> float:
    hub_with_peers = _HubWithPeers(peer_count)
    # Never set: only waited for, to sleep.
    pause = threading.Event()
    try:
        started_at = time.process_time()
        pause.wait(IDLE_WINDOW_S)
        return (time.process_time() - started_at) * 1e6 / IDLE_WINDOW_S
    finally:
        hub_with_peers.close()


def _measure_incoming_messages(peer_count: int) -> float:
    hub_with_peers = _HubWithPeers(peer_count)
    frame = encode(HELLO)

    def run() -> None:
        for connection in hub_with_peers.peer_sockets:
            connection.sendall(frame)
        hub_with_peers.listener.wait_for_messages(2 * peer_count)

    try:
        return measure_cpu_us(run)
    finally:
        hub_with_peers.close()


def _measure_fan_out(peer_count: int) -> float:
    hub_with_peers = _HubWithPeers(peer_count)
    streams = list(hub_with_peers.listener.stream_by_peer.values())
    message = BodyChunk('f' * 32, bytes(FAN_OUT_BYTES), True)

    def run() -> None:
        for stream in streams:
            stream.send(message)

    try:
        return measure_cpu_us(run)
    finally:
        hub_with_peers.close()
