"""The messages by which daemons pass on what the store holds, and report on themselves."""

from __future__ import annotations

from typing import NamedTuple

from coltsfootstair.inner._messages import register

__all__ = [
    'ReportAnswer',
    'ReportRequest',
    'UpdatesAnswer',
    'UpdatesRequest',
    'VmListing',
]


class UpdatesRequest(NamedTuple):
    """Asks for the objects that changed past a revision of the store.

    :param number: matches the answer to the request
    :param after_revision: the revision up to which the asker knows all; -1 if it knows none
    :param wait_ms: how long the answer may be held back while there is nothing newer
    :param vm_list_wanted: whether the asker has no list of VMs
    """

    number: int
    after_revision: int
    wait_ms: int
    vm_list_wanted: bool


class UpdatesAnswer(NamedTuple):
    """Objects that changed, in one or more portions.

    :param objects: key, version and value of each; an empty value means deleted
    :param revision: the revision up to which the publisher knows all; -1 if it knows none
    :param held_ms: how long the request had been here when this was written
    :param age_ms: how long ago, by then, the publisher knew the revision to be the newest;
        -1 if it never did
    :param last: whether this is the last portion
    """

    number: int
    objects: list[tuple[str, int, bytes]]
    revision: int
    held_ms: int
    age_ms: int
    last: bool


class VmListing(NamedTuple):
    """The platform's list of VMs: name, data centre, inner address, leaving."""

    rows: list[tuple[str, str, str, bool]]


class ReportRequest(NamedTuple):
    """Asks a daemon to report on itself.

    :param subject: what the report is about
    """

    number: int
    subject: str


class ReportAnswer(NamedTuple):
    """A portion of a report, which is itself in msgpack."""

    number: int
    data: bytes
    last: bool


register(40, UpdatesRequest)
register(41, UpdatesAnswer)
register(42, VmListing)
register(43, ReportRequest)
register(44, ReportAnswer)
