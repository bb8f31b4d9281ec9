"""When a standby replaces its coordinator."""

from __future__ import annotations

from coltsfootstair.leases import Candidate, Lease, LeaseRecord, PeerView, handle
from coltsfootstair.leases._messages import ReadRecord, RecordObserved, Tick
from coltsfootstair.leases._state import STANDBY_COPY_S

ME = Candidate('d3', 'i3', 'north')
RECORD = LeaseRecord('d2', 'i2', 'd3', 'i3', 2)
SILENT = PeerView({})
GONE = PeerView({}, ended_names=frozenset({'d2'}))


def _looks_to_replace(peers: PeerView, after_s: float) -> bool:
    """Whether a standby begins to replace a coordinator ``after_s`` after it was named."""
    lease = Lease('server-1', 'north', ME)
    lease, _ = handle(lease, RecordObserved(5, RECORD), 100.0)
    _, effects = handle(lease, Tick(peers), 100.0 + after_s)
    return any(isinstance(effect, ReadRecord) for effect in effects)


def test_a_standby_that_was_just_named_waits_for_a_silent_coordinator() -> None:
    """A starved coordinator was replaced by a standby that had not been sent its memory yet.

    All operations whose ids carry no time were then refused for 300 s: uploads and bookings
    of three scenarios failed on a busy machine.
    """
    assert not _looks_to_replace(SILENT, STANDBY_COPY_S / 2)
    assert _looks_to_replace(SILENT, STANDBY_COPY_S)


def test_it_does_not_wait_for_one_that_has_ended_for_certain() -> None:
    assert _looks_to_replace(GONE, 0.0)
