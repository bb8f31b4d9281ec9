"""Tests of changes of a document and of their dangers."""

from __future__ import annotations

import pytest
from tests.document.examples import EXAMPLE

from coltsfootstair.document import (
    DangerKind,
    Document,
    State,
    find_changes,
    find_dangers,
    parse,
    with_backend_server_state,
    with_data_centre_state,
)
from coltsfootstair.errors import BadInputError

DOCUMENT = parse(EXAMPLE, 'example')


def test_changes_name_each_field_and_entry() -> None:
    new = with_data_centre_state(DOCUMENT, 'north', State.OUT)
    new = new._replace(backend_servers=new.backend_servers[1:])
    assert [str(change) for change in find_changes(DOCUMENT, new)] == [
        'data centre north: state in -> out',
        'backend server slots-1: removed',
    ]
    assert [str(change) for change in find_changes(Document(), DOCUMENT)][:2] == [
        'data centre north: added',
        'data centre south: added',
    ]
    assert find_changes(DOCUMENT, DOCUMENT) == []


def test_unknown_names_are_refused_with_the_known_ones() -> None:
    with pytest.raises(BadInputError, match='"nrth" is unknown; known names: north, south'):
        with_data_centre_state(DOCUMENT, 'nrth', State.OUT)
    with pytest.raises(BadInputError, match='"x" is unknown; known names: slots-1, slots-2'):
        with_backend_server_state(DOCUMENT, 'x', State.OUT)


NORTH_OUT = with_data_centre_state(DOCUMENT, 'north', State.OUT)
SLOTS_1_OUT = with_backend_server_state(DOCUMENT, 'slots-1', State.OUT)


@pytest.mark.parametrize(
    ('old', 'new', 'in_use', 'expected'),
    [
        (DOCUMENT, NORTH_OUT, 3.2, None),
        (DOCUMENT, NORTH_OUT, 3.3, DangerKind.CAPACITY),
        (DOCUMENT, SLOTS_1_OUT, 3.3, DangerKind.CAPACITY),
        (NORTH_OUT, DOCUMENT, 9.0, None),
        (DOCUMENT, DOCUMENT, 9.0, None),
        (
            NORTH_OUT,
            with_data_centre_state(NORTH_OUT, 'south', State.OUT),
            0.0,
            'last data centre',
        ),
        (
            SLOTS_1_OUT,
            with_backend_server_state(SLOTS_1_OUT, 'slots-2', State.OUT),
            0.0,
            'last backend server',
        ),
        (DOCUMENT, Document(), 0.0, DangerKind.LAST_DATA_CENTRE),
        (Document(), DOCUMENT, 0.0, None),
    ],
)
def test_outage_or_overload_of_a_service_is_a_danger(
    old: Document, new: Document, in_use: float, expected: str | None
) -> None:
    found = find_dangers(old, new, {'slots': in_use})
    assert [danger.kind for danger in found] == ([expected] if expected else [])
    assert all(str(danger).startswith('service slots: ') for danger in found)
