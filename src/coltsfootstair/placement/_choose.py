"""Chooses a backend server for a request, or refuses the request immediately."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.placement._load import LoadEstimate
from coltsfootstair.registry import BackendServer

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence


__all__ = [
    'MAX_REQUESTS_PER_SLOT',
    'MIN_RETRY_AFTER_S',
    'Candidate',
    'Placement',
    'PlacementRefusal',
    'RequestConstraints',
    'choose_server',
    'compute_limit_without_report',
]

REMOTE_COST_SHARE = 0.25
"""Share of the target latency that a request to another data centre must save; traffic between
data centres costs money."""

REMOTE_COST_BYTES = 32 * 1024
"""For each multiple of this body size, a request to another data centre must save one more
target latency; in bytes."""

MAX_EXPECTED_LATENCY_RATIO = 2.0
"""Longest expected latency of a request that must wait, as a multiple of its target latency. A
request with a longer one is refused, so that the requests behind it are answered in time."""

FAILURE_COST_RATIO = 4.0
"""Cost of a request that is sure to fail, as a multiple of the target latency: the caller must
retry, if it may, and its answer is late."""

JITTER_SHARE = 0.1
"""Largest random share added to a cost, so that daemons with the same view choose different
servers."""

MAX_REQUESTS_PER_SLOT = 3.0
"""Number of requests per slot from which a backend server gets no further request. Queues of
backend servers are short, and the platform does not state their length."""

UNRESPONSIVE_RETRY_AFTER_S = 0.3
"""Retry delay for a caller whose request only unresponsive backend servers could serve, in
seconds."""

MIN_RETRY_AFTER_S = 0.05
"""Shortest retry delay for a caller whose request is refused, in seconds."""


class Candidate(NamedTuple):
    """A backend server that may get a request.

    :param load: what this daemon knows of its load
    :param cold_wait_s: seconds until a cold server may get its next request; 0 if now
    :param max_in_flight: number of requests, each on a connection of its own, that this
        daemon may have there at once
    :param is_unresponsive: whether the keeper found, from the reports of all daemons, that it
        answers none of them
    :param pause_wait_s: seconds until the end of a pause that it has asked for; 0 if none
    :param limit_wait_s: seconds until the limit that it has named allows another request
    """

    server: BackendServer
    load: LoadEstimate
    cold_wait_s: float
    max_in_flight: float = math.inf
    is_unresponsive: bool = False
    pause_wait_s: float = 0.0
    limit_wait_s: float = 0.0

    @property
    def has_room(self) -> bool:
        """Whether this daemon may send it another request."""
        return self.load.in_flight < self.max_in_flight


class RequestConstraints(NamedTuple):
    """Properties of a request that decide where it may go.

    :param data_centre: data centre of the daemon that sends the request; traffic within it is
        free of charge
    :param target_latency_s: target latency, in seconds from the start of the request
    :param time_left_s: time until the request times out, in seconds
    :param body_bytes: size of its body
    :param max_limit_wait_s: longest wait for a server that has named a limit, in seconds
    :param max_requests_per_slot: requests per slot from which a server gets it no more
    """

    data_centre: str
    target_latency_s: float
    time_left_s: float
    body_bytes: int = 0
    max_limit_wait_s: float = 0.0
    max_requests_per_slot: float = MAX_REQUESTS_PER_SLOT


class Placement(NamedTuple):
    """The choice of a backend server.

    :param expected_latency_s: expected time until the answer, in seconds
    """

    candidate: Candidate
    expected_latency_s: float

    def joins_queue(self, now: float) -> bool:
        """Whether the server has no free slot for the request, as far as is known."""
        load = self.candidate.load
        return load.estimate_in_flight(now) + 1.0 > load.slots


class PlacementRefusal(NamedTuple):
    """No backend server can serve the request in time.

    :param retry_after_s: expected time until a server may have room, in seconds
    :param reason: why; callers see it in the detail of the refusal
    """

    retry_after_s: float
    reason: str


def compute_limit_without_report(slots: int, daemon_count: int) -> int:
    """Return how many requests a daemon may have at a server without a recent load report.

    It handles the time after a busy key has moved to another owner, or after a restart of all
    daemons: each daemon has requests waiting, and the server seems idle to all of them. The
    share of a daemon is rounded up, since some daemons have no requests.
    """
    return max(1, math.ceil(MAX_REQUESTS_PER_SLOT * slots / daemon_count))


def choose_server(
    candidates: Sequence[Candidate],
    constraints: RequestConstraints,
    now: float,
    random_source: random.Random,
) -> Placement | PlacementRefusal:
    """Return the backend server with the lowest cost, or a refusal.

    It handles bursts and slowed servers: a request goes to the server with the shortest
    expected latency, within its data centre unless another one saves much time. It is
    refused immediately if it would have to wait and its answer would come too late.
    """
    best: Placement | None = None
    best_cost = 0.0
    retry_after_s = constraints.time_left_s
    for candidate in candidates:
        load = candidate.load
        if candidate.pause_wait_s > 0:
            retry_after_s = min(retry_after_s, candidate.pause_wait_s)
            continue
        if candidate.limit_wait_s > constraints.max_limit_wait_s:
            retry_after_s = min(retry_after_s, candidate.limit_wait_s)
            continue
        if candidate.cold_wait_s > 0:
            retry_after_s = min(retry_after_s, candidate.cold_wait_s)
            continue
        if candidate.is_unresponsive or load.is_unresponsive(now):
            retry_after_s = min(retry_after_s, UNRESPONSIVE_RETRY_AFTER_S)
            continue
        if not candidate.has_room:
            retry_after_s = min(retry_after_s, load.estimate_latency_s(now))
            continue
        expected_s = load.estimate_latency_s(now)
        max_expected_s = min(
            constraints.time_left_s, MAX_EXPECTED_LATENCY_RATIO * constraints.target_latency_s
        )
        must_wait = load.estimate_in_flight(now) + 1.0 > load.slots
        if must_wait and (
            load.estimate_in_flight(now) >= load.slots * constraints.max_requests_per_slot
            or expected_s > max_expected_s
        ):
            retry_after_s = min(retry_after_s, expected_s / 2)
            continue
        cost = (
            expected_s
            + FAILURE_COST_RATIO
            * load.compute_failure_share(now)
            * constraints.target_latency_s
        )
        cost *= 1.0 + JITTER_SHARE * random_source.random()
        if candidate.server.data_centre != constraints.data_centre:
            remote_cost_share = REMOTE_COST_SHARE + constraints.body_bytes / REMOTE_COST_BYTES
            cost += remote_cost_share * constraints.target_latency_s
        if best is None or cost < best_cost:
            best = Placement(candidate, expected_s)
            best_cost = cost
    if best is not None:
        return best
    return PlacementRefusal(
        max(MIN_RETRY_AFTER_S, retry_after_s), 'no backend server has room in time'
    )
