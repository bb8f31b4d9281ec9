"""The port for grant and release calls to backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from coltsfootstair.errors import ColtsfootstairError

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.registry import BackendServer

__all__ = ['GrantClient', 'StaleFenceError', 'WrongServerError']


class StaleFenceError(ColtsfootstairError):
    """A backend server has seen a higher fencing token for one of the keys of a call."""


class WrongServerError(ColtsfootstairError):
    """Another backend server has the address; the intended one has ended."""


class GrantClient(Protocol):
    """Grant and release calls to backend servers.

    Both calls raise ``BrokenExchangeError`` if no answer came in time; the backend server may
    then still execute the call later. A call that has ended must not arrive there any more,
    apart from the delay of the network: its duration counts from its arrival. Both raise
    ``WrongServerError``.
    """

    def subscribe_leaving(self, listener: Callable[[tuple[str, int]], None]) -> None:
        """Call ``listener`` with each incarnation that says in an answer that it leaves."""

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
        """Grant keys, or renew the grant on them.

        :param first: lowest key
        :param last: highest key, inclusive
        :param fence: fencing token of the grant
        :param duration_s: grant duration, in seconds, from the arrival of the call
        :param handover: state that the previous owner handed over, if any
        :raises StaleFenceError: the backend server has seen a higher fencing token
        """

    async def release(
        self, server: BackendServer, first: int, last: int, fence: int, timeout_s: float
    ) -> str | None:
        """End the grant on keys.

        Returns once requests that were running on them have ended.

        :param fence: fencing token of the release, above that of the grant that it ends
        :returns: the state that this owner hands over to the next one, if any
        :raises StaleFenceError: the backend server has seen a higher fencing token
        """
