"""Which daemons have an older configuration in force than the keeper, and since when."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import structlog

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock
    from coltsfootstair.peers import Report

__all__ = ['LaggingDaemon', 'VersionLag']

logger = structlog.get_logger()

MAX_KNOWN_VERSIONS = 256
"""Versions of the configuration whose time is remembered."""

LOG_AFTER_S = 1.0
"""How long a daemon may lag before it is named in the log, in seconds; less than half of the
time in which a version must be in force everywhere."""

LOG_INTERVAL_S = 2.0
"""Least time between two log lines about daemons that lag, in seconds."""

MAX_LOGGED_DAEMONS = 12
"""Daemons that one log line names, those that lag longest first."""


class LaggingDaemon(NamedTuple):
    """A daemon that has an older version in force than the keeper.

    :param version: version in force there, by its last report
    :param missing_count: number of versions that have come into force here since that one
    :param lag_s: time since the first of them came into force here, in seconds
    """

    name: str
    version: int
    missing_count: int
    lag_s: float


class VersionLag:
    """Compares the versions that daemons report with those that came into force here."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # In the order in which they came into force.
        self._in_force_at_by_version: dict[int, float] = {}
        self._logged_at = -LOG_INTERVAL_S

    def on_version(self, version: int) -> None:
        """Record that ``version`` is in force here; called often."""
        if version in self._in_force_at_by_version:
            return
        if len(self._in_force_at_by_version) >= MAX_KNOWN_VERSIONS:
            del self._in_force_at_by_version[next(iter(self._in_force_at_by_version))]
        self._in_force_at_by_version[version] = self._clock.monotonic()

    def list_lagging(self, reports: list[Report]) -> list[LaggingDaemon]:
        """Return the daemons that lag, the one that lags longest first."""
        now = self._clock.monotonic()
        newest = max(self._in_force_at_by_version, default=0)
        lagging = []
        for report in reports:
            version = report.configuration_version
            if not 0 < version < newest:
                continue
            missing = [
                in_force_at
                for known, in_force_at in self._in_force_at_by_version.items()
                if known > version
            ]
            lagging.append(
                LaggingDaemon(report.daemon, version, len(missing), now - missing[0])
            )
        return sorted(lagging, key=lambda daemon: -daemon.lag_s)

    def log(self, reports: list[Report]) -> None:
        """Name the daemons that have lagged for long."""
        now = self._clock.monotonic()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        daemons = [each for each in self.list_lagging(reports) if each.lag_s > LOG_AFTER_S]
        if not daemons:
            return
        self._logged_at = now
        logger.warning(
            'configuration lags',
            count=len(daemons),
            in_force_here=max(self._in_force_at_by_version),
            daemons=[
                {
                    'daemon': each.name,
                    'version': each.version,
                    'missing': each.missing_count,
                    'lag_s': round(each.lag_s, 2),
                }
                for each in daemons[:MAX_LOGGED_DAEMONS]
            ],
        )
