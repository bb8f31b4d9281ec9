"""Tracks the load of all backend servers, and what one daemon may send them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.peers import LoadFigures, Report
from coltsfootstair.placement import (
    Candidate,
    LoadEstimate,
    RequestPacer,
    ServiceMean,
    compute_limit_without_report,
)
from coltsfootstair.retries import WindowRetryBudget

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.gateway._settings import RetrySettings
    from coltsfootstair.registry import BackendServer, Registry

__all__ = ['Fleet']

RETRY_BUDGET_SHARE = 0.9
"""Share of the configured ratio of retries that daemons use; the rest is a safety margin."""

RETRY_SLACK_SHARE = 0.6
"""Share of the configured slack that daemons use. The rest covers errors of the division: the
known number of daemons may be out of date, and a daemon that restarts has its full share
again."""

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
            service_mean = self._mean_by_service.get(server.service)
            if service_mean is None:
                service_mean = self._mean_by_service[server.service] = ServiceMean(
                    self._get_expected_service_time_s(server.service)
                )
            estimate = self._estimate_by_incarnation[server.incarnation] = LoadEstimate(
                server.slots, service_mean
            )
        return estimate

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
        return Candidate(server, estimate, cold_wait_s, max_in_flight, is_unresponsive)

    def record_sent(self, server: BackendServer) -> None:
        """Count a request that is about to be sent to ``server``."""
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

    def record_request(self, service: str, key: int | None) -> None:
        """Count a caller's request."""
        self._get_budget(service).record_request(self._clock.monotonic())
        if key is not None:
            counts = self._request_counts_by_service.setdefault(service, {})
            counts[key] = counts.get(key, 0) + 1

    def try_spend_retry(self, service: str) -> bool:
        """Spend one retry of the service's budget; return false if there is none."""
        slack = RETRY_SLACK_SHARE * self._retries.slack / self.daemon_count
        return self._get_budget(service).try_spend(self._clock.monotonic(), slack)

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
                continue
            known_incarnations.add(incarnation)
            is_overdue = estimate.is_overdue(self._clock.monotonic())
            if estimate.answer_count or is_overdue:
                figures = LoadFigures(
                    estimate.answer_count, round(estimate.service_time_sum_s, 4), is_overdue
                )
                load_by_server[incarnation[0]] = figures
                estimate.answer_count, estimate.service_time_sum_s = 0, 0.0
        self._cold_pacer.forget_ended(known_incarnations)
        self._probe_pacer.forget_ended(known_incarnations)
        return Report(
            self._name,
            epoch,
            store_reachable,
            interval_s,
            revisions,
            requests,
            load_by_server,
            [server.incarnation for server in self._registry.list_leaving()],
        )

    def _get_budget(self, service: str) -> WindowRetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = WindowRetryBudget(
                RETRY_BUDGET_SHARE * self._retries.ratio, self._retries.window_s
            )
            self._budget_by_service[service] = budget
        return budget
