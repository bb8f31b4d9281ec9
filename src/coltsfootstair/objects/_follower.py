"""Keeps a daemon's copy of one kind of object up to date."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import structlog

from coltsfootstair.errors import RevisionTooOldError, StoreUnavailableError
from coltsfootstair.objects._types import Change, RelayedChanges

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.objects._relay import Relay
    from coltsfootstair.objects._types import Listing, ObjectStore

__all__ = ['Follower', 'StoreHealth', 'Subscriber']

logger = structlog.get_logger()

WATCH_TIMEOUT_S = 30.0
"""How long a watch waits for a change, in seconds; the maximum of the platform's store."""

FIRST_RETRY_DELAY_S = 0.1
"""Maximum delay after the first failed call, in seconds; doubles with each further one."""

MAX_RETRY_DELAY_S = 0.5
"""Maximum delay between failed calls, in seconds. Together with the time of a call it is a
quarter of the time in which changes must be in force after an outage of the store."""

OUTAGE_EFFECT_S = 2.5
"""How long after an outage a removed entry may be an effect of the outage, in seconds."""

RELAY_LAG_S = 0.1
"""How long to wait for a change after the keeper has reported its revision, in seconds.
After that the change is read from the store."""


class StoreHealth:
    """Tracks whether this daemon reaches the store.

    During an outage one follower retries and the others wait for its result, so that there
    is one call at a time.
    """

    def __init__(self) -> None:
        self._prober: object | None = None
        self._reachable_again = asyncio.Event()
        self._reachable_again.set()

    @property
    def is_reachable(self) -> bool:
        """Whether the last call was answered."""
        return self._prober is None

    def record_failure(self, caller: object) -> None:
        """Record a call without an answer; the first caller that fails keeps retrying."""
        if self._prober is None:
            self._prober = caller
            self._reachable_again.clear()

    def record_answer(self, caller: object) -> None:
        """Record a call that was answered, which ends an outage for all callers."""
        self._prober = None
        self._reachable_again.set()

    async def wait_for_turn(self, caller: object) -> None:
        """Wait until ``caller`` may call the store.

        The caller that retries may do so at once, the others after it got an answer.
        """
        if self._prober is not caller:
            await self._reachable_again.wait()


class Subscriber(Protocol):
    """Receives the objects of a kind and their changes."""

    def apply_listing(self, listing: Listing, *, after_outage: bool) -> None:
        """Replace what is known by the objects of a complete listing.

        :param after_outage: whether missing objects may be an effect of a store outage
        """

    def apply_change(self, change: Change, *, after_outage: bool) -> bool:
        """Apply one change; return whether it is worth relaying to other daemons.

        :param after_outage: whether a deletion may be an effect of a store outage
        """


class Follower:
    """Lists a kind once, then watches it; lists it again if the store's history is gone.

    While the relay is active, changes come from the keeper, and the store is only asked for
    changes that did not arrive.

    :param watch_pause_s: pause between the answer to a watch and the next watch, in seconds,
        so that changes in quick succession need only one call
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
    ) -> None:
        self._store = store
        self._kind = kind
        self._subscriber = subscriber
        self._clock = clock
        self._random = random_source
        self._health = health
        self._relay = relay
        self._watch_pause_s = watch_pause_s
        self._revision: int | None = None
        self._failures = 0
        self._outage_ended_at: float | None = None
        self._relied_on_relay = False
        self._publish: Callable[[RelayedChanges], None] | None = None

    @property
    def kind(self) -> str:
        """Kind of the objects that are followed."""
        return self._kind

    @property
    def revision(self) -> int:
        """Revision of the store up to which the kind is known; 0 before the first listing."""
        return self._revision or 0

    def publish_to(self, receiver: Callable[[RelayedChanges], None]) -> None:
        """Call ``receiver`` with the effective changes of each answer to a watch."""
        self._publish = receiver

    def apply_relayed(self, update: RelayedChanges) -> None:
        """Apply changes that the keeper has read, unless changes before them are missing."""
        if (
            self._revision is None
            or not update.after_revision <= self._revision < update.revision
        ):
            return
        self._revision = update.revision
        for change in update.changes:
            self._subscriber.apply_change(change, after_outage=self._may_be_outage_effect())

    async def run(self) -> None:
        """Follow the kind until the task is cancelled."""
        while True:
            try:
                await self._step()
            except RevisionTooOldError:
                logger.info('history gone', kind=self._kind, after_revision=self._revision)
                self._revision = None
                await asyncio.sleep(FIRST_RETRY_DELAY_S * self._random.random())
            except StoreUnavailableError as error:
                self._on_call_failed(error)
                delay_s = min(
                    MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2.0 ** (self._failures - 1)
                )
                await asyncio.sleep(delay_s * (0.5 + self._random.random() / 2))
                await self._health.wait_for_turn(self)

    async def _step(self) -> None:
        if self._revision is None:
            listing = await self._store.list(self._kind)
            self._on_call_answered()
            self._revision = listing.revision
            self._subscriber.apply_listing(listing, after_outage=self._may_be_outage_effect())
            return
        if self._relay.is_active and not self._failures:
            self._relied_on_relay = True
            if not await self._is_behind():
                await self._relay.wait_for_change()
                return
        # A watch without a wait shows at once whether the store answers and what was missed.
        wait_s = 0.0 if self._failures or self._relied_on_relay else WATCH_TIMEOUT_S
        self._relied_on_relay = False
        previous_revision = self._revision
        answer = await self._store.watch(self._kind, previous_revision, wait_s)
        self._on_call_answered()
        if answer.revision <= self._revision:
            return
        self._revision = answer.revision
        effective_changes = [
            change
            for change in answer.changes
            if self._subscriber.apply_change(change, after_outage=self._may_be_outage_effect())
        ]
        if self._publish is not None:
            self._publish(
                RelayedChanges(
                    self._kind, previous_revision, answer.revision, effective_changes
                )
            )
        if answer.changes:
            await asyncio.sleep(self._watch_pause_s)

    async def _is_behind(self) -> bool:
        """Whether the keeper has read changes that did not arrive within ``RELAY_LAG_S``."""
        if self._relay.keeper_revision(self._kind) <= self.revision:
            return False
        await asyncio.sleep(RELAY_LAG_S)
        return self._relay.keeper_revision(self._kind) > self.revision

    def _on_call_failed(self, error: Exception) -> None:
        self._failures += 1
        self._health.record_failure(self)
        if self._failures == 1:
            logger.warning('store lost', kind=self._kind, reason=str(error))

    def _on_call_answered(self) -> None:
        self._health.record_answer(self)
        if not self._failures:
            return
        logger.info('store regained', kind=self._kind, failed_calls=self._failures)
        self._failures = 0
        self._outage_ended_at = self._clock.monotonic()

    def _may_be_outage_effect(self) -> bool:
        """Whether a removal that is seen now may be an effect of an outage."""
        if self._outage_ended_at is None:
            return False
        return self._clock.monotonic() - self._outage_ended_at < OUTAGE_EFFECT_S
