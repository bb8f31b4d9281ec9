"""Tests of the codec of messages between daemons."""

from __future__ import annotations

import contextlib
import tracemalloc
from typing import get_type_hints

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfootstair.errors import ProtocolError
from coltsfootstair.inner import MAX_FRAME_BYTES, BodyChunk, Decoder, Message, encode
from coltsfootstair.inner._codec import SMALL_BUFFER_BYTES, UnpackerPool
from coltsfootstair.inner._messages import TYPE_BY_NUMBER

# Integers on the wire have 64 bits, and no field exceeds them. NaN does not equal itself, and
# no field is ever NaN.
st.register_type_strategy(int, st.integers(-(2**63), 2**64 - 1))
st.register_type_strategy(float, st.floats(allow_nan=False))


def _messages() -> st.SearchStrategy[Message]:
    strategies = [
        st.builds(
            message_type,
            **{name: st.from_type(t) for name, t in get_type_hints(message_type).items()},
        )
        for message_type in TYPE_BY_NUMBER.values()
    ]
    return st.one_of(strategies)


@settings(max_examples=40)
@given(st.lists(_messages(), max_size=4), st.integers(1, 40))
def test_messages_are_decoded_wherever_the_bytes_are_split(
    messages: list[Message], chunk_bytes: int
) -> None:
    data = b''.join(encode(message) for message in messages)
    decoder = Decoder()
    decoded: list[Message] = []
    for start in range(0, len(data), chunk_bytes):
        decoded.extend(decoder.feed(data[start : start + chunk_bytes]))
    assert decoded == messages
    assert [type(item) for item in decoded] == [type(item) for item in messages]


@given(st.binary(max_size=200))
def test_any_bytes_are_messages_or_raise_a_protocol_error(data: bytes) -> None:
    with contextlib.suppress(ProtocolError):
        list(Decoder().feed(data))


@pytest.mark.parametrize(
    'frame',
    [[], {}, 'text', [999], ['0'], [0], [2, 'id', 'text', True], [2, 'id', b'', True, 1]],
)
def test_malformed_frames_are_refused(frame: object) -> None:
    with pytest.raises(ProtocolError):
        list(Decoder().feed(msgpack.packb(frame)))


def test_oversized_frame_is_refused() -> None:
    data = encode(BodyChunk('id', bytes(MAX_FRAME_BYTES), True))
    with pytest.raises(ProtocolError):
        list(Decoder().feed(data))


@settings(max_examples=40)
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 9000)), max_size=30), st.data())
def test_decoders_that_share_unpackers_do_not_mix_messages(
    writes: list[tuple[int, int]], data: st.DataObject
) -> None:
    pool = UnpackerPool()
    decoders = [Decoder(pool) for _ in range(3)]
    undelivered = [b'', b'', b'']
    sent: list[list[Message]] = [[], [], []]
    received: list[list[Message]] = [[], [], []]
    for number, (stream, size) in enumerate(writes):
        message = BodyChunk(str(number), bytes([number]) * size, True)
        sent[stream].append(message)
        undelivered[stream] += encode(message)
        split = data.draw(st.integers(0, len(undelivered[stream])))
        received[stream].extend(decoders[stream].feed(undelivered[stream][:split]))
        undelivered[stream] = undelivered[stream][split:]
    for stream in range(3):
        received[stream].extend(decoders[stream].feed(undelivered[stream]))
    assert received == sent


def test_a_large_message_leaves_no_large_buffer_allocated() -> None:
    """An unpacker whose buffer has grown must not be kept: its buffer never shrinks."""
    large = BodyChunk('id', bytes(MAX_FRAME_BYTES // 2), True)
    frame = encode(large)
    list(Decoder().feed(frame))
    tracemalloc.start()
    decoder = Decoder()
    assert list(decoder.feed(frame[:-1])) == []
    bytes_during = tracemalloc.get_traced_memory()[0]
    assert list(decoder.feed(frame[-1:])) == [large]
    bytes_after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert bytes_during > len(frame)
    assert bytes_after < SMALL_BUFFER_BYTES
