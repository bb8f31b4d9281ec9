"""Slopes of the writes to the store after the loss of a daemon, by the leases it was in."""

from __future__ import annotations

import signal
import threading
from collections import Counter
from typing import TYPE_CHECKING

from tests.scenarios.processes import System, build_document_text, wait_until

from bench._fit import Point, fit
from coltsfootstair.leases import LEASE_PREFIX, decode_record
from coltsfootstair.store import HttpStore, StoreIdentity

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench._fit import Slope
    from coltsfootstair.leases import LeaseRecord

__all__ = ['loss_slopes']

SERVERS = (2, 6, 12)
SETTLE_S = 2.0
AFTER_LOSS_S = 6.0
"""Long enough for takeover, for another standby, and for the way back home."""

DAEMONS = {'daemon-a': 'north', 'daemon-b': 'north', 'daemon-c': 'south'}


def loss_slopes() -> Iterator[Slope]:
    """Kill one of three daemons, and count the writes that this leads to."""
    counts = sorted(_writes_of_a_loss(servers) for servers in SERVERS)
    yield fit(
        'loss_writes',
        'writes per lease',
        'after the loss of a daemon, by the leases that it held or stood by for',
        [Point(leases, writes, writes, writes) for leases, writes in counts],
    )


def _writes_of_a_loss(servers: int) -> tuple[int, float]:
    pause = threading.Event()
    with System() as system:
        _start(system, servers)
        wait_until(lambda: all(r.standby for r in _leases(system, servers)), 'standbys')
        pause.wait(SETTLE_S)
        lost, leases = _most_involved(_leases(system, servers))
        before = system.read_truth('store')['writes']
        system.process_by_name[lost].send_signal(signal.SIGKILL)
        system.set_fault('store', vm_gone=lost)
        pause.wait(AFTER_LOSS_S)
        return leases, float(system.read_truth('store')['writes'] - before)


def _most_involved(records: list[LeaseRecord]) -> tuple[str, int]:
    """Return a daemon and the number of leases that it holds or stands by for."""
    names = [name for record in records for name in (record.coordinator, record.standby)]
    return Counter(names).most_common(1)[0]


def _start(system: System, servers: int) -> None:
    names = [f'booking-{number}' for number in range(servers)]
    system.start_store()
    for name in names:
        system.start_backend_server(name, 'north')
    for name, data_centre in DAEMONS.items():
        system.start_daemon(name, data_centre)
    system.wait_ready()
    rows = [
        (name, 'bookings', 'north', system.address_by_backend_server[name]) for name in names
    ]
    services = [('bookings', False, 'booking')]
    system.apply_document('daemon-a', build_document_text(['north', 'south'], services, rows))


def _leases(system: System, servers: int) -> list[LeaseRecord]:
    """Return the lease records; raises ``ValueError`` while not all are there."""
    store = HttpStore(f'http://{system.store_address}', StoreIdentity('', '', ''))
    items, _ = store.scan(LEASE_PREFIX)
    if len(items) < servers:
        raise ValueError(f'{len(items)} of {servers} leases')
    return [decode_record(item.value) for item in items]
