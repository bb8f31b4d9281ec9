"""Keeps what is known of requests that end servers in the store, beyond all processes."""

from __future__ import annotations

import asyncio
import math
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import structlog

from coltsfootstair.errors import StoreConflictError, StoreUnavailableError
from coltsfootstair.objects import UnreadableValue
from coltsfootstair.peers import CrashReport, SuspectStatement

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from coltsfootstair.clock import Clock
    from coltsfootstair.crashes._suspects import SuspectRequests
    from coltsfootstair.objects import ObjectStore, StoredObject

__all__ = [
    'ARCHIVE_KIND',
    'ARCHIVE_NAME',
    'Archive',
    'SuspectArchive',
    'decode_archive',
    'encode_archive',
]

logger = structlog.get_logger()

ARCHIVE_KIND = 'coltsfootstair-suspects'
"""Kind of the stored object that contains the archive."""

ARCHIVE_NAME = 'crashes'
"""Name of the stored object that contains the archive."""

MAX_ARCHIVED = 256
"""Most suspects in the archive: those with the most crashes, then the newest ones."""

CHECK_INTERVAL_S = 0.3
"""Interval at which a daemon checks whether it has become keeper, in seconds."""

MIN_WRITE_INTERVAL_S = 0.5
"""Least time between two writes of the archive, and to the next call after one that failed,
in seconds."""

LIFT_CHECK_INTERVAL_S = 5.0
"""Interval at which the keeper reads whether operators have lifted a verdict, in seconds."""

FIRST_READ_WAIT_S = 0.5
"""How long requests of a daemon that has just started wait for its first read of the archive,
in seconds."""

MAX_NAME_CHARACTERS = 256
"""Longest name of a backend server that is archived, in characters."""

MAX_FINGERPRINT_BYTES = 64
"""Longest fingerprint that is read, in bytes."""

MAX_AGE_S = 30 * 24 * 3600.0
"""Highest age that is read, in seconds."""

_Content = frozenset[tuple[bytes, tuple[str, int], bool]]
"""What distinguishes one archive from another: each crash, without its times."""


class _StoredCrash(msgspec.Struct, rename='kebab'):
    server: str
    started_ms: int
    sent_age_s: float
    ended_age_s: float
    is_trial: bool = False


class _StoredSuspect(msgspec.Struct, rename='kebab'):
    fingerprint: str
    crashes: list[_StoredCrash]
    is_lifted: bool = False


class Archive(NamedTuple):
    """What the stored object contains.

    :param lifted: fingerprints of suspects whose verdict operators have lifted
    """

    statements: list[SuspectStatement]
    lifted: list[bytes]


class _ReadArchive(NamedTuple):
    """The archive as it was read.

    :param revision: revision of the stored object; 0 if there is none
    :param content: the crashes in it that can be read
    """

    revision: int
    content: _Content


def encode_archive(statements: Iterable[SuspectStatement], now: datetime) -> dict[str, Any]:
    """Return the value of the stored object that contains ``statements``."""
    suspects = [
        _StoredSuspect(
            statement.fingerprint.hex(),
            [
                _StoredCrash(
                    *crash.incarnation,
                    max(0.0, crash.sent_age_s),
                    max(0.0, crash.ended_age_s),
                    crash.is_trial,
                )
                for crash in statement.crashes
            ],
        )
        for statement in statements
    ]
    return {'written-at': now.isoformat(), 'suspects': msgspec.to_builtins(suspects)}


def decode_archive(value: Any, now: datetime) -> Archive:
    """Return what a stored object contains; entries that can't be read are left out.

    Ages go on from the time at which it was written, as far as the calendar clocks of both
    daemons tell.
    """
    if isinstance(value, UnreadableValue) or not isinstance(value, dict):
        reason = value.reason if isinstance(value, UnreadableValue) else 'not a table'
        logger.warning('archive of crashes ignored', reason=reason)
        return Archive([], [])
    passed_s = _compute_passed_s(value.get('written-at'), now)
    entries = value.get('suspects')
    if not isinstance(entries, list):
        logger.warning('archive of crashes ignored', reason='its suspects are not a list')
        return Archive([], [])
    statements = []
    lifted = []
    refused_reasons = []
    for entry in entries:
        try:
            stored = msgspec.convert(entry, _StoredSuspect)
            statements.append(_read_suspect(stored, passed_s))
        except (msgspec.ValidationError, ValueError, RecursionError, OverflowError) as error:
            refused_reasons.append(str(error))
            continue
        if stored.is_lifted:
            lifted.append(statements[-1].fingerprint)
    if refused_reasons:
        logger.warning(
            'archived suspects ignored', count=len(refused_reasons), reason=refused_reasons[0]
        )
    return Archive(statements, lifted)


def _compute_passed_s(written_at: Any, now: datetime) -> float:
    try:
        passed = now - datetime.fromisoformat(written_at).astimezone(UTC)
    except (TypeError, ValueError, OverflowError):
        return 0.0
    return max(timedelta(), passed).total_seconds()


