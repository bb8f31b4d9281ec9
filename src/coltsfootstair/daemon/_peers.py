"""The addresses of the other daemons, and connections to their coordinators."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from coltsfootstair.errors import StoreUnavailableError
from coltsfootstair.inner import (
    BodyAborted,
    BodyChunk,
    CancelRequest,
    Credit,
    RequestHead,
)
from coltsfootstair.store import VirtualMachine

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.coordinator import Exchange
    from coltsfootstair.entry._types import CoordinatorLink
    from coltsfootstair.inner import Hub, Message, Stream
    from coltsfootstair.store import VmList

__all__ = ['PeerConnector', 'PeerDirectory', 'poll_interval_s']

MIN_POLL_INTERVAL_S = 1.0
"""Shortest time between two reads of the VM list, in seconds."""

MAX_LIST_READS_PER_S = 500
"""Most reads of the VM list that all daemons make together, a second."""


def poll_interval_s(daemon_count: int) -> float:
    """Return the seconds between two reads of the VM list by one daemon.

    The interval grows with the number of daemons, because the platform's rate limits do not
    grow. An older list only delays the reaction to a change of VMs; it makes nothing unsafe.

    :param daemon_count: number of VMs on the list
    """
    return max(MIN_POLL_INTERVAL_S, daemon_count / MAX_LIST_READS_PER_S)


class PeerDirectory:
    """Polls the platform's VM list; the last list stays while the platform is unreachable."""

    def __init__(self, vm_list: VmList, clock: Clock) -> None:
        self._vm_list = vm_list
        self._clock = clock
        self._listeners: list[Callable[[float, dict[str, VirtualMachine]], None]] = []
        self._vm_by_name: dict[str, VirtualMachine] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name='vm-list', daemon=True)

    def start(self) -> None:
        """Start to poll the list."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling the list."""
        self._stopping.set()

    def vm_by_name(self) -> dict[str, VirtualMachine]:
        """Return the VMs of the last list."""
        return self._vm_by_name

    def poll(self) -> None:
        """Read the list now; keep the last one if the platform is unreachable."""
        polled_at = self._clock.monotonic()
        try:
            self._vm_by_name = self._vm_list.list()
        except StoreUnavailableError:
            return
        for listener in self._listeners:
            listener(polled_at, self._vm_by_name)

    def subscribe(self, listener: Callable[[float, dict[str, VirtualMachine]], None]) -> None:
        """Call ``listener`` after each read of the list.

        Its arguments are the time before the read, in monotonic seconds, and the list.
        """
        self._listeners.append(listener)

    def adopt_if_empty(self, entries: list[tuple[str, str, str, bool]]) -> None:
        """Use the list of another daemon as long as none was read from the platform.

        :param entries: name, data centre, inner address and ``leaving`` of each VM
        """
        if not self._vm_by_name:
            self._vm_by_name = {entry[0]: VirtualMachine(*entry) for entry in entries}

    def _run(self) -> None:
        while not self._stopping.wait(poll_interval_s(len(self._vm_by_name))):
            self.poll()


class _StreamLink:
    """Sends messages to the coordinator task of another daemon, over a stream."""

    def __init__(self, stream: Stream) -> None:
        self.stream: Stream | None = stream
        self.send = stream.send


class _LocalLink:
    """Sends messages to the coordinator task of this daemon."""

    stream: Stream | None = None

    def __init__(
        self, open_exchange: Callable[[RequestHead], Exchange], cancel: Callable[[str], None]
    ) -> None:
        self._open_exchange = open_exchange
        self._cancel = cancel
        self._exchange: Exchange | None = None

    def send(self, message: Message) -> bool:
        """Pass a message to the coordinator task directly, without a stream; return true."""
        match message:
            case RequestHead():
                self._exchange = self._open_exchange(message)
            case BodyChunk() | BodyAborted() | Credit():
                if self._exchange is not None:
                    self._exchange.inbox.put(message)
            case CancelRequest(request_id):
                self._cancel(request_id)
        return True


class PeerConnector:
    """Connects to coordinators by the names of their daemons."""

    def __init__(
        self,
        own_name: str,
        hub: Hub,
        peers: PeerDirectory,
        open_exchange: Callable[[RequestHead], Exchange],
        cancel: Callable[[str], None],
    ) -> None:
        self._own_name = own_name
        self._hub = hub
        self._peers = peers
        self._open_exchange = open_exchange
        self._cancel = cancel

    def connect(self, coordinator: str) -> CoordinatorLink | None:
        """Return a link to ``coordinator``; ``None`` if it can not be reached."""
        if coordinator == self._own_name:
            return _LocalLink(self._open_exchange, self._cancel)
        vm = self._peers.vm_by_name().get(coordinator)
        stream = self._hub.find_open_stream(coordinator)
        if stream is None and vm is not None:
            stream = self._hub.get_or_connect(coordinator, vm.inner_address)
        return None if stream is None else _StreamLink(stream)
