"""Slopes of the state of a daemon: replica, tables, document, routing, admission."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from bench._fit import measure_slope
from bench._gauge import measure_cpu_us, measure_memory_bytes
from coltsfootstair.admission import (
    CoordinationChanged,
    Finished,
    Outcome,
    Submitted,
    handle,
    new_state,
)
from coltsfootstair.document import (
    BackendServer,
    DataCentre,
    Document,
    Service,
    ServiceKind,
    State,
    parse,
    render,
)
from coltsfootstair.leases import LeaseRecord, encode_record, record_key
from coltsfootstair.ownership import (
    HASH_ROWS_PER_SHARD,
    Row,
    Shard,
    Table,
    decode_shard,
    encode_shard,
    shard_key,
)
from coltsfootstair.routing import Router
from coltsfootstair.routing._router import DOCUMENT_KEY
from coltsfootstair.store import Replica, VersionedObject

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench._fit import Slope

__all__ = ['measure_state_slopes']

OBJECT_COUNTS = (1000, 2000, 4000, 8000)
ROW_COUNTS = (64, 128, 256)
TABLE_COUNTS = (2, 4, 8, 16)
SERVER_COUNTS = (64, 128, 256, 512)
REQUEST_COUNTS = (1000, 2000, 4000, 8000)
ROUTES_PER_RUN = 200
"""Requests that are routed in a run, of which the mean is taken."""

SHARD_REPEAT_COUNT = 50
"""Times that a shard is decoded or updated in a run, of which the mean is taken."""


def measure_state_slopes() -> Iterator[Slope]:
    """Measure size, memory and processing of the state, all in this process."""
    yield from _measure_lease_slopes()
    yield from _measure_table_slopes()
    yield from _measure_document_slopes()
    yield from _measure_route_slopes()
    yield measure_slope(
        'admission_us',
        'us per request',
        'admitting one request and taking its end in',
        REQUEST_COUNTS,
        _measure_admission,
    )


def _measure_lease_slopes() -> Iterator[Slope]:
    yield measure_slope(
        'lease_record_bytes',
        'bytes per lease',
        'a lease record with its key in the store',
        OBJECT_COUNTS,
        lambda count: float(
            sum(len(item.key) + len(item.value) for item in _make_lease_objects(count))
        ),
        runs_per_size=1,
    )
    yield measure_slope(
        'lease_memory_bytes',
        'bytes per lease',
        'a lease record in replica and router',
        OBJECT_COUNTS,
        lambda count: measure_memory_bytes(
            lambda: _build_replica_and_router(_make_lease_objects(count))
        ),
        runs_per_size=1,
    )
    yield measure_slope(
        'lease_apply_us',
        'us per lease',
        'taking one changed lease record in',
        OBJECT_COUNTS,
        _measure_applying_leases,
    )


def _measure_applying_leases(lease_count: int) -> float:
    items = _make_lease_objects(lease_count)
    return measure_cpu_us(lambda: _build_replica_and_router(items))


def _build_replica_and_router(items: list[VersionedObject]) -> tuple[Replica, Router]:
    """Return a replica with ``items`` and a router that follows it."""
    replica, router = Replica(), Router(random.Random(1), lambda: True)
    replica.subscribe(router.apply_object)
    replica.apply(items)
    return replica, router


def _make_lease_objects(lease_count: int) -> list[VersionedObject]:
    record = LeaseRecord('daemon-0017', 'a' * 32, 'daemon-4011', 'b' * 32, 12)
    value = encode_record(record)
    return [
        VersionedObject(record_key(f'lookup-{n:05}'), n + 1, bytes(value))
        for n in range(lease_count)
    ]


def _measure_table_slopes() -> Iterator[Slope]:
    yield measure_slope(
        'row_bytes',
        'bytes per row',
        'a row in its shard in the store',
        ROW_COUNTS,
        lambda row_count: float(len(encode_shard(_make_shard(row_count)))),
        runs_per_size=1,
    )
    yield measure_slope(
        'row_decode_us',
        'us per row',
        f'decoding a shard, mean of {SHARD_REPEAT_COUNT}',
        ROW_COUNTS,
        _measure_shard_decoding,
    )
    yield measure_slope(
        'row_memory_bytes',
        'bytes per row',
        'a row in replica and router, by whole tables',
        # A table has 4 shards.
        [table_count * 4 * HASH_ROWS_PER_SHARD for table_count in TABLE_COUNTS],
        lambda row_count: measure_memory_bytes(
            lambda: _build_replica_and_router(
                _make_table_objects(row_count // 4 // HASH_ROWS_PER_SHARD)
            )
        ),
        runs_per_size=1,
    )
    yield measure_slope(
        'shard_update_us_per_row',
        'us per row',
        f'changing one row of a table, by the rows of its shard, mean of {SHARD_REPEAT_COUNT}',
        ROW_COUNTS,
        _measure_shard_updates,
    )


def _make_shard(row_count: int, number: int = 0) -> Shard:
    """Return a shard whose rows 17 backend servers own in turn."""
    first_row = number * HASH_ROWS_PER_SHARD
    row_by_number = {first_row + n: Row(f'lookup-{n % 17:05}', 3) for n in range(row_count)}
    return Shard(number, row_by_number)


def _make_table_objects(table_count: int) -> list[VersionedObject]:
    """Return the shards of whole tables, four for each table."""
    return [
        VersionedObject(
            shard_key(f'service-{table}', n),
            1,
            encode_shard(_make_shard(HASH_ROWS_PER_SHARD, n)),
        )
        for table in range(table_count)
        for n in range(4)
    ]


def _measure_shard_decoding(row_count: int) -> float:
    value = encode_shard(_make_shard(row_count))

    def run() -> None:
        for _ in range(SHARD_REPEAT_COUNT):
            decode_shard(value)

    return measure_cpu_us(run) / SHARD_REPEAT_COUNT


def _measure_shard_updates(row_count: int) -> float:
    table = Table('lookups')
    # The 4 shards of a table.
    for number in range(4):
        table.apply_shard(_make_shard(row_count, number), 1)
    value = encode_shard(_make_shard(row_count))

    def run() -> None:
        for version in range(SHARD_REPEAT_COUNT):
            table.apply_shard(decode_shard(value), version + 2)

    return measure_cpu_us(run) / SHARD_REPEAT_COUNT


def _make_document(server_count: int) -> Document:
    return Document(
        (DataCentre('north', State.IN), DataCentre('south', State.IN)),
        (Service('lookups', False, ServiceKind.LOOKUP, ('north', 'south')),),
        tuple(
            BackendServer(
                f'lookup-{n:05}',
                'lookups',
                'north',
                f'10.0.0.1:{n + 1}',
                4,
                110,
                True,
                State.IN,
            )
            for n in range(server_count)
        ),
    )


def _measure_document_slopes() -> Iterator[Slope]:
    yield measure_slope(
        'document_bytes',
        'bytes per backend server',
        "the operators' document",
        SERVER_COUNTS,
        lambda server_count: float(len(render(_make_document(server_count)).encode())),
        runs_per_size=1,
    )
    yield measure_slope(
        'document_parse_us',
        'us per backend server',
        "reading and checking the operators' document",
        SERVER_COUNTS,
        _measure_parsing,
    )
    yield measure_slope(
        'document_memory_bytes',
        'bytes per backend server',
        "the operators' document in replica and router",
        SERVER_COUNTS,
        lambda server_count: measure_memory_bytes(
            lambda: _build_replica_and_router([_make_document_object(server_count)])
        ),
        runs_per_size=1,
    )


def _make_document_object(server_count: int) -> VersionedObject:
    return VersionedObject(DOCUMENT_KEY, 1, render(_make_document(server_count)).encode())


def _measure_parsing(server_count: int) -> float:
    text = render(_make_document(server_count))
    return measure_cpu_us(lambda: parse(text, 'bench'))


def _measure_route_slopes() -> Iterator[Slope]:
    yield measure_slope(
        'route_by_row_us',
        'us per route',
        'finding the way of a request with a key',
        REQUEST_COUNTS,
        _measure_routing_by_row,
    )
    yield measure_slope(
        'route_by_choice_us',
        'us per backend server',
        f'finding the way of a request without a key, by servers, mean of {ROUTES_PER_RUN}',
        SERVER_COUNTS,
        _measure_routing_by_choice,
    )


def _measure_routing_by_row(request_count: int) -> float:
    """Measure the routing of requests with keys, each by the owner of its row."""
    document = _make_document(HASH_ROWS_PER_SHARD)
    service = document.services[0]._replace(name='service-0', divided_by_key=True)
    servers = tuple(s._replace(service='service-0') for s in document.backend_servers)
    text = render(document._replace(services=(service,), backend_servers=servers))
    items = [
        VersionedObject(DOCUMENT_KEY, 1, text.encode()),
        *_make_table_objects(1),
        *_make_lease_objects(HASH_ROWS_PER_SHARD),
    ]
    _, router = _build_replica_and_router(items)
    keys = [f'key-{number}' for number in range(request_count)]

    def run() -> None:
        for key in keys:
            router.route('service-0', key, '')

    return measure_cpu_us(run)


def _measure_routing_by_choice(server_count: int) -> float:
    """Measure the routing of requests without keys, for which a server is chosen."""
    _, router = _build_replica_and_router(
        [_make_document_object(server_count), *_make_lease_objects(server_count)]
    )

    def run() -> None:
        for _ in range(ROUTES_PER_RUN):
            router.route('lookups', '', '')

    return measure_cpu_us(run) / ROUTES_PER_RUN


def _measure_admission(request_count: int) -> float:
    # 4 slots and 110 connections.
    state = new_state(4, 110, 0.0)
    handle(state, CoordinationChanged(True), 0.0)

    def run() -> None:
        now = 0.0
        for number in range(request_count):
            now += 0.001
            request_id = str(number)
            handle(state, Submitted(request_id, '10.1.2.3', 'key', now + 1.0, True), now)
            handle(state, Finished(request_id, Outcome.ANSWERED, 0.001), now + 0.001)

    return measure_cpu_us(run)
