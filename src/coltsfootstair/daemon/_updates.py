"""Connects the tasks of the updates package to the hub and the VM list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.inner import Hello, UpdatesAnswer, UpdatesRequest, VmListing
from coltsfootstair.updates import DaemonTopology, PeerFeed, UpdatePublisher, is_watcher

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock
    from coltsfootstair.daemon._inbound import InboundDispatcher
    from coltsfootstair.daemon._peers import PeerDirectory
    from coltsfootstair.inner import Hub, Message, Stream
    from coltsfootstair.settings import DaemonSettings
    from coltsfootstair.updates import ReplicaTracker

__all__ = ['UpdateService']


class UpdateService:
    """Requests updates from other daemons and answers their requests."""

    def __init__(
        self,
        settings: DaemonSettings,
        clock: Clock,
        hub: Hub,
        inbound: InboundDispatcher,
        peers: PeerDirectory,
        replica_tracker: ReplicaTracker,
    ) -> None:
        self._settings = settings
        self._hub = hub
        self._peers = peers
        self._data_centre_by_peer: dict[str, str] = {}
        self._publisher = UpdatePublisher(replica_tracker, clock, peers.vm_by_name)
        self._feed = PeerFeed(
            replica_tracker,
            clock,
            self,
            self.topology,
            self._find_data_centre,
            lambda: bool(peers.vm_by_name()),
        )
        inbound.add_handler(Hello, self._on_hello)
        inbound.add_handler(UpdatesRequest, self._on_updates_request)
        inbound.add_handler(UpdatesAnswer, self._on_updates_answer)
        inbound.add_handler(VmListing, self._on_vm_list)

    def start(self) -> None:
        """Start to request updates and to answer requests."""
        self._publisher.start()
        self._feed.start()

    def stop(self) -> None:
        """Stop the tasks."""
        self._feed.stop()
        self._publisher.stop()

    def is_watcher(self) -> bool:
        """Return whether this daemon watches the store for its data centre."""
        return is_watcher(self.topology())

    def topology(self) -> DaemonTopology:
        """Return what is known of the other daemons."""
        vms = self._peers.vm_by_name().values()
        return DaemonTopology(
            self._settings.name,
            self._settings.data_centre,
            {vm.name: vm.data_centre for vm in vms},
            self._hub.list_connected_peers(),
        )

    def find_open_stream(self, peer: str) -> Stream | None:
        """Return the open stream to ``peer`` if there is one; never blocks."""
        return self._hub.find_open_stream(peer)

    def connect(self, peer: str) -> Stream | None:
        """Return a stream to ``peer``; may block for a while."""
        vm = self._peers.vm_by_name().get(peer)
        return None if vm is None else self._hub.get_or_connect(peer, vm.inner_address)

    def _find_data_centre(self, peer: str) -> str:
        vm = self._peers.vm_by_name().get(peer)
        return vm.data_centre if vm else self._data_centre_by_peer.get(peer, '')

    def _on_hello(self, _stream: Stream, message: Message) -> None:
        if isinstance(message, Hello):
            self._data_centre_by_peer[message.name] = message.data_centre

    def _on_updates_request(self, stream: Stream, message: Message) -> None:
        if isinstance(message, UpdatesRequest):
            self._publisher.on_request(stream, message)

    def _on_updates_answer(self, stream: Stream, message: Message) -> None:
        if isinstance(message, UpdatesAnswer):
            self._feed.on_answer(stream.peer, message)

    def _on_vm_list(self, _stream: Stream, message: Message) -> None:
        if isinstance(message, VmListing):
            self._peers.adopt_if_empty(message.rows)
