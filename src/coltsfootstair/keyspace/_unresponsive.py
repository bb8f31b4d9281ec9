"""Detects backend servers that answer no daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.peers import LoadFigures, Report

__all__ = ['UnresponsiveDetector']

REPORT_VALIDITY_S = 3.0
"""How long a daemon's report of overdue answers of a server counts, in seconds: within this
time a further request that is sent as a trial shows whether the server still does not
answer."""

ANSWER_VALIDITY_S = 1.0
"""How long after an answer to any daemon a server counts as responsive, in seconds."""

ANSWER_VALIDITY_SERVICE_TIMES = 4.0
"""The same in mean service times of the server, if that is longer: a server that works on one
or two long requests answers nobody for several of them."""

MEAN_WEIGHT = 0.1
"""Weight of one answer in the moving average of a server's service time."""

MIN_REPORTING_DAEMON_COUNT = 2
"""Number of daemons that must report overdue answers of a server; one daemon alone may have
lost its connection to the server."""


class UnresponsiveDetector:
    """Combines the reports of all daemons on servers whose answers are overdue.

    It detects servers that hang or are cut off while their entries stay in the store. Each
    daemon has only a few requests at such a server, and would lose them all before it could
    tell by itself.
    """

    def __init__(self) -> None:
        self._reported_at_by_server: dict[str, dict[str, float]] = {}
        self._answered_at_by_server: dict[str, float] = {}
        self._mean_service_time_s_by_server: dict[str, float] = {}

    def apply_report(self, report: Report, now: float) -> None:
        """Apply the report of one daemon."""
        for server, figures in report.figures_by_server.items():
            if figures.answer_count:
                self._answered_at_by_server[server] = now
                self._add_answers(server, figures)
            if figures.is_overdue:
                self._reported_at_by_server.setdefault(server, {})[report.daemon] = now
            elif figures.pause_left_s > 0:
                # It has answered this daemon, which may send it nothing now.
                self._reported_at_by_server.get(server, {}).pop(report.daemon, None)

    def _add_answers(self, server: str, figures: LoadFigures) -> None:
        mean_s = figures.service_time_sum_s / figures.answer_count
        previous_mean_s = self._mean_service_time_s_by_server.setdefault(server, mean_s)
        weight = 1.0 - (1.0 - MEAN_WEIGHT) ** figures.answer_count
        self._mean_service_time_s_by_server[server] = previous_mean_s + weight * (
            mean_s - previous_mean_s
        )

    def _compute_answer_validity_s(self, server: str) -> float:
        mean_s = self._mean_service_time_s_by_server.get(server, 0.0)
        return max(ANSWER_VALIDITY_S, ANSWER_VALIDITY_SERVICE_TIMES * mean_s)

    def list_unresponsive(self, now: float) -> list[str]:
        """Return the servers whose answers are overdue at enough daemons.

        A server that has recently answered any daemon is left out.
        """
        for server, reported_at_by_daemon in list(self._reported_at_by_server.items()):
            valid = {
                daemon: reported_at
                for daemon, reported_at in reported_at_by_daemon.items()
                if now - reported_at <= REPORT_VALIDITY_S
            }
            if valid:
                self._reported_at_by_server[server] = valid
            else:
                del self._reported_at_by_server[server]
        return sorted(
            server
            for server, reported_at_by_daemon in self._reported_at_by_server.items()
            if len(reported_at_by_daemon) >= MIN_REPORTING_DAEMON_COUNT
            and now - self._answered_at_by_server.get(server, 0.0)
            > self._compute_answer_validity_s(server)
        )
