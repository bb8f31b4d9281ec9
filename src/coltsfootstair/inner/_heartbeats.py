"""Messages by which daemons confirm each other's leases and report measured load."""

from __future__ import annotations

from typing import NamedTuple

from coltsfootstair.inner._messages import register

__all__ = ['Heartbeat', 'HeartbeatReply', 'LoadReported']


class Heartbeat(NamedTuple):
    """A heartbeat, with the leases that the receiver is to confirm as their standby.

    :param leaving: whether the sender is shutting down
    :param sent_at: the sender's monotonic seconds, returned in the reply
    :param leases_to_confirm: backend server, version and record of each lease
    :param unresponsive_servers: backend servers that do not answer the sender, which is
        their coordinator
    """

    name: str
    incarnation: str
    data_centre: str
    leaving: bool
    sent_at: float
    leases_to_confirm: list[tuple[str, int, bytes]]
    unresponsive_servers: list[str]


class HeartbeatReply(NamedTuple):
    """The answer to a heartbeat.

    :param sent_at: ``sent_at`` of the heartbeat
    :param confirmed: backend server and version of each lease that is confirmed
    """

    name: str
    incarnation: str
    data_centre: str
    leaving: bool
    sent_at: float
    confirmed: list[tuple[str, int]]


class LoadReported(NamedTuple):
    """Rates that a coordinator measured, for the daemon that plans the service's table.

    :param rows: number of each row and its requests per second
    :param keys: each key with many requests, and its requests per second
    """

    service: str
    rows: list[tuple[int, float]]
    keys: list[tuple[str, float]]


register(20, Heartbeat)
register(21, HeartbeatReply)
register(22, LoadReported)
