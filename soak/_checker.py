"""Checks what callers and backend servers observe against the promises of the program."""

from __future__ import annotations

import enum
import hashlib
from collections import defaultdict, deque
from typing import TYPE_CHECKING, NamedTuple

from soak._fault_log import STORE, FaultLog

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from soak._bounds import Bounds

__all__ = [
    'ABANDONED_GRACE_S',
    'MAX_REQUESTS_IN_PAUSE_COUNT',
    'PAUSE_TRANSIT_S',
    'AbandonedRequestChecker',
    'Grant',
    'Promise',
    'PromiseChecker',
    'SentRequest',
    'ServerRecord',
    'Violation',
    'expected_body',
]

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses which state that a request has not run and will not run."""

MIN_CASES_COUNT = 4
"""Fewest cases for which a promise about a share of requests is checked.

It is also the largest number of requests that a violation lists.
"""

MAX_LATE_SHARE = 0.5
"""Of the requests that are not answered by the timeout of their route, the largest share that
may not be answered within ``answer_slack_s`` after it either."""

MAX_RUNNING_ABANDONED_SHARE = 0.25
"""Largest share of the abandoned idempotent requests on which servers may still be working
``ABANDONED_GRACE_S`` after their callers have left."""

ABANDONED_GRACE_S = 0.5
"""How long after its caller has left a request may still run or be sent to a server."""

PAUSE_TRANSIT_S = 0.5
"""How long after a server has asked for a pause requests to it may still arrive."""

MAX_REQUESTS_IN_PAUSE_COUNT = 2
"""Number of requests of one daemon that may reach a server during the rest of the pause."""

MAX_LATE_SENDS_COUNT = 3
"""Number of abandoned requests that may reach a server after ``ABANDONED_GRACE_S``."""


class Promise(enum.Enum):
    """Properties that the soak checks; a variant of the daemon breaks each of them."""

    SOLE_OWNER = 'a key has one owner'
    AT_MOST_ONCE = 'what may not be repeated runs once'
    REFUSED_NOT_RUN = 'refused requests have not run'
    INTACT_ANSWER = 'an answer is whole and its own'
    KNOWN_REQUEST = 'only what callers sent is run, where it may run'
    DRAINED = 'a leaving server gets nothing new'
    EVACUATED = 'an evacuated data centre gets nothing new'
    CONFIGURATION_IN_TIME = 'a configuration is in force in time'
    COLD_RATE = 'a cold server gets what it bears'
    LEFT_ALONE = 'a server that asks for a pause gets it'
    RETRY_BUDGET = 'repeats stay within their budget'
    ABANDONED = 'what its caller has left is given up'
    ANSWERED_IN_TIME = 'a request is answered by the time of its route'
    GRACEFUL_STOP = 'a graceful stop cuts nothing off'
    RECOVERED = 'service comes back'
    NO_DAEMON_FAILURE = 'no daemon ends or fails by itself'


class Violation(NamedTuple):
    """One observation that breaks a promise.

    :param at: monotonic seconds
    """

    promise: Promise
    at: float
    detail: str


class Grant(NamedTuple):
    """Range of keys that a backend server may work on.

    :param last: the last key of the range, inclusive
    :param fence: the fencing token of the grant
    :param expires_at: monotonic seconds
    :param is_excused: whether a pause or a link may have delayed the grant, so that an overlap
        with another grant is no violation
    """

    first: int
    last: int
    fence: int
    expires_at: float
    is_excused: bool = False


class Execution(NamedTuple):
    """Work of a backend server on one request.

    :param began_at: monotonic seconds
    """

    server: str
    key: int | None
    began_at: float


class ServerRecord:
    """What the soak knows of one incarnation of a backend server.

    Times are in monotonic seconds.
    """

    def __init__(self, name: str, service: str, data_centre: str) -> None:
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.grants: list[Grant] = []
        self.is_up = True
        self.draining_at: float | None = None
        self.cold_until = 0.0
        self.arrival_times: deque[float] = deque()
        self.running_keys: list[int] = []


class _Pause:
    """Time in which a server asked one process of a daemon to send it nothing."""

    def __init__(self, starts_at: float, ends_at: float) -> None:
        self.starts_at = starts_at
        self.ends_at = ends_at
        self.arrival_count = 0


class SentRequest:
    """A request that a caller sent, and what became of it.

    :ivar process: the start of the daemon that the caller is connected to
    :ivar leaving_server: server that answered last, if it said that it is leaving
    """

    def __init__(
        self, request_id: str, daemon: str, route: str, *, is_idempotent: bool, sent_at: float
    ) -> None:
        self.request_id = request_id
        self.daemon = daemon
        self.route = route
        self.is_idempotent = is_idempotent
        self.sent_at = sent_at
        self.timeout_s = 1.0
        self.process = daemon
        self.leaving_server: ServerRecord | None = None
        self.caller_left_at: float | None = None
        self.ended_at: float | None = None
        self.status: int | None = None
        self.executions: list[Execution] = []
        self.running_count = 0
        self.arrival_count = 0


def expected_body(request_id: str, method: str, target: str, body: bytes) -> bytes:
    """Return the body that a backend server answers to exactly this request."""
    digest = hashlib.sha256(b'\n'.join((method.encode(), target.encode(), body))).hexdigest()
    return f'{request_id} {digest}'.encode()


class PromiseChecker:
    """Checks each reported observation and collects broken promises in ``violations``.

    :param now: returns the current time in monotonic seconds
    :param bounds: the limits to check against
    :param fault_log: the faults that excuse a component from time limits
    """

    def __init__(self, now: Callable[[], float], bounds: Bounds, fault_log: FaultLog) -> None:
        self.violations: list[Violation] = []
        self.request_by_id: dict[str, SentRequest] = {}
        self.server_by_name: dict[str, ServerRecord] = {}
        self.evacuated_at_by_data_centre: dict[str, float] = {}
        self.served_count = 0
        self._now = now
        self._bounds = bounds
        self._fault_log = fault_log
        self._configurations: list[tuple[float, Mapping[str, str]]] = []
        self._seen_versions_by_process: dict[str, list[tuple[float, int]]] = defaultdict(list)
        self._sent_at_by_service: dict[str, deque[float]] = defaultdict(deque)
        self._retried_at_by_service: dict[str, deque[float]] = defaultdict(deque)
        self._leaving_since_by_link: dict[tuple[str, ServerRecord], float] = {}
        self._pauses_by_link: dict[tuple[str, ServerRecord], list[_Pause]] = defaultdict(list)
        self._former_grants_by_server_by_service: dict[
            str, dict[ServerRecord, list[Grant]]
        ] = defaultdict(dict)

    def report_violation(self, promise: Promise, detail: str) -> None:
        """Record that ``promise`` is broken."""
        self.violations.append(Violation(promise, self._now(), detail))

    # Actions of the operators.

    def on_configuration_written(self, service_by_route: Mapping[str, str]) -> None:
        """Record that a configuration was written to the store."""
        self._configurations.append((self._now(), service_by_route))

    def _allowed_services(self, request: SentRequest) -> tuple[set[str], set[str]]:
        """Return the services that may run ``request`` at present.

        The second value has the services of its route in any version of the configuration.
        """
        any_version = {services[request.route] for _, services in self._configurations}
        written_before = request.sent_at - self._bounds.configuration_s
        allowed: set[str] = set()
        for written_at, services in self._configurations:
            if written_at <= written_before:
                allowed = {services[request.route]}
            else:
                allowed.add(services[request.route])
        return allowed, any_version

    # Observations of the callers.

    def on_request_sent(self, request: SentRequest) -> None:
        """Record a request that a caller is sending."""
        self.request_by_id[request.request_id] = request
        _, services = self._configurations[-1]
        self._sent_at_by_service[services[request.route]].append(self._now())

    def on_answer(self, request: SentRequest, status: int, *, is_intact: bool) -> None:
        """Check an answer.

        :param is_intact: whether the answer carries a backend server's signature and exactly
            the body that belongs to the request
        """
        now = self._now()
        request.ended_at, request.status = now, status
        if status < 300 and request.leaving_server is not None:
            link = (request.process, request.leaving_server)
            self._leaving_since_by_link.setdefault(link, now)
        if status < 300:
            self.served_count += 1
            if not is_intact:
                self.report_violation(
                    Promise.INTACT_ANSWER, f'{request.request_id}: status {status}'
                )
        if status in NOT_RUN_STATUSES and request.executions and not request.is_idempotent:
            self.report_violation(
                Promise.REFUSED_NOT_RUN,
                f'{request.request_id}: {status} after {request.executions[0]}',
            )

    def on_caller_left(self, request: SentRequest) -> None:
        """Record that the caller closed its connection."""
        request.caller_left_at = self._now()

    def on_connection_closed(self, request: SentRequest, *, is_stopping: bool) -> None:
        """Check a connection that a daemon closed before it answered the request.

        :param is_stopping: whether that daemon was sent a SIGTERM
        """
        request.ended_at = self._now()
        components = [
            request.daemon,
            STORE,
            *(execution.server for execution in request.executions),
        ]
        if (
            request.executions
            and is_stopping
            and self._fault_log.is_fault_free(*components, since=request.sent_at)
        ):
            self.report_violation(
                Promise.GRACEFUL_STOP, f'{request.request_id} at {request.daemon}'
            )

    # Observations of the backend servers.

    def on_request_arrived(self, server: ServerRecord, request_id: str) -> None:
        """Check a request that reached a server, whether it runs or is refused."""
        now = self._now()
        request = self.request_by_id.get(request_id)
        if request is None:
            self.report_violation(Promise.KNOWN_REQUEST, f'{request_id!r} at {server.name}')
            return
        request.arrival_count += 1
        if request.arrival_count > 1:
            self._check_retry_budget(server.service, now)
        self._check_service(server, request)
        self._check_rollback(server, request, now)
        self._check_server_usable(server, request, now)
        self._check_cold_rate(server, now)

    def _check_retry_budget(self, service: str, now: float) -> None:
        window_s = self._bounds.retry_window_s
        retries = _drop_older(self._retried_at_by_service[service], now - window_s)
        retries.append(now)
        sent_times = _drop_older(self._sent_at_by_service[service], now - 2 * window_s)
        max_sent_count = max(
            sum(start <= at < start + window_s for at in sent_times)
            for start in (now - window_s, now - 1.5 * window_s, now - 2 * window_s)
        )
        allowed = self._bounds.retry_ratio * max_sent_count + self._bounds.retry_slack
        if len(retries) > allowed:
            self.report_violation(
                Promise.RETRY_BUDGET,
                f'{service}: {len(retries)} retries in {window_s} s; '
                f'requests: {max_sent_count}',
            )

    def _check_rollback(self, server: ServerRecord, request: SentRequest, now: float) -> None:
        """Check that the process acts on no older version than its requests have shown.

        Holds whatever faults there are. Versions are counted in the order of their writes.
        """
        slack_s = self._bounds.rollback_s
        if not self._fault_log.is_fault_free(request.daemon):
            slack_s *= self._bounds.slowed_rollback_factor
        seen_versions = self._seen_versions_by_process[request.process]
        oldest = max(
            (
                version
                for seen_at, version in seen_versions
                if seen_at <= request.sent_at - slack_s
            ),
            default=0,
        )
        versions = [
            version
            for version, (_, services) in enumerate(self._configurations)
            if services[request.route] == server.service
        ]
        if not versions:
            return  # Reported by ``_check_service``.
        if versions[-1] >= oldest:
            shown = min(version for version in versions if version >= oldest)
            if not seen_versions or shown > seen_versions[-1][1]:
                seen_versions.append((now, shown))
            return
        self.report_violation(
            Promise.CONFIGURATION_IN_TIME,
            f'{request.request_id} of {request.route} at {server.service}: '
            f'{request.process} had already acted on version {oldest} of '
            f'{len(self._configurations)}',
        )

    def _check_service(self, server: ServerRecord, request: SentRequest) -> None:
        allowed, any_version = self._allowed_services(request)
        if server.service in allowed:
            return
        where = f'{request.request_id} of {request.route} at {server.service}'
        if server.service not in any_version:
            self.report_violation(Promise.KNOWN_REQUEST, where)
        elif self._fault_log.is_fault_free(request.daemon, STORE):
            self.report_violation(
                Promise.CONFIGURATION_IN_TIME, f'{where}, not {sorted(allowed)}'
            )

    def _check_server_usable(
        self, server: ServerRecord, request: SentRequest, now: float
    ) -> None:
        if not self._fault_log.is_fault_free(request.daemon, STORE, server.name):
            return
        if server.draining_at is not None and now - server.draining_at > self._bounds.drain_s:
            draining_s = now - server.draining_at
            self.report_violation(
                Promise.DRAINED,
                f'{request.request_id} at {server.name}, '
                f'{draining_s:.2f} s after it began to drain',
            )
        since = self.evacuated_at_by_data_centre.get(server.data_centre)
        if since is not None and now - since > self._bounds.evacuation_s:
            self.report_violation(Promise.EVACUATED, f'{request.request_id} at {server.name}')

    def on_server_answer(
        self, server: ServerRecord, request_id: str, *, is_leaving: bool, pause_s: float = 0.0
    ) -> None:
        """Record an answer that a server is sending.

        :param is_leaving: whether the answer says that the server is leaving
        :param pause_s: how long the server asks for no further requests, in seconds
        """
        request = self.request_by_id.get(request_id)
        if request is None:
            return
        request.leaving_server = server if is_leaving else None
        if pause_s:
            now = self._now()
            self._pauses_by_link[request.process, server].append(
                _Pause(now + PAUSE_TRANSIT_S, now + pause_s)
            )

    def on_request_taken(self, server: ServerRecord, request_id: str) -> None:
        """Check a request that reached a server which has its key, if it has one.

        What the server said in its answers binds a daemon whatever faults the store has.
        """
        request = self.request_by_id.get(request_id)
        if request is None:
            return
        is_checked = self._fault_log.is_fault_free(request.daemon, server.name)
        link = (request.process, server)
        leaving_since = self._leaving_since_by_link.get(link)
        if (
            is_checked
            and leaving_since is not None
            and request.sent_at > leaving_since + self._bounds.drain_s
        ):
            self.report_violation(
                Promise.DRAINED,
                f'{request.request_id} at {server.name}, sent '
                f'{request.sent_at - leaving_since:.2f} s after {request.process} had passed '
                f'on that it is leaving',
            )
        now = self._now()
        for pause in self._pauses_by_link[link]:
            if not pause.starts_at <= now < pause.ends_at:
                continue
            pause.arrival_count += 1
            if is_checked and pause.arrival_count > MAX_REQUESTS_IN_PAUSE_COUNT:
                self.report_violation(
                    Promise.LEFT_ALONE,
                    f'{request.request_id} at {server.name}: {pause.arrival_count} requests '
                    f'of {request.process} in a pause, {pause.ends_at - now:.2f} s before '
                    f'its end',
                )

    def _check_cold_rate(self, server: ServerRecord, now: float) -> None:
        if now >= server.cold_until:
            return
        arrival_times = _drop_older(server.arrival_times, now - 1.0)
        arrival_times.append(now)
        bounds = self._bounds
        if (
            len(arrival_times)
            > bounds.cold_requests_per_s * bounds.cold_rate_factor + bounds.cold_slack
        ):
            self.report_violation(
                Promise.COLD_RATE, f'{server.name}: {len(arrival_times)} requests in a second'
            )

    def on_execution_started(
        self, server: ServerRecord, request_id: str, key: int | None
    ) -> None:
        """Check whether the request that a server begins to work on may run."""
        request = self.request_by_id.get(request_id)
        if request is None:
            return
        execution = Execution(server.name, key, self._now())
        if request.executions and not request.is_idempotent:
            self.report_violation(
                Promise.AT_MOST_ONCE,
                f'{request.request_id}: {request.executions[0]}, {execution}',
            )
        if request.status in NOT_RUN_STATUSES and not request.is_idempotent:
            self.report_violation(
                Promise.REFUSED_NOT_RUN,
                f'{request.request_id}: {request.status}, then {execution}',
            )
        request.executions.append(execution)
        request.running_count += 1
        if key is not None:
            server.running_keys.append(key)

    def on_execution_ended(
        self, server: ServerRecord, request_id: str, key: int | None
    ) -> None:
        """Record that a server's work on a request has ended."""
        request = self.request_by_id.get(request_id)
        if request is not None:
            request.running_count -= 1
        if key is not None and key in server.running_keys:
            server.running_keys.remove(key)

    def on_keys_granted(self, server: ServerRecord, grant: Grant) -> None:
        """Check that no other server has these keys, or had them with as high a fence.

        Holds for the grants of all daemons, whether they have faults or not.
        """
        now = self._now()
        is_excused = now - self._fault_log.last_thaw_or_heal_at <= self._bounds.thaw_s
        server.grants = [
            other_grant for other_grant in server.grants if other_grant.expires_at > now
        ]
        server.grants.append(grant._replace(is_excused=is_excused))
        if is_excused:
            return
        self._check_other_owners(server, grant, now)
        former_grants = self._former_grants_by_server_by_service[server.service]
        for other, grants_of_other in former_grants.items():
            if other is not server:
                self._check_fence(server, grant, other, grants_of_other)
        former_grants[server] = [
            former
            for former in former_grants.get(server, [])
            if former.fence > grant.fence or not _covers(grant, former)
        ]
        former_grants[server].append(grant)

    def _check_other_owners(self, server: ServerRecord, grant: Grant, now: float) -> None:
        for other in self.server_by_name.values():
            if other is server or not other.is_up or other.service != server.service:
                continue
            for other_grant in other.grants:
                if (
                    _overlap(grant, other_grant)
                    and other_grant.expires_at > now
                    and not other_grant.is_excused
                ):
                    self.report_violation(
                        Promise.SOLE_OWNER,
                        f'{server.name} was granted {grant[:3]} while {other.name} had '
                        f'{other_grant[:3]} for {other_grant.expires_at - now:.2f} s more',
                    )

    def _check_fence(
        self,
        server: ServerRecord,
        grant: Grant,
        other: ServerRecord,
        former_grants: list[Grant],
    ) -> None:
        """Check that ``other`` had none of the keys with as high a fence."""
        for former in former_grants:
            if former.fence >= grant.fence and _overlap(grant, former):
                self.report_violation(
                    Promise.SOLE_OWNER,
                    f'{server.name} was granted {grant[:3]} after {other.name} had had '
                    f'{former[:3]}',
                )

    def check_late_requests(self) -> None:
        """Check at the end of a run whether too many requests were answered late."""
        overdue = list(self._overdue_requests())
        too_late = [request for request, is_within_slack in overdue if not is_within_slack]
        if len(overdue) >= MIN_CASES_COUNT and len(too_late) > MAX_LATE_SHARE * len(overdue):
            names = ', '.join(request.request_id for request in too_late[:MIN_CASES_COUNT])
            self.report_violation(
                Promise.ANSWERED_IN_TIME,
                f'{len(too_late)} of {len(overdue)} late requests were not answered '
                f'within the slack: {names}',
            )

    def _overdue_requests(self) -> Iterator[tuple[SentRequest, bool]]:
        """Yield the requests that were unanswered at their route's timeout.

        The second value tells whether the request was answered within the slack after it.
        """
        for request in self.request_by_id.values():
            due_at = request.sent_at + request.timeout_s
            if (
                request.caller_left_at is not None
                or due_at + self._bounds.answer_slack_s > self._now()
            ):
                continue
            if request.ended_at is not None and request.ended_at <= due_at:
                continue
            if self._fault_log.is_fault_free(request.daemon, since=request.sent_at):
                ended_at = request.ended_at or self._now()
                yield request, ended_at <= due_at + self._bounds.answer_slack_s


