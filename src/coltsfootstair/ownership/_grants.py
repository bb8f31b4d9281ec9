"""What a backend server has been granted, and until when for certain."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

__all__ = [
    'CLOCK_DRIFT',
    'GRANT_RENEW_S',
    'GRANT_S',
    'GrantBook',
    'GrantCall',
    'answered',
    'may_hold',
    'new_book',
    'next_order',
    'note_clock',
    'valid_until',
]

GRANT_S = 0.4
"""Term of a grant on the backend server's own clock, in seconds."""

GRANT_RENEW_S = 0.1
"""How often grants are renewed, in seconds."""

CLOCK_DRIFT = 0.005
"""Greatest rate by which any clock runs faster or slower than true time."""

_LONGEST_GRANT_S = GRANT_S * (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT)
_SHORTEST_GRANT_S = GRANT_S * (1 - CLOCK_DRIFT) / (1 + CLOCK_DRIFT)


class GrantCall(NamedTuple):
    """An order to hold exactly some rows.

    :param until: when it lapses on the server's clock, in seconds
    :param lapses_at: when it has lapsed for certain, in local monotonic seconds
    :param valid_until: before this it has not lapsed, in local monotonic seconds
    """

    number: int
    instance: str
    token_by_row: Mapping[int, int]
    server_expiry: float
    latest_expiry: float
    earliest_expiry: float


class GrantBook(NamedTuple):
    """The orders given to one backend server under one lease.

    :param inherited_until: when the orders of earlier coordinators have lapsed
    :param instance: the server's process, as last heard
    :param server_clock: the newest reading of the server's clock, in seconds
    :param read_after: the reading was taken after this local time
    :param read_before: the reading was taken before this local time
    :param accepted: the newest order that the server has taken
    :param open_orders: orders that may yet take effect, or have done so, by number
    """

    inherited_until: float
    instance: str = ''
    server_clock: float = 0.0
    read_after: float = -math.inf
    read_before: float = -math.inf
    accepted: GrantCall | None = None
    open_orders: Mapping[int, GrantCall] = {}
    last_number: int = 0


def new_book(now: float) -> GrantBook:
    """Return the book of a coordinator whose rights begin at ``now``.

    Earlier coordinators computed their orders from clock readings older than that.
    """
    return GrantBook(inherited_until=now + _LONGEST_GRANT_S)


def note_clock(
    book: GrantBook, instance: str, server_clock: float, asked_at: float, now: float
) -> GrantBook:
    """Take in a reading of the server's clock that was asked for at ``asked_at``."""
    if asked_at <= book.read_after:
        return book
    return book._replace(
        instance=instance,
        server_clock=server_clock,
        read_after=asked_at,
        read_before=now,
    )


def next_order(
    book: GrantBook, token_by_row: Mapping[int, int], now: float
) -> tuple[GrantBook, GrantCall] | None:
    """Return an order for the given rows, or ``None`` if the server's clock is not known.

    The term counts from the clock reading, not from the order, so that an order that
    is late, or taken late by a frozen server, does not hold for longer.
    """
    if now >= book.read_after + _SHORTEST_GRANT_S:
        return None
    order = GrantCall(
        book.last_number + 1,
        book.instance,
        dict(token_by_row),
        book.server_clock + GRANT_S,
        book.read_before + _LONGEST_GRANT_S,
        book.read_after + _SHORTEST_GRANT_S,
    )
    open_orders = {n: o for n, o in book.open_orders.items() if o.latest_expiry > now}
    open_orders[order.number] = order
    return book._replace(last_number=order.number, open_orders=open_orders), order


def answered(book: GrantBook, number: int, *, accepted: bool) -> GrantBook:
    """Take in the server's answer to an order."""
    order = book.open_orders.get(number)
    if order is None:
        return book
    open_orders = {n: o for n, o in book.open_orders.items() if n != number}
    if not accepted:
        return book._replace(open_orders=open_orders, instance='', read_after=-math.inf)
    if number != book.last_number:
        # A later order was sent before this answer: which was taken last is not known.
        return book
    return book._replace(open_orders=open_orders, accepted=order)


def may_hold(book: GrantBook, row: int, now: float) -> bool:
    """Return whether the server may hold ``row`` at ``now`` or come to hold it later."""
    orders = list(book.open_orders.values())
    if book.accepted is not None:
        orders.append(book.accepted)
    if now < book.inherited_until:
        return True
    return any(row in order.token_by_row and now < order.latest_expiry for order in orders)


def valid_until(book: GrantBook) -> float:
    """Return until when, in local seconds, the accepted order holds for certain."""
    return -math.inf if book.accepted is None else book.accepted.earliest_expiry