def _read_suspect(stored: _StoredSuspect, passed_s: float) -> SuspectStatement:
    """Return what one entry says.

    :param passed_s: time since it was written, in seconds
    :raises ValueError: it says what can't be
    """
    fingerprint = bytes.fromhex(stored.fingerprint)
    if not 0 < len(fingerprint) <= MAX_FINGERPRINT_BYTES:
        raise ValueError(f'a fingerprint must have 1 to {MAX_FINGERPRINT_BYTES} bytes')
    for crash in stored.crashes:
        if not 0 <= crash.ended_age_s <= crash.sent_age_s <= MAX_AGE_S:
            raise ValueError(
                f'ages of a crash must be 0 to {MAX_AGE_S:.0f} s, and the request older than'
                f' its end, got {crash.sent_age_s} and {crash.ended_age_s}'
            )
        if len(crash.server) > MAX_NAME_CHARACTERS or abs(crash.started_ms) >= 2**53:
            raise ValueError('a server has a name or start that no server has')
    crashes = [
        CrashReport(
            (crash.server, crash.started_ms),
            crash.sent_age_s + passed_s,
            crash.ended_age_s + passed_s,
            crash.is_trial,
        )
        for crash in stored.crashes
    ]
    return SuspectStatement(fingerprint, crashes, None)


class SuspectArchive:
    """Reads the archive when a daemon starts, and writes it while the daemon is the keeper.

    The keeper writes each crash and each clearing as soon as it knows of it. It reads before
    its first write, and after another daemon has written or the store has come back from an
    older copy, and adds what it knows. While there are verdicts it reads it every few seconds,
    since operators lift one by a mark in its entry.

    :param is_keeper: returns whether this daemon is the keeper
    """

    def __init__(
        self,
        store: ObjectStore,
        suspects: SuspectRequests,
        clock: Clock,
        is_keeper: Callable[[], bool],
    ) -> None:
        self._store = store
        self._suspects = suspects
        self._clock = clock
        self._is_keeper = is_keeper
        self._changed = asyncio.Event()
        self._first_read_ended = asyncio.Event()
        # The archive as this daemon last read or wrote it; ``None`` if it must be read.
        self._known: _ReadArchive | None = None
        self._known_era = 0
        self._read_at = -math.inf
        suspects.subscribe_crashes(self._changed.set)

    async def wait_for_first_read(self) -> None:
        """Wait until the archive was read, or could not be; not for long."""
        if self._first_read_ended.is_set():
            return
        try:
            async with asyncio.timeout(FIRST_READ_WAIT_S):
                await self._first_read_ended.wait()
        except TimeoutError:
            return

    async def run(self) -> None:
        """Read the archive, and write it while this daemon is the keeper, until cancelled."""
        while not await self._read():
            await asyncio.sleep(MIN_WRITE_INTERVAL_S)
        was_keeper = False
        while True:
            await self._wait_for_change()
            is_keeper = self._is_keeper()
            if not is_keeper or not was_keeper or self._store.era != self._known_era:
                # Another daemon may have written it since.
                self._known = None
            elif self._suspects.has_verdicts and self._is_lift_check_due():
                self._known = None
            was_keeper = is_keeper
            if is_keeper and not await self._bring_up_to_date():
                await asyncio.sleep(MIN_WRITE_INTERVAL_S)

    def _is_lift_check_due(self) -> bool:
        return self._clock.monotonic() - self._read_at >= LIFT_CHECK_INTERVAL_S

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self._changed.wait()
        except TimeoutError:
            return
        finally:
            self._changed.clear()

    async def _bring_up_to_date(self) -> bool:
        """Write what the archive lacks; return false if another call must follow soon."""
        if self._known is None and not await self._read():
            return False
        statements = self._suspects.list_crashes(MAX_ARCHIVED)
        content = _get_content(statements)
        if self._known is None or content == self._known.content:
            return True
        await self._write(statements, content, self._known.revision)
        return False

    async def _read(self) -> bool:
        """Read the archive and add what it says; return false if the store did not answer."""
        try:
            item = await self._store.get(ARCHIVE_KIND, ARCHIVE_NAME)
        except StoreUnavailableError as error:
            logger.warning('archive of crashes not read', reason=str(error))
            return False
        finally:
            self._first_read_ended.set()
        archive = Archive([], [])
        if item is not None:
            archive = decode_archive(item.value, self._clock.now())
        self._suspects.apply(archive.statements)
        self._suspects.lift(archive.lifted)
        self._set_known(item, _get_content(archive.statements))
        self._read_at = self._clock.monotonic()
        return True

    async def _write(
        self, statements: list[SuspectStatement], content: _Content, revision: int
    ) -> None:
        value = encode_archive(statements, self._clock.now())
        # Until an answer has come, nobody knows whether it was written.
        self._known = None
        try:
            if revision:
                item = await self._store.replace(
                    ARCHIVE_KIND, ARCHIVE_NAME, value, expected_revision=revision
                )
            else:
                item = await self._store.create(ARCHIVE_KIND, ARCHIVE_NAME, value)
        except StoreConflictError:
            return
        except StoreUnavailableError as error:
            logger.warning('archive of crashes not written', reason=str(error))
            return
        self._set_known(item, content)

    def _set_known(self, item: StoredObject | None, content: _Content) -> None:
        self._known = _ReadArchive(0 if item is None else item.revision, content)
        self._known_era = self._store.era


def _get_content(statements: Iterable[SuspectStatement]) -> _Content:
    return frozenset(
        (statement.fingerprint, crash.incarnation, crash.is_trial)
        for statement in statements
        for crash in statement.crashes
    )
