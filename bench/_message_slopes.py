"""Slopes of the inner messages: bytes, encoding, decoding."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench._fit import measure_slope
from bench._gauge import measure_cpu_us
from coltsfootstair.inner import AnswerHead, BodyChunk, Decoder, RequestHead, encode

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench._fit import Slope
    from coltsfootstair.inner import Message

__all__ = ['measure_message_slopes']

COUNTS = (1000, 2000, 4000, 8000)
CHUNK_KIB = (4, 16, 32, 64)
CHUNKS = 400
FEED_MESSAGES = 50
"""Messages that one read of a busy stream brings."""

ID = 'f' * 32
HEADERS = [('Accept', '*/*'), ('User-Agent', 'caller/1.0'), ('X-Forwarded-For', '10.1.2.3')]


def measure_message_slopes() -> Iterator[Slope]:
    """Measure the messages of a lookup, and of the portions of an upload."""
    request = RequestHead(
        ID,
        ID,
        'lookups',
        'lookup-1',
        'key-4711',
        700,
        3,
        '10.1.2.3',
        'GET',
        '/slots/4711',
        HEADERS,
        9000,
        b'',
        True,
        0,
    )
    answer = AnswerHead(ID, 200, HEADERS, b'x' * 512, True, 512)
    yield from _by_count('request', request)
    yield from _by_count('answer', answer)
    yield measure_slope(
        'chunk_encode_us_per_kib',
        'us per KiB',
        f'encoding one portion of a body, mean of {CHUNKS}',
        CHUNK_KIB,
        lambda kib: _encode(BodyChunk(ID, bytes(kib * 1024), False), CHUNKS) / CHUNKS,
    )
    yield measure_slope(
        'chunk_decode_us_per_kib',
        'us per KiB',
        f'decoding one portion of a body, mean of {CHUNKS}',
        CHUNK_KIB,
        lambda kib: _decode(BodyChunk(ID, bytes(kib * 1024), False), CHUNKS, 1) / CHUNKS,
    )


def _by_count(name: str, message: Message) -> Iterator[Slope]:
    yield measure_slope(
        f'{name}_message_bytes',
        'bytes per message',
        f'frames of a {name}',
        COUNTS,
        lambda count: float(sum(len(encode(message)) for _ in range(count))),
        runs_per_size=1,
    )
    yield measure_slope(
        f'{name}_encode_us',
        'us per message',
        f'encoding a {name}',
        COUNTS,
        lambda count: _encode(message, count),
    )
    yield measure_slope(
        f'{name}_decode_us',
        'us per message',
        f'decoding and checking a {name}',
        COUNTS,
        lambda count: _decode(message, count, FEED_MESSAGES),
    )


def _encode(message: Message, count: int) -> float:
    def work() -> None:
        for _ in range(count):
            encode(message)

    return measure_cpu_us(work)


def _decode(message: Message, count: int, at_once: int) -> float:
    portion = encode(message) * at_once
    decoder = Decoder()

    def work() -> None:
        for _ in range(count // at_once):
            for _ in decoder.feed(portion):
                pass

    return measure_cpu_us(work)
