"""The task that watches the store, in the daemons that have to."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING

import structlog

from coltsfootstair.errors import StoreUnavailableError
from coltsfootstair.store import RevisionTooOldError, Store

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock
    from coltsfootstair.updates._replica_tracker import ReplicaTracker

__all__ = ['StoreFeed']

logger = structlog.get_logger()

WATCH_TIMEOUT_S = 0.5
"""How long one watch waits; its end without changes confirms what is known, in seconds."""

RETRY_S = 0.25
PEERS_FAIL_AGE_S = 2.0
"""From this age of its updates on, in seconds, a daemon reads the store itself."""


class StoreFeed:
    """Watches all objects of the store and adds what changes to what is known.

    :param is_watcher: whether this daemon watches for others at present
    """

    def __init__(
        self,
        store: Store,
        replica_tracker: ReplicaTracker,
        clock: Clock,
        is_watcher: Callable[[], bool],
    ) -> None:
        self._store = store
        self._replica_tracker = replica_tracker
        self._clock = clock
        self._is_watcher = is_watcher
        self._reachable = True
        self._stopping = threading.Event()
        self._first = threading.Event()
        self._thread = threading.Thread(target=self._run, name='store-feed', daemon=True)

    @property
    def is_reachable(self) -> bool:
        """Whether the last call was answered."""
        return self._reachable

    def start(self) -> None:
        """Begin to watch."""
        self._thread.start()

    def stop(self) -> None:
        """End the task; a waiting watch is left to run out."""
        self._stopping.set()

    def wait_for_first_read(self, timeout_s: float) -> bool:
        """Wait until the store has been read once; false if it has not in time."""
        return self._first.wait(timeout_s)

    def _run(self) -> None:
        while not self._stopping.is_set():
            if not self._has_to_read():
                self._stopping.wait(RETRY_S)
                continue
            try:
                self._step()
                self._set_reachable(True)
            except StoreUnavailableError as error:
                self._set_reachable(False, str(error))
                self._stopping.wait(RETRY_S)

    def _has_to_read(self) -> bool:
        return (
            not self._first.is_set()
            or self._is_watcher()
            or self._replica_tracker.age_s() > PEERS_FAIL_AGE_S
        )

    def _step(self) -> None:
        if self._replica_tracker.revision < 0:
            self._scan()
            return
        asked_at = self._clock.monotonic()
        after = self._replica_tracker.revision
        try:
            objects, revision = self._store.watch('', after, WATCH_TIMEOUT_S)
        except RevisionTooOldError:
            self._scan()
            return
        self._replica_tracker.apply_store_answer(objects, revision, asked_at)
        self._first.set()

    def _scan(self) -> None:
        asked_at = self._clock.monotonic()
        objects, revision = self._store.scan('')
        self._replica_tracker.apply_store_answer(objects, revision, asked_at)
        self._first.set()

    def _set_reachable(self, reachable: bool, why: str = '') -> None:
        if reachable != self._reachable:
            logger.info('store reachable' if reachable else 'store unreachable', why=why)
        self._reachable = reachable
