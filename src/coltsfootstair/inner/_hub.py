"""Task that serves all streams between this daemon and the others."""

from __future__ import annotations

import collections
import selectors
import socket
import threading
from typing import TYPE_CHECKING, Protocol

import structlog

from coltsfootstair.clock import SystemClock
from coltsfootstair.errors import ProtocolError
from coltsfootstair.inner._codec import Decoder, UnpackerPool, encode
from coltsfootstair.inner._messages import PROTOCOL_VERSION, Hello, StampReported
from coltsfootstair.sockets import LingeringCloser
from coltsfootstair.timeline import HybridTime

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock
    from coltsfootstair.inner._messages import Message

__all__ = ['Hub', 'HubListener', 'Stream']

logger = structlog.get_logger()

RECEIVE_BYTES = 256 * 1024
"""Bytes read from a socket at once."""

LISTEN_BACKLOG_COUNT = 256
CONNECT_TIMEOUT_S = 1.0

FINISH_TIMEOUT_S = 5.0
"""How long a stop waits until messages are handed to the kernel, in seconds, and once more as
long until peers have received them."""

FINISH_POLL_S = 0.1
"""Longest wait for socket events while the hub stops, in seconds."""


class EventClock(Protocol):
    """Hybrid clock that orders the events of all daemons; safe for threads."""

    def latest(self) -> HybridTime:
        """Return the greatest stamp that was issued here or received from another daemon."""

    def receive(self, remote: HybridTime) -> bool:
        """Advance the clock to a peer's stamp; return false if the stamp is ignored."""


class HubListener(Protocol):
    """Handler of events on the streams; it is called on the hub's thread."""

    def on_message(self, stream: Stream, message: Message) -> None:
        """Handle a message; must not block."""

    def on_stream_closed(self, stream: Stream) -> None:
        """Handle the end of ``stream``; messages that were sent on it may be lost."""


class Stream:
    """One TCP connection to another daemon.

    :param hub: the hub that serves the connection
    :param peer: name of the other daemon; empty until its ``Hello`` arrives
    """

    def __init__(self, hub: Hub, connection: socket.socket, peer: str) -> None:
        self.peer = peer
        self.is_open = True
        self._hub = hub
        self._socket = connection
        self._decoder = Decoder(hub.unpackers)
        self._lock = threading.Lock()
        self._outgoing: collections.deque[memoryview] = collections.deque()
        self._is_hello_received = False
        # Greatest stamp that was sent on this stream.
        self._reported_stamp = 0

    def fileno(self) -> int:
        """Return the file descriptor of the socket, for the selector."""
        return self._socket.fileno()

    def send(self, message: Message) -> bool:
        """Queue ``message`` and send what the socket accepts; return false if closed.

        May be called from any thread; messages arrive in the order of the calls.
        """
        frame = encode(message)
        stamp = 0 if isinstance(message, Hello) else self._hub.get_latest_stamp()
        with self._lock:
            if not self.is_open:
                return False
            if stamp > self._reported_stamp:
                self._reported_stamp = stamp
                frame = encode(StampReported(stamp)) + frame
            was_empty = not self._outgoing
            self._outgoing.append(memoryview(frame))
            if was_empty:
                self._flush()
            has_unsent = bool(self._outgoing)
        if has_unsent and was_empty:
            self._hub.request_write(self)
        return True

    def close(self) -> None:
        """Request that the hub closes the stream and notifies its listener."""
        self._hub.request_close(self)

    def _flush(self) -> None:
        """Send what the socket accepts; the calling thread must hold the lock."""
        while self._outgoing:
            unsent = self._outgoing[0]
            try:
                sent = self._socket.send(unsent)
            except BlockingIOError:
                return
            except OSError:
                # Reading from the socket fails too, and closes the stream.
                self._outgoing.clear()
                return
            if sent == len(unsent):
                self._outgoing.popleft()
            else:
                self._outgoing[0] = unsent[sent:]

    def flush(self) -> bool:
        """Send what the socket accepts; return true if unsent bytes remain."""
        with self._lock:
            self._flush()
            return bool(self._outgoing)

    @property
    def has_unsent(self) -> bool:
        """Whether messages wait for the socket to accept them."""
        return bool(self._outgoing)

    def read(self) -> list[Message] | None:
        """Return the messages that have arrived, or ``None`` at the end of the stream.

        :raises ProtocolError: the bytes are not valid messages
        """
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return []
        except OSError:
            return None
        if not data:
            return None
        return list(self._decoder.feed(data))

    def accept_hello(self, hello: Hello) -> None:
        """Apply the peer's first message.

        :raises ProtocolError: the peer has another version of the protocol
        """
        if hello.protocol != PROTOCOL_VERSION:
            raise ProtocolError(f'protocol version {hello.protocol} is not {PROTOCOL_VERSION}')
        self.peer = hello.name
        self._is_hello_received = True

    @property
    def is_hello_received(self) -> bool:
        """Whether the peer's ``Hello`` has arrived."""
        return self._is_hello_received

    def end(self, closer: LingeringCloser) -> None:
        """End the sending side; ``closer`` lets the peer receive what was sent."""
        closer.end(self._socket)

    def close_socket(self) -> None:
        """Mark the stream as closed and close its socket; only the hub calls this."""
        with self._lock:
            self.is_open = False
            self._outgoing.clear()
            self._socket.close()


