"""The last report of each daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock
    from coltsfootstair.http1 import Address
    from coltsfootstair.peers import Report

__all__ = ['MAX_REPORT_AGE_S', 'LatestReports']

MAX_REPORT_AGE_S = 2.0
"""How long a daemon counts after its last report, in seconds."""


class LatestReports:
    """Who reports to the keeper at present, and from where."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_by_daemon: dict[str, tuple[float, Report, Address]] = {}

    def put(self, report: Report, sender: Address) -> None:
        """Keep a daemon's report in place of its last one."""
        self._last_by_daemon[report.daemon] = (self._clock.monotonic(), report, sender)

    def clear(self) -> None:
        """Forget all reports."""
        self._last_by_daemon.clear()

    def list_recent(self) -> list[Report]:
        """Return the reports of daemons that count."""
        horizon = self._clock.monotonic() - MAX_REPORT_AGE_S
        return [report for at, report, _ in self._last_by_daemon.values() if at >= horizon]

    def list_addresses(self, without: Address) -> list[Address]:
        """Return where the daemons that count are, but for ``without``."""
        horizon = self._clock.monotonic() - MAX_REPORT_AGE_S
        return [
            address
            for at, _, address in self._last_by_daemon.values()
            if at >= horizon and address != without
        ]
