"""Paces requests to backend servers that are cold."""

from __future__ import annotations

__all__ = ['ColdPacer']


class ColdPacer:
    """Spaces out one daemon's requests to each cold backend server.

    Answers a cold return under full load: the daemons together stay at the allowed rate,
    each with an equal part, and none may save its part up.
    """

    def __init__(self) -> None:
        self._next_at_by_life: dict[tuple[str, int], float] = {}

    def schedule_first_request(
        self,
        incarnation: tuple[str, int],
        now: float,
        per_s: float,
        daemons: int,
        share: float,
    ) -> None:
        """Give a life that is new here its first turn at a random point of the first round.

        :param share: a random number from 0 to 1
        """
        if per_s > 0:
            self._next_at_by_life.setdefault(incarnation, now + share * daemons / per_s)

    def get_wait_s(self, incarnation: tuple[str, int], now: float) -> float:
        """Return the seconds until the next request may go to ``life``."""
        return max(0.0, self._next_at_by_life.get(incarnation, 0.0) - now)

    def on_request_sent(
        self, incarnation: tuple[str, int], now: float, per_s: float, daemons: int
    ) -> None:
        """Count a request that is being sent.

        :param per_s: requests a second that the server bears from all daemons
        :param daemons: how many daemons share that rate
        """
        if per_s > 0:
            self._next_at_by_life[incarnation] = now + daemons / per_s

    def forget_ended(self, alive: set[tuple[str, int]]) -> None:
        """Drop what is known of lives that have ended."""
        for incarnation in [
            incarnation for incarnation in self._next_at_by_life if incarnation not in alive
        ]:
            del self._next_at_by_life[incarnation]
