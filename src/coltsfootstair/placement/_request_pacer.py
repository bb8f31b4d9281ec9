"""Limits the rate of one daemon's requests to a backend server."""

from __future__ import annotations

__all__ = ['RequestPacer']


class RequestPacer:
    """Spaces out one daemon's requests to each backend server whose request rate is limited.

    It handles a cold start under full load, and trial requests to unresponsive servers: all
    daemons together stay within the rate limit of the server, each with an equal share, and
    unused shares do not accumulate.
    """

    def __init__(self) -> None:
        self._next_request_at_by_incarnation: dict[tuple[str, int], float] = {}

    def schedule_first_request(
        self,
        incarnation: tuple[str, int],
        now: float,
        limit_per_s: float,
        daemon_count: int,
        random_share: float,
    ) -> None:
        """Schedule the first request to a new incarnation within the first interval.

        The interval is the time in which each daemon may send one request. The time of the
        first request within it is random, since otherwise all daemons would send theirs at
        the same moment.

        :param limit_per_s: requests per second that the server may get from all daemons
            together; 0 for no limit
        :param daemon_count: number of daemons that share the limit
        :param random_share: a random number from 0 to 1
        """
        if limit_per_s > 0:
            self._next_request_at_by_incarnation.setdefault(
                incarnation, now + random_share * daemon_count / limit_per_s
            )

    def get_wait_s(self, incarnation: tuple[str, int], now: float) -> float:
        """Return the seconds until the next request may be sent to ``incarnation``."""
        return max(0.0, self._next_request_at_by_incarnation.get(incarnation, 0.0) - now)

    def on_request_sent(
        self, incarnation: tuple[str, int], now: float, limit_per_s: float, daemon_count: int
    ) -> None:
        """Schedule the next request after one that is being sent.

        :param limit_per_s: requests per second that the server may get from all daemons
            together; 0 for no limit
        :param daemon_count: number of daemons that share the limit
        """
        if limit_per_s > 0:
            self._next_request_at_by_incarnation[incarnation] = (
                now + daemon_count / limit_per_s
            )

    def forget_ended(self, current_incarnations: set[tuple[str, int]]) -> None:
        """Remove the schedule of all incarnations except ``current_incarnations``."""
        for incarnation in [
            incarnation
            for incarnation in self._next_request_at_by_incarnation
            if incarnation not in current_incarnations
        ]:
            del self._next_request_at_by_incarnation[incarnation]
