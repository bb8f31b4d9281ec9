"""The share of requests that may be repeated."""

from __future__ import annotations

__all__ = ['RetryBudget']

DEFAULT_RETRY_SHARE = 0.1
DEFAULT_BURST_COUNT = 20.0


class RetryBudget:
    """A token bucket that each request fills by ``share`` of a token.

    :param share: repeats for each request, in the long run
    :param burst: repeats that may come at once
    """

    __slots__ = ('_burst', '_share', '_tokens')

    def __init__(
        self, share: float = DEFAULT_RETRY_SHARE, burst: float = DEFAULT_BURST_COUNT
    ) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def record_request(self) -> None:
        """Count a request of a caller."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Spend a token; false if there is none, and nothing may be repeated."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
