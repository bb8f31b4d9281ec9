"""The daemon's part in choosing a keeper, and its work while it is the keeper."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import structlog

from coltsfootstair.errors import StoreConflictError, StoreUnavailableError
from coltsfootstair.keyspace._broadcast import Broadcast, unpack_changes
from coltsfootstair.keyspace._grant_expiry import CLOCK_RATE, TRANSIT_S
from coltsfootstair.keyspace._lease import (
    ALONE_PAUSE_S,
    SILENCE_S,
    ElectionState,
    KeeperLease,
    decode_lease,
    encode_lease,
    may_take_over,
)
from coltsfootstair.keyspace._reports import PEER_MEMORY_S, ReportBook
from coltsfootstair.keyspace._services import ServiceKeepers
from coltsfootstair.keyspace._suspects import Suspects
from coltsfootstair.keyspace._view import KIND, LEASE_NAME
from coltsfootstair.peers import (
    Heartbeat,
    Message,
    ObjectsUpdate,
    Report,
    TableUpdate,
)

if TYPE_CHECKING:
    from coltsfootstair.http1 import Address
    from coltsfootstair.keyspace._dependencies import Channel, KeeperDependencies
    from coltsfootstair.objects import RelayedChanges, StoredObject

__all__ = ['Keeper']

logger = structlog.get_logger()

REPORT_S = 0.3
"""Seconds between a daemon's reports; a third of the silence after which the keeper is
replaced."""

STAGGER_S = 0.2
"""Daemons that would take over wait for up to this long, in seconds, so that as a rule one
of them does before the others try."""

CONFIRM_S = 0.8
"""Seconds between a keeper's reads of its lease."""

CONFIRM_TIMEOUT_S = 0.8
"""How long such a read may take, in seconds."""

FRESH_S = 1.2
"""How long ago the keeper must have had an answer of the store for other daemons to rely on
it, in seconds; with a beat and a call of their own they know of a leaving server within 1.6 s,
and have 2 s to leave it alone."""

CONFIRM_RETRY_S = 0.5
"""Seconds to the next read of the lease when one got no answer."""

COUNT_S = 3.0
"""How long after a take-over the daemons that report are counted, in seconds."""

ISOLATED_S = 3.0
"""How long a keeper that has neither the store nor other daemons goes on renewing, in
seconds."""

OUTAGE_LEASE_S = 10.0
"""How long a keeper without the store goes on renewing while most daemons report to it that
they are without it too, in seconds."""

WEAK_DELAY_S = 0.6
"""How much longer the weakest VM waits than a strong one before it takes over, in seconds:
the keeper sends each change to all daemons."""

HOLD_S = 2.5
"""How long keys are granted for, in seconds: renewed three times over, it bears the change
of a keeper; a lost owner's keys wait for it to run out."""


