"""Answers that stop at any byte, followed by the end of the connection."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import pytest

from coltsfootstair.http1 import Answer, BrokenExchangeError
from tests.http1.played import PlayedConnection, encode

LENGTH, CHUNKED, UNTIL_CLOSE, NO_BODY, NEVER = 'length', 'chunked', 'until close', 'none', ''
BODY = b'0123456789ab'
CHUNKS = b'6\r\n012345\r\n6\r\n6789ab\r\n0\r\n\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
IDENTIFIED = 'X-Request-Id: r1'
SIGNED = 'X-Signature: 3e1b.07'


class Form(NamedTuple):
    """Bytes of an answer, and what ends its body; ``NEVER`` if it is no valid answer."""

    head: bytes
    rest: bytes
    framing: str


def _build(framing: str, rest: bytes, *lines: str, status: int = 200) -> Form:
    first = f'HTTP/1.1 {status} Any'
    return Form('\r\n'.join([first, *lines]).encode() + b'\r\n\r\n', rest, framing)


def _build_with_length(*lines: str, status: int = 200) -> Form:
    return _build(LENGTH, BODY, *lines, 'Content-Length: 12', status=status)


FORMS = {
    'length': _build_with_length(IDENTIFIED, SIGNED),
    'length before the other headers': _build(
        LENGTH, BODY, 'Content-Length: 12', IDENTIFIED, SIGNED
    ),
    'no signature': _build_with_length(IDENTIFIED),
    'failure': _build_with_length(IDENTIFIED, SIGNED, status=500),
    'refusal': _build_with_length(IDENTIFIED, 'X-Not-Executed: 1', status=503),
    'length with leading zeros': _build(LENGTH, BODY, IDENTIFIED, 'Content-Length: 0012'),
    'length and close': _build_with_length(IDENTIFIED, 'Connection: close'),
    'chunked': _build(CHUNKED, CHUNKS, IDENTIFIED, 'Transfer-Encoding: chunked'),
    'chunked in other letters': _build(
        CHUNKED, CHUNKS, IDENTIFIED, 'Transfer-Encoding:  ChunKed'
    ),
    'until close': _build(UNTIL_CLOSE, BODY, IDENTIFIED, SIGNED),
    'upgrade offered': _build(
        UNTIL_CLOSE, BODY, IDENTIFIED, 'Connection: upgrade', 'Upgrade: x'
    ),
    'after interim answers': Form(INTERIM + _build_with_length(IDENTIFIED).head, BODY, LENGTH),
    'until close after interim answers': Form(
        INTERIM + _build(UNTIL_CLOSE, BODY, IDENTIFIED).head, BODY, UNTIL_CLOSE
    ),
    'after another answer': Form(
        encode(503, 'r0', b'abc') + _build_with_length(IDENTIFIED).head, BODY, LENGTH
    ),
    'HTTP/1.0': Form(
        _build_with_length(IDENTIFIED).head.replace(b'/1.1', b'/1.0'), BODY, LENGTH
    ),
    '204': _build(NO_BODY, b'', IDENTIFIED, SIGNED, status=204),
    '304': _build(NO_BODY, b'', IDENTIFIED, SIGNED, status=304),
    '304 with a length': _build(
        NO_BODY, b'', IDENTIFIED, SIGNED, 'Content-Length: 12', status=304
    ),
    'ends of lines without CR': Form(
        _build_with_length(IDENTIFIED).head.replace(b'\r\n', b'\n'), BODY, NEVER
    ),
    'until close, ends of lines without CR': Form(
        _build(NEVER, BODY, IDENTIFIED).head.replace(b'\r\n', b'\n'), BODY, NEVER
    ),
    'ends of lines without LF': Form(
        _build_with_length(IDENTIFIED).head.replace(b'\r\n', b'\r'), BODY, NEVER
    ),
    'another coding until close': _build(
        NEVER, BODY, IDENTIFIED, SIGNED, 'Transfer-Encoding: gzip'
    ),
    'identity': _build(NEVER, BODY, IDENTIFIED, 'Transfer-Encoding: identity'),
    'a coding whose name has chunked in it': _build(
        NEVER, BODY, IDENTIFIED, 'Transfer-Encoding: notchunked'
    ),
    'chunked before another coding': _build(
        NEVER, CHUNKS, IDENTIFIED, 'Transfer-Encoding: chunked, gzip'
    ),
    'two codings': _build(NEVER, CHUNKS, IDENTIFIED, 'Transfer-Encoding: gzip, chunked'),
    'two codings in two headers': _build(
        NEVER, CHUNKS, IDENTIFIED, 'Transfer-Encoding: gzip', 'Transfer-Encoding: chunked'
    ),
    'two codings in two headers the other way': _build(
        NEVER, CHUNKS, IDENTIFIED, 'Transfer-Encoding: chunked', 'Transfer-Encoding: gzip'
    ),
    'length and chunked': _build(
        NEVER, CHUNKS, IDENTIFIED, 'Content-Length: 12', 'Transfer-Encoding: chunked'
    ),
    'two lengths': _build(NEVER, BODY, IDENTIFIED, 'Content-Length: 1', 'Content-Length: 12'),
    'no length': _build(NEVER, BODY, IDENTIFIED, 'Content-Length:'),
    'length in two lines': _build(NEVER, BODY, IDENTIFIED, 'Content-Length:', ' 12'),
    'length behind a blank': _build(NEVER, BODY, IDENTIFIED, 'Content-Length : 12'),
    'length with a sign': _build(NEVER, BODY, IDENTIFIED, 'Content-Length: +12'),
}
"""Answers by what is special about their heads."""

FORMS_WITHOUT_ID = {
    'nothing else': _build(UNTIL_CLOSE, BODY),
    'length': _build_with_length(SIGNED),
    'chunked': _build(CHUNKED, CHUNKS, 'Transfer-Encoding: chunked'),
    'until close': _build(UNTIL_CLOSE, BODY, SIGNED),
    '204': _build(NO_BODY, b'', SIGNED, status=204),
    '304': _build(NO_BODY, b'', SIGNED, status=304),
}

ENDS = {
    'in order': None,
    'reset': ConnectionResetError(),
    'time-out of the kernel': TimeoutError(),
}


async def _play(
    form: Form, cut_at: int, end: Exception | None, method: str, *, is_used: bool, step: int
) -> Answer | None:
    """Return the answer to a request, or ``None`` if its exchange failed.

    :param is_used: whether another request was answered on the connection before
    :param step: number of bytes that arrive at once
    """
    played = PlayedConnection()
    if is_used:
        first = await played.start('ra')
        played.receive(encode(200, 'ra'))
        await first
    exchange = await played.start('r1', method)
    data = (form.head + form.rest)[:cut_at]
    played.receive(*(data[at : at + step] for at in range(0, len(data), step)))
    played.end(end)
    try:
        return await exchange
    except BrokenExchangeError:
        return None


def _find_expected_body(
    form: Form, cut_at: int, end: Exception | None, method: str
) -> bytes | None:
    """Return the body that an answer may have; ``None`` if it may not count as whole."""
    received = cut_at - len(form.head)
    if received < 0 or form.framing == NEVER:
        return None
    if method == 'HEAD' or form.framing == NO_BODY:
        return b''
    if form.framing == UNTIL_CLOSE:
        return form.rest[:received] if end is None else None
    return BODY if received == len(form.rest) else None


async def _check_all_cuts(form: Form, *, may_be_used: bool) -> None:
    for cut_at in range(len(form.head) + len(form.rest) + 1):
        for end in ENDS.values():
            for method in ('GET', 'HEAD'):
                expected = _find_expected_body(form, cut_at, end, method)
                for is_used in {False, may_be_used}:
                    for step in (1, 1000):
                        answer = await _play(
                            form, cut_at, end, method, is_used=is_used, step=step
                        )
                        body = None if answer is None else answer.body
                        assert body == expected, (cut_at, end, method, is_used, step)


@pytest.mark.parametrize('name', FORMS)
def test_an_answer_that_stops_early_is_not_taken_for_a_whole_one(name: str) -> None:
    """Guards against answers with an empty or short body that callers take for whole."""
    asyncio.run(_check_all_cuts(FORMS[name], may_be_used=True))


@pytest.mark.parametrize('name', FORMS_WITHOUT_ID)
def test_a_first_answer_without_an_id_that_stops_early_is_not_whole(name: str) -> None:
    asyncio.run(_check_all_cuts(FORMS_WITHOUT_ID[name], may_be_used=False))


@pytest.mark.parametrize('name', FORMS_WITHOUT_ID)
def test_an_answer_without_an_id_on_a_used_connection_is_none(name: str) -> None:
    """Guards against bytes of an earlier exchange, whole or not, as the answer to a later."""

    async def work() -> None:
        form = FORMS_WITHOUT_ID[name]
        for cut_at in range(len(form.head) + len(form.rest) + 1):
            for end in ENDS.values():
                assert await _play(form, cut_at, end, 'GET', is_used=True, step=1000) is None

    asyncio.run(work())


@pytest.mark.parametrize(
    'status',
    ['000', '001', '099', '101', '600', '999', '20', '0200', '2000', '-20', '2x0', ''],
)
@pytest.mark.parametrize('ending', ['Content-Length: 12', 'Connection: close'])
def test_an_answer_with_a_status_that_no_answer_has_is_none(status: str, ending: str) -> None:
    """Guards against passing on bytes that are no answer in the protocol."""

    async def work() -> BaseException | None:
        played = PlayedConnection()
        exchange = await played.start('r1')
        head = f'HTTP/1.1 {status} Any\r\n{IDENTIFIED}\r\n{SIGNED}\r\n{ending}\r\n\r\n'
        played.receive(head.encode(), BODY)
        await asyncio.wait({exchange}, timeout=0.1)
        # It fails at once, not when the connection or the time of the request ends.
        assert exchange.done()
        return exchange.exception()

    assert isinstance(asyncio.run(work()), BrokenExchangeError)


@pytest.mark.parametrize('status', [200, 299, 404, 599])
def test_an_answer_with_any_status_of_the_protocol_is_one(status: int) -> None:
    async def work() -> int:
        played = PlayedConnection()
        exchange = await played.start('r1')
        played.receive(encode(status, 'r1', BODY))
        return (await exchange).status

    assert asyncio.run(work()) == status
