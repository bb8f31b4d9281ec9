"""The task that owns all inner streams of a daemon."""

from __future__ import annotations

import collections
import selectors
import socket
import threading
from typing import TYPE_CHECKING, Protocol

import structlog

from coltsfootstair.errors import ProtocolError
from coltsfootstair.inner._codec import Decoder, UnpackerPool, encode
from coltsfootstair.inner._messages import PROTOCOL_VERSION, Hello, StampReported
from coltsfootstair.timeline import HybridTime

if TYPE_CHECKING:
    from coltsfootstair.inner._messages import Message

__all__ = ['Hub', 'HubListener', 'Stream']

logger = structlog.get_logger()

RECEIVE_BYTES = 256 * 1024
LISTEN_BACKLOG = 256
CONNECT_TIMEOUT_S = 1.0


class EventClock(Protocol):
    """Orders the events of all daemons; safe for threads."""

    def latest(self) -> HybridTime:
        """Return the stamp of the last event noted here, or heard of."""

    def receive(self, remote: HybridTime) -> bool:
        """Take note of a peer's stamp."""


class HubListener(Protocol):
    """Receives the events of the inner streams, on the hub's own thread."""

    def on_message(self, stream: Stream, message: Message) -> None:
        """Take a message; must not block."""

    def on_stream_closed(self, stream: Stream) -> None:
        """Learn that ``stream`` is gone and all sent on it may be lost."""


class Stream:
    """One TCP connection to another daemon."""

    def __init__(self, hub: Hub, connection: socket.socket, peer: str) -> None:
        self.peer = peer
        self.is_open = True
        self._hub = hub
        self._socket = connection
        self._decoder = Decoder(hub.unpackers)
        self._lock = threading.Lock()
        self._outgoing: collections.deque[memoryview] = collections.deque()
        self._greeted = False
        self._reported = 0

    def fileno(self) -> int:
        """Return the socket's descriptor, for the selector."""
        return self._socket.fileno()

    def send(self, message: Message) -> bool:
        """Send ``message`` as soon as the peer takes it; false if the stream is closed.

        May be called from any thread; messages arrive in the order of the calls.
        """
        frame = encode(message)
        stamp = 0 if isinstance(message, Hello) else self._hub.latest_stamp()
        with self._lock:
            if not self.is_open:
                return False
            if stamp > self._reported:
                self._reported = stamp
                frame = encode(StampReported(stamp)) + frame
            idle = not self._outgoing
            self._outgoing.append(memoryview(frame))
            if idle:
                self._flush()
            waiting = bool(self._outgoing)
        if waiting and idle:
            self._hub.wants_writing(self)
        return True

    def close(self) -> None:
        """Close the stream; the hub calls the listener."""
        self._hub.drop(self)

    def _flush(self) -> None:
        """Send what the socket takes now; the caller holds the lock."""
        while self._outgoing:
            part = self._outgoing[0]
            try:
                sent = self._socket.send(part)
            except BlockingIOError:
                return
            except OSError:
                # The reading side sees the same failure and closes the stream.
                self._outgoing.clear()
                return
            if sent == len(part):
                self._outgoing.popleft()
            else:
                self._outgoing[0] = part[sent:]

    def flush(self) -> bool:
        """Send what the socket takes; true if more is left."""
        with self._lock:
            self._flush()
            return bool(self._outgoing)

    def read(self) -> list[Message] | None:
        """Return the messages that have come in, or ``None`` at the end."""
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return []
        except OSError:
            return None
        if not data:
            return None
        return list(self._decoder.feed(data))

    def greet(self, hello: Hello) -> None:
        """Take the peer's first message.

        :raises ProtocolError: the peer speaks another version
        """
        if hello.protocol != PROTOCOL_VERSION:
            raise ProtocolError(f'protocol {hello.protocol} is not {PROTOCOL_VERSION}')
        self.peer = hello.name
        self._greeted = True

    @property
    def is_hello_received(self) -> bool:
        """Whether the peer has said who it is."""
        return self._greeted

    def end(self) -> None:
        """Close the socket; only the hub calls this."""
        with self._lock:
            self.is_open = False
            self._outgoing.clear()
            self._socket.close()


