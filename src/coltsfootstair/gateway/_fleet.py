"""What one daemon knows of the load of all backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.peers import LoadFigures, Report
from coltsfootstair.placement import (
    Candidate,
    ColdPacer,
    LoadEstimate,
    compute_unreported_limit,
)
from coltsfootstair.retries import WindowBudget

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.gateway._settings import RetrySettings
    from coltsfootstair.registry import BackendServer, Registry

__all__ = ['Fleet']

BUDGET_SHARE = 0.9
"""Part of the repeats allowed for each request that daemons give out."""

SLACK_SHARE = 0.6
"""Part of the further repeats that daemons give out: they are split by a count of daemons
that lags, and each start of a daemon brings its part again."""

CONNECTION_SHARE = 0.8
"""Part of a server's connections that daemons share out; orders and idle ones take the
rest."""

TRIALS_PER_S = 1.0
"""Requests a second that all daemons together send to a silent server to find out whether
it answers again."""

DAEMONS_BEFORE_KNOWN = 100
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
        daemons: Callable[[], int],
        cold_per_s: Callable[[str], float],
        usual_s: Callable[[str], float],
        silent_servers: Callable[[], list[str]],
        random_source: random.Random,
    ) -> None:
        self._name = name
        self._registry = registry
        self._clock = clock
        self._retries = retries
        self._daemons = daemons
        self._cold_per_s = cold_per_s
        self._usual_s = usual_s
        self._random = random_source
        self._load_by_life: dict[tuple[str, int], LoadEstimate] = {}
        self._pacer = ColdPacer()
        self._trials = ColdPacer()
        self._silent_servers = silent_servers
        self._budget_by_service: dict[str, WindowBudget] = {}
        self._requests_by_key: dict[str, dict[int, int]] = {}

    @property
    def daemons(self) -> int:
        """How many daemons share a limit."""
        return self._daemons() or DAEMONS_BEFORE_KNOWN

    def reload(self, retries: RetrySettings) -> None:
        """Take a changed budget of repeats; its window stays until the next start."""
        self._retries = retries._replace(window_s=self._retries.window_s)
        for budget in self._budget_by_service.values():
            budget.ratio = BUDGET_SHARE * retries.ratio

    def load(self, server: BackendServer) -> LoadEstimate:
        """Return what is known of a backend server's load."""
        load = self._load_by_life.get(server.life)
        if load is None:
            usual_s = self._usual_s(server.service)
            load = self._load_by_life[server.life] = LoadEstimate(server.slots, usual_s)
        return load

    def candidate(self, server: BackendServer, connections: int) -> Candidate:
        """Return a backend server as one that may be chosen.

        :param connections: connections that it takes from all daemons
        """
        wait_s = 0.0
        if self._registry.cold_left_s(server) > 0:
            per_s = self._cold_per_s(server.service)
            self._pacer.schedule_first_request(
                server.life,
                self._clock.monotonic(),
                per_s,
                self.daemons,
                self._random.random(),
            )
            wait_s = self._pacer.get_wait_s(server.life, self._clock.monotonic())
        silent = server.name in self._silent_servers()
        if silent and self._trials.get_wait_s(server.life, self._clock.monotonic()) <= 0:
            silent = False
        most = max(server.slots, CONNECTION_SHARE * connections / self.daemons)
        load = self.load(server)
        daemons = self._daemons()
        if daemons and load.is_report_stale(self._clock.monotonic()):
            most = min(most, compute_unreported_limit(server.slots, daemons))
        return Candidate(server, load, wait_s, most, silent)

    def sent(self, server: BackendServer) -> None:
        """Count a request that is being sent to ``server``."""
        now = self._clock.monotonic()
        self.load(server).on_request_sent(now)
        if server.name in self._silent_servers():
            self._trials.on_request_sent(server.life, now, TRIALS_PER_S, self.daemons)
        if self._registry.cold_left_s(server) > 0:
            per_s = self._cold_per_s(server.service)
            self._pacer.on_request_sent(server.life, now, per_s, self.daemons)

    def requested(self, service: str, key: int | None) -> None:
        """Count a request of a caller."""
        self._budget(service).requested(self._clock.monotonic())
        if key is not None:
            counts = self._requests_by_key.setdefault(service, {})
            counts[key] = counts.get(key, 0) + 1

    def may_repeat(self, service: str) -> bool:
        """Spend one repeat of the budget, if there is one."""
        slack = SLACK_SHARE * self._retries.slack / self.daemons
        return self._budget(service).take(self._clock.monotonic(), slack)

    def collect(
        self, epoch: int, store_works: bool, seconds: float, revisions: dict[str, int]
    ) -> Report:
        """Return the figures since the last call, and forget servers that have gone."""
        requests, self._requests_by_key = self._requests_by_key, {}
        load_by_server = {}
        alive = set()
        for life, load in list(self._load_by_life.items()):
            server = self._registry.get(life[0])
            if (server is None or server.life != life) and not load.in_flight:
                del self._load_by_life[life]
                continue
            alive.add(life)
            silent = load.is_overdue(self._clock.monotonic())
            if load.answer_count or silent:
                figures = LoadFigures(
                    load.answer_count, round(load.service_time_sum_s, 4), silent
                )
                load_by_server[life[0]] = figures
                load.answer_count, load.service_time_sum_s = 0, 0.0
        self._pacer.forget_ended(alive)
        self._trials.forget_ended(alive)
        return Report(
            self._name, epoch, store_works, seconds, revisions, requests, load_by_server
        )

    def _budget(self, service: str) -> WindowBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = WindowBudget(BUDGET_SHARE * self._retries.ratio, self._retries.window_s)
            self._budget_by_service[service] = budget
        return budget
