"""What the heads of answers tell that belong to no request or to an earlier one."""

from __future__ import annotations

import pytest

from coltsfootstair.clock import ManualClock
from coltsfootstair.gateway._leaving import HeadObserver
from coltsfootstair.http1 import Address
from coltsfootstair.limits import NamedLimits
from coltsfootstair.registry import BackendServer, Registry, ServerState
from coltsfootstair_platform import HeaderDialect

SERVER = BackendServer(
    's1', 1, 'slots', Address('10.0.0.1', 1), 'north', 4, ServerState.READY, 0.0
)


@pytest.mark.parametrize(('is_own', 'limit_per_s'), [(True, 7.0), (False, 2.0)])
@pytest.mark.parametrize('status', [200, 503])
def test_an_earlier_limit_that_comes_once_more_does_not_replace_the_newest(
    is_own: bool, limit_per_s: float, status: int
) -> None:
    """Guards against a rate that a server in need has lowered since."""
    clock = ManualClock()
    registry, limits = Registry(clock), NamedLimits(clock)
    registry.apply_entry(SERVER)
    observer = HeadObserver(HeaderDialect(), registry, limits)
    limits.name(SERVER.incarnation, 2.0)
    headers = [(b'Server-Limit', b'7')]
    observer.on_head(SERVER, False, status, headers, is_own=is_own)
    assert limits.get(SERVER.incarnation) == limit_per_s


def test_an_answer_of_an_earlier_request_tells_that_its_server_leaves() -> None:
    registry = Registry(ManualClock())
    registry.apply_entry(SERVER)
    observer = HeadObserver(HeaderDialect(), registry, NamedLimits(ManualClock()))
    observer.on_head(SERVER, False, 200, [(b'Server-Leaving', b'1')], is_own=False)
    assert registry.is_leaving(SERVER.incarnation)
