"""Keeps a daemon's copy of one kind of objects up to date."""

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
"""How long a watch waits, in seconds; the longest that the platform's store allows."""

FIRST_RETRY_DELAY_S = 0.1
"""Pause after a first failed call, in seconds."""

MAX_RETRY_DELAY_S = 0.5
"""Longest pause between failed calls, in seconds; with the time of a call, a quarter of that
in which changes must be in force after the store's return."""


OUTAGE_EFFECT_S = 2.5
"""How long after an outage the removal of an entry may be its effect, in seconds."""

RELAY_LAG_S = 0.1
"""How much later than the notice of it a change may arrive from the keeper, in seconds."""


class StoreHealth:
    """Whether this daemon reaches the store; one follower at a time finds out.

    The others wait for it, so that an outage costs one call at a time.
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
        """Note a call without an answer; the first such caller goes on trying."""
        if self._prober is None:
            self._prober = caller
            self._reachable_again.clear()

    def record_answer(self, caller: object) -> None:
        """Note an answer."""
        self._prober = None
        self._reachable_again.set()

    async def wait_for_turn(self, caller: object) -> None:
        """Return when ``caller`` may call: at once, or when another one was answered."""
        if self._prober is not caller:
            await self._reachable_again.wait()


class Subscriber(Protocol):
    """Who is given the objects of a kind."""

    def apply_listing(self, listing: Listing, *, after_outage: bool) -> None:
        """Take all objects."""

    def apply_change(self, change: Change, *, after_outage: bool) -> bool:
        """Take one change; false if it says nothing new."""


class Follower:
    """Lists a kind once, then watches it, and lists again when history is missing.

    While the relay is on, changes come from the keeper and the store is asked only for
    what did not arrive.

    :param gap_s: pause between an answer of a watch and the next watch, so that changes
        in quick succession cost one call together
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
        """The kind that is followed."""
        return self._kind

    @property
    def revision(self) -> int:
        """Up to which revision of the store the kind is known; 0 before the first list."""
        return self._revision or 0

    def publish_to(self, receiver: Callable[[RelayedChanges], None]) -> None:
        """Pass on what the store answers."""
        self._publish = receiver

    def apply_relayed(self, update: RelayedChanges) -> None:
        """Take changes that the keeper read, if none before them is missing."""
        if (
            self._revision is None
            or not update.after_revision <= self._revision < update.revision
        ):
            return
        self._revision = update.revision
        for change in update.changes:
            self._subscriber.apply_change(change, after_outage=self._may_be_outage_effect())

    async def run(self) -> None:
        """Follow the kind until cancelled."""
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
        # A short watch shows soon whether the store is there and what was missed.
        wait_s = 0.0 if self._failures or self._relied_on_relay else WATCH_TIMEOUT_S
        self._relied_on_relay = False
        before = self._revision
        answer = await self._store.watch(self._kind, before, wait_s)
        self._on_call_answered()
        if answer.revision <= self._revision:
            return
        self._revision = answer.revision
        new = [
            change
            for change in answer.changes
            if self._subscriber.apply_change(change, after_outage=self._may_be_outage_effect())
        ]
        if self._publish is not None:
            self._publish(RelayedChanges(self._kind, before, answer.revision, new))
        if answer.changes:
            await asyncio.sleep(self._watch_pause_s)

    async def _is_behind(self) -> bool:
        """Whether the keeper has read on and its message did not arrive."""
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
        """Whether entries that go missing may still come back."""
        if self._outage_ended_at is None:
            return False
        return self._clock.monotonic() - self._outage_ended_at < OUTAGE_EFFECT_S
