"""Asks the keeper for permits."""

from __future__ import annotations

import asyncio
import itertools
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.peers import PermitAnswer, PermitRequest, WorkspacePermitRequest

__all__ = ['KEEPER_PAUSE_S', 'PermitClient']

ANSWER_TIMEOUT_S = 0.08
"""How long a daemon waits for the keeper's answer to a request for permits, in seconds; many
times the network delay between data centres. Doubles with each repeat, since a keeper that
stalls must not be asked more often for it."""

MIN_SEND_COUNT = 2
"""How often a request for permits is sent at least, since a datagram may be lost."""

KEEPER_PAUSE_S = 0.3
"""How long a daemon asks for no further permits after the keeper has answered none, in
seconds; the interval between two reports."""


class PermitClient:
    """Sends requests for permits to the keeper, and passes its answers to those who wait.

    :param send_request: sends a request to the keeper; returns the answer if this daemon is
        the keeper, else ``None``
    """

    def __init__(
        self,
        clock: Clock,
        send_request: Callable[[PermitRequest | WorkspacePermitRequest], PermitAnswer | None],
        count_outcome: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._clock = clock
        self._send_request = send_request
        self._count_outcome = count_outcome
        self._numbers = itertools.count(1)
        self._answer_by_number: dict[int, asyncio.Future[PermitAnswer]] = {}
        self._asks_again_at = -math.inf
        self._answered_at = -math.inf

    async def ask(
        self,
        build_request: Callable[[int], PermitRequest | WorkspacePermitRequest],
        patience_s: float = 0.0,
    ) -> PermitAnswer | None:
        """Return the keeper's answer, or ``None`` if there is none or it issues no permits.

        :param build_request: returns the request with the number that it is called with
        :param patience_s: how long to wait at least for a keeper that stalls, in seconds; the
            request is sent ``MIN_SEND_COUNT`` times in any case
        """
        began_at = self._clock.monotonic()
        if began_at < self._asks_again_at:
            return None
        number = next(self._numbers)
        waiting: asyncio.Future[PermitAnswer] = asyncio.get_running_loop().create_future()
        self._answer_by_number[number] = waiting
        request = build_request(number)
        try:
            timeout_s = ANSWER_TIMEOUT_S
            for number_sent in itertools.count(1):
                answer = self._send_request(request)
                if answer is None:
                    await asyncio.wait({waiting}, timeout=timeout_s)
                    answer = waiting.result() if waiting.done() else None
                if answer is not None:
                    return answer if answer.is_issued else None
                timeout_s *= 2.0
                waited_s = self._clock.monotonic() - began_at
                if number_sent >= MIN_SEND_COUNT and waited_s >= patience_s:
                    break
            if self._answered_at < began_at:
                self._asks_again_at = self._clock.monotonic() + KEEPER_PAUSE_S
            self._count_outcome('keeper did not answer')
            return None
        finally:
            del self._answer_by_number[number]

    def on_answer(self, answer: PermitAnswer) -> None:
        """Pass the keeper's answer to the request that waits for it."""
        self._answered_at = self._clock.monotonic()
        waiting = self._answer_by_number.get(answer.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)