class Hub:
    """Accepts, opens and serves the streams of one daemon.

    One thread reads from all streams and calls the listener.

    :param hello: the first message that is sent on each stream
    :param listen: ``IP:PORT`` to listen on
    :param event_clock: clock whose stamps are exchanged with peers; ``None`` to send no stamps
    :param clock: measures how long a stop takes; by default that of the system
    """

    def __init__(
        self,
        hello: Hello,
        listen: str,
        listener: HubListener,
        event_clock: EventClock | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._clock = clock or SystemClock()
        self._closer = LingeringCloser(self._clock)
        self.unpackers = UnpackerPool()
        self._hello = hello
        self._event_clock = event_clock
        self._listener = listener
        self._selector = selectors.DefaultSelector()
        self._server = _open_server_socket(listen)
        self._wakeup_receiver, self._wakeup_sender = socket.socketpair()
        self._wakeup_receiver.setblocking(False)
        self._wakeup_sender.setblocking(False)
        self._stream_requests: collections.deque[tuple[str, Stream]] = collections.deque()
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
        """Start the task."""
        self._selector.register(self._server, selectors.EVENT_READ)
        self._selector.register(self._wakeup_receiver, selectors.EVENT_READ)
        self._thread.start()

    def stop(self) -> None:
        """Deliver what was sent, for a limited time, close all streams and stop the task."""
        self._stopping = True
        self._wake_up()
        if self._thread.is_alive():
            self._thread.join(timeout=2 * FINISH_TIMEOUT_S + CONNECT_TIMEOUT_S)

    def get_or_connect(self, peer: str, address: str) -> Stream | None:
        """Return an open stream to ``peer``, and connect if there is none.

        May block for ``CONNECT_TIMEOUT_S``.

        :return: ``None`` if the peer cannot be reached
        """
        stream = self._stream_by_peer.get(peer)
        if stream is not None and stream.is_open:
            return stream
        with self._connect_lock:
            stream = self._stream_by_peer.get(peer)
            if stream is not None and stream.is_open:
                return stream
            return self._connect(peer, address)

    def find_open_stream(self, peer: str) -> Stream | None:
        """Return the open stream to ``peer`` if there is one; never blocks."""
        stream = self._stream_by_peer.get(peer)
        return stream if stream is not None and stream.is_open else None

    def list_connected_peers(self) -> list[str]:
        """Return the names of the peers with an open stream."""
        return [peer for peer, stream in list(self._stream_by_peer.items()) if stream.is_open]

    def get_latest_stamp(self) -> int:
        """Return the greatest stamp of this daemon's clock, as one number.

        The clock also counts received stamps. Returns 0 without a clock.
        """
        return 0 if self._event_clock is None else self._event_clock.latest().pack()

    def request_write(self, stream: Stream) -> None:
        """Request that the task sends the unsent bytes of ``stream``."""
        self._stream_requests.append(('write', stream))
        self._wake_up()

    def request_close(self, stream: Stream) -> None:
        """Request that the task closes ``stream``."""
        self._stream_requests.append(('close', stream))
        self._wake_up()

    def _connect(self, peer: str, address: str) -> Stream | None:
        host, _, port = address.rpartition(':')
        try:
            connection = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
        except OSError:
            return None
        stream = self._create_stream(connection, peer)
        self._stream_by_peer[peer] = stream
        self._stream_requests.append(('add', stream))
        self._wake_up()
        return stream

    def _create_stream(self, connection: socket.socket, peer: str) -> Stream:
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(self, connection, peer)
        stream.send(self._hello)
        return stream

    def _wake_up(self) -> None:
        try:
            self._wakeup_sender.send(b'x')
        except OSError:
            # A full socket buffer wakes the task too; a closed socket has no task to wake.
            return

    def _run(self) -> None:
        while not self._stopping:
            for key, events in self._selector.select():
                self._serve(key.fileobj, events)
            self._handle_stream_requests()
        self._finish_sending()
        self._close_all()
        self._closer.wait_until_delivered(FINISH_TIMEOUT_S)

    def _finish_sending(self) -> None:
        """Hand what is still unsent to the kernel; what peers send is still handled."""
        ends_at = self._clock.monotonic() + FINISH_TIMEOUT_S
        while self._clock.monotonic() < ends_at and any(
            stream.has_unsent for stream in self._list_streams()
        ):
            for key, events in self._selector.select(FINISH_POLL_S):
                self._serve(key.fileobj, events)
            self._handle_stream_requests()

    def _list_streams(self) -> list[Stream]:
        registered = [key.fileobj for key in self._selector.get_map().values()]
        return [source for source in registered if isinstance(source, Stream)]

    def _serve(self, source: object, events: int) -> None:
        if source is self._server:
            self._accept()
        elif source is self._wakeup_receiver:
            self._discard_wakeups()
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
                self._dispatch(stream, message)
        except ProtocolError as error:
            logger.warning(
                'inner stream closed: a message is invalid',
                peer=stream.peer,
                reason=str(error),
            )
            self._close(stream)

    def _dispatch(self, stream: Stream, message: Message) -> None:
        if stream.is_hello_received:
            if isinstance(message, StampReported):
                self._apply_stamp(message)
            else:
                self._listener.on_message(stream, message)
            return
        if not isinstance(message, Hello):
            raise ProtocolError('the first message is not Hello')
        stream.accept_hello(message)
        known = self._stream_by_peer.get(stream.peer)
        if known is None or not known.is_open:
            self._stream_by_peer[stream.peer] = stream
        self._listener.on_message(stream, message)

    def _apply_stamp(self, report: StampReported) -> None:
        if self._event_clock is not None:
            self._event_clock.receive(HybridTime.unpack(report.stamp))

    def _accept(self) -> None:
        try:
            connection, _ = self._server.accept()
        except OSError:
            return
        stream = self._create_stream(connection, '')
        self._selector.register(stream, selectors.EVENT_READ)

    def _discard_wakeups(self) -> None:
        try:
            self._wakeup_receiver.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return

    def _handle_stream_requests(self) -> None:
        while self._stream_requests:
            request, stream = self._stream_requests.popleft()
            if not stream.is_open:
                continue
            match request:
                case 'add':
                    self._register_events(stream, selectors.EVENT_READ)
                case 'write':
                    self._register_events(stream, selectors.EVENT_READ | selectors.EVENT_WRITE)
                case _:
                    self._close(stream)

    def _register_events(self, stream: Stream, events: int) -> None:
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
            logger.debug(
                'stream closed before it was registered with the selector', peer=stream.peer
            )
        stream.close_socket()
        if self._stream_by_peer.get(stream.peer) is stream:
            del self._stream_by_peer[stream.peer]
        self._listener.on_stream_closed(stream)

    def _close_all(self) -> None:
        for stream in self._list_streams():
            stream.end(self._closer)
            self._close(stream)
        self._selector.close()
        self._server.close()
        self._wakeup_receiver.close()
        self._wakeup_sender.close()


def _open_server_socket(address: str) -> socket.socket:
    host, _, port = address.rpartition(':')
    server = socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG_COUNT)
    server.setblocking(False)
    return server
