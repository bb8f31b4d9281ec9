"""Figures of the load, of a daemon as entry, and of its replica of the store."""

from __future__ import annotations

from bench._figure import Figure

__all__ = ['ENTRY_FIGURES']

ENTRY_FIGURES = (
    Figure('load', 'requests_per_daemon', 'requests_per_s / daemons', '1/s', 'share of one'),
    Figure(
        'load',
        'backend_servers',
        'requests_per_s * service_ms / 1000 / slots / utilisation',
        'servers',
        'that the rate implies',
    ),
    Figure(
        'load', 'servers_per_daemon', 'backend_servers / daemons', 'servers', 'coordinated'
    ),
    Figure(
        'load', 'rows', 'backend_servers * rows_per_server', 'rows', 'of all tables together'
    ),
    Figure('load', 'changes_per_s', 'changes_per_day / 86400', '1/s', 'of configuration'),
    Figure(
        'entry',
        'lookup_path_us',
        'lookup_entry_us + lookup_coordinator_us',
        'us',
        'processor time of a lookup at both daemons',
    ),
    Figure(
        'entry',
        'booking_path_us',
        'booking_entry_us + booking_coordinator_us',
        'us',
        'processor time of a booking at both daemons',
    ),
    Figure(
        'entry',
        'lookups_per_process',
        '1e6 / lookup_path_us',
        '1/s',
        'that one process carries, its share of both roles counted',
    ),
    Figure(
        'entry',
        'rate_shortfall',
        'requests_per_daemon / lookups_per_process',
        'times',
        'that a process of today falls short of its share',
    ),
    Figure(
        'entry',
        'lookup_hop_added_us',
        'lookup_hop_latency_us - lookup_own_latency_us',
        'us',
        'that the extra hop adds to a lookup',
    ),
    Figure(
        'entry',
        'booking_hop_added_us',
        'booking_hop_latency_us - booking_own_latency_us',
        'us',
        'that the extra hop adds to a booking',
    ),
    Figure(
        'entry',
        'upload_hop_added_us_per_mb',
        'upload_hop_latency_us_per_mb - upload_own_latency_us_per_mb',
        'us/MB',
        'that the extra hop adds to an upload',
    ),
    Figure(
        'entry',
        'choice_us',
        'route_by_choice_us * backend_servers / services',
        'us',
        'choosing a backend server for a request without a key',
    ),
    Figure(
        'entry',
        'streams_bytes',
        'stream_resident_bytes * (daemons - 1)',
        'bytes',
        'resident for inner streams to all others, each used by uploads once',
    ),
    Figure(
        'entry',
        'streams_us_per_s',
        'stream_idle_us_per_s * (daemons - 1)',
        'us/s',
        'processor time of idle inner streams to all others',
    ),
    Figure(
        'replica',
        'leases_bytes',
        'lease_memory_bytes * backend_servers',
        'bytes',
        'memory for the lease records of all backend servers',
    ),
    Figure(
        'replica', 'tables_bytes', 'row_memory_bytes * rows', 'bytes', 'memory for all tables'
    ),
    Figure(
        'replica',
        'documents_bytes',
        'document_memory_bytes * backend_servers',
        'bytes',
        "memory for the operators' document",
    ),
    Figure(
        'replica',
        'replica_bytes',
        'leases_bytes + tables_bytes + documents_bytes',
        'bytes',
        'memory for all of it',
    ),
    Figure(
        'replica',
        'memory_shortfall',
        '(replica_bytes + streams_bytes) / control_memory',
        'times',
        'that replica and streams exceed the memory for control',
    ),
    Figure(
        'replica',
        'document_value_bytes',
        'document_bytes * backend_servers',
        'bytes',
        "the operators' document as one value of the store",
    ),
    Figure(
        'replica',
        'document_value_shortfall',
        'document_value_bytes / store_value_bytes',
        'times',
        'that it exceeds the greatest value of the store',
    ),
    Figure(
        'replica',
        'document_parse_s',
        'document_parse_us * backend_servers / 1e6',
        's',
        'processor time of each daemon for each change of it',
    ),
    Figure(
        'replica',
        'document_cores',
        'document_parse_s * changes_per_s',
        'cores',
        'of each daemon for the changes of a day',
    ),
    Figure(
        'replica',
        'document_bytes_per_s',
        'document_value_bytes * changes_per_s',
        'bytes/s',
        'to each daemon, if each change brings the whole document',
    ),
    Figure(
        'replica',
        'document_bytes_shortfall',
        'document_bytes_per_s / control_bytes_per_s',
        'times',
        'that this exceeds the traffic for control',
    ),
    Figure(
        'replica',
        'changes_bytes_per_s',
        'change_bytes * changes_per_s',
        'bytes/s',
        'to each daemon, if each change brought just what changed',
    ),
    Figure(
        'replica',
        'table_shortfall',
        'rows / services / rows_per_table',
        'times',
        'that a table has too few rows',
    ),
    Figure(
        'replica',
        'tables_value_bytes',
        'row_bytes * rows',
        'bytes',
        'all tables in the store',
    ),
    Figure('replica', 'shards', 'rows / rows_per_shard', 'objects', 'of tables in the store'),
)
