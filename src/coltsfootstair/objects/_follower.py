"""Keeps a daemon's copy of one kind of object up to date."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import TYPE_CHECKING, Protocol

import structlog

from coltsfootstair.errors import (
    AnswerTooLargeError,
    ProtocolError,
    RevisionTooOldError,
    StoreUnavailableError,
    UnusableAnswerError,
)
from coltsfootstair.objects._delta import apply_delta
from coltsfootstair.objects._types import (
    Change,
    RelayedChanges,
    StoredObject,
    era_of,
    number_of,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.objects._relay import Relay
    from coltsfootstair.objects._types import Listing, ObjectStore, RelayedDelta, Revision

__all__ = ['Follower', 'StoreHealth', 'Subscriber']

logger = structlog.get_logger()

MAX_WATCH_TIMEOUT_S = 30.0
"""Longest wait of a watch for a change, in seconds; the maximum of the platform's store."""

WATCH_HISTORY_SHARE = 0.6
"""Share of the store's history after which a watch without changes ends. It returns a newer
revision; after one that is older than the history, all objects must be listed again."""

WATCH_ANSWER_DELAY_S = 0.4
"""How long after the end of its wait a watch may be answered, in seconds. One that is not is
taken for dead: its answer was lost, and its connection returns nothing further."""

FIRST_RETRY_DELAY_S = 0.1
"""Maximum delay after the first failed call, in seconds; doubles with each further one. The
delay is random, from half the maximum. Also the maximum delay before a kind is listed again,
which is random from 0."""

MAX_RETRY_DELAY_S = 0.5
"""Maximum delay after any failed call, in seconds. Together with the time of a call it is a
quarter of the time in which changes must be in force after an outage of the store."""

OUTAGE_EFFECT_DURATION_S = 2.5
"""How long after an outage the removal of an object may be an effect of the outage, in
seconds."""

RESTORED_WRITES_S = 3.0
"""How long after the store has come back from an older copy others may take to write again
what it has lost, in seconds. Until then its latest state may be an old one."""

MAX_HISTORY_BYTES = 64 * 1024
"""Size of the answer to a watch above which the latest state is listed instead, in bytes: the
answer has each version in full that was written since."""

MAX_PENDING_DELTAS = 64
"""Changes that wait for the object that they change; the oldest one is dropped."""

MAX_EARLY_EVIDENCE = 8
"""Heartbeats whose evidence waits for changes that are still on their way."""

MAX_LOGGED_NAMES = 8
"""Names of changed objects in a log line."""

VOUCHING_WATCH_SHARE = 0.25
"""Longest wait of a watch of the keeper, as a share of the age up to which others rely on its
evidence. An answer proves what was so when its watch began, two waits before the next one."""

MAX_RELAY_DELAY_S = 0.1
"""How long a relayed change may arrive after the keeper has reported its revision, in seconds.
After that the change is read from the store."""

MIN_RELAY_WAIT_S = 0.005
"""Shortest wait for the keeper, in seconds; evidence that is too old sooner counts as such."""

MAX_LARGE_RELAY_DELAY_S = 0.3
"""The same for a kind whose changes may be large; the keeper sends them more slowly."""


class StoreHealth:
    """Tracks whether this daemon reaches the store.

    During an outage one follower retries and the others wait for its result, so that there
    is one call at a time.
    """

    def __init__(self) -> None:
        self._retrying_follower: object | None = None
        self._reachable_event = asyncio.Event()
        self._reachable_event.set()

    @property
    def is_reachable(self) -> bool:
        """Whether the last call was answered."""
        return self._retrying_follower is None

    def record_failure(self, follower: object) -> None:
        """Record a call without an answer; the first follower that fails keeps retrying."""
        if self._retrying_follower is None:
            self._retrying_follower = follower
            self._reachable_event.clear()

    def record_answer(self, follower: object) -> None:
        """Record a call that was answered, which ends an outage for all followers."""
        self._retrying_follower = None
        self._reachable_event.set()

    def release(self, follower: object) -> None:
        """End the wait of other followers for ``follower``, whose work has failed."""
        if self._retrying_follower is follower:
            self.record_answer(follower)

    async def wait_until_allowed(self, follower: object) -> None:
        """Wait until ``follower`` may call the store.

        The follower that retries may do so at once, the others after it has got an answer.
        """
        if self._retrying_follower is not follower:
            await self._reachable_event.wait()


