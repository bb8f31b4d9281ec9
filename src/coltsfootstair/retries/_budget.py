"""Bounds retries to a share of the requests."""

from __future__ import annotations

__all__ = ['RetryBudget']

DEFAULT_RETRY_SHARE = 0.1
"""Retries for each request, in the long run."""

DEFAULT_BURST_COUNT = 20.0
"""Retries that may come at once."""


class RetryBudget:
    """Token bucket to which each request adds ``share`` of a token.

    :param share: retries for each request, in the long run
    :param burst: capacity of the bucket: retries that may come at once
    """

    __slots__ = ('_burst', '_share', '_tokens')

    def __init__(
        self, share: float = DEFAULT_RETRY_SHARE, burst: float = DEFAULT_BURST_COUNT
    ) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def record_request(self) -> None:
        """Count a caller's request."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Spend a token for a retry; return false if there is none and no retry is allowed."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
