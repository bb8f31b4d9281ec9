"""History that a daemon keeps for operators: refusals and previous documents."""

from __future__ import annotations

import threading
from collections import Counter, deque
from typing import TYPE_CHECKING

from coltsfootstair.operators import DOCUMENT_KEY
from coltsfootstair.results import Ran, Refusal, ResultCode
from coltsfootstair.timeline import EventName, Timeline

if TYPE_CHECKING:
    from coltsfootstair.store import VersionedObject

__all__ = ['DocumentHistory', 'RefusalRecorder']

MAX_VERSION_COUNT = 8
"""Number of versions of the document that are kept, including the one in force."""


class DocumentHistory:
    """Keeps the last documents in force, to show what has changed since one of them."""

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline
        self._documents: deque[VersionedObject] = deque(maxlen=MAX_VERSION_COUNT)

    def apply_object(self, item: VersionedObject) -> None:
        """Apply a change of the replica."""
        if item.key != DOCUMENT_KEY:
            return
        self._documents.append(item)
        self._timeline.record(EventName.DOCUMENT_IN_FORCE, version=item.version)

    def text_by_version(self) -> dict[int, str]:
        """Return the text of each document kept, by version."""
        return {item.version: item.value.decode() for item in list(self._documents)}


class RefusalRecorder:
    """Counts refusals and records them on the time line; thread-safe."""

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline
        self._request_count_by_code: Counter[ResultCode] = Counter()
        self._lock = threading.Lock()

    def record(self, request_id: str, service: str, key: str, refusal: Refusal) -> None:
        """Record that a request was refused."""
        with self._lock:
            self._request_count_by_code[refusal.code] += 1
        name = EventName.REQUEST_REFUSED if refusal.ran is Ran.NO else EventName.REQUEST_BROKEN
        self._timeline.record(
            name,
            request_id=request_id,
            service=service,
            key=key,
            code=int(refusal.code),
            ran=refusal.ran.value,
            detail=refusal.detail,
        )

    def request_count_by_code(self) -> dict[ResultCode, int]:
        """Return the number of refused requests by result code."""
        with self._lock:
            return dict(self._request_count_by_code)
