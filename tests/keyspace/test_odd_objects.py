"""Tests of the lease and the tables when another writer has replaced or changed them."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfootstair.errors import ProtocolError
from coltsfootstair.http1 import Address
from coltsfootstair.keyspace import (
    KeyRange,
    KeyTable,
    OwnershipView,
    decode_table,
    encode_table,
)
from coltsfootstair.keyspace._lease import KeeperLease, decode_lease, encode_lease
from coltsfootstair.keyspace._service import ServiceKeeper
from coltsfootstair.keyspace._table import build_table_update
from coltsfootstair.objects import Listing, StoredObject, UnreadableValue
from coltsfootstair.peers import encode_message
from tests.keyspace.model import SERVICE, World
from tests.virtual_time import run

if TYPE_CHECKING:
    from collections.abc import Iterator

LEASE = KeeperLease('d1', Address('d1', 1), 3)
TABLE = KeyTable(
    [
        KeyRange(0, 9, ('s1', 5), 3, True, (('s2', 6),)),
        KeyRange(10, 65535, ('s2', 6), 4, False),
    ],
    4,
    3,
)
TABLE_NAME = f'table-{SERVICE}'
ODD = UnreadableValue('nested too deep')

ODD_SCALARS: st.SearchStrategy[Any] = st.sampled_from(
    [
        -1,
        -(10**400),
        70_000,
        10**19,
        10**30,
        10**400,
        1e308,
        math.inf,
        math.nan,
        '\ud800',
        'a b',
        '\x00',
        'x' * 5000,
        ODD,
        None,
        True,
        [],
        {},
    ]
)

ODD_VALUES = st.one_of(
    ODD_SCALARS,
    st.recursive(
        ODD_SCALARS | st.integers() | st.floats() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=5,
    ),
)


def _replace_each_part(value: Any, odd: Any) -> Iterator[Any]:
    """Return copies of ``value``, in each of which one part at any depth is ``odd``."""
    yield odd
    if isinstance(value, dict):
        for key, part in value.items():
            for replaced in _replace_each_part(part, odd):
                yield value | {key: replaced}
    elif isinstance(value, list):
        for index, part in enumerate(value):
            for replaced in _replace_each_part(part, odd):
                yield [*value[:index], replaced, *value[index + 1 :]]


@settings(max_examples=300)
@given(ODD_VALUES)
def test_no_value_of_a_lease_raises_anything_but_a_protocol_error(odd: Any) -> None:
    """A malformed lease ended the keeper's task, and its daemon stayed keeper in name."""
    for value in _replace_each_part(encode_lease(LEASE), odd):
        try:
            lease = decode_lease(value)
        except ProtocolError as error:
            str(error)
        else:
            assert decode_lease(encode_lease(lease)) == lease
            assert 0 < lease.address.port <= 65535


@settings(max_examples=300)
@given(ODD_VALUES)
def test_no_value_of_a_table_raises_anything_but_a_protocol_error(odd: Any) -> None:
    for value in _replace_each_part(encode_table(TABLE), odd):
        try:
            table = decode_table(value)
        except ProtocolError as error:
            str(error)
        else:
            encode_message(build_table_update(table, SERVICE, 7))
            assert table.range_of(65535) is not None or not table.ranges


@pytest.mark.parametrize('number', [10**5000, -(10**5000)], ids=['high', 'low'])
def test_numbers_of_5000_digits_are_protocol_errors(number: int) -> None:
    for value in _replace_each_part(encode_table(TABLE), number):
        with pytest.raises(ProtocolError):
            decode_table(value)
    for value in _replace_each_part(encode_lease(LEASE), number):
        with pytest.raises(ProtocolError):
            decode_lease(value)


def test_a_range_that_ends_before_it_begins_is_refused() -> None:
    ranges = [[0, 80_000, 's1', 5, 3, True, []], [80_001, 65_535, 's2', 6, 4, True, []]]
    with pytest.raises(ProtocolError):
        decode_table({'epoch': 3, 'fence': 4, 'rows': ranges})


