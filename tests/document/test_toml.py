"""Tests of reading and writing the document."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.document.examples import EXAMPLE

from coltsfootstair.document import Document, State, parse, render, with_data_centre_state
from coltsfootstair.errors import BadInputError

# Text of the example, its replacement, and a part of the expected error.
FAULTS = [
    ('name = "north"', 'name = "no/rth"', 'data_centres[1].name (line 2): must be'),
    (
        'name = "south"',
        'name = "north"',
        'data_centres[2].name (line 5): "north" is already used by entry 1',
    ),
    ('name = "south"', 'state = "out"', 'data_centres[2].name (line 4): missing'),
    (
        'kind = "lookup"',
        'kind = "looks"',
        'services[1].kind (line 10): must be one of "lookup"',
    ),
    ('["north", "south"]', '["west"]', 'services[1].data_centres (line 11): "west" is not a'),
    ('["north", "south"]', '[]', 'services[1].data_centres (line 11): must name at least one'),
    ('["north", "south"]', '["south", "south"]', '(line 11): must name each data centre once'),
    ('["north", "south"]', '7', 'services[1].data_centres (line 11): must be a list of names'),
    ('service = "slots"', 'service = "x"', 'backend_servers[1].service (line 15): "x" is not'),
    (
        'data_centre = "north"',
        'data_centre = "x"',
        '(line 16): must be a data centre of service',
    ),
    (
        '127.0.0.1:9001',
        'localhost:9001',
        'backend_servers[1].address (line 17): must be IP:PORT',
    ),
    ('127.0.0.1:9001', '127.0.0.1:0', 'backend_servers[1].address (line 17): must be IP:PORT'),
    (
        '127.0.0.1:9001',
        '127.0.0.1:9002',
        'backend_servers[2].address (line 26): "127.0.0.1:9002"',
    ),
    (
        'slots = 4',
        'slots = 0',
        'backend_servers[1].slots (line 18): must be a whole number from 1',
    ),
    ('slots = 4', 'slots = 4.5', 'backend_servers[1].slots (line 18): must be a whole number'),
    (
        'slots = 4',
        'slots = 111',
        'backend_servers[1].connections (line 19): must not be less than slots (111)',
    ),
    ('checks_grants = true', 'checks_grants = 1', '(line 20): must be true or false'),
    ('checks_grants = true', 'wat = 1', 'backend_servers[1].wat (line 20): unknown field'),
    (
        '[[services]]',
        '[services]',
        'services (line 7): must be tables, each under',
    ),
    ('[[data_centres]]', 'limits = 3\n[[data_centres]]', 'limits (line 1): unknown field'),
    ('name = "north"', 'name = ', 'TOML: Invalid value (at line 2, column 8)'),
]


@pytest.mark.parametrize(('old', 'new', 'expected'), FAULTS)
def test_faults_name_field_and_line(old: str, new: str, expected: str) -> None:
    with pytest.raises(ExceptionGroup) as caught:
        parse(EXAMPLE.replace(old, new, 1), 'file.toml')
    texts = [str(error) for error in caught.value.exceptions]
    assert any(expected in text and text.startswith('file.toml: ') for text in texts), texts
    assert all(isinstance(error, BadInputError) for error in caught.value.exceptions)


def test_all_faults_are_reported_at_once() -> None:
    text = EXAMPLE.replace('slots = 4', 'slots = 0').replace('"lookup"', '"x"')
    with pytest.raises(ExceptionGroup) as caught:
        parse(text, 'file.toml')
    assert len(caught.value.exceptions) == 3


def test_fault_in_inline_table_names_its_line() -> None:
    with pytest.raises(ExceptionGroup, match='x is not allowed') as caught:
        parse('\ndata_centres = [{name = 3}]', 'x')
    assert '(line 2)' in str(caught.value.exceptions[0])


def test_document_longer_than_the_limit_is_refused() -> None:
    with pytest.raises(ExceptionGroup):
        parse(EXAMPLE + '#' * 1_048_576, 'x')


def test_rendered_document_parses_to_the_same() -> None:
    document = with_data_centre_state(parse(EXAMPLE, 'x'), 'north', State.OUT)
    assert parse(render(document), 'x') == document
    assert parse(render(Document()), 'x') == Document()


@given(st.text(max_size=40), st.integers(0, len(EXAMPLE)), st.integers(0, 30))
def test_damaged_text_parses_or_raises_bad_input(patch: str, at: int, cut: int) -> None:
    try:
        document = parse(EXAMPLE[:at] + patch + EXAMPLE[at + cut :], 'x')
    except ExceptionGroup as group:
        if group.split(BadInputError)[1]:
            raise
        return
    assert parse(render(document), 'x') == document
