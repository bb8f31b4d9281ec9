"""Finds the keys that are asked for most, in bounded memory."""

from __future__ import annotations

from datasketches import frequent_items_error_type, frequent_strings_sketch

__all__ = ['FrequentKeys']

WINDOW_S = 1.0
"""How long requests are counted before the counts are looked at, in seconds."""

SKETCH_SIZE_LOG2 = 11
"""Size of a sketch, as a power of two; it tells keys above 1/500 of the load apart."""

MAX_KEYS = 512
"""Keys that are reported at most."""


class FrequentKeys:
    """Counts keys in windows; what is reported is of the window that has ended.

    :param now: monotonic seconds
    """

    def __init__(self, now: float) -> None:
        self._counting = frequent_strings_sketch(SKETCH_SIZE_LOG2)
        self._counting_since = now
        self._rate_by_key: dict[str, float] = {}

    def count(self, key: str, now: float) -> None:
        """Count a request for ``key``."""
        self._rotate(now)
        self._counting.update(key)

    def rate_by_key(self, now: float) -> dict[str, float]:
        """Return requests a second of the keys that are frequent for certain."""
        self._rotate(now)
        return dict(self._rate_by_key)

    def _rotate(self, now: float) -> None:
        seconds = now - self._counting_since
        if seconds < WINDOW_S:
            return
        # The lower bounds are taken: a key is never held to be hotter than it is.
        items = self._counting.get_frequent_items(frequent_items_error_type.NO_FALSE_POSITIVES)
        self._rate_by_key = {key: lower / seconds for key, _, lower, _ in items[:MAX_KEYS]}
        self._counting = frequent_strings_sketch(SKETCH_SIZE_LOG2)
        self._counting_since = now
