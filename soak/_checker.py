"""What callers and backend servers saw, and the promises that this breaks."""

from __future__ import annotations

import enum
import hashlib
from collections import defaultdict, deque
from typing import TYPE_CHECKING, NamedTuple

from soak._fault_log import STORE, Calm

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from soak._bounds import Bounds

__all__ = [
    'ABANDONED_S',
    'AbandonedRequests',
    'Hold',
    'Promise',
    'SentRequest',
    'ServerFacts',
    'Truth',
    'Violation',
    'whole_body',
]

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that say that a request has not run and never will."""

FEWEST = 4
"""Cases from which on a promise that is stated as a share is judged."""

LATE_SHARE = 0.5
"""Part of the requests at their route's time that may stay unanswered a little longer."""

ABANDONED_SHARE = 0.25
"""Part of the abandoned repeatable requests at which servers may still be at work."""

ABANDONED_S = 0.5
"""How long after a caller has left its request may still be worked on or sent, in seconds."""

LATE_SENDS = 3
"""Requests that may reach a server later than that."""


class Promise(enum.Enum):
    """What is checked; each has a broken variant that a soak must catch."""

    SOLE_OWNER = 'a key has one owner'
    AT_MOST_ONCE = 'what may not be repeated runs once'
    TRUE_REFUSAL = 'refused requests have not run'
    WHOLE_ANSWER = 'an answer is whole and its own'
    KNOWN_REQUEST = 'only what callers sent is run, where it may run'
    DRAINED = 'a leaving server gets nothing new'
    EVACUATED = 'an evacuated data centre gets nothing new'
    CONFIGURED = 'a configuration is in force in time'
    COLD_RATE = 'a cold server gets what it bears'
    REPEATS = 'repeats stay within their budget'
    ABANDONED = 'what its caller has left is given up'
    IN_TIME = 'a request is answered by the time of its route'
    GRACEFUL = 'a graceful stop cuts nothing off'
    RECOVERED = 'service comes back'
    STEADY = 'no daemon ends or fails by itself'


class Violation(NamedTuple):
    """A promise that was broken."""

    promise: Promise
    at: float
    detail: str


class Hold(NamedTuple):
    """Keys that a backend server holds until ``until``."""

    first: int
    last: int
    fence: int
    until: float
    excused: bool = False


class Run(NamedTuple):
    """A backend server's work on a request."""

    server: str
    key: int | None
    began_at: float


class ServerFacts:
    """What is known of one life of a backend server."""

    def __init__(self, name: str, service: str, data_centre: str) -> None:
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.holds: list[Hold] = []
        self.up = True
        self.left_at: float | None = None
        self.cold_until = 0.0
        self.arrivals: deque[float] = deque()
        self.running_keys: list[int] = []


class SentRequest:
    """One attempt of a caller."""

    def __init__(
        self, name: str, daemon: str, route: str, *, repeatable: bool, sent_at: float
    ) -> None:
        self.name = name
        self.daemon = daemon
        self.route = route
        self.repeatable = repeatable
        self.sent_at = sent_at
        self.timeout_s = 1.0
        self.left_at: float | None = None
        self.ended_at: float | None = None
        self.status: int | None = None
        self.runs: list[Run] = []
        self.running = 0
        self.arrivals = 0


def whole_body(request_id: str, method: str, target: str, body: bytes) -> bytes:
    """Return what a backend server answers to exactly this request."""
    digest = hashlib.sha256(b'\n'.join((method.encode(), target.encode(), body))).hexdigest()
    return f'{request_id} {digest}'.encode()


