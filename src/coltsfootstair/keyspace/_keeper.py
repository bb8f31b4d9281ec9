"""Election of the keeper, and the work of a daemon while it is the keeper."""

from __future__ import annotations

import asyncio
import math
import secrets
from typing import TYPE_CHECKING

import structlog
from msgspec import structs

from coltsfootstair.crashes import TrialScheduler
from coltsfootstair.errors import ProtocolError, StoreConflictError, StoreUnavailableError
from coltsfootstair.http1 import Address
from coltsfootstair.keyspace._broadcast import Broadcaster, read_objects_update
from coltsfootstair.keyspace._delta_parts import DeltaAssembler
from coltsfootstair.keyspace._grant_expiry import CLOCK_DRIFT_FACTOR, MAX_LATE_ARRIVAL_S
from coltsfootstair.keyspace._lease import (
    EARLIER_ERA_REASON,
    ISOLATED_TAKEOVER_PAUSE_S,
    KEEPER_TIMEOUT_S,
    ElectionState,
    KeeperLease,
    compute_epoch,
    decode_lease,
    encode_lease,
    era_of_epoch,
    find_takeover_reason,
    highest_epoch_at,
)
from coltsfootstair.keyspace._owner_grants import GRANT_TIMEOUT_S
from coltsfootstair.keyspace._reports import MAX_REPORT_AGE_S, LatestReports
from coltsfootstair.keyspace._services import ServiceKeepers
from coltsfootstair.keyspace._unresponsive import UnresponsiveDetector
from coltsfootstair.keyspace._version_lag import VersionLag
from coltsfootstair.keyspace._view import LEASE_NAME, OWNERSHIP_KIND
from coltsfootstair.peers import (
    DeltaPart,
    Heartbeat,
    LimitStatement,
    Message,
    ObjectsUpdate,
    PermitAnswer,
    PermitRequest,
    Report,
    SuspectStatement,
    TableUpdate,
    TrialAnswer,
    TrialRequest,
    WorkspacePermitRequest,
)
from coltsfootstair.permits import PermitIssuer
from coltsfootstair.workspaces import FALLBACK_S, WorkspaceIssuer

if TYPE_CHECKING:
    from coltsfootstair.keyspace._dependencies import Channel, KeeperDependencies
    from coltsfootstair.keyspace._table import KeyTable
    from coltsfootstair.keyspace._version_lag import LaggingDaemon
    from coltsfootstair.objects import RelayedChanges, StoredObject

__all__ = ['Keeper']

logger = structlog.get_logger()

REPORT_INTERVAL_S = 0.3
"""Seconds between reports of a daemon, and so between heartbeats, which answer them; a third
of the time after which a keeper without heartbeats is replaced."""

MAX_TAKEOVER_JITTER_S = 0.2
"""Longest random delay before a takeover, in seconds, so that usually one daemon has taken
over before the others try."""

LEASE_CHECK_INTERVAL_S = 0.8
"""Seconds between reads of the keeper lease by the keeper."""

LEASE_CHECK_TIMEOUT_S = 0.8
"""Longest duration of a read of the keeper lease by the keeper, in seconds."""

MAX_STORE_ANSWER_AGE_S = 1.2
"""Age of the keeper's last answer from the store up to which other daemons rely on the keeper
for changed objects, in seconds. With the time of a heartbeat and of their own call to the
store added, they learn of a draining backend server within 1.6 s; they must send it nothing
new after 2 s."""

LEASE_RETRY_DELAY_S = 0.5
"""Seconds to the next call to the store when one for the keeper lease got no answer."""

DAEMON_COUNT_DELAY_S = 3.0
"""Seconds after a takeover before the number of reporting daemons may raise the number that a
majority is measured against."""

MAX_UNCONFIRMED_RENEWAL_S = 3.0
"""How long a keeper continues to renew grants while the store does not confirm its lease and
no majority of the daemons reports that the store is unreachable, in seconds."""

MAX_OUTAGE_RENEWAL_S = 10.0
"""How long a keeper continues to renew grants while the store does not confirm its lease and a
majority of the daemons reports that the store is unreachable, in seconds."""

MAX_CAPACITY_DELAY_S = 0.6
"""How much longer a VM without spare capacity waits before a takeover than one with full
capacity, in seconds: the keeper needs capacity to send each change to all daemons."""

CUT_OFF_TAKEOVER_DELAY_S = 2.0
"""How much longer a daemon that has lost most of its paths to backend servers waits before a
takeover, in seconds; longer than all others may wait."""

ERA_TAKEOVER_DELAY_S = 0.8
"""How much longer other daemons wait than the former keeper before they take over in a new era
of the store, in seconds. The former keeper knows the tables that the store may have lost."""

MEMORY_CHECK_TIMEOUT_S = 1.0
"""How long a former keeper that took over in a new era of the store waits for the reports of a
majority, in seconds. They show whether another daemon was keeper after it."""

SOLE_KEEPER_DELAY_S = LEASE_CHECK_INTERVAL_S + MAX_UNCONFIRMED_RENEWAL_S
"""Seconds after a takeover until a former keeper issues no more permits. Until then, the new
one issues the share of the daemons that report to it."""

ISSUING_AGE_S = 0.1
"""How long the decision to issue permits for workspaces holds, in seconds."""

FAILED_KEEPER_PAUSE_S = 3.0
"""How long a keeper whose work has failed leaves the takeover to other daemons, in seconds;
longer than all others may wait."""

REPORT_NUMBER_BITS = 40
"""Bits of the random number of a daemon's first report."""

REPORT_MEMORY_S = 3.0
"""How long a report is remembered for its heartbeat, in seconds."""

