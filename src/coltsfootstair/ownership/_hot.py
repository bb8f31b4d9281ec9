"""Counts requests by key to find hot keys in bounded memory."""

from __future__ import annotations

from datasketches import frequent_items_error_type, frequent_strings_sketch

__all__ = ['FrequentKeys']

WINDOW_S = 1.0
"""Shortest time over which requests are counted before rates are computed, in seconds."""

SKETCH_SIZE_LOG2 = 11
"""Size of a sketch, as a power of two; it distinguishes keys above 1/500 of the load."""

MAX_KEY_COUNT = 512
"""Greatest number of keys that are reported."""


class FrequentKeys:
    """Counts requests by key in time windows and reports the rates of the last full window.

    :param now: monotonic seconds
    """

    def __init__(self, now: float) -> None:
        self._sketch = frequent_strings_sketch(SKETCH_SIZE_LOG2)
        self._window_started_at = now
        self._rate_by_key: dict[str, float] = {}

    def count(self, key: str, now: float) -> None:
        """Count a request for ``key``."""
        self._rotate(now)
        self._sketch.update(key)

    def rate_by_key(self, now: float) -> dict[str, float]:
        """Return requests per second of the keys that are frequent for certain."""
        self._rotate(now)
        return dict(self._rate_by_key)

    def _rotate(self, now: float) -> None:
        """Compute the rates and start a new window if the present one is over."""
        window_s = now - self._window_started_at
        if window_s < WINDOW_S:
            return
        # Lower bounds of the counts are used, so that no key is reported hotter than it is.
        items = self._sketch.get_frequent_items(frequent_items_error_type.NO_FALSE_POSITIVES)
        self._rate_by_key = {
            key: lower / window_s for key, _, lower, _ in items[:MAX_KEY_COUNT]
        }
        self._sketch = frequent_strings_sketch(SKETCH_SIZE_LOG2)
        self._window_started_at = now
