"""The events of the time line."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

from coltsfootstair.timeline._clock import HybridTime

__all__ = ['EventName', 'FieldValue', 'TimelineEvent']

FieldValue = str | int | float | bool


class EventName(enum.StrEnum):
    """What can happen; the fields of each are given in parentheses."""

    DAEMON_STARTED = 'daemon started'
    """(data_centre, incarnation)"""
    DAEMON_STOPPING = 'daemon stopping'
    """(in_flight)"""
    DOCUMENT_ACCEPTED = 'document accepted'
    """(version, changes): a daemon has written it to the store"""
    DOCUMENT_REFUSED = 'document refused'
    """(reason): an operator's change was not made"""
    DOCUMENT_IN_FORCE = 'document in force'
    """(version): this daemon acts on it from now on"""
    DOCUMENT_STALE = 'document stale'
    """(): this daemon can't know any more what is in, and gives no new work"""
    DOCUMENT_FRESH = 'document fresh'
    """(): it knows again"""
    COORDINATOR_STARTED = 'coordinator started'
    """(server, epoch, before): this daemon is named as coordinator in the store"""
    COORDINATOR_STOPPED = 'coordinator stopped'
    """(server, after): another daemon is"""
    STANDBY_CHANGED = 'standby changed'
    """(server, standby)"""
    OWNER_ASSIGNED = 'owner assigned'
    """(service, server, rows): the store names the server as owner of the rows"""
    OWNER_MOVING = 'owner moving'
    """(service, server, rows): the server is to release the rows"""
    OWNER_RELEASED = 'owner released'
    """(service, server, rows): the store names another owner, or none"""
    SERVER_PHASE = 'backend server phase'
    """(server, phase, in_flight, limit): what its coordinator makes of it"""
    REQUEST_REFUSED = 'request refused'
    """(request_id, service, key, code, ran, detail): it was not run"""
    REQUEST_BROKEN = 'request broken'
    """(request_id, service, key, code, ran, detail): it is not known whether it ran"""
    STORE_LOST = 'store lost'
    """()"""
    STORE_FOUND = 'store found'
    """()"""
    PEER_LOST = 'peer lost'
    """(peer)"""
    PEER_FOUND = 'peer found'
    """(peer)"""


class TimelineEvent(NamedTuple):
    """Something that happened in one daemon."""

    time: HybridTime
    daemon: str
    name: EventName
    fields: Mapping[str, FieldValue]