class Truth:
    """Judges what is reported to it; broken promises are in ``violations``.

    :param now: returns the monotonic seconds
    """

    def __init__(self, now: Callable[[], float], bounds: Bounds, calm: Calm) -> None:
        self.violations: list[Violation] = []
        self.request_by_id: dict[str, SentRequest] = {}
        self.server_by_name: dict[str, ServerFacts] = {}
        self.evacuated_at: dict[str, float] = {}
        self.answered_count = 0
        self._now = now
        self._bounds = bounds
        self._calm = calm
        self._services_of_versions: list[tuple[float, Mapping[str, str]]] = []
        self._sent_at_by_service: dict[str, deque[float]] = defaultdict(deque)
        self._repeated_at_by_service: dict[str, deque[float]] = defaultdict(deque)

    def broken(self, promise: Promise, detail: str) -> None:
        """Note a broken promise."""
        self.violations.append(Violation(promise, self._now(), detail))

    # What operators did.

    def configured(self, service_by_route: Mapping[str, str]) -> None:
        """Note that the store has taken a configuration."""
        self._services_of_versions.append((self._now(), service_by_route))

    def _allowed_services(self, request: SentRequest) -> tuple[set[str], set[str]]:
        """Return the services that may run a request now, and those of any version."""
        ever = {services[request.route] for _, services in self._services_of_versions}
        bound = request.sent_at - self._bounds.configuration_s
        allowed: set[str] = set()
        for taken_at, services in self._services_of_versions:
            if taken_at <= bound:
                allowed = {services[request.route]}
            else:
                allowed.add(services[request.route])
        return allowed, ever

    # What callers saw.

    def sent(self, request: SentRequest) -> None:
        """Note a request that is being sent."""
        self.request_by_id[request.name] = request
        _, services = self._services_of_versions[-1]
        self._sent_at_by_service[services[request.route]].append(self._now())

    def answered(self, request: SentRequest, status: int, *, whole: bool) -> None:
        """Note an answer.

        :param whole: whether it is a server's own mark with the body that belongs to it
        """
        request.ended_at, request.status = self._now(), status
        if status < 300:
            self.answered_count += 1
            if not whole:
                self.broken(Promise.WHOLE_ANSWER, f'{request.name}: status {status}')
        if status in NOT_RUN_STATUSES and request.runs and not request.repeatable:
            self.broken(
                Promise.TRUE_REFUSAL, f'{request.name}: {status} after {request.runs[0]}'
            )

    def left(self, request: SentRequest) -> None:
        """Note that the caller closed its connection."""
        request.left_at = self._now()

    def cut(self, request: SentRequest, *, stopping: bool) -> None:
        """Note that a daemon closed the connection without an answer.

        :param stopping: whether that daemon has had a SIGTERM
        """
        request.ended_at = self._now()
        parts = [request.daemon, STORE, *(run.server for run in request.runs)]
        if request.runs and stopping and self._calm.is_calm(*parts, since=request.sent_at):
            self.broken(Promise.GRACEFUL, f'{request.name} at {request.daemon}')

    # What backend servers saw.

    def arrived(self, server: ServerFacts, request_id: str) -> None:
        """Note a request that reached a server, whether it is run or not."""
        now = self._now()
        request = self.request_by_id.get(request_id)
        if request is None:
            self.broken(Promise.KNOWN_REQUEST, f'{request_id!r} at {server.name}')
            return
        request.arrivals += 1
        if request.arrivals > 1:
            self._count_repeat(server.service, now)
        self._check_service(server, request)
        self._check_place(server, request, now)
        self._check_cold(server, now)

    def _count_repeat(self, service: str, now: float) -> None:
        window_s = self._bounds.retry_window_s
        repeats = _trimmed(self._repeated_at_by_service[service], now - window_s)
        repeats.append(now)
        sent = _trimmed(self._sent_at_by_service[service], now - 2 * window_s)
        most = max(
            sum(start <= at < start + window_s for at in sent)
            for start in (now - window_s, now - 1.5 * window_s, now - 2 * window_s)
        )
        allowed = self._bounds.retry_ratio * most + self._bounds.retry_slack
        if len(repeats) > allowed:
            self.broken(
                Promise.REPEATS, f'{service}: {len(repeats)} in {window_s} s of {most}'
            )

    def _check_service(self, server: ServerFacts, request: SentRequest) -> None:
        allowed, ever = self._allowed_services(request)
        if server.service in allowed:
            return
        where = f'{request.name} of {request.route} at {server.service}'
        if server.service not in ever:
            self.broken(Promise.KNOWN_REQUEST, where)
        elif self._calm.is_calm(request.daemon, STORE):
            self.broken(Promise.CONFIGURED, f'{where}, not {sorted(allowed)}')

    def _check_place(self, server: ServerFacts, request: SentRequest, now: float) -> None:
        if not self._calm.is_calm(request.daemon, STORE, server.name):
            return
        if server.left_at is not None and now - server.left_at > self._bounds.drain_s:
            late_s = now - server.left_at
            self.broken(Promise.DRAINED, f'{request.name} at {server.name}, {late_s:.2f} s')
        since = self.evacuated_at.get(server.data_centre)
        if since is not None and now - since > self._bounds.evacuation_s:
            self.broken(Promise.EVACUATED, f'{request.name} at {server.name}')

    def _check_cold(self, server: ServerFacts, now: float) -> None:
        if now >= server.cold_until:
            return
        arrivals = _trimmed(server.arrivals, now - 1.0)
        arrivals.append(now)
        bounds = self._bounds
        if len(arrivals) > bounds.cold_per_s * bounds.cold_excess + bounds.cold_slack:
            self.broken(Promise.COLD_RATE, f'{server.name}: {len(arrivals)} in a second')

    def began(self, server: ServerFacts, request_id: str, key: int | None) -> None:
        """Note that a server begins to work on a request."""
        request = self.request_by_id.get(request_id)
        if request is None:
            return
        run = Run(server.name, key, self._now())
        if request.runs and not request.repeatable:
            self.broken(Promise.AT_MOST_ONCE, f'{request.name}: {request.runs[0]}, {run}')
        if request.status in NOT_RUN_STATUSES and not request.repeatable:
            self.broken(Promise.TRUE_REFUSAL, f'{request.name}: {request.status}, then {run}')
        request.runs.append(run)
        request.running += 1
        if key is not None:
            server.running_keys.append(key)

    def finished(self, server: ServerFacts, request_id: str, key: int | None) -> None:
        """Note that a server's work on a request has ended."""
        request = self.request_by_id.get(request_id)
        if request is not None:
            request.running -= 1
        if key is not None and key in server.running_keys:
            server.running_keys.remove(key)

    def granted(self, server: ServerFacts, hold: Hold) -> None:
        """Note that a server took keys."""
        now = self._now()
        excused = now - self._calm.healed_at <= self._bounds.thaw_s
        for other in self.server_by_name.values():
            if other is server or not other.up or other.service != server.service:
                continue
            for held in other.holds:
                overlaps = held.first <= hold.last and hold.first <= held.last
                if overlaps and held.until > now and not (excused or held.excused):
                    self.broken(
                        Promise.SOLE_OWNER,
                        f'{server.name} took {hold[:3]} while {other.name} had {held[:3]} '
                        f'for {held.until - now:.2f} s more',
                    )
        server.holds = [held for held in server.holds if held.until > now]
        server.holds.append(hold._replace(excused=excused))

    def judge_shares(self) -> None:
        """Judge at the end what is promised of most requests."""
        late = list(self._at_their_time())
        unanswered = [request for request, in_time in late if not in_time]
        if len(late) >= FEWEST and len(unanswered) > LATE_SHARE * len(late):
            names = ', '.join(request.name for request in unanswered[:FEWEST])
            self.broken(Promise.IN_TIME, f'{len(unanswered)} of {len(late)}: {names}')

    def _at_their_time(self) -> Iterator[tuple[SentRequest, bool]]:
        """Yield the requests that were unanswered at their route's time."""
        for request in self.request_by_id.values():
            due_at = request.sent_at + request.timeout_s
            if request.left_at is not None or due_at + self._bounds.slack_s > self._now():
                continue
            if request.ended_at is not None and request.ended_at <= due_at:
                continue
            if self._calm.is_calm(request.daemon, since=request.sent_at):
                ended_at = request.ended_at or self._now()
                yield request, ended_at <= due_at + self._bounds.slack_s


