"""The task that keeps the replica up with the store."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import structlog

from coltsfootstair.errors import StoreUnavailableError
from coltsfootstair.store import RevisionTooOldError

if TYPE_CHECKING:
    from coltsfootstair.store import Replica, Store

__all__ = ['StoreWatch']

logger = structlog.get_logger()

WATCH_TIMEOUT_S = 20.0
RETRY_S = 0.25


class StoreWatch:
    """Watches all objects of the store and applies what changes to the replica."""

    def __init__(self, store: Store, replica: Replica) -> None:
        self._store = store
        self._replica = replica
        self._revision = -1
        self._reachable = True
        self._stopping = threading.Event()
        self._first = threading.Event()
        self._thread = threading.Thread(target=self._run, name='store-watch', daemon=True)

    @property
    def reachable(self) -> bool:
        """Whether the last call was answered."""
        return self._reachable

    def start(self) -> None:
        """Begin to watch."""
        self._thread.start()

    def stop(self) -> None:
        """End the task; a waiting watch is left to run out."""
        self._stopping.set()

    def wait_first(self, timeout_s: float) -> bool:
        """Wait until the store has been read once; false if it has not in time."""
        return self._first.wait(timeout_s)

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._step()
                self._set_reachable(True)
            except RevisionTooOldError:
                self._revision = -1
            except StoreUnavailableError as error:
                self._set_reachable(False, str(error))
                self._stopping.wait(RETRY_S)

    def _step(self) -> None:
        if self._revision < 0:
            items, self._revision = self._store.scan('')
        else:
            items, self._revision = self._store.watch('', self._revision, WATCH_TIMEOUT_S)
        if not self._stopping.is_set():
            self._replica.apply(items)
        self._first.set()

    def _set_reachable(self, reachable: bool, why: str = '') -> None:
        if reachable != self._reachable:
            logger.info('store reachable' if reachable else 'store unreachable', why=why)
        self._reachable = reachable
