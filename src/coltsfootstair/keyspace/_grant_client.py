"""The port through which keys are granted to backend servers and taken back."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from coltsfootstair.errors import ColtsfootstairError

if TYPE_CHECKING:
    from coltsfootstair.registry import BackendServer

__all__ = ['GrantClient', 'StaleFenceError', 'WrongServerError']


class StaleFenceError(ColtsfootstairError):
    """A backend server has seen a higher fencing token on one of the keys."""


class WrongServerError(ColtsfootstairError):
    """Another backend server has the address: the one that was meant has ended."""


class GrantClient(Protocol):
    """Orders to backend servers.

    Both raise ``BrokenExchangeError`` when no answer came in time; the order may then
    still be carried out later. Both raise ``WrongServerError``.
    """

    async def grant(
        self,
        server: BackendServer,
        first: int,
        last: int,
        fence: int,
        duration_s: float,
        handover: str | None,
        timeout_s: float,
    ) -> None:
        """Grant keys for ``hold_s`` from the arrival of the call, or renew the grant.

        :raises StaleFenceError: a higher fencing token was seen
        """

    async def release(
        self, server: BackendServer, first: int, last: int, fence: int, timeout_s: float
    ) -> str | None:
        """Take keys back; return, once their work has ended, what their next owner needs."""