class AbandonedRequests:
    """Judges what becomes of requests whose callers have left."""

    def __init__(self, truth: Truth, calm: Calm) -> None:
        self._truth = truth
        self._calm = calm
        self._judged = 0
        self._still_running: list[str] = []
        self._sent_late: list[str] = []

    def check_work(self, request: SentRequest) -> None:
        """Judge whether a request is still worked on ``ABANDONED_S`` after its caller left."""
        if self._calm.is_calm(request.daemon) and request.repeatable and request.runs:
            self._judged += 1
            if request.running:
                self._still_running.append(request.name)

    def check_sends(self, request: SentRequest, arrivals_then: int) -> None:
        """Judge whether a request has been sent on later than that.

        :param arrivals_then: how often it had reached a server ``ABANDONED_S`` after
        """
        if self._calm.is_calm(request.daemon) and request.arrivals > arrivals_then:
            self._sent_late.append(request.name)

    def judge(self) -> None:
        """Judge all of them at the end."""
        running = len(self._still_running)
        if self._judged >= FEWEST and running > ABANDONED_SHARE * self._judged:
            self._truth.broken(
                Promise.ABANDONED, f'{running} of {self._judged} still worked on'
            )
        if len(self._sent_late) > LATE_SENDS:
            self._truth.broken(Promise.ABANDONED, f'sent on late: {self._sent_late[:FEWEST]}')


def _trimmed(times: deque[float], since: float) -> deque[float]:
    while times and times[0] < since:
        times.popleft()
    return times