class Subscriber(Protocol):
    """Applies the objects of a kind and their changes."""

    def apply_listing(
        self, listing: Listing, *, after_outage: bool, is_restored: bool
    ) -> None:
        """Replace what is known by the objects of a complete listing.

        :param after_outage: whether missing objects may be an effect of a store outage
        :param is_restored: whether the store has come back from an older copy of itself, so
            that objects may be listed in an earlier state than the one known
        """

    def apply_change(self, change: Change, *, after_outage: bool) -> bool:
        """Apply one change; return whether it is worth relaying to other daemons.

        :param after_outage: whether a deletion may be an effect of a store outage
        """


class Follower:
    """Lists the objects of a kind once, then watches for changes.

    Lists them again if the store no longer has the changes after the known revision. While
    the relay is active, changes come from the keeper, and the follower reads only those
    changes from the store that did not arrive. It also asks the store if its evidence that
    nothing is missing, which heartbeats of the keeper bring, is too old: so no fault of the
    keeper, and no series of faults, hides changes for longer.

    :param history_s: how long the store keeps changes, in seconds
    :param watch_pause_s: pause between the answer to a watch and the next watch, in seconds,
        so that changes in quick succession need only one call
    :param max_watch_s: longest wait of a watch for a change, in seconds; a dead watch hides
        changes for as long
    :param max_evidence_age_s: age of the evidence that nothing is missing from which the store
        is asked although the keeper relays changes, in seconds
    :param is_latest_only: whether only the latest state of the kind counts. Changes that are
        too many or too large are then skipped in favour of a list. The values of the objects
        are kept, so that daemons can send each other what differs in them
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        subscriber: Subscriber,
        clock: Clock,
        random_source: random.Random,
        health: StoreHealth,
        relay: Relay,
        watch_pause_s: float,
        history_s: float,
        max_watch_s: float = MAX_WATCH_TIMEOUT_S,
        *,
        max_evidence_age_s: float = math.inf,
        is_latest_only: bool = False,
    ) -> None:
        self._store = store
        self._kind = kind
        self._subscriber = subscriber
        self._clock = clock
        self._random = random_source
        self._health = health
        self._relay = relay
        self._watch_pause_s = watch_pause_s
        self._watch_timeout_s = min(max_watch_s, WATCH_HISTORY_SHARE * history_s)
        self._max_evidence_age_s = max_evidence_age_s
        self._vouching_timeout_s = min(
            self._watch_timeout_s, VOUCHING_WATCH_SHARE * max_evidence_age_s
        )
        self._revision: int | None = None
        self._consecutive_failure_count = 0
        self._outage_ended_at: float | None = None
        self._must_catch_up = False
        self._is_latest_only = is_latest_only
        self._skips_history = False
        # Without their values, unless only the latest state counts.
        self._object_by_name: dict[str, StoredObject] = {}
        # Revision up to which a known object may be newer than the revision of the kind.
        self._mixed_until: Revision = 0
        self._pending_deltas: dict[tuple[str, Revision], RelayedDelta] = {}
        self._is_watch_dead = False
        self._is_receiving = False
        self._is_answer_unusable = False
        self._must_list = False
        self._may_list_stale = True
        self._has_call_failed = False
        self._listed_era: int | None = None
        self._publish: Callable[[RelayedChanges], None] | None = None
        self._known_at = clock.monotonic()
        self._complete_at = self._known_at
        self._confirmed_at = -math.inf
        # Revisions and times of evidence that came before the changes that it covers.
        self._early_evidence: deque[tuple[Revision, float]] = deque(maxlen=MAX_EARLY_EVIDENCE)
        self._distrusted_until = -math.inf

    @property
    def confirmed_at(self) -> float:
        """Latest moment at which what is known of the kind is sure to have been all of it.

        In monotonic seconds; the time at which a call began whose answer told the latest
        state, at this daemon or, by ``confirm``, at the keeper.
        """
        if self._early_evidence and not self._must_list:
            self._confirmed_at = max(
                self._confirmed_at,
                *(at for revision, at in self._early_evidence if revision <= self.revision),
                -math.inf,
            )
            self._early_evidence = deque(
                (each for each in self._early_evidence if each[0] > self.revision),
                MAX_EARLY_EVIDENCE,
            )
        return self._confirmed_at

    @property
    def evidence_age_s(self) -> float:
        """Time since what is known of the kind is sure to have been complete, in seconds."""
        return self._clock.monotonic() - self.confirmed_at

    def confirm(self, revision: Revision, confirmed_at: float) -> None:
        """Take over evidence of the keeper, once the changes up to ``revision`` are known.

        :param confirmed_at: monotonic time at which ``revision`` was the latest of the kind
        """
        if self._revision is not None and revision <= self._revision and not self._must_list:
            self._confirmed_at = max(self._confirmed_at, confirmed_at)
        else:
            self._early_evidence.append((revision, confirmed_at))

    def _on_state_told(self, began_at: float) -> None:
        """Record that the answer to a call begun at ``began_at`` told the latest state."""
        if began_at >= self._distrusted_until:
            self._confirmed_at = max(self._confirmed_at, began_at)

    @property
    def kind(self) -> str:
        """Kind of the objects that are followed."""
        return self._kind

    @property
    def revision(self) -> int:
        """Revision of the store up to which the kind is known; 0 before the first listing."""
        return self._revision or 0

    @property
    def has_started(self) -> bool:
        """Whether all of the kind was known at some moment, or a call has failed by now.

        What is known without an answer of the store is the best that can be had.
        """
        return self._has_call_failed or math.isfinite(self.confirmed_at)

    @property
    def unheard_s(self) -> float:
        """Time since the store or the keeper last told the state of the kind, in seconds."""
        return self._clock.monotonic() - self._known_at

    @property
    def behind_s(self) -> float:
        """Time for which changes have been missing that the keeper has read, in seconds."""
        now = self._clock.monotonic()
        if self._relay.get_keeper_revision(self._kind) <= self.revision:
            self._complete_at = now
        return now - self._complete_at

    @property
    def activity(self) -> str:
        """What the follower waits for, for people."""
        if self._consecutive_failure_count:
            return f'{self._consecutive_failure_count} calls to the store failed'
        if self._revision is None:
            return 'the first list is awaited'
        if self._is_answer_unusable:
            return 'an answer of the store can not be used'
        if self._is_watch_dead:
            return 'a watch was not answered'
        if self._is_receiving:
            return 'an answer of the store is being received'
        return 'the keeper tells' if self._relay.is_active else 'the store tells'

    @property
    def is_overdue(self) -> bool:
        """Whether the last call is not answered in time.

        An answer that is long is none of it: it proves nothing, so that the evidence of
        others that rely on this daemon grows old, and they ask the store themselves.
        """
        longest_s = self._watch_timeout_s + self._watch_pause_s + WATCH_ANSWER_DELAY_S
        return self.unheard_s > longest_s and not self._is_receiving

    def publish_to(self, receiver: Callable[[RelayedChanges], None]) -> None:
        """Call ``receiver`` with the changes worth relaying of each answer to a watch."""
        self._publish = receiver

    def apply_relayed(self, update: RelayedChanges) -> None:
        """Apply changes that the keeper has read.

        Ignores them if changes before them are missing, or if all of them are known.
        """
        if not self._is_continued_by(update):
            return
        self._apply_changes_of_keeper(update.revision, update.changes)
        self._apply_pending_deltas()

    def _is_continued_by(self, update: RelayedChanges | RelayedDelta) -> bool:
        """Whether all up to the revision of ``update`` is known once it is applied."""
        if self._revision is None or self._must_list or update.revision <= self._revision:
            return False
        if update.is_difference:
            return update.after_revision == self._revision >= self._mixed_until
        return update.after_revision <= self._revision

    def _apply_changes_of_keeper(self, revision: Revision, changes: list[Change]) -> None:
        self._log_changes('keeper', changes, revision)
        self._revision = revision
        self._known_at = self._clock.monotonic()
        try:
            for change in changes:
                self._apply_change(change)
        except Exception:
            self._must_list = True
            raise

    def recover(self) -> None:
        """Prepare the next call of ``run`` after one that failed.

        What an unfinished step has changed is not known, so the kind is listed anew.
        """
        self._must_list = True
        self._health.release(self)

    def apply_relayed_delta(self, update: RelayedDelta) -> None:
        """Apply a change of a large object that the keeper has read.

        If the object is at an earlier revision than the one that is changed, or if changes of
        other objects before it are missing, the change waits: what was missed is read from the
        store, while further changes come.

        :raises ProtocolError: the change does not fit the object
        """
        known = self._object_by_name.get(update.name)
        if (
            known is None
            or known.revision < update.before_revision
            or self.revision < update.after_revision
        ):
            if len(self._pending_deltas) >= MAX_PENDING_DELTAS:
                del self._pending_deltas[next(iter(self._pending_deltas))]
            self._pending_deltas[update.name, update.before_revision] = update
            return
        if known.revision == update.before_revision:
            self._apply_delta(known, update)
            self._apply_pending_deltas()

    def _apply_pending_deltas(self) -> None:
        """Apply the changes that follow from the objects as they are known now."""
        for name in list(self._object_by_name):
            while True:
                known = self._object_by_name[name]
                key = (name, known.revision)
                delta = self._pending_deltas.get(key)
                if delta is None or self.revision < delta.after_revision:
                    break
                del self._pending_deltas[key]
                try:
                    self._apply_delta(known, delta)
                except ProtocolError as error:
                    # What is missing now is read from the store.
                    logger.warning(
                        'change of an object refused',
                        kind=self._kind,
                        name=name,
                        reason=str(error),
                    )
                if self._object_by_name.get(name, known) is known:
                    break

    def _apply_delta(self, known: StoredObject, update: RelayedDelta) -> None:
        if not self._is_continued_by(update):
            return
        value = apply_delta(known.value, update.delta)
        item = StoredObject(update.name, update.object_revision, value)
        self._apply_changes_of_keeper(update.revision, [Change(item, False)])

    def _apply_change(self, change: Change) -> bool:
        """Apply a change, unless a later one of its object is known.

        :return: whether the change is worth relaying to other daemons. One that this daemon
            knows from a list is: others may not know it.
        """
        if self._is_outdated(change):
            return True
        is_worth_relaying = self._subscriber.apply_change(
            change, after_outage=self._may_be_outage_effect()
        )
        self._keep(change)
        return is_worth_relaying

    def _is_outdated(self, change: Change) -> bool:
        """Whether the known state of an object is the one after ``change``, or a later one."""
        known = self._object_by_name.get(change.object.name)
        revision = change.object.revision
        if known is None or not number_of(revision):
            # What has no readable revision may be of any.
            return False
        # A deletion has the revision of the state that it ends.
        return revision < known.revision if change.deleted else revision <= known.revision

    def _keep(self, change: Change) -> None:
        """Keep the newest state of an object."""
        item = change.object
        self._object_by_name.pop(item.name, None)
        if not change.deleted:
            self._object_by_name[item.name] = (
                item if self._is_latest_only else item._replace(value=None)
            )

    def _add_state_before(self, change: Change) -> Change:
        """Return ``change`` with the known state of its object, if states are kept."""
        if not self._is_latest_only:
            return change
        return change._replace(before=self._object_by_name.get(change.object.name))

    async def run(self) -> None:
        """Follow the kind until the task is cancelled."""
        while True:
            try:
                await self._list_or_watch_once()
            except RevisionTooOldError:
                logger.info('history gone', kind=self._kind, after_revision=self._revision)
                # The revision stays, since others take the evidence for it.
                self._must_list = True
                await asyncio.sleep(FIRST_RETRY_DELAY_S * self._random.random())
            except UnusableAnswerError as error:
                # The store can be reached, so other kinds go on. What makes a watch unusable
                # may be missing in a list, and the other way round.
                self._health.record_answer(self)
                self._has_call_failed = True
                self._skips_history = self._revision is not None and not self._skips_history
                if not self._is_answer_unusable:
                    self._is_answer_unusable = True
                    logger.warning(
                        'answer of the store unusable', kind=self._kind, reason=str(error)
                    )
                await asyncio.sleep(MAX_RETRY_DELAY_S * (0.5 + self._random.random() / 2))
            except StoreUnavailableError as error:
                self._on_call_failed(error)
                delay_s = min(
                    MAX_RETRY_DELAY_S,
                    FIRST_RETRY_DELAY_S * 2.0 ** (self._consecutive_failure_count - 1),
                )
                await asyncio.sleep(delay_s * (0.5 + self._random.random() / 2))
                await self._health.wait_until_allowed(self)

    async def _list_or_watch_once(self) -> None:
        if self._revision is None or self._must_list or self._skips_history:
            await self._list_once()
        else:
            await self._watch_once()

    async def _list_once(self) -> None:
        # A stale state is good enough to start from, since a watch from its revision returns
        # what has changed since. It is not listed again: its history may be gone.
        may_be_stale, self._may_list_stale = self._may_list_stale, False
        began_at = self._clock.monotonic()
        revision_before = self.revision
        self._is_receiving = True
        try:
            listing = await self._store.list(self._kind, may_be_stale=may_be_stale)
        finally:
            self._is_receiving = False
        if not self._must_list:
            self._check_revision(listing.revision, revision_before)
        self._on_call_answered()
        self._skips_history = False
        if listing.revision >= self.revision or self._must_list:
            self._apply_listing(listing)
        if may_be_stale:
            self._must_catch_up = True
        else:
            # Also if later changes have been relayed meanwhile.
            self._on_state_told(began_at)

    def _apply_listing(self, listing: Listing) -> None:
        era = era_of(listing.revision)
        is_restored = self._listed_era is not None and era > self._listed_era
        if is_restored:
            self._outage_ended_at = self._clock.monotonic()
            self._distrusted_until = self._outage_ended_at + RESTORED_WRITES_S
        self._listed_era = era
        previous_revision, self._revision = self._revision, listing.revision
        # Others need the difference to a state that is known, and known to be whole.
        may_publish = (
            previous_revision is not None
            and not is_restored
            and not self._must_list
            and previous_revision >= self._mixed_until
        )
        self._subscriber.apply_listing(
            listing, after_outage=self._may_be_outage_effect(), is_restored=is_restored
        )
        self._must_list = False
        changes = self._compute_difference(previous_revision or 0, listing)
        self._object_by_name = {}
        for item in listing.objects:
            self._keep(Change(item, False))
        self._mixed_until = listing.newest_revision
        if may_publish:
            self._publish_changes(previous_revision or 0, changes, is_difference=True)
        self._apply_pending_deltas()

    def _compute_difference(self, revision: Revision, listing: Listing) -> list[Change]:
        """Return what a listing differs in from the objects as they are known.

        :param revision: revision up to which they are known
        """
        listed_names = {item.name for item in listing.objects}
        changes = [
            Change(item, True)
            for name, item in self._object_by_name.items()
            if name not in listed_names
        ]
        changes += [
            self._add_state_before(Change(item, False))
            for item in listing.objects
            # What has no readable revision may be of any.
            if item.revision > revision or not number_of(item.revision)
        ]
        return changes

    async def _watch_once(self) -> None:
        if self._relay.is_active and not self._consecutive_failure_count:
            self._must_catch_up = True
            if not await self._is_behind_after_wait():
                evidence_left_s = self._compute_evidence_left_s()
                if evidence_left_s > MIN_RELAY_WAIT_S:
                    await self._relay.wait_for_state_change(evidence_left_s)
                    return
        # With a wait of 0 the store answers at once, so that the end of an outage and missed
        # changes are noticed without delay.
        if self._consecutive_failure_count or self._must_catch_up:
            wait_s = 0.0
        elif self._relay.is_source:
            wait_s = self._vouching_timeout_s
        else:
            wait_s = self._watch_timeout_s
        self._must_catch_up = False
        previous_revision = self.revision
        began_at = self._clock.monotonic()
        try:
            # A call without a wait has the time-out of the store's client, and so has one
            # whose answer has begun to arrive.
            delay_s = wait_s + WATCH_ANSWER_DELAY_S if wait_s else None
            async with asyncio.timeout(delay_s) as timeout:
                answer = await self._store.watch(
                    self._kind,
                    previous_revision,
                    wait_s,
                    on_answer=lambda: self._on_answer_began(timeout),
                    max_bytes=MAX_HISTORY_BYTES if self._is_latest_only else None,
                )
        except AnswerTooLargeError:
            self._skips_history = True
            self._on_call_answered()
            return
        except TimeoutError:
            self._on_watch_dead(previous_revision)
            return
        finally:
            self._is_receiving = False
        self._check_revision(answer.revision, previous_revision)
        self._is_watch_dead = self._is_watch_dead and not wait_s
        self._on_call_answered()
        if answer.revision <= self.revision:
            self._on_state_told(began_at)
            return
        self._log_changes('watch', answer.changes, answer.revision)
        changes = answer.changes
        if previous_revision < self._mixed_until:
            # What a page of the list has of an object is not undone by its earlier changes.
            changes = _merge_changes(changes)
        self._revision = answer.revision
        changes_to_relay = []
        for change in changes:
            change_with_state = self._add_state_before(change)
            if self._apply_change(change):
                changes_to_relay.append(change_with_state)
        self._on_state_told(began_at)
        self._publish_changes(previous_revision, changes_to_relay)
        self._apply_pending_deltas()
        if answer.changes:
            await asyncio.sleep(self._watch_pause_s)

    def _check_revision(self, answered: Revision, known: Revision) -> None:
        """Refuse an answer of a state before the one that was known when the call began.

        :raises UnusableAnswerError: the answer tells nothing of the latest state
        """
        if answered < known:
            raise UnusableAnswerError(
                f'{self._kind}: answered with revision {answered}, at least {known} is allowed'
            )

    def _log_changes(self, source: str, changes: list[Change], revision: Revision) -> None:
        """Log changes of which this daemon learns.

        :param source: the keeper, or this daemon's own watch
        """
        if not changes:
            return
        logger.info(
            'changes learnt',
            kind=self._kind,
            source=source,
            names=[change.object.name for change in changes[:MAX_LOGGED_NAMES]],
            count=len(changes),
            revision=revision,
            evidence_age_s=round(min(1e6, self.evidence_age_s), 3),
        )

    def _publish_changes(
        self, after_revision: int, changes: list[Change], *, is_difference: bool = False
    ) -> None:
        if self._publish is None:
            return
        if self._is_latest_only:
            changes = _merge_changes(changes)
        self._publish(
            RelayedChanges(self._kind, after_revision, self.revision, changes, is_difference)
        )

    def _compute_evidence_left_s(self) -> float:
        """Return for how long the evidence that nothing is missing is young enough."""
        if math.isinf(self._max_evidence_age_s):
            return math.inf
        return self._max_evidence_age_s - self.evidence_age_s

    async def _is_behind_after_wait(self) -> bool:
        """Return whether changes that the keeper has read are missing.

        Waits for missing ones to arrive.
        """
        read_by_keeper = self._relay.get_keeper_revision(self._kind)
        if read_by_keeper <= self.revision:
            return False
        await asyncio.sleep(
            MAX_LARGE_RELAY_DELAY_S if self._is_latest_only else MAX_RELAY_DELAY_S
        )
        # What the keeper has read since then may still be on its way.
        return read_by_keeper > self.revision

    def _on_answer_began(self, timeout: asyncio.Timeout) -> None:
        self._is_receiving = True
        if not timeout.expired():
            timeout.reschedule(None)

    def _on_watch_dead(self, after_revision: int) -> None:
        """Ask at once what the watch has missed."""
        self._must_catch_up = True
        if not self._is_watch_dead:
            self._is_watch_dead = True
            logger.warning(
                'watch not answered', kind=self._kind, after_revision=after_revision
            )

    def _on_call_failed(self, error: Exception) -> None:
        self._consecutive_failure_count += 1
        self._has_call_failed = True
        self._health.record_failure(self)
        if self._consecutive_failure_count == 1:
            logger.warning('store lost', kind=self._kind, reason=str(error))

    def _on_call_answered(self) -> None:
        self._health.record_answer(self)
        self._is_answer_unusable = False
        self._known_at = self._clock.monotonic()
        if not self._consecutive_failure_count:
            return
        logger.info(
            'store regained', kind=self._kind, failed_calls=self._consecutive_failure_count
        )
        self._consecutive_failure_count = 0
        self._outage_ended_at = self._clock.monotonic()

    def _may_be_outage_effect(self) -> bool:
        """Whether a removal that is seen now may be an effect of an outage."""
        if self._outage_ended_at is None:
            return False
        return self._clock.monotonic() - self._outage_ended_at < OUTAGE_EFFECT_DURATION_S


def _merge_changes(changes: list[Change]) -> list[Change]:
    """Return the last change of each object, with its state before the first one."""
    merged: dict[str, Change] = {}
    for change in changes:
        earlier = merged.get(change.object.name)
        before = change.before if earlier is None else earlier.before
        merged[change.object.name] = change._replace(before=before)
    return list(merged.values())
