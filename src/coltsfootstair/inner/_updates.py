"""Messages by which daemons forward changes of the store and report their state."""

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
    """Requests the objects that changed after a revision of the store.

    :param number: number of the request, which its answer returns
    :param after_revision: revision up to which the sender has all changes; -1 if it has none
    :param wait_ms: how long the answer may be delayed while there is no change
    :param vm_list_wanted: whether to send the list of VMs too, since the sender has none
    """

    number: int
    after_revision: int
    wait_ms: int
    vm_list_wanted: bool


class UpdatesAnswer(NamedTuple):
    """Objects that changed, sent in one or more messages.

    :param number: number of the request
    :param objects: key, version and value of each; an empty value means deleted
    :param revision: revision up to which the sender has all changes; -1 if it has none
    :param held_ms: time from the arrival of the request to the writing of this message
    :param age_ms: age of the revision when this message was written: the time since the
        sender last knew that the revision was the newest; -1 if it never knew it
    :param last: whether this is the last message of the answer
    """

    number: int
    objects: list[tuple[str, int, bytes]]
    revision: int
    held_ms: int
    age_ms: int
    last: bool


class VmListing(NamedTuple):
    """The platform's list of VMs.

    :param rows: name, data centre and inner address of each VM, and whether it is leaving
    """

    rows: list[tuple[str, str, str, bool]]


class ReportRequest(NamedTuple):
    """Requests a report from a daemon.

    :param number: number of the request, which its answer returns
    :param subject: name of the report
    """

    number: int
    subject: str


class ReportAnswer(NamedTuple):
    """A chunk of a report, which is encoded in msgpack.

    :param number: number of the request
    :param last: whether this is the last chunk
    """

    number: int
    data: bytes
    last: bool


register(40, UpdatesRequest)
register(41, UpdatesAnswer)
register(42, VmListing)
register(43, ReportRequest)
register(44, ReportAnswer)
