"""Settings of a gateway daemon."""

from __future__ import annotations

from typing import NamedTuple

from coltsfootstair.http1 import Address

__all__ = ['GatewaySettings', 'RetrySettings', 'StoreSettings', 'WorkspaceSettings']


class RetrySettings(NamedTuple):
    """Retry budget that all daemons share.

    :param ratio: maximum number of retries for each request of a service, on average
    :param slack: retries allowed within ``window_s`` in addition to those by ``ratio``
    :param window_s: length of the time in which requests and retries are counted, in seconds
    """

    ratio: float = 0.2
    slack: float = 10.0
    window_s: float = 10.0


class WorkspaceSettings(NamedTuple):
    """How keys are taken away from workspaces, and how closely their limits bind.

    :param revocation_s: time from the acknowledgement of a configuration without a key after
        which requests with it must not run, in seconds
    :param is_revocation_strict: whether that binds daemons that can't learn of it, too
    :param limit_window_s: length of the time in which requests are counted, in seconds
    :param limit_slack: requests allowed within ``limit_window_s`` beyond the limit
    """

    revocation_s: float = 5.0
    is_revocation_strict: bool = False
    limit_window_s: float = 5.0
    limit_slack: float = 0.0


class StoreSettings(NamedTuple):
    """Settings of the platform's store.

    :param history_s: how long the store keeps changes for watches, in seconds
    """

    address: Address
    history_s: float = 20.0


class GatewaySettings(NamedTuple):
    """Settings of one daemon.

    :param callers: address on which callers are served
    :param ready: address on which load balancers poll readiness; not served if ``None``
    :param metrics: address on which the metrics page is served; not served if ``None``
    :param inner: address for datagrams between daemons
    :param helper: address on which requests of other daemons are taken; not served if ``None``
    :param memory_mib: memory that the process may use, in MiB
    :param cores: processor cores that the VM may use; may be a fraction
    :param link_mbps: bandwidth of the VM's link, in megabits a second
    :param grace_s: time from SIGTERM within which the process must end, in seconds
    :param configuration_deadline_s: time in which a new version of the configuration must
        be in force at all daemons, in seconds
    :param drain_s: how long a draining backend server may still be sent requests, in seconds
    :param longest_hold_s: maximum grant duration, in seconds
    :param is_first_start: whether the whole system starts for the first time, so that no grant
        to a backend server can be in force
    :param address_reuse_s: minimum time before the platform gives the address of an ended
        backend server to another one, in seconds
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
    configuration_deadline_s: float = 2.0
    drain_s: float = 2.0
    longest_hold_s: float = 10.0
    address_reuse_s: float = 2.0
    is_first_start: bool = False
    retries: RetrySettings = RetrySettings()
    workspaces: WorkspaceSettings = WorkspaceSettings()
    helper: Address | None = None
