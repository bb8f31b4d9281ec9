"""What one daemon knows of the load of all backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.peers import LoadFigures, Report
from coltsfootstair.placement import Candidate, ColdPacer, ServerLoad, unreported_share
from coltsfootstair.retries import WindowRetryBudget

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.gateway._settings import RetrySettings
    from coltsfootstair.registry import BackendServer, Registry

__all__ = ['Fleet']

RETRY_BUDGET_SHARE = 0.9
"""Part of the repeats allowed for each request that daemons give out."""

RETRY_SLACK_SHARE = 0.6
"""Part of the further repeats that daemons give out: they are split by a count of daemons
that lags, and each start of a daemon brings its part again."""

CONNECTION_SHARE = 0.8
"""Part of a server's connections that daemons share out; orders and idle ones take the
rest."""

PROBES_PER_S = 1.0
"""Requests a second that all daemons together send to a silent server to find out whether
it answers again."""

ASSUMED_DAEMON_COUNT = 100
"""How many daemons share a limit before it is known how many there are: more than any
deployment has today."""


class Fleet:
    """Owns the loads, the pacing of cold servers and the budgets of repeats.

    :param daemons: returns how many daemons there are, 0 while that is not known
    :param silent_servers: returns the servers that answer no daemon at present
    :param usual_s: returns the service time to expect of a service before any answer
    :param cold_per_s: returns what a cold server of a service bears from all daemons
    """

    def __init__(
        self,
        name: str,
        registry: Registry,
        clock: Clock,
        retries: RetrySettings,
        daemon_count: Callable[[], int],
        cold_requests_per_s: Callable[[str], float],
        expected_service_time_s: Callable[[str], float],
        unresponsive_servers: Callable[[], list[str]],
        random_source: random.Random,
    ) -> None:
        self._name = name
        self._registry = registry
        self._clock = clock
        self._retries = retries
        self._known_daemon_count = daemon_count
        self._cold_requests_per_s = cold_requests_per_s
        self._expected_service_time_s = expected_service_time_s
        self._random = random_source
        self._load_by_incarnation: dict[tuple[str, int], ServerLoad] = {}
        self._cold_pacer = ColdPacer()
        self._probe_pacer = ColdPacer()
        self._unresponsive_servers = unresponsive_servers
        self._budget_by_service: dict[str, WindowRetryBudget] = {}
        self._requests_by_key: dict[str, dict[int, int]] = {}

    @property
    def daemon_count(self) -> int:
        """How many daemons share a limit."""
        return self._known_daemon_count() or ASSUMED_DAEMON_COUNT

    def reload(self, retries: RetrySettings) -> None:
        """Take a changed budget of repeats; its window stays until the next start."""
        self._retries = retries._replace(window_s=self._retries.window_s)
        for budget in self._budget_by_service.values():
            budget.ratio = RETRY_BUDGET_SHARE * retries.ratio

    def load(self, server: BackendServer) -> ServerLoad:
        """Return what is known of a backend server's load."""
        load = self._load_by_incarnation.get(server.incarnation)
        if load is None:
            expected_service_time_s = self._expected_service_time_s(server.service)
            load = self._load_by_incarnation[server.incarnation] = ServerLoad(
                server.slots, expected_service_time_s
            )
        return load

    def candidate(self, server: BackendServer, connections: int) -> Candidate:
        """Return a backend server as one that may be chosen.

        :param connections: connections that it takes from all daemons
        """
        wait_s = 0.0
        if self._registry.cold_left_s(server) > 0:
            requests_per_s = self._cold_requests_per_s(server.service)
            self._cold_pacer.first_seen(
                server.incarnation,
                self._clock.monotonic(),
                requests_per_s,
                self.daemon_count,
                self._random.random(),
            )
            wait_s = self._cold_pacer.wait_s(server.incarnation, self._clock.monotonic())
        is_unresponsive = server.name in self._unresponsive_servers()
        if (
            is_unresponsive
            and self._probe_pacer.wait_s(server.incarnation, self._clock.monotonic()) <= 0
        ):
            is_unresponsive = False
        max_in_flight = max(server.slots, CONNECTION_SHARE * connections / self.daemon_count)
        load = self.load(server)
        daemon_count = self._known_daemon_count()
        if daemon_count and load.is_stale(self._clock.monotonic()):
            max_in_flight = min(max_in_flight, unreported_share(server.slots, daemon_count))
        return Candidate(server, load, wait_s, max_in_flight, is_unresponsive)

    def record_sent(self, server: BackendServer) -> None:
        """Count a request that is being sent to ``server``."""
        now = self._clock.monotonic()
        self.load(server).started(now)
        if server.name in self._unresponsive_servers():
            self._probe_pacer.sent(server.incarnation, now, PROBES_PER_S, self.daemon_count)
        if self._registry.cold_left_s(server) > 0:
            requests_per_s = self._cold_requests_per_s(server.service)
            self._cold_pacer.sent(server.incarnation, now, requests_per_s, self.daemon_count)

    def record_request(self, service: str, key: int | None) -> None:
        """Count a request of a caller."""
        self._budget(service).record_request(self._clock.monotonic())
        if key is not None:
            counts = self._requests_by_key.setdefault(service, {})
            counts[key] = counts.get(key, 0) + 1

    def try_spend_retry(self, service: str) -> bool:
        """Spend one repeat of the budget, if there is one."""
        slack = RETRY_SLACK_SHARE * self._retries.slack / self.daemon_count
        return self._budget(service).try_spend(self._clock.monotonic(), slack)

    def collect_report(
        self, epoch: int, store_works: bool, interval_s: float, revisions: dict[str, int]
    ) -> Report:
        """Return the figures since the last call, and forget servers that have gone."""
        requests, self._requests_by_key = self._requests_by_key, {}
        load_by_server = {}
        known_incarnations = set()
        for incarnation, load in list(self._load_by_incarnation.items()):
            server = self._registry.get(incarnation[0])
            if (server is None or server.incarnation != incarnation) and not load.in_flight:
                del self._load_by_incarnation[incarnation]
                continue
            known_incarnations.add(incarnation)
            is_unresponsive = load.is_overdue(self._clock.monotonic())
            if load.finished or is_unresponsive:
                figures = LoadFigures(load.finished, round(load.busy_s, 4), is_unresponsive)
                load_by_server[incarnation[0]] = figures
                load.finished, load.busy_s = 0, 0.0
        self._cold_pacer.forget(known_incarnations)
        self._probe_pacer.forget(known_incarnations)
        return Report(
            self._name, epoch, store_works, interval_s, revisions, requests, load_by_server
        )

    def _budget(self, service: str) -> WindowRetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = WindowRetryBudget(
                RETRY_BUDGET_SHARE * self._retries.ratio, self._retries.window_s
            )
            self._budget_by_service[service] = budget
        return budget
