"""Grant and release calls to the owners of the keys of one service."""

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

__all__ = ['CALL_RETRY_DELAY_S', 'GRANT_TIMEOUT_S', 'OwnerGrants']

logger = structlog.get_logger()

GRANT_TIMEOUT_S = 0.4
"""Timeout of a grant call, in seconds; an unanswered call is retried."""

MAX_RELEASE_TIMEOUT_S = 2.5
"""Longest timeout of a release call, in seconds: the backend server answers only when the
requests that run on the keys have ended."""

CALL_RETRY_DELAY_S = 0.15
"""Seconds to the next try of a grant or release call that was not answered."""

MAX_FAILING_TIME_S = 1.2
"""How long grant calls to an owner may fail before its keys go to others, in seconds."""

RETRY_OWNER_AFTER_RATIO = 4.0
"""Multiple of ``MAX_FAILING_TIME_S`` after which a server that owns no keys may own keys again
although its grant calls failed."""


class OwnerGrants:
    """Grants key ranges, reclaims them, and tracks when the grants of each owner expire.

    :param inherited_expiry: latest expiry of grants of previous keepers, in monotonic seconds
    :param get_grant_duration_s: returns the duration of a grant made now, in seconds;
        ``None`` if no grant may be made
    """

    def __init__(
        self,
        service: str,
        dependencies: KeeperDependencies,
        inherited_expiry: float,
        get_grant_duration_s: Callable[[], float | None],
    ) -> None:
        self.service = service
        self._dependencies = dependencies
        self._get_grant_duration_s = get_grant_duration_s
        self._expiries = GrantExpiries(inherited_expiry)
        self._lock_by_incarnation: dict[Incarnation, asyncio.Lock] = {}
        self._failing_since_by_incarnation: dict[Incarnation, float] = {}
        self._refused_fences: set[int] = set()
        self._ended_incarnations: set[Incarnation] = set()
        self._server_by_incarnation: dict[Incarnation, BackendServer] = {}
        self._seen_at_by_incarnation: dict[Incarnation, float] = {}
        self._grant_calls_stopped = False

    def stop_grant_calls(self) -> None:
        """Send no further grant calls; release calls continue."""
        self._grant_calls_stopped = True

    def lower_inherited_expiry(self, expiry: float) -> None:
        """Lower the latest expiry of grants of previous keepers to ``expiry``."""
        self._expiries.lower_inherited_expiry(expiry)

    def on_server_seen(self, server: BackendServer) -> None:
        """Record a server that is in the registry, and when it was there."""
        self._server_by_incarnation[server.incarnation] = server
        self._seen_at_by_incarnation[server.incarnation] = self._dependencies.clock.monotonic()

    def may_own(self, incarnation: Incarnation, *, owns_keys: bool) -> bool:
        """Whether ``incarnation`` may own keys.

        It may if it has not ended and its grant calls have not failed for too long. Also
        forgets the failures of a server that owns no keys and has been excluded for long
        enough, so that the next call returns true.
        """
        if incarnation in self._ended_incarnations:
            return False
        failing_since = self._failing_since_by_incarnation.get(incarnation)
        if failing_since is None:
            return True
        failing_s = self._dependencies.clock.monotonic() - failing_since
        if not owns_keys and failing_s > RETRY_OWNER_AFTER_RATIO * MAX_FAILING_TIME_S:
            del self._failing_since_by_incarnation[incarnation]
        return failing_s <= MAX_FAILING_TIME_S

    def are_calls_failing(self, incarnation: Incarnation) -> bool:
        """Whether the last grant call to ``incarnation`` was not answered."""
        return incarnation in self._failing_since_by_incarnation

    def pop_refused_fences(self) -> set[int]:
        """Return and clear the fencing tokens that owners refused as too low."""
        refused, self._refused_fences = self._refused_fences, set()
        return refused

    async def grant(self, key_range: KeyRange, handover: str | None) -> bool:
        """Grant a key range or renew its grant; return whether the owner confirmed it."""
        server = self._dependencies.registry.get(key_range.owner[0])
        duration_s = self._get_grant_duration_s()
        if (
            server is None
            or server.incarnation != key_range.owner
            or duration_s is None
            or self._grant_calls_stopped
        ):
            return False
        try:
            await self._send_grant(server, key_range, duration_s, handover)
        except BrokenExchangeError as error:
            self._on_call_not_answered(server, key_range, error)
            return False
        except WrongServerError as error:
            logger.info('owner has ended', server=server.name, reason=str(error))
            self._ended_incarnations.add(server.incarnation)
            self._dependencies.count_grant_call('other server')
            return False
        except StaleFenceError:
            logger.warning(
                'grant refused: a higher fencing token was seen',
                service=self.service,
                server=server.name,
                fence=key_range.fence,
            )
            self._refused_fences.add(key_range.fence)
            self._dependencies.count_grant_call('refused')
            return False
        except Exception as error:
            # A server that can't be called loses its keys; others go on.
            self._on_call_not_answered(
                server, key_range, self._record_failed_call(server, error)
            )
            return False
        self._dependencies.count_grant_call('accepted')
        if self._dependencies.paths is not None:
            self._dependencies.paths.record_answer(server.incarnation)
        self._failing_since_by_incarnation.pop(server.incarnation, None)
        return True

    def _record_failed_call(
        self, server: BackendServer, error: Exception
    ) -> BrokenExchangeError:
        self._dependencies.failures.record(
            'key grants', error, service=self.service, server=repr(server.name)
        )
        return BrokenExchangeError(f'call failed: {type(error).__name__}', sent=True)

    def _on_call_not_answered(
        self, server: BackendServer, key_range: KeyRange, error: BrokenExchangeError
    ) -> None:
        now = self._dependencies.clock.monotonic()
        if self._dependencies.paths is not None:
            self._dependencies.paths.record_failure(server.incarnation, 'grant call')
        is_first = server.incarnation not in self._failing_since_by_incarnation
        self._failing_since_by_incarnation.setdefault(server.incarnation, now)
        self._dependencies.count_grant_call(
            'held up' if error.unacknowledged_bytes else 'not answered'
        )
        if is_first or error.unacknowledged_bytes:
            logger.info(
                'grant call not answered',
                service=self.service,
                server=server.name,
                first=key_range.first,
                last=key_range.last,
                fence=key_range.fence,
                sent=error.sent,
                unacknowledged_bytes=error.unacknowledged_bytes,
                reason=str(error),
            )

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
                server.incarnation, duration_s, self._dependencies.clock.monotonic()
            )

    def get_renewal_lock(self, incarnation: Incarnation) -> asyncio.Lock:
        """Return the lock that is held while the grants of ``incarnation`` are renewed."""
        return self._lock_by_incarnation.setdefault(incarnation, asyncio.Lock())

    async def reclaim(self, incarnation: Incarnation, key_range: KeyRange) -> str | None:
        """End the grant of ``incarnation`` on ``key_range``; return its handover, if any.

        Returns once the backend server, or a later life of it under the same name, has
        released the keys, the server has ended, or its grants have expired.
        """
        clock = self._dependencies.clock
        logged = False
        async with self.get_renewal_lock(incarnation):
            pass  # Wait for a renewal in progress; later ones do not include the range.
        while clock.monotonic() < self._expiries.get_expiry(incarnation):
            # A later life of the server may have taken renewals, which name no incarnation.
            server = self._dependencies.registry.get(incarnation[0]) or self._find_last_known(
                incarnation
            )
            if server is None:
                await asyncio.sleep(CALL_RETRY_DELAY_S)
                continue
            remaining_s = self._expiries.get_expiry(incarnation) - clock.monotonic()
            timeout_s = min(MAX_RELEASE_TIMEOUT_S, max(CALL_RETRY_DELAY_S, remaining_s))
            try:
                # A move has two fencing tokens (``FENCE_STEP``); the release uses the lower.
                # Only the token of this range is used.
                with_release_fence = key_range._replace(fence=key_range.fence - 1)
                return await self._dependencies.grant_client.release(
                    server,
                    key_range.first,
                    key_range.last,
                    with_release_fence.fence,
                    timeout_s,
                )
            except WrongServerError:
                return None
            except Exception as raised:
                error = raised
                if not isinstance(raised, BrokenExchangeError | StaleFenceError):
                    error = self._record_failed_call(server, raised)
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
        """Return a server that has left the registry, if no other can have its address yet."""
        seen_at = self._seen_at_by_incarnation.get(incarnation, -math.inf)
        if self._dependencies.clock.monotonic() - seen_at > self._dependencies.address_reuse_s:
            return None
        return self._server_by_incarnation.get(incarnation)
