"""Queue of the requests that wait for a slot, shared fairly between their callers."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from coltsfootstair.admission._messages import Submitted

__all__ = ['FairQueue']


class FairQueue:
    """A queue that is round robin between callers and first in, first out for each caller.

    ``upload_count`` is the number of uploads in it.
    """

    __slots__ = (
        '_callers_in_turn',
        '_count_by_key',
        '_request_by_id',
        '_requests_by_caller',
        'upload_count',
    )

    def __init__(self) -> None:
        self._request_by_id: dict[str, Submitted] = {}
        self._requests_by_caller: dict[str, OrderedDict[str, Submitted]] = {}
        self._callers_in_turn: deque[str] = deque()
        self._count_by_key: dict[str, int] = {}
        self.upload_count = 0

    def __len__(self) -> int:
        return len(self._request_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._request_by_id

    def __iter__(self) -> Iterator[Submitted]:
        return iter(self._request_by_id.values())

    def count_ahead_of(self, caller: str) -> int:
        """Return how many waiting requests are served before a new one of ``caller``."""
        own = len(self._requests_by_caller.get(caller, ()))
        return min(len(self._request_by_id), (own + 1) * len(self._requests_by_caller))

    def push(self, request: Submitted) -> None:
        """Add ``request`` behind the other waiting requests of its caller."""
        self._request_by_id[request.request_id] = request
        own_waiting = self._requests_by_caller.get(request.caller)
        if own_waiting is None:
            own_waiting = self._requests_by_caller[request.caller] = OrderedDict()
            self._callers_in_turn.append(request.caller)
        own_waiting[request.request_id] = request
        self._count_by_key[request.key] = self._count_by_key.get(request.key, 0) + 1
        self.upload_count += request.is_upload

    def pop(self) -> Submitted:
        """Remove and return the next request; the queue must not be empty."""
        caller = self._callers_in_turn[0]
        self._callers_in_turn.rotate(-1)
        return self.remove(next(iter(self._requests_by_caller[caller])))

    def remove(self, request_id: str) -> Submitted:
        """Remove and return the request with ``request_id``; it must be waiting."""
        request = self._request_by_id.pop(request_id)
        own_waiting = self._requests_by_caller[request.caller]
        del own_waiting[request_id]
        if not own_waiting:
            del self._requests_by_caller[request.caller]
            self._callers_in_turn.remove(request.caller)
        count = self._count_by_key[request.key] - 1
        if count:
            self._count_by_key[request.key] = count
        else:
            del self._count_by_key[request.key]
        self.upload_count -= request.is_upload
        return request

    def clear(self) -> list[Submitted]:
        """Remove and return all requests, in the order of their arrival."""
        requests = list(self._request_by_id.values())
        self.__init__()  # type: ignore[misc]
        return requests

    def choose_eviction(self, newcomer: Submitted) -> Submitted | None:
        """Return the request to remove from a full queue in favour of ``newcomer``, if any.

        It is the newest request of the caller with the most waiting requests, if that
        caller has at least two more of them than the newcomer's caller. Otherwise the
        same rule applies to the key with the most waiting requests, if they have a key.
        """
        largest = max(self._requests_by_caller.values(), key=len)
        if len(largest) >= len(self._requests_by_caller.get(newcomer.caller, ())) + 2:
            return largest[next(reversed(largest))]
        key = max(self._count_by_key, key=self._count_by_key.__getitem__)
        if not key or self._count_by_key[key] < self._count_by_key.get(newcomer.key, 0) + 2:
            return None
        return next(r for r in reversed(self._request_by_id.values()) if r.key == key)

    def is_from_largest_caller(self, request: Submitted) -> bool:
        """Return whether its caller has more waiting requests than any other caller.

        False if no other caller has a waiting request.
        """
        if len(self._requests_by_caller) < 2:
            return False
        own = len(self._requests_by_caller.get(request.caller, ()))
        others = (
            len(requests)
            for caller, requests in self._requests_by_caller.items()
            if caller != request.caller
        )
        return own > max(others, default=0)