class Hub:
    """Accepts, opens and serves the inner streams of one daemon."""

    def __init__(
        self,
        hello: Hello,
        listen: str,
        listener: HubListener,
        event_clock: EventClock | None = None,
    ) -> None:
        self.unpackers = UnpackerPool()
        self._hello = hello
        self._event_clock = event_clock
        self._listener = listener
        self._selector = selectors.DefaultSelector()
        self._server = _listen(listen)
        self._wake_in, self._wake_out = socket.socketpair()
        self._wake_in.setblocking(False)
        self._wake_out.setblocking(False)
        self._changes: collections.deque[tuple[str, Stream]] = collections.deque()
        self._stream_by_peer: dict[str, Stream] = {}
        self._connect_lock = threading.Lock()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name='inner-hub', daemon=True)

    @property
    def address(self) -> str:
        """The ``IP:PORT`` that peers connect to."""
        host, port = self._server.getsockname()[:2]
        return f'{host}:{port}'

    def start(self) -> None:
        """Begin to serve."""
        self._selector.register(self._server, selectors.EVENT_READ)
        self._selector.register(self._wake_in, selectors.EVENT_READ)
        self._thread.start()

    def stop(self) -> None:
        """Close all streams and end the task."""
        self._stopping = True
        self._wake()
        if self._thread.is_alive():
            self._thread.join(timeout=CONNECT_TIMEOUT_S)

    def get_or_connect(self, peer: str, address: str) -> Stream | None:
        """Return an open stream to ``peer``, connecting if there is none.

        May block for ``CONNECT_TIMEOUT_S``; ``None`` if the peer can't be reached.
        """
        stream = self._stream_by_peer.get(peer)
        if stream is not None and stream.is_open:
            return stream
        with self._connect_lock:
            stream = self._stream_by_peer.get(peer)
            if stream is not None and stream.is_open:
                return stream
            return self._connect(peer, address)

    def open_stream(self, peer: str) -> Stream | None:
        """Return the open stream to ``peer`` if there is one; never blocks."""
        stream = self._stream_by_peer.get(peer)
        return stream if stream is not None and stream.is_open else None

    def list_connected_peers(self) -> list[str]:
        """Return the names of the peers with an open stream."""
        return [peer for peer, stream in list(self._stream_by_peer.items()) if stream.is_open]

    def latest_stamp(self) -> int:
        """Return the latest stamp of this daemon's events, packed."""
        return 0 if self._event_clock is None else self._event_clock.latest().packed()

    def wants_writing(self, stream: Stream) -> None:
        """Ask the task to send the rest of ``stream`` when it can."""
        self._changes.append(('write', stream))
        self._wake()

    def drop(self, stream: Stream) -> None:
        """Ask the task to close ``stream``."""
        self._changes.append(('drop', stream))
        self._wake()

    def _connect(self, peer: str, address: str) -> Stream | None:
        host, _, port = address.rpartition(':')
        try:
            connection = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
        except OSError:
            return None
        stream = self._adopt(connection, peer)
        self._stream_by_peer[peer] = stream
        self._changes.append(('add', stream))
        self._wake()
        return stream

    def _adopt(self, connection: socket.socket, peer: str) -> Stream:
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(self, connection, peer)
        stream.send(self._hello)
        return stream

    def _wake(self) -> None:
        try:
            self._wake_out.send(b'x')
        except OSError:
            # A full pipe wakes the task as well; a closed one has no task to wake.
            return

    def _run(self) -> None:
        while not self._stopping:
            for key, events in self._selector.select():
                self._serve(key.fileobj, events)
            self._apply_changes()
        self._close_all()

    def _serve(self, source: object, events: int) -> None:
        if source is self._server:
            self._accept()
        elif source is self._wake_in:
            self._drain_wakes()
        elif isinstance(source, Stream):
            self._serve_stream(source, events)

    def _serve_stream(self, stream: Stream, events: int) -> None:
        if not stream.is_open:
            return
        if events & selectors.EVENT_WRITE and not stream.flush():
            self._selector.modify(stream, selectors.EVENT_READ)
        if events & selectors.EVENT_READ:
            self._read(stream)

    def _read(self, stream: Stream) -> None:
        try:
            messages = stream.read()
            if messages is None:
                self._close(stream)
                return
            for message in messages:
                self._deliver(stream, message)
        except ProtocolError as error:
            logger.warning('inner stream refused', peer=stream.peer, reason=str(error))
            self._close(stream)

    def _deliver(self, stream: Stream, message: Message) -> None:
        if stream.is_hello_received:
            if isinstance(message, StampReported):
                self._take_stamp(message)
            else:
                self._listener.on_message(stream, message)
            return
        if not isinstance(message, Hello):
            raise ProtocolError('the first message is not a hello')
        stream.greet(message)
        known = self._stream_by_peer.get(stream.peer)
        if known is None or not known.is_open:
            self._stream_by_peer[stream.peer] = stream
        self._listener.on_message(stream, message)

    def _take_stamp(self, report: StampReported) -> None:
        if self._event_clock is not None:
            self._event_clock.receive(HybridTime.unpacked(report.stamp))

    def _accept(self) -> None:
        try:
            connection, _ = self._server.accept()
        except OSError:
            return
        stream = self._adopt(connection, '')
        self._selector.register(stream, selectors.EVENT_READ)

    def _drain_wakes(self) -> None:
        try:
            self._wake_in.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return

    def _apply_changes(self) -> None:
        while self._changes:
            change, stream = self._changes.popleft()
            if not stream.is_open:
                continue
            match change:
                case 'add':
                    self._watch(stream, selectors.EVENT_READ)
                case 'write':
                    self._watch(stream, selectors.EVENT_READ | selectors.EVENT_WRITE)
                case _:
                    self._close(stream)

    def _watch(self, stream: Stream, events: int) -> None:
        if stream not in self._selector.get_map():
            self._selector.register(stream, events)
        elif events & selectors.EVENT_WRITE:
            self._selector.modify(stream, events)

    def _close(self, stream: Stream) -> None:
        if not stream.is_open:
            return
        try:
            self._selector.unregister(stream)
        except KeyError:
            logger.debug('stream closed before it was served', peer=stream.peer)
        stream.end()
        if self._stream_by_peer.get(stream.peer) is stream:
            del self._stream_by_peer[stream.peer]
        self._listener.on_stream_closed(stream)

    def _close_all(self) -> None:
        for key in list(self._selector.get_map().values()):
            if isinstance(key.fileobj, Stream):
                self._close(key.fileobj)
        self._selector.close()
        self._server.close()
        self._wake_in.close()
        self._wake_out.close()


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(':')
    server = socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
    server.setblocking(False)
    return server