class Keeper:
    """Takes part in the choice of a keeper, and is one while it holds the lease."""

    def __init__(self, name: str, address: Address, parts: KeeperDependencies) -> None:
        self.name = name
        self.daemon_count = 0
        self._address = address
        self._parts = parts
        self._lease: KeeperLease | None = None
        self._leading: asyncio.Task[None] | None = None
        self._reports = ReportBook(parts.clock)
        self._broadcast = Broadcast(self._reports, address)
        self._services = ServiceKeepers(
            parts,
            self._broadcast,
            lambda: self.grant_duration_s,
            lambda: self.is_keeper,
            lambda epoch: self._step_down(f'a table was written under epoch {epoch}'),
            lambda: self.unresponsive_servers,
        )
        self._heard_at = parts.clock.monotonic()
        self._storeless_since: float | None = None
        self._alone_until = -math.inf
        self._most_daemons = 0
        self._took_over_at = -math.inf
        self._confirmed_at = -math.inf
        self._stopping = False
        self._woken = asyncio.Event()
        self._beaten = False
        self.admitted_share_by_server: dict[str, float] = {}
        self.unresponsive_servers: list[str] = []
        self._suspects = Suspects()
        parts.view.subscribe_lease(self._on_lease)

    @property
    def is_keeper(self) -> bool:
        """Whether this daemon is the keeper."""
        return self._lease is not None

    @property
    def known_daemon_count(self) -> int:
        """How many daemons there are, as last reported or written; 0 if not known."""
        lease = self._parts.view.lease
        return max(self.daemon_count, lease.daemons if lease is not None else 0)

    @property
    def grant_duration_s(self) -> float | None:
        """How long keys may be granted for now, in seconds; ``None`` if not at all."""
        now = self._parts.clock.monotonic()
        unconfirmed_s = now - self._confirmed_at
        if unconfirmed_s <= CONFIRM_S + CONFIRM_RETRY_S:
            return self._granted_s
        reports = self._reports.recent()
        storeless = sum(not report.store_reachable for report in reports)
        if self._is_majority(storeless) and unconfirmed_s <= OUTAGE_LEASE_S:
            return self._granted_s
        if unconfirmed_s <= CONFIRM_S + ISOLATED_S:
            return self._granted_s
        return None

    @property
    def _granted_s(self) -> float:
        return min(HOLD_S, self._parts.longest_hold_s)

    def attach(self, channel: Channel) -> None:
        """Use ``channel`` to talk with the other daemons."""
        self._broadcast.attach(channel)

    async def run(self) -> None:
        """Report, and take over when there is need, until cancelled."""
        last_at = self._parts.clock.monotonic()
        await self._start()
        while True:
            await self._pause()
            now = self._parts.clock.monotonic()
            self._turn_relay(now)
            self._report(now - last_at)
            last_at = now
            if self._stopping or self.is_keeper:
                continue
            if may_take_over(self._election_state(), now) is not None and await self._read():
                reason = may_take_over(self._election_state(), self._parts.clock.monotonic())
                if reason is not None:
                    await self._try_to_take_over(reason)

    def _turn_relay(self, now: float) -> None:
        heard = now - self._heard_at <= SILENCE_S and self._beaten
        self._parts.relay.turn(heard and not self.is_keeper and self._storeless_since is None)

    async def _start(self) -> None:
        """Read the tables; take over at once where this daemon's last life was keeper."""
        while not await self._read():
            await asyncio.sleep(REPORT_S)
        lease = self._parts.view.lease
        if lease is not None and lease.holder == self.name:
            self._heard_at = -math.inf

    async def _pause(self) -> None:
        self._woken.clear()
        try:
            async with asyncio.timeout(REPORT_S):
                await self._woken.wait()
        except TimeoutError:
            return

    async def _read(self) -> bool:
        """Read the lease and the tables from the store; false if it did not answer.

        What the keeper sends makes this needless as long as the keeper is heard.
        """
        try:
            listing = await self._parts.store.list(KIND)
        except StoreUnavailableError as error:
            logger.warning('keeper not looked up', reason=str(error))
            return False
        for item in listing.objects:
            self._parts.view.take(item)
        return True

    async def stop(self) -> None:
        """Give the lease back, so that another daemon takes over at once.

        While the store is away nobody could, and this daemon goes on as keeper until the
        lease is given back or the process ends.
        """
        self._stopping = True
        while (lease := self._lease) is not None:
            given_back = KeeperLease('', self._address, lease.epoch, self.known_daemon_count)
            try:
                await self._parts.store.replace(
                    KIND,
                    LEASE_NAME,
                    encode_lease(given_back),
                    expected_revision=self._parts.view.lease_revision,
                )
            except StoreUnavailableError as error:
                logger.warning('lease not given back', epoch=lease.epoch, reason=str(error))
                await asyncio.sleep(CONFIRM_RETRY_S)
                continue
            except StoreConflictError:
                self._step_down('the lease was written by another daemon')
                return
            logger.info('lease given back', epoch=lease.epoch)
            self._announce_end(lease)
            self._step_down('the daemon is stopping')

    def _announce_end(self, lease: KeeperLease) -> None:
        self._broadcast.send_to_all(
            Heartbeat('', lease.epoch, True, self.daemon_count, {}, [], {})
        )

    def close(self) -> None:
        """End the work of a keeper without a word to anybody."""
        self._step_down('the daemon ends')

    def on_message(self, message: Message, sender: Address) -> None:
        """Take a message of another daemon."""
        now = self._parts.clock.monotonic()
        match message:
            case Heartbeat():
                self._received_beat(message, now)
            case Report():
                self._received_report(message, sender, now)
            case ObjectsUpdate():
                lease = self._parts.view.lease
                if lease is not None and message.epoch >= lease.epoch:
                    self._parts.relayed(unpack_changes(message))
            case TableUpdate():
                self._received_table(message, now)

    def _received_beat(self, beat: Heartbeat, now: float) -> None:
        lease = self._parts.view.lease
        if self._lease is not None and beat.epoch > self._lease.epoch:
            self._step_down(f'{beat.keeper} is keeper under epoch {beat.epoch}')
        if lease is None or beat.epoch < lease.epoch:
            return
        if not beat.keeper:
            self._heard_at = -math.inf
            self._woken.set()
            return
        self._heard_at = now
        self._beaten = True
        self.daemon_count = max(1, beat.daemon_count)
        self._most_daemons = self.daemon_count
        self._parts.relay.announce(beat.revision_by_kind)
        self.admitted_share_by_server = beat.admitted_share_by_server
        self._note_silent(beat.unresponsive_servers)
        if beat.store_reachable:
            self._storeless_since = None
        elif self._storeless_since is None:
            self._storeless_since = now
        self._turn_relay(now)

    def _received_report(self, report: Report, sender: Address, now: float) -> None:
        if self._lease is None:
            return
        self._alone_until = -math.inf
        self._reports.note(report, sender)
        self._take_figures(report, now)
        self.admitted_share_by_server = self._services.admitted(now)
        beat = Heartbeat(
            self.name,
            self._lease.epoch,
            now - self._confirmed_at <= FRESH_S,
            len(self._reports.recent()),
            self.admitted_share_by_server,
            self.unresponsive_servers,
            self._parts.revisions(),
        )
        self._broadcast.send(beat, sender)
        self._services.send_missed(report, sender, now)

    def _received_table(self, update: TableUpdate, now: float) -> None:
        lease = self._parts.view.lease
        if lease is not None and update.epoch >= lease.epoch:
            self._heard_at = now
            self._parts.view.take_update(update)

    def publish(self, changes: RelayedChanges) -> None:
        """Pass on what this daemon read, if it is the keeper; much at once is only noted."""
        if self._lease is not None:
            self._broadcast.publish(changes, self._lease.epoch)

    def _note_silent(self, names: list[str]) -> None:
        if names != self.unresponsive_servers:
            logger.info('silent backend servers', servers=names)
            self.unresponsive_servers = names

    def _take_figures(self, report: Report, now: float) -> None:
        self._suspects.reported(report, now)
        self._note_silent(self._suspects.names(now))
        self._services.take_figures(report, now)

    def _is_majority(self, daemons: int) -> bool:
        """Whether ``daemons`` are most of those that were counted last."""
        return self._most_daemons > 0 and 2 * daemons > self._most_daemons

    def _report(self, seconds: float) -> None:
        lease = self._parts.view.lease
        if lease is None or not lease.holder:
            return
        revisions = self._parts.view.revision_by_service()
        works = self._parts.store_works()
        report = self._parts.collect(lease.epoch, works, seconds, revisions)
        now = self._parts.clock.monotonic()
        if self._lease is not None:
            self._reports.note(report, self._address)
            self._take_figures(report, now)
            self.admitted_share_by_server = self._services.admitted(now)
            self.daemon_count = max(1, len(self._reports.recent()))
            if now - self._took_over_at > COUNT_S:
                self._most_daemons = max(self._most_daemons, self.daemon_count)
        elif lease.holder != self.name:
            self._broadcast.send(report, lease.address)

    def _election_state(self) -> ElectionState:
        return ElectionState(
            self._parts.view.lease,
            self._heard_at,
            self._storeless_since,
            self._parts.store_works(),
            self._alone_until,
        )

    def _on_lease(self) -> None:
        lease = self._parts.view.lease
        self._heard_at = self._parts.clock.monotonic()
        self._beaten = False
        self._storeless_since = None
        if self._lease is not None and lease is not None and lease.epoch > self._lease.epoch:
            self._step_down(f'{lease.holder} has taken over')

    async def _try_to_take_over(self, reason: str) -> None:
        seen = self._parts.view.lease_revision
        weakness = 1.0 - self._parts.strength
        delay_s = STAGGER_S * self._parts.random_source.random() + WEAK_DELAY_S * weakness
        await asyncio.sleep(delay_s)
        view = self._parts.view
        if view.lease_revision != seen:
            return
        now = self._parts.clock.monotonic()
        if may_take_over(self._election_state(), now) is None:
            return
        epoch = 1 if view.lease is None else view.lease.epoch + 1
        lease = KeeperLease(self.name, self._address, epoch, self.known_daemon_count)
        try:
            if view.lease is None:
                item = await self._parts.store.create(KIND, LEASE_NAME, encode_lease(lease))
            else:
                item = await self._parts.store.replace(
                    KIND, LEASE_NAME, encode_lease(lease), expected_revision=seen
                )
        except StoreConflictError:
            logger.info('another daemon has taken over', reason=reason)
            return
        except StoreUnavailableError as error:
            logger.warning('take-over not answered', reason=str(error))
            return
        logger.info('became keeper', reason=reason, epoch=epoch)
        given_back = view.lease is not None and not view.lease.holder
        view.take(item)
        self._lead(lease, given_back=given_back)

    def _lead(self, lease: KeeperLease, *, given_back: bool) -> None:
        now = self._parts.clock.monotonic()
        self._lease = lease
        self._confirmed_at = now
        self._took_over_at = now
        self._alone_until = now + ALONE_PAUSE_S
        self._reports.clear()
        self._suspects = Suspects()
        self._leading = asyncio.create_task(self._run_as_keeper(lease, given_back=given_back))

    def _step_down(self, reason: str) -> None:
        lease, self._lease = self._lease, None
        if lease is None:
            return
        logger.info('no longer keeper', reason=reason, epoch=lease.epoch)
        if self._leading is not None:
            self._leading.cancel()
            self._leading = None
        self._services.close()

    async def _run_as_keeper(self, lease: KeeperLease, *, given_back: bool) -> None:
        now = self._parts.clock.monotonic()
        hold_ends_s = self._granted_s * CLOCK_RATE + TRANSIT_S
        unknown_until = now + OUTAGE_LEASE_S + CONFIRM_S + hold_ends_s
        if given_back:
            unknown_until = now + hold_ends_s
        if lease.epoch == 1:
            unknown_until = now
        while True:
            self._services.match(lease.epoch, unknown_until)
            read_at = self._parts.clock.monotonic()
            try:
                async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                    item = await self._parts.store.get(KIND, LEASE_NAME)
            except (StoreUnavailableError, TimeoutError) as error:
                logger.warning('lease not confirmed', epoch=lease.epoch, reason=repr(error))
                await asyncio.sleep(CONFIRM_RETRY_S)
                continue
            if item is not None and decode_lease(item.value).epoch != lease.epoch:
                self._parts.view.take(item)
                self._step_down('the store names another keeper')
                return
            self._confirmed_at = read_at
            if item is not None:
                await self._note_daemons(item)
            for _ in range(4):
                await asyncio.sleep(CONFIRM_S / 4)
                if self._is_majority(len(self._reports.recent())):
                    # The last keeper no longer hears most daemons, and stops.
                    now = self._parts.clock.monotonic()
                    ends_at = now + PEER_MEMORY_S + ISOLATED_S + hold_ends_s
                    unknown_until = min(unknown_until, ends_at)
                self._services.match(lease.epoch, unknown_until)

    async def _note_daemons(self, item: StoredObject) -> None:
        """Write how many daemons there are, for those that start while nobody is heard."""
        lease = decode_lease(item.value)
        if not lease.daemons * 0.75 <= self._most_daemons <= lease.daemons * 1.25:
            noted = encode_lease(lease._replace(daemons=self._most_daemons))
            try:
                written = await self._parts.store.replace(
                    KIND, LEASE_NAME, noted, expected_revision=item.revision
                )
            except (StoreConflictError, StoreUnavailableError) as error:
                logger.info('number of daemons not written', reason=str(error))
                return
            self._parts.view.take(written)
