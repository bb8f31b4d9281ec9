"""Tests of reading the store's answers when other writers left odd objects among others."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.clock import SystemClock
from coltsfootstair.errors import (
    StoreConflictError,
    StoreUnavailableError,
    UnusableAnswerError,
)
from coltsfootstair.http1 import Address
from coltsfootstair.objects import UnreadableValue
from coltsfootstair.peers import ObjectsUpdate, encode_message
from coltsfootstair_platform import HttpObjectStore
from coltsfootstair_platform._answers import decode_events, decode_item, decode_page
from coltsfootstair_platform._json_parts import find_members, split_list
from tests.coltsfootstair_platform.odd import UNREADABLE_BY_FORM
from tests.coltsfootstair_platform.standin import StoreStandin

MAX_SALVAGE_S = 3.0
"""Far above the time for a full page with one odd object, and far below that of a quadratic
one, in seconds."""


def _run(scenario: Callable[[StoreStandin, HttpObjectStore], Awaitable[None]]) -> None:
    async def run() -> None:
        standin = StoreStandin()
        await standin.start()
        store = HttpObjectStore(Address('127.0.0.1', standin.port), SystemClock())
        try:
            async with asyncio.timeout(10.0):
                await scenario(standin, store)
        finally:
            standin.stop()

    asyncio.run(run())


@pytest.mark.parametrize('form', UNREADABLE_BY_FORM)
def test_one_unreadable_object_hides_no_other_object_of_a_list_or_watch(form: str) -> None:
    async def scenario(standin: StoreStandin, store: HttpObjectStore) -> None:
        await standin.put('kind', 'a', {'n': 1})
        start = (await store.list('kind')).revision
        await standin.put_raw('kind', 'odd', UNREADABLE_BY_FORM[form])
        await standin.put('kind', 'z', {'n': 2})
        listing = await store.list('kind')
        assert [item.name for item in listing.objects] == ['a', 'odd', 'z']
        assert [item.value for item in listing.objects[::2]] == [{'n': 1}, {'n': 2}]
        odd = listing.objects[1]
        assert isinstance(odd.value, UnreadableValue)
        assert listing.objects[0].revision < odd.revision < listing.objects[2].revision
        answer = await store.watch('kind', start, 0.0)
        assert [change.object for change in answer.changes] == [odd, listing.objects[2]]
        assert answer.revision == listing.revision
        assert await store.get('kind', 'odd') == odd
        await standin.delete('kind', 'odd')
        (gone,) = (await store.watch('kind', listing.revision, 0.0)).changes
        assert (gone.object.name, gone.deleted) == ('odd', True)

    _run(scenario)


@pytest.mark.parametrize('era', [2**22 + 1, 10**30])
def test_an_era_that_revisions_have_no_room_for_is_not_believed(era: int) -> None:
    async def scenario(standin: StoreStandin, store: HttpObjectStore) -> None:
        await store.list('kind')
        standin.answered_era = era
        with pytest.raises(StoreUnavailableError, match='era'):
            await store.list('kind')
        standin.answered_era = None
        await store.list('kind')
        assert store.era == 1

    _run(scenario)


def test_a_refused_write_to_an_unreadable_object_is_a_conflict_and_not_an_outage() -> None:
    async def scenario(standin: StoreStandin, store: HttpObjectStore) -> None:
        item = await store.create('kind', 'lease', {'holder': 'a'})
        await standin.put_raw('kind', 'lease', b'[' * 3000 + b']' * 3000)
        with pytest.raises(StoreConflictError):
            await store.replace('kind', 'lease', {}, expected_revision=item.revision)
        with pytest.raises(StoreConflictError):
            await store.create('kind', 'lease', {})

    _run(scenario)


@pytest.mark.parametrize(
    'metadata',
    [b'null', b'[]', b'7', b'{}', b'{"name":7}', b'{"name":"\xff"}', b'{"name":""}'],
)
def test_an_object_without_a_readable_name_hides_no_other_object(metadata: bytes) -> None:
    odd = b'{"metadata":' + metadata + b',"spec":{}}'
    body = b'{"items":[%s,{"metadata":{"name":"a","revision":3}},%s],"current-rev":5}'
    page = decode_page(body % (odd, odd))
    assert [(item.name, item.revision) for item in page.items] == [('a', 3)]
    assert page.current_rev == 5
    assert decode_item(odd, 'asked')[:2] == ('asked', 0)


@pytest.mark.parametrize(
    ('metadata', 'revision'),
    [
        (b'{"name":"a","revision":"7"}', 0),
        (b'{"name":"a","revision":-1}', 0),
        (b'{"name":"a","revision":1099511627776}', 0),
        (b'{"name":"a","revision":7,"finalizers":NaN}', 7),
        (b'{"revision":7,"name":"a","name":"a","created":"\xff"}', 7),
    ],
)
def test_the_name_is_found_out_whatever_else_is_odd(metadata: bytes, revision: int) -> None:
    body = b'{"items":[{"metadata":%s,"spec":{}}],"current-rev":5}' % metadata
    (item,) = decode_page(body).items
    assert item[:2] == ('a', revision)
    if revision == 0:
        assert isinstance(item.value, UnreadableValue)


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'null',
        b'[]',
        b'{"items":7,"current-rev":5}',
        b'{"items":[],"current-rev":"5"}',
        b'{"items":[],"current-rev":1' + b'0' * 30 + b'}',
        b'{"items":[{"metadata":{}}],"has-more":true,"current-rev":5}',
        b'{"items":[],"has-more":true,"current-rev":5}',
        b'{"items":[{"metadata"',
        b'{"items":[[}}}}],"current-rev":5}',
        b'{"items":[{"metadata":{"name":"a"}},\xff"],"current-rev":5}',
    ],
)
def test_an_answer_without_a_list_or_revision_is_told_apart_from_none(body: bytes) -> None:
    with pytest.raises(UnusableAnswerError):
        decode_page(body)


@given(st.binary())
def test_no_bytes_of_an_answer_raise_anything_but_that_it_is_unusable(body: bytes) -> None:
    for decode in (decode_page, decode_events):
        for text in (body, b'{"items":[%s],"events":[%s],"current-rev":5}' % (body, body)):
            try:
                decode(text)
            except UnusableAnswerError:
                continue
    for text in (body, b'{"metadata":{"name":"a"},"spec":%s}' % body):
        try:
            decode_item(text, 'a')
        except UnusableAnswerError:
            continue


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([2**64 - 1, 2**64, -(2**63), -(2**63) - 1, 10**30, 10**400])
    | st.floats()
    | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


@given(JSON_VALUES, st.booleans())
def test_any_value_that_is_read_can_be_sent_to_other_daemons(
    value: Any, is_ascii: bool
) -> None:
    text = json.dumps(value, ensure_ascii=is_ascii).encode('utf-8', 'surrogatepass')
    item = decode_item(b'{"metadata":{"name":"a"},"spec":%s}' % text, 'a')
    if not isinstance(item.value, UnreadableValue):
        encode_message(ObjectsUpdate(1, 'kind', 1, 2, [('a', 2, item.value, False)]))


@given(st.lists(JSON_VALUES), st.dictionaries(st.text(), JSON_VALUES))
def test_json_is_split_as_the_standard_library_reads_it(
    values: list[Any], members: dict[str, Any]
) -> None:
    text = json.dumps({'before': members, 'list': values, 'after': 1}, indent=1).encode()
    parts = split_list(text, b'"list"')
    assert parts is not None
    rest, elements = parts
    assert json.dumps([json.loads(element) for element in elements]) == json.dumps(values)
    assert json.dumps(json.loads(rest)) == json.dumps(
        {'before': members, 'list': [], 'after': 1}
    )
    keys = [json.dumps(key).encode() for key in members]
    found = find_members(json.dumps(members).encode(), keys)
    assert json.dumps({json.loads(key): json.loads(part) for key, part in found.items()}) == (
        json.dumps(members)
    )


@pytest.mark.parametrize(
    'odd',
    [
        b'[' * 500_000 + b']' * 500_000,
        b'{"a":' * 160_000 + b'1' + b'}' * 160_000,
        b'"' + b'\\"' * 500_000,
        b'"' + b'\\ud800' * 160_000 + b'"',
        b'1' + b'0' * 1_000_000,
        b'"\\' * 300_000,
    ],
)
def test_a_large_odd_object_does_not_hold_the_daemon_up(odd: bytes) -> None:
    entries = b','.join(
        b'{"metadata":{"name":"s%d","revision":4},"spec":{"slots":4}}' % number
        for number in range(2000)
    )
    body = b'{"current-rev":7,"items":[%s,{"metadata":{"name":"odd"},"spec":%s}]}'
    began_at = time.process_time()
    try:
        page = decode_page(body % (entries, odd))
    except UnusableAnswerError:
        assert odd.count(b'"') % 2 == 1 or odd.endswith(b'\\')
    else:
        assert len(page.items) == 2001
    assert time.process_time() - began_at < MAX_SALVAGE_S
