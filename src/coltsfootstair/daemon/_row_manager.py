"""Executes the effects of the decisions on the rows of one coordinated backend server."""

from __future__ import annotations

import math
from collections.abc import Callable
from concurrent.futures import Executor
from typing import TYPE_CHECKING, NamedTuple

import structlog

from coltsfootstair.admission import ProbeResult
from coltsfootstair.backend import Grant
from coltsfootstair.clock import Clock
from coltsfootstair.coordinator import (
    CoordinationAllowed,
    CoordinationRevoked,
    Coordinator,
    RowsGranted,
    RowsOwned,
    ServerProbed,
)
from coltsfootstair.errors import (
    CallFailedError,
    ProtocolError,
    StoreConflictError,
    StoreUnavailableError,
)
from coltsfootstair.ownership import (
    SHARDS_PER_TABLE,
    OwnershipState,
    Shard,
    decode_shard,
    encode_shard,
    handle,
    initial_state,
    is_unresponsive,
    row_epoch_of,
    shard_key,
)
from coltsfootstair.ownership import _messages as row_messages
from coltsfootstair.store import Replica, Store, VersionedObject

if TYPE_CHECKING:
    from coltsfootstair.backend import BackendServerPort
    from coltsfootstair.document import BackendServer, Service
    from coltsfootstair.ownership._grants import GrantCall

__all__ = ['RowDependencies', 'RowManager', 'group_into_ranges']

logger = structlog.get_logger()

SERVER_CALL_TIMEOUT_S = 0.2
"""Time limit of one grant call or probe, in seconds."""

PROBE_INTERVAL_S = 0.2
"""Interval at which the server is probed for admission, in seconds."""


class RowDependencies(NamedTuple):
    """What a row manager works with.

    :param store_executor: runs calls to the store
    :param server_executor: runs calls to backend servers
    :param post: runs a callable on the ownership task
    :param find_standby: returns the standby that the lease record of a server names
    """

    clock: Clock
    store: Store
    replica: Replica
    coordinator: Coordinator
    store_executor: Executor
    server_executor: Executor
    post: Callable[[Callable[[], None]], None]
    find_standby: Callable[[str], str]


