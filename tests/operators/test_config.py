"""Tests of changes of the document in the store."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.document.examples import EXAMPLE
from tests.operators.fakes import FakeStore

from coltsfootstair.document import State, parse, render
from coltsfootstair.operators import (
    Applied,
    ApplyResult,
    Conflict,
    Dangerous,
    DocumentStore,
    Faulty,
    Unavailable,
)

TEXT = render(parse(EXAMPLE, 'example'))


def apply(
    store: FakeStore, text: str, base: int | None = None, **options: bool
) -> ApplyResult:
    documents = DocumentStore(store)
    force = options.get('force', False)
    return documents.apply(text, base, force=force, load={'slots': 3.0}, history={1: TEXT})


def take_out(store: FakeStore, name: str = 'north', force: bool = False) -> ApplyResult:
    return DocumentStore(store).set_data_centre(name, State.OUT, force=force, load={})


def test_document_is_applied_and_data_centre_taken_out_and_back() -> None:
    store = FakeStore()
    first = apply(store, EXAMPLE)
    assert isinstance(first, Applied)
    assert first.version == 1
    assert apply(store, EXAMPLE) == Applied(1, ())
    assert take_out(store) == Applied(2, ('data centre north: state in -> out',))
    assert take_out(store) == Applied(2, ())
    south = 'service slots: its last data centre would be out'
    assert take_out(store, 'south') == Dangerous((south,))
    assert isinstance(take_out(store, 'south', force=True), Applied)
    back = DocumentStore(store).set_data_centre('south', State.IN, force=False, load={})
    assert back == Applied(4, ('data centre south: state out -> in',))


def test_faulty_document_or_unknown_name_changes_nothing() -> None:
    store = FakeStore()
    assert isinstance(apply(store, EXAMPLE.replace('slots = 4', 'slots = 0')), Faulty)
    apply(store, EXAMPLE)
    assert isinstance(take_out(store, 'nowhere'), Faulty)
    assert store.revision == 1


def test_conflict_tells_what_changed() -> None:
    store = FakeStore()
    apply(store, EXAMPLE, 0)
    assert isinstance(take_out(store), Applied)
    late = apply(store, EXAMPLE.replace('110', '100'), 1)
    assert late == Conflict(2, ('data centre north: state in -> out',))
    assert apply(store, EXAMPLE, 7) == Conflict(2, ())


@pytest.mark.parametrize(
    ('lost', 'dropped', 'expected'),
    [
        ({3}, set(), Applied),
        ({3}, {4, 5, 7}, Applied),
        (set(), {3}, Applied),
        (set(), {2}, Unavailable),
        (set(), set(range(3, 99)), Unavailable),
        ({3}, set(range(5, 99)), Unavailable),
    ],
)
def test_change_with_lost_answer_is_read_back(
    lost: set[int], dropped: set[int], expected: type
) -> None:
    store = FakeStore()
    apply(store, EXAMPLE)
    store.calls, store.lost_answers, store.dropped_calls = 1, lost, dropped
    result = take_out(store)
    assert isinstance(result, expected)
    assert store.revision <= 2
    if isinstance(result, Applied):
        assert 'out' in store.objects['config'].value.decode()


@given(st.lists(st.sampled_from(['north', 'south']), max_size=4), st.sets(st.integers(1, 30)))
def test_applied_change_is_in_the_store_despite_lost_answers(
    names: list[str], lost: set[int]
) -> None:
    store = FakeStore(lost_answers=lost)
    apply(store, EXAMPLE)
    for name in names:
        result = take_out(store, name, force=True)
        assert isinstance(result, Applied)
        stored = parse(store.objects['config'].value.decode(), 'store')
        assert {one.name: one.state for one in stored.data_centres}[name] is State.OUT
        assert store.objects['config'].version == result.version
