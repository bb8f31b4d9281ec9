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
    DAEMON_STOPPED = 'daemon stopped'
    """()"""
    DOCUMENT_ACCEPTED = 'document accepted'
    """(version, changes): a daemon has written it to the store"""
    DOCUMENT_REFUSED = 'document refused'
    """(reason)"""
    DOCUMENT_IN_FORCE = 'document in force'
    """(version, source): this daemon acts on it from now on"""
    DOCUMENT_STALE = 'document stale'
    """(age_s): this daemon can't know any more what is in, and gives no new work"""
    COORDINATOR_STARTED = 'coordinator started'
    """(server, epoch)"""
    COORDINATOR_STOPPED = 'coordinator stopped'
    """(server, reason)"""
    STANDBY_CHANGED = 'standby changed'
    """(standby)"""
    TAKEOVER_STARTED = 'takeover started'
    """(daemon)"""
    TAKEOVER_FINISHED = 'takeover finished'
    """(daemon)"""
    OWNER_ASSIGNED = 'owner assigned'
    """(service, first, last, server, token)"""
    OWNER_MOVING = 'owner moving'
    """(service, first, last, server, next)"""
    OWNER_RELEASED = 'owner released'
    """(service, first, last, server, token)"""
    GRANT_GIVEN = 'grant given'
    """(server, ranges): the first after a start or a change, not each renewal"""
    GRANT_LAPSED = 'grant lapsed'
    """(server)"""
    REQUEST_REFUSED = 'request refused'
    """(request_id, service, key, code, ran, detail)"""
    REQUEST_BROKEN = 'request broken'
    """(request_id, service, key, server, code): dispatched, and without a whole answer"""
    SERVER_RESTARTED = 'backend server restarted'
    """(server, instance)"""
    SERVER_COLD = 'backend server cold'
    """(server)"""
    SERVER_WARM = 'backend server warm'
    """(server)"""
    SERVER_UNREACHABLE = 'backend server unreachable'
    """(server)"""
    SERVER_DRAINING = 'backend server draining'
    """(server, in_flight)"""
    SERVER_DRAINED = 'backend server drained'
    """(server)"""
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
