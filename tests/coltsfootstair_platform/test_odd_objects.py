"""Tests of decoding objects that other writers left in the store, whatever they hold."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfootstair.errors import BadInputError
from coltsfootstair.objects import StoredObject, UnreadableValue
from coltsfootstair.peers import ObjectsUpdate, encode_message
from coltsfootstair.routes import RouteTable
from coltsfootstair_platform import PlatformDecoder, load
from coltsfootstair_platform._answers import decode_item
from tests.coltsfootstair_platform.odd import ODD_ENTRY_BY_FORM, build_entry_text
from tests.coltsfootstair_platform.standin import (
    ServerStandin,
    build_configuration,
    build_route,
    build_workspace,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

DECODER = PlatformDecoder()

MAX_ERROR_CHARACTERS = 400
"""Longest error that a log line should hold, in characters."""

MOST_DIGITS = 10**5000

ODD_NUMBERS = [
    -1,
    -(10**400),
    10**30,
    10**400,
    1e308,
    -1e308,
    math.inf,
    -math.inf,
    math.nan,
]

ODD_TEXTS = [
    '\ud800',
    'a\ud800',
    'x' * 10_000,
    '\x00',
    'a\r\nb',
    '²',
    '8' * 5000,
    '10.0.0.1:²',
    '10.0.0.1:' + '8' * 5000,
    '10.0.0.1\x00:80',
]


@pytest.mark.parametrize('form', ODD_ENTRY_BY_FORM)
def test_an_odd_entry_names_no_server(form: str) -> None:
    text = b'{"metadata":{"name":"s1","revision":4},"spec":%s}' % ODD_ENTRY_BY_FORM[form]
    item = decode_item(text, 's1')
    with pytest.raises(BadInputError) as caught:
        DECODER.decode_backend_server(StoredObject(*item))
    assert len(str(caught.value)) <= MAX_ERROR_CHARACTERS
    str(caught.value).encode()


def test_a_good_entry_in_the_same_form_names_a_server() -> None:
    text = b'{"metadata":{"name":"s1","revision":4},"spec":%s}' % build_entry_text()
    server = DECODER.decode_backend_server(StoredObject(*decode_item(text, 's1')))
    assert (server.address.host, server.address.port) == ('127.0.0.1', 9)


@pytest.mark.parametrize('name', ['\ud800', 'a\r\nX-Forged: 1', '\x00', 'x' * 2000])
def test_an_entry_whose_name_can_not_stand_in_a_header_names_no_server(name: str) -> None:
    server = ServerStandin('s1')
    server.port = 80
    with pytest.raises(BadInputError):
        DECODER.decode_backend_server(StoredObject(name, 4, server.build_entry('calendar')))


def test_an_evacuation_whose_name_can_not_be_encoded_is_refused() -> None:
    with pytest.raises(BadInputError):
        DECODER.decode_evacuation(StoredObject('\ud800', 4, {}))
    unreadable = StoredObject('north', 4, UnreadableValue('odd'))
    assert DECODER.decode_evacuation(unreadable) == 'north'


CONFIGURATION_FIELDS = [
    (0, 'timeout-ms'),
    (0, 'target-latency-ms'),
    (0, 'max-attempts'),
    (0, 'priority'),
    (4, 'warmup-s'),
    (4, 'warmup-per-s'),
    (4, 'max-conns'),
    (7, 'max-header-bytes'),
    (7, 'max-body-bytes'),
    (7, 'header-timeout-ms'),
    (7, 'idle-timeout-ms'),
]


@pytest.mark.parametrize(
    'number', [*ODD_NUMBERS, MOST_DIGITS], ids=[f'number{n}' for n in range(10)]
)
@pytest.mark.parametrize(('index', 'field'), CONFIGURATION_FIELDS)
def test_a_number_out_of_range_in_a_configuration_is_bad_input(
    index: int, field: str, number: float
) -> None:
    document = build_configuration()
    document['resources'][index]['spec'][field] = number
    with pytest.raises(BadInputError, match=field) as caught:
        DECODER.decode_configuration(StoredObject('main', 3, document))
    assert len(str(caught.value)) <= MAX_ERROR_CHARACTERS


@pytest.mark.parametrize(
    'number', [*ODD_NUMBERS, MOST_DIGITS, 0], ids=[f'number{n}' for n in range(11)]
)
def test_weights_without_shares_are_bad_input(number: float) -> None:
    document = build_configuration()
    weighted = [{'service': 'calendar', 'weight': number}] * 2
    document['resources'].append(
        build_route('split', 'calendar', **{'weighted-backends': weighted})
    )
    with pytest.raises(BadInputError, match='weight'):
        DECODER.decode_configuration(StoredObject('main', 3, document))


@pytest.mark.parametrize('field', ['host', 'path-prefix', 'service'])
def test_text_of_a_route_that_can_not_be_encoded_is_bad_input(field: str) -> None:
    document = build_configuration()
    document['resources'][0]['spec'][field] = 'a\ud800'
    with pytest.raises(BadInputError):
        DECODER.decode_configuration(StoredObject('main', 3, document))


def test_a_key_of_a_workspace_that_can_not_be_encoded_is_bad_input_and_not_shown() -> None:
    document = build_configuration()
    document['resources'].append(build_workspace('w1', 'secret\ud800'))
    with pytest.raises(BadInputError) as caught:
        DECODER.decode_configuration(StoredObject('main', 3, document))
    assert 'secret' not in str(caught.value)


@pytest.mark.parametrize(
    'version', ['', '-1', '0x1f', ' 1', '1_0', '٣', 'g', '1' * 17, '1' * 5000, '\ud800']
)
def test_a_version_that_is_not_hexadecimal_or_too_long_is_bad_input(version: str) -> None:
    document = build_configuration() | {'version': version}
    with pytest.raises(BadInputError, match='version'):
        DECODER.decode_configuration(StoredObject('main', 3, document))


@pytest.mark.parametrize('port', ['²', '8' * 5000, '٨٠', '70000', '-1', ''])
def test_an_odd_port_in_the_settings_names_its_field(tmp_path: Any, port: str) -> None:
    path = tmp_path / 'node.toml'
    text = (
        'node-name = "n"\nip = "10.0.0.1"\nzone = "z"\ninternal-port-range = [1, 2]\n'
        '[listen-addrs]\nfront = "10.0.0.1:PORT"\n[limits]\nmemory-mb = 300\n'
        '[platform]\naddress = "10.0.0.2:80"\n'
    )
    path.write_text(text.replace('PORT', port))
    with pytest.raises(BadInputError, match=r'listen-addrs\.front'):
        load(path)


ODD_SCALARS = st.sampled_from([*ODD_NUMBERS, *ODD_TEXTS, UnreadableValue('odd')])

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(exclude_categories=[]))
)

# Each of the three is drawn as often as the others.
ODD_VALUES = st.one_of(
    ODD_SCALARS,
    SCALARS,
    st.recursive(
        ODD_SCALARS | SCALARS,
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=5,
    ),
)


def _replace_each_field(value: Any, odd: Any) -> Iterator[Any]:
    """Return copies of ``value``, in each of which one part at any depth is ``odd``."""
    yield odd
    if isinstance(value, dict):
        for key, part in value.items():
            for replaced in _replace_each_field(part, odd):
                yield value | {key: replaced}
    elif isinstance(value, list):
        for index, part in enumerate(value):
            for replaced in _replace_each_field(part, odd):
                yield [*value[:index], replaced, *value[index + 1 :]]


def _build_full_configuration() -> dict[str, Any]:
    document = build_configuration()
    document['resources'].append(build_workspace('w1', 'k1', rate_per_s=2, priority=1))
    weighted = [{'service': 'calendar', 'weight': 1}]
    document['resources'].append(build_route('w', 'desk', **{'weighted-backends': weighted}))
    return document


@settings(max_examples=300)
@given(ODD_VALUES)
def test_no_value_of_an_entry_raises_anything_but_bad_input(odd: Any) -> None:
    """A ``ValueError`` or ``OverflowError`` ended the task that follows the entries."""
    server = ServerStandin('s1')
    server.port = 80
    for value in _replace_each_field(server.build_entry('calendar'), odd):
        try:
            decoded = DECODER.decode_backend_server(StoredObject('s1', 1, value))
        except BadInputError as error:
            str(error)
        else:
            encode_message(ObjectsUpdate(1, 'kind', 1, 2, [('s1', 2, decoded, False)]))


@settings(max_examples=300)
@given(ODD_VALUES)
def test_no_value_of_a_configuration_raises_anything_but_bad_input(odd: Any) -> None:
    for value in _replace_each_field(_build_full_configuration(), odd):
        try:
            decoded = DECODER.decode_configuration(StoredObject('main', 1, value))
        except BadInputError as error:
            str(error)
            continue
        assert decoded is not None
        table = RouteTable(decoded)
        for route in decoded.routes:
            assert table.choose_service(route) in decoded.policy_by_service


@given(st.sampled_from(ODD_TEXTS) | st.text(st.characters(exclude_categories=[])), ODD_VALUES)
def test_no_name_raises_anything_but_bad_input(name: str, odd: Any) -> None:
    item = StoredObject(name, 1, odd)
    for read in (
        DECODER.decode_backend_server,
        DECODER.decode_configuration,
        DECODER.decode_evacuation,
    ):
        try:
            read(item)
        except BadInputError as error:
            str(error)
