"""Which backend servers answer nobody at present."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.peers import Report

__all__ = ['UnresponsiveDetector']

REPORT_VALIDITY_S = 3.0
"""How long a daemon's report that a server is silent counts, in seconds: as long as a trial
request at a silent server takes to show it again."""

ANSWER_VALIDITY_S = 1.0
"""How long an answer to anybody clears a server, in seconds."""

MIN_REPORTING_DAEMON_COUNT = 2
"""Daemons that must find a server silent, so that one with a broken path accuses nobody."""


class UnresponsiveDetector:
    """Sums up what daemons report of servers that do not answer.

    Answers servers that hang or are cut off while their entries stay: each daemon has only
    a few requests there, and would have to lose them all to find out by itself.
    """

    def __init__(self) -> None:
        self._reported_at_by_server: dict[str, dict[str, float]] = {}
        self._answered_at_by_server: dict[str, float] = {}

    def apply_report(self, report: Report, now: float) -> None:
        """Take one daemon's report."""
        for server, figures in report.figures_by_server.items():
            if figures.answer_count:
                self._answered_at_by_server[server] = now
            if figures.unresponsive:
                self._reported_at_by_server.setdefault(server, {})[report.daemon] = now

    def list_unresponsive(self, now: float) -> list[str]:
        """Return the servers that several daemons find silent and none has heard."""
        for server, accusers in list(self._reported_at_by_server.items()):
            fresh = {
                name: at for name, at in accusers.items() if now - at <= REPORT_VALIDITY_S
            }
            if fresh:
                self._reported_at_by_server[server] = fresh
            else:
                del self._reported_at_by_server[server]
        return sorted(
            server
            for server, accusers in self._reported_at_by_server.items()
            if len(accusers) >= MIN_REPORTING_DAEMON_COUNT
            and now - self._answered_at_by_server.get(server, 0.0) > ANSWER_VALIDITY_S
        )
