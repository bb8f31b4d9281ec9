"""What a caller's attempt has spent so far, as daemons that relay it tell each other."""

from __future__ import annotations

import urllib.parse
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.gateway._headers import ACCOUNT_HEADER, SERVED_BY_HEADER
from coltsfootstair.gateway._sender import Outcome
from coltsfootstair.http1 import find_first_value

if TYPE_CHECKING:
    from coltsfootstair.gateway._sender import RequestState
    from coltsfootstair.http1 import Reply

__all__ = ['AttemptAccount', 'add_account', 'decode_account', 'encode_account']

MAX_ACCOUNT_BYTES = 8192
"""Longest account that is read, in bytes."""

MAX_COUNT = 1000
"""Highest count that is read."""


class AttemptAccount(NamedTuple):
    """What one attempt of a caller has spent at all daemons that it went through.

    :param attempt_count: number of times that it was sent to a backend server
    :param ended_exchange_count: number of servers that closed the connection on it
    :param tried_servers: names of the servers that it was sent to
    :param is_trial: whether it is tried alone, since several servers ended under it
    :param service: part of its route that it was given to; empty if not known
    :param outcome: how the last of these times ended; only in answers
    """

    attempt_count: int
    ended_exchange_count: int = 0
    tried_servers: frozenset[str] = frozenset()
    is_trial: bool = False
    service: str = ''
    outcome: Outcome | None = None

    @classmethod
    def of(cls, request: RequestState) -> AttemptAccount:
        """Return the account of a request as this daemon knows it."""
        return cls(
            request.attempt_count,
            request.ended_exchange_count,
            frozenset(request.tried_servers),
            request.is_trial,
            request.service,
            request.last_outcome,
        )


def encode_account(account: AttemptAccount) -> bytes:
    """Return the value of the header that contains ``account``."""
    fields = {
        'attempts': account.attempt_count,
        'ended': account.ended_exchange_count,
        'tried': sorted(account.tried_servers),
        'trial': int(account.is_trial),
        'service': account.service,
        'outcome': [] if account.outcome is None else account.outcome.name,
    }
    return urllib.parse.urlencode(fields, doseq=True).encode()


def decode_account(value: bytes | None) -> AttemptAccount | None:
    """Return the account in the value of a header; ``None`` if it is missing or malformed."""
    if value is None or len(value) > MAX_ACCOUNT_BYTES:
        return None
    try:
        fields = urllib.parse.parse_qs(value.decode('ascii'), errors='strict')
        names = fields.get('outcome')
        account = AttemptAccount(
            int(fields['attempts'][0]),
            int(fields['ended'][0]),
            frozenset(fields.get('tried', ())),
            fields['trial'][0] == '1',
            fields.get('service', [''])[0],
            None if names is None else Outcome[names[0]],
        )
    except (KeyError, ValueError):
        return None
    counts = (account.attempt_count, account.ended_exchange_count)
    return account if all(0 <= count <= MAX_COUNT for count in counts) else None


def add_account(reply: Reply, request: RequestState, *, is_asked_for: bool) -> Reply:
    """Return a reply to another daemon with what the request has spent.

    One of an earlier version would send a request on whose attempt has failed, so its reply
    names the server, as an answer does, and is final.
    """
    if is_asked_for:
        header = (ACCOUNT_HEADER, encode_account(AttemptAccount.of(request)))
        return reply._replace(headers=[*reply.headers, header])
    is_named = find_first_value(reply.headers, SERVED_BY_HEADER) is not None
    if is_named or not request.attempt_count:
        return reply
    header = (SERVED_BY_HEADER, min(request.tried_servers).encode())
    return reply._replace(headers=[*reply.headers, header])
