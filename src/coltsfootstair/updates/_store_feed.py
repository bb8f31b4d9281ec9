"""Task that reads changes from the store, as long as this daemon must read them itself."""

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
"""How long one watch waits; its end without changes shows that the replica is up to date."""

RETRY_INTERVAL_S = 0.25
"""Pause after a failed call, and between checks of whether the daemon must read the store."""

MAX_PEER_UPDATE_AGE_S = 2.0
"""Age of the replica above which a daemon that is no watcher reads the store itself."""


class StoreFeed:
    """Watches all objects of the store and applies changes to the replica.

    :param is_watcher: returns whether this daemon watches the store for others now
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
        self._is_reachable = True
        self._stopping = threading.Event()
        self._first_read_done = threading.Event()
        self._thread = threading.Thread(target=self._run, name='store-feed', daemon=True)

    @property
    def is_reachable(self) -> bool:
        """Whether the store answered the last call; true before the first one."""
        return self._is_reachable

    def start(self) -> None:
        """Start the task."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the task without waiting for a watch in progress."""
        self._stopping.set()

    def wait_for_first_read(self, timeout_s: float) -> bool:
        """Wait until the store has been read once.

        :return: false if it was not read within ``timeout_s``
        """
        return self._first_read_done.wait(timeout_s)

    def _run(self) -> None:
        while not self._stopping.is_set():
            if not self._must_read():
                self._stopping.wait(RETRY_INTERVAL_S)
                continue
            try:
                self._read_changes()
                self._set_reachable(True)
            except StoreUnavailableError as error:
                self._set_reachable(False, str(error))
                self._stopping.wait(RETRY_INTERVAL_S)

    def _must_read(self) -> bool:
        return (
            not self._first_read_done.is_set()
            or self._is_watcher()
            or self._replica_tracker.age_s() > MAX_PEER_UPDATE_AGE_S
        )

    def _read_changes(self) -> None:
        if self._replica_tracker.revision < 0:
            self._read_all()
            return
        sent_at = self._clock.monotonic()
        after_revision = self._replica_tracker.revision
        try:
            objects, revision = self._store.watch('', after_revision, WATCH_TIMEOUT_S)
        except RevisionTooOldError:
            self._read_all()
            return
        self._replica_tracker.apply_store_answer(objects, revision, sent_at)
        self._first_read_done.set()

    def _read_all(self) -> None:
        """Scan the store and merge its objects into the replica.

        Only newer objects are applied; objects that the scan lacks stay in the replica.
        """
        sent_at = self._clock.monotonic()
        objects, revision = self._store.scan('')
        self._replica_tracker.apply_store_answer(objects, revision, sent_at)
        self._first_read_done.set()

    def _set_reachable(self, reachable: bool, reason: str = '') -> None:
        if reachable != self._is_reachable:
            logger.info('store reachable' if reachable else 'store unreachable', why=reason)
        self._is_reachable = reachable
