"""Slopes of the store writes after the loss of a daemon, by the number of its leases."""

from __future__ import annotations

import signal
import threading
from collections import Counter
from typing import TYPE_CHECKING

from tests.scenarios.processes import System, build_document_text, wait_until

from bench._fit import Point, fit_slope
from coltsfootstair.leases import LEASE_PREFIX, decode_record
from coltsfootstair.store import HttpStore, StoreIdentity

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench._fit import Slope
    from coltsfootstair.leases import LeaseRecord

__all__ = ['measure_loss_slopes']

SERVER_COUNTS = (2, 6, 12)
SETTLE_S = 2.0
"""Pause between the time when every lease has a standby and the loss, in seconds."""

OBSERVATION_S = 6.0
"""Time in which writes are counted after a loss.

It covers the takeover, the choice of another standby, and the return of leases to a daemon
in the data centre of their backend server.
"""

DATA_CENTRE_BY_DAEMON = {'daemon-a': 'north', 'daemon-b': 'north', 'daemon-c': 'south'}


def measure_loss_slopes() -> Iterator[Slope]:
    """Kill one of three daemons and count the store writes that follow."""
    lease_and_write_counts = sorted(
        _count_loss_writes(server_count) for server_count in SERVER_COUNTS
    )
    yield fit_slope(
        'loss_writes',
        'writes per lease',
        'after the loss of a daemon, by the leases that it held or stood by for',
        [
            Point(lease_count, write_count, write_count, write_count)
            for lease_count, write_count in lease_and_write_counts
        ],
    )


def _count_loss_writes(server_count: int) -> tuple[int, float]:
    # Never set: only waited for, to sleep.
    pause = threading.Event()
    with System() as system:
        _start_system(system, server_count)
        wait_until(
            lambda: all(record.standby for record in _read_leases(system, server_count)),
            'every lease has a standby',
        )
        pause.wait(SETTLE_S)
        lost_daemon, lease_count = _find_most_involved_daemon(
            _read_leases(system, server_count)
        )
        writes_before = system.read_truth('store')['writes']
        system.process_by_name[lost_daemon].send_signal(signal.SIGKILL)
        system.set_fault('store', vm_gone=lost_daemon)
        pause.wait(OBSERVATION_S)
        return lease_count, float(system.read_truth('store')['writes'] - writes_before)


def _find_most_involved_daemon(records: list[LeaseRecord]) -> tuple[str, int]:
    """Return the daemon that holds or stands by for the most leases, and their number."""
    names = [name for record in records for name in (record.coordinator, record.standby)]
    return Counter(names).most_common(1)[0]


def _start_system(system: System, server_count: int) -> None:
    names = [f'booking-{number}' for number in range(server_count)]
    system.start_store()
    for name in names:
        system.start_backend_server(name, 'north')
    for name, data_centre in DATA_CENTRE_BY_DAEMON.items():
        system.start_daemon(name, data_centre)
    system.wait_ready()
    server_entries = [
        (name, 'bookings', 'north', system.address_by_backend_server[name]) for name in names
    ]
    services = [('bookings', False, 'booking')]
    system.apply_document(
        'daemon-a', build_document_text(['north', 'south'], services, server_entries)
    )


def _read_leases(system: System, server_count: int) -> list[LeaseRecord]:
    """Return the lease records.

    :raises ValueError: if the store does not have a record for each backend server yet
    """
    store = HttpStore(f'http://{system.store_address}', StoreIdentity('', '', ''))
    items, _ = store.scan(LEASE_PREFIX)
    if len(items) < server_count:
        raise ValueError(f'the store has {len(items)} of {server_count} lease records')
    return [decode_record(item.value) for item in items]
