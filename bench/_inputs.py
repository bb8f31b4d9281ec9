"""The named inputs of the capacity page: planned sizes, assumptions, values in the code."""

from __future__ import annotations

import enum
from typing import NamedTuple

__all__ = ['INPUTS', 'Input', 'Origin']


class Origin(enum.StrEnum):
    """The origin of an input, as the page shows it."""

    PLAN = 'the planned size'
    PLATFORM = 'the platform'
    ASSUMED = 'assumed'
    CODE = 'the code'


class Input(NamedTuple):
    """A number that the formulas of the page use.

    :param about: what the number is, as the page shows it
    """

    name: str
    value: float
    unit: str
    origin: Origin
    about: str


INPUTS = (
    Input('daemons', 4600, 'daemons', Origin.PLAN, 'all regions together'),
    Input('keys', 5.5e9, 'keys', Origin.PLAN, 'in use'),
    Input('requests_per_s', 65e6, '1/s', Origin.PLAN, 'of all callers'),
    Input('latency_ms', 12, 'ms', Origin.PLAN, 'for 99 in 100 requests'),
    Input('hot_keys', 150, 'keys', Origin.PLAN, 'the hottest, changing within minutes'),
    Input('served_again_s', 1, 's', Origin.PLAN, 'after a loss, for each key'),
    Input('regions', 4, 'regions', Origin.PLAN, 'that lose each other for minutes'),
    Input('data_centres', 8, 'data centres', Origin.PLAN, 'of all regions, evenly'),
    Input('changes_per_day', 14000, '1/day', Origin.PLAN, 'of the configuration'),
    Input('in_force_s', 6, 's', Origin.PLAN, 'for a change, everywhere'),
    Input('control_cores', 0.03, 'cores', Origin.PLAN, 'of a daemon, for control'),
    Input('control_memory', 256e6, 'bytes', Origin.PLAN, 'of a daemon, for control'),
    Input('control_bytes_per_s', 6000, 'bytes/s', Origin.PLAN, 'of a daemon, for control'),
    Input('replaced_per_day', 910, '1/day', Origin.PLAN, 'VMs restarted or replaced'),
    Input('failed_per_day', 23, '1/day', Origin.PLAN, 'VMs that fail'),
    Input('store_writes_per_s', 400, '1/s', Origin.PLATFORM, '"several hundred"'),
    Input('store_reads_per_s', 2000, '1/s', Origin.PLATFORM, '"about two thousand"'),
    Input('store_value_bytes', 2**20, 'bytes', Origin.PLATFORM, 'upper bound of one value'),
    Input('slots', 4, 'requests', Origin.PLATFORM, 'at once at one backend server'),
    Input('service_ms', 5, 'ms', Origin.ASSUMED, 'that a request holds a slot'),
    Input('utilisation', 0.6, '', Origin.ASSUMED, 'of the slots, on average'),
    Input('services', 22, 'services', Origin.ASSUMED, 'sharing the backend servers evenly'),
    Input('rows_per_server', 16, 'rows', Origin.ASSUMED, 'for an even load by moving few'),
    Input('rack_daemons', 40, 'daemons', Origin.ASSUMED, 'behind one rack or switch'),
    Input('change_bytes', 200, 'bytes', Origin.ASSUMED, 'of one change, sent as a change'),
    Input('vm_list_least_s', 1, 's', Origin.CODE, 'between reads of the VM list'),
    Input('vm_list_most_per_s', 500, '1/s', Origin.CODE, 'reads of it by all daemons'),
    Input('watchers_per_data_centre', 2, 'daemons', Origin.CODE, 'that watch the store'),
    Input('watch_timeout_s', 0.5, 's', Origin.CODE, 'after which a watch is asked anew'),
    Input('update_wait_s', 0.5, 's', Origin.CODE, 'that a question for updates waits'),
    Input('update_round_s', 0.25, 's', Origin.CODE, 'between rounds of asking for updates'),
    Input('ownership_tick_s', 0.03, 's', Origin.CODE, 'between ticks of all leases'),
    Input('heartbeat_s', 0.1, 's', Origin.CODE, 'between daemons that share a lease'),
    Input('slow_heartbeat_s', 1, 's', Origin.CODE, 'between all other daemons'),
    Input('grant_renew_s', 0.1, 's', Origin.CODE, 'between grants to a server'),
    Input('probe_every_s', 0.2, 's', Origin.CODE, 'between probes of a server'),
    Input('rows_per_table', 1024, 'rows', Origin.CODE, 'of a service'),
    Input('rows_per_shard', 256, 'rows', Origin.CODE, 'in one object of the store'),
)
