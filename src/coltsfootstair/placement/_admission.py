"""Refuses what an owner of keys can not serve for all daemons together."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.clock import Clock

__all__ = ['AdmissionGate']

BURST_REQUEST_COUNT = 2.0
"""Requests that may pass at once after a pause, so that a seldom asked daemon is not
refused more often than others."""


class AdmissionGate:
    """Lets the part of an owner's requests pass that the keeper has worked out.

    Answers a hot key that many daemons are asked for: each of them sees little of the
    owner's load, and only the keeper knows the sum.

    :param admitted_by_server: returns the part by backend server; all pass where it has none
    """

    def __init__(
        self, admitted_by_server: Callable[[], dict[str, float]], clock: Clock
    ) -> None:
        self._admitted_by_server = admitted_by_server
        self._clock = clock
        self._credit_by_server: dict[str, float] = {}

    def try_admit(self, server: str) -> bool:
        """Whether the next request for ``server`` may be sent."""
        share = self._admitted_by_server().get(server)
        if share is None:
            self._credit_by_server.pop(server, None)
            return True
        credit = min(BURST_REQUEST_COUNT, self._credit_by_server.get(server, 1.0) + share)
        if credit < 1.0:
            self._credit_by_server[server] = credit
            return False
        self._credit_by_server[server] = credit - 1.0
        return True
