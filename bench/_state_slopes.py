"""Slopes of what a daemon keeps and decides on: replica, tables, routes, admission."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from bench._fit import measured
from bench._gauge import cpu_us, memory_bytes
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

__all__ = ['state_slopes']

OBJECTS = (1000, 2000, 4000, 8000)
ROWS = (64, 128, 256)
TABLES = (2, 4, 8, 16)
SERVERS = (64, 128, 256, 512)
REQUESTS = (1000, 2000, 4000, 8000)
ROUTES = 200
DECODES = 50


def state_slopes() -> Iterator[Slope]:
    """Measure state kept and decisions taken in one process."""
    yield from _lease_slopes()
    yield from _table_slopes()
    yield from _document_slopes()
    yield from _route_slopes()
    yield measured(
        'admission_us',
        'us per request',
        'admitting one request and taking its end in',
        REQUESTS,
        _admit,
    )


def _lease_slopes() -> Iterator[Slope]:
    yield measured(
        'lease_record_bytes',
        'bytes per lease',
        'a lease record with its key in the store',
        OBJECTS,
        lambda count: float(sum(len(i.key) + len(i.value) for i in _leases(count))),
        repeats=1,
    )
    yield measured(
        'lease_memory_bytes',
        'bytes per lease',
        'a lease record in replica and router',
        OBJECTS,
        lambda count: memory_bytes(lambda: _followed(_leases(count))),
        repeats=1,
    )
    yield measured(
        'lease_apply_us',
        'us per lease',
        'taking one changed lease record in',
        OBJECTS,
        _apply_leases,
    )


def _apply_leases(count: int) -> float:
    items = _leases(count)
    return cpu_us(lambda: _followed(items))


def _followed(items: list[VersionedObject]) -> tuple[Replica, Router]:
    replica, router = Replica(), Router(random.Random(1), lambda: True)
    replica.subscribe(router.apply_object)
    replica.apply(items)
    return replica, router


def _leases(count: int) -> list[VersionedObject]:
    record = LeaseRecord('daemon-0017', 'a' * 32, 'daemon-4011', 'b' * 32, 12)
    value = encode_record(record)
    return [
        VersionedObject(record_key(f'lookup-{n:05}'), n + 1, bytes(value))
        for n in range(count)
    ]


def _table_slopes() -> Iterator[Slope]:
    yield measured(
        'row_bytes',
        'bytes per row',
        'a row in its shard in the store',
        ROWS,
        lambda rows: float(len(encode_shard(_shard(rows)))),
        repeats=1,
    )
    yield measured(
        'row_decode_us',
        'us per row',
        f'decoding a shard, mean of {DECODES}',
        ROWS,
        _decode_shards,
    )
    yield measured(
        'row_memory_bytes',
        'bytes per row',
        'a row in replica and router, by whole tables',
        [tables * 4 * HASH_ROWS_PER_SHARD for tables in TABLES],
        lambda rows: memory_bytes(
            lambda: _followed(_tables(rows // 4 // HASH_ROWS_PER_SHARD))
        ),
        repeats=1,
    )
    yield measured(
        'shard_update_us_per_row',
        'us per row',
        f'changing one row of a table, by the rows of its shard, mean of {DECODES}',
        ROWS,
        _update_shards,
    )


def _shard(rows: int, number: int = 0) -> Shard:
    first = number * HASH_ROWS_PER_SHARD
    owned = {first + n: Row(f'lookup-{n % 17:05}', 3) for n in range(rows)}
    return Shard(number, owned)


def _tables(count: int) -> list[VersionedObject]:
    return [
        VersionedObject(
            shard_key(f'service-{table}', n), 1, encode_shard(_shard(HASH_ROWS_PER_SHARD, n))
        )
        for table in range(count)
        for n in range(4)
    ]


def _decode_shards(rows: int) -> float:
    value = encode_shard(_shard(rows))

    def work() -> None:
        for _ in range(DECODES):
            decode_shard(value)

    return cpu_us(work) / DECODES


def _update_shards(rows: int) -> float:
    table = Table('lookups')
    for number in range(4):
        table.update(_shard(rows, number), 1)
    value = encode_shard(_shard(rows))

    def work() -> None:
        for version in range(DECODES):
            table.update(decode_shard(value), version + 2)

    return cpu_us(work) / DECODES


def _document(servers: int) -> Document:
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
            for n in range(servers)
        ),
    )


def _document_slopes() -> Iterator[Slope]:
    yield measured(
        'document_bytes',
        'bytes per backend server',
        "the operators' document",
        SERVERS,
        lambda servers: float(len(render(_document(servers)).encode())),
        repeats=1,
    )
    yield measured(
        'document_parse_us',
        'us per backend server',
        "reading and checking the operators' document",
        SERVERS,
        _parse,
    )
    yield measured(
        'document_memory_bytes',
        'bytes per backend server',
        "the operators' document in replica and router",
        SERVERS,
        lambda servers: memory_bytes(lambda: _followed([_document_object(servers)])),
        repeats=1,
    )


def _document_object(servers: int) -> VersionedObject:
    return VersionedObject(DOCUMENT_KEY, 1, render(_document(servers)).encode())


def _parse(servers: int) -> float:
    text = render(_document(servers))
    return cpu_us(lambda: parse(text, 'bench'))


def _route_slopes() -> Iterator[Slope]:
    yield measured(
        'route_by_row_us',
        'us per route',
        'finding the way of a request with a key',
        REQUESTS,
        _route_by_row,
    )
    yield measured(
        'route_by_choice_us',
        'us per backend server',
        f'finding the way of a request without a key, by servers, mean of {ROUTES}',
        SERVERS,
        _route_by_choice,
    )


def _route_by_row(count: int) -> float:
    document = _document(HASH_ROWS_PER_SHARD)
    service = document.services[0]._replace(name='service-0', divided_by_key=True)
    servers = tuple(s._replace(service='service-0') for s in document.backend_servers)
    text = render(document._replace(services=(service,), backend_servers=servers))
    items = [
        VersionedObject(DOCUMENT_KEY, 1, text.encode()),
        *_tables(1),
        *_leases(HASH_ROWS_PER_SHARD),
    ]
    _, router = _followed(items)
    keys = [f'key-{number}' for number in range(count)]

    def work() -> None:
        for key in keys:
            router.route('service-0', key, '')

    return cpu_us(work)


def _route_by_choice(servers: int) -> float:
    _, router = _followed([_document_object(servers), *_leases(servers)])

    def work() -> None:
        for _ in range(ROUTES):
            router.route('lookups', '', '')

    return cpu_us(work) / ROUTES


def _admit(count: int) -> float:
    state = new_state(4, 110, 0.0)
    handle(state, CoordinationChanged(True), 0.0)

    def work() -> None:
        now = 0.0
        for number in range(count):
            now += 0.001
            name = str(number)
            handle(state, Submitted(name, '10.1.2.3', 'key', now + 1.0, True), now)
            handle(state, Finished(name, Outcome.ANSWERED, 0.001), now + 0.001)

    return cpu_us(work)
