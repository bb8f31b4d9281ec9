"""Tells exchanges that ended with their server from those that ended otherwise."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.crashes._suspects import SuspectRequests

__all__ = ['CrashEvidence', 'EndedExchange']

DECISION_TIME_S = 6.0
"""Time after the end of an exchange within which its server must prove to have ended, in
seconds; longer than an entry outlasts its server."""


class EndedExchange(NamedTuple):
    """An exchange in which the server closed the connection without an answer.

    :param fingerprints: the fingerprints of the request
    :param sent_at: monotonic time at which the request was sent, in seconds
    :param ended_at: monotonic time at which the connection was closed, in seconds
    :param is_trial: whether the request was tried alone
    """

    fingerprints: tuple[bytes, bytes]
    sent_at: float
    ended_at: float
    is_trial: bool = False


class CrashEvidence:
    """Holds ended exchanges until their server proves to have ended, or to live.

    A server that refuses a connection, or whose entry is gone or is of a later life, has
    ended. One that answers any request that was sent after the end of the exchange lives.
    Without either within ``DECISION_TIME_S``, nothing is held against the request.
    """

    def __init__(self, clock: Clock, suspects: SuspectRequests) -> None:
        self._clock = clock
        self._suspects = suspects
        self._exchanges_by_incarnation: dict[tuple[str, int], list[EndedExchange]] = {}
        self._ended_at_by_incarnation: dict[tuple[str, int], float] = {}

    def add(self, incarnation: tuple[str, int], exchange: EndedExchange) -> None:
        """Hold an ended exchange until its server's end is decided.

        A request that was sent to a server which had already ended has not run there.
        """
        ended_at = self._ended_at_by_incarnation.get(incarnation)
        if ended_at is None:
            exchanges = self._exchanges_by_incarnation.setdefault(incarnation, [])
            if all(exchange.sent_at < other.ended_at for other in exchanges):
                exchanges.append(exchange)
        elif exchange.sent_at < ended_at:
            self._record(incarnation, exchange)

    def on_answer(self, incarnation: tuple[str, int], sent_at: float) -> None:
        """Drop the exchanges that ended before a request was sent that has an answer."""
        exchanges = self._exchanges_by_incarnation.get(incarnation)
        if exchanges is None:
            return
        exchanges[:] = [exchange for exchange in exchanges if exchange.ended_at > sent_at]
        if not exchanges:
            del self._exchanges_by_incarnation[incarnation]

    def on_ended(self, incarnation: tuple[str, int]) -> None:
        """Count the exchanges as crashes: the server has ended."""
        exchanges = self._exchanges_by_incarnation.pop(incarnation, ())
        for exchange in exchanges:
            self._ended_at_by_incarnation[incarnation] = exchange.ended_at
            self._record(incarnation, exchange)

    def _record(self, incarnation: tuple[str, int], exchange: EndedExchange) -> None:
        self._suspects.record_crash(
            exchange.fingerprints,
            incarnation,
            exchange.sent_at,
            exchange.ended_at,
            is_trial=exchange.is_trial,
        )

    def decide(self, has_entry: Callable[[tuple[str, int]], bool]) -> None:
        """Decide what the entries of servers tell, and drop what is undecided for too long.

        :param has_entry: returns whether an incarnation still has an entry
        """
        now = self._clock.monotonic()
        for incarnation, exchanges in list(self._exchanges_by_incarnation.items()):
            if not has_entry(incarnation):
                self.on_ended(incarnation)
            elif now - exchanges[-1].ended_at > DECISION_TIME_S:
                del self._exchanges_by_incarnation[incarnation]
        for incarnation, ended_at in list(self._ended_at_by_incarnation.items()):
            if now - ended_at > DECISION_TIME_S:
                del self._ended_at_by_incarnation[incarnation]
