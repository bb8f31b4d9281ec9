"""The backend servers as last known, with evacuations and cold starts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import structlog

from coltsfootstair.registry._types import ServerState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coltsfootstair.clock import Clock
    from coltsfootstair.registry._types import BackendServer

__all__ = ['Registry']

logger = structlog.get_logger()

RETURN_GRACE_S = 1.5
"""How long an entry that lapsed while the store was away may still come back, in seconds:
two seconds as the platform states, less the time in which its return is noticed."""


COLD_COUNTDOWN_TOLERANCE_S = 0.5
"""How far a cold server's figure may be from what is expected, in seconds, to say
nothing new."""


class Registry:
    """Backend servers by name and service.

    Entries that are missing when the store is read again after an outage stay in use for
    ``RETURN_GRACE_S``, since their servers may only have been unable to write.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._server_by_name: dict[str, BackendServer] = {}
        self._usable_by_service: dict[str, list[BackendServer]] = {}
        self._evacuated_data_centres: frozenset[str] = frozenset()
        self._cold_until_by_incarnation: dict[tuple[str, int], float] = {}
        self._removal_at_by_name: dict[str, float] = {}
        self._unusable_since_by_name: dict[str, float] = {}
        self._index_is_stale = False

    def get(self, name: str) -> BackendServer | None:
        """Return the present life of a backend server, draining ones too."""
        return self._server_by_name.get(name)

    def find_usable(self, service: str) -> list[BackendServer]:
        """Return the servers of ``service`` that may be sent requests."""
        if self._index_is_stale:
            self._rebuild_index()
        return self._usable_by_service.get(service, [])

    def is_usable(self, name: str) -> bool:
        """Whether new requests may go to the backend server ``name``."""
        server = self._server_by_name.get(name)
        return (
            server is not None
            and server.state is ServerState.READY
            and server.data_centre not in self._evacuated_data_centres
        )

    def unusable_for_s(self, name: str) -> float:
        """Return for how long ``name`` may no longer get new requests; 0 if it may."""
        if self.is_usable(name):
            return 0.0
        return self._clock.monotonic() - self._unusable_since_by_name.get(name, -math.inf)

    def cold_left_s(self, server: BackendServer) -> float:
        """Return how much longer ``server`` is cold, in seconds; 0 if it is not."""
        until = self._cold_until_by_incarnation.get(server.incarnation, 0.0)
        return max(0.0, until - self._clock.monotonic())

    def _set_cold_left(self, server: BackendServer, left_s: float) -> None:
        """Take what a server said of its cold start outside of its entry."""
        self._cold_until_by_incarnation[server.incarnation] = self._clock.monotonic() + left_s

    def apply_entry(self, server: BackendServer) -> bool:
        """Take an entry that is new or has changed; false if it says nothing new.

        A cold server writes every now and then how much longer it stays cold, which is
        known if it counts down as expected.
        """
        known = self._server_by_name.get(server.name)
        self._removal_at_by_name.pop(server.name, None)
        if known is not None and self._is_countdown_only(known, server):
            return False
        self._server_by_name[server.name] = server
        if server.cold_left_s > 0 or server.incarnation in self._cold_until_by_incarnation:
            self._set_cold_left(server, server.cold_left_s)
        self._log_change(known, server)
        self._update_usability(server.name)
        return True

    def _is_countdown_only(self, known: BackendServer, server: BackendServer) -> bool:
        if known._replace(cold_left_s=server.cold_left_s) != server:
            return False
        return abs(self.cold_left_s(known) - server.cold_left_s) < COLD_COUNTDOWN_TOLERANCE_S

    def _log_change(self, known: BackendServer | None, server: BackendServer) -> None:
        if known is None or known.incarnation != server.incarnation:
            logger.info(
                'backend server joined',
                server=server.name,
                service=server.service,
                address=str(server.address),
                born_ms=server.started_at_ms,
                cold_left_s=server.cold_left_s,
            )
        elif known.state is not server.state:
            logger.info('backend server changed', server=server.name, state=server.state)
        elif known.cold_left_s != server.cold_left_s:
            logger.info(
                'backend server cold', server=server.name, cold_left_s=server.cold_left_s
            )

    def remove(self, name: str) -> None:
        """Take the removal of an entry."""
        self._removal_at_by_name.pop(name, None)
        known = self._server_by_name.pop(name, None)
        self._unusable_since_by_name.pop(name, None)
        if known is None:
            return
        self._cold_until_by_incarnation.pop(known.incarnation, None)
        logger.info('backend server gone', server=name, service=known.service)
        self._index_is_stale = True

    def apply_listing(self, servers: Iterable[BackendServer], *, after_outage: bool) -> None:
        """Take a whole listing.

        :param after_outage: whether entries that are missing may still come back
        """
        by_name = {server.name: server for server in servers}
        for name in [name for name in self._server_by_name if name not in by_name]:
            if after_outage:
                until = self._clock.monotonic() + RETURN_GRACE_S
                self._removal_at_by_name.setdefault(name, until)
            else:
                self.remove(name)
        for server in by_name.values():
            self.apply_entry(server)

    def defer_removal(self, name: str) -> None:
        """Keep an entry that went while the store was away, in case that it comes back."""
        if name in self._server_by_name:
            until = self._clock.monotonic() + RETURN_GRACE_S
            self._removal_at_by_name.setdefault(name, until)

    def remove_expired(self) -> None:
        """Remove the entries that did not come back in time."""
        now = self._clock.monotonic()
        for name, until in list(self._removal_at_by_name.items()):
            if now >= until:
                self.remove(name)

    def set_evacuated_data_centres(self, data_centres: frozenset[str]) -> None:
        """Take the set of data centres that get nothing for now."""
        if data_centres == self._evacuated_data_centres:
            return
        logger.info('evacuations changed', data_centres=sorted(data_centres))
        self._evacuated_data_centres = data_centres
        for name in self._server_by_name:
            self._update_usability(name)

    def _update_usability(self, name: str) -> None:
        """Note since when a server may get nothing new."""
        self._index_is_stale = True
        if self.is_usable(name):
            self._unusable_since_by_name.pop(name, None)
        else:
            self._unusable_since_by_name.setdefault(name, self._clock.monotonic())

    def _rebuild_index(self) -> None:
        """Sort the servers by service; done once for all changes since the last look."""
        self._index_is_stale = False
        usable: dict[str, list[BackendServer]] = {}
        for server in self._server_by_name.values():
            if self.is_usable(server.name):
                usable.setdefault(server.service, []).append(server)
        for servers in usable.values():
            servers.sort(key=lambda server: server.name)
        self._usable_by_service = usable
