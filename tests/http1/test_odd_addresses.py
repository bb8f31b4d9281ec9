"""Tests of opening connections to addresses that can't be any."""

from __future__ import annotations

import asyncio

import pytest

from coltsfootstair.http1 import Address, BrokenExchangeError, Connection


@pytest.mark.parametrize(
    'address',
    [
        Address('127.0.0.1\x00', 80),
        Address('\ud800', 80),
        Address('x' * 100, 80),
        Address('a..b', 80),
        Address('127.0.0.1', 65536),
        Address('127.0.0.1', -1),
        Address('127.0.0.1', 10**30),
    ],
)
def test_an_odd_address_is_a_connection_that_failed_before_anything_was_sent(
    address: Address,
) -> None:
    """A lookup failed with a ``ValueError`` or ``OverflowError`` in place of another try."""
    with pytest.raises(BrokenExchangeError) as caught:
        asyncio.run(Connection.open(address, b'', 1.0))
    assert not caught.value.sent
    assert not caught.value.refused
