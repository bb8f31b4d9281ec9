"""Types of the entries that backend servers write about themselves."""

from __future__ import annotations

import enum
from typing import NamedTuple

from coltsfootstair.http1 import Address

__all__ = ['BackendServer', 'ServerState']


class ServerState(enum.StrEnum):
    """Whether a backend server accepts new requests."""

    READY = 'ready'
    DRAINING = 'draining'


class BackendServer(NamedTuple):
    """One incarnation of a backend server: its run from one start to the next.

    :param started_at_ms: Unix time of its start in milliseconds; distinguishes incarnations
        that have the same name
    :param slots: requests that it works on at once
    :param cold_left_s: how much longer it stays cold, in seconds, as of the time when it
        wrote the entry; 0 if it is not cold
    """

    name: str
    started_at_ms: int
    service: str
    address: Address
    data_centre: str
    slots: int
    state: ServerState
    cold_left_s: float

    @property
    def incarnation(self) -> tuple[str, int]:
        """The name and time of the start, which together identify one incarnation."""
        return (self.name, self.started_at_ms)
