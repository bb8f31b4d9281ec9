"""State of the grants given to one backend server, with bounds on their expiry."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

__all__ = [
    'GRANT_DURATION_S',
    'GRANT_RENEWAL_INTERVAL_S',
    'MAX_CLOCK_DRIFT_SHARE',
    'GrantCall',
    'GrantState',
    'apply_clock_reading',
    'apply_grant_answer',
    'build_grant_call',
    'build_initial_grants',
    'find_accepted_expiry',
    'may_be_granted',
]

GRANT_DURATION_S = 0.4
"""Length of a grant on the backend server's own clock, in seconds."""

GRANT_RENEWAL_INTERVAL_S = 0.1
"""Time between two renewals of the grants, in seconds."""

MAX_CLOCK_DRIFT_SHARE = 0.005
"""Greatest share by which any clock runs faster or slower than true time."""

_LONGEST_GRANT_S = GRANT_DURATION_S * (1 + MAX_CLOCK_DRIFT_SHARE) / (1 - MAX_CLOCK_DRIFT_SHARE)
"""Longest time on the local clock that a grant can last, in seconds."""

_SHORTEST_GRANT_S = (
    GRANT_DURATION_S * (1 - MAX_CLOCK_DRIFT_SHARE) / (1 + MAX_CLOCK_DRIFT_SHARE)
)
"""Shortest time on the local clock that a grant can last, in seconds."""


class GrantCall(NamedTuple):
    """A call that grants exactly the given rows, in place of all earlier grants.

    :param number: number of the call, rising within one lease
    :param instance: process of the backend server that the call is meant for
    :param token_by_row: fencing token of each granted row
    :param server_expiry: grant expiry on the server's clock, in seconds
    :param latest_expiry: when the grant has expired for certain, in local monotonic seconds
    :param earliest_expiry: until when the grant is certain not to have expired, in local
        monotonic seconds
    """

    number: int
    instance: str
    token_by_row: Mapping[int, int]
    server_expiry: float
    latest_expiry: float
    earliest_expiry: float


class GrantState(NamedTuple):
    """The grant calls made to one backend server under one lease.

    :param inherited_expiry: when the grants of earlier coordinators have expired for
        certain, in local monotonic seconds
    :param instance: process of the backend server, from its newest answer
    :param server_clock: newest reading of the server's clock, in seconds
    :param clock_read_after: lower bound of the local time of that reading, in monotonic
        seconds
    :param clock_read_before: upper bound of the local time of that reading, in monotonic
        seconds
    :param accepted_call: newest grant call that the server has accepted
    :param open_calls: by number, the calls that may have taken effect or may still do so,
        without a usable answer
    :param last_number: number of the newest call
    """

    inherited_expiry: float
    instance: str = ''
    server_clock: float = 0.0
    clock_read_after: float = -math.inf
    clock_read_before: float = -math.inf
    accepted_call: GrantCall | None = None
    open_calls: Mapping[int, GrantCall] = {}
    last_number: int = 0


def build_initial_grants(now: float) -> GrantState:
    """Return the grants as known to a coordinator whose lease begins at ``now``.

    Earlier coordinators computed their grants from clock readings taken before that, so
    these grants expire at most one grant duration later.
    """
    return GrantState(inherited_expiry=now + _LONGEST_GRANT_S)


def apply_clock_reading(
    grants: GrantState, instance: str, server_clock: float, sent_at: float, now: float
) -> GrantState:
    """Apply a reading of the server's clock; older readings are ignored.

    :param sent_at: when the call that returned the reading was sent, in monotonic seconds
    """
    if sent_at <= grants.clock_read_after:
        return grants
    return grants._replace(
        instance=instance,
        server_clock=server_clock,
        clock_read_after=sent_at,
        clock_read_before=now,
    )


def build_grant_call(
    grants: GrantState, token_by_row: Mapping[int, int], now: float
) -> tuple[GrantState, GrantCall] | None:
    """Return a grant call for the given rows, or ``None`` without a recent clock reading.

    The grant duration counts from the clock reading and not from the call, so that a call
    that is delayed, or that a frozen server handles late, does not extend the grant.
    """
    if now >= grants.clock_read_after + _SHORTEST_GRANT_S:
        return None
    call = GrantCall(
        grants.last_number + 1,
        grants.instance,
        dict(token_by_row),
        grants.server_clock + GRANT_DURATION_S,
        grants.clock_read_before + _LONGEST_GRANT_S,
        grants.clock_read_after + _SHORTEST_GRANT_S,
    )
    open_calls = {n: c for n, c in grants.open_calls.items() if c.latest_expiry > now}
    open_calls[call.number] = call
    return grants._replace(last_number=call.number, open_calls=open_calls), call


def apply_grant_answer(grants: GrantState, number: int, *, accepted: bool) -> GrantState:
    """Apply the server's answer to a grant call.

    After a refusal the clock reading is dropped, so that the server is probed before the
    next grant call.
    """
    call = grants.open_calls.get(number)
    if call is None:
        return grants
    open_calls = {n: c for n, c in grants.open_calls.items() if n != number}
    if not accepted:
        return grants._replace(open_calls=open_calls, instance='', clock_read_after=-math.inf)
    if number != grants.last_number:
        # A later call was sent before this answer arrived, so it is not known which of
        # the two calls the server applied last.
        return grants
    return grants._replace(open_calls=open_calls, accepted_call=call)


def may_be_granted(grants: GrantState, row: int, now: float) -> bool:
    """Return whether a grant of ``row`` may be in force at ``now`` or later."""
    calls = list(grants.open_calls.values())
    if grants.accepted_call is not None:
        calls.append(grants.accepted_call)
    if now < grants.inherited_expiry:
        return True
    return any(row in call.token_by_row and now < call.latest_expiry for call in calls)


def find_accepted_expiry(grants: GrantState) -> float:
    """Return until when the accepted grant is certain to be valid, in monotonic seconds."""
    return -math.inf if grants.accepted_call is None else grants.accepted_call.earliest_expiry
