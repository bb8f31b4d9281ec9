"""Lets requests under which several servers ended be tried alone, one at a time."""

from __future__ import annotations

import asyncio
import itertools
import math
from typing import TYPE_CHECKING

from coltsfootstair.peers import TrialAnswer, TrialRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.clock import Clock

__all__ = ['TRIAL_INTERVAL_S', 'TrialClient', 'TrialScheduler']

TRIAL_INTERVAL_S = 1.0
"""Least time between two trials of all daemons, in seconds, so that a server that ends during
one tells of that request."""

MAX_TRIAL_COUNT = 2
"""Number of trials of one request, in case the first one is cut off and tells nothing."""

TRIAL_MEMORY_S = 600.0
"""Time after the last trial from which a request may be tried again, in seconds."""

ANSWER_TIMEOUT_S = 0.15
"""How long a daemon waits for the keeper's word on a trial, in seconds."""


class TrialScheduler:
    """Grants trials for all daemons; part of the keeper."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_at = -math.inf
        self._trials_by_fingerprint: dict[bytes, tuple[int, float]] = {}

    def grant(self, fingerprint: bytes) -> bool:
        """Return whether a request may be tried now, and count the trial if so."""
        now = self._clock.monotonic()
        for known, (_, last_at) in list(self._trials_by_fingerprint.items()):
            if now - last_at > TRIAL_MEMORY_S:
                del self._trials_by_fingerprint[known]
        count, _ = self._trials_by_fingerprint.get(fingerprint, (0, 0.0))
        if now - self._last_at < TRIAL_INTERVAL_S or count >= MAX_TRIAL_COUNT:
            return False
        self._last_at = now
        self._trials_by_fingerprint[fingerprint] = (count + 1, now)
        return True


class TrialClient:
    """Asks the keeper for trials of one daemon's requests.

    :param send_request: sends a request for a trial to the keeper; returns the answer if this
        daemon is the keeper, else ``None``
    """

    def __init__(self, name: str, send_request: Callable[[TrialRequest], bool | None]) -> None:
        self._name = name
        self._send_request = send_request
        self._numbers = itertools.count(1)
        self._answer_by_number: dict[int, asyncio.Future[bool]] = {}

    async def ask(self, fingerprint: bytes) -> bool:
        """Return whether a request may be tried now; not without an answer of the keeper."""
        number = next(self._numbers)
        waiting: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._answer_by_number[number] = waiting
        try:
            is_granted = self._send_request(TrialRequest(self._name, number, fingerprint))
            if is_granted is not None:
                return is_granted
            await asyncio.wait({waiting}, timeout=ANSWER_TIMEOUT_S)
            return waiting.done() and waiting.result()
        finally:
            del self._answer_by_number[number]

    def on_answer(self, answer: TrialAnswer) -> None:
        """Pass the keeper's answer to the request that waits for it."""
        waiting = self._answer_by_number.get(answer.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer.is_granted)
