"""Decides what may be claimed from a configuration that may not be the latest one."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.clock import Clock

__all__ = ['UNCONFIRMED_RETRY_S', 'ConfigurationAge']

MAX_AGE_SHARE = 0.9
"""Share of the time after which a key that was taken away must not be served; the rest is a
margin for clocks that differ in speed."""

MAX_DENIAL_AGE_SHARE = 0.9
"""Share of the time in which a new version must be in force, up to which a request is denied
by an older one; the rest is a margin for clocks that differ in speed."""

UNCONFIRMED_RETRY_S = 0.5
"""When a caller whose route or key can't be judged at present is told to come back, in
seconds; a keeper is replaced, or the store asked again, within about a second."""


class ConfigurationAge:
    """Age of the last moment at which the configuration is known to have been the latest.

    :param get_confirmed_at: returns that moment, in monotonic seconds
    :param is_newest_in_force: returns whether no newer version is known of
    :param deadline_s: time in which a new version must be in force, in seconds
    :param revocation_s: time after which a key that was taken away must not be served, in
        seconds
    :param is_strict: whether that also binds a daemon that can't learn of it; others serve
        the keys that they know
    """

    def __init__(
        self,
        clock: Clock,
        get_confirmed_at: Callable[[], float],
        is_newest_in_force: Callable[[], bool],
        deadline_s: float,
        revocation_s: float,
        *,
        is_strict: bool,
    ) -> None:
        self._clock = clock
        self._get_confirmed_at = get_confirmed_at
        self._is_newest_in_force = is_newest_in_force
        self._max_denial_age_s = MAX_DENIAL_AGE_SHARE * deadline_s
        self._max_age_s = MAX_AGE_SHARE * revocation_s
        self._is_strict = is_strict

    @property
    def age_s(self) -> float:
        """Time since the configuration was known to be the latest, in seconds."""
        return self._clock.monotonic() - self._get_confirmed_at()

    @property
    def is_current(self) -> bool:
        """Whether requests with a known key may be served."""
        return not self._is_strict or self.age_s <= self._max_age_s

    @property
    def is_recent(self) -> bool:
        """Whether a request may be denied for what the configuration lacks.

        Every version that must be in force by now is then known.
        """
        return self.age_s <= self._max_denial_age_s and self._is_newest_in_force()
