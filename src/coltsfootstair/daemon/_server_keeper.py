"""Carries out what the decisions on one coordinated server's rows ask for."""

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
    Coordinator,
    RightsGiven,
    RightsTaken,
    RowsGranted,
    RowsOwned,
    ServerObserved,
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
from coltsfootstair.ownership import _messages as om
from coltsfootstair.store import Replica, Store, Versioned

if TYPE_CHECKING:
    from coltsfootstair.backend import BackendServerPort
    from coltsfootstair.document import BackendServer, Service
    from coltsfootstair.ownership._grants import GrantCall

__all__ = ['ServerKeeper', 'ServerParts', 'ranges_of']

logger = structlog.get_logger()

GRANT_TIMEOUT_S = 0.2
PROBE_EVERY_S = 0.2


class ServerParts(NamedTuple):
    """What a server keeper works with.

    :param post: has a callable run on the ownership task
    :param standby: tells which daemon a server's record names as its standby
    """

    clock: Clock
    store: Store
    replica: Replica
    coordinator: Coordinator
    store_calls: Executor
    server_calls: Executor
    post: Callable[[Callable[[], None]], None]
    standby: Callable[[str], str]


class ServerKeeper:
    """One backend server during one lease; used on the ownership task's thread only."""

    def __init__(
        self,
        parts: ServerParts,
        server: BackendServer,
        service: Service,
        port: BackendServerPort,
        lease_epoch: int,
    ) -> None:
        self._parts = parts
        self.server = server
        self._service = service
        self._port = port
        self._owned: OwnershipState = initial_state(
            server.name,
            lease_epoch,
            checks_grants=server.checks_grants and service.divided_by_key,
            now=self._now(),
        )
        self._lease_epoch = lease_epoch
        self._probed_at = self._now()
        self._probing = False
        self._ended = False
        self.writes = 0

    def begin(self) -> None:
        """Let the coordinator task act for the server."""
        self._parts.coordinator.tell(RightsGiven(self.server, self._service))

    def end(self) -> None:
        """Stop the coordinator task from acting for the server."""
        self.take(om.RowsTick(-math.inf))
        self._ended = True
        self._parts.coordinator.tell(RightsTaken(self.server.name))

    def may_resume(self, server: BackendServer, service: Service, lease_epoch: int) -> bool:
        """Return whether rights that begin now are those that ended here.

        Under the same epoch nobody else can have acted in between, so all that is known
        still holds, but for what the table's shards have taken in since.
        """
        same = (server, service, lease_epoch)
        return same == (self.server, self._service, self._lease_epoch)

    def resume(self) -> None:
        """Go on where ``end`` stopped."""
        self._ended = False
        self.begin()
        for number in range(SHARDS_PER_TABLE):
            self.take_object(self._parts.replica.get(shard_key(self.server.service, number)))

    def follow(self, server: BackendServer, service: Service) -> None:
        """Take other limits of the operators' document over."""
        if (server, service) != (self.server, self._service):
            self.server, self._service = server, service
            self.begin()

    def is_lost(self) -> bool:
        """Return whether the server does not answer."""
        return is_unresponsive(self._owned, self._now())

    def tick(self, lease_expiry: float) -> None:
        """Let time pass."""
        self.take(om.RowsTick(lease_expiry))
        if not self._probing and self._now() - self._probed_at >= PROBE_EVERY_S:
            self._probing = True
            self._probed_at = self._now()
            self._parts.server_calls.submit(self._probe, for_rows=False)

    def take_object(self, item: Versioned) -> None:
        """Follow a change of the replica."""
        shard = _decoded(item)
        if shard is not None and item.key == shard_key(self.server.service, shard.number):
            self.take(om.ShardObserved(shard, item.version))

    def take(self, event: om.RowsEvent) -> None:
        """Take an event in; without rights it changes only what is known."""
        self._owned, effects = handle(self._owned, event, self._now())
        if self._ended:
            return
        for effect in effects:
            self._perform(effect)

    def _perform(self, effect: om.RowsEffect) -> None:
        match effect:
            case om.ReadShard(number):
                self._parts.store_calls.submit(self._read, number)
            case om.WriteShard(shard, expected):
                self.writes += 1
                self._parts.store_calls.submit(self._write, shard, expected)
            case om.SendGrant(order):
                self._parts.server_calls.submit(self._grant, order)
            case om.ProbeServer():
                self._parts.server_calls.submit(self._probe, for_rows=True)
            case om.AdmitRows():
                self._parts.coordinator.tell(self._rows_owned(effect))
                self._parts.coordinator.tell(self._granted(effect))

    def take_idle(self, granted: RowsGranted, rows: frozenset[int]) -> None:
        """Take the coordinator task's word on rows, if it knew what is admitted now."""
        if self._owned.admitted is not None and granted == self._granted(self._owned.admitted):
            self.take(om.RowsIdle(rows))

    def _rows_owned(self, admitted: om.AdmitRows) -> RowsOwned:
        tokens = admitted.token_by_row.items()
        epoch_by_row = {row: row_epoch_of(token) for row, token in tokens}
        standby = self._parts.standby(self.server.name)
        return RowsOwned(
            self.server.name, epoch_by_row, admitted.stopping, standby, self._lease_epoch
        )

    def _granted(self, admitted: om.AdmitRows) -> RowsGranted:
        if not self._service.divided_by_key:
            admitted = admitted._replace(token_by_row={}, hot_row_by_key={})
        return RowsGranted(self.server.name, *admitted)

    def _post(self, event: om.RowsEvent) -> None:
        self._parts.post(lambda: self.take(event))

    def _read(self, number: int) -> None:
        key = shard_key(self.server.service, number)
        try:
            item = self._parts.store.get(key)
        except StoreUnavailableError:
            self._post(om.ShardCallUnanswered(number))
            return
        shard = _decoded(item) or Shard(number, {})
        self._parts.replica.apply([item] if item.version else [])
        self._post(om.ShardObserved(shard, item.version, read_under_lease=True))

    def _write(self, shard: Shard, expected: int) -> None:
        key, value = shard_key(self.server.service, shard.number), encode_shard(shard)
        event: om.RowsEvent
        try:
            version = self._parts.store.put(key, value, expected=expected)
            event = om.ShardObserved(shard, version)
            self._parts.replica.apply([Versioned(key, version, value)])
        except StoreConflictError:
            event = om.ShardWriteConflicted(shard.number)
        except StoreUnavailableError:
            event = om.ShardCallUnanswered(shard.number)
        self._parts.post(self._wrote)
        self._post(event)

    def _wrote(self) -> None:
        self.writes -= 1

    def _grant(self, order: GrantCall) -> None:
        asked_at = self._now()
        try:
            reply = self._port.grant(
                ranges_of(order), order.server_expiry, order.instance, GRANT_TIMEOUT_S
            )
        except CallFailedError as error:
            self._post(om.GrantFailed(order.number, connect_failed=not error.dispatched))
            return
        self._post(
            om.GrantAnswered(
                order.number, reply.accepted, reply.instance, reply.clock, asked_at
            )
        )

    def _probe(self, *, for_rows: bool) -> None:
        """Probe the server, for the rows' sake or for the admission's alone."""
        asked_at = self._now()
        event: om.RowsEvent
        try:
            health = self._port.probe(GRANT_TIMEOUT_S)
            observed = ProbeResult(True, health.instance, health.cold, health.load)
            event = om.ProbeAnswered(health.instance, health.clock, asked_at)
        except CallFailedError as error:
            observed = ProbeResult(ok=False)
            event = om.ProbeFailed(connect_failed=not error.dispatched)
        self._parts.post(lambda: self._probed(observed, event if for_rows else None))

    def _probed(self, observed: ProbeResult, event: om.RowsEvent | None) -> None:
        if not self._ended:
            self._parts.coordinator.tell(ServerObserved(self.server.name, observed))
        if event is None:
            self._probing = False
        else:
            self.take(event)

    def _now(self) -> float:
        return self._parts.clock.monotonic()


def ranges_of(order: GrantCall) -> list[Grant]:
    """Return the rows of an order as ranges of neighbours with the same token."""
    ranges: list[Grant] = []
    for row, token in sorted(order.token_by_row.items()):
        if ranges and ranges[-1].last == row - 1 and ranges[-1].token == token:
            ranges[-1] = Grant(ranges[-1].first, row, token)
        else:
            ranges.append(Grant(row, row, token))
    return ranges


def _decoded(item: Versioned) -> Shard | None:
    if not item.value:
        return None
    try:
        return decode_shard(item.value)
    except ProtocolError:
        logger.warning('shard refused', key=item.key, version=item.version)
        return None
