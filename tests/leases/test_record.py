"""Tests of the lease record."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.errors import ProtocolError
from coltsfootstair.leases import LeaseRecord, decode_record, encode_record

TEXT = st.text()


@given(st.builds(LeaseRecord, TEXT, TEXT, TEXT, TEXT, st.integers(1, 2**24)))
def test_encoded_record_decodes_to_the_same_record(record: LeaseRecord) -> None:
    assert decode_record(encode_record(record)) == record


@given(st.binary())
def test_decoding_other_bytes_raises_protocol_error(value: bytes) -> None:
    with pytest.raises(ProtocolError):
        decode_record(value)
