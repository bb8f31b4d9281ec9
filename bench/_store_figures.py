"""Figures of the coordinator, the watchers and the store."""

from __future__ import annotations

from bench._figure import Figure

__all__ = ['STORE_FIGURES']

STORE_FIGURES = (
    Figure(
        'coordinator',
        'admission_cores',
        'admission_us * requests_per_daemon / 1e6',
        'cores',
        'for admission alone, at the share of one daemon',
    ),
    Figure(
        'coordinator',
        'grant_calls_per_s',
        '2 * servers_per_daemon / grant_step_s',
        '1/s',
        'probes and grants to the backend servers of one daemon',
    ),
    Figure(
        'coordinator',
        'grant_cores',
        'servers_per_daemon / grant_step_s * (probe_us + grant_us_per_row * rows_per_server '
        '+ grant_us_per_row_at0) / 1e6',
        'cores',
        'for probes and grants',
    ),
    Figure(
        'coordinator',
        'grant_cores_shortfall',
        'grant_cores / control_cores',
        'times',
        'that this exceeds the processor time for control',
    ),
    Figure(
        'store',
        'vm_list_reads_per_s',
        'daemons / vm_list_poll_s',
        '1/s',
        'of the VM list, by all daemons',
    ),
    Figure(
        'store',
        'vm_list_shortfall',
        'vm_list_reads_per_s / store_reads_per_s',
        'times',
        "that this alone exceeds the store's reads",
    ),
    Figure(
        'store',
        'watch_calls_per_change',
        'store_watch_calls * daemons',
        'calls',
        'that one change of any object costs, with a watch per daemon',
    ),
    Figure(
        'store',
        'watch_s_per_change',
        'watch_calls_per_change / store_reads_per_s',
        's',
        'in which the store answers them',
    ),
    Figure(
        'store',
        'watch_calls_per_s',
        'daemons / watch_timeout_s + watch_calls_per_change * changes_per_s',
        '1/s',
        'watches with the changes of a day spread evenly',
    ),
    Figure(
        'store',
        'chosen_watch_calls_per_s',
        'watchers_per_data_centre * data_centres * (1 / watch_timeout_s + changes_per_s)',
        '1/s',
        'watches if only a few daemons of each data centre watched',
    ),
    Figure(
        'store',
        'writes_per_vm',
        '2 * servers_per_daemon',
        'writes',
        'when a VM is replaced: each lease it held or stood by for changes once',
    ),
    Figure(
        'store',
        'replace_writes_per_s',
        'writes_per_vm * (replaced_per_day + failed_per_day) / 86400',
        '1/s',
        'for the VMs replaced and failed, spread over the day',
    ),
    Figure(
        'store',
        'rack_s',
        'writes_per_vm * rack_daemons / store_writes_per_s',
        's',
        'of store writes when a rack is lost',
    ),
    Figure(
        'store',
        'rack_shortfall',
        'rack_s / served_again_s',
        'times',
        'that this exceeds the time until a key is served again',
    ),
    Figure(
        'store',
        'data_centre_s',
        'writes_per_vm * daemons / data_centres / store_writes_per_s',
        's',
        'of store writes when a data centre is lost',
    ),
    Figure(
        'store',
        'data_centre_shortfall',
        'data_centre_s / served_again_s',
        'times',
        'that this exceeds the time until a key is served again',
    ),
    Figure(
        'store',
        'data_centre_record_s',
        '2 * daemons / data_centres / store_writes_per_s',
        's',
        'the same with one record per daemon in place of one per backend server',
    ),
    Figure(
        'watcher',
        'fan_out_s',
        'fan_out_us * daemons / data_centres / watchers_per_data_centre / 1e6',
        's',
        'for one watcher to pass a change on to its share of a data centre',
    ),
)
