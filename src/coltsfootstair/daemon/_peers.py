"""The other daemons: where they are, and the ways to them."""

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
    from coltsfootstair.entry._types import LinkEnd
    from coltsfootstair.inner import Hub, Message, Stream
    from coltsfootstair.store import VmList

__all__ = ['PeerDirectory', 'PeerLink', 'poll_interval_s']

MIN_POLL_INTERVAL_S = 1.0
"""Least time between reads of the list, in seconds."""

MAX_LIST_READS_PER_S = 500
"""Reads of the list that all daemons together make at most, a second."""


def poll_interval_s(daemons: int) -> float:
    """Return the seconds between a daemon's reads of a list of so many daemons.

    The platform's rates don't grow with the fleet; a list that lags more delays what
    follows from it, and makes nothing unsafe.
    """
    return max(MIN_POLL_INTERVAL_S, daemons / MAX_LIST_READS_PER_S)


class PeerDirectory:
    """Follows the platform's VM list; the last list read stays while it can't be."""

    def __init__(self, vm_list: VmList, clock: Clock) -> None:
        self._vm_list = vm_list
        self._clock = clock
        self._listeners: list[Callable[[float, dict[str, VirtualMachine]], None]] = []
        self._vm_by_name: dict[str, VirtualMachine] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name='vm-list', daemon=True)

    def start(self) -> None:
        """Begin to follow the list."""
        self._thread.start()

    def stop(self) -> None:
        """End the task."""
        self._stopping.set()

    def vm_by_name(self) -> dict[str, VirtualMachine]:
        """Return the VMs last listed."""
        return self._vm_by_name

    def poll(self) -> None:
        """Read the list now, if it can be."""
        polled_at = self._clock.monotonic()
        try:
            self._vm_by_name = self._vm_list.list()
        except StoreUnavailableError:
            return
        for listener in self._listeners:
            listener(polled_at, self._vm_by_name)

    def subscribe(self, listener: Callable[[float, dict[str, VirtualMachine]], None]) -> None:
        """Call ``listener`` after each read of the list with when it was asked for."""
        self._listeners.append(listener)

    def adopt_if_empty(self, rows: list[tuple[str, str, str, bool]]) -> None:
        """Take a peer's list while there is none of the platform's."""
        if not self._vm_by_name:
            self._vm_by_name = {row[0]: VirtualMachine(*row) for row in rows}

    def _run(self) -> None:
        while not self._stopping.wait(poll_interval_s(len(self._vm_by_name))):
            self.poll()


class _StreamEnd:
    """The way to a coordinator in another process."""

    def __init__(self, stream: Stream) -> None:
        self.stream: Stream | None = stream
        self.send = stream.send


class _LocalEnd:
    """The way to this daemon's own coordinator task."""

    stream: Stream | None = None

    def __init__(
        self, open_exchange: Callable[[RequestHead], Exchange], cancel: Callable[[str], None]
    ) -> None:
        self._open_exchange = open_exchange
        self._cancel = cancel
        self._exchange: Exchange | None = None

    def send(self, message: Message) -> bool:
        """Hand a message over without a stream between."""
        match message:
            case RequestHead():
                self._exchange = self._open_exchange(message)
            case BodyChunk() | BodyAborted() | Credit():
                if self._exchange is not None:
                    self._exchange.inbox.put(message)
            case CancelRequest(request_id):
                self._cancel(request_id)
        return True


class PeerLink:
    """Opens ways to coordinators by the daemon's name."""

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

    def connect(self, coordinator: str) -> LinkEnd | None:
        """Return the way to ``coordinator``, or ``None`` if it can't be reached."""
        if coordinator == self._own_name:
            return _LocalEnd(self._open_exchange, self._cancel)
        vm = self._peers.vm_by_name().get(coordinator)
        stream = self._hub.open_stream(coordinator)
        if stream is None and vm is not None:
            stream = self._hub.stream_to(coordinator, vm.inner)
        return None if stream is None else _StreamEnd(stream)
