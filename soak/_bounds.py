"""The bounds that a soak gives its daemons and holds them to."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ['Bounds']


class Bounds(NamedTuple):
    """Times in seconds, as the platform's settings and rules state them.

    :param touch_s: how long all must have been calm for a bound in time to hold
    :param drain_s: how long a leaving server may be sent requests
    :param evacuation_s: the same for a data centre that is evacuated
    :param configuration_s: how long an older version may be acted on
    :param grace_s: from SIGTERM to SIGKILL
    :param slack_s: how long after its route's time a request may be answered
    :param recovery_s: how long after all is back a part must be served again
    :param thaw_s: how long after a pause or a cut late grants are excused
    :param hold_s: the longest time that keys may be granted for
    :param hold_rate: how much longer than stated a server may hold keys, by its clock
    :param retry_ratio: repeats for each request of a service within ``retry_window_s``
    :param retry_slack: repeats beyond that
    :param cold_excess: times the stated rate that a cold server may get in a second
    :param cold_slack: requests beyond that
    """

    touch_s: float = 3.0
    drain_s: float = 2.0
    evacuation_s: float = 5.0
    configuration_s: float = 2.0
    grace_s: float = 3.0
    slack_s: float = 0.5
    recovery_s: float = 15.0
    thaw_s: float = 0.3
    hold_s: float = 10.0
    hold_rate: float = 1.02
    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    cold_excess: float = 1.5
    cold_slack: float = 5.0
    cold_per_s: float = 5.0
    address_reuse_s: float = 2.0

    def stated(self) -> list[str]:
        """Return the bounds as a daemon's settings state them."""
        return [
            f'grace-s={self.grace_s:g}',
            f'drain-timeout-ms={self.drain_s * 1000:g}',
            f'hold-max-ms={self.hold_s * 1000:g}',
            f'addr-reuse-s={self.address_reuse_s:g}',
            f'retry-budget-ratio={self.retry_ratio:g}',
            f'retry-slack={self.retry_slack:g}',
            f'retry-window-s={self.retry_window_s:g}',
        ]
