"""Tests of the choice of a backend server for a service that is not divided by key."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.document import (
    BackendServer,
    DataCentre,
    Document,
    Service,
    ServiceKind,
    State,
    render,
)
from coltsfootstair.leases import LeaseRecord, encode_record, record_key
from coltsfootstair.results import Refusal, ResultCode
from coltsfootstair.routing import Router
from coltsfootstair.routing._router import DOCUMENT_KEY, Route
from coltsfootstair.store import VersionedObject

SERVERS = [f's{number}' for number in range(6)]


def _router(out: set[str], coordinated: set[str], seed: int) -> Router:
    state_by_name = {name: State.OUT if name in out else State.IN for name in SERVERS}
    # A server has 4 slots, accepts 9 connections and checks grants.
    servers = tuple(
        BackendServer(name, 'b', 'n', f'10.0.0.{name[1:]}:1', 4, 9, True, state)
        for name, state in state_by_name.items()
    )
    service = Service('b', False, ServiceKind.BOOKING, ('n',))
    text = render(Document((DataCentre('n'),), (service,), servers))
    router = Router(random.Random(seed), lambda: True)
    router.apply_object(VersionedObject(DOCUMENT_KEY, 1, text.encode()))
    for name in coordinated:
        record = LeaseRecord(f'daemon-of-{name}', 'i', '', '', 1)
        router.apply_object(VersionedObject(record_key(name), 2, encode_record(record)))
    return router


@given(st.sets(st.sampled_from(SERVERS)), st.sets(st.sampled_from(SERVERS)), st.integers())
def test_only_coordinated_servers_that_are_in_are_chosen(
    out: set[str], coordinated: set[str], seed: int
) -> None:
    router = _router(out, coordinated, seed)
    allowed = coordinated - out
    chosen = set()
    # Enough draws that each allowed server is chosen.
    for _ in range(60):
        route = router.route('b', '', '')
        if isinstance(route, Refusal):
            none_in = out == set(SERVERS)
            code = ResultCode.NO_USABLE_SERVER if none_in else ResultCode.NO_OWNER
            assert (allowed, route.code) == (set(), code)
            continue
        assert isinstance(route, Route)
        assert route.coordinator == f'daemon-of-{route.backend_server}'
        chosen.add(route.backend_server)
    assert chosen == allowed


def test_the_less_busy_of_two_is_chosen() -> None:
    router = _router(set(SERVERS[2:]), set(SERVERS), 1)
    router.add_outstanding('s0')
    routes = [router.route('b', '', '') for _ in range(20)]
    names = {route.backend_server for route in routes if isinstance(route, Route)}
    assert names == {'s1'}
