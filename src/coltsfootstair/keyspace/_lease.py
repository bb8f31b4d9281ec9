"""The keeper lease, by which one daemon at a time is the keeper."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from coltsfootstair.errors import ProtocolError, shorten
from coltsfootstair.http1 import Address
from coltsfootstair.keyspace._stored import MAX_EPOCH, convert_stored, is_storable_text
from coltsfootstair.objects import era_of, number_of

if TYPE_CHECKING:
    from coltsfootstair.objects import Revision

__all__ = [
    'EARLIER_ERA_REASON',
    'KEEPER_TIMEOUT_S',
    'ElectionState',
    'KeeperLease',
    'compute_epoch',
    'decode_lease',
    'encode_lease',
    'era_of_epoch',
    'find_takeover_reason',
    'first_fence_of_era',
    'highest_epoch_at',
    'highest_fence_at',
]

KEEPER_TIMEOUT_S = 0.9
"""Time without a heartbeat from the keeper after which another daemon takes over, in seconds:
three heartbeat intervals."""

MAX_KEEPER_STORE_OUTAGE_S = 1.0
"""How long the store may be unreachable for the keeper before a daemon that can reach the
store takes over, in seconds."""

ISOLATED_TAKEOVER_PAUSE_S = 10.0
"""How long a daemon that took over and got no report from others waits before it takes over
again, in seconds: it is probably the daemon that is cut off from the network."""


_EPOCH_BITS = 32
"""Bits of an epoch that count the keepers within one era of the store."""

_FENCE_BITS = 40
"""Bits of a fencing token that count the tokens within one era of the store."""

MAX_EPOCHS_OF_ERA = 2**31
"""Highest epoch within an era of the store that is taken from a revision."""

FENCES_PER_REVISION = 2**12
"""More fencing tokens than are given out, on average, for each revision of the store."""

MAX_FENCES_OF_ERA = 2**39
"""Highest fencing token within an era of the store that is taken from a revision."""


def compute_epoch(era: int, previous_epoch: int) -> int:
    """Return the epoch of the next keeper, above all epochs of earlier eras.

    :param previous_epoch: epoch of the last known keeper; 0 if there is none
    """
    return max(previous_epoch, era << _EPOCH_BITS) + 1


def highest_epoch_at(revision: Revision) -> int:
    """Return an epoch that no lease is above that was written up to ``revision``.

    For a stored lease that can't be read: it may have been written over those of later keepers
    than the known ones. Each takeover raises the epoch by one, and the revision too.
    """
    number = min(number_of(revision), MAX_EPOCHS_OF_ERA)
    return (era_of(revision) << _EPOCH_BITS) + number


def era_of_epoch(epoch: int) -> int:
    """Return the era of the store in which a keeper took over under ``epoch``."""
    return epoch >> _EPOCH_BITS


def first_fence_of_era(era: int) -> int:
    """Return a fencing token that is above all that keepers of earlier eras can have used.

    It needs neither a table nor the memory of a daemon, which may both be lost.
    """
    return era << _FENCE_BITS


MAX_HOST_CHARACTERS = 253
"""Longest host name, in characters."""

MAX_PORT = 65535

MAX_DAEMON_COUNT = 1_000_000
"""Highest number of daemons that a lease may state."""


def highest_fence_at(revision: Revision) -> int:
    """Return a fencing token above all that were given out up to ``revision``.

    For a stored table that can't be read.
    """
    number = min(number_of(revision) * FENCES_PER_REVISION, MAX_FENCES_OF_ERA)
    return first_fence_of_era(era_of(revision)) + number


EARLIER_ERA_REASON = 'the lease is of an earlier era of the store'


class KeeperLease(NamedTuple):
    """The keeper lease as stored.

    :param holder: name of the keeper; empty after it has released the lease
    :param address: where the keeper listens for reports
    :param epoch: increases with each takeover; its upper bits are the era of the store
    :param daemon_count: number of daemons when the lease was written; 0 if not known
    :param is_settled: whether all grants of earlier keepers have expired, so that only those
        of the holder can be in force
    """

    holder: str
    address: Address
    epoch: int
    daemon_count: int = 0
    is_settled: bool = False


class ElectionState(NamedTuple):
    """What a daemon knows about the keeper when it decides whether to take over.

    :param keeper_alive_at: time of the last sign of life of the keeper: a heartbeat, a table
        that it sent, or a change of its lease; minus infinity if it must be replaced without
        waiting for ``KEEPER_TIMEOUT_S``
    :param keeper_store_unreachable_since: since when the keeper reports that it cannot reach
        the store; ``None`` if it can
    :param store_reachable: whether this daemon can reach the store
    :param era: era of the store; a lease of an earlier one makes nobody keeper, since another
        daemon may have taken over before the store came back from an older copy
    :param blocked_until: time before which this daemon must not take over from a keeper that
        holds the lease
    """

    lease: KeeperLease | None
    keeper_alive_at: float
    keeper_store_unreachable_since: float | None
    store_reachable: bool
    blocked_until: float
    era: int = 0


def find_takeover_reason(state: ElectionState, now: float) -> str | None:
    """Return why this daemon should take over, or ``None`` if it should not."""
    if not state.store_reachable:
        return None
    if state.lease is None:
        return 'there has been no keeper yet'
    if era_of_epoch(state.lease.epoch) < state.era:
        return EARLIER_ERA_REASON
    if not state.lease.holder:
        return 'the keeper has released its lease'
    if now < state.blocked_until:
        return None
    if now - state.keeper_alive_at > KEEPER_TIMEOUT_S:
        return 'no heartbeat from the keeper'
    if (
        state.keeper_store_unreachable_since is not None
        and now - state.keeper_store_unreachable_since > MAX_KEEPER_STORE_OUTAGE_S
    ):
        return 'the keeper cannot reach the store'
    return None


class _StoredLease(msgspec.Struct):
    """Format of a keeper lease in the store; the field names are part of the format."""

    holder: str
    host: str
    port: int
    epoch: int
    daemons: int = 0
    settled: bool = False


def encode_lease(lease: KeeperLease) -> dict[str, Any]:
    """Return the value that represents ``lease`` in the store."""
    return {
        'holder': lease.holder,
        'host': lease.address.host,
        'port': lease.address.port,
        'epoch': lease.epoch,
        'daemons': lease.daemon_count,
        'settled': lease.is_settled,
    }


def decode_lease(value: Any) -> KeeperLease:
    """Read a keeper lease from its value in the store.

    :raises ProtocolError: the value is not a keeper lease
    """
    stored = convert_stored(value, _StoredLease, 'keeper lease')
    if not (
        is_storable_text(stored.holder)
        and stored.host.isascii()
        and stored.host.isprintable()
        and ' ' not in stored.host
        and 0 < len(stored.host) <= MAX_HOST_CHARACTERS
        and 0 < stored.port <= MAX_PORT
        and 0 <= stored.epoch <= MAX_EPOCH
        and 0 <= stored.daemons <= MAX_DAEMON_COUNT
    ):
        raise ProtocolError(
            'stored keeper lease must have a holder, a host, a port up to 65535, an epoch and'
            f' a number of daemons, got {shorten(stored)}'
        )
    return KeeperLease(
        stored.holder,
        Address(stored.host, stored.port),
        stored.epoch,
        stored.daemons,
        stored.settled,
    )