class AbandonedRequestChecker:
    """Checks whether work on requests ends after their callers have left."""

    def __init__(self, checker: PromiseChecker, fault_log: FaultLog) -> None:
        self._checker = checker
        self._fault_log = fault_log
        self._checked_count = 0
        self._still_running: list[str] = []
        self._sent_late: list[str] = []

    def check_running(self, request: SentRequest) -> None:
        """Check whether a request still runs ``ABANDONED_GRACE_S`` after its caller left."""
        if (
            self._fault_log.is_fault_free(request.daemon)
            and request.is_idempotent
            and request.executions
        ):
            self._checked_count += 1
            if request.running_count:
                self._still_running.append(request.request_id)

    def check_sends(self, request: SentRequest, arrival_count_before: int) -> None:
        """Check whether a request was sent to a server after ``ABANDONED_GRACE_S``.

        :param arrival_count_before: how often it had reached a server ``ABANDONED_GRACE_S``
            after its caller left
        """
        if (
            self._fault_log.is_fault_free(request.daemon)
            and request.arrival_count > arrival_count_before
        ):
            self._sent_late.append(request.request_id)

    def check_totals(self) -> None:
        """Check at the end of a run how many abandoned requests ran on or were sent late."""
        running_count = len(self._still_running)
        if (
            self._checked_count >= MIN_CASES_COUNT
            and running_count > MAX_RUNNING_ABANDONED_SHARE * self._checked_count
        ):
            self._checker.report_violation(
                Promise.ABANDONED, f'{running_count} of {self._checked_count} still running'
            )
        if len(self._sent_late) > MAX_LATE_SENDS_COUNT:
            self._checker.report_violation(
                Promise.ABANDONED,
                f'sent to a server late: {self._sent_late[:MIN_CASES_COUNT]}',
            )


def _overlap(one: Grant, other: Grant) -> bool:
    return one.first <= other.last and other.first <= one.last


def _covers(outer: Grant, inner: Grant) -> bool:
    return outer.first <= inner.first and inner.last <= outer.last


def _drop_older(times: deque[float], since: float) -> deque[float]:
    while times and times[0] < since:
        times.popleft()
    return times
