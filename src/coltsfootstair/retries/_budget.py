"""Limits retries to a share of the requests."""

from __future__ import annotations

__all__ = ['RetryBudget']

DEFAULT_RETRY_RATIO = 0.1
"""Average number of retries allowed for each request."""

DEFAULT_BURST_COUNT = 20.0
"""Retries that may come at once."""


class RetryBudget:
    """Token bucket to which each request adds ``ratio`` of a token.

    :param ratio: average number of retries allowed for each request
    :param burst: capacity of the bucket: retries that may come at once
    """

    __slots__ = ('_burst', '_ratio', '_tokens')

    def __init__(
        self, ratio: float = DEFAULT_RETRY_RATIO, burst: float = DEFAULT_BURST_COUNT
    ) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def record_request(self) -> None:
        """Count a caller's request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Spend a token for a retry; return false if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
