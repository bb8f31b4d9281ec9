"""The lease by which one daemon at a time is the keeper of keys."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from coltsfootstair.errors import ProtocolError
from coltsfootstair.http1 import Address

__all__ = [
    'KEEPER_TIMEOUT_S',
    'ElectionState',
    'KeeperLease',
    'decode_lease',
    'encode_lease',
    'find_take_over_reason',
]

KEEPER_TIMEOUT_S = 0.9
"""How long the keeper may be silent before another daemon takes over, in seconds: three of
its beats."""

KEEPER_STORE_TIMEOUT_S = 1.0
"""How long the keeper may be without the store while a daemon has it, in seconds."""

ISOLATED_TAKE_OVER_PAUSE_S = 10.0
"""How long a daemon that took over and heard of nobody waits before it does so again, in
seconds: it is the one that is cut off."""


class KeeperLease(NamedTuple):
    """Who is keeper.

    :param holder: name of the daemon; empty when it has given the lease back
    :param epoch: rises with each holder
    :param daemons: how many daemons there were when it was written; 0 if not known
    """

    holder: str
    address: Address
    epoch: int
    daemon_count: int = 0


class ElectionState(NamedTuple):
    """What a daemon knows that decides whether it takes over.

    :param heard_at: when the keeper was last heard, or its lease first seen
    :param storeless_since: since when the keeper says that it lacks the store
    :param alone_until: until when this daemon holds back
    """

    lease: KeeperLease | None
    keeper_heard_at: float
    keeper_store_unreachable_since: float | None
    store_reachable: bool
    blocked_until: float


def find_take_over_reason(state: ElectionState, now: float) -> str | None:
    """Return why the keeper is to be replaced, or ``None``."""
    if not state.store_reachable:
        return None
    if state.lease is None:
        return 'there is no keeper yet'
    if not state.lease.holder:
        return 'the keeper has given its lease back'
    if now < state.blocked_until:
        return None
    if now - state.keeper_heard_at > KEEPER_TIMEOUT_S:
        return 'the keeper is silent'
    if (
        state.keeper_store_unreachable_since is not None
        and now - state.keeper_store_unreachable_since > KEEPER_STORE_TIMEOUT_S
    ):
        return 'the keeper lacks the store'
    return None


class _StoredLease(msgspec.Struct):
    holder: str
    host: str
    port: int
    epoch: int
    daemons: int = 0


def encode_lease(lease: KeeperLease) -> dict[str, Any]:
    """Return what the store keeps of ``lease``."""
    return {
        'holder': lease.holder,
        'host': lease.address.host,
        'port': lease.address.port,
        'epoch': lease.epoch,
        'daemons': lease.daemon_count,
    }


def decode_lease(value: Any) -> KeeperLease:
    """Read what ``encode_lease`` wrote.

    :raises ProtocolError: it is no lease
    """
    try:
        stored = msgspec.convert(value, _StoredLease)
    except msgspec.ValidationError as error:
        raise ProtocolError(f'no lease of a keeper: {error}') from None
    return KeeperLease(
        stored.holder, Address(stored.host, stored.port), stored.epoch, stored.daemons
    )
