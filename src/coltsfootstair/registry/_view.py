"""Last known state of the backend servers, with evacuations and cold starts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import structlog

from coltsfootstair.registry._leaving import LeavingServers
from coltsfootstair.registry._types import ServerState

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from coltsfootstair.clock import Clock
    from coltsfootstair.registry._types import BackendServer

__all__ = ['Registry']

logger = structlog.get_logger()

RETURN_GRACE_S = 1.5
"""How long an entry that is missing after a store outage stays in use, in seconds. The
platform's limit is two seconds; the other half second is for noticing the entry's return."""

UNREADABLE_GRACE_S = 1.0
"""How long a server stays in use whose entry has been replaced by one that names no server,
in seconds: a server writes its entry again with its next heartbeat. With the time in which
changes are noticed it is less than the two seconds after which a server that is not to be used
must get nothing new."""

GONE_MEMORY_S = 60.0
"""How long an ended incarnation is remembered, in seconds, so that its entry is not used again
when the store comes back from an older copy; many times the age of such a copy."""

COLD_COUNTDOWN_TOLERANCE_S = 0.5
"""Maximum difference between the remaining cold time that a server reports and the expected
one, in seconds, at which the report counts as unchanged."""


class Registry:
    """Holds the last known entries of the backend servers, by name and service.

    Entries that are missing when the store is read again after an outage stay in use for
    ``RETURN_GRACE_S``: their servers may be running and may only have been unable to renew
    them.
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
        self._gone_at_by_incarnation: dict[tuple[str, int], float] = {}
        self._evacuated_until_by_data_centre: dict[str, float] = {}
        self._leaving = LeavingServers(clock)
        self._leaving_listeners: list[Callable[[], None]] = []

    def get(self, name: str) -> BackendServer | None:
        """Return the current entry of a backend server, also of a draining one."""
        return self._server_by_name.get(name)

    def find_usable(self, service: str) -> list[BackendServer]:
        """Return the servers of ``service`` that may be sent new requests, ordered by name."""
        if self._index_is_stale:
            self._rebuild_index()
        return self._usable_by_service.get(service, [])

    def is_usable(self, name: str) -> bool:
        """Whether the backend server ``name`` may be sent new requests."""
        server = self._server_by_name.get(name)
        return (
            server is not None
            and server.state is ServerState.READY
            and server.incarnation not in self._leaving
            and not self._is_evacuated(server.data_centre)
        )

    def _is_evacuated(self, data_centre: str) -> bool:
        return (
            data_centre in self._evacuated_data_centres
            or data_centre in self._evacuated_until_by_data_centre
        )

    def is_leaving(self, incarnation: tuple[str, int]) -> bool:
        """Whether this incarnation has said in an answer that it is leaving."""
        return incarnation in self._leaving

    def leaving_known_for_s(self, incarnation: tuple[str, int]) -> float | None:
        """Return for how many seconds an incarnation is known to be leaving, or ``None``."""
        return self._leaving.known_for_s(incarnation) if self.is_leaving(incarnation) else None

    def list_leaving(self) -> list[BackendServer]:
        """Return the servers with an entry that have said in an answer that they leave."""
        return [
            self._server_by_name[incarnation[0]]
            for incarnation in self._leaving
            if self._is_known(incarnation)
        ]

    def mark_leaving(self, incarnation: tuple[str, int]) -> None:
        """Record that an incarnation has said in an answer that it is leaving.

        It gets no new requests from now on, whatever its entry says; other incarnations of the
        same name are not affected.
        """
        if not self._leaving.add(incarnation):
            return
        name, started_at_ms = incarnation
        logger.info('backend server leaving', server=name, born_ms=started_at_ms)
        if self._is_known(incarnation):
            self._update_usability(name)
        for listener in self._leaving_listeners:
            listener()

    def subscribe_leaving(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` each time that another incarnation is known to be leaving."""
        self._leaving_listeners.append(listener)

    def has_other_at_address(self, server: BackendServer) -> bool:
        """Whether another server is known to have the address of ``server``."""
        return any(
            other.address == server.address and other.name != server.name
            for other in self._server_by_name.values()
        )

    def unusable_for_s(self, name: str) -> float:
        """Return for how long ``name`` has not been usable, in seconds.

        Returns 0 if it is usable, and infinity for a name without an entry.
        """
        if self.is_usable(name):
            return 0.0
        return self._clock.monotonic() - self._unusable_since_by_name.get(name, -math.inf)

    def cold_left_s(self, server: BackendServer) -> float:
        """Return how much longer ``server`` is cold, in seconds; 0 if it is not."""
        cold_until = self._cold_until_by_incarnation.get(server.incarnation, 0.0)
        return max(0.0, cold_until - self._clock.monotonic())

    def _set_cold_until(self, server: BackendServer, left_s: float) -> None:
        """Record that ``server`` stays cold for another ``left_s`` seconds."""
        self._cold_until_by_incarnation[server.incarnation] = self._clock.monotonic() + left_s

    def apply_entry(self, server: BackendServer) -> bool:
        """Apply an entry that is new or was written again; return whether it changed anything.

        A cold server regularly writes how much longer it stays cold. Such an entry is no
        change if the time only counts down as expected. One that is back before its deferred
        removal is a change, also if it is the same as before.
        """
        previous = self._server_by_name.get(server.name)
        was_to_go = self._removal_at_by_name.pop(server.name, None) is not None
        if previous is not None and self._is_countdown_only(previous, server):
            return was_to_go
        self._server_by_name[server.name] = server
        if (
            server.reported_cold_left_s > 0
            or server.incarnation in self._cold_until_by_incarnation
        ):
            self._set_cold_until(server, server.reported_cold_left_s)
        self._log_change(previous, server)
        self._update_usability(server.name)
        return True

    def _is_countdown_only(self, previous: BackendServer, server: BackendServer) -> bool:
        if previous._replace(reported_cold_left_s=server.reported_cold_left_s) != server:
            return False
        return (
            abs(self.cold_left_s(previous) - server.reported_cold_left_s)
            < COLD_COUNTDOWN_TOLERANCE_S
        )

    def _log_change(self, previous: BackendServer | None, server: BackendServer) -> None:
        if previous is None or previous.incarnation != server.incarnation:
            logger.info(
                'backend server joined',
                server=server.name,
                service=server.service,
                address=str(server.address),
                born_ms=server.started_at_ms,
                cold_left_s=server.reported_cold_left_s,
            )
        elif previous.state is not server.state:
            logger.info('backend server changed', server=server.name, state=server.state)
        elif previous.reported_cold_left_s != server.reported_cold_left_s:
            logger.info(
                'backend server cold',
                server=server.name,
                cold_left_s=server.reported_cold_left_s,
            )

    def remove(self, name: str) -> None:
        """Remove an entry."""
        self._removal_at_by_name.pop(name, None)
        previous = self._server_by_name.pop(name, None)
        self._unusable_since_by_name.pop(name, None)
        if previous is None:
            return
        self._cold_until_by_incarnation.pop(previous.incarnation, None)
        self._gone_at_by_incarnation[previous.incarnation] = self._clock.monotonic()
        logger.info('backend server gone', server=name, service=previous.service)
        self._index_is_stale = True

    def apply_listing(
        self,
        servers: Iterable[BackendServer],
        *,
        after_outage: bool,
        is_restored: bool = False,
        unreadable_names: Collection[str] = (),
    ) -> None:
        """Replace all entries by those of a complete listing.

        :param after_outage: whether entries that are missing from it may still return, since
            a store outage may have kept their servers from renewing them
        :param is_restored: whether the store has come back from an older copy of itself.
            Servers that were draining or gone before stay so until they write an entry.
        :param unreadable_names: names whose entries in the listing name no server
        """
        if is_restored:
            servers = [server for server in servers if not self._is_outdated(server)]
        by_name = {server.name: server for server in servers}
        for name in [name for name in self._server_by_name if name not in by_name]:
            if name in unreadable_names:
                self.on_entry_unreadable(name)
            elif after_outage:
                removal_at = self._clock.monotonic() + RETURN_GRACE_S
                self._removal_at_by_name.setdefault(name, removal_at)
            else:
                self.remove(name)
        for server in by_name.values():
            self.apply_entry(server)

    def on_entry_unreadable(self, name: str) -> None:
        """Remove a server after ``UNREADABLE_GRACE_S``, unless its entry is written by then.

        For an entry of another writer that names no server, under the name of this one.
        """
        if name in self._server_by_name:
            removal_at = self._clock.monotonic() + UNREADABLE_GRACE_S
            self._removal_at_by_name.setdefault(name, removal_at)

    def _is_outdated(self, restored: BackendServer) -> bool:
        """Whether an entry of a restored store is older than what is known of its server."""
        if restored.incarnation in self._gone_at_by_incarnation:
            return True
        known = self._server_by_name.get(restored.name)
        if known is None:
            return False
        # Which of two incarnations started later is not told by their clocks, which may jump.
        return known.incarnation != restored.incarnation or (
            known.state is ServerState.DRAINING and restored.state is not ServerState.DRAINING
        )

    def defer_removal(self, name: str) -> None:
        """Remove an entry after ``RETURN_GRACE_S``, unless it is written again by then.

        For deletions that may only be an effect of a store outage.
        """
        if name in self._server_by_name:
            removal_at = self._clock.monotonic() + RETURN_GRACE_S
            self._removal_at_by_name.setdefault(name, removal_at)

    def remove_expired(self) -> None:
        """Remove the entries whose deferred removal is due."""
        now = self._clock.monotonic()
        self._leaving.forget_ended(self._is_known)
        for name, removal_at in list(self._removal_at_by_name.items()):
            if now >= removal_at:
                self.remove(name)
        for incarnation, gone_at in list(self._gone_at_by_incarnation.items()):
            if now - gone_at < GONE_MEMORY_S:
                break  # The others ended later.
            del self._gone_at_by_incarnation[incarnation]
        for data_centre, until in list(self._evacuated_until_by_data_centre.items()):
            if now >= until:
                del self._evacuated_until_by_data_centre[data_centre]
                self._on_evacuations_changed()

    def _is_known(self, incarnation: tuple[str, int]) -> bool:
        server = self._server_by_name.get(incarnation[0])
        return server is not None and server.incarnation == incarnation

    def set_evacuated_data_centres(self, data_centres: frozenset[str]) -> None:
        """Set the data centres whose servers get no new requests."""
        if data_centres == self._evacuated_data_centres:
            return
        logger.info('evacuations changed', data_centres=sorted(data_centres))
        self._evacuated_data_centres = data_centres
        self._on_evacuations_changed()

    def evacuate_for_now(self, data_centre: str) -> None:
        """Send the servers of a data centre no new requests for ``RETURN_GRACE_S``."""
        until = self._clock.monotonic() + RETURN_GRACE_S
        self._evacuated_until_by_data_centre[data_centre] = until
        self._on_evacuations_changed()

    def _on_evacuations_changed(self) -> None:
        for name in self._server_by_name:
            self._update_usability(name)

    def _update_usability(self, name: str) -> None:
        """Record since when a server has not been usable, and mark the index as stale."""
        self._index_is_stale = True
        if self.is_usable(name):
            self._unusable_since_by_name.pop(name, None)
        else:
            self._unusable_since_by_name.setdefault(name, self._clock.monotonic())

    def _rebuild_index(self) -> None:
        """Index the usable servers by service, once for all changes since the last lookup."""
        self._index_is_stale = False
        usable: dict[str, list[BackendServer]] = {}
        for server in self._server_by_name.values():
            if self.is_usable(server.name):
                usable.setdefault(server.service, []).append(server)
        for servers in usable.values():
            servers.sort(key=lambda server: server.name)
        self._usable_by_service = usable