GRANT_DURATION_S = 2.5
"""Grant duration, in seconds. A grant is renewed about three times before it expires, so that
it outlasts a change of the keeper; requests for the keys of an ended owner wait until the
grant has expired."""


class Keeper:
    """Takes part in the election of the keeper, and acts as keeper while it holds the lease.

    Each daemon runs one ``Keeper``; ``is_keeper`` tells whether its daemon is the keeper.

    :param name: name of this daemon
    :param address: where this daemon listens for messages of other daemons
    :ivar keepers_configuration_version: version of the configuration that is in force at the
        keeper, by its last heartbeat
    """

    def __init__(self, name: str, address: Address, dependencies: KeeperDependencies) -> None:
        self.name = name
        self.daemon_count = 0
        self.keepers_configuration_version = 0
        self._address = address
        self._dependencies = dependencies
        self._own_lease: KeeperLease | None = None
        self._keeper_task: asyncio.Task[None] | None = None
        self._latest_reports = LatestReports(dependencies.clock)
        self._broadcaster = Broadcaster(self._latest_reports, address, dependencies.link_mbps)
        self._delta_assembler = DeltaAssembler()
        self._services = ServiceKeepers(
            dependencies,
            self._broadcaster,
            lambda: self.grant_duration_s,
            lambda: self.is_keeper,
            lambda epoch: self._step_down(f'a table was written under epoch {epoch}'),
            lambda: self.unresponsive_servers,
            self._leave_to_others,
        )
        # See ``ElectionState.keeper_alive_at``.
        self._keeper_alive_at = dependencies.clock.monotonic()
        self._keeper_store_unreachable_since: float | None = None
        self._takeover_blocked_until = -math.inf
        self._takeover_wanted_since: float | None = None
        self._left_to_others_until = -math.inf
        self._heartbeat_failed_at = -math.inf
        # Number of daemons that a majority is measured against; 0 if not known.
        self._majority_base_count = 0
        self._took_over_at = -math.inf
        self._has_taken_over_from = False
        self._lease_confirmed_at = -math.inf
        # Epoch and tables of this daemon as keeper in the previous era of the store.
        self._former_epoch = 0
        self._former_tables: dict[str, KeyTable] = {}
        # Whether all grants of keepers before this one have expired.
        self._is_settled = False
        self._stopping = False
        self._is_releasing = False
        self._wake_event = asyncio.Event()
        # Epoch of the last heartbeat; the lease may be read later.
        self._heard_epoch = 0
        # Whether a heartbeat has come since the known lease last changed.
        self._has_heartbeat_under_lease = False
        self.admitted_share_by_server: dict[str, float] = {}
        self.unresponsive_servers: list[str] = []
        # Where daemons that reach backend servers take requests, and when it was told.
        self._helpers: list[Address] = []
        self._helpers_told_at = -math.inf
        self._unresponsive_detector = UnresponsiveDetector()
        self._version_lag = VersionLag(dependencies.clock)
        self._permit_issuer: PermitIssuer[tuple[str, int]] = PermitIssuer(dependencies.clock)
        self._workspace_issuer = WorkspaceIssuer(
            dependencies.clock, dependencies.get_workspace_limit
        )
        # An answer to a report of an earlier process must not count as one's own.
        self._report_number = secrets.randbits(REPORT_NUMBER_BITS)
        self._report_sent_at_by_number: dict[int, float] = {}
        self._keeper_heard_at = -math.inf
        self._issuing_decided_at = -math.inf
        self._reported_epoch = -1
        self._epoch_reported_since = -math.inf
        self._rates_for_keeper: dict[str, float] = {}
        self._trial_scheduler = TrialScheduler(dependencies.clock)
        if dependencies.limits is not None:
            # The keeper is told at once, so that all daemons know soon.
            dependencies.limits.subscribe(self._wake_event.set)
        if dependencies.suspects is not None:
            dependencies.suspects.subscribe(self._wake_event.set)
        dependencies.ownership_view.subscribe_lease(self._on_lease_changed)
        dependencies.grant_client.subscribe_leaving(dependencies.registry.mark_leaving)
        # The keeper is told at once, so that the keys of a leaving server move soon.
        dependencies.registry.subscribe_leaving(self._wake_event.set)

    @property
    def is_keeper(self) -> bool:
        """Whether this daemon is the keeper."""
        return self._own_lease is not None

    def list_lagging(self) -> list[LaggingDaemon]:
        """Return the daemons with an older configuration in force; none if not the keeper."""
        if not self.is_keeper:
            return []
        return self._version_lag.list_lagging(self._latest_reports.list_recent())

    @property
    def known_daemon_count(self) -> int:
        """The larger of the number last counted and the number stored in the lease.

        It is 0 while neither is known.
        """
        lease = self._dependencies.ownership_view.lease
        return max(self.daemon_count, lease.daemon_count if lease is not None else 0)

    @property
    def helpers(self) -> list[Address]:
        """Where other daemons take requests, if this one is cut off and they are not."""
        age_s = self._dependencies.clock.monotonic() - self._helpers_told_at
        return self._helpers if age_s <= MAX_REPORT_AGE_S else []

    def _set_helpers(self, helpers: list[Address]) -> None:
        self._helpers = helpers
        self._helpers_told_at = self._dependencies.clock.monotonic()

    @property
    def grant_duration_s(self) -> float | None:
        """Duration of a grant made now, in seconds; ``None`` if no grant may be made."""
        if self._is_releasing:
            return None
        now = self._dependencies.clock.monotonic()
        unconfirmed_s = now - self._lease_confirmed_at
        if unconfirmed_s <= LEASE_CHECK_INTERVAL_S + LEASE_RETRY_DELAY_S:
            return self._full_grant_duration_s
        reports = self._latest_reports.list_recent()
        unreachable_count = sum(not report.store_reachable for report in reports)
        if self._is_majority(unreachable_count) and unconfirmed_s <= MAX_OUTAGE_RENEWAL_S:
            return self._full_grant_duration_s
        if unconfirmed_s <= LEASE_CHECK_INTERVAL_S + MAX_UNCONFIRMED_RENEWAL_S:
            return self._full_grant_duration_s
        return None

    @property
    def _full_grant_duration_s(self) -> float:
        return min(GRANT_DURATION_S, self._dependencies.max_grant_duration_s)

    def attach(self, channel: Channel) -> None:
        """Use ``channel`` for messages to other daemons."""
        self._broadcaster.attach(channel)

    async def run(self) -> None:
        """Send reports, and take over when the keeper must be replaced, until cancelled."""
        last_report_at = self._dependencies.clock.monotonic()
        await self._read_initial_state()
        while True:
            await self._wait_until_report_due()
            now = self._dependencies.clock.monotonic()
            self._check_era()
            self._update_relay(now)
            self._submit_report(now - last_report_at)
            last_report_at = now
            if self._stopping:
                continue
            if self.is_keeper:
                if self._should_hand_over():
                    await self._hand_over()
                continue
            if (
                find_takeover_reason(self._get_election_state(), now) is not None
                and await self._read_store()
            ):
                reason = find_takeover_reason(
                    self._get_election_state(), self._dependencies.clock.monotonic()
                )
                if reason is not None and not self._must_leave_takeover_to_others():
                    await self._try_to_take_over(reason)
            else:
                self._takeover_wanted_since = None

    def _must_leave_takeover_to_others(self) -> bool:
        """Whether others have had too little time to take over, and are better keepers.

        This daemon is cut off, or its work as keeper has failed.
        """
        if (
            self._dependencies.clock.monotonic() < self._left_to_others_until
            and self.known_daemon_count > 1
        ):
            return True
        paths = self._dependencies.paths
        if paths is None or not paths.is_cut_off:
            return False
        now = self._dependencies.clock.monotonic()
        if self._takeover_wanted_since is None:
            self._takeover_wanted_since = now
        return now - self._takeover_wanted_since < CUT_OFF_TAKEOVER_DELAY_S

    def _check_era(self) -> None:
        """Step down if the lease is of an earlier era of the store; remember the tables."""
        lease = self._own_lease
        era = self._dependencies.store.era
        if lease is None or era_of_epoch(lease.epoch) >= era:
            return
        may_remember = (
            era_of_epoch(lease.epoch) == era - 1 and self.grant_duration_s is not None
        )
        self._former_epoch = lease.epoch
        self._former_tables = self._services.copy_tables() if may_remember else {}
        self._step_down(f'era {era} of the store has begun')

    def _update_relay(self, now: float) -> None:
        keeper_alive = (
            now - self._keeper_alive_at <= KEEPER_TIMEOUT_S
            and self._has_heartbeat_under_lease
            and now - self._heartbeat_failed_at > KEEPER_TIMEOUT_S
        )
        is_active = (
            keeper_alive
            and not self.is_keeper
            and self._keeper_store_unreachable_since is None
        )
        if is_active != self._dependencies.relay.is_active:
            lease = self._dependencies.ownership_view.lease
            logger.info(
                'source of changes',
                keeper=lease.holder if is_active and lease is not None else '',
                keeper_unheard_s=round(min(1e6, now - self._keeper_alive_at), 3),
                keeper_has_store=self._keeper_store_unreachable_since is None,
                is_keeper=self.is_keeper,
            )
        self._dependencies.relay.set_active(is_active)

    async def _read_initial_state(self) -> None:
        """Read the lease and the tables.

        If the previous incarnation of this daemon was the keeper, take over without waiting
        for the keeper timeout.
        """
        while not await self._read_store():
            await asyncio.sleep(REPORT_INTERVAL_S)
        lease = self._dependencies.ownership_view.lease
        if lease is not None and lease.holder == self.name:
            self._keeper_alive_at = -math.inf

    async def _wait_until_report_due(self) -> None:
        self._wake_event.clear()
        try:
            async with asyncio.timeout(REPORT_INTERVAL_S):
                await self._wake_event.wait()
        except TimeoutError:
            return

    async def _read_store(self) -> bool:
        """Read the lease and the tables; return false if the store did not answer.

        While the keeper sends its messages, this read is not needed.
        """
        try:
            listing = await self._dependencies.store.list(OWNERSHIP_KIND)
        except StoreUnavailableError as error:
            logger.warning(
                'keeper lease and tables not read from the store', reason=str(error)
            )
            return False
        self._dependencies.ownership_view.apply_listing(listing)
        return True

    async def stop(self) -> None:
        """Release the lease, so that another daemon takes over immediately.

        While the store is unreachable no daemon could take over, so this daemon remains the
        keeper until the lease is released or the process ends. It grants nothing from the
        first attempt to write the release on: that write may take effect without an answer.
        """
        self._stopping = True
        while self._own_lease is not None and not await self._read_store():
            await asyncio.sleep(LEASE_RETRY_DELAY_S)
        await self._release_lease('the daemon is stopping')

    async def _release_lease(self, reason: str) -> None:
        """Write the release of the lease until the store has taken or refused it."""
        self._is_releasing = True
        while (lease := self._own_lease) is not None:
            if not self._dependencies.ownership_view.is_lease_readable:
                # It may hide the lease of a later keeper, which must not be written over.
                self._step_down('the stored lease can not be read')
                return
            released = KeeperLease(
                '', self._address, lease.epoch, self.known_daemon_count, self._is_settled
            )
            try:
                await self._dependencies.store.replace(
                    OWNERSHIP_KIND,
                    LEASE_NAME,
                    encode_lease(released),
                    expected_revision=self._dependencies.ownership_view.lease_revision,
                )
            except StoreUnavailableError as error:
                logger.warning(
                    'keeper lease not released', epoch=lease.epoch, reason=str(error)
                )
                await asyncio.sleep(LEASE_RETRY_DELAY_S)
                continue
            except StoreConflictError:
                self._step_down('another daemon has written the keeper lease')
                return
            logger.info('lease given back', epoch=lease.epoch)
            self._announce_release(lease)
            self._step_down(reason)

    def _should_hand_over(self) -> bool:
        """Whether this keeper reaches few owners and another daemon may reach more."""
        paths = self._dependencies.paths
        if (
            paths is None
            or self._is_releasing
            or not paths.is_cut_off
            or not self._dependencies.is_store_reachable()
        ):
            return False
        return any(not report.is_cut_off for report in self._latest_reports.list_recent())

    async def _hand_over(self) -> None:
        """Release the lease, so that a daemon with paths to the owners takes over."""
        await self._release_lease('other daemons reach more backend servers')
        self._is_releasing = False

    def _announce_release(self, lease: KeeperLease) -> None:
        # An empty keeper name tells that the lease is released; shares, unresponsive servers
        # and revisions are left empty, since the receivers do not read them.
        self._broadcaster.send_to_all(
            Heartbeat('', lease.epoch, True, self.daemon_count, {}, [], {})
        )

    def close(self) -> None:
        """End the work as keeper without releasing the lease or telling other daemons."""
        self._step_down('the daemon ended without releasing the lease')

    def recover(self) -> None:
        """Prepare the next call of ``run`` after one that failed."""
        self._leave_to_others('the work of the daemon for the keeper failed')
        self._dependencies.relay.set_active(False)

    def _leave_to_others(self, reason: str) -> None:
        """End the work as keeper, since it has failed, so that another daemon takes over."""
        lease = self._own_lease
        if lease is None:
            return
        now = self._dependencies.clock.monotonic()
        self._left_to_others_until = now + FAILED_KEEPER_PAUSE_S
        self._is_releasing = self._stopping
        self._step_down(reason)
        # The lease is still stored, but others need not wait until heartbeats are overdue.
        self._announce_release(lease)

    def on_message(self, message: Message, sender: Address) -> None:
        """Handle a message of another daemon.

        If a heartbeat can't be handled, changes are read from the store for a while: what the
        keeper has read may not be known.
        """
        try:
            self._handle_message(message, sender)
        except Exception:
            if isinstance(message, Heartbeat):
                self._heartbeat_failed_at = self._dependencies.clock.monotonic()
                self._dependencies.relay.set_active(False)
            raise

    def _handle_message(self, message: Message, sender: Address) -> None:
        now = self._dependencies.clock.monotonic()
        match message:
            case Heartbeat():
                self._handle_heartbeat(message, now)
            case Report():
                self._handle_report(message, sender, now)
            case ObjectsUpdate():
                lease = self._dependencies.ownership_view.lease
                if lease is not None and message.epoch >= lease.epoch:
                    self._dependencies.on_relayed_changes(read_objects_update(message))
            case DeltaPart():
                self._handle_delta_part(message)
            case TableUpdate():
                self._handle_table_update(message, now)
            case PermitRequest():
                answer = self._issue_permits(message)
                if answer is not None:
                    self._broadcaster.send(answer, sender)
            case WorkspacePermitRequest():
                answer = self._issue_workspace_permits(message)
                if answer is not None:
                    self._broadcaster.send(answer, sender)
            case PermitAnswer():
                self._dependencies.on_permit_answer(message)
            case TrialRequest():
                if self._own_lease is not None:
                    is_granted = self._trial_scheduler.grant(message.fingerprint)
                    self._broadcaster.send(TrialAnswer(message.number, is_granted), sender)
            case TrialAnswer():
                self._dependencies.on_trial_answer(message)

    def request_permits(
        self, request: PermitRequest | WorkspacePermitRequest
    ) -> PermitAnswer | None:
        """Ask the keeper for permits; return the answer if this daemon is the keeper."""
        lease = self._dependencies.ownership_view.lease
        if self._own_lease is None and lease is not None and lease.holder:
            self._broadcaster.send(request, lease.address)
        match request:
            case PermitRequest():
                return self._issue_permits(request)
            case WorkspacePermitRequest():
                return self._issue_workspace_permits(request)

    def _issue_workspace_permits(self, request: WorkspacePermitRequest) -> PermitAnswer | None:
        if self._own_lease is None:
            return None
        if self._dependencies.clock.monotonic() - self._issuing_decided_at > ISSUING_AGE_S:
            self._update_issuing()
        return self._workspace_issuer.issue(request)

    def _update_issuing(self) -> None:
        """Decide whether this keeper issues permits for workspaces, and up to their limits.

        No other keeper may issue them. While some daemons may go on by themselves without
        being known, only what the others have used is issued.
        """
        now = self._issuing_decided_at = self._dependencies.clock.monotonic()
        is_first_start = self._dependencies.is_first_start and not self._has_taken_over_from
        issuer = self._workspace_issuer
        is_settled = (
            is_first_start
            or now - self._took_over_at > FALLBACK_S
            or issuer.count_heard() >= self.known_daemon_count > 0
        )
        is_sole = (
            now - self._lease_confirmed_at <= LEASE_CHECK_INTERVAL_S + LEASE_RETRY_DELAY_S
        )
        may_issue = (
            self._own_lease is not None
            and self.grant_duration_s is not None
            and (
                is_sole
                or (
                    # While the store is away: no other keeper has taken most daemons over.
                    issuer.is_issuing
                    and issuer.is_settled
                    and self._is_majority(issuer.count_heard())
                )
            )
        )
        issuer.set_issuing(may_issue, is_first_start=is_first_start)
        issuer.settle(is_settled=may_issue and is_settled, known_count=self.known_daemon_count)

    def _issue_permits(self, request: PermitRequest) -> PermitAnswer | None:
        limits = self._dependencies.limits
        if self._own_lease is None or limits is None or self.grant_duration_s is None:
            return None
        limits.apply([LimitStatement(request.incarnation, request.limit_per_s, request.age_s)])
        limit_per_s = limits.get(request.incarnation)
        if limit_per_s is None:
            # It has ended; the sender learns it from the next heartbeat.
            return PermitAnswer(request.number, [0.0] * request.count, 0.0, 0.0)
        issued = self._permit_issuer.issue(
            request.incarnation,
            limit_per_s,
            self._compute_permit_share(),
            request.count,
            request.max_wait_s,
        )
        return PermitAnswer(request.number, *issued)

    def _compute_permit_share(self) -> float:
        """Return the share of each limit that this keeper may issue.

        While another daemon may believe that it is the keeper, each of them issues the share
        of the daemons that report to it.
        """
        now = self._dependencies.clock.monotonic()
        if (
            now - self._took_over_at > SOLE_KEEPER_DELAY_S
            and now - self._lease_confirmed_at <= LEASE_CHECK_INTERVAL_S + LEASE_RETRY_DELAY_S
        ):
            return 1.0
        return min(
            1.0, len(self._latest_reports.list_recent()) / max(1, self.known_daemon_count)
        )

    def _list_suspect_statements(self) -> list[SuspectStatement]:
        suspects = self._dependencies.suspects
        return [] if suspects is None else suspects.list_next()

    def request_trial(self, request: TrialRequest) -> bool | None:
        """Ask the keeper for a trial; return its word if this daemon is the keeper."""
        if self._own_lease is not None:
            return self._trial_scheduler.grant(request.fingerprint)
        lease = self._dependencies.ownership_view.lease
        if lease is not None and lease.holder:
            self._broadcaster.send(request, lease.address)
        return None

    def _list_limit_statements(self) -> list[LimitStatement]:
        limits = self._dependencies.limits
        if limits is None:
            return []
        return limits.list_next()

    def _handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        known_lease = self._dependencies.ownership_view.lease
        if self._own_lease is not None and heartbeat.epoch > self._own_lease.epoch:
            self._step_down(f'{heartbeat.keeper} is keeper under epoch {heartbeat.epoch}')
        if known_lease is None or heartbeat.epoch < known_lease.epoch:
            return
        if not heartbeat.keeper:
            self._keeper_alive_at = -math.inf
            self._wake_event.set()
            return
        self._keeper_alive_at = now
        self._has_heartbeat_under_lease = True
        self._use_evidence(heartbeat)
        self.daemon_count = max(1, heartbeat.daemon_count)
        self._majority_base_count = self.daemon_count
        self._dependencies.relay.set_keeper_revisions(heartbeat.revision_by_kind)
        self.admitted_share_by_server = heartbeat.admitted_share_by_server
        self._set_unresponsive_servers(heartbeat.unresponsive_servers)
        if self._dependencies.limits is not None:
            self._dependencies.limits.apply(heartbeat.limit_statements)
        if self._dependencies.suspects is not None:
            if heartbeat.epoch != self._heard_epoch:
                self._dependencies.suspects.tell_again()
            self._dependencies.suspects.apply(heartbeat.suspect_statements)
        self._heard_epoch = heartbeat.epoch
        self.keepers_configuration_version = heartbeat.configuration_version
        self._set_helpers([Address(*helper) for helper in heartbeat.helpers])
        if heartbeat.store_reachable:
            self._keeper_store_unreachable_since = None
        elif self._keeper_store_unreachable_since is None:
            self._keeper_store_unreachable_since = now
        self._update_relay(now)

    def _use_evidence(self, heartbeat: Heartbeat) -> None:
        """Take over what a heartbeat proves, as of the sending of the report it answers."""
        sent_at = self._report_sent_at_by_number.get(heartbeat.report_number)
        if sent_at is None:
            return
        self._keeper_heard_at = max(self._keeper_heard_at, sent_at)
        self._dependencies.on_keeper_heard(sent_at, heartbeat.issues_permits)
        self._dependencies.on_kinds_confirmed(
            {kind: sent_at - age_s for kind, age_s in heartbeat.age_s_by_kind.items()},
            heartbeat.revision_by_kind,
        )

    def _number_report(self, report: Report, now: float) -> Report:
        """Return a report with its number, and with the age of the last heartbeat."""
        sent_at_by_number = self._report_sent_at_by_number
        for number in list(sent_at_by_number):
            if now - sent_at_by_number[number] <= REPORT_MEMORY_S:
                break
            del sent_at_by_number[number]
        self._report_number += 1
        sent_at_by_number[self._report_number] = now
        unheard_s = min(REPORT_MEMORY_S, now - self._keeper_heard_at)
        # A keeper that restarts at its address is known by its heartbeats first.
        epoch = max(report.epoch, self._heard_epoch)
        if epoch != self._reported_epoch:
            self._reported_epoch, self._epoch_reported_since = epoch, now
            self._rates_for_keeper = self._dependencies.get_issued_rates()
        is_keeper_new = now - self._epoch_reported_since <= FALLBACK_S
        return structs.replace(
            report,
            number=self._report_number,
            keeper_unheard_s=round(unheard_s, 3),
            issued_rates=self._rates_for_keeper if is_keeper_new else {},
        )

    def _get_configuration_age_s(self) -> float | None:
        age_s = self._dependencies.get_configuration_age_s()
        return None if math.isinf(age_s) else age_s

    def _handle_report(self, report: Report, sender: Address, now: float) -> None:
        if self._own_lease is None:
            return
        self._takeover_blocked_until = -math.inf
        self._latest_reports.put(report, sender)
        try:
            self._workspace_issuer.on_report(report)
            self._update_issuing()
            self._apply_report(report, now)
            self.admitted_share_by_server = self._services.compute_admitted_shares(now)
        except Exception as error:
            # Without a heartbeat the sender would take over from a keeper that works.
            self._dependencies.failures.record(
                'message of daemon', error, kind='Report', sender=str(sender)
            )
        heartbeat = Heartbeat(
            self.name,
            self._own_lease.epoch,
            now - self._lease_confirmed_at <= MAX_STORE_ANSWER_AGE_S
            and not self._dependencies.are_changes_overdue(),
            len(self._latest_reports.list_recent()),
            self.admitted_share_by_server,
            self.unresponsive_servers,
            self._dependencies.get_revision_by_kind(),
            self._list_limit_statements(),
            self._list_suspect_statements(),
            [(helper.host, helper.port) for helper in self._list_helpers(report)],
            report.number,
            self._get_configuration_age_s(),
            self._workspace_issuer.is_issuing,
            self._dependencies.get_configuration_version(),
            self._dependencies.get_age_by_kind(),
        )
        self._broadcaster.send(heartbeat, sender)
        self._services.send_missed_updates(report, sender, now)

    def _list_helpers(self, report: Report) -> list[Address]:
        if not report.is_cut_off:
            return []
        return self._latest_reports.list_helpers(report, self._dependencies.random_source)

    def _handle_delta_part(self, part: DeltaPart) -> None:
        lease = self._dependencies.ownership_view.lease
        if lease is None or part.epoch < lease.epoch:
            return
        try:
            delta = self._delta_assembler.add(part)
            if delta is not None:
                self._dependencies.on_relayed_delta(delta)
        except ProtocolError as error:
            logger.warning(
                'change of an object refused',
                kind=part.kind,
                name=part.name,
                reason=str(error),
            )

    def _handle_table_update(self, update: TableUpdate, now: float) -> None:
        known_lease = self._dependencies.ownership_view.lease
        if known_lease is not None and update.epoch >= known_lease.epoch:
            self._keeper_alive_at = now
            self._dependencies.ownership_view.apply_update(update)

    def publish(self, changes: RelayedChanges) -> None:
        """Send changed objects to the other daemons if this daemon is the keeper.

        Of a large object what differs is sent. What is too large even so is read from the
        store by each daemon.
        """
        if self._own_lease is not None:
            self._broadcaster.publish(changes, self._own_lease.epoch)

    def _set_unresponsive_servers(self, names: list[str]) -> None:
        if names != self.unresponsive_servers:
            logger.info('silent backend servers', servers=names)
            self.unresponsive_servers = names

    def _apply_report(self, report: Report, now: float) -> None:
        self._unresponsive_detector.apply_report(report, now)
        self._set_unresponsive_servers(self._unresponsive_detector.list_unresponsive(now))
        self._services.apply_report(report, now)
        if self._dependencies.limits is not None:
            self._dependencies.limits.apply(report.limit_statements)
        if self._dependencies.suspects is not None:
            self._dependencies.suspects.apply(report.suspect_statements)
        for incarnation in report.leaving_incarnations:
            self._dependencies.registry.mark_leaving(incarnation)

    def _is_majority(self, daemon_count: int) -> bool:
        """Whether ``daemon_count`` is a majority of the daemons that report to the keeper.

        Always false until their number is known.
        """
        return self._majority_base_count > 0 and 2 * daemon_count > self._majority_base_count

    def _submit_report(self, interval_s: float) -> None:
        """Send this daemon's report to the keeper.

        If this daemon is the keeper, apply the report directly and count the daemons that
        report.

        :param interval_s: time since the last report, in seconds
        """
        known_lease = self._dependencies.ownership_view.lease
        if known_lease is None or not known_lease.holder:
            return
        revisions = self._dependencies.ownership_view.get_table_revisions()
        store_reachable = self._dependencies.is_store_reachable()
        version = self._dependencies.get_configuration_version()
        report = structs.replace(
            self._dependencies.collect_report(
                known_lease.epoch, store_reachable, interval_s, revisions
            ),
            configuration_version=version,
        )
        if version:
            self._version_lag.on_version(version)
        now = self._dependencies.clock.monotonic()
        if self._own_lease is not None:
            if self._dependencies.limits is not None:
                self._permit_issuer.forget_ended(set(self._dependencies.limits.list_limited()))
            self._latest_reports.put(report, self._address)
            self._version_lag.log(self._latest_reports.list_recent())
            self._workspace_issuer.on_report(report)
            self._workspace_issuer.find_silent()
            self._update_issuing()
            self._dependencies.on_keeper_heard(now, self._workspace_issuer.is_issuing)
            self._set_helpers(self._list_helpers(report))
            self._apply_report(report, now)
            self.admitted_share_by_server = self._services.compute_admitted_shares(now)
            self.daemon_count = max(1, len(self._latest_reports.list_recent()))
            if now - self._took_over_at > DAEMON_COUNT_DELAY_S:
                self._majority_base_count = max(self._majority_base_count, self.daemon_count)
        elif known_lease.holder != self.name:
            self._broadcaster.send(self._number_report(report, now), known_lease.address)

    def _get_election_state(self) -> ElectionState:
        return ElectionState(
            self._dependencies.ownership_view.lease,
            self._keeper_alive_at,
            self._keeper_store_unreachable_since,
            self._dependencies.is_store_reachable(),
            self._takeover_blocked_until,
            self._dependencies.store.era,
        )

    def _on_lease_changed(self) -> None:
        known_lease = self._dependencies.ownership_view.lease
        self._keeper_alive_at = self._dependencies.clock.monotonic()
        self._has_heartbeat_under_lease = False
        self._keeper_store_unreachable_since = None
        if (
            self._own_lease is not None
            and known_lease is not None
            and known_lease.epoch > self._own_lease.epoch
        ):
            self._step_down(f'{known_lease.holder} has taken over')

    async def _try_to_take_over(self, reason: str) -> None:
        seen_revision = self._dependencies.ownership_view.lease_revision
        missing_capacity = 1.0 - self._dependencies.keeper_capacity
        delay_s = (
            MAX_TAKEOVER_JITTER_S * self._dependencies.random_source.random()
            + MAX_CAPACITY_DELAY_S * missing_capacity
        )
        if reason == EARLIER_ERA_REASON and not self._former_tables:
            delay_s += ERA_TAKEOVER_DELAY_S
        await asyncio.sleep(delay_s)
        view = self._dependencies.ownership_view
        if view.lease_revision != seen_revision:
            return
        now = self._dependencies.clock.monotonic()
        if find_takeover_reason(self._get_election_state(), now) is None:
            return
        previous_lease = view.lease
        previous_epoch = 0 if view.lease is None else view.lease.epoch
        if not view.is_lease_readable:
            # It may have been written over leases of keepers that nobody here knows.
            previous_epoch = max(
                view.highest_epoch, self._heard_epoch, highest_epoch_at(seen_revision)
            )
            previous_lease = KeeperLease('', self._address, previous_epoch)
        epoch = compute_epoch(self._dependencies.store.era, previous_epoch)
        lease = KeeperLease(self.name, self._address, epoch, self.known_daemon_count)
        try:
            if not view.lease_revision:
                item = await self._dependencies.store.create(
                    OWNERSHIP_KIND, LEASE_NAME, encode_lease(lease)
                )
            else:
                item = await self._dependencies.store.replace(
                    OWNERSHIP_KIND,
                    LEASE_NAME,
                    encode_lease(lease),
                    expected_revision=seen_revision,
                )
        except StoreConflictError:
            logger.info(
                'takeover failed: another daemon has written the keeper lease',
                reason=reason,
            )
            return
        except StoreUnavailableError as error:
            logger.warning(
                'takeover outcome unknown: the store did not answer', reason=str(error)
            )
            return
        logger.info('became keeper', reason=reason, epoch=epoch)
        view.apply_object(item)
        self._become_keeper(lease, previous_lease)

    def _become_keeper(self, lease: KeeperLease, previous_lease: KeeperLease | None) -> None:
        now = self._dependencies.clock.monotonic()
        self._own_lease = lease
        self._dependencies.relay.is_source = True
        own_rates = self._dependencies.get_issued_rates()
        self._has_taken_over_from = previous_lease is not None
        self._lease_confirmed_at = now
        self._took_over_at = now
        self._is_settled = False
        self._takeover_blocked_until = now + ISOLATED_TAKEOVER_PAUSE_S
        self._latest_reports.clear()
        self._unresponsive_detector = UnresponsiveDetector()
        self._permit_issuer = PermitIssuer(self._dependencies.clock)
        self._workspace_issuer = WorkspaceIssuer(
            self._dependencies.clock, self._dependencies.get_workspace_limit
        )
        self._workspace_issuer.add_earlier_rates(self.name, own_rates)
        self._keeper_task = asyncio.create_task(self._run_as_keeper(lease, previous_lease))
        self._keeper_task.add_done_callback(self._on_keeper_task_ended)

    def _on_keeper_task_ended(self, task: asyncio.Task[None]) -> None:
        self._dependencies.failures.record_end('lease of the keeper', task)
        if task is self._keeper_task:
            self._leave_to_others('the task that confirms the lease ended')

    def _step_down(self, reason: str) -> None:
        lease, self._own_lease = self._own_lease, None
        if lease is None:
            return
        logger.info('no longer keeper', reason=reason, epoch=lease.epoch)
        self._dependencies.relay.is_source = False
        self._broadcaster.drop_unsent()
        if self._keeper_task is not None:
            self._keeper_task.cancel()
            self._keeper_task = None
        self._services.close()

    async def _check_memory(self, lease: KeeperLease) -> dict[str, KeyTable]:
        """Return the tables of this daemon's time as keeper in the previous era of the store.

        None if a majority of the daemons doesn't report soon, or if one of them knows a keeper
        after this one: the tables may have changed since.
        """
        tables, self._former_tables = self._former_tables, {}
        if not tables or era_of_epoch(lease.epoch) != era_of_epoch(self._former_epoch) + 1:
            return {}
        try:
            async with asyncio.timeout(MEMORY_CHECK_TIMEOUT_S):
                while not self._is_majority(len(self._latest_reports.list_recent())):
                    await asyncio.sleep(REPORT_INTERVAL_S / 3)
        except TimeoutError:
            logger.info('tables not remembered: no majority reports', epoch=lease.epoch)
            return {}
        later_epochs = [
            report.epoch
            for report in self._latest_reports.list_recent()
            if self._former_epoch < report.epoch < lease.epoch
        ]
        if later_epochs:
            logger.info('tables not remembered: a later keeper is known', epochs=later_epochs)
            return {}
        logger.info('tables remembered', services=sorted(tables), epoch=lease.epoch)
        return tables

    async def _run_as_keeper(
        self, lease: KeeperLease, previous_lease: KeeperLease | None
    ) -> None:
        """Confirm the lease and start the work for new services while this is the keeper.

        :param previous_lease: the lease before this one, if there was one
        """
        now = self._dependencies.clock.monotonic()
        max_grant_lifetime_s = (
            self._full_grant_duration_s * CLOCK_DRIFT_FACTOR + MAX_LATE_ARRIVAL_S
        )
        # Latest expiry of a grant that a previous keeper renewed during a store outage.
        inherited_expiry = (
            now + MAX_OUTAGE_RENEWAL_S + LEASE_CHECK_INTERVAL_S + max_grant_lifetime_s
        )
        # The same for keepers of earlier eras, whose tables and lease may be lost.
        earlier_era_expiry = inherited_expiry
        if previous_lease is not None and self._has_ended_settled(previous_lease, lease):
            # Calls that were under way when the lease was released may end after that.
            inherited_expiry = earlier_era_expiry = (
                now + GRANT_TIMEOUT_S + max_grant_lifetime_s
            )
        if previous_lease is None and self._dependencies.is_first_start:
            inherited_expiry = earlier_era_expiry = now
        tables = await self._check_memory(lease)
        while True:
            self._services.start_new_services(
                lease.epoch, inherited_expiry, earlier_era_expiry, tables
            )
            read_at = self._dependencies.clock.monotonic()
            try:
                async with asyncio.timeout(LEASE_CHECK_TIMEOUT_S):
                    item = await self._dependencies.store.get(OWNERSHIP_KIND, LEASE_NAME)
            except (StoreUnavailableError, TimeoutError) as error:
                logger.warning('lease not confirmed', epoch=lease.epoch, reason=repr(error))
                await asyncio.sleep(LEASE_RETRY_DELAY_S)
                continue
            self._check_era()
            if self._own_lease is not lease:
                return
            if item is None:
                self._step_down('the lease is gone from the store')
                return
            try:
                stored = decode_lease(item.value)
            except ProtocolError as error:
                # Nobody can tell who took over before it was written, so it confirms nothing.
                self._dependencies.ownership_view.apply_object(item)
                self._step_down(f'the stored lease can not be read: {error}')
                return
            if (stored.holder, stored.epoch) != (lease.holder, lease.epoch):
                self._dependencies.ownership_view.apply_object(item)
                self._step_down('the stored lease names another keeper')
                return
            self._lease_confirmed_at = read_at
            self._is_settled = read_at >= max(inherited_expiry, earlier_era_expiry)
            await self._update_stored_lease(item)
            # Looks for new services four times between two reads of the lease.
            for _ in range(4):
                await asyncio.sleep(LEASE_CHECK_INTERVAL_S / 4)
                if self._is_majority(len(self._latest_reports.list_recent())):
                    # A majority reports here, so the previous keeper has no majority and stops
                    # renewing grants.
                    now = self._dependencies.clock.monotonic()
                    expiry = (
                        now
                        + MAX_REPORT_AGE_S
                        + MAX_UNCONFIRMED_RENEWAL_S
                        + max_grant_lifetime_s
                    )
                    inherited_expiry = min(inherited_expiry, expiry)
                    earlier_era_expiry = min(earlier_era_expiry, expiry)
                self._services.start_new_services(
                    lease.epoch, inherited_expiry, earlier_era_expiry, tables
                )

    def _has_ended_settled(self, previous: KeeperLease, lease: KeeperLease) -> bool:
        """Whether the previous keeper sends no further grants, and no earlier one does.

        It has released the lease, or it was an earlier process at the address that this one
        listens at. A keeper that was not settled may have waited for grants of earlier ones;
        after a lease of an earlier era of the store, others may have been lost.

        :param lease: the lease of this keeper
        """
        if era_of_epoch(previous.epoch) != era_of_epoch(lease.epoch):
            return False
        has_ended = not previous.holder or (previous.holder, previous.address) == (
            self.name,
            self._address,
        )
        return has_ended and previous.is_settled

    async def _update_stored_lease(self, item: StoredObject) -> None:
        """Store whether the lease is settled, and the number of daemons.

        Daemons that start while there is no keeper use the number. It is written only if it
        differs from the stored one by more than a quarter.
        """
        lease = decode_lease(item.value)
        is_count_outdated = (
            not lease.daemon_count * 0.75
            <= self._majority_base_count
            <= lease.daemon_count * 1.25
        )
        if is_count_outdated or self._is_settled != lease.is_settled:
            value = encode_lease(
                lease._replace(
                    daemon_count=self._majority_base_count, is_settled=self._is_settled
                )
            )
            try:
                written = await self._dependencies.store.replace(
                    OWNERSHIP_KIND, LEASE_NAME, value, expected_revision=item.revision
                )
            except (StoreConflictError, StoreUnavailableError) as error:
                logger.info('keeper lease not updated', reason=str(error))
                return
            self._dependencies.ownership_view.apply_object(written)
