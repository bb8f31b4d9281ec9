"""Chooses a backend server for a request, or refuses it at once."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.placement._load import LoadEstimate
from coltsfootstair.registry import BackendServer

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence


__all__ = [
    'Candidate',
    'Placement',
    'PlacementRefusal',
    'RequestConstraints',
    'choose_server',
    'compute_unreported_limit',
]

REMOTE_COST_SHARE = 0.25
"""Part of the target latency by which an answer may take longer within the data centre
before another one is used; bytes between data centres are paid for."""

REMOTE_COST_BYTES = 32 * 1024
"""Bytes of a body that count for another whole target latency."""

MAX_EXPECTED_LATENCY_RATIO = 2.0
"""How many target latencies an answer may take by estimate; a request that would take
longer is refused, so that those behind it are answered in time."""

FAILURE_COST_RATIO = 4.0
"""How many target latencies a sure failure counts for: its caller has to start anew, if it
may, and then is late."""

JITTER_SHARE = 0.1
"""Random part of an estimate, so that daemons with the same view do not agree."""

MAX_REQUESTS_PER_SLOT = 3.0
"""Requests for each slot beyond which no backend server is given more. Queues of backend
servers are short and their length is not stated anywhere."""

UNRESPONSIVE_RETRY_AFTER_S = 0.3
"""When a caller may come back whose backend servers do not answer, in seconds."""

MIN_RETRY_AFTER_S = 0.05
"""Shortest time after which a refused caller is asked to come back, in seconds."""


class Candidate(NamedTuple):
    """A backend server that may get a request.

    :param cold_wait_s: seconds until a cold server may get its next request; 0 if now
    :param answers_nobody: whether all daemons together find it silent
    :param most_at_once: requests that this daemon may have there, each on a connection
    """

    server: BackendServer
    load: LoadEstimate
    cold_wait_s: float
    max_in_flight: float = math.inf
    is_unresponsive: bool = False

    @property
    def has_room(self) -> bool:
        """Whether this daemon may have another request there."""
        return self.load.in_flight < self.max_in_flight


class RequestConstraints(NamedTuple):
    """What a request needs.

    :param objective_s: time within which an answer is worth most, from the start
    :param left_s: time after which its answer is worth nothing
    """

    data_centre: str
    target_latency_s: float
    time_left_s: float
    body_bytes: int = 0


class Placement(NamedTuple):
    """The request goes to ``candidate``."""

    candidate: Candidate
    expected_answer_s: float


class PlacementRefusal(NamedTuple):
    """No backend server can serve the request in time.

    :param retry_after_s: when one may have room
    """

    retry_after_s: float
    reason: str


def compute_unreported_limit(slots: int, daemons: int) -> int:
    """Return how many requests a daemon may have at a server whose load it does not know.

    Answers the moment at which a busy key gets another owner, or all daemons start anew:
    each of them has requests waiting, and sees an idle server. The share is rounded up, as
    some daemons have none.
    """
    return max(1, math.ceil(MAX_REQUESTS_PER_SLOT * slots / daemons))


def choose_server(
    candidates: Sequence[Candidate],
    demand: RequestConstraints,
    now: float,
    random_source: random.Random,
) -> Placement | PlacementRefusal:
    """Return the backend server with the shortest expected answer, or a refusal.

    Answers bursts and slowed servers: a request goes where it will be answered soonest,
    within its data centre as long as that costs little, and is refused at once where the
    queue in front of it alone would take longer than its answer is waited for.
    """
    best: Placement | None = None
    best_cost = 0.0
    soonest_s = demand.time_left_s
    for candidate in candidates:
        load = candidate.load
        if candidate.cold_wait_s > 0:
            soonest_s = min(soonest_s, candidate.cold_wait_s)
            continue
        if candidate.is_unresponsive or load.is_unresponsive(now):
            soonest_s = min(soonest_s, UNRESPONSIVE_RETRY_AFTER_S)
            continue
        if not candidate.has_room:
            soonest_s = min(soonest_s, load.estimate_answer_s(now))
            continue
        expected_s = load.estimate_answer_s(now)
        longest_s = min(
            demand.time_left_s, MAX_EXPECTED_LATENCY_RATIO * demand.target_latency_s
        )
        waits = load.estimate_in_flight(now) + 1.0 > load.slots
        if waits and (
            load.estimate_in_flight(now) >= load.slots * MAX_REQUESTS_PER_SLOT
            or expected_s > longest_s
        ):
            soonest_s = min(soonest_s, expected_s / 2)
            continue
        cost = (
            expected_s
            + FAILURE_COST_RATIO * load.compute_failure_share(now) * demand.target_latency_s
        )
        cost *= 1.0 + JITTER_SHARE * random_source.random()
        if candidate.server.data_centre != demand.data_centre:
            share = REMOTE_COST_SHARE + demand.body_bytes / REMOTE_COST_BYTES
            cost += share * demand.target_latency_s
        if best is None or cost < best_cost:
            best = Placement(candidate, expected_s)
            best_cost = cost
    if best is not None:
        return best
    return PlacementRefusal(
        max(MIN_RETRY_AFTER_S, soonest_s), 'no backend server has room in time'
    )