class RowManager:
    """Manages the rows of one backend server during one lease of its coordinator.

    Used on the ownership task's thread only. ``pending_write_count`` is the number of
    writes to the store that have not ended.
    """

    def __init__(
        self,
        dependencies: RowDependencies,
        server: BackendServer,
        service: Service,
        client: BackendServerPort,
        lease_epoch: int,
    ) -> None:
        self._dependencies = dependencies
        self.server = server
        self._service = service
        self._client = client
        self._state: OwnershipState = initial_state(
            server.name,
            lease_epoch,
            checks_grants=server.checks_grants and service.divided_by_key,
            now=self._now(),
        )
        self._lease_epoch = lease_epoch
        self._probed_at = self._now()
        self._is_probing = False
        self._is_stopped = False
        self.pending_write_count = 0

    def start(self) -> None:
        """Allow the coordinator task to send requests to the server."""
        self._dependencies.coordinator.post(CoordinationAllowed(self.server, self._service))

    def stop(self) -> None:
        """Forbid the coordinator task to send further requests to the server."""
        # An expiry in the past ends the permission to serve any row.
        self.apply_event(row_messages.RowsTick(-math.inf))
        self._is_stopped = True
        self._dependencies.coordinator.post(CoordinationRevoked(self.server.name))

    def may_resume(self, server: BackendServer, service: Service, lease_epoch: int) -> bool:
        """Return whether this manager may be used again under a lease that is confirmed now.

        Under the same epoch no other daemon can have coordinated the server in between, so the
        state is still valid, apart from later changes of the table's shards.
        """
        confirmed = (server, service, lease_epoch)
        return confirmed == (self.server, self._service, self._lease_epoch)

    def resume(self) -> None:
        """Resume after ``stop``, with the shards as they are in the replica now."""
        self._is_stopped = False
        self.start()
        for number in range(SHARDS_PER_TABLE):
            self.apply_object(
                self._dependencies.replica.get(shard_key(self.server.service, number))
            )

    def update_server(self, server: BackendServer, service: Service) -> None:
        """Apply the server and its service as the operators' document has them now."""
        if (server, service) != (self.server, self._service):
            self.server, self._service = server, service
            self.start()

    def is_unresponsive(self) -> bool:
        """Return whether the server does not answer."""
        return is_unresponsive(self._state, self._now())

    def tick(self, lease_expiry: float) -> None:
        """Apply the passing of time, and send a probe if one is due.

        :param lease_expiry: until when this daemon may coordinate the server, in monotonic
            seconds
        """
        self.apply_event(row_messages.RowsTick(lease_expiry))
        if not self._is_probing and self._now() - self._probed_at >= PROBE_INTERVAL_S:
            self._is_probing = True
            self._probed_at = self._now()
            self._dependencies.server_executor.submit(self._send_probe, for_rows=False)

    def apply_object(self, item: VersionedObject) -> None:
        """Apply a shard that has changed in the replica."""
        shard = _decode_shard_object(item)
        if shard is not None and item.key == shard_key(self.server.service, shard.number):
            self.apply_event(row_messages.ShardObserved(shard, item.version))

    def apply_event(self, event: row_messages.RowsEvent) -> None:
        """Apply an event; while stopped, update the state without executing the effects."""
        self._state, effects = handle(self._state, event, self._now())
        if self._is_stopped:
            return
        for effect in effects:
            self._execute(effect)

    def _execute(self, effect: row_messages.RowsEffect) -> None:
        match effect:
            case row_messages.ReadShard(number):
                self._dependencies.store_executor.submit(self._read_shard, number)
            case row_messages.WriteShard(shard, expected):
                self.pending_write_count += 1
                self._dependencies.store_executor.submit(self._write_shard, shard, expected)
            case row_messages.SendGrant(call):
                self._dependencies.server_executor.submit(self._send_grant, call)
            case row_messages.ProbeServer():
                self._dependencies.server_executor.submit(self._send_probe, for_rows=True)
            case row_messages.AdmitRows():
                self._dependencies.coordinator.post(self._build_rows_owned(effect))
                self._dependencies.coordinator.post(self._build_rows_granted(effect))

    def apply_idle_rows(self, granted_rows: RowsGranted, rows: frozenset[int]) -> None:
        """Apply that rows are idle.

        The report is ignored if the granted rows have changed since the coordinator task made
        it.
        """
        if self._state.admitted is not None and granted_rows == self._build_rows_granted(
            self._state.admitted
        ):
            self.apply_event(row_messages.RowRequestsEnded(rows))

    def _build_rows_owned(self, effect: row_messages.AdmitRows) -> RowsOwned:
        tokens = effect.token_by_row.items()
        epoch_by_row = {row: row_epoch_of(token) for row, token in tokens}
        standby = self._dependencies.find_standby(self.server.name)
        return RowsOwned(
            self.server.name, epoch_by_row, effect.stopping, standby, self._lease_epoch
        )

    def _build_rows_granted(self, effect: row_messages.AdmitRows) -> RowsGranted:
        if not self._service.divided_by_key:
            effect = effect._replace(token_by_row={}, hot_row_by_key={})
        return RowsGranted(self.server.name, *effect)

    def _post_event(self, event: row_messages.RowsEvent) -> None:
        self._dependencies.post(lambda: self.apply_event(event))

    def _read_shard(self, number: int) -> None:
        key = shard_key(self.server.service, number)
        try:
            item = self._dependencies.store.get(key)
        except StoreUnavailableError:
            self._post_event(row_messages.ShardCallUnanswered(number))
            return
        shard = _decode_shard_object(item) or Shard(number, {})
        self._dependencies.replica.apply([item] if item.version else [])
        self._post_event(
            row_messages.ShardObserved(shard, item.version, read_under_lease=True)
        )

    def _write_shard(self, shard: Shard, expected: int) -> None:
        key, value = shard_key(self.server.service, shard.number), encode_shard(shard)
        event: row_messages.RowsEvent
        try:
            version = self._dependencies.store.put(key, value, expected_version=expected)
            event = row_messages.ShardObserved(shard, version)
            self._dependencies.replica.apply([VersionedObject(key, version, value)])
        except StoreConflictError:
            event = row_messages.ShardWriteConflicted(shard.number)
        except StoreUnavailableError:
            event = row_messages.ShardCallUnanswered(shard.number)
        self._dependencies.post(self._on_write_ended)
        self._post_event(event)

    def _on_write_ended(self) -> None:
        self.pending_write_count -= 1

    def _send_grant(self, call: GrantCall) -> None:
        sent_at = self._now()
        try:
            reply = self._client.grant(
                group_into_ranges(call),
                call.server_expiry,
                call.instance,
                SERVER_CALL_TIMEOUT_S,
            )
        except CallFailedError as error:
            self._post_event(
                row_messages.GrantUnanswered(call.number, connect_failed=not error.dispatched)
            )
            return
        self._post_event(
            row_messages.GrantAnswered(
                call.number, reply.accepted, reply.instance, reply.clock, sent_at
            )
        )

    def _send_probe(self, *, for_rows: bool) -> None:
        """Probe the server.

        :param for_rows: whether the decisions on rows requested the probe; admission gets its
            result in any case
        """
        sent_at = self._now()
        event: row_messages.RowsEvent
        try:
            health = self._client.probe(SERVER_CALL_TIMEOUT_S)
            probe_result = ProbeResult(True, health.instance, health.cold, health.load)
            event = row_messages.ProbeAnswered(health.instance, health.clock, sent_at)
        except CallFailedError as error:
            probe_result = ProbeResult(is_answered=False)
            event = row_messages.ProbeUnanswered(connect_failed=not error.dispatched)
        self._dependencies.post(
            lambda: self._on_probe_ended(probe_result, event if for_rows else None)
        )

    def _on_probe_ended(
        self, probe_result: ProbeResult, event: row_messages.RowsEvent | None
    ) -> None:
        if not self._is_stopped:
            self._dependencies.coordinator.post(ServerProbed(self.server.name, probe_result))
        if event is None:
            self._is_probing = False
        else:
            self.apply_event(event)

    def _now(self) -> float:
        return self._dependencies.clock.monotonic()


def group_into_ranges(call: GrantCall) -> list[Grant]:
    """Return the rows of a grant call as ranges of adjacent rows with the same token."""
    ranges: list[Grant] = []
    for row, token in sorted(call.token_by_row.items()):
        if ranges and ranges[-1].last == row - 1 and ranges[-1].token == token:
            ranges[-1] = Grant(ranges[-1].first, row, token)
        else:
            ranges.append(Grant(row, row, token))
    return ranges


def _decode_shard_object(item: VersionedObject) -> Shard | None:
    if not item.value:
        return None
    try:
        return decode_shard(item.value)
    except ProtocolError:
        logger.warning('table shard can not be decoded', key=item.key, version=item.version)
        return None
