"""The events of the time line."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

from coltsfootstair.timeline._clock import HybridTime

__all__ = ['EventName', 'FieldValue', 'TimelineEvent']

FieldValue = str | int | float | bool


class EventName(enum.StrEnum):
    """Kinds of events; the docstring of each lists its fields in parentheses."""

    DAEMON_STARTED = 'daemon started'
    """(data_centre, incarnation)"""
    DAEMON_STOPPING = 'daemon stopping'
    """(in_flight)"""
    DOCUMENT_ACCEPTED = 'document accepted'
    """(version, changes): this daemon has written the document to the store"""
    DOCUMENT_REFUSED = 'document refused'
    """(reason): an operator's change was not applied"""
    DOCUMENT_IN_FORCE = 'document in force'
    """(version): this daemon uses the document from now on"""
    DOCUMENT_STALE = 'document stale'
    """(): it is unknown whether the document is the newest; no new work is assigned"""
    DOCUMENT_FRESH = 'document fresh'
    """(): the document is known to be the newest again"""
    COORDINATOR_STARTED = 'coordinator started'
    """(server, epoch, before): the store names this daemon as coordinator
    instead of ``before``"""
    COORDINATOR_STOPPED = 'coordinator stopped'
    """(server, after): the store names ``after`` as coordinator instead of this daemon"""
    STANDBY_CHANGED = 'standby changed'
    """(server, standby): the store names another standby"""
    OWNER_ASSIGNED = 'owner assigned'
    """(service, server, rows): the store names the server as owner of the rows"""
    OWNER_MOVING = 'owner moving'
    """(service, server, rows): the rows are to move; the server must release them"""
    OWNER_RELEASED = 'owner released'
    """(service, server, rows): the store names another owner, or none"""
    SERVER_PHASE = 'backend server phase'
    """(server, phase, in_flight, limit): the server's phase as its coordinator sees it"""
    REQUEST_REFUSED = 'request refused'
    """(request_id, service, key, code, ran, detail): the request was not run"""
    REQUEST_BROKEN = 'request broken'
    """(request_id, service, key, code, ran, detail): it is unknown whether the request ran"""
    STORE_LOST = 'store lost'
    """(): this daemon cannot reach the store any more"""
    STORE_FOUND = 'store found'
    """(): this daemon can reach the store again"""
    PEER_LOST = 'peer lost'
    """(peer): this daemon cannot reach the other daemon any more"""
    PEER_FOUND = 'peer found'
    """(peer): this daemon can reach the other daemon"""


class TimelineEvent(NamedTuple):
    """An event recorded by one daemon.

    :param daemon: name of the daemon
    """

    time: HybridTime
    daemon: str
    name: EventName
    fields: Mapping[str, FieldValue]
