"""Takes from answers what servers say of themselves; refuses requests for keys that move."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.keyspace import MoveTimes
from coltsfootstair.results import Ran, Refusal, ResultCode

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock
    from coltsfootstair.gateway._types import Dialect, HeadFacts
    from coltsfootstair.http1 import Headers
    from coltsfootstair.keyspace import OwnershipView
    from coltsfootstair.limits import NamedLimits
    from coltsfootstair.registry import BackendServer, Registry

__all__ = [
    'HeadObserver',
    'LeavingOwners',
    'compute_move_wait_s',
    'find_answering_server',
    'find_leaving_server',
]

PLAN_DELAY_S = 0.25
"""Time in which the keeper is told of a leaving server and writes a plan without it, in
seconds."""

MIN_MOVE_WAIT_S = 0.1
"""Shortest Retry-After of a request whose key is to move, in seconds."""


def find_leaving_server(
    facts: HeadFacts, server: BackendServer, registry: Registry, *, has_key: bool
) -> BackendServer | None:
    """Return the server that says in the head of an answer that it is leaving, if any."""
    if not facts.says_leaving:
        return None
    return find_answering_server(facts, server, registry, has_key=has_key)


def find_answering_server(
    facts: HeadFacts, server: BackendServer, registry: Registry, *, has_key: bool
) -> BackendServer | None:
    """Return the server that what an answer's head says of its server counts for, if any.

    An answer that names its server counts for that one, if it is known at the address. One
    without a name counts for the server that the request names, unless it says that the server
    is the wrong one: without a key it then comes from another server at the address. With a
    key it may also come from the named server, which does not own the key; it counts unless
    another server is known at the address.

    :param server: the server that the request names
    :param has_key: whether the request has a key
    """
    if facts.server_name is not None and facts.server_name != server.name:
        other = registry.get(facts.server_name)
        return other if other is not None and other.address == server.address else None
    if (
        facts.server_name is None
        and facts.is_wrong_server
        and (not has_key or registry.has_other_at_address(server))
    ):
        return None
    return server


class HeadObserver:
    """Records what servers say of themselves in the heads of answers.

    Those that say that they leave are marked in the registry, limits go to ``limits``.
    """

    def __init__(self, dialect: Dialect, registry: Registry, limits: NamedLimits) -> None:
        self._dialect = dialect
        self._registry = registry
        self._limits = limits

    def on_head(
        self,
        server: BackendServer,
        has_key: bool,
        status: int,
        headers: Headers,
        *,
        is_own: bool,
    ) -> None:
        """Read the head of an answer on a connection to ``server``.

        :param server: the server that the last request on the connection names
        :param has_key: whether that request has a key
        :param is_own: whether the head is of the answer to that request; a limit in any other
            may be an earlier one
        """
        facts = self._dialect.parse_head(status, headers)
        leaving = find_leaving_server(facts, server, self._registry, has_key=has_key)
        if leaving is not None:
            self._registry.mark_leaving(leaving.incarnation)
        if not is_own or (facts.limit_per_s is None and facts.malformed_limit is None):
            return
        answering = find_answering_server(facts, server, self._registry, has_key=has_key)
        if answering is None:
            return
        if facts.limit_per_s is not None:
            self._limits.name(answering.incarnation, facts.limit_per_s)
        if facts.malformed_limit is not None:
            self._limits.refuse_malformed(answering.incarnation, facts.malformed_limit)


def compute_move_wait_s(known_for_s: float, move_s: float) -> float:
    """Return how long it takes until a leaving owner's keys have another owner, in seconds.

    A move that is overdue may be delayed by anything, so a whole move is expected again.

    :param known_for_s: for how long the owner is known to be leaving, in seconds
    :param move_s: how long a move takes once it is planned, in seconds
    """
    whole_s = PLAN_DELAY_S + move_s
    remaining_s = whole_s - known_for_s
    return max(MIN_MOVE_WAIT_S, remaining_s if remaining_s > 0 else whole_s)


class LeavingOwners:
    """Refuses requests whose key belongs to a server that has said that it is leaving."""

    def __init__(self, registry: Registry, ownership: OwnershipView, clock: Clock) -> None:
        self._registry = registry
        self._ownership = ownership
        self._move_times = MoveTimes(clock)
        ownership.subscribe_tables(self._move_times.apply_table)

    def refuse(self, service: str, key: int) -> Refusal | None:
        """Return the refusal of a request whose key's last known owner is leaving."""
        key_range = self._ownership.range_of(service, key)
        if key_range is None:
            return None
        known_for_s = self._registry.leaving_known_for_s(key_range.owner)
        if known_for_s is None:
            return None
        return Refusal(
            ResultCode.KEY_MOVING,
            Ran.NO,
            f'{key_range.owner[0]}, which owns key {key} of {service}, is leaving',
            compute_move_wait_s(known_for_s, self._move_times.estimate_s()),
        )
