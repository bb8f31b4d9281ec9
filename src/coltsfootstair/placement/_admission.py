"""Limits the requests to an owner of keys to what it can serve from all daemons together."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.clock import Clock

__all__ = ['AdmissionGate']

BURST_REQUEST_COUNT = 2.0
"""Largest credit of a server, in requests. Each request adds the admitted share to the credit,
which starts at one request, and an admitted one takes one off; so a daemon with few requests
does not refuse a larger share of them than others."""


class AdmissionGate:
    """Admits the share of an owner's requests that the keeper has computed.

    It handles a hot key that many daemons get requests for: each daemon sees a small part of
    the owner's load, and only the keeper knows the sum.

    :param get_admitted_share_by_server: returns the admitted share, from 0 to 1, by name of
        the backend server; all requests are admitted to a server that it does not contain
    """

    def __init__(
        self, get_admitted_share_by_server: Callable[[], dict[str, float]], clock: Clock
    ) -> None:
        self._get_admitted_share_by_server = get_admitted_share_by_server
        self._clock = clock
        self._credit_by_server: dict[str, float] = {}

    def try_admit(self, server: str) -> bool:
        """Return whether the next request to ``server`` is admitted, and count it if it is."""
        share = self._get_admitted_share_by_server().get(server)
        if share is None:
            self._credit_by_server.pop(server, None)
            return True
        credit = min(BURST_REQUEST_COUNT, self._credit_by_server.get(server, 1.0) + share)
        if credit < 1.0:
            self._credit_by_server[server] = credit
            return False
        self._credit_by_server[server] = credit - 1.0
        return True
