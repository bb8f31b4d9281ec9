"""Tests of sending and receiving messages with odd values between daemons."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.errors import ProtocolError
from coltsfootstair.http1 import Address
from coltsfootstair.peers import (
    Message,
    ObjectsUpdate,
    PeerChannel,
    TrialAnswer,
    decode_message,
    encode_message,
)


def _nest(depth: int) -> Any:
    value: Any = 1
    for _ in range(depth):
        value = [value]
    return value


ODD_VALUES = [10**30, 10**400, -(10**30), '\ud800', {'a': '\ud800'}, _nest(3000), object()]


def _build_update(value: Any) -> ObjectsUpdate:
    return ObjectsUpdate(1, 'servers', 1, 2, [('s1', 2, value, False)])


@pytest.mark.parametrize('value', ODD_VALUES, ids=range(len(ODD_VALUES)))
def test_a_value_that_can_not_be_sent_is_a_protocol_error(value: Any) -> None:
    """An ``OverflowError`` ended the keeper's task that follows a kind."""
    with pytest.raises(ProtocolError, match='ObjectsUpdate'):
        encode_message(_build_update(value))


@pytest.mark.parametrize(
    'datagram',
    [
        b'',
        b'\x91' * 60_000,
        b'\x96\xa7objects\x01\xa1k\x01\x02\x91\x94\xa1n\x02' + b'\x91' * 60_000 + b'\x01\xc2',
        b'\x96\xa7objects\x01\xa1k\x01\x02\x91\x94\xa2\xff\xfe\x02\xc0\xc2',
        b'\x81\xa1a' * 20_000,
    ],
)
def test_a_malformed_datagram_is_a_protocol_error(datagram: bytes) -> None:
    with pytest.raises(ProtocolError):
        decode_message(datagram)


@given(st.binary() | st.binary().map(lambda end: b'\x96\xa7objects\x01\xa1k\x01\x02' + end))
def test_no_datagram_raises_anything_but_a_protocol_error(datagram: bytes) -> None:
    try:
        decode_message(datagram)
    except ProtocolError:
        return


@pytest.mark.parametrize(
    'address',
    [
        Address('127.0.0.1', 70_000),
        Address('127.0.0.1', 0),
        Address('127.0.0.1', -1),
        Address('127.0.0.1\x00', 80),
        Address('x' * 100, 80),
        Address('\ud800', 80),
        Address('', 80),
    ],
)
def test_a_message_to_an_odd_address_does_not_close_the_channel(address: Address) -> None:
    """A lease with a port of 70,000 ended all messages of a daemon for good."""
    assert asyncio.run(_send_before_another(TrialAnswer(1, True), address))


def test_a_message_that_can_not_be_sent_ends_nothing() -> None:
    assert asyncio.run(_send_before_another(_build_update(10**30), Address('127.0.0.1', 9)))


async def _send_before_another(message: Message, address: Address) -> bool:
    """Send ``message`` and then another one; return whether that one arrives."""
    received: list[Message] = []
    receiver = await PeerChannel.open(
        Address('127.0.0.1', 0), lambda message, _sender: received.append(message)
    )
    assert receiver._transport is not None
    port = receiver._transport.get_extra_info('sockname')[1]
    sender = await PeerChannel.open(Address('127.0.0.1', 0), lambda *_: None)
    sender.send(message, address)
    await asyncio.sleep(0.02)
    sender.send(TrialAnswer(2, True), Address('127.0.0.1', port))
    try:
        async with asyncio.timeout(1.0):
            while not received:
                await asyncio.sleep(0.01)
    except TimeoutError:
        return False
    finally:
        sender.close()
        receiver.close()
    return received == [TrialAnswer(2, True)]
