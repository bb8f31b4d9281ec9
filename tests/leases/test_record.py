"""Tests of the lease record."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.errors import ProtocolError
from coltsfootstair.leases import LeaseRecord, decode_record, encode_record

TEXT = st.text()


@given(st.builds(LeaseRecord, TEXT, TEXT, TEXT, TEXT, st.integers(1, 2**24)))
def test_record_survives_encoding(record: LeaseRecord) -> None:
    assert decode_record(encode_record(record)) == record


@given(st.binary())
def test_other_bytes_are_refused(value: bytes) -> None:
    with pytest.raises(ProtocolError):
        decode_record(value)
