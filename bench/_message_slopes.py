"""Slopes of the inner messages: their size, encoding and decoding."""

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

MESSAGE_COUNTS = (1000, 2000, 4000, 8000)
CHUNK_SIZES_KIB = (4, 16, 32, 64)
CHUNK_COUNT = 400
MESSAGES_PER_READ = 50
"""Messages that one read of a busy stream returns."""

MESSAGE_ID = 'f' * 32
HEADERS = [('Accept', '*/*'), ('User-Agent', 'caller/1.0'), ('X-Forwarded-For', '10.1.2.3')]


def measure_message_slopes() -> Iterator[Slope]:
    """Measure the messages of a lookup and the body chunks of an upload."""
    request = RequestHead(
        MESSAGE_ID,  # request id
        MESSAGE_ID,  # operation id
        'lookups',
        'lookup-1',
        'key-4711',
        700,  # row
        3,  # epoch of the row
        '10.1.2.3',
        'GET',
        '/slots/4711',
        HEADERS,
        9000,  # timeout in milliseconds
        b'',
        True,  # the body is complete
        0,  # length of the body
    )
    answer = AnswerHead(MESSAGE_ID, 200, HEADERS, b'x' * 512, True, 512)
    yield from _measure_message('request', request)
    yield from _measure_message('answer', answer)
    yield measure_slope(
        'chunk_encode_us_per_kib',
        'us per KiB',
        f'encoding one portion of a body, mean of {CHUNK_COUNT}',
        CHUNK_SIZES_KIB,
        lambda kib: (
            _measure_encoding(BodyChunk(MESSAGE_ID, bytes(kib * 1024), False), CHUNK_COUNT)
            / CHUNK_COUNT
        ),
    )
    yield measure_slope(
        'chunk_decode_us_per_kib',
        'us per KiB',
        f'decoding one portion of a body, mean of {CHUNK_COUNT}',
        CHUNK_SIZES_KIB,
        lambda kib: (
            _measure_decoding(BodyChunk(MESSAGE_ID, bytes(kib * 1024), False), CHUNK_COUNT, 1)
            / CHUNK_COUNT
        ),
    )


def _measure_message(name: str, message: Message) -> Iterator[Slope]:
    yield measure_slope(
        f'{name}_message_bytes',
        'bytes per message',
        f'frames of a {name}',
        MESSAGE_COUNTS,
        lambda count: float(sum(len(encode(message)) for _ in range(count))),
        runs_per_size=1,
    )
    yield measure_slope(
        f'{name}_encode_us',
        'us per message',
        f'encoding a {name}',
        MESSAGE_COUNTS,
        lambda count: _measure_encoding(message, count),
    )
    yield measure_slope(
        f'{name}_decode_us',
        'us per message',
        f'decoding and checking a {name}',
        MESSAGE_COUNTS,
        lambda count: _measure_decoding(message, count, MESSAGES_PER_READ),
    )


def _measure_encoding(message: Message, count: int) -> float:
    def run() -> None:
        for _ in range(count):
            encode(message)

    return measure_cpu_us(run)


def _measure_decoding(message: Message, count: int, messages_per_read: int) -> float:
    data = encode(message) * messages_per_read
    decoder = Decoder()

    def run() -> None:
        for _ in range(count // messages_per_read):
            for _ in decoder.feed(data):
                pass

    return measure_cpu_us(run)
