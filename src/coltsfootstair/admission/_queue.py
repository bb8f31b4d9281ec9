"""The requests that wait for a slot, served round robin over their callers."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from coltsfootstair.admission._messages import Submitted

__all__ = ['FairQueue']


class FairQueue:
    """Waiting requests: first come first served for a caller, round robin between callers."""

    __slots__ = ('_by_caller', '_by_id', '_count_by_key', '_turns', 'long_count')

    def __init__(self) -> None:
        self._by_id: dict[str, Submitted] = {}
        self._by_caller: dict[str, OrderedDict[str, Submitted]] = {}
        self._turns: deque[str] = deque()
        self._count_by_key: dict[str, int] = {}
        self.long_count = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._by_id

    def __iter__(self) -> Iterator[Submitted]:
        return iter(self._by_id.values())

    def ahead_of(self, caller: str) -> int:
        """Return how many requests would be served before a new one of ``caller``."""
        own = len(self._by_caller.get(caller, ()))
        return min(len(self._by_id), (own + 1) * len(self._by_caller))

    def push(self, request: Submitted) -> None:
        """Let ``request`` wait at the end of its caller's turn."""
        self._by_id[request.request_id] = request
        waiting = self._by_caller.get(request.caller)
        if waiting is None:
            waiting = self._by_caller[request.caller] = OrderedDict()
            self._turns.append(request.caller)
        waiting[request.request_id] = request
        self._count_by_key[request.key] = self._count_by_key.get(request.key, 0) + 1
        self.long_count += request.long

    def pop(self) -> Submitted:
        """Take the next request out; the queue must not be empty."""
        caller = self._turns[0]
        self._turns.rotate(-1)
        return self.remove(next(iter(self._by_caller[caller])))

    def remove(self, request_id: str) -> Submitted:
        """Take the request with ``request_id`` out; it must be waiting."""
        request = self._by_id.pop(request_id)
        waiting = self._by_caller[request.caller]
        del waiting[request_id]
        if not waiting:
            del self._by_caller[request.caller]
            self._turns.remove(request.caller)
        count = self._count_by_key[request.key] - 1
        if count:
            self._count_by_key[request.key] = count
        else:
            del self._count_by_key[request.key]
        self.long_count -= request.long
        return request

    def clear(self) -> list[Submitted]:
        """Take all requests out, in the order of their arrival."""
        requests = list(self._by_id.values())
        self.__init__()  # type: ignore[misc]
        return requests

    def over_share(self, newcomer: Submitted) -> Submitted | None:
        """Return who must leave a full queue so that ``newcomer`` may wait, if any.

        It is the newest request of the caller with the most waiting, or failing that of
        the key with the most, where that is at least two more than the newcomer's has.
        """
        longest = max(self._by_caller.values(), key=len)
        if len(longest) >= len(self._by_caller.get(newcomer.caller, ())) + 2:
            return longest[next(reversed(longest))]
        key = max(self._count_by_key, key=self._count_by_key.__getitem__)
        if not key or self._count_by_key[key] < self._count_by_key.get(newcomer.key, 0) + 2:
            return None
        return next(r for r in reversed(self._by_id.values()) if r.key == key)

    def leads(self, request: Submitted) -> bool:
        """Tell whether no other caller has as many waiting as that of ``request``."""
        if len(self._by_caller) < 2:
            return False
        own = len(self._by_caller.get(request.caller, ()))
        others = (len(w) for c, w in self._by_caller.items() if c != request.caller)
        return own > max(others, default=0)
