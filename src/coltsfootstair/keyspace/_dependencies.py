"""The dependencies of a keeper."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, Protocol

from coltsfootstair.clock import Clock
from coltsfootstair.crashes import SuspectRequests
from coltsfootstair.keyspace._grant_client import GrantClient
from coltsfootstair.keyspace._view import OwnershipView
from coltsfootstair.limits import NamedLimits
from coltsfootstair.objects import ObjectStore, Relay, RelayedChanges, RelayedDelta
from coltsfootstair.peers import PermitAnswer, Report, TrialAnswer
from coltsfootstair.placement import ServerPaths
from coltsfootstair.registry import Registry
from coltsfootstair.supervision import FailureLog

if TYPE_CHECKING:
    from coltsfootstair.http1 import Address
    from coltsfootstair.peers import Message

__all__ = ['Channel', 'KeeperDependencies']


class Channel(Protocol):
    """Datagrams to other daemons."""

    def send(self, message: Message, address: Address) -> None:
        """Send ``message`` to the daemon at ``address``; it may be lost."""


class KeeperDependencies(NamedTuple):
    """What a keeper uses of the rest of the daemon.

    :param is_store_reachable: returns whether this daemon's last call to the store was
        answered
    :param get_services_divided_by_key: returns the names of the services that the
        configuration divides by key: each of their keys belongs to one backend server, its
        owner
    :param get_cold_limit_per_s: returns how many requests per second a cold backend server of
        a service can serve from all daemons together
    :param get_default_service_time_s: returns the service time to assume for a service before
        any answer, in seconds
    :param max_grant_duration_s: longest grant duration that backend servers accept, in
        seconds
    :param address_reuse_s: how long the address of an ended backend server stays unused, in
        seconds
    :param keeper_capacity: capacity of this VM for the work of a keeper, from 0 to 1 (full
        capacity); a VM with less waits longer before a takeover
    :param relay: active while this daemon gets changed objects from the keeper
    :param get_revision_by_kind: returns up to which revision this daemon has read each kind
        of objects
    :param on_relayed_changes: called with changed objects that the keeper sent
    :param is_first_start: whether the whole system starts for the first time, so that no grant
        of an earlier keeper can be in force
    :param collect_report: returns this daemon's report with its figures since the last call.
        It is called with the epoch of the keeper, whether this daemon can reach the store, the
        seconds since the last call, and the revision of the known table by service
    :param count_grant_call: called with the outcome of each grant call: ``accepted``,
        ``refused``, ``other server``, ``not answered``, or ``held up`` if the server's TCP had
        not acknowledged the whole call when it was given up
    :param limits: limits that backend servers have named; ``None`` if they name none
    :param on_permit_answer: called with the keeper's answer to a request for permits
    :param suspects: requests under which backend servers ended; ``None`` if they are not
        recorded
    :param on_trial_answer: called with the keeper's word on a trial of such a request
    :param paths: state of this daemon's network paths to the backend servers; ``None`` if not
        recorded
    :param get_configuration_age_s: returns the time since the configuration was known to be
        the latest one, in seconds; infinite if it never was
    :param get_age_by_kind: returns the time since what is known of each kind of objects was
        known to be complete, in seconds; without kinds for which it never was
    :param on_kinds_confirmed: called with the monotonic time at which the keeper's objects of
        each kind were complete, and the revisions up to which it has read them
    :param get_workspace_limit: returns the requests a second of a workspace and their burst,
        by the configuration in force; ``None`` if it is not in it
    :param get_issued_rates: returns the permits a second that this daemon has lately got, by
        workspace
    :param on_keeper_heard: called with the time from which a keeper is heard, and whether it
        issues permits for workspaces
    :param on_relayed_delta: called with a change of a large object that the keeper sent;
        raises ``ProtocolError`` if it does not fit
    :param link_mbps: bandwidth of this VM's link, in megabits a second
    :param get_configuration_version: returns the version of the configuration in force; 0 if
        there is none
    :param failures: records the ends of tasks that must not end
    :param are_changes_overdue: returns whether this daemon may not know all changed objects,
        since the store has not told of them in time
    """

    store: ObjectStore
    grant_client: GrantClient
    registry: Registry
    ownership_view: OwnershipView
    clock: Clock
    random_source: random.Random
    is_store_reachable: Callable[[], bool]
    get_services_divided_by_key: Callable[[], set[str]]
    get_cold_limit_per_s: Callable[[str], float]
    get_default_service_time_s: Callable[[str], float]
    max_grant_duration_s: float
    address_reuse_s: float
    keeper_capacity: float
    relay: Relay
    get_revision_by_kind: Callable[[], dict[str, int]]
    on_relayed_changes: Callable[[RelayedChanges], None]
    collect_report: Callable[[int, bool, float, dict[str, int]], Report]
    is_first_start: bool = False
    count_grant_call: Callable[[str], None] = lambda _outcome: None
    limits: NamedLimits | None = None
    on_permit_answer: Callable[[PermitAnswer], None] = lambda _answer: None
    suspects: SuspectRequests | None = None
    on_trial_answer: Callable[[TrialAnswer], None] = lambda _answer: None
    are_changes_overdue: Callable[[], bool] = lambda: False
    paths: ServerPaths | None = None
    get_configuration_age_s: Callable[[], float] = lambda: math.inf
    get_age_by_kind: Callable[[], dict[str, float]] = dict
    on_kinds_confirmed: Callable[[dict[str, float], dict[str, int]], None] = (
        lambda _confirmed_at, _revisions: None
    )
    get_workspace_limit: Callable[[str], tuple[float, float] | None] = lambda _name: None
    get_issued_rates: Callable[[], dict[str, float]] = dict
    on_keeper_heard: Callable[[float, bool], None] = lambda _at, _is_issuing: None
    get_configuration_version: Callable[[], int] = lambda: 0
    on_relayed_delta: Callable[[RelayedDelta], None] = lambda _delta: None
    link_mbps: float = 1000.0
    failures: FailureLog = FailureLog()
