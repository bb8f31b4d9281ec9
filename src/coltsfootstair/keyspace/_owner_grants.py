"""Orders to the owners of one service's keys, and what is known of each owner."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import structlog

from coltsfootstair.http1 import BrokenExchangeError
from coltsfootstair.keyspace._grant_client import StaleFenceError, WrongServerError
from coltsfootstair.keyspace._grant_expiry import GrantExpiries

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.keyspace._dependencies import KeeperDependencies
    from coltsfootstair.keyspace._table import Incarnation, KeyRange
    from coltsfootstair.registry import BackendServer

__all__ = ['CALL_RETRY_DELAY_S', 'OwnerGrants']

logger = structlog.get_logger()

GRANT_TIMEOUT_S = 0.4
"""How long a grant may stay unanswered, in seconds; it is sent again then."""

RELEASE_TIMEOUT_S = 2.5
"""How long a release may take, in seconds: the work that runs on its keys ends first."""

CALL_RETRY_DELAY_S = 0.15
"""Seconds to the next try of an order that was not answered."""

MAX_FAILING_TIME_S = 1.2
"""How long an owner's orders may fail before its keys go to others, in seconds."""

REINSTATEMENT_RATIO = 4.0
"""How many times ``UNREACHABLE_S`` a server that owns nothing is left alone before it may own
keys again."""


class OwnerGrants:
    """Grants rows and takes them back; keeps until when each life may hold keys.

    :param hold_s: returns how long keys may be granted for now; ``None`` if not at all
    """

    def __init__(
        self,
        service: str,
        dependencies: KeeperDependencies,
        unknown_expiry: float,
        duration_s: Callable[[], float | None],
    ) -> None:
        self.service = service
        self._dependencies = dependencies
        self._get_grant_duration_s = duration_s
        self._expiries = GrantExpiries(unknown_expiry)
        self._lock_by_incarnation: dict[Incarnation, asyncio.Lock] = {}
        self._failing_since_by_incarnation: dict[Incarnation, float] = {}
        self._refused_fences: set[int] = set()
        self._ended_incarnations: set[Incarnation] = set()
        self._server_by_incarnation: dict[Incarnation, BackendServer] = {}
        self._seen_at_by_incarnation: dict[Incarnation, float] = {}
        self._calls_stopped = False

    def stop_calls(self) -> None:
        """Grant no more."""
        self._calls_stopped = True

    def limit_unknown_expiry(self, until: float) -> None:
        """Note that holds that the last keeper granted end by ``until`` at the latest."""
        self._expiries.limit_unknown_expiry(until)

    def on_server_seen(self, server: BackendServer) -> None:
        """Note a server that has an entry at present."""
        self._server_by_incarnation[server.life] = server
        self._seen_at_by_incarnation[server.life] = self._dependencies.clock.monotonic()

    def may_own(self, incarnation: Incarnation, *, owns_keys: bool) -> bool:
        """Whether ``life`` answers orders, as far as is known."""
        if incarnation in self._ended_incarnations:
            return False
        failing_since = self._failing_since_by_incarnation.get(incarnation)
        if failing_since is None:
            return True
        failing_s = self._dependencies.clock.monotonic() - failing_since
        if not owns_keys and failing_s > REINSTATEMENT_RATIO * MAX_FAILING_TIME_S:
            del self._failing_since_by_incarnation[incarnation]
        return failing_s <= MAX_FAILING_TIME_S

    def pop_refused_fences(self) -> set[int]:
        """Return tokens that owners refused since the last call: they saw higher ones."""
        refused, self._refused_fences = self._refused_fences, set()
        return refused

    async def grant(self, key_range: KeyRange, handover: str | None) -> bool:
        """Grant a row to its owner, or renew it; false if that was not confirmed."""
        server = self._dependencies.registry.get(key_range.owner[0])
        duration_s = self._get_grant_duration_s()
        if (
            server is None
            or server.life != key_range.owner
            or duration_s is None
            or self._calls_stopped
        ):
            return False
        try:
            await self._send_grant(server, key_range, duration_s, handover)
        except BrokenExchangeError as error:
            now = self._dependencies.clock.monotonic()
            if server.life not in self._failing_since_by_incarnation:
                logger.info('grant not answered', server=server.name, reason=str(error))
            self._failing_since_by_incarnation.setdefault(server.life, now)
            return False
        except WrongServerError as error:
            logger.info('owner has ended', server=server.name, reason=str(error))
            self._ended_incarnations.add(server.life)
            return False
        except StaleFenceError:
            logger.warning(
                'grant refused: a higher fencing token was seen',
                service=self.service,
                server=server.name,
                fence=key_range.fence,
            )
            self._refused_fences.add(key_range.fence)
            return False
        self._failing_since_by_incarnation.pop(server.life, None)
        return True

    async def _send_grant(
        self,
        server: BackendServer,
        key_range: KeyRange,
        duration_s: float,
        handover: str | None,
    ) -> None:
        try:
            await self._dependencies.grant_client.grant(
                server,
                key_range.first,
                key_range.last,
                key_range.fence,
                duration_s,
                handover,
                GRANT_TIMEOUT_S,
            )
        finally:
            self._expiries.on_grant_call_ended(
                server.life, duration_s, self._dependencies.clock.monotonic()
            )

    def get_lock(self, incarnation: Incarnation) -> asyncio.Lock:
        """Return what keeps the orders to one life apart from its renewals."""
        return self._lock_by_incarnation.setdefault(incarnation, asyncio.Lock())

    async def reclaim(self, incarnation: Incarnation, key_range: KeyRange) -> str | None:
        """Return once ``life`` holds no key of ``row``, with its handover if it gave one."""
        clock = self._dependencies.clock
        logged = False
        async with self.get_lock(incarnation):
            pass  # Renewals that were under way have ended; no more are sent.
        while clock.monotonic() < self._expiries.get_expiry(incarnation):
            now_server = self._dependencies.registry.get(incarnation[0])
            if now_server is not None and now_server.life != incarnation:
                return None
            server = now_server or self._find_last_known(incarnation)
            if server is None:
                await asyncio.sleep(CALL_RETRY_DELAY_S)
                continue
            remaining_s = self._expiries.get_expiry(incarnation) - clock.monotonic()
            timeout_s = min(RELEASE_TIMEOUT_S, max(CALL_RETRY_DELAY_S, remaining_s))
            try:
                taken_back = key_range._replace(fence=key_range.fence - 1)
                return await self._dependencies.grant_client.release(
                    server, key_range.first, key_range.last, taken_back.fence, timeout_s
                )
            except WrongServerError:
                return None
            except (BrokenExchangeError, StaleFenceError) as error:
                if not logged:
                    logger.info(
                        'release not answered',
                        service=self.service,
                        server=incarnation[0],
                        fence=key_range.fence,
                        held_for_s=round(remaining_s, 2),
                        reason=str(error),
                    )
                logged = True
                await asyncio.sleep(CALL_RETRY_DELAY_S)
        return None

    def _find_last_known(self, incarnation: Incarnation) -> BackendServer | None:
        """Return a server that has no entry any more, while its address is still its own."""
        seen_at = self._seen_at_by_incarnation.get(incarnation, -math.inf)
        if self._dependencies.clock.monotonic() - seen_at > self._dependencies.address_reuse_s:
            return None
        return self._server_by_incarnation.get(incarnation)
