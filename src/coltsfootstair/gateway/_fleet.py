"""Tracks the load of all backend servers, and what one daemon may send them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import structlog

from coltsfootstair.crashes import CrashEvidence, SuspectRequests, TrialClient
from coltsfootstair.limits import LimitGate, NamedLimits
from coltsfootstair.peers import LoadFigures, Report
from coltsfootstair.placement import (
    Candidate,
    LoadEstimate,
    RequestPacer,
    ServerPaths,
    ServerPauses,
    ServiceMean,
    compute_limit_without_report,
    compute_return_pace,
)
from coltsfootstair.retries import WindowRetryBudget

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.gateway._settings import RetrySettings
    from coltsfootstair.gateway._types import AnswerFacts
    from coltsfootstair.peers import (
        PermitAnswer,
        PermitRequest,
        TrialRequest,
        WorkspacePermitRequest,
    )
    from coltsfootstair.placement import Pause
    from coltsfootstair.registry import BackendServer, Registry

__all__ = ['Fleet']

logger = structlog.get_logger()

RETRY_BUDGET_SHARE = 0.9
"""Share of the configured ratio of retries that daemons use; the rest is a safety margin."""

RETRY_SLACK_SHARE = 0.6
"""Share of the configured slack that daemons use. The rest covers errors of the division: the
known number of daemons may be out of date."""

CONNECTION_SHARE = 0.8
"""Share of a server's connections that daemons use for requests; grant calls and idle
connections take the rest."""

PROBES_PER_S = 1.0
"""Requests a second that all daemons together send to an unresponsive server to find out
whether it answers again."""

ASSUMED_DAEMON_COUNT = 100
"""Number of daemons that is assumed while the real number is unknown; larger than any
deployment, so that the shares of the daemons are rather too small than too large."""


class Fleet:
    """Holds load estimates of backend servers, the pacing of cold ones, and retry budgets.

    :param get_daemon_count: returns the number of daemons; 0 while it is unknown
    :param get_unresponsive_servers: returns the names of the servers that answer no daemon
    :param get_expected_service_time_s: returns the service time to assume for a service until
        an answer has been measured, in seconds
    :param get_cold_requests_per_s: returns the requests a second that a cold server of a
        service accepts from all daemons together
    :param count_pause: counts what a server says of a pause, by outcome
    :param count_limit: counts what a server says of a limit, and the requests that are sent to
        limited servers, by outcome
    :param request_permits: asks the keeper for permits to send requests to a limited server;
        returns the answer if this daemon is the keeper
    :param count_suspect: counts what happens to requests under which servers ended, by outcome
    :param request_trial: asks the keeper whether such a request may be tried alone; returns
        its word if this daemon is the keeper
    :ivar limits: limits that backend servers have named
    :ivar limit_gate: permits for this daemon's requests to limited servers
    :ivar suspects: requests under which servers ended
    :ivar trials: trials of this daemon's requests under which several servers ended
    :ivar helper_address: host and port where this daemon takes requests of others, which
        reports tell
    :ivar data_centre: where this daemon runs, which reports tell
    :ivar paths: state of this daemon's network paths to the backend servers
    :ivar crash_evidence: exchanges that may have ended with their server
    :param is_first_start: whether no earlier process of this daemon can have used its share of
        the slack of retries
    """

    def __init__(
        self,
        name: str,
        registry: Registry,
        clock: Clock,
        retries: RetrySettings,
        get_daemon_count: Callable[[], int],
        get_cold_requests_per_s: Callable[[str], float],
        get_expected_service_time_s: Callable[[str], float],
        get_unresponsive_servers: Callable[[], list[str]],
        random_source: random.Random,
        count_pause: Callable[[str], None] = lambda _: None,
        count_limit: Callable[[str], None] = lambda _: None,
        request_permits: Callable[
            [PermitRequest | WorkspacePermitRequest], PermitAnswer | None
        ] = lambda _: None,
        count_suspect: Callable[[str], None] = lambda _: None,
        request_trial: Callable[[TrialRequest], bool | None] = lambda _: False,
        *,
        is_first_start: bool = True,
    ) -> None:
        self._name = name
        self._registry = registry
        self._clock = clock
        self._retries = retries
        self._get_known_daemon_count = get_daemon_count
        self._get_cold_requests_per_s = get_cold_requests_per_s
        self._get_expected_service_time_s = get_expected_service_time_s
        self._random = random_source
        self._estimate_by_incarnation: dict[tuple[str, int], LoadEstimate] = {}
        self._mean_by_service: dict[str, ServiceMean] = {}
        self._cold_pacer = RequestPacer()
        self._probe_pacer = RequestPacer()
        self._get_unresponsive_servers = get_unresponsive_servers
        self._count_pause = count_pause
        self._count_limit = count_limit
        self.suspects = SuspectRequests(clock, count_suspect)
        self.crash_evidence = CrashEvidence(clock, self.suspects)
        self.trials = TrialClient(name, request_trial)
        self.limits = NamedLimits(clock, count_limit)
        self.limit_gate = LimitGate(
            name,
            clock,
            self.limits,
            request_permits,
            lambda: self.daemon_count,
            random_source,
            count_limit,
        )
        self._has_slack_from = (
            -math.inf if is_first_start else clock.monotonic() + retries.window_s
        )
        self._pauses = ServerPauses()
        self.paths = ServerPaths(clock)
        self.helper_address: tuple[str, int] | None = None
        self.data_centre = ''
        # So that equal malformed values of one server are logged once.
        self._malformed_retry_after_by_incarnation: dict[tuple[str, int], bytes] = {}
        self._budget_by_service: dict[str, WindowRetryBudget] = {}
        self._request_counts_by_service: dict[str, dict[int, int]] = {}

    @property
    def daemon_count(self) -> int:
        """Number of daemons among which limits are divided.

        ``ASSUMED_DAEMON_COUNT`` while the real number is unknown.
        """
        return self._get_known_daemon_count() or ASSUMED_DAEMON_COUNT

    def reload(self, retries: RetrySettings) -> None:
        """Apply changed retry settings; the window stays the same until the next start."""
        self._retries = retries._replace(window_s=self._retries.window_s)
        for budget in self._budget_by_service.values():
            budget.ratio = RETRY_BUDGET_SHARE * retries.ratio

    def get_load_estimate(self, server: BackendServer) -> LoadEstimate:
        """Return this daemon's load estimate of a backend server; create a missing one."""
        estimate = self._estimate_by_incarnation.get(server.incarnation)
        if estimate is None:
            service_mean = self._get_service_mean(server.service)
            estimate = self._estimate_by_incarnation[server.incarnation] = LoadEstimate(
                server.slots, service_mean
            )
        return estimate

    def get_mean_service_time_s(self, service: str) -> float:
        """Return the mean service time over all servers of a service, in seconds."""
        return self._get_service_mean(service).mean_s

    def _get_service_mean(self, service: str) -> ServiceMean:
        service_mean = self._mean_by_service.get(service)
        if service_mean is None:
            service_mean = self._mean_by_service[service] = ServiceMean(
                self._get_expected_service_time_s(service)
            )
        return service_mean

    def make_candidate(self, server: BackendServer, max_connections: int) -> Candidate:
        """Return a backend server as a candidate for a request.

        An unresponsive server counts as responsive while a probe may be sent to it: the next
        request is the probe.

        :param max_connections: connections that it accepts from all daemons together
        """
        cold_wait_s = 0.0
        if self._registry.cold_left_s(server) > 0:
            requests_per_s = self._get_cold_requests_per_s(server.service)
            self._cold_pacer.schedule_first_request(
                server.incarnation,
                self._clock.monotonic(),
                requests_per_s,
                self.daemon_count,
                self._random.random(),
            )
            cold_wait_s = self._cold_pacer.get_wait_s(
                server.incarnation, self._clock.monotonic()
            )
        is_unresponsive = server.name in self._get_unresponsive_servers()
        if (
            is_unresponsive
            and self._probe_pacer.get_wait_s(server.incarnation, self._clock.monotonic()) <= 0
        ):
            is_unresponsive = False
        # Never below the server's slots, however many daemons share its connections.
        max_in_flight = max(
            server.slots, CONNECTION_SHARE * max_connections / self.daemon_count
        )
        estimate = self.get_load_estimate(server)
        known_daemon_count = self._get_known_daemon_count()
        if known_daemon_count and estimate.is_report_stale(self._clock.monotonic()):
            max_in_flight = min(
                max_in_flight, compute_limit_without_report(server.slots, known_daemon_count)
            )
        if self.has_pauses:
            now = self._clock.monotonic()
            max_in_flight = min(
                max_in_flight,
                estimate.in_flight + self._pauses.compute_room(server.incarnation, now),
            )
        return Candidate(
            server,
            estimate,
            cold_wait_s,
            max_in_flight,
            is_unresponsive,
            self.get_pause_wait_s(server),
            self.limit_gate.get_wait_s(server.incarnation),
        )

    @property
    def has_pauses(self) -> bool:
        """Whether any server has asked for a pause and the return after it is not over."""
        return not self._pauses.is_empty

    def get_pause_wait_s(self, server: BackendServer) -> float:
        """Return the seconds until the end of a server's pause; 0 if there is none."""
        if self._pauses.is_empty:
            return 0.0
        return self._pauses.get_wait_s(server.incarnation, self._clock.monotonic())

    def apply_retry_after(self, server: BackendServer, facts: AnswerFacts) -> None:
        """Apply what an answer says of a pause."""
        if facts.malformed_retry_after is not None:
            self._count_pause('malformed')
            self._log_malformed(server, facts.malformed_retry_after)
        if facts.retry_after_s is None:
            return
        self._count_pause('asked for' if facts.retry_after_s > 0 else 'zero')
        now = self._clock.monotonic()
        estimate = self.get_load_estimate(server)
        pace = compute_return_pace(
            estimate.mean_service_time_s * estimate.estimate_slowdown(now),
            estimate.slots,
            self.daemon_count,
            self._random.random(),
        )
        is_changed = self._pauses.start(server.incarnation, facts.retry_after_s, now, pace)
        if is_changed:
            logger.info(
                'backend server paused',
                server=server.name,
                service=server.service,
                retry_after_s=facts.retry_after_s,
                says_not_run=facts.says_not_run,
            )

    def _log_malformed(self, server: BackendServer, value: bytes) -> None:
        last_by_incarnation = self._malformed_retry_after_by_incarnation
        if last_by_incarnation.get(server.incarnation) == value:
            return
        last_by_incarnation[server.incarnation] = value
        logger.warning(
            'pause of backend server ignored: malformed duration',
            server=server.name,
            value=value.decode('latin-1'),
        )

    def may_send(self, server: BackendServer, counted_in: Pause | None) -> bool:
        """Whether a server has not asked for a pause since a request was recorded as sent.

        :param counted_in: what ``record_sent`` returned for the request
        """
        return self._pauses.may_send(server.incarnation, counted_in)

    def record_sent(self, server: BackendServer) -> Pause | None:
        """Count a request that is about to be sent to ``server``.

        Returns the last pause of the server, which ``record_ended`` needs.
        """
        now = self._clock.monotonic()
        self.get_load_estimate(server).on_request_sent(now)
        if server.name in self._get_unresponsive_servers():
            self._probe_pacer.on_request_sent(
                server.incarnation, now, PROBES_PER_S, self.daemon_count
            )
        if self._registry.cold_left_s(server) > 0:
            requests_per_s = self._get_cold_requests_per_s(server.service)
            self._cold_pacer.on_request_sent(
                server.incarnation, now, requests_per_s, self.daemon_count
            )
        if self.limits.get(server.incarnation) is not None:
            self._count_limit('sent')
        return self._pauses.on_request_chosen(server.incarnation)

    def record_ended(self, server: BackendServer, counted_in: Pause | None) -> None:
        """Count the end of a request to ``server``, however it ended."""
        self.get_load_estimate(server).on_request_ended()
        self._pauses.on_request_ended(counted_in)

    def record_request(self, service: str, key: int | None) -> None:
        """Count a caller's request."""
        self._get_budget(service).record_request(self._clock.monotonic())
        if key is not None:
            counts = self._request_counts_by_service.setdefault(service, {})
            counts[key] = counts.get(key, 0) + 1

    def try_spend_retry(self, service: str) -> bool:
        """Spend one retry of the service's budget; return false if there is none."""
        now = self._clock.monotonic()
        slack = (
            RETRY_SLACK_SHARE * self._retries.slack / self.daemon_count
            if now >= self._has_slack_from
            else 0.0
        )
        return self._get_budget(service).try_spend(now, slack)

    def collect_report(
        self, epoch: int, store_reachable: bool, interval_s: float, revisions: dict[str, int]
    ) -> Report:
        """Return the figures since the last call and reset them.

        Drops the load estimates of ended incarnations that have no request in flight.

        :param epoch: epoch of the keeper that this daemon knows
        :param interval_s: time since the last call, in seconds
        :param revisions: revision up to which this daemon has read each kind of object
        """
        requests, self._request_counts_by_service = self._request_counts_by_service, {}
        load_by_server = {}
        known_incarnations = set()
        for incarnation, estimate in list(self._estimate_by_incarnation.items()):
            server = self._registry.get(incarnation[0])  # The name of the incarnation.
            if (
                server is None or server.incarnation != incarnation
            ) and not estimate.in_flight:
                del self._estimate_by_incarnation[incarnation]
                self._malformed_retry_after_by_incarnation.pop(incarnation, None)
                continue
            known_incarnations.add(incarnation)
            pause_left_s = self.get_pause_wait_s(server) if server is not None else 0.0
            # Nothing is sent during a pause, so missing answers say little.
            is_overdue = pause_left_s <= 0 and estimate.is_overdue(self._clock.monotonic())
            if estimate.answer_count or is_overdue or pause_left_s > 0:
                figures = LoadFigures(
                    estimate.answer_count,
                    round(estimate.service_time_sum_s, 4),
                    is_overdue,
                    round(pause_left_s, 2),
                )
                load_by_server[incarnation[0]] = figures
                estimate.answer_count, estimate.service_time_sum_s = 0, 0.0
        self._cold_pacer.forget_ended(known_incarnations)
        self._probe_pacer.forget_ended(known_incarnations)
        self._pauses.forget_ended(self._clock.monotonic())
        self.limits.forget_ended(self._has_entry)
        self.paths.forget_ended(self._has_entry)
        self.limit_gate.forget_ended()
        self.crash_evidence.decide(self._has_entry)
        return Report(
            self._name,
            epoch,
            store_reachable,
            interval_s,
            revisions,
            requests,
            load_by_server,
            [server.incarnation for server in self._registry.list_leaving()],
            self.limits.list_recent(),
            self.suspects.list_changed(),
            self.paths.is_cut_off,
            self.helper_address,
            self.data_centre,
        )

    def _has_entry(self, incarnation: tuple[str, int]) -> bool:
        server = self._registry.get(incarnation[0])  # The name of the incarnation.
        return server is not None and server.incarnation == incarnation

    def _get_budget(self, service: str) -> WindowRetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = WindowRetryBudget(
                RETRY_BUDGET_SHARE * self._retries.ratio, self._retries.window_s
            )
            self._budget_by_service[service] = budget
        return budget
