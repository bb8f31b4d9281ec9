"""Limits that the daemons of a soak are configured with and checked against."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ['Bounds']


class Bounds(NamedTuple):
    """Limits as the platform's settings and rules state them; times are in seconds.

    :param fault_free_s: how long all components involved must have been without faults
        before a time limit is checked
    :param drain_s: how long a draining server may still be sent new requests
    :param evacuation_s: the same for the servers of an evacuated data centre
    :param configuration_s: how long a daemon may act on the previous configuration after a
        new version was written
    :param rollback_s: how long after the effect of a configuration was seen a process may
        still act on an older one
    :param slowed_rollback_factor: factor by which that is longer if the daemon had a fault
    :param grace_s: time from SIGTERM to SIGKILL
    :param answer_slack_s: how long after the timeout of its route a request may be answered
    :param recovery_s: time after the last fault within which a share of each kind of
        requests must be served again
    :param thaw_s: how long after a paused process went on or a disturbed link became whole
        grants are excused, since the pause or the link may have delayed them
    :param max_grant_duration_s: the longest time that keys may be granted for
    :param grant_duration_factor: factor by which a server's grant lasts longer than stated,
        because its clock drifts
    :param retry_ratio: allowed retries for each request of a service within
        ``retry_window_s``
    :param retry_slack: number of retries allowed in addition
    :param retry_window_s: length of the window in which retries and requests are counted
    :param cold_rate_factor: factor by which the requests that a cold server gets in any one
        second may exceed ``cold_requests_per_s``
    :param cold_slack: number of requests allowed in addition
    :param cold_requests_per_s: rate that services state for their cold servers
    :param address_reuse_s: how long after a crash no other server uses the address
    """

    fault_free_s: float = 3.0
    drain_s: float = 2.0
    evacuation_s: float = 5.0
    configuration_s: float = 2.0
    rollback_s: float = 0.25
    slowed_rollback_factor: float = 8.0
    grace_s: float = 3.0
    answer_slack_s: float = 0.5
    recovery_s: float = 15.0
    thaw_s: float = 0.3
    max_grant_duration_s: float = 10.0
    grant_duration_factor: float = 1.02
    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    cold_rate_factor: float = 1.5
    cold_slack: float = 5.0
    cold_requests_per_s: float = 5.0
    address_reuse_s: float = 2.0

    def format_settings(self) -> list[str]:
        """Return the entries of ``bounds`` in a daemon's settings file."""
        return [
            f'grace-s={self.grace_s:g}',
            f'drain-timeout-ms={self.drain_s * 1000:g}',
            f'hold-max-ms={self.max_grant_duration_s * 1000:g}',
            f'addr-reuse-s={self.address_reuse_s:g}',
            f'retry-budget-ratio={self.retry_ratio:g}',
            f'retry-slack={self.retry_slack:g}',
            f'retry-window-s={self.retry_window_s:g}',
        ]