@pytest.mark.parametrize('odd', [ODD, None, {'holder': 'd1'}, 10**30])
def test_an_odd_object_leaves_the_lease_and_the_tables_known_in_force(odd: Any) -> None:
    view = OwnershipView()
    calls: list[Any] = []
    view.subscribe_lease(lambda: calls.append((view.lease, view.lease_revision)))
    view.subscribe_tables(lambda service, table: calls.append((service, table)))
    good = [
        StoredObject('keeper', 4, encode_lease(LEASE)),
        StoredObject(TABLE_NAME, 5, encode_table(TABLE)),
    ]
    view.apply_listing(Listing(good, 5))
    assert calls[0] == (LEASE, 4)
    for _ in range(3):
        view.apply_listing(
            Listing([StoredObject('keeper', 6, odd), StoredObject(TABLE_NAME, 7, odd)], 7)
        )
    assert len(calls) == 2
    assert view.lease == LEASE
    assert (view.lease_revision, view.is_lease_readable) == (6, False)
    # The keeper sends what a daemon lacks by the revision that it reports.
    assert view.get_table_revisions() == {SERVICE: 5}
    newer = LEASE._replace(epoch=9)
    view.apply_object(StoredObject('keeper', 8, encode_lease(newer)))
    assert (view.lease, view.lease_revision, view.is_lease_readable) == (newer, 8, True)


@pytest.mark.parametrize('restart_all', [False, True])
@pytest.mark.parametrize('names', [['keeper'], [TABLE_NAME], ['keeper', TABLE_NAME]])
def test_keys_are_served_again_after_an_odd_object_of_the_daemons(
    names: list[str], restart_all: bool
) -> None:
    """Nobody replaced it: no daemon became keeper, or no key was moved any more."""

    async def simulate() -> tuple[float, float]:
        world = World(1)
        await asyncio.sleep(6.0)
        for name in names:
            world.write_odd(name, ODD)
        if restart_all:
            for name in list(world.daemon_by_name):
                world.restart_daemon(name)
        await asyncio.sleep(3.0)
        model = next(iter(world.server_by_address.values()))
        model.alive = False
        for daemon in world.daemon_by_name.values():
            daemon.registry.remove(model.server.name)
        shares = []
        for _ in range(80):
            await asyncio.sleep(0.25)
            shares.append(world.compute_served_share())
        assert world.violations == []
        assert sum(daemon.keeper.is_keeper for daemon in world.daemon_by_name.values()) == 1
        decode_lease(world.objects['keeper'].value)
        decode_table(world.objects[TABLE_NAME].value)
        # A range that moves has no owner for a moment.
        return min(shares), max(shares[-12:])

    least, last = run(simulate())
    assert last == 1.0
    if not restart_all and len(names) == 1:
        assert least > 0.5


def test_a_keeper_that_stops_does_not_release_a_lease_that_it_can_not_read() -> None:
    """It could write over the lease of a later keeper, whose epoch was then used again."""

    async def simulate() -> tuple[int, int]:
        world = World(1)
        await asyncio.sleep(6.0)
        (keeper,) = (
            daemon.keeper
            for daemon in world.daemon_by_name.values()
            if daemon.keeper.is_keeper
        )
        world.write_odd('keeper', ODD)
        odd_revision = world.revision
        await keeper.stop()
        await asyncio.sleep(5.0)
        assert world.violations == []
        return decode_lease(world.objects['keeper'].value).epoch, odd_revision

    epoch, odd_revision = run(simulate())
    assert epoch > odd_revision


async def _simulate_faults(seed: int) -> World:
    """Write odd objects among the other faults."""
    world = World(seed)
    await asyncio.sleep(4.0)
    for _ in range(12):
        for _ in range(world.random.randrange(3)):
            world.inject_fault()
            await asyncio.sleep(world.random.uniform(0.1, 1.0))
        if world.random.random() < 0.6:
            world.write_odd(world.random.choice(['keeper', TABLE_NAME]), ODD)
        if world.random.random() < 0.1:
            for name in list(world.daemon_by_name):
                world.restart_daemon(name)
        await asyncio.sleep(world.random.uniform(0.1, 5.0))
        world.check_owners(range(64))
    return world


@pytest.mark.parametrize('seed', [*range(16), 30, 169])
def test_no_key_has_two_owners_while_odd_objects_come(seed: int) -> None:
    assert run(_simulate_faults(seed)).violations == []


def test_the_model_detects_an_unreadable_table_whose_grants_are_not_awaited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def trust_known_table(keeper: ServiceKeeper, _revision: int) -> KeyTable:
        known = keeper._dependencies.ownership_view.get_table(keeper.service)
        return known or KeyTable([], 0, keeper._epoch)

    monkeypatch.setattr(ServiceKeeper, '_recover_unreadable_table', trust_known_table)
    assert any(run(_simulate_faults(seed)).violations for seed in range(60))
