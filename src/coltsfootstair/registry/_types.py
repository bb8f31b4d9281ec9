"""What a backend server says of itself."""

from __future__ import annotations

import enum
from typing import NamedTuple

from coltsfootstair.http1 import Address

__all__ = ['BackendServer', 'ServerState']


class ServerState(enum.StrEnum):
    """Whether a backend server takes new requests."""

    READY = 'ready'
    DRAINING = 'draining'


class BackendServer(NamedTuple):
    """One life of a backend server.

    :param born_ms: Unix milliseconds of its start; tells lives under one name apart
    :param cold_left_s: how much longer it stays cold, as it said when it wrote the entry
    """

    name: str
    born_ms: int
    service: str
    address: Address
    data_centre: str
    slots: int
    state: ServerState
    cold_left_s: float

    @property
    def life(self) -> tuple[str, int]:
        """The name together with the start, which no other life has."""
        return (self.name, self.born_ms)
