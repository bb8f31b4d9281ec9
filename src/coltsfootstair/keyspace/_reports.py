"""The last report of each daemon to the keeper."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.http1 import Address

if TYPE_CHECKING:
    import random

    from coltsfootstair.clock import Clock
    from coltsfootstair.peers import Report

__all__ = ['MAX_REPORT_AGE_S', 'LatestReports']

MAX_REPORT_AGE_S = 2.0
"""Age up to which the last report of a daemon is recent, in seconds."""

MAX_HELPER_COUNT = 8
"""Number of daemons that one which is cut off is told of. Each answer draws anew, so that over
a few seconds all of them help."""


class LatestReports:
    """Last report of each daemon to the keeper, with its time and the sender's address."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_by_daemon: dict[str, tuple[float, Report, Address]] = {}

    def put(self, report: Report, sender: Address) -> None:
        """Store a report in place of the previous one of the same daemon."""
        self._last_by_daemon[report.daemon] = (self._clock.monotonic(), report, sender)

    def clear(self) -> None:
        """Remove all reports."""
        self._last_by_daemon.clear()

    def list_recent(self) -> list[Report]:
        """Return the recent reports."""
        oldest_at = self._clock.monotonic() - MAX_REPORT_AGE_S
        return [
            report
            for reported_at, report, _ in self._last_by_daemon.values()
            if reported_at >= oldest_at
        ]

    def list_helpers(self, report: Report, random_source: random.Random) -> list[Address]:
        """Return where daemons that reach backend servers take requests of others.

        :param report: of the daemon that is cut off; those in its data centre come first
        """
        helpers = [
            other
            for other in self.list_recent()
            if other.helper_address is not None
            and not other.is_cut_off
            and other.daemon != report.daemon
        ]
        random_source.shuffle(helpers)
        helpers.sort(key=lambda other: other.data_centre != report.data_centre)
        return [
            Address(*other.helper_address)
            for other in helpers[:MAX_HELPER_COUNT]
            if other.helper_address
        ]

    def list_addresses(self, excluded: Address) -> list[Address]:
        """Return the addresses of daemons with a recent report, except ``excluded``."""
        oldest_at = self._clock.monotonic() - MAX_REPORT_AGE_S
        return [
            address
            for reported_at, _, address in self._last_by_daemon.values()
            if reported_at >= oldest_at and address != excluded
        ]
