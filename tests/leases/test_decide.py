"""Tests of when a standby replaces its coordinator."""

from __future__ import annotations

from coltsfootstair.leases import Candidate, Lease, LeaseRecord, PeerView, handle
from coltsfootstair.leases._messages import ReadRecord, RecordObserved, Tick
from coltsfootstair.leases._state import STANDBY_REPLICATION_WAIT_S

OWN = Candidate('d3', 'i3', 'north')
RECORD = LeaseRecord('d2', 'i2', 'd3', 'i3', 2)
UNRESPONSIVE = PeerView({})
ENDED = PeerView({}, ended_names=frozenset({'d2'}))


def _starts_takeover(peers: PeerView, after_s: float) -> bool:
    """Return whether a standby starts a takeover ``after_s`` seconds after it was named."""
    lease = Lease('server-1', 'north', OWN)
    lease, _ = handle(lease, RecordObserved(5, RECORD), 100.0)
    _, effects = handle(lease, Tick(peers), 100.0 + after_s)
    return any(isinstance(effect, ReadRecord) for effect in effects)


def test_new_standby_waits_before_it_replaces_an_unresponsive_coordinator() -> None:
    """A standby must not replace a coordinator that has not replicated its records yet.

    A starved coordinator was replaced by a standby that had just been named and had no
    operation records. All operations whose ids carry no time were then refused for 300 s, so
    uploads and bookings of three scenarios failed on a busy machine.
    """
    assert not _starts_takeover(UNRESPONSIVE, STANDBY_REPLICATION_WAIT_S / 2)
    assert _starts_takeover(UNRESPONSIVE, STANDBY_REPLICATION_WAIT_S)


def test_new_standby_replaces_a_coordinator_that_has_ended_at_once() -> None:
    assert _starts_takeover(ENDED, 0.0)
