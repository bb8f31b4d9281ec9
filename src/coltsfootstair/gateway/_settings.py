"""The settings of a daemon."""

from __future__ import annotations

from typing import NamedTuple

from coltsfootstair.http1 import Address

__all__ = ['GatewaySettings', 'RetrySettings', 'StoreSettings']


class RetrySettings(NamedTuple):
    """What all daemons together may send again.

    :param ratio: repeats for each request of a service
    :param slack: repeats beyond that within ``window_s``
    """

    ratio: float = 0.2
    slack: float = 10.0
    window_s: float = 10.0


class StoreSettings(NamedTuple):
    """Where the platform's store is."""

    address: Address


class GatewaySettings(NamedTuple):
    """The settings of one daemon.

    :param callers: address on which callers are served
    :param ready: address on which the balancer asks
    :param metrics: address on which the metrics page is served; none if ``None``
    :param inner: address for datagrams between daemons
    :param memory_mib: memory that the process may use, in MiB
    :param cores: processor time a second that the VM has
    :param link_mbps: bandwidth of the VM's link, in megabits a second
    :param grace_s: seconds from SIGTERM to the end of the process
    :param drain_s: how long a leaving backend server may be sent requests, in seconds
    :param longest_hold_s: the longest time that keys may be granted for, in seconds
    :param address_reuse_s: how long an ended server's address stays unused, in seconds
    """

    name: str
    data_centre: str
    callers: Address
    ready: Address | None
    inner: Address
    store: StoreSettings
    metrics: Address | None = None
    memory_mib: int = 256
    cores: float = 1.0
    link_mbps: float = 1000.0
    grace_s: float = 6.0
    drain_s: float = 2.0
    longest_hold_s: float = 10.0
    address_reuse_s: float = 2.0
    retries: RetrySettings = RetrySettings()
