"""Tests of the differences between two versions of a value."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.errors import ProtocolError
from coltsfootstair.objects import Delta, apply_delta, compute_delta

plain = st.none() | st.booleans() | st.integers(-5, 5) | st.floats(0, 1) | st.text(max_size=3)
values = st.recursive(
    plain,
    lambda inner: st.lists(inner, max_size=6) | st.dictionaries(st.text(max_size=2), inner),
    max_leaves=20,
)


def _send(delta: Delta) -> Delta:
    """Return a delta as another daemon decodes it."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(delta), type=Delta)


@given(values, values)
def test_a_delta_turns_the_older_value_into_the_newer_one(old: Any, new: Any) -> None:
    result = apply_delta(old, _send(compute_delta(old, new)))
    assert result == new
    assert msgspec.json.encode(result, order='sorted') == msgspec.json.encode(
        new, order='sorted'
    )


def test_a_change_of_one_item_is_as_small_as_the_item() -> None:
    """Guards against sending a whole configuration for the change of one route."""
    items = [{'name': f'route-{number}', 'weight': 1} for number in range(4000)]
    old = {'version': '1', 'resources': items}
    changed = [*items[:1000], {'name': 'route-1000', 'weight': 2}, *items[1001:]]
    added = [*items[:7], {'name': 'new', 'weight': 1}, *items[7:3000]]
    for resources in (changed, added, items[:-1], items[::-1][:3]):
        delta = compute_delta(old, {'version': '2', 'resources': resources})
        assert len(msgspec.msgpack.encode(delta)) < 120
        result = apply_delta(old, _send(delta))
        assert result == {'version': '2', 'resources': resources}
        assert result['resources'][0] in items


def test_items_that_did_not_change_stay_the_same_objects() -> None:
    """Guards against decoding all routes again for the change of one."""
    old = {'resources': [{'name': 'a'}, {'name': 'b'}]}
    new = {'resources': [{'name': 'b'}, {'name': 'c'}]}
    result = apply_delta(old, _send(compute_delta(old, new)))
    assert result['resources'][0] is old['resources'][1]


@pytest.mark.parametrize(
    ('old', 'new', 'other'),
    [
        ([1, 2, 3], [2, 3, 4], [1]),
        ([1], [1, 2], {'a': 1}),
        ({'a': 1}, {'a': 2}, [1]),
        ({'a': [1, 2]}, {'a': [2]}, {}),
    ],
)
def test_a_delta_of_another_value_is_refused(old: Any, new: Any, other: Any) -> None:
    with pytest.raises(ProtocolError):
        apply_delta(other, compute_delta(old, new))
